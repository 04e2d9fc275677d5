#include "vrrp/state_machine.hpp"

#include <algorithm>

namespace dispatcher::vrrp {

namespace {

// Number of missed advertisements after which, plus the skew time, the active router is considered failed.
constexpr int kMissedAdvertisements = 3;
// Number of priorities, by which Skew_Time divides the interval.
constexpr int kPriorityCount = 256;

Duration centiseconds(std::uint16_t count) { return std::chrono::milliseconds(10) * count; }

}  // namespace

Duration StateMachine::skew_time() const {
  return centiseconds(active_interval_cs_) * (kPriorityCount - parameters_.priority) / kPriorityCount;
}

Duration StateMachine::active_down_interval() const {
  return kMissedAdvertisements * centiseconds(active_interval_cs_) + skew_time();
}

Advertisement StateMachine::advertisement_with(std::uint8_t priority) const {
  return {parameters_.vrid, priority, parameters_.interval_cs, parameters_.addresses};
}

StateMachine::Advertisements StateMachine::become_active(Time now) {
  state_ = State::kActive;
  timer_ = now + centiseconds(parameters_.interval_cs);
  return {advertisement_with(parameters_.priority)};
}

void StateMachine::become_backup(Time now) {
  state_ = State::kBackup;
  timer_ = now + active_down_interval();
}

StateMachine::Advertisements StateMachine::startup(Time now, const Start& start) {
  if (state_ != State::kInitialize) return {};
  if (is_owner() || start.mode == StartMode::kResumeActive) return become_active(now);
  active_interval_cs_ = parameters_.interval_cs;
  become_backup(now);
  if (start.active_down_at) timer_ = std::min(*timer_, *start.active_down_at);
  return {};
}

StateMachine::Advertisements StateMachine::shutdown() {
  const bool was_active = state_ == State::kActive;
  state_ = State::kInitialize;
  timer_.reset();
  if (!was_active) return {};
  return {advertisement_with(kShutdownPriority)};
}

StateMachine::Advertisements StateMachine::timer(Time now) {
  if (!timer_ || now < *timer_) return {};
  return become_active(now);  // a backup takes over; an active router advertises again
}

StateMachine::Advertisements StateMachine::receive(Time now, const Advertisement& advertisement,
                                                   const Address& sender) {
  // The owner never yields its own addresses.
  if (advertisement.vrid != parameters_.vrid || is_owner()) return {};
  switch (state_) {
    case State::kInitialize:
      return {};
    case State::kBackup:
      receive_as_backup(now, advertisement);
      return {};
    case State::kActive:
      return receive_as_active(now, advertisement, sender);
  }
  return {};
}

void StateMachine::receive_as_backup(Time now, const Advertisement& advertisement) {
  if (advertisement.priority == kShutdownPriority) {
    timer_ = now + skew_time();
    return;
  }
  // With preemption, an advertisement of lower priority is ignored, so that Active_Down_Timer expires.
  if (parameters_.preempt && advertisement.priority < parameters_.priority) return;
  active_interval_cs_ = advertisement.interval_cs;
  timer_ = now + active_down_interval();
}

StateMachine::Advertisements StateMachine::receive_as_active(Time now, const Advertisement& advertisement,
                                                             const Address& sender) {
  const bool is_higher = advertisement.priority > parameters_.priority ||
                         (advertisement.priority == parameters_.priority && sender > parameters_.primary);
  // If the other active router stops or must yield, this one advertises at once that it is active.
  if (advertisement.priority == kShutdownPriority || !is_higher) return become_active(now);
  active_interval_cs_ = advertisement.interval_cs;
  become_backup(now);
  return {};
}

}  // namespace dispatcher::vrrp
