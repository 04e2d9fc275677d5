// Carries a node's datagrams over UDP, and drives its timers. It makes no decisions of the protocol.
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

// Owned by the daemon, used on the event loop of its io_context alone. A receive that completes after the
// transport's destruction is ignored.
class UdpTransport {
 public:
  // Binds to config.listen, which must be set; throws boost::system::system_error where that fails. The node
  // and the timers must outlive the transport.
  UdpTransport(boost::asio::io_context& io, const PeerConfig& config, GossipNode& node,
               engine::TimerQueue& timers, engine::Clock clock);
  ~UdpTransport() { stop(); }
  // Begins to receive, and announces the node.
  void start();
  // To be called after writes to the node: sends what is due at once, and schedules the next tick.
  void on_node_changed();
  // Announces the node's end to other members, then stops.
  void leave();
  // Closes the socket without any announcement.
  void stop();
  // The address that the socket is bound to. Not to be called after stop().
  [[nodiscard]] udp::endpoint local() const { return socket_.local_endpoint(); }
  // Replaces the peers' addresses; the socket stays. For tests on ephemeral ports, which are known only once
  // all sockets are bound.
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
  std::array<std::uint8_t, kMaxDatagramBytes + 1> receive_buffer_{};  // one more, to detect longer ones
  engine::TimerId timer_;
  std::shared_ptr<char> lifetime_ = std::make_shared<char>();  // expires with the transport
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_UDP_TRANSPORT_HPP_
