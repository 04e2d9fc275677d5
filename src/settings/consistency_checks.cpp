#include "settings/consistency_checks.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include "settings/keys.hpp"

namespace dispatcher::settings {
namespace {

using routing::Duration;
using routing::EndpointKind;
using routing::Idempotency;
using routing::ReportSource;
using routing::RequestClass;
using routing::Role;
using routing::Settings;
using routing::Tenant;

// The router checks waiting requests at this interval, rounded up to a multiple of the tick. Same value as
// kTimerInterval in src/routing/retry_policy.cpp.
constexpr Duration kTimerInterval = std::chrono::milliseconds(20);
// The router releases a waiting prompt state after this part of the reservation limit. Same value as
// kReservationShare in src/routing/retry_policy.cpp, but in tenths: integers keep the minimum limit exact.
constexpr int kReservationTenths = 7;
constexpr double kMicrosecondsPerSecond = 1e6;

bool has_kind(const Settings& settings, Role role) {
  return std::any_of(settings.kinds.begin(), settings.kinds.end(),
                     [&](const EndpointKind& kind) { return kind.role == role; });
}

// Returns the smallest value of a duration over all classes. There must be at least one class.
Duration shortest(const Settings& settings, Duration RequestClass::*time) {
  const auto is_shorter = [&](const auto& one, const auto& other) { return one.*time < other.*time; };
  return *std::min_element(settings.classes.begin(), settings.classes.end(), is_shorter).*time;
}

double total_quota(const Settings& settings) {
  double sum = 0;
  for (const Tenant& tenant : settings.tenants) sum += tenant.quota_rps;
  return sum;
}

// Returns the shortest reservation limit under which a prompt's state can wait for a writer: the part of the
// limit that remains after kReservationTenths must cover one timer interval.
Duration min_reservation_limit(const Settings& settings) {
  const Duration tick = std::max(settings.tick, Duration(1));
  const Duration next_timer = (kTimerInterval + tick - Duration(1)) / tick * tick;
  return next_timer * 10 / (10 - kReservationTenths);
}

// Returns whether one endpoint can both read a request's prompt and write its answer.
bool has_single_stage_kind(const Settings& settings) {
  return has_kind(settings, Role::kMixed) ||
         (settings.writers_can_prefill && has_kind(settings, Role::kWriter));
}

void check_roles(const Settings& settings, FindingCollector& findings) {
  if (has_single_stage_kind(settings)) return;
  if (!has_kind(settings, Role::kReader))
    findings.add_error(path(keys::kRoles), "no kind reads a prompt",
                       std::string("a kind of duty 'read' or 'both', or ") + keys::kWritersCanPrefill.name +
                           " and a kind of duty 'write'");
  if (!has_kind(settings, Role::kWriter))
    findings.add_error(path(keys::kRoles), "no kind writes an answer", "a kind of duty 'write' or 'both'");
  if (settings.max_attempts == 1)
    findings.add_error(path(keys::kMaxAttempts),
                       "1, but a request is read by one attempt and written by another",
                       "at least 2, or a kind that does both");
}

void check_options_of_roles(const Settings& settings, FindingCollector& findings) {
  const bool has_reader = has_kind(settings, Role::kReader);
  const bool has_writer = has_kind(settings, Role::kWriter);
  const bool has_mixed = has_kind(settings, Role::kMixed);
  if (settings.writers_can_prefill && !has_writer)
    findings.add_warning(path(keys::kWritersCanPrefill),
                         "true, but has no effect without a kind of duty 'write'",
                         "false, or a kind of duty 'write'");
  if (settings.may_reserve_slots && (!has_reader || !(has_writer || has_mixed)))
    findings.add_warning(path(keys::kMayReserveSlots),
                         "true, but no slot is reserved without a kind that reads and one that writes",
                         "false");
  if (settings.may_hedge && settings.max_attempts == 1)
    findings.add_warning(path(keys::kMayHedge), "true, but with one attempt there is no hedged request",
                         std::string(keys::kMaxAttempts.name) + " above 1");
}

void check_service(const Settings& settings, FindingCollector& findings) {
  if (settings.kinds.empty()) return;
  check_roles(settings, findings);
  check_options_of_roles(settings, findings);
}

void check_retries(const Settings& settings, FindingCollector& findings) {
  const bool has_retryable_class =
      std::any_of(settings.classes.begin(), settings.classes.end(), [](const RequestClass& request_class) {
        return request_class.idempotency != Idempotency::kNonIdempotent;
      });
  if (settings.may_migrate_streams && !settings.classes.empty() && !has_retryable_class)
    findings.add_warning(path(keys::kMayMigrateStreams), "true, but requests of no class may be repeated",
                         "a class whose repeat is 'safe' or 'keyed'");
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const RequestClass& request_class = settings.classes[i];
    if (request_class.idempotency == Idempotency::kKeyed && request_class.deduplication_window.count() == 0)
      findings.add_warning(path_in_element(keys::kDeduplicationWindow, i),
                           "0 for a keyed class: a request that may have run is not retried", "above 0");
  }
}

void check_class_deadlines(const Settings& settings, FindingCollector& findings) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const RequestClass& request_class = settings.classes[i];
    if (request_class.deadline.count() <= 0) continue;  // reported by the checks of single values
    const std::string field = path_in_element(keys::kDeadline, i);
    const std::string deadline = format_ms(request_class.deadline);
    if (request_class.deadline < request_class.latency_objective)
      findings.add_warning(
          field, deadline + ", before the objective of " + format_ms(request_class.latency_objective),
          "at least the objective");
    if (request_class.deadline <= 2 * settings.tick)
      findings.add_warning(field,
                           deadline + ", within two ticks: every request of the class is rejected at once",
                           "well above two ticks of " + format_ms(settings.tick));
  }
}

