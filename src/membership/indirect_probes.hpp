// The helper's part of SWIM's indirect probes: pings on behalf of members that could not reach the target
// themselves, and Lifeguard's nacks, by which they know that the helper at least was reached.
#ifndef DISPATCHER_MEMBERSHIP_INDIRECT_PROBES_HPP_
#define DISPATCHER_MEMBERSHIP_INDIRECT_PROBES_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "membership/parameters.hpp"

namespace dispatcher::membership {

// A ping on behalf of another member.
struct IndirectProbe {
  MemberIndex origin = 0;             // the member that asked for it
  std::uint32_t origin_sequence = 0;  // of its probe
  std::uint32_t sequence = 0;         // of the ping
  MemberIndex target = 0;
  Time nack_at{};
  Time deadline{};  // an ack that comes later is of no use to the origin
  bool is_nacked = false;
};

// The pings whose acks are awaited, at most kMaxCount. Part of a Membership; used on its thread.
class IndirectProbes {
 public:
  static constexpr std::size_t kMaxCount = 32;  // bounds the memory that ping requests take

  explicit IndirectProbes(const Parameters& parameters) : parameters_(parameters) {}

  [[nodiscard]] bool is_full() const { return probes_.size() >= kMaxCount; }
  // A ping request arrived, and its target is pinged with `sequence`. Not while is_full().
  void start(Time now, MemberIndex origin, const Probe& request, std::uint32_t sequence);
  // An ack arrived. Returns the ack to the origin; none: it answers none of these pings.
  [[nodiscard]] std::optional<OutgoingMessage> on_ack(MemberIndex from, std::uint32_t sequence);
  // Adds the nacks that are due, and forgets pings past their deadline.
  void tick(Time now, std::vector<OutgoingMessage>& out);
  // When tick() has something to do next; none: nothing.
  [[nodiscard]] std::optional<Time> next_deadline() const;
  void clear() { probes_.clear(); }

  [[nodiscard]] const std::vector<IndirectProbe>& pending() const { return probes_; }

 private:
  Parameters parameters_;
  std::vector<IndirectProbe> probes_;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_INDIRECT_PROBES_HPP_
