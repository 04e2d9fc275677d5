// Handles the other process of this dispatcher during a hot restart: finds it, exchanges messages with it and
// tracks whether it is connected. docs/upgrade.md describes the procedure for operators.
//
// The life cycle of a process:
// 1. It connects to a predecessor and receives a HandoverState from it, or starts without one.
// 2. It begins to serve and notifies the predecessor.
// 3. It listens for a successor, hands over to it and ends.
#ifndef DISPATCHER_HOT_RESTART_HOT_RESTART_PEER_HPP_
#define DISPATCHER_HOT_RESTART_HOT_RESTART_PEER_HPP_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "engine/engine.hpp"
#include "hot_restart/handover_channel.hpp"
#include "hot_restart/handover_messages.hpp"
#include "net/unique_fd.hpp"

namespace dispatcher::hot_restart {

// The state that the predecessor handed over. All members are empty if there is no predecessor.
struct HandoverState {
  Json endpoint_list;  // see service_discovery::to_json(); null if there is none
  std::vector<routing::RequestId> open_request_ids;
  routing::LearnedState learned_state;
  Json degradation_level;  // see DegradationController::restore(); null if there is none
  std::map<std::string, net::UniqueFd> listening_sockets;  // keyed by the name that the predecessor gave them
};

// Manages the connections to the predecessor and to the successor. Owned by the daemon and used on its event
// loop's thread only.
class HotRestartPeer : public engine::HotRestartObserver {
 public:
  // Implemented by the daemon. The getters are called when a successor connects, and the other functions from
  // the event loop. on_handover() may also be called by start() before it returns.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Returns the endpoint list in the form of service_discovery::to_json().
    [[nodiscard]] virtual Json endpoint_list() = 0;
    // Returns the listening sockets, keyed by the names under which the successor gets them. The owner keeps
    // the sockets, and copies are sent.
    [[nodiscard]] virtual std::map<std::string, int> listening_sockets() = 0;
    [[nodiscard]] virtual std::vector<routing::RequestId> open_request_ids() = 0;
    [[nodiscard]] virtual routing::LearnedState learned_state() = 0;
    [[nodiscard]] virtual Json degradation_level() = 0;
    // Returns the clock of this process minus the system's monotonic clock; nullopt if it is not known.
    [[nodiscard]] virtual std::optional<engine::Duration> clock_offset() = 0;

    // Called once. The state is empty if there is no predecessor or it sent no state in time.
    virtual void on_handover(HandoverState state) = 0;
    // Called when operators have drained an endpoint at the other process or returned it to service there.
    virtual void on_administrative_state(const routing::EndpointId& endpoint,
                                         routing::AdministrativeState state) = 0;
    // Called when the other process has accepted or completed a request.
    virtual void on_peer_request_progress(const routing::RequestId& id, engine::RequestProgress progress) = 0;
    // Called when the other process has forwarded a request to this endpoint.
    virtual void on_peer_forwarded(const routing::EndpointId& endpoint) = 0;
    // Called when the predecessor has handed over a running stream with the sockets of its client and its
    // endpoint.
    virtual void on_stream(const StreamTransfer& stream, net::UniqueFd client_socket,
                           net::UniqueFd upstream_socket) = 0;
    // Called when there are no descriptors for the sockets of a stream. Closes one that this process can
    // spare. Returns false if there is none: the stream is then received later.
    virtual bool reclaim_descriptor() = 0;
    // Called when the predecessor has left the VRRP group. `listening_socket` is the one of the shared
    // address; it is empty if the predecessor was a backup or sent none.
    virtual void on_vrrp_left(const VrrpLeft& left, net::UniqueFd listening_socket) = 0;
    // Called when a predecessor or successor has connected, begun to serve or disconnected.
    virtual void on_peers_changed() = 0;
    // Called when predecessor_connections() has changed.
    virtual void on_predecessor_connections() = 0;
  };

  // `path` is the Unix socket by which processes find each other. Hot restart is disabled if it is empty. The
  // references must outlive this object.
  HotRestartPeer(boost::asio::io_context& io, const std::string& path, engine::TimerQueue& timers,
                 engine::Clock clock, engine::Log log, Owner& owner);
  // Connects to the predecessor, if there is one. A call of on_handover() follows.
  void start();
  // Notifies the predecessor and listens for a successor. Must be called once this process serves.
  void on_serving();
  // Disconnects. The owner is not called after this.
  void close();

