#include "routing/slow_start.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "routing/hashing.hpp"

namespace dispatcher::routing {
namespace {

constexpr double kBudgetShare = 0.6;       // of the bound N, by budget: see docs/design/slow-start.md
constexpr double kDrawShare = 0.36;        // of the bound N, by draw: leaves room for chance
constexpr double kRemoteDrawShare = 0.25;  // of a writer's draws, by requests that were read in any cell
constexpr double kMinCapacity = 0.1;       // of full capacity: no load is divided by less
constexpr Duration kRateWindow = Milliseconds(8000);  // of results that are counted: smooths bursts

Time warmup_began(const Endpoint& endpoint) { return std::max(endpoint.started, endpoint.reinstated_at); }

// By how much the share drawn changes for a request that was read in the endpoint's own cell, which does this
// part of all reads, or in another one. The sum over all requests stays the same, so that a cell with few
// writers, or requests from elsewhere in a jam, bring no more.
double cell_draw_factor(bool is_own_cell, double cell_reader_share) {
  if (cell_reader_share <= 0) return 1;
  return kRemoteDrawShare + (is_own_cell ? (1 - kRemoteDrawShare) / cell_reader_share : 0);
}

}  // namespace

bool is_warming_up(const Context& context, const Endpoint& endpoint) {
  const Time began = warmup_began(endpoint);
  return began != Time{} && context.now < began + context.settings->warmup_time;
}

double warmup_fraction(const Context& context, const Endpoint& endpoint) {
  if (!is_warming_up(context, endpoint)) return 1;
  const Settings& settings = *context.settings;
  const Duration age = context.now - warmup_began(endpoint);
  if (age >= settings.warmup_time) return 1;
  return std::lerp(settings.warmup_initial_share, 1.0,
                   double(age.count()) / double(settings.warmup_time.count()));
}

double effective_capacity(const Context& context, const Endpoint& endpoint) {
  return std::max(kMinCapacity, warmup_fraction(context, endpoint));
}

void SlowStart::record_result(const Context& context, const Endpoint& endpoint) {
  const std::size_t role = role_index(endpoint.role);
  if (!is_warming_up(context, endpoint))
    results_[role].push_back({context.now, 1 / std::max(1.0, warm_count_[role])});
}

// Each result counts over as many warm endpoints as there were then. While there is no warm endpoint, the
// rate stays what the last ones gave.
void SlowStart::update(const Context& context, const EndpointTable& endpoints) {
  std::array<double, kRoles> ready{};
  std::array<double, kRoles> warm{};
  for (const auto& [name, endpoint] : endpoints.entries()) {
    if (endpoint.state != EndpointState::kReady) continue;
    ready[role_index(endpoint.role)] += 1;
    warm[role_index(endpoint.role)] += is_warming_up(context, endpoint) ? 0 : 1;
  }
  ready_count_ = ready;
  for (std::size_t role = 0; role < kRoles; ++role) {
    auto& results = results_[role];
    while (!results.empty() && results.front().at < context.now - kRateWindow) results.pop_front();
    if (warm[role] <= 0) continue;
    warm_count_[role] = warm[role];
    warm_rate_[role] = 0;
    const Duration span =
        std::max(context.settings->overload_window, std::min(kRateWindow, context.now - counting_since_));
    for (const Result& result : results)
      warm_rate_[role] += result.endpoint_share / std::max(to_seconds(span), 1.0);
  }
}

double SlowStart::budget(const Context& context, const Endpoint& endpoint) const {
  const Settings& settings = *context.settings;
  return kBudgetShare * settings.overload_multiple * warmup_fraction(context, endpoint) *
         std::chrono::duration<double>(settings.overload_window).count() *
         warm_rate_[role_index(endpoint.role)];
}

double SlowStart::draw_share(const Context& context, const EndpointTable& endpoints, const Endpoint& endpoint,
                             const RequestState& state) const {
  const double drawn = kDrawShare * context.settings->overload_multiple * warmup_fraction(context, endpoint);
  const double share = std::min(1.0, drawn) / std::max(1.0, ready_count_[role_index(endpoint.role)]);
  if (endpoint.role != Role::kWriter) return share;
  const Endpoint* reader = endpoints.find(state.reader);
  if (reader == nullptr) return share;
  return share * cell_draw_factor(in_same_cell(endpoint, *reader), endpoint.cell_reader_share);
}

bool SlowStart::admits_by_draw(const Context& context, const Endpoint& endpoint) const {
  return is_warming_up(context, endpoint) && budget(context, endpoint) < 1;
}

bool SlowStart::admits(const Context& context, const EndpointTable& endpoints, const Endpoint& endpoint,
                       const RequestState& state) const {
  if (!is_warming_up(context, endpoint)) return true;
  const Duration overload_window = context.settings->overload_window;
  const auto& sends = endpoint.sends_while_warming_up;
  const auto used = std::count_if(sends.begin(), sends.end(),
                                  [&](Time sent) { return sent > context.now - overload_window; });
  if (!admits_by_draw(context, endpoint))
    return static_cast<double>(used) < std::round(budget(context, endpoint));
  if (used >= 1) return false;
  const auto window = static_cast<std::uint64_t>(context.now / std::max(overload_window, Duration(1)));
  const std::uint64_t hash =
      mix_bits(endpoint.name_hash ^ mix_bits(window)) ^ hash_text(state.request.id.value());
  return unit_interval(hash) < draw_share(context, endpoints, endpoint, state);
}

void SlowStart::save(LearnedState& learned_state) const {
  learned_state.since = counting_since_;
  for (std::size_t role = 0; role < kRoles; ++role)
    learned_state.served[role] = static_cast<int>(results_[role].size());
}

void SlowStart::restore(const Context& context, const LearnedState& learned_state) {
  for (std::size_t role = 0; role < kRoles; ++role) {
    const int count = learned_state.served[role];
    for (int i = count; i > 0; --i) {
      const Time at = context.now - scaled(kRateWindow, double(count - i) / count);
      results_[role].push_front({at, 1 / std::max(1.0, warm_count_[role])});
    }
  }
  counting_since_ = std::min(counting_since_, learned_state.since);
}

}  // namespace dispatcher::routing
