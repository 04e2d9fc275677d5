#include "settings/value_checks.hpp"

#include <set>
#include <string>
#include <vector>

#include "settings/keys.hpp"
#include "settings/score_settings.hpp"

namespace dispatcher::settings {
namespace {

using routing::Duration;
using routing::EndpointKind;
using routing::RequestClass;
using routing::Settings;
using routing::Tenant;

constexpr Duration kMaxTick = std::chrono::hours(1);  // 32-bit timers in microseconds hold 71 minutes

void check_counts(const Settings& settings, FindingCollector& findings) {
  if (settings.kinds.empty())
    findings.add_error(path(keys::kEndpointKinds), "no kind of endpoint", "at least one");
  if (settings.classes.empty()) findings.add_error(keys::kClasses, "no class", "at least one");
  if (settings.router_count < 1) {
    findings.add_error(path(keys::kRouterCount), std::to_string(settings.router_count), "at least 1");
  } else if (settings.router_number < 0 || settings.router_number >= settings.router_count) {
    // Quotas and limits are divided among the router numbers. A number beyond the count would get an extra
    // part.
    findings.add_error(path(keys::kRouterNumber),
                       std::to_string(settings.router_number) + " among " +
                           std::to_string(settings.router_count) + " dispatchers",
                       "0 to " + std::to_string(settings.router_count - 1));
  }
  if (settings.max_attempts < 1)
    findings.add_error(path(keys::kMaxAttempts), std::to_string(settings.max_attempts), "at least 1");
}

void check_times(const Settings& settings, FindingCollector& findings) {
  findings.require_not_negative(path(keys::kTick), settings.tick);
  if (settings.tick <= kMaxTime) findings.require_no_longer_than(path(keys::kTick), settings.tick, kMaxTick);
  findings.require_not_negative(path(keys::kReservationLimit), settings.reservation_limit);
  findings.require_not_negative(path(keys::kAnswerSlack), settings.answer_slack);
  findings.require_not_negative(path(keys::kPollInterval), settings.poll_interval);
  findings.require_not_negative(path(keys::kWarmupTime), settings.warmup_time);
  findings.require_not_negative(path(keys::kDrainGrace), settings.drain_grace);
  findings.require_not_negative(path(keys::kOverloadWindow), settings.overload_window);
  findings.require_not_negative(path(keys::kConnectTimeout), settings.connect_timeout);
  findings.require_not_negative(path(keys::kIdleTimeout), settings.idle_timeout);
  findings.require_not_negative(path(keys::kMaxRetryAfter), settings.max_retry_after);
}

void check_warmup_numbers(const Settings& settings, FindingCollector& findings) {
  findings.require_not_negative(path(keys::kOverloadMultiple), settings.overload_multiple);
  if (!(settings.warmup_initial_share >= 0 && settings.warmup_initial_share <= 1))
    findings.add_error(path(keys::kWarmupInitialShare), format_number(settings.warmup_initial_share),
                       "0 to 1, a share of an endpoint's capacity");
}

void check_prices_and_goal(const Settings& settings, FindingCollector& findings) {
  for (const auto& [key, field] : kPriceSettings)
    findings.warn_if_negative(path(key), settings.prices.*field);
  for (const auto& [key, field] : kGoalSettings) findings.warn_if_negative(path(key), settings.goal.*field);
}

void check_numbers(const Settings& settings, FindingCollector& findings) {
  check_warmup_numbers(settings, findings);
  findings.warn_if_not_fraction(path(keys::kOverQuotaWeight), settings.over_quota_weight);
  check_prices_and_goal(settings, findings);
  for (std::size_t i = 0; i < settings.kinds.size(); ++i)
    findings.warn_if_negative(path_of_element(keys::kMemoryTokens, i), settings.kinds[i].memory_tokens);
  for (std::size_t i = 0; i < settings.tenants.size(); ++i)
    findings.require_not_negative(path_in_element(keys::kTenantQuota, i), settings.tenants[i].quota_rps);
}

void check_class(const RequestClass& request_class, std::size_t index, FindingCollector& findings) {
  const auto field = [&](const Key& key) { return path_in_element(key, index); };
  findings.require_positive(field(keys::kLatencyObjective), request_class.latency_objective);
  findings.require_positive(field(keys::kDeadline), request_class.deadline);
  findings.require_not_negative(field(keys::kDeduplicationWindow), request_class.deduplication_window);
  findings.require_not_negative(path_of_element(keys::kLatencyObjectivePer1000Tokens, index),
                                request_class.latency_objective_per_1000_tokens);
  findings.require_not_negative(path_of_element(keys::kTokenLatencyObjective, index),
                                request_class.token_latency_objective);
  findings.require_not_negative(field(keys::kLatencyObjectiveStretch),
                                request_class.latency_objective_stretch);
  findings.warn_if_negative(field(keys::kPriorityWeight), request_class.priority_weight);
  findings.warn_if_not_fraction(field(keys::kLateWeight), request_class.late_weight);
}

// Checks that names are unique. Only the first of two entries with the same name would apply, and it may be
// the one that allows retries. `field(index)` returns the path of an entry's name.
template <class Entry, class Field>
void check_unique_names(const std::vector<Entry>& entries, Field field, FindingCollector& findings) {
  std::set<std::string> names;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (names.insert(entries[i].name).second) continue;
    findings.add_error(field(i), "'" + entries[i].name + "' is not unique", "another name");
  }
}

void check_names(const Settings& settings, FindingCollector& findings) {
  const auto class_name = [](std::size_t index) { return path_in_element(keys::kClassName, index); };
  const auto kind_name = [](std::size_t index) { return path_of_element(keys::kEndpointKinds, index); };
  const auto tenant_name = [](std::size_t index) { return path_in_element(keys::kTenantName, index); };
  check_unique_names(settings.classes, class_name, findings);
  check_unique_names(settings.kinds, kind_name, findings);
  check_unique_names(settings.tenants, tenant_name, findings);
}

}  // namespace

void check_values(const Settings& settings, FindingCollector& findings) {
  check_counts(settings, findings);
  check_times(settings, findings);
  check_numbers(settings, findings);
  for (std::size_t i = 0; i < settings.classes.size(); ++i) check_class(settings.classes[i], i, findings);
  check_names(settings, findings);
}

}  // namespace dispatcher::settings
