// The VRRPv3 state machine (RFC 9568, section 6.4) without I/O: the time, timer expiries and packets are
// passed in, and the advertisements to send are returned. It decides which instance of a pair serves the
// virtual addresses.
#ifndef DISPATCHER_VRRP_STATE_MACHINE_HPP_
#define DISPATCHER_VRRP_STATE_MACHINE_HPP_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "vrrp/packet.hpp"

namespace dispatcher::vrrp {

/// A time of the caller's monotonic clock, since that clock's epoch.
using Time = std::chrono::microseconds;
using Duration = std::chrono::microseconds;

/// The states of RFC 9568, section 6.3.
enum class State { kInitialize, kBackup, kActive };

/// The state in which a router enters the protocol.
enum class StartMode {
  kNormal,       // as RFC 9568 specifies: the address owner as active, any other router as backup
  kResumeActive  // as active, in place of a process of this router that was active and stopped silently
};

/// How a router enters the protocol.
struct Start {
  StartMode mode = StartMode::kNormal;
  /// When the Active_Down_Timer expires of a process that was a backup and that this one replaces. Empty: the
  /// timer starts anew.
  std::optional<Time> active_down_at = std::nullopt;
};

/// The parameters of one virtual router (RFC 9568, section 6.1).
struct Parameters {
  std::uint8_t vrid = 1;            // virtual router identifier, 1 to 255
  std::uint8_t priority = 100;      // 1 to 254, or kOwnerPriority
  std::uint16_t interval_cs = 100;  // Advertisement_Interval in centiseconds, 1 to 4095
  bool preempt = true;              // Preempt_Mode: take over from an active router of lower priority
  Address primary{};  // this router's own address; among equal priorities the higher address wins
  std::vector<Address> addresses;  // the virtual addresses
};

/// One router's view of one virtual router. Not thread-safe.
class StateMachine {
 public:
  explicit StateMachine(const Parameters& parameters)
      : parameters_(parameters), active_interval_cs_(parameters.interval_cs) {}

  /// Advertisements to send now, in order.
  using Advertisements = std::vector<Advertisement>;

  /// Leaves kInitialize; does nothing in any other state.
  Advertisements startup(Time now, const Start& start = {});
  /// Returns to kInitialize. An active router advertises kShutdownPriority.
  Advertisements shutdown();
  /// Handles the expiry of the timer. Must be called at or after next_timer(); does nothing before.
  Advertisements timer(Time now);
  /// Handles the advertisement of another router, whose primary address is `sender`.
  Advertisements receive(Time now, const Advertisement& advertisement, const Address& sender);

  [[nodiscard]] State state() const { return state_; }
  /// Returns the time at which timer() is due, or nullopt in kInitialize.
  [[nodiscard]] std::optional<Time> next_timer() const { return timer_; }
  /// Returns Skew_Time, which is shorter for a higher priority, so that the best backup takes over first.
  [[nodiscard]] Duration skew_time() const;
  /// Returns Active_Down_Interval, the time without advertisements after which a backup considers the active
  /// router failed.
  [[nodiscard]] Duration active_down_interval() const;
  [[nodiscard]] bool is_owner() const { return parameters_.priority == kOwnerPriority; }

 private:
  Advertisements become_active(Time now);
  void become_backup(Time now);
  void receive_as_backup(Time now, const Advertisement& advertisement);
  Advertisements receive_as_active(Time now, const Advertisement& advertisement, const Address& sender);
  [[nodiscard]] Advertisement advertisement_with(std::uint8_t priority) const;

  Parameters parameters_;
  State state_ = State::kInitialize;
  std::uint16_t active_interval_cs_;  // Active_Adver_Interval that the active router last advertised
  std::optional<Time> timer_;         // Active_Down_Timer of a backup, Adver_Timer of the active router
};

}  // namespace dispatcher::vrrp

#endif  // DISPATCHER_VRRP_STATE_MACHINE_HPP_
