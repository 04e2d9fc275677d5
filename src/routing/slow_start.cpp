#include "routing/slow_start.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "routing/hashing.hpp"

namespace dispatcher::routing {
namespace {

// Share of the bound N that routers use when they admit requests by budget: see docs/design/slow-start.md.
constexpr double kBudgetShare = 0.6;
// Share of the bound N that routers use when they admit requests by draw. Leaves room for random variation.
constexpr double kDrawShare = 0.36;
constexpr double kRemoteDrawShare = 0.25;  // share of a writer's draws that requests read in any cell get
constexpr double kMinCapacity = 0.1;       // least share of the full capacity by which a load is divided
constexpr Duration kRateWindow = Milliseconds(8000);   // results within it are counted; smooths bursts
constexpr Duration kMinRateSpan = Milliseconds(1000);  // least span of a rate, as one result is no rate

// Returns the factor on the share drawn for a writer, which depends on where the request was read: in the
// writer's own cell, which does `cell_reader_share` of all reads, or in another one. The sum over all
// requests stays the same, so that neither a cell with few writers nor requests of other cells under overload
// increase it.
double cell_draw_factor(bool is_own_cell, double cell_reader_share) {
  if (cell_reader_share <= 0) return 1;
  return kRemoteDrawShare + (is_own_cell ? (1 - kRemoteDrawShare) / cell_reader_share : 0);
}

}  // namespace

double effective_capacity(const Context& context, const Endpoint& endpoint) {
  return std::max(kMinCapacity, warmup_fraction(context, endpoint));
}

SlowStart::SlowStart() : rates_(kRateWindow, kMinRateSpan) {}

double SlowStart::budget(const Context& context, const Endpoint& endpoint) const {
  const Settings& settings = *context.settings;
  return kBudgetShare * settings.overload_multiple * warmup_fraction(context, endpoint) *
         std::chrono::duration<double>(settings.overload_window).count() *
         rates_.rate_per_endpoint(endpoint.role);
}

double SlowStart::draw_share(const Context& context, const EndpointTable& endpoints, const Endpoint& endpoint,
                             const RequestState& state) const {
  const double drawn = kDrawShare * context.settings->overload_multiple * warmup_fraction(context, endpoint);
  const double share = std::min(1.0, drawn) / std::max(1.0, rates_.ready_count(endpoint.role));
  if (endpoint.role != Role::kWriter) return share;
  const Endpoint* reader = endpoints.find(state.reader);
  if (reader == nullptr) return share;
  return share * cell_draw_factor(in_same_cell(endpoint, *reader), endpoint.cell_reader_share);
}

bool SlowStart::is_drawn(const Context& context, const EndpointTable& endpoints, const Endpoint& endpoint,
                         const RequestState& state) const {
  const Duration window_length = std::max(context.settings->overload_window, Duration(1));
  const auto window = static_cast<std::uint64_t>(context.now / window_length);
  const std::uint64_t hash =
      mix_bits(endpoint.name_hash ^ mix_bits(window)) ^ hash_text(state.request.id.value());
  return unit_interval(hash) < draw_share(context, endpoints, endpoint, state);
}

bool SlowStart::admits_by_draw(const Context& context, const Endpoint& endpoint) const {
  return is_warming_up(context, endpoint) && budget(context, endpoint) < 1;
}

bool SlowStart::admits(const Context& context, const EndpointTable& endpoints, const Endpoint& endpoint,
                       const RequestState& state) const {
  if (!is_warming_up(context, endpoint)) return true;
  const Time window_start = context.now - context.settings->overload_window;
  const auto& sends = endpoint.sends_while_warming_up;
  const auto used = std::count_if(sends.begin(), sends.end(), [&](Time sent) { return sent > window_start; });
  if (!admits_by_draw(context, endpoint))
    return static_cast<double>(used) < std::round(budget(context, endpoint));
  return used < 1 && is_drawn(context, endpoints, endpoint, state);
}

}  // namespace dispatcher::routing
