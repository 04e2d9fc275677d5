#include "membership/indirect_probes.hpp"

#include <algorithm>

namespace dispatcher::membership {

void IndirectProbes::start(Time now, MemberIndex origin, const Probe& request, std::uint32_t sequence) {
  IndirectProbe probe;
  probe.origin = origin;
  probe.origin_sequence = request.sequence;
  probe.sequence = sequence;
  probe.target = request.target;
  // The nack must reach the origin within its timeout: the last fifth is reserved for network latency.
  probe.nack_at = now + parameters_.probe_timeout * 4 / 5;
  probe.deadline = now + parameters_.probe_interval;
  probes_.push_back(probe);
}

std::optional<OutgoingMessage> IndirectProbes::on_ack(MemberIndex from, std::uint32_t sequence) {
  const auto probe = std::find_if(probes_.begin(), probes_.end(), [&](const IndirectProbe& candidate) {
    return candidate.sequence == sequence && candidate.target == from;
  });
  if (probe == probes_.end()) return std::nullopt;
  const OutgoingMessage ack{probe->origin, Probe::ack(probe->origin_sequence)};
  probes_.erase(probe);
  return ack;
}

void IndirectProbes::tick(Time now, std::vector<OutgoingMessage>& out) {
  for (IndirectProbe& probe : probes_) {
    if (probe.is_nacked || probe.nack_at > now) continue;
    probe.is_nacked = true;
    out.push_back({probe.origin, Probe::nack(probe.origin_sequence)});
  }
  std::erase_if(probes_, [&](const IndirectProbe& probe) { return probe.deadline <= now; });
}

std::optional<Time> IndirectProbes::next_deadline() const {
  std::optional<Time> earliest;
  for (const IndirectProbe& probe : probes_) {
    const Time deadline = probe.is_nacked ? probe.deadline : probe.nack_at;
    earliest = earliest ? std::min(*earliest, deadline) : deadline;
  }
  return earliest;
}

}  // namespace dispatcher::membership
