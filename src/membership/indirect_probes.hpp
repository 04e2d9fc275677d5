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

// A ping that this member sent on behalf of another member.
struct IndirectProbe {
  MemberIndex origin = 0;             // the member that requested it
  std::uint32_t origin_sequence = 0;  // the sequence number of the origin's probe
  std::uint32_t sequence = 0;         // the sequence number of the ping
  MemberIndex target = 0;             // the member that is pinged
  Time nack_at{};                     // when the origin is sent a nack if the target has not answered
  Time deadline{};  // the end of the origin's probe interval; the origin has no use for a later ack
  bool is_nacked = false;
};

// Tracks the indirect probes that are waiting for an ack, at most kMaxCount. Part of a Membership; used on
// its thread.
class IndirectProbes {
 public:
  static constexpr std::size_t kMaxCount = 32;  // bounds the memory that ping requests take

  explicit IndirectProbes(const Parameters& parameters) : parameters_(parameters) {}

  [[nodiscard]] bool is_full() const { return probes_.size() >= kMaxCount; }
  // Records that `request` arrived from `origin` and that its target is pinged with `sequence`. Must not be
  // called while is_full().
  void start(Time now, MemberIndex origin, const Probe& request, std::uint32_t sequence);
  // Called when an ack arrives. Returns the ack to send to the origin, or nullopt if the received ack answers
  // none of these pings.
  [[nodiscard]] std::optional<OutgoingMessage> on_ack(MemberIndex from, std::uint32_t sequence);
  // Appends the nacks that are due to `out`, and removes pings past their deadline.
  void tick(Time now, std::vector<OutgoingMessage>& out);
  // Returns when the next nack or deadline is due, or nullopt if no ack is awaited.
  [[nodiscard]] std::optional<Time> next_deadline() const;
  void clear() { probes_.clear(); }

  [[nodiscard]] const std::vector<IndirectProbe>& pending() const { return probes_; }

 private:
  Parameters parameters_;
  std::vector<IndirectProbe> probes_;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_INDIRECT_PROBES_HPP_
