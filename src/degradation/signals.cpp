#include "degradation/signals.hpp"

#include <algorithm>
#include <set>

namespace dispatcher::degradation {

using expression::Kind;
using expression::Value;
using routing::EndpointState;
using routing::Role;

namespace {

constexpr Duration kListStale = std::chrono::seconds(10);

std::int64_t second_of(Time now) { return std::chrono::duration_cast<std::chrono::seconds>(now).count(); }

bool plays(Role endpoint, Role wanted) { return endpoint == wanted || endpoint == Role::kMixed; }

Value known(std::optional<double> value) {
  return value ? Value::of(*value) : Value::of(expression::Fault::kAbsent);
}

}  // namespace

void Share::count(bool yes, Time now) {
  const std::int64_t second = second_of(now);
  Slot& slot = slots_[static_cast<std::size_t>(second % kSlots)];
  if (slot.second != second) slot = {second, 0, 0};
  slot.yes += yes ? 1 : 0;
  ++slot.all;
}

std::pair<std::size_t, std::size_t> Share::sum(Time now) const {
  const std::int64_t second = second_of(now);
  std::size_t yes = 0, all = 0;
  for (const Slot& s : slots_) {
    if (s.second <= second - kSlots || s.second > second) continue;
    yes += s.yes;
    all += s.all;
  }
  return {yes, all};
}

double Share::rate(Time now) const {
  return static_cast<double>(sum(now).second) / static_cast<double>(kSlots);
}

std::optional<double> Share::value(std::size_t minimum, Time now) const {
  const auto [yes, all] = sum(now);
  if (all < minimum) return std::nullopt;
  return static_cast<double>(yes) / static_cast<double>(all);
}

void Peak::see(std::size_t n, Time now) {
  if (!std::exchange(begun_, true)) since_ = now;
  if (now - since_ >= kHalf) {
    before_ = std::exchange(now_, 0);
    since_ = now;
  }
  now_ = std::max(now_, n);
}

expression::Environment Signals::fields(const routing::Settings& settings) {
  expression::Environment e;
  for (const char* name :
       {"ready.readers", "ready.writers", "ready.least_zone_readers", "ready.least_zone_writers", "refused"})
    e.add({name, Kind::kDouble, true, 0, {}});
  e.add({"open", Kind::kInt, false, 0, {}});
  for (const auto& c : settings.classes) e.add({"late." + c.name, Kind::kDouble, true, 0, {}});
  return e;
}

void Signals::adopt(const routing::Settings& settings) {
  kinds_.clear();
  quotas_.clear();
  classes_.clear();
  for (const auto& k : settings.kinds) kinds_[k.name] = k.role;
  for (const auto& t : settings.tenants) quotas_[t.name] = t.quota_rps / std::max(1, settings.router_count);
  for (const auto& c : settings.classes) classes_.push_back(c.name);
  std::erase_if(late_, [&](const auto& l) {
    return std::find(classes_.begin(), classes_.end(), l.first) == classes_.end();
  });
  std::erase_if(asked_, [&](const auto& a) { return !quotas_.contains(a.first); });
}

void Signals::endpoints(const routing::EndpointList& list, Time now) {
  if (list.kind != routing::ListKind::kDelta) endpoints_.clear();
  for (const auto& entry : list.entries) {
    const auto kind = kinds_.find(entry.kind);
    if (entry.state == EndpointState::kRemoved || kind == kinds_.end()) {
      endpoints_.erase(entry.endpoint);
    } else {
      endpoints_[entry.endpoint] = {entry.zone, kind->second, entry.state == EndpointState::kReady};
    }
  }
  std::set<std::string> zones = {""};
  for (const auto& [endpoint, h] : endpoints_) zones.insert(h.zone);
  for (const std::string& zone : zones) {
    for (const Role role : {Role::kReader, Role::kWriter}) {
      const auto count = std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& h) {
        return h.second.ready && plays(h.second.role, role) && (zone.empty() || h.second.zone == zone);
      });
      peaks_[{zone, role}].see(static_cast<std::size_t>(count), now);
    }
  }
}

void Signals::first_token(const std::string& request_class, bool late, Time now) {
  if (std::find(classes_.begin(), classes_.end(), request_class) == classes_.end()) return;
  late_[request_class].count(late, now);
  rejected_.count(false, now);
}

void Signals::given_up(const std::string& request_class, bool rejected, Time now) {
  if (std::find(classes_.begin(), classes_.end(), request_class) == classes_.end()) return;
  // What was refused or failed had no first token in time either.
  late_[request_class].count(true, now);
  rejected_.count(rejected, now);
}

void Signals::asked(const std::string& account, Time now) {
  if (quotas_.contains(account)) asked_[account].count(true, now);
}

Value Signals::use(const std::string& account, Time now) const {
  const auto quota = quotas_.find(account);
  if (quota == quotas_.end() || quota->second <= 0) return Value::of(expression::Fault::kAbsent);
  const auto asked = asked_.find(account);
  return Value::of(asked == asked_.end() ? 0.0 : asked->second.rate(now) / quota->second);
}

Value Signals::ready(Role role, const std::string* zone, Time now) {
  const auto count =
      static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& h) {
        return h.second.ready && plays(h.second.role, role) && (zone == nullptr || h.second.zone == *zone);
      }));
  Peak& peak = peaks_[{zone == nullptr ? std::string() : *zone, role}];
  peak.see(count, now);
  if (peak.maximum() == 0) return Value::of(expression::Fault::kAbsent);
  return Value::of(static_cast<double>(count) / static_cast<double>(peak.maximum()));
}

std::vector<Value> Signals::values(std::size_t open, std::optional<Time> heard, Time now) {
  std::vector<Value> all;
  const bool fresh = heard && now - *heard <= kListStale;
  const Value absent = Value::of(expression::Fault::kAbsent);
  for (const Role role : {Role::kReader, Role::kWriter})
    all.push_back(fresh ? ready(role, nullptr, now) : absent);
  for (const Role role : {Role::kReader, Role::kWriter}) {
    Value minimum = absent;
    std::vector<std::string> zones;
    for (const auto& [key, peak] : peaks_) {
      if (key.second == role && !key.first.empty()) zones.push_back(key.first);
    }
    for (const std::string& zone : zones) {
      const Value one = ready(role, &zone, now);
      if (!one.failed() && (minimum.failed() || one.real < minimum.real)) minimum = one;
    }
    all.push_back(fresh ? minimum : absent);
  }
  all.push_back(known(rejected_.value(kMinSamples, now)));
  all.push_back(Value::of(static_cast<std::int64_t>(open)));
  for (const std::string& c : classes_) all.push_back(known(late_[c].value(kMinSamples, now)));
  // Zones that have had no host for so long that none is missed.
  std::erase_if(peaks_, [](const auto& p) { return p.second.maximum() == 0; });
  return all;
}

}  // namespace dispatcher::degradation
