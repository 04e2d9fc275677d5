#include "degradation/signals.hpp"

#include <algorithm>
#include <set>

namespace dispatcher::degradation {

using expression::Kind;
using expression::Value;
using routing::EndpointState;
using routing::Role;
using Event = WindowedRatio::Event;

namespace {

// The endpoint list is polled about once a second, so a list that is older than this may be outdated.
constexpr Duration kMaxListAge = std::chrono::seconds(10);
// Minimum number of events for a fraction. With fewer events, it would depend mostly on chance.
constexpr std::size_t kMinEvents = 20;
// Stands for all zones together, as no zone has an empty name.
constexpr const char* kAllZones = "";
constexpr std::array kRoles = {Role::kReader, Role::kWriter};

bool serves_role(Role endpoint, Role wanted) { return endpoint == wanted || endpoint == Role::kMixed; }

Value absent() { return Value::of(expression::EvaluationError::kAbsent); }

Value value_or_absent(std::optional<double> value) { return value ? Value::of(*value) : absent(); }

}  // namespace

expression::Environment Signals::fields(const routing::Settings& settings) {
  expression::Environment environment;
  for (const char* name :
       {"ready.readers", "ready.writers", "ready.least_zone_readers", "ready.least_zone_writers", "refused"})
    environment.add({name, Kind::kDouble, true, 0, {}});
  environment.add({"open", Kind::kInt, false, 0, {}});
  for (const auto& request_class : settings.classes)
    environment.add({"late." + request_class.name, Kind::kDouble, true, 0, {}});
  return environment;
}

void Signals::apply_settings(const routing::Settings& settings) {
  roles_by_kind_.clear();
  quotas_.clear();
  classes_.clear();
  for (const auto& kind : settings.kinds) roles_by_kind_[kind.name] = kind.role;
  for (const auto& tenant : settings.tenants)
    quotas_[tenant.name] = tenant.quota_rps / std::max(1, settings.router_count);
  for (const auto& request_class : settings.classes) classes_.push_back(request_class.name);
  std::erase_if(late_, [&](const auto& entry) { return !has_class(entry.first); });
  std::erase_if(arrivals_, [&](const auto& entry) { return !quotas_.contains(entry.first); });
}

void Signals::update_endpoints(const routing::EndpointList& list, Time now) {
  if (list.kind != routing::ListKind::kDelta) endpoints_.clear();
  for (const auto& entry : list.entries) {
    const auto kind = roles_by_kind_.find(entry.kind);
    if (entry.state == EndpointState::kRemoved || kind == roles_by_kind_.end()) {
      endpoints_.erase(entry.endpoint);
    } else {
      endpoints_[entry.endpoint] = {entry.zone, kind->second, entry.state == EndpointState::kReady};
    }
  }
  std::set<std::string> zones = {kAllZones};
  for (const auto& [name, endpoint] : endpoints_) zones.insert(endpoint.zone);
  for (const std::string& zone : zones) {
    for (const Role role : kRoles) {
      const ZoneRole group{zone, role};
      ready_maxima_[group].observe(count_ready(group), now);
    }
  }
}

void Signals::first_token(const std::string& request_class, FirstTokenTiming timing, Time now) {
  if (!has_class(request_class)) return;
  const bool is_late = timing == FirstTokenTiming::kLate;
  late_[request_class].record(is_late ? Event::kMatching : Event::kOther, now);
  rejected_.record(Event::kOther, now);
}

void Signals::request_not_served(const std::string& request_class, engine::NotServedReason reason, Time now) {
  if (!has_class(request_class)) return;
  // A request that was rejected or failed counts as late, because it had no first token in time either.
  late_[request_class].record(Event::kMatching, now);
  const bool is_rejected = reason == engine::NotServedReason::kRejected;
  rejected_.record(is_rejected ? Event::kMatching : Event::kOther, now);
}

void Signals::request_arrived(const std::string& account, Time now) {
  if (quotas_.contains(account)) arrivals_[account].record(Event::kMatching, now);
}

Value Signals::quota_usage(const std::string& account, Time now) const {
  const auto quota = quotas_.find(account);
  if (quota == quotas_.end() || quota->second <= 0) return absent();
  const auto arrivals = arrivals_.find(account);
  if (arrivals == arrivals_.end()) return Value::of(0.0);
  return Value::of(arrivals->second.events_per_second(now) / quota->second);
}

bool Signals::has_class(const std::string& request_class) const {
  return std::find(classes_.begin(), classes_.end(), request_class) != classes_.end();
}

std::size_t Signals::count_ready(const ZoneRole& group) const {
  const auto count = std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
    const Endpoint& endpoint = entry.second;
    const bool is_in_zone = group.zone == kAllZones || endpoint.zone == group.zone;
    return endpoint.ready && serves_role(endpoint.role, group.role) && is_in_zone;
  });
  return static_cast<std::size_t>(count);
}

Value Signals::ready_fraction(const ZoneRole& group, Time now) {
  const std::size_t ready = count_ready(group);
  RecentMaximum& maximum = ready_maxima_[group];
  maximum.observe(ready, now);
  if (maximum.maximum() == 0) return absent();
  return Value::of(static_cast<double>(ready) / static_cast<double>(maximum.maximum()));
}

Value Signals::min_zone_ready_fraction(Role role, Time now) {
  std::vector<ZoneRole> groups;
  for (const auto& [group, maximum] : ready_maxima_) {
    if (group.role == role && group.zone != kAllZones) groups.push_back(group);
  }
  Value minimum = absent();
  for (const ZoneRole& group : groups) {
    const Value fraction = ready_fraction(group, now);
    if (fraction.failed()) continue;
    if (minimum.failed() || fraction.real < minimum.real) minimum = fraction;
  }
  return minimum;
}

std::vector<Value> Signals::values(std::size_t in_progress, std::optional<Time> endpoints_updated_at,
                                   Time now) {
  std::vector<Value> values;
  values.reserve(2 * kRoles.size() + 2 + classes_.size());
  const bool is_list_fresh = endpoints_updated_at && now - *endpoints_updated_at <= kMaxListAge;
  for (const Role role : kRoles)
    values.push_back(is_list_fresh ? ready_fraction({kAllZones, role}, now) : absent());
  for (const Role role : kRoles) {
    // Also computed if the list is too old, so that the maxima are updated.
    const Value minimum = min_zone_ready_fraction(role, now);
    values.push_back(is_list_fresh ? minimum : absent());
  }
  values.push_back(value_or_absent(rejected_.ratio(kMinEvents, now)));
  values.push_back(Value::of(static_cast<std::int64_t>(in_progress)));
  for (const std::string& request_class : classes_)
    values.push_back(value_or_absent(late_[request_class].ratio(kMinEvents, now)));
  // Zones without a ready endpoint in the current and the previous period count as removed.
  std::erase_if(ready_maxima_, [](const auto& entry) { return entry.second.maximum() == 0; });
  return values;
}

}  // namespace dispatcher::degradation
