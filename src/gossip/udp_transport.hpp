// Carries a node's datagrams over UDP, and tells it the time. Nothing is decided here.
#ifndef DISPATCHER_GOSSIP_UDP_TRANSPORT_HPP_
#define DISPATCHER_GOSSIP_UDP_TRANSPORT_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>

#include "engine/timer_queue.hpp"
#include "gossip/gossip_node.hpp"

namespace dispatcher::gossip {

class UdpTransport {
 public:
  // Binds to links.listen; throws boost::system::system_error where it can't. The node outlives the speaker.
  UdpTransport(boost::asio::io_context& io, const Links& links, GossipNode& node, engine::TimerQueue& timers,
               engine::Clock clock);
  ~UdpTransport() { stop(); }
  void start();
  void poke();   // the node was written to: it may have something to say at once
  void leave();  // tells the others, then stops
  void stop();   // without a word
  [[nodiscard]] udp::endpoint local() const { return socket_.local_endpoint(); }
  // For tests on ephemeral ports, which are known only once all sockets are bound.
  void set_links(const Links& links);

 private:
  void receive();
  void take(std::size_t size);
  void carry(const GossipNode::Sent& sent);
  void send(const Datagram& datagram, const udp::endpoint& to);
  void arm();

  Links links_;
  std::map<udp::endpoint, Number> numbers_;
  GossipNode& node_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  udp::socket socket_;
  udp::endpoint from_;
  std::array<std::uint8_t, kMaxBytes + 1> packet_{};  // one more: a longer one is noticed
  engine::TimerQueue::Id timer_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();  // a datagram may complete after our end
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_UDP_TRANSPORT_HPP_
