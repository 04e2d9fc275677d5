// The helper's part of SWIM's indirect probes: pings on behalf of members that could not reach the target
// themselves, and Lifeguard's nacks, which confirm to them that the helper was reached.
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
  MemberIndex origin = 0;             // the member that requested it
  std::uint32_t origin_sequence = 0;  // of its probe
  std::uint32_t sequence = 0;         // of the ping
  MemberIndex target = 0;
  Time nack_at{};
  Time deadline{};  // the end of the origin's probe interval: later acks are of no use to it
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
  // An ack arrived. Returns the ack to send to the origin; none where it answers none of these pings.
  [[nodiscard]] std::optional<OutgoingMessage> on_ack(MemberIndex from, std::uint32_t sequence);
  // Adds the nacks that are due, and removes pings past their deadline.
  void tick(Time now, std::vector<OutgoingMessage>& out);
  // When the next nack or deadline is due; none where no ack is awaited.
  [[nodiscard]] std::optional<Time> next_deadline() const;
  void clear() { probes_.clear(); }

  [[nodiscard]] const std::vector<IndirectProbe>& pending() const { return probes_; }

 private:
  Parameters parameters_;
  std::vector<IndirectProbe> probes_;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_INDIRECT_PROBES_HPP_
