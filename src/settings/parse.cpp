#include "settings/parse.hpp"

#include <algorithm>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "json/load_report.hpp"
#include "settings/keys.hpp"
#include "settings/object_reader.hpp"
#include "settings/score_settings.hpp"

namespace dispatcher::settings {
namespace {

using routing::DeduplicationScope;
using routing::Duration;
using routing::EndpointKind;
using routing::Goal;
using routing::Idempotency;
using routing::LoadField;
using routing::Prices;
using routing::ReportSource;
using routing::RequestClass;
using routing::Role;
using routing::Settings;
using routing::Tenant;
using routing::WeightMeaning;

// ---- names of enumerators; the first of each is the default ----

constexpr EnumName<Idempotency> kIdempotencyNames[] = {{"unsafe", Idempotency::kNonIdempotent},
                                                       {"keyed", Idempotency::kKeyed},
                                                       {"safe", Idempotency::kIdempotent}};
constexpr EnumName<DeduplicationScope> kDeduplicationScopeNames[] = {{"all", DeduplicationScope::kAll},
                                                                     {"zone", DeduplicationScope::kZone},
                                                                     {"cell", DeduplicationScope::kCell}};
constexpr EnumName<Role> kRoleNames[] = {
    {"read", Role::kReader}, {"write", Role::kWriter}, {"both", Role::kMixed}};
constexpr EnumName<bool> kPollsEndpointListNames[] = {{"push", false}, {"ask", true}};
constexpr EnumName<bool> kWeightByWorkNames[] = {{"request", false}, {"work", true}};
constexpr EnumName<WeightMeaning> kWeightMeaningNames[] = {{"silent", WeightMeaning::kNothing},
                                                           {"nominal", WeightMeaning::kNominal},
                                                           {"rough", WeightMeaning::kRough},
                                                           {"live", WeightMeaning::kLive}};
constexpr EnumName<ReportSource> kReportSourceNames[] = {{"silent", ReportSource::kNone},
                                                         {"piggyback", ReportSource::kInAnswers},
                                                         {"pull", ReportSource::kInProbes}};
constexpr EnumName<LoadField> kLoadFieldNames[] = {
    {json::load_report_keys::kInFlight, LoadField::kInFlight},
    {json::load_report_keys::kQueued, LoadField::kQueued},
    {json::load_report_keys::kBusy, LoadField::kBusy},
    {json::load_report_keys::kLatency, LoadField::kLatency},
    {json::load_report_keys::kRate, LoadField::kRate},
    {json::load_report_keys::kFailRate, LoadField::kFailRate},
    {json::load_report_keys::kMemoryShare, LoadField::kMemoryShare},
    {json::load_report_keys::kPromptKilotokens, LoadField::kPromptKilotokens}};

// Units of numbers in arrays, in microseconds.
constexpr double kMicrosecond = 1;
constexpr double kMillisecond = json::kMicrosecondsPerMillisecond;

// ---- the parts of the settings ----

RequestClass parse_class(const ObjectReader& source, const ObjectReader& group, std::size_t index) {
  RequestClass request_class;
  request_class.name = source.required<std::string>(keys::kClassName.name);
  request_class.idempotency = source.required_enum<Idempotency>(keys::kIdempotency.name, kIdempotencyNames);
  request_class.deduplication_scope =
      source.optional_enum<DeduplicationScope>(keys::kDeduplicationScope.name, kDeduplicationScopeNames);
  request_class.deduplication_window = source.optional_duration(keys::kDeduplicationWindow.name);
  request_class.latency_objective = source.required_duration(keys::kLatencyObjective.name);
  request_class.deadline = source.required_duration(keys::kDeadline.name);
  request_class.priority_weight = source.required<double>(keys::kPriorityWeight.name);
  request_class.late_weight = source.optional<double>(keys::kLateWeight.name);
  request_class.latency_objective_stretch = source.optional<double>(keys::kLatencyObjectiveStretch.name);
  request_class.latency_objective_per_1000_tokens =
      group.duration_at(keys::kLatencyObjectivePer1000Tokens.name, index, kMicrosecond);
  request_class.token_latency_objective =
      group.duration_at(keys::kTokenLatencyObjective.name, index, kMillisecond);
  return request_class;
}

std::vector<RequestClass> parse_classes(const ObjectReader& top, const ObjectReader& group) {
  std::vector<RequestClass> classes;
  for (const ObjectReader& source : top.objects(keys::kClasses, Presence::kRequired))
    classes.push_back(parse_class(source, group, classes.size()));
  return classes;
}

std::vector<Tenant> parse_tenants(const ObjectReader& top) {
  std::vector<Tenant> tenants;
  for (const ObjectReader& source : top.objects(keys::kTenants, Presence::kOptional)) {
    Tenant tenant;
    tenant.name = source.required<std::string>(keys::kTenantName.name);
    tenant.quota_rps = source.optional<double>(keys::kTenantQuota.name);
    tenants.push_back(std::move(tenant));
  }
  return tenants;
}

std::vector<EndpointKind> parse_kinds(const ObjectReader& top, const ObjectReader& group) {
  const std::vector<std::string> names = top.strings(keys::kEndpointKinds.name, Presence::kRequired);
  const std::vector<std::string> roles = group.strings(keys::kRoles.name, Presence::kRequired);
  if (roles.size() != names.size())
    group.add_error(keys::kRoles.name,
                    std::to_string(roles.size()) + " duties for " + std::to_string(names.size()) + " " +
                        keys::kEndpointKinds.name,
                    "one for each");
  std::vector<EndpointKind> kinds;
  for (std::size_t i = 0; i < names.size(); ++i) {
    EndpointKind kind;
    kind.name = names[i];
    kind.memory_tokens = group.number_at(keys::kMemoryTokens.name, i);
    const std::string role_key = std::string(keys::kRoles.name) + "[" + std::to_string(i) + "]";
    if (i < roles.size())
      kind.role = group.parse_enum<Role>(role_key, roles[i], kRoleNames, Severity::kError);
    kinds.push_back(std::move(kind));
  }
  return kinds;
}

// Unknown names are ignored: a newer version of the format may define them.
std::vector<LoadField> parse_load_fields(const ObjectReader& reports) {
  std::vector<LoadField> fields;
  for (const std::string& given : reports.strings(keys::kReportFields.name, Presence::kOptional)) {
    for (const EnumName<LoadField>& known : kLoadFieldNames) {
      if (given == known.name) fields.push_back(known.value);
    }
  }
  return fields;
}

void parse_load_reports(const ObjectReader& reports, Settings& settings) {
  settings.report_source =
      reports.informative_enum<ReportSource>(keys::kReportSource.name, kReportSourceNames);
  settings.report_fields = parse_load_fields(reports);
}

void parse_serving_group(const ObjectReader& group, Settings& settings) {
  settings.writers_can_prefill = group.optional<bool>(keys::kWritersCanPrefill.name);
  settings.may_reserve_slots = group.optional<bool>(keys::kMayReserveSlots.name);
  settings.may_migrate_streams = group.optional<bool>(keys::kMayMigrateStreams.name);
  settings.reservation_limit = group.required_duration(keys::kReservationLimit.name);
}

void parse_limits(const ObjectReader& limits, Settings& settings) {
  settings.connect_timeout = limits.optional_duration(keys::kConnectTimeout.name);
  settings.idle_timeout = limits.optional_duration(keys::kIdleTimeout.name);
  settings.may_cancel = limits.optional<bool>(keys::kMayCancel.name);
  settings.may_probe = limits.optional<bool>(keys::kMayProbe.name);
  settings.may_hedge = limits.optional<bool>(keys::kMayHedge.name);
  settings.may_message_peers = limits.optional<bool>(keys::kMayMessagePeers.name);
  settings.retry_advice = limits.optional<bool>(keys::kRetryAdvice.name);
  settings.max_retry_after = limits.optional_duration(keys::kMaxRetryAfter.name);
  settings.max_attempts = limits.required<int>(keys::kMaxAttempts.name);
  const auto max_open_requests = limits.optional<double>(keys::kMaxOpenRequests.name);
  settings.max_open_requests =
      static_cast<int>(std::clamp<double>(max_open_requests, 0, std::numeric_limits<int>::max()));
}

void parse_guarantees(const ObjectReader& guarantees, Settings& settings) {
  settings.poll_interval = guarantees.optional_duration(keys::kPollInterval.name);
  settings.answer_slack = guarantees.required_duration(keys::kAnswerSlack.name);
  settings.drain_grace = guarantees.required_duration(keys::kDrainGrace.name);
  settings.warmup_initial_share = guarantees.required<double>(keys::kWarmupInitialShare.name);
  settings.warmup_time = guarantees.required_duration(keys::kWarmupTime.name);
  settings.overload_multiple = guarantees.required<double>(keys::kOverloadMultiple.name);
  settings.overload_window = guarantees.required_duration(keys::kOverloadWindow.name);
}

// One price belongs to the serving group, the others have an object of their own.
Prices parse_prices(const ObjectReader& source, const ObjectReader& group) {
  Prices prices;
  for (const auto& [key, field] : kPriceSettings) {
    const bool is_in_group = std::string_view(key.object) == keys::kServingGroup;
    prices.*field = (is_in_group ? group : source).optional<double>(key.name);
  }
  return prices;
}

Goal parse_goal(const ObjectReader& source) {
  Goal goal;
  for (const auto& [key, field] : kGoalSettings) goal.*field = source.optional<double>(key.name);
  return goal;
}

// Findings are reported in the order in which the members are read here.
Settings read_settings(const ObjectReader& top) {
  const ObjectReader group = top.object(keys::kServingGroup, Presence::kRequired);
  Settings settings;
  settings.router_number = top.required<int>(keys::kRouterNumber.name);
  settings.router_count = top.required<int>(keys::kRouterCount.name);
  settings.zone = top.optional<std::string>(keys::kZone.name);
  settings.zones = top.strings(keys::kZones.name, Presence::kOptional);
  settings.classes = parse_classes(top, group);
  settings.tenants = parse_tenants(top);
  settings.kinds = parse_kinds(top, group);
  settings.polls_endpoint_list =
      top.required_enum<bool>(keys::kEndpointListDelivery.name, kPollsEndpointListNames);
  settings.weight_meaning =
      top.informative_enum<WeightMeaning>(keys::kWeightMeaning.name, kWeightMeaningNames);
  parse_load_reports(top.object(keys::kLoadReports, Presence::kOptional), settings);
  parse_serving_group(group, settings);
  const ObjectReader clients = top.object(keys::kClientBehavior, Presence::kOptional);
  settings.clients_mark_retries = clients.optional<bool>(keys::kClientsMarkRetries.name);
  settings.weight_by_work = top.informative_enum<bool>(keys::kPriorityWeightUnit.name, kWeightByWorkNames);
  settings.over_quota_weight = top.optional<double>(keys::kOverQuotaWeight.name, 1.0);
  settings.tick = top.required_duration(keys::kTick.name);
  parse_limits(top.object(keys::kLimits, Presence::kRequired), settings);
  parse_guarantees(top.object(keys::kGuarantees, Presence::kRequired), settings);
  settings.prices = parse_prices(top.object(keys::kPrices, Presence::kOptional), group);
  settings.goal = parse_goal(top.object(keys::kGoal, Presence::kOptional));
  return settings;
}

}  // namespace

SettingsError::SettingsError(std::vector<Finding> all)
    : ParseError(json::ParseProblem::kInvalidDocument, {}, describe_errors(all)), findings(std::move(all)) {}

ParsedSettings parse_settings(const json::Json& source) {
  std::vector<Finding> findings;
  Settings settings = read_settings(ObjectReader(&source, "", findings));
  if (has_error(findings)) throw SettingsError(std::move(findings));
  return {std::move(settings), std::move(findings)};
}

}  // namespace dispatcher::settings
