#include "routing/warmup.hpp"

#include <algorithm>
#include <cmath>

namespace dispatcher::routing {
namespace {

// Returns the start of the endpoint's warm-up. Zero means a long time ago.
Time warmup_start(const Endpoint& endpoint) { return std::max(endpoint.started, endpoint.reinstated_at); }

}  // namespace

bool is_warming_up(const Context& context, const Endpoint& endpoint) {
  const Time start = warmup_start(endpoint);
  return start != Time{} && context.now < start + context.settings->warmup_time;
}

double warmup_fraction(const Context& context, const Endpoint& endpoint) {
  if (!is_warming_up(context, endpoint)) return 1;
  const Settings& settings = *context.settings;
  const Duration age = context.now - warmup_start(endpoint);
  if (age >= settings.warmup_time) return 1;
  return std::lerp(settings.warmup_initial_share, 1.0,
                   double(age.count()) / double(settings.warmup_time.count()));
}

}  // namespace dispatcher::routing
