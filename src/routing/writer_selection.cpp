#include "routing/writer_selection.hpp"

#include <algorithm>
#include <vector>

#include "routing/hashing.hpp"
#include "routing/load_estimate.hpp"
#include "routing/locality.hpp"
#include "routing/outlier_detection.hpp"

namespace dispatcher::routing {
namespace {

constexpr double kLeaveCellLoad = 1.2;   // multiple of the mean load at which the reader's cell is left
constexpr double kLeaveCellStreams = 2;  // ... and at least this many streams above the mean

struct Capacities {
  CellCapacities cells;
  RegionCapacity all;
};

double share_of(double part, double total) { return part / std::max(total, 1e-9); }

// What endpoints can do now, by cell: readers, and writers of this role.
Capacities measure_capacities(const SelectionContext& selection, Role role) {
  const Context& context = selection.context;
  Capacities capacities;
  for (const auto& [name, endpoint] : selection.endpoints.entries()) {
    if (endpoint.state != EndpointState::kReady || endpoint.is_ejected) continue;
    const double weight =
        endpoint.weight / slowdown(context, endpoint) * effective_capacity(context, endpoint);
    for (RegionCapacity* region : {&capacities.cells[{endpoint.zone, endpoint.cell}], &capacities.all}) {
      if (endpoint.role == Role::kReader) region->readers += weight;
      if (endpoint.role == role) region->writers += weight;
    }
  }
  return capacities;
}

// The candidate with the fewest streams. Ties go by hash, each weighed by the share that `share_for` gives
// it; one with no share is left out.
template <typename ShareFor>
Endpoint* least_loaded(const Context& context, const std::vector<Endpoint*>& candidates, std::uint64_t salt,
                       const ShareFor& share_for) {
  Endpoint* best = nullptr;
  double min_load = 0;
  double best_tie_break = 0;
  for (Endpoint* endpoint : candidates) {
    const double share = share_for(*endpoint);
    if (share <= 0) continue;
    const double load = stream_load(context, *endpoint);
    const double tie_break = weighted_rendezvous(salt, endpoint->name_hash, endpoint->weight * share);
    if (best != nullptr && (load > min_load || (load == min_load && tie_break <= best_tie_break))) continue;
    best = endpoint;
    min_load = load;
    best_tie_break = tie_break;
  }
  return best;
}

// What the endpoint's cell can write beyond what its own readers bring, as a share of its writers.
double spare_share(const Capacities& capacities, const Endpoint& endpoint, const Endpoint& reader) {
  const auto found = capacities.cells.find({endpoint.zone, endpoint.cell});
  const RegionCapacity cell = found != capacities.cells.end() ? found->second : RegionCapacity{};
  const RegionCapacity& all = capacities.all;
  const double spare = 1 - share_of(share_of(cell.readers, all.readers), share_of(cell.writers, all.writers));
  return std::max(0.0, spare) * (endpoint.zone == reader.zone ? 1.0 : kOtherZoneWeight);
}

// Fewest streams, in the reader's cell unless its best stands well above the mean of all writers. What many
// routers together bring a cell, none of them counts: only as much stays as its share of all writing takes.
Endpoint* choose_in_role(const SelectionContext& selection, const RequestState& state, Role role) {
  const Context& context = selection.context;
  const Settings& settings = *context.settings;
  const Endpoint* reader = selection.endpoints.find(state.reader);
  double load_sum = 0;
  std::vector<Endpoint*> candidates;
  for (auto& [name, endpoint] : selection.endpoints.entries()) {
    if (endpoint.role != role || !is_eligible(selection, endpoint, state, Step::kExecute)) continue;
    candidates.push_back(&endpoint);
    load_sum += stream_load(context, endpoint);
  }
  const std::uint64_t salt =
      hash_text(state.request.id.value()) ^ mix_bits(static_cast<std::uint64_t>(settings.router_number));
  const auto choose = [&](const auto& share_for) {
    return least_loaded(context, candidates, salt, share_for);
  };
  const auto is_local = [&](const Endpoint& endpoint) {
    return reader != nullptr && in_same_cell(endpoint, *reader);
  };

  Endpoint* preferred = choose([&](const Endpoint& endpoint) {
    const bool is_drawn = selection.slow_start.admits_by_draw(context, endpoint) && is_local(endpoint);
    return endpoint.awaits_first_send || is_drawn ? 1.0 : 0.0;
  });
  if (preferred != nullptr) return preferred;
  Endpoint* best = choose([](const Endpoint&) { return 1.0; });
  Endpoint* local = choose([&](const Endpoint& endpoint) { return is_local(endpoint) ? 1.0 : 0.0; });
  if (local == nullptr) return best;

  const double leave = kLeaveCellLoad + 1.0 / settings.router_count;  // few routers: own counts see the rest
  const double mean_load = load_sum / static_cast<double>(candidates.size());
  if (stream_load(context, *local) > std::max(leave * mean_load, mean_load + kLeaveCellStreams)) return best;

  Capacities capacities = measure_capacities(selection, role);
  const RegionCapacity& all = capacities.all;
  const RegionCapacity& cell = capacities.cells[{reader->zone, reader->cell}];
  const double stay = leave * share_of(cell.writers, all.writers) / share_of(cell.readers, all.readers);
  if (cell.readers <= 0 || unit_interval(mix_bits(salt)) < stay) return local;
  Endpoint* remote = choose([&](const Endpoint& endpoint) {
    return is_local(endpoint) ? 0.0 : spare_share(capacities, endpoint, *reader);
  });
  return remote != nullptr ? remote : local;
}

}  // namespace

Endpoint* choose_writer(const SelectionContext& selection, const RequestState& state) {
  Endpoint* writer = choose_in_role(selection, state, Role::kWriter);
  return writer != nullptr ? writer : choose_in_role(selection, state, Role::kMixed);
}

}  // namespace dispatcher::routing