void check_answer_slack(const Settings& settings, Duration shortest_deadline, FindingCollector& findings) {
  const std::string field = path(keys::kAnswerSlack);
  const std::string slack = format_ms(settings.answer_slack);
  if (shortest_deadline.count() > 0 && settings.answer_slack >= shortest_deadline)
    findings.add_warning(field, slack + ", at least as long as the shortest deadline",
                         "below " + format_ms(shortest_deadline));
  if (settings.answer_slack.count() >= 0 && settings.answer_slack < settings.tick)
    findings.add_warning(field, slack + ", less than a tick: attempts time out that much before the deadline",
                         "at least " + format_ms(settings.tick));
}

void check_reservation_limit(const Settings& settings, Duration shortest_deadline,
                             FindingCollector& findings) {
  const std::string field = path(keys::kReservationLimit);
  const std::string limit = format_ms(settings.reservation_limit);
  const Duration minimum = min_reservation_limit(settings);
  if (shortest_deadline.count() > 0 && settings.reservation_limit > shortest_deadline)
    findings.add_warning(field, limit + ", longer than the shortest deadline",
                         "at most " + format_ms(shortest_deadline));
  if (settings.reservation_limit.count() >= 0 && settings.reservation_limit < minimum)
    findings.add_warning(field, limit + ": a prompt state that finds no writer at once is released",
                         "at least " + format_ms(minimum));
}

void check_deadlines(const Settings& settings, FindingCollector& findings) {
  check_class_deadlines(settings, findings);
  if (settings.classes.empty()) return;
  const Duration shortest_deadline = shortest(settings, &RequestClass::deadline);
  check_answer_slack(settings, shortest_deadline, findings);
  check_reservation_limit(settings, shortest_deadline, findings);
  if (settings.drain_grace.count() >= 0 && settings.drain_grace < settings.tick)
    findings.add_warning(path(keys::kDrainGrace), format_ms(settings.drain_grace) + ", less than a tick",
                         "at least " + format_ms(settings.tick));
}

// Warns if the budget of requests for an endpoint that starts to warm up is less than one request. The budget
// depends on the endpoint's capacity, which the settings don't contain. The sum of the quotas is an upper
// bound of the capacity, because the quotas are a part of what all endpoints together can do. A budget that
// is below one request even with that bound is too small.
void check_overload_budget(const Settings& settings, FindingCollector& findings) {
  const auto window = static_cast<double>(settings.overload_window.count());
  const double budget_per_rps =
      settings.overload_multiple * settings.warmup_initial_share * window / kMicrosecondsPerSecond;
  const double max_budget = budget_per_rps * total_quota(settings);
  if (!(max_budget > 0 && max_budget < 1)) return;
  findings.add_warning(
      path(keys::kOverloadWindow),
      std::string("with ") + keys::kOverloadMultiple.name + " and " + keys::kWarmupInitialShare.name +
          " allows only " + format_number(max_budget) +
          " requests, even if one endpoint served all quotas: a single request may overload it",
      "at least " + format_ms(Duration(std::llround(window / max_budget))));
}

