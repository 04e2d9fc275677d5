#include "routing/result_rates.hpp"

#include <algorithm>

#include "routing/units.hpp"
#include "routing/warmup.hpp"

namespace dispatcher::routing {

double ResultRates::endpoint_share(std::size_t role) const { return 1 / std::max(1.0, warm_count_[role]); }

void ResultRates::record_result(const Context& context, const Endpoint& endpoint) {
  if (is_warming_up(context, endpoint)) return;
  const std::size_t role = role_index(endpoint.role);
  results_[role].push_back({context.now, endpoint_share(role)});
}

void ResultRates::update(const Context& context, const EndpointTable& endpoints) {
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
    while (!results.empty() && results.front().at < context.now - window_) results.pop_front();
    if (warm[role] <= 0) continue;
    warm_count_[role] = warm[role];
    rates_[role] = rate(context, role);
  }
}

// Each result is divided by the number of warm endpoints at its own time.
double ResultRates::rate(const Context& context, std::size_t role) const {
  const Duration counted = std::min(window_, context.now - counting_since_);
  const Duration span = std::max(context.settings->overload_window, counted);
  double sum = 0;
  for (const Result& result : results_[role])
    sum += result.endpoint_share / std::max(to_seconds(span), to_seconds(min_span_));
  return sum;
}

void ResultRates::save(LearnedState& learned_state) const {
  learned_state.since = counting_since_;
  for (std::size_t role = 0; role < kRoles; ++role)
    learned_state.served[role] = static_cast<int>(results_[role].size());
}

// Only the number of results is handed over, so they are spread evenly over the window.
void ResultRates::restore(const Context& context, const LearnedState& learned_state) {
  for (std::size_t role = 0; role < kRoles; ++role) {
    const int count = learned_state.served[role];
    for (int i = count; i > 0; --i) {
      const Time at = context.now - scaled(window_, double(count - i) / count);
      results_[role].push_front({at, endpoint_share(role)});
    }
  }
  counting_since_ = std::min(counting_since_, learned_state.since);
}

}  // namespace dispatcher::routing
