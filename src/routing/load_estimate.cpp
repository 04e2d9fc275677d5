#include "routing/load_estimate.hpp"

#include <cmath>

#include "routing/outlier_detection.hpp"
#include "routing/slow_start.hpp"
#include "routing/units.hpp"

namespace dispatcher::routing {
namespace {

constexpr double kAttemptTokens = 600;  // fixed cost of an attempt, in prompt tokens
constexpr double kTokensPerKilotoken = 1000;
constexpr Duration kReportHalfLife = Milliseconds(3000);  // half-life of a report's deviation from the mean

}  // namespace

double start_work(const Endpoint& endpoint, double tokens_to_read) {
  if (endpoint.role == Role::kWriter) return kAttemptTokens;
  return kAttemptTokens + (endpoint.pending_prompt_tokens + tokens_to_read);
}

double aged_report(const Context& context, const Endpoint& endpoint, double value, double mean) {
  const double age = to_seconds(context.now - endpoint.reported_at);
  return mean + (value - mean) * std::exp2(-age / to_seconds(kReportHalfLife));
}

// An endpoint that has sent no report counts as idle, apart from what this router has sent to it. With 300
// routers, each receives few reports; if such an endpoint counted as average, they would not find idle ones.
double prompt_load(const Context& context, const Endpoint& endpoint, const RoleStatistics& role) {
  double tokens = endpoint.pending_prompt_tokens;
  if (const auto& reported = endpoint.report.prompt_kilotokens; reported)
    tokens = aged_report(context, endpoint, kTokensPerKilotoken * *reported, role.prompt_tokens) +
             endpoint.tokens_since_report;
  if (endpoint.role == Role::kMixed) tokens += endpoint.active_streams * kAttemptTokens;
  return (tokens / effective_capacity(context, endpoint) + kAttemptTokens) * slowdown(context, endpoint);
}

double stream_load(const Context& context, const Endpoint& endpoint) {
  const double streams = endpoint.report.in_flight ? *endpoint.report.in_flight : endpoint.active_streams;
  return (streams + 1) * slowdown(context, endpoint) / effective_capacity(context, endpoint);
}

}  // namespace dispatcher::routing
