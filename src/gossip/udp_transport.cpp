#include "gossip/udp_transport.hpp"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace dispatcher::gossip {

UdpTransport::UdpTransport(boost::asio::io_context& io, const Links& links, GossipNode& node,
                           engine::TimerQueue& timers, engine::Clock clock)
    : node_(node), timers_(timers), clock_(std::move(clock)), socket_(io, links.listen.value()) {
  // The loop must not wait for room: a datagram that finds none is lost, as others are.
  socket_.non_blocking(true);
  set_links(links);
}

void UdpTransport::set_links(const Links& links) {
  links_ = links;
  numbers_.clear();
  for (std::size_t i = 0; i < links_.peers.size(); ++i)
    numbers_.emplace(links_.peers[i], static_cast<Number>(i));
}

void UdpTransport::start() {
  receive();
  carry(node_.start(clock_()));
}

void UdpTransport::poke() {
  if (!socket_.is_open()) return;
  if (const Time now = clock_(); node_.next() <= now) return carry(node_.tick(now));
  arm();
}

void UdpTransport::leave() {
  if (!socket_.is_open()) return;
  carry(node_.leave(clock_()));
  stop();
}

void UdpTransport::stop() {
  timers_.drop(timer_);
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void UdpTransport::receive() {
  socket_.async_receive_from(
      boost::asio::buffer(packet_), from_,
      [this, alive = std::weak_ptr(alive_)](boost::system::error_code error, std::size_t size) {
        if (alive.expired() || !socket_.is_open()) return;
        // A member that is down answers what was sent to it with an error here.
        if (!error) take(size);
        receive();
      });
}

void UdpTransport::take(std::size_t size) {
  const auto number = numbers_.find(from_);
  if (number == numbers_.end()) return node_.unknown_address();
  carry(node_.received(clock_(), number->second, {packet_.data(), size}));
}

void UdpTransport::send(const Datagram& datagram, const udp::endpoint& to) {
  boost::system::error_code ignored;  // what is lost is the protocol's to bear
  const auto bytes = datagram.bytes();
  socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), to, 0, ignored);
}

void UdpTransport::carry(const GossipNode::Sent& sent) {
  for (const Outgoing& one : sent) {
    if (one.to) {
      send(one.datagram, links_.peers.at(*one.to));
    } else if (links_.everyone) {
      send(one.datagram, *links_.everyone);
    } else {
      for (Number n = 0; n < links_.peers.size(); ++n) {
        if (n != node_.members().self()) send(one.datagram, links_.peers[n]);
      }
    }
  }
  arm();
}

void UdpTransport::arm() {
  timers_.drop(timer_);
  if (!socket_.is_open()) return;
  timer_ = timers_.add(node_.next(), [this] {
    timer_ = {};
    carry(node_.tick(clock_()));
  });
}

}  // namespace dispatcher::gossip
