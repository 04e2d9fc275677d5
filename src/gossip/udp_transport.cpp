#include "gossip/udp_transport.hpp"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace dispatcher::gossip {

UdpTransport::UdpTransport(boost::asio::io_context& io, const PeerConfig& config, GossipNode& node,
                           engine::TimerQueue& timers, engine::Clock clock)
    : node_(node), timers_(timers), clock_(std::move(clock)), socket_(io, config.listen.value()) {
  // The event loop must not block. A datagram that finds the send buffer full is lost.
  socket_.non_blocking(true);
  set_peer_config(config);
}

void UdpTransport::set_peer_config(const PeerConfig& config) {
  config_ = config;
  members_by_address_.clear();
  for (std::size_t i = 0; i < config_.peers.size(); ++i)
    members_by_address_.emplace(config_.peers[i], static_cast<MemberIndex>(i));
}

void UdpTransport::start() {
  receive();
  send_all(node_.start(clock_()));
}

void UdpTransport::on_node_changed() {
  if (!socket_.is_open()) return;
  if (const Time now = clock_(); node_.next_deadline() <= now) return send_all(node_.tick(now));
  schedule_tick();
}

void UdpTransport::leave() {
  if (!socket_.is_open()) return;
  send_all(node_.leave(clock_()));
  stop();
}

void UdpTransport::stop() {
  timers_.drop(timer_);
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void UdpTransport::receive() {
  socket_.async_receive_from(
      boost::asio::buffer(receive_buffer_), sender_address_,
      [this, lifetime = std::weak_ptr(lifetime_)](boost::system::error_code error, std::size_t size) {
        if (lifetime.expired() || !socket_.is_open()) return;
        // An error here is an ICMP answer to an earlier send, such as "port unreachable" when a member is
        // down.
        if (!error) on_datagram(size);
        receive();
      });
}

void UdpTransport::on_datagram(std::size_t size) {
  const auto member = members_by_address_.find(sender_address_);
  if (member == members_by_address_.end()) return node_.on_unknown_address();
  send_all(node_.on_received(clock_(), member->second, {receive_buffer_.data(), size}));
}

void UdpTransport::send(const Datagram& datagram, const udp::endpoint& to) {
  boost::system::error_code ignored;  // the protocol tolerates lost datagrams
  const auto bytes = datagram.bytes();
  socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), to, 0, ignored);
}

void UdpTransport::send_all(const GossipNode::OutgoingDatagrams& datagrams) {
  for (const OutgoingDatagram& outgoing : datagrams) {
    if (outgoing.to) {
      send(outgoing.datagram, config_.peers.at(*outgoing.to));
    } else if (config_.broadcast) {
      send(outgoing.datagram, *config_.broadcast);
    } else {
      for (MemberIndex member = 0; member < config_.peers.size(); ++member) {
        if (member != node_.members().self()) send(outgoing.datagram, config_.peers[member]);
      }
    }
  }
  schedule_tick();
}

void UdpTransport::schedule_tick() {
  timers_.drop(timer_);
  if (!socket_.is_open()) return;
  timer_ = timers_.add(node_.next_deadline(), [this] {
    timer_ = {};
    send_all(node_.tick(clock_()));
  });
}

}  // namespace dispatcher::gossip
