#include "routing/reader_selection.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <vector>

#include "routing/cached_prompts.hpp"
#include "routing/hashing.hpp"
#include "routing/load_estimate.hpp"
#include "routing/retry_policy.hpp"
#include "routing/slow_start.hpp"

namespace dispatcher::routing {
namespace {

constexpr double kPrefixWeight = 3;  // weight of the prompt's cached fraction in the score
constexpr double kLoadWeight = 2;    // weight of the free capacity in the score
constexpr double kMemoryWeight = 2;  // weight of the free memory in the score
constexpr double kTotalWeight = kPrefixWeight + kLoadWeight + kMemoryWeight;
// Bounds, in mean loads, of the load difference that is scaled to the full range of scores. Smaller
// differences are not stretched, and an overloaded endpoint must not hide the differences between the others.
constexpr double kMinLoadSpread = 0.5;
constexpr double kMaxLoadSpread = 2;
constexpr double kMinMeanLoadTokens = 5000;  // smaller mean loads are noise of idle endpoints
constexpr double kMinFullStates = 8;  // fewer waiting states at the fullest reader are no shortage of memory
constexpr double kTieBand = 0.05;     // scores this close to the best are ties, which a hash resolves
constexpr double kMixedTieShare = 0.8;   // weight of a mixed endpoint in ties, relative to a reader
constexpr double kRemoteTieShare = 0.4;  // the same for a reader with no writer in its zone
// Added to the score of an endpoint for which slow start has drawn the request.
constexpr double kWarmupDrawBonus = 0.3;

// An eligible endpoint.
struct Candidate {
  Endpoint* endpoint;
  double load;    // in prompt tokens; after normalize(), a multiple of its role's mean
  double memory;  // after normalize(), the used fraction
  double score;
};

// Loads of the ready endpoints that read prompts, whether eligible or not. Arrays are indexed by
// role_index().
struct RoleLoads {
  std::array<RoleStatistics, kRoles> statistics;
  std::array<double, kRoles> sum{}, count{};
  double max_states = kMinFullStates;  // number of waiting states at the reader that has the most
};

// Returns the value by which ties are resolved: the endpoint with the highest one wins. It is a weighted hash
// of key and endpoint; the hash is the same in all routers.
double tie_break(const SelectionContext& selection, const RoleBalance& balance, const Endpoint& endpoint,
                 std::uint64_t key) {
  const double share = endpoint.role == Role::kMixed
                           ? kMixedTieShare / balance.mixed_over_paired()
                           : kRemoteTieShare + (1 - kRemoteTieShare) * endpoint.local_write_share;
  const double capacity = selection.slow_start.admits_by_draw(selection.context, endpoint)
                              ? 1
                              : effective_capacity(selection.context, endpoint);
  return weighted_rendezvous(key, endpoint.name_hash, endpoint.weight * capacity * share);
}

// Returns the eligible endpoints with their loads, and adds the loads of all ready endpoints that read
// prompts to `loads`. A reader is eligible only while an attempt at a writer is left as well.
std::vector<Candidate> find_candidates(const SelectionContext& selection, const RequestState& state,
                                       RoleLoads& loads) {
  std::vector<Candidate> candidates;
  const bool may_read_only = retry_policy::has_attempts_for_both_stages(state);
  for (auto& [name, endpoint] : selection.endpoints.entries()) {
    if (endpoint.state != EndpointState::kReady || endpoint.role == Role::kWriter) continue;
    const std::size_t role = role_index(endpoint.role);
    loads.max_states = std::max(loads.max_states, static_cast<double>(endpoint.waiting_states));
    const double load = prompt_load(selection.context, endpoint, loads.statistics[role]);
    loads.sum[role] += load;
    loads.count[role] += 1;
    const bool executes = endpoint.role == Role::kMixed;
    if (!executes && !may_read_only) continue;
    if (is_eligible(selection, endpoint, state, executes ? Step::kExecute : Step::kRead))
      candidates.push_back({&endpoint, load, 0, 0});
  }
  if (!selection.context.settings->writers_can_prefill || !candidates.empty()) return candidates;
  for (auto& [name, endpoint] : selection.endpoints.entries()) {
    if (endpoint.role == Role::kWriter && is_eligible(selection, endpoint, state, Step::kExecute))
      candidates.push_back({&endpoint, 0, 0, 0});
  }
  return candidates;
}

// Converts the candidate's load to a multiple of its role's mean, and sets its memory to the used fraction.
void normalize(const SelectionContext& selection, const RoleBalance& balance, const RoleLoads& loads,
               Candidate& candidate) {
  const Endpoint& endpoint = *candidate.endpoint;
  const std::size_t role = role_index(endpoint.role);
  const double mean = loads.count[role] > 0 ? loads.sum[role] / loads.count[role] : 0;
  candidate.load /= std::max(mean, kMinMeanLoadTokens);
  if (endpoint.role == Role::kMixed) candidate.load *= balance.mixed_over_paired();
  const std::optional<double>& reported = endpoint.report.memory_share;
  candidate.memory =
      reported ? aged_report(selection.context, endpoint, *reported, loads.statistics[role].memory_share)
               : endpoint.waiting_states / loads.max_states;
}

// Sets the candidates' scores. Returns the highest one.
double set_scores(const SelectionContext& selection, const RequestState& state,
                  std::vector<Candidate>& candidates) {
  double min_load = std::numeric_limits<double>::max();
  double max_load = 0;
  for (const Candidate& candidate : candidates) {
    min_load = std::min(min_load, candidate.load);
    max_load = std::max(max_load, candidate.load);
  }
  const double spread = std::clamp(max_load - min_load, kMinLoadSpread, kMaxLoadSpread);
  const double prompt_tokens = state.request.prompt_tokens;
  double max_score = 0;
  for (Candidate& candidate : candidates) {
    const double prefix = prompt_tokens > 0 ? cached_tokens(*candidate.endpoint, state) / prompt_tokens : 0;
    const double free_load = std::clamp(1 - (candidate.load - min_load) / spread, 0.0, 1.0);
    const double free_memory = std::clamp(1 - candidate.memory, 0.0, 1.0);
    candidate.score =
        (kPrefixWeight * prefix + kLoadWeight * free_load + kMemoryWeight * free_memory) / kTotalWeight;
    if (selection.slow_start.admits_by_draw(selection.context, *candidate.endpoint))
      candidate.score += kWarmupDrawBonus;
    max_score = std::max(max_score, candidate.score);
  }
  return max_score;
}

// Returns the candidate with the highest weighted sum of prefix match, free capacity and free memory, each
// from 0 to 1. Returns null if there is no candidate.
Endpoint* choose_best(const SelectionContext& selection, const RoleBalance& balance,
                      const RequestState& state) {
  RoleLoads loads{selection.endpoints.statistics_by_role()};
  std::vector<Candidate> candidates = find_candidates(selection, state, loads);
  for (Candidate& candidate : candidates) normalize(selection, balance, loads, candidate);
  const double max_score = set_scores(selection, state, candidates);
  Endpoint* best = nullptr;
  double best_tie_break = 0;
  for (const Candidate& candidate : candidates) {
    // A reinstated endpoint's prefix cache counts as empty: its score would hardly ever be the highest.
    if (candidate.endpoint->awaits_first_send) return candidate.endpoint;
    if (candidate.score < max_score - kTieBand) continue;
    const double own_tie_break = tie_break(selection, balance, *candidate.endpoint, state.affinity_key);
    if (best != nullptr && own_tie_break <= best_tie_break) continue;
    best = candidate.endpoint;
    best_tie_break = own_tie_break;
  }
  return best;
}

}  // namespace

Endpoint* choose_reader(const SelectionContext& selection, const RoleBalance& balance, RequestState& state) {
  Endpoint* reader = choose_best(selection, balance, state);
  if (reader != nullptr || state.failed_endpoints.empty()) return reader;
  state.failed_endpoints.clear();  // a second attempt at one of them is better than none
  return choose_best(selection, balance, state);
}

}  // namespace dispatcher::routing
