#include "vrrp/vrrp_instance.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "net/address.hpp"

namespace dispatcher::vrrp {

namespace {

std::string_view to_text(State state) {
  switch (state) {
    case State::kInitialize:
      return "initialize";
    case State::kBackup:
      return "backup";
    case State::kActive:
      return "active";
  }
  return {};
}

}  // namespace

VrrpInstance::VrrpInstance(boost::asio::io_context& io, const Config& config, engine::TimerQueue& timers,
                           engine::Clock clock, engine::Log log, OnState on_state)
    : config_(config),
      timers_(timers),
      clock_(std::move(clock)),
      log_(std::move(log)),
      on_state_(std::move(on_state)),
      machine_(config.parameters),
      socket_(io, config.listen) {}

void VrrpInstance::start(const Start& how) {
  receive();
  apply(machine_.startup(clock_(), how));
}

void VrrpInstance::hand_over() {
  machine_.shutdown();
  timers_.drop(timer_);
  close_socket();
}

void VrrpInstance::stop() {
  apply(machine_.shutdown());
  close_socket();
}

void VrrpInstance::close_socket() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void VrrpInstance::receive() {
  socket_.async_receive_from(boost::asio::buffer(receive_buffer_), sender_,
                             [this](boost::system::error_code error, std::size_t size) {
                               if (!socket_.is_open()) return;
                               // An error here is the ICMP error for an advertisement that was sent to a peer
                               // that is down.
                               if (!error) handle_packet(size);
                               receive();
                             });
}

void VrrpInstance::handle_packet(std::size_t size) {
  const auto& peers = config_.peers;
  if (std::find(peers.begin(), peers.end(), sender_) == peers.end()) return;
  const auto result = decode({receive_buffer_.data(), size});
  if (const auto* error = std::get_if<DecodeError>(&result))
    return log_("vrrp: bad packet: " + std::string(vrrp::to_text(*error)));
  const auto& advertisement = std::get<Advertisement>(result);
  const Parameters& parameters = config_.parameters;
  if (advertisement.vrid == parameters.vrid && advertisement.addresses != parameters.addresses)
    log_("vrrp: a peer advertises other addresses");
  apply(machine_.receive(clock_(), advertisement, sender_.address().to_v4().to_bytes()));
}

void VrrpInstance::apply(const StateMachine::Advertisements& advertisements) {
  send(advertisements);
  restart_timer();
  report_state();
}

void VrrpInstance::send(const StateMachine::Advertisements& advertisements) {
  for (const Advertisement& advertisement : advertisements) {
    const auto packet = encode(advertisement);
    boost::system::error_code ignored;  // the protocol tolerates lost advertisements
    for (const udp::endpoint& peer : config_.peers)
      socket_.send_to(boost::asio::buffer(packet), peer, 0, ignored);
  }
}

void VrrpInstance::restart_timer() {
  timers_.drop(timer_);
  const auto expiry = machine_.next_timer();
  if (!expiry) return;
  timer_ = timers_.add(*expiry, [this] {
    timer_ = {};
    apply(machine_.timer(clock_()));
  });
}

void VrrpInstance::report_state() {
  const State state = machine_.state();
  if (state == reported_state_) return;
  reported_state_ = state;
  log_("vrrp: " + std::string(to_text(state)));
  on_state_(state);
}

}  // namespace dispatcher::vrrp