void check_warmup(const Settings& settings, FindingCollector& findings) {
  if (settings.warmup_time.count() <= 0) return;  // endpoints have their full capacity from the start
  const std::string no_traffic = "0: an endpoint gets no requests while it warms up";
  if (settings.overload_multiple == 0)
    findings.add_warning(path(keys::kOverloadMultiple), no_traffic, "above 0");
  if (settings.warmup_initial_share == 0)
    findings.add_warning(path(keys::kWarmupInitialShare), no_traffic, "above 0");
  if (settings.overload_window.count() == 0)
    findings.add_warning(path(keys::kOverloadWindow), no_traffic, "above 0");
  if (settings.overload_multiple > 0 && settings.overload_multiple < 1)
    findings.add_warning(path(keys::kOverloadMultiple),
                         format_number(settings.overload_multiple) +
                             ": an endpoint that warms up is overloaded below its capacity",
                         "at least 1");
  check_overload_budget(settings, findings);
}

void check_load_reports(const Settings& settings, FindingCollector& findings) {
  if (settings.report_source == ReportSource::kInProbes && !settings.may_probe)
    findings.add_warning(path(keys::kReportSource),
                         "reports come in probes, but probes are not allowed: there are no reports",
                         std::string(keys::kMayProbe.name) + ", or reports in answers");
  if (settings.report_source != ReportSource::kNone && settings.report_fields.empty())
    findings.add_warning(path(keys::kReportFields),
                         "reports have a source, but none of their fields is listed or known",
                         "at least one value");
}

void check_zone(const Settings& settings, FindingCollector& findings) {
  const auto& zones = settings.zones;
  if (!zones.empty() && std::find(zones.begin(), zones.end(), settings.zone) == zones.end())
    findings.add_warning(path(keys::kZone),
                         "'" + settings.zone + "' is not one of the zones: every endpoint is in another zone",
                         "one of '" + std::string(keys::kZones.name) + "'");
}

void check_quotas(const Settings& settings, FindingCollector& findings) {
  if (!settings.tenants.empty() && total_quota(settings) == 0)
    findings.add_warning(keys::kTenants,
                         "the quotas add up to nothing: every request is over its tenant's share",
                         std::string("a ") + keys::kTenantQuota.name + " above 0");
}

void check_retry_advice(const Settings& settings, FindingCollector& findings) {
  if (settings.retry_advice && settings.max_retry_after.count() == 0)
    findings.add_warning(path(keys::kMaxRetryAfter),
                         "0, but advice on when to retry is allowed: none can be given",
                         std::string("above 0, or ") + keys::kRetryAdvice.name + " false");
}

}  // namespace

void check_consistency(const Settings& settings, FindingCollector& findings) {
  check_service(settings, findings);
  check_retries(settings, findings);
  check_deadlines(settings, findings);
  check_warmup(settings, findings);
  check_load_reports(settings, findings);
  check_zone(settings, findings);
  check_quotas(settings, findings);
  check_retry_advice(settings, findings);
}

void check_connection_times(const Settings& settings, FindingCollector& findings) {
  if (settings.connect_timeout.count() == 0)
    findings.add_error(path(keys::kConnectTimeout), "0 ms: no connection can be made", "above 0");
  if (settings.idle_timeout.count() == 0)
    findings.add_error(path(keys::kIdleTimeout), "0 ms: no connection can be kept", "above 0");
  if (settings.classes.empty()) return;
  const Duration shortest_objective = shortest(settings, &RequestClass::latency_objective);
  if (settings.connect_timeout > shortest_objective)
    findings.add_warning(
        path(keys::kConnectTimeout),
        format_ms(settings.connect_timeout) +
            ", longer than the shortest objective: a request whose first endpoint is down is late",
        "at most " + format_ms(shortest_objective));
}

}  // namespace dispatcher::settings