  [[nodiscard]] bool has_peer() const { return has_predecessor() || successor_.channel != nullptr; }
  [[nodiscard]] bool has_predecessor() const { return predecessor_.channel != nullptr; }
  [[nodiscard]] bool is_successor_serving() const {
    return successor_.channel != nullptr && is_successor_serving_;
  }
  // Returns whether the successor has received everything that was sent to it, or has ended. This process
  // must not end before, as a successor of an earlier release may then drop what still waits for it.
  [[nodiscard]] bool has_successor_received_everything() const;

  // Ends the connection to the predecessor, after which this process may end: every stream that the
  // predecessor has sent is passed to the owner first, and it keeps the others. A predecessor that hands its
  // streams over is waited for, as it ends by itself. Returns whether there is no predecessor. Must be called
  // again until then.
  [[nodiscard]] bool leave_predecessor();
  // Notifies the other processes that an operator drained an endpoint or returned it to service.
  void notify_administrative_state(const routing::EndpointId& endpoint, routing::AdministrativeState state);
  // Notifies the successor that this process has left the VRRP group, so that the successor may join it, and
  // sends it a copy of the socket that listens at the shared address, unless that is nullopt.
  void notify_vrrp_left(const VrrpLeft& left, std::optional<int> listening_socket = std::nullopt);
  // Notifies the successor how many connections this process, which shuts down, will have at most. Sends
  // nothing if the successor does not serve or has been notified of the same numbers.
  void notify_connections(const ConnectionsInUse& connections);
  // Returns what the predecessor has last sent of this kind. Empty if there is no predecessor, if it does not
  // shut down, or if it is of a release that does not send this.
  [[nodiscard]] const std::optional<ConnectionsInUse>& predecessor_connections() const {
    return predecessor_connections_;
  }
  // Hands a stream over to the successor. Returns whether the successor gets it. If not, the stream stays
  // with this process: the successor has ended, or can't receive it now. The caller keeps the sockets, and
  // copies are sent.
  [[nodiscard]] bool transfer_stream(const StreamTransfer& stream, int client, int upstream);
  // Returns the number of streams that were handed over to successors, for the log.
  [[nodiscard]] std::size_t transferred_streams() const { return transferred_streams_; }
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
    void on_unreadable_message() override { peer.log_("upgrade: a message can't be read and is ignored"); }
    bool reclaim_descriptor() override { return peer.owner_.reclaim_descriptor(); }
    void on_channel_closed(ChannelEnd end) override { peer.on_channel_closed(*this, end); }
    HotRestartPeer& peer;
    PeerRole role;                             // the role of the other process
    std::shared_ptr<HandoverChannel> channel;  // null if it is not connected
  };

  void start_without_handover();
  void listen();
  void on_successor_connected(net::UniqueFd socket);
  void send_handover();
  void send_short_handover(const Handover& handover, const std::vector<int>& descriptors);
  void on_message(PeerRole sender, const Json& object, Descriptors descriptors);
  void handle(Handover& message, Descriptors& descriptors);
  void handle(const SuccessorServing& message, Descriptors& descriptors);
  void handle(const SuccessorReplaced& message, Descriptors& descriptors);
  void handle(const AdministrativeStateChanged& message, Descriptors& descriptors);
  void handle(const RequestStatusChanged& message, Descriptors& descriptors);
  void handle(const RequestForwarded& message, Descriptors& descriptors);
  void handle(const StreamTransfer& message, Descriptors& descriptors);
  void handle(const InvalidStreamTransfer& message, Descriptors& descriptors);
  void handle(const VrrpLeft& message, Descriptors& descriptors);
  void handle(const ConnectionsInUse& message, Descriptors& descriptors);
  void on_channel_closed(Connection& connection, ChannelEnd end);
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
  bool has_state_ = false;  // whether on_handover() was called
  bool is_successor_serving_ = false;
  bool is_successor_replaced_ = false;  // a later process has the path at which successors connect
  std::optional<ConnectionsInUse> predecessor_connections_;
  std::optional<ConnectionsInUse> notified_connections_;  // what the successor was notified of
  std::size_t transferred_streams_ = 0;                   // handed over to successors
  std::size_t received_streams_ = 0;                      // taken over from the predecessor
  engine::TimerId handover_timer_;
};

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_HOT_RESTART_PEER_HPP_
