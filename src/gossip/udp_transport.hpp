// Sends and receives a node's datagrams over UDP, and runs its timers. All protocol decisions are made by the
// node.
#ifndef DISPATCHER_GOSSIP_UDP_TRANSPORT_HPP_
#define DISPATCHER_GOSSIP_UDP_TRANSPORT_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>

#include "engine/timer_queue.hpp"
#include "gossip/gossip_node.hpp"
#include "gossip/peer_config.hpp"

namespace dispatcher::gossip {

// The UDP socket and the timer of a GossipNode. Owned by the daemon and used only on the event loop of its
// io_context. A receive that completes after the transport's destruction is ignored.
class UdpTransport {
 public:
  // Binds to config.listen, which must be set. Throws boost::system::system_error if binding fails. The node
  // and the timers must outlive the transport.
  UdpTransport(boost::asio::io_context& io, const PeerConfig& config, GossipNode& node,
               engine::TimerQueue& timers, engine::Clock clock);
  ~UdpTransport() { stop(); }
  // Starts to receive, and announces the node to all members.
  void start();
  // Must be called after writes to the node. Sends the datagrams that are due, and schedules the next tick.
  void on_node_changed();
  // Announces the end of the node to other members, then stops.
  void leave();
  // Closes the socket without any announcement.
  void stop();
  // Returns the address that the socket is bound to. Must not be called after stop().
  [[nodiscard]] udp::endpoint local() const { return socket_.local_endpoint(); }
  // Replaces the peers' addresses without rebinding the socket. Used by tests on ephemeral ports, which are
  // known only after all sockets are bound.
  void set_peer_config(const PeerConfig& config);

 private:
  void receive();
  void on_datagram(std::size_t size);
  void send_all(const GossipNode::OutgoingDatagrams& datagrams);
  void send(const Datagram& datagram, const udp::endpoint& to);
  void schedule_tick();

  PeerConfig config_;
  std::map<udp::endpoint, MemberIndex> members_by_address_;
  GossipNode& node_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  udp::socket socket_;
  udp::endpoint sender_address_;
  // One byte larger than the longest valid datagram, to detect longer ones.
  std::array<std::uint8_t, kMaxDatagramBytes + 1> receive_buffer_{};
  engine::TimerId timer_;
  // Handlers of pending receives hold a weak_ptr to this, which expires when the transport is destroyed.
  std::shared_ptr<char> lifetime_ = std::make_shared<char>();
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_UDP_TRANSPORT_HPP_
