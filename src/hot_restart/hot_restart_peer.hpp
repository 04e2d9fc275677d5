// The other process of this dispatcher during a hot restart: finds it, exchanges messages with it and tracks
// whether it is connected. docs/upgrade.md describes the procedure for operators.
//
// The life cycle of a process: it looks for a predecessor and receives a HandoverState from it, or starts
// without one; it serves, and notifies the predecessor; it listens for a successor, hands over to it and
// ends.
#ifndef DISPATCHER_HOT_RESTART_HOT_RESTART_PEER_HPP_
#define DISPATCHER_HOT_RESTART_HOT_RESTART_PEER_HPP_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "engine/engine.hpp"
#include "hot_restart/handover_channel.hpp"
#include "hot_restart/handover_messages.hpp"
#include "net/unique_fd.hpp"

namespace dispatcher::hot_restart {

// What the predecessor handed over; all empty where there is none.
struct HandoverState {
  Json endpoint_list;  // see service_discovery::to_json(); null: none
  std::vector<routing::RequestId> open_request_ids;
  routing::LearnedState learned_state;
  Json degradation_level;                                  // see DegradationController::restore(); null: none
  std::map<std::string, net::UniqueFd> listening_sockets;  // by the name that the predecessor gave them
};

// Both sides of a hot restart: towards the predecessor and towards the successor. Owned by the daemon and
// used on its event loop's thread only.
class HotRestartPeer : public engine::HotRestartObserver {
 public:
  // The daemon. The getters are called when a successor connects, the other functions from the event loop;
  // on_handover() may also be called by start() before it returns.
  class Owner {
   public:
    virtual ~Owner() = default;
    // See service_discovery::to_json().
    [[nodiscard]] virtual Json endpoint_list() = 0;
    // By the names under which the successor gets them. The sockets stay the owner's: copies are sent.
    [[nodiscard]] virtual std::map<std::string, int> listening_sockets() = 0;
    [[nodiscard]] virtual std::vector<routing::RequestId> open_request_ids() = 0;
    [[nodiscard]] virtual routing::LearnedState learned_state() = 0;
    [[nodiscard]] virtual Json degradation_level() = 0;

    // Called once. The state is empty where there is no predecessor or it sent none in time.
    virtual void on_handover(HandoverState state) = 0;
    // Operators drained an endpoint at the other process, or returned it to service there.
    virtual void on_administrative_state(const routing::EndpointId& endpoint,
                                         routing::AdministrativeState state) = 0;
    // The other process accepted a request, or completed it.
    virtual void on_peer_request_progress(const routing::RequestId& id, engine::RequestProgress progress) = 0;
    // The other process forwarded a request to this endpoint.
    virtual void on_peer_forwarded(const routing::EndpointId& endpoint) = 0;
    // The predecessor handed over a running stream with the sockets of its client and of its endpoint.
    virtual void on_stream(const StreamTransfer& stream, net::UniqueFd client_socket,
                           net::UniqueFd upstream_socket) = 0;
    // The predecessor has left the VRRP group, in which it had this role.
    virtual void on_vrrp_left(VrrpRole role) = 0;
    // A predecessor or successor has connected, begun to serve, or disconnected.
    virtual void on_peers_changed() = 0;
  };

  // `path`: of the Unix socket by which processes find each other; empty: no hot restart. The references must
  // outlive this.
  HotRestartPeer(boost::asio::io_context& io, const std::string& path, engine::TimerQueue& timers,
                 engine::Clock clock, engine::Log log, Owner& owner);
  // Connects to the predecessor, if there is one; on_handover() follows.
  void start();
  // To be called once this process serves: notifies the predecessor, and listens for a successor.
  void on_serving();
  // Disconnects. The owner is not called any more.
  void close();

  [[nodiscard]] bool has_peer() const { return has_predecessor() || successor_.channel != nullptr; }
  [[nodiscard]] bool has_predecessor() const { return predecessor_.channel != nullptr; }
  [[nodiscard]] bool is_successor_serving() const {
    return successor_.channel != nullptr && is_successor_serving_;
  }
  // Whether the kernel has taken everything that was sent to the successor: a process must not end before, or
  // the rest of its hand-over is lost.
  [[nodiscard]] bool is_all_sent() const;

  // Notifies the other processes of an operator's command.
  void notify_administrative_state(const routing::EndpointId& endpoint, routing::AdministrativeState state);
  // Notifies the successor, which may then join the VRRP group.
  void notify_vrrp_left(VrrpRole role);
  // Hands a stream to the successor, which must be serving. The sockets stay the caller's: copies are sent.
  void transfer_stream(const StreamTransfer& stream, int client, int upstream);
  // engine::HotRestartObserver
  void on_request_progress(const routing::RequestId& id, engine::RequestProgress progress) override;
  void on_attempt_started(const routing::EndpointId& endpoint) override;

 private:
  // The connection to the predecessor or to the successor.
  struct Connection : HandoverChannel::Owner {
    Connection(HotRestartPeer& owning_peer, PeerRole other_role) : peer(owning_peer), role(other_role) {}
    void on_message(const Json& message, Descriptors descriptors) override {
      peer.on_message(role, message, std::move(descriptors));
    }
    void on_channel_closed() override { peer.on_channel_closed(*this); }
    HotRestartPeer& peer;
    PeerRole role;                             // of the other process
    std::shared_ptr<HandoverChannel> channel;  // null: not connected
  };

  void start_without_handover();
  void on_successor_connected(net::UniqueFd socket);
  void send_handover();
  void on_message(PeerRole sender, const Json& object, Descriptors descriptors);
  void handle(Handover& message, Descriptors& descriptors);
  void handle(const SuccessorServing& message, Descriptors& descriptors);
  void handle(const AdministrativeStateChanged& message, Descriptors& descriptors);
  void handle(const RequestStatusChanged& message, Descriptors& descriptors);
  void handle(const RequestForwarded& message, Descriptors& descriptors);
  void handle(const StreamTransfer& message, Descriptors& descriptors);
  void handle(const InvalidStreamTransfer& message, Descriptors& descriptors);
  void handle(const VrrpLeft& message, Descriptors& descriptors);
  void on_channel_closed(Connection& connection);
  void broadcast(const Json& message);

  boost::asio::io_context& io_;
  std::string path_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Log log_;
  Owner& owner_;
  HandoverListener listener_;
  Connection predecessor_{*this, PeerRole::kPredecessor};
  Connection successor_{*this, PeerRole::kSuccessor};
  bool has_state_ = false;  // on_handover() was called
  bool is_successor_serving_ = false;
  engine::TimerId handover_timer_;
};

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_HOT_RESTART_PEER_HPP_
