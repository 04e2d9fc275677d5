// Carries the state machine's advertisements over UDP between the instances of a pair.
#ifndef DISPATCHER_VRRP_VRRP_INSTANCE_HPP_
#define DISPATCHER_VRRP_VRRP_INSTANCE_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cue/syntax.hpp"
#include "engine/engine.hpp"
#include "engine/timer_queue.hpp"
#include "vrrp/state_machine.hpp"

namespace dispatcher::vrrp {

using boost::asio::ip::udp;

struct Config {
  udp::endpoint listen;
  std::vector<udp::endpoint> peers;
  Parameters parameters;
};
// Empty where the file names no address: VRRP is off. Throws cue::Errors.
std::optional<Config> parse_config(const cue::File& file);

class VrrpInstance {
 public:
  using OnState = std::function<void(State)>;
  VrrpInstance(boost::asio::io_context& io, const Config& config, engine::TimerQueue& timers,
               engine::Clock clock, engine::Log log, OnState on_state);
  void start(bool succeeds = false);
  void stop();   // tells the peers
  void leave();  // without a word: another process of this router takes the address and its state over
  [[nodiscard]] State state() const { return machine_.state(); }
  [[nodiscard]] udp::endpoint local() const { return socket_.local_endpoint(); }
  void add_peer(const udp::endpoint& peer) { config_.peers.push_back(peer); }

 private:
  void receive();
  void take(std::size_t size);
  void carry_out(const StateMachine::Sent& sent);

  Config config_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Log log_;
  OnState on_state_;
  StateMachine machine_;
  State told_ = State::kInitialize;
  udp::socket socket_;
  udp::endpoint from_;
  std::array<std::uint8_t, 1500> packet_{};
  engine::TimerQueue::Id timer_;
};

}  // namespace dispatcher::vrrp

#endif  // DISPATCHER_VRRP_VRRP_INSTANCE_HPP_
