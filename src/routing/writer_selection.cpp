#include "routing/writer_selection.hpp"

#include <algorithm>
#include <vector>

#include "routing/hashing.hpp"
#include "routing/load_estimate.hpp"
#include "routing/locality.hpp"
#include "routing/region_capacity.hpp"

namespace dispatcher::routing {
namespace {

// A request leaves its reader's cell if the load there exceeds a multiple of the mean load. The multiple is
// this value plus a term for the number of routers; see leave_threshold().
constexpr double kLeaveCellLoad = 1.2;
constexpr double kLeaveCellStreams = 2;  // the load must also exceed the mean by this many streams

// Returns what the endpoint's cell can write beyond what its own readers need, as a share of its writers.
// Cells in another zone than the reader's count less.
double spare_share(const FleetCapacities& capacities, const Endpoint& endpoint, const Endpoint& reader) {
  const RegionCapacity cell = capacities.cell_of(endpoint);
  const RegionCapacity& all = capacities.all;
  const double spare = 1 - share_of(share_of(cell.readers, all.readers), share_of(cell.writers, all.writers));
  return std::max(0.0, spare) * (endpoint.zone == reader.zone ? 1.0 : kOtherZoneWeight);
}

// Chooses a writer among the eligible endpoints of one role. It is the endpoint with the fewest streams in
// the reader's cell, unless the load of this endpoint is well above the mean of all. No router sees how many
// requests all routers together send to a cell, so only as many requests stay in the cell as its share of all
// writers can take.
class WriterChoice {
 public:
  WriterChoice(const SelectionContext& selection, const RequestState& state, Role role)
      : selection_(selection),
        role_(role),
        reader_(selection.endpoints.find(state.reader)),
        salt_(hash_text(state.request.id.value()) ^
              mix_bits(static_cast<std::uint64_t>(selection.context.settings->router_number))) {
    for (auto& [name, endpoint] : selection.endpoints.entries()) {
      if (endpoint.role != role || !is_eligible(selection, endpoint, state, Step::kExecute)) continue;
      candidates_.push_back({&endpoint, stream_load(selection.context, endpoint)});
      load_sum_ += candidates_.back().load;
    }
  }

  // Returns the chosen endpoint, or null if there is no candidate.
  [[nodiscard]] Endpoint* choose() const {
    const Candidate preferred =
        least_loaded([&](const Endpoint& endpoint) { return is_preferred(endpoint) ? 1.0 : 0.0; });
    if (preferred.endpoint != nullptr) return preferred.endpoint;
    const Candidate local =
        least_loaded([&](const Endpoint& endpoint) { return is_local(endpoint) ? 1.0 : 0.0; });
    if (local.endpoint == nullptr || is_overloaded(local))
      return least_loaded([](const Endpoint&) { return 1.0; }).endpoint;

    const FleetCapacities capacities = measure_capacities(selection_.context, selection_.endpoints, role_);
    if (stays_in_cell(capacities)) return local.endpoint;
    const Candidate remote = least_loaded([&](const Endpoint& endpoint) {
      return is_local(endpoint) ? 0.0 : spare_share(capacities, endpoint, *reader_);
    });
    return remote.endpoint != nullptr ? remote.endpoint : local.endpoint;
  }

 private:
  struct Candidate {
    Endpoint* endpoint = nullptr;
    double load = 0;  // in streams
  };

  [[nodiscard]] bool is_local(const Endpoint& endpoint) const {
    return reader_ != nullptr && in_same_cell(endpoint, *reader_);
  }

  // Returns whether the endpoint needs this request in order to be measured, or is in the reader's cell and
  // slow start has drawn the request for it.
  [[nodiscard]] bool is_preferred(const Endpoint& endpoint) const {
    return endpoint.awaits_first_send ||
           (selection_.slow_start.admits_by_draw(selection_.context, endpoint) && is_local(endpoint));
  }

  // Returns the multiple of its share up to which a cell is used. It is higher if there are few routers,
  // because each of them then sees most of the load itself.
  [[nodiscard]] double leave_threshold() const {
    return kLeaveCellLoad + 1.0 / selection_.context.settings->router_count;
  }

  [[nodiscard]] bool is_overloaded(const Candidate& local) const {
    const double mean_load = load_sum_ / static_cast<double>(candidates_.size());
    const double max_load = std::max(leave_threshold() * mean_load, mean_load + kLeaveCellStreams);
    return local.load > max_load;
  }

  // Returns whether the request is, by its hash, among those that the writers of its reader's cell can take.
  [[nodiscard]] bool stays_in_cell(const FleetCapacities& capacities) const {
    const RegionCapacity cell = capacities.cell_of(*reader_);
    if (cell.readers <= 0) return true;
    const RegionCapacity& all = capacities.all;
    const double stay =
        leave_threshold() * share_of(cell.writers, all.writers) / share_of(cell.readers, all.readers);
    return unit_interval(mix_bits(salt_)) < stay;
  }

  // Returns the candidate with the fewest streams. Ties are resolved by a hash that is weighted by each
  // candidate's share, from 0 to 1, which `share_for` returns. Candidates without a share are left out; if
  // none has a share, the returned endpoint is null.
  template <typename ShareFor>
  [[nodiscard]] Candidate least_loaded(const ShareFor& share_for) const {
    Candidate best;
    double best_tie_break = 0;
    for (const Candidate& candidate : candidates_) {
      if (best.endpoint != nullptr && candidate.load > best.load) continue;
      const Endpoint& endpoint = *candidate.endpoint;
      const double share = share_for(endpoint);
      if (share <= 0) continue;
      const double tie_break = weighted_rendezvous(salt_, endpoint.name_hash, endpoint.weight * share);
      const bool is_tie = best.endpoint != nullptr && candidate.load == best.load;
      if (is_tie && tie_break <= best_tie_break) continue;
      best = candidate;
      best_tie_break = tie_break;
    }
    return best;
  }

  const SelectionContext& selection_;
  const Role role_;
  const Endpoint* reader_;  // of the request's prompt; null if it is no longer known
  const std::uint64_t salt_;
  std::vector<Candidate> candidates_;
  double load_sum_ = 0;  // sum over the candidates, in streams
};

}  // namespace

Endpoint* choose_writer(const SelectionContext& selection, const RequestState& state) {
  Endpoint* writer = WriterChoice(selection, state, Role::kWriter).choose();
  return writer != nullptr ? writer : WriterChoice(selection, state, Role::kMixed).choose();
}

}  // namespace dispatcher::routing
