#include "upstream/release_targets.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace dispatcher::upstream {

namespace {

// The maximum number of calls in one round, as the other dispatchers of the fleet may be calling at the same
// time.
constexpr std::size_t kMaxRoundWidth = 8;
// The number of rounds at the first interval. They cover two reservation limits, within which any reachable
// endpoint is found.
constexpr int kRoundsBeforeBackoff = 12;
// The longest time between two rounds, so that a round follows soon after the end of an outage.
constexpr Duration kMaxInterval = std::chrono::seconds(1);

template <class Map, class Key>
int call_count_of(const Map& calls, const Key& key) {
  const auto it = calls.find(key);
  return it == calls.end() ? 0 : it->second;
}

bool is_known_reachable(const ReleaseCandidate& candidate) {
  return candidate.has_idle_connection && !candidate.is_unresponsive;
}

}  // namespace

// Prefers zones and cells with fewer calls: what makes one endpoint unreachable usually affects its
// neighbours too. Chooses the first of several equal candidates.
const ReleaseCandidate* ReleaseTargets::best_candidate(
    const std::vector<ReleaseCandidate>& candidates) const {
  const auto rank = [&](const ReleaseCandidate& candidate) {
    return std::tuple(-call_count_of(calls_by_zone_, candidate.zone),
                      -call_count_of(calls_by_cell_, routing::CellId{candidate.zone, candidate.cell}),
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
    const ReleaseCandidate* next = best_candidate(candidates);
    if (next == nullptr) {  // all have been called: starts over
      if (!targets.empty()) break;
      called_.clear();
      continue;
    }
    // If even the best candidate may be unreachable, a single call could waste a round.
    const bool is_first_call = call_count_ == 0 && targets.empty();
    if (is_first_call && !is_known_reachable(*next)) width_ = 2;
    targets.push_back(next->endpoint);
    record_call(*next);
  }
  width_ = std::min(2 * width_, kMaxRoundWidth);
  return targets;
}

void ReleaseTargets::record_call(const ReleaseCandidate& target) {
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
