// The VRRPv3 state machine (RFC 9568, section 6.4), pure: time, timers and packets are passed in, and what
// is to be sent is handed back. It decides which instance of a pair fronts an address.
#ifndef DISPATCHER_VRRP_STATE_MACHINE_HPP_
#define DISPATCHER_VRRP_STATE_MACHINE_HPP_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "vrrp/packet.hpp"

namespace dispatcher::vrrp {

using Time = std::chrono::microseconds;
using Duration = std::chrono::microseconds;

enum class State { kInitialize, kBackup, kActive };

struct Parameters {
  std::uint8_t vrid = 1;
  std::uint8_t priority = 100;      // 1 to 254; 255 owns the addresses
  std::uint16_t interval_cs = 100;  // between advertisements, 1 to 4095
  bool preempt = true;              // take over from an active router of lower priority
  Address primary{};                // our own: the higher one wins among equals
  std::vector<Address> addresses;   // that the pair shares
};

class StateMachine {
 public:
  explicit StateMachine(const Parameters& parameters) : p_(parameters), active_interval_cs_(p_.interval_cs) {}

  // Each returns the advertisements that are to be sent now, in order.
  using Sent = std::vector<Advertisement>;
  // `succeeds`: another process of this router was the active one, and has just left without a word.
  Sent startup(Time now, bool succeeds = false);
  Sent shutdown();
  Sent timer(Time now);  // at or after next_timer()
  Sent receive(Time now, const Advertisement& advertisement, const Address& from);

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] std::optional<Time> next_timer() const { return timer_; }
  [[nodiscard]] Duration skew()
      const;  // the higher the priority, the shorter: the best backup is the first to act
  [[nodiscard]] Duration active_down() const;  // silence after which the active router is taken for gone
  [[nodiscard]] bool owner() const { return p_.priority == 255; }

 private:
  Sent become_active(Time now);
  void become_backup(Time now);
  [[nodiscard]] Advertisement own(std::uint8_t priority) const;
  Parameters p_;
  State state_ = State::kInitialize;
  std::uint16_t active_interval_cs_;  // as the active router last advertised
  std::optional<Time> timer_;         // Active_Down_Timer of a backup, Adver_Timer of the active router
};

}  // namespace dispatcher::vrrp

#endif  // DISPATCHER_VRRP_STATE_MACHINE_HPP_
