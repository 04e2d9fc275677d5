#include "routing/load_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "routing/outlier_detection.hpp"
#include "routing/slow_start.hpp"
#include "routing/units.hpp"

namespace dispatcher::routing {
namespace {

constexpr double kAttemptTokens = 600;  // fixed cost of an attempt, in prompt tokens
constexpr double kTokensPerKilotoken = 1000;
constexpr Duration kReportHalfLife = Milliseconds(3000);  // of a report's deviation from the mean of all
constexpr double kRepresentativeShare = 0.5;  // of a role's endpoints: fewer are busier than the others

// Reported work and what this router has sent since, in prompt tokens at full capacity. Empty: the endpoint
// has reported none.
std::optional<double> reported_work(const Context& context, const Endpoint& endpoint,
                                    const RoleStatistics& role) {
  const std::optional<double>& kilotokens = endpoint.report.prompt_kilotokens;
  if (!kilotokens) return std::nullopt;
  const double waiting =
      aged_report(context, endpoint, kTokensPerKilotoken * *kilotokens, role.prompt_tokens);
  return (waiting + endpoint.tokens_since_report) / effective_capacity(context, endpoint);
}

// Work that waits at an endpoint, in prompt tokens at full capacity.
double waiting_work(const Context& context, const Endpoint& endpoint, const RoleStatistics& role,
                    double unreported_work) {
  if (const std::optional<double> reported = reported_work(context, endpoint, role)) return *reported;
  const double own_work = endpoint.pending_prompt_tokens / effective_capacity(context, endpoint);
  return endpoint.has_reported() ? own_work : own_work + unreported_work;
}

}  // namespace

double start_work(const Endpoint& endpoint, double tokens_to_read) {
  if (endpoint.role == Role::kWriter) return kAttemptTokens;
  return kAttemptTokens + (endpoint.pending_prompt_tokens + tokens_to_read);
}

double aged_report(const Context& context, const Endpoint& endpoint, double value, double mean) {
  const double age = to_seconds(context.now - endpoint.reported_at);
  return mean + (value - mean) * std::exp2(-age / to_seconds(kReportHalfLife));
}

// Reports arrive with answers, and all routers send popular prompts to the same endpoints. So the first that
// a router hears of are busier than the others, and their average overestimates these.
WorkByRole unreported_work(const Context& context, const EndpointTable& endpoints,
                           const std::array<RoleStatistics, kRoles>& statistics) {
  WorkByRole sum{};
  for (const auto& [name, endpoint] : endpoints.entries()) {
    if (endpoint.state != EndpointState::kReady) continue;
    const RoleStatistics& role = statistics[role_index(endpoint.role)];
    if (role.reporting_work == role.ready) continue;  // the average applies to none
    sum[role_index(endpoint.role)] += reported_work(context, endpoint, role).value_or(0);
  }
  WorkByRole result{};
  for (std::size_t role = 0; role < kRoles; ++role) {
    const double reporting = statistics[role].reporting_work;
    if (reporting == 0) continue;
    const double reporting_share = reporting / statistics[role].ready;
    result[role] = sum[role] / reporting * std::min(1.0, reporting_share / kRepresentativeShare);
  }
  return result;
}

double prompt_load(const Context& context, const Endpoint& endpoint, const RoleStatistics& role,
                   double unreported_work) {
  double work = waiting_work(context, endpoint, role, unreported_work);
  if (endpoint.role == Role::kMixed)
    work += endpoint.active_streams * kAttemptTokens / effective_capacity(context, endpoint);
  return (work + kAttemptTokens) * slowdown(context, endpoint);
}

double stream_load(const Context& context, const Endpoint& endpoint) {
  const double streams = endpoint.report.in_flight ? *endpoint.report.in_flight : endpoint.active_streams;
  return (streams + 1) * slowdown(context, endpoint) / effective_capacity(context, endpoint);
}

}  // namespace dispatcher::routing
