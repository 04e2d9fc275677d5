#include "upstream/release_targets.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace dispatcher::upstream {

namespace {

// Calls of one round: the other dispatchers of the fleet may be calling as well.
constexpr std::size_t kMaxRoundWidth = 8;
// Rounds at the first interval: they cover two reservation limits, within which any reachable replica is
// found.
constexpr int kRoundsBeforeBackoff = 12;
// After an outage, the next round must not be far.
constexpr Duration kMaxInterval = std::chrono::seconds(1);

template <class Map, class Key>
int calls_to(const Map& calls, const Key& key) {
  const auto it = calls.find(key);
  return it == calls.end() ? 0 : it->second;
}

bool is_known_reachable(const ReleaseCandidate& candidate) {
  return candidate.has_idle_connection && !candidate.is_unresponsive;
}

}  // namespace

// Zones and cells with fewer calls come first: what makes one endpoint unreachable mostly does so to its
// neighbours. Of equals, the first one in the list is taken.
const ReleaseCandidate* ReleaseTargets::best(const std::vector<ReleaseCandidate>& candidates) const {
  const auto rank = [&](const ReleaseCandidate& candidate) {
    return std::tuple(-calls_to(calls_by_zone_, candidate.zone),
                      -calls_to(calls_by_cell_, routing::CellId{candidate.zone, candidate.cell}),
                      !candidate.is_unresponsive, candidate.has_idle_connection, candidate.last_received);
  };
  const ReleaseCandidate* found = nullptr;
  for (const ReleaseCandidate& candidate : candidates) {
    if (called_.contains(candidate.endpoint)) continue;
    if (found == nullptr || rank(candidate) > rank(*found)) found = &candidate;
  }
  return found;
}

std::vector<EndpointId> ReleaseTargets::next_round(Time now, const std::vector<ReleaseCandidate>& candidates,
                                                   std::size_t max_targets) {
  std::vector<EndpointId> targets;
  if (has_expired(now) || max_targets == 0) return targets;
  ++round_count_;
  while (targets.size() < std::min({width_, candidates.size(), max_targets})) {
    const ReleaseCandidate* next = best(candidates);
    if (next == nullptr) {  // all were called: from the start
      if (!targets.empty()) break;
      called_.clear();
      continue;
    }
    // Where even the best may not be reachable, a single call would lose a round.
    const bool is_first_call = call_count_ == 0 && targets.empty();
    if (is_first_call && !is_known_reachable(*next)) width_ = 2;
    targets.push_back(next->endpoint);
    note_call(*next);
  }
  width_ = std::min(2 * width_, kMaxRoundWidth);
  return targets;
}

void ReleaseTargets::note_call(const ReleaseCandidate& target) {
  called_.insert(target.endpoint);
  ++calls_by_zone_[target.zone];
  ++calls_by_cell_[{target.zone, target.cell}];
  ++call_count_;
}

Duration ReleaseTargets::next_interval() const {
  Duration interval = interval_;
  for (int round = kRoundsBeforeBackoff; round < round_count_ && interval < kMaxInterval; ++round) {
    interval *= 2;
  }
  return std::max(interval_, std::min(interval, kMaxInterval));
}

}  // namespace dispatcher::upstream
