#include "vrrp/state_machine.hpp"

namespace dispatcher::vrrp {

namespace {
Duration centiseconds(std::int64_t n) { return std::chrono::milliseconds(10 * n); }
}  // namespace

Duration StateMachine::skew() const { return centiseconds(active_interval_cs_) * (256 - p_.priority) / 256; }

Duration StateMachine::active_down() const { return 3 * centiseconds(active_interval_cs_) + skew(); }

Advertisement StateMachine::own(std::uint8_t priority) const {
  return {p_.vrid, priority, p_.interval_cs, p_.addresses};
}

StateMachine::Sent StateMachine::become_active(Time now) {
  state_ = State::kActive;
  timer_ = now + centiseconds(p_.interval_cs);
  return {own(p_.priority)};
}

void StateMachine::become_backup(Time now) {
  state_ = State::kBackup;
  timer_ = now + active_down();
}

StateMachine::Sent StateMachine::startup(Time now, bool succeeds) {
  if (state_ != State::kInitialize) return {};
  if (owner() || succeeds) return become_active(now);
  active_interval_cs_ = p_.interval_cs;
  become_backup(now);
  return {};
}

StateMachine::Sent StateMachine::shutdown() {
  const bool was_active = state_ == State::kActive;
  state_ = State::kInitialize;
  timer_.reset();
  if (!was_active) return {};
  return {own(0)};  // so that a backup need not wait for the silence
}

StateMachine::Sent StateMachine::timer(Time now) {
  if (!timer_ || now < *timer_) return {};
  return become_active(now);  // a backup takes over; the active router advertises once more
}

StateMachine::Sent StateMachine::receive(Time now, const Advertisement& a, const Address& from) {
  // The owner takes no one's word for its own addresses, and other groups are none of ours.
  if (a.vrid != p_.vrid || owner() || state_ == State::kInitialize) return {};
  if (state_ == State::kBackup) {
    if (a.priority == 0) {
      timer_ = now + skew();
    } else if (!p_.preempt || a.priority >= p_.priority) {
      active_interval_cs_ = a.interval_cs;
      timer_ = now + active_down();
    }
    return {};
  }
  if (a.priority == 0) return become_active(now);  // the other leaves: say at once who stays
  if (a.priority > p_.priority || (a.priority == p_.priority && from > p_.primary)) {
    active_interval_cs_ = a.interval_cs;
    become_backup(now);
    return {};
  }
  return become_active(now);  // a lower one claims the addresses: assert who is active
}

}  // namespace dispatcher::vrrp
