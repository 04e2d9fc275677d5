// Runs the VRRP state machine over UDP between the two instances of a pair, and parses its configuration.
#ifndef DISPATCHER_VRRP_VRRP_INSTANCE_HPP_
#define DISPATCHER_VRRP_VRRP_INSTANCE_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "cue/syntax.hpp"
#include "engine/engine.hpp"
#include "engine/timer_queue.hpp"
#include "vrrp/state_machine.hpp"

namespace dispatcher::vrrp {

using boost::asio::ip::udp;

/// The addresses between which an instance exchanges advertisements, and the parameters of its virtual
/// router.
struct Config {
  udp::endpoint listen;              // also the source address of advertisements
  std::vector<udp::endpoint> peers;  // packets from any other sender are ignored
  Parameters parameters;
};

/// Returns the configuration in `file`, or nullopt if it names no address to listen on and VRRP is therefore
/// off. Throws cue::Errors with every problem of the file.
[[nodiscard]] std::optional<Config> parse_config(const cue::File& file);

/// This process as a member of one virtual router. Used on the event loop's thread only. The event loop's
/// context and the timer queue must outlive it, and it must outlive its pending operations: call stop() or
/// hand_over(), then run the loop until the cancelled receive has completed.
class VrrpInstance {
 public:
  /// Called after each change of state.
  using OnState = std::function<void(State)>;

  /// Binds the socket. Throws boost::system::system_error if that fails.
  VrrpInstance(boost::asio::io_context& io, const Config& config, engine::TimerQueue& timers,
               engine::Clock clock, engine::Log log, OnState on_state);

  /// Enters the protocol and begins to receive.
  void start(const Start& how = {});
  /// Leaves the protocol. An active instance advertises that it stops. `on_state` is called.
  void stop();
  /// Leaves the protocol without an advertisement or a call of `on_state`, because another process of this
  /// router continues in its state.
  void hand_over();

  [[nodiscard]] State state() const { return machine_.state(); }
  /// Returns when a backup takes over unless it receives an advertisement; nullopt in any other state.
  [[nodiscard]] std::optional<engine::Time> active_down_at() const {
    return state() == State::kBackup ? machine_.next_timer() : std::nullopt;
  }
  /// Returns the bound address, with the port that the system chose if the configured port is 0.
  [[nodiscard]] udp::endpoint local() const { return socket_.local_endpoint(); }
  /// Adds a peer to which advertisements are sent and from which they are accepted.
  void add_peer(const udp::endpoint& peer) { config_.peers.push_back(peer); }

 private:
  // The payload of an Ethernet frame; the largest valid packet has 1028 bytes.
  static constexpr std::size_t kReceiveBufferBytes = 1500;

  void receive();
  void handle_packet(std::size_t size);
  void apply(const StateMachine::Advertisements& advertisements);
  void send(const StateMachine::Advertisements& advertisements);
  void restart_timer();
  void report_state();
  void close_socket();

  Config config_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Log log_;
  OnState on_state_;
  StateMachine machine_;
  State reported_state_ = State::kInitialize;  // the last state that on_state_ was called with
  udp::socket socket_;
  udp::endpoint sender_;  // sender of the packet in receive_buffer_
  std::array<std::uint8_t, kReceiveBufferBytes> receive_buffer_{};
  engine::TimerId timer_;
};

}  // namespace dispatcher::vrrp

#endif  // DISPATCHER_VRRP_VRRP_INSTANCE_HPP_
