#include "settings/check.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace dispatcher::settings {
namespace {

using namespace routing;  // the module's types, which all of this file is about

std::string number(double value) {
  std::ostringstream out;
  out.precision(10);
  out << value;
  return out.str();
}
std::string ms(Duration time) { return number(static_cast<double>(time.count()) / 1000) + " ms"; }
std::string element(const char* array, std::size_t i, const char* field = "") {
  return std::string(array) + "[" + std::to_string(i) + "]" + field;
}

// Longer times are a slip of the pen, and their multiples would not fit: an objective grows with a prompt,
// whose length is the client's word.
constexpr Duration kMaxTime = std::chrono::hours(24);
constexpr Duration kMaxTick = std::chrono::hours(1);  // timers reach 71 minutes

class Findings {
 public:
  void reject(std::string field, std::string wrong, std::string wanted) {
    all_.push_back({Severity::kRefuse, std::move(field), std::move(wrong), std::move(wanted)});
  }
  void warn(std::string field, std::string wrong, std::string wanted) {
    all_.push_back({Severity::kWarn, std::move(field), std::move(wrong), std::move(wanted)});
  }
  void reject_below_0(std::string field, Duration time) {
    if (time.count() < 0)
      reject(std::move(field), ms(time), "at least 0");
    else
      reject_beyond(std::move(field), time, kMaxTime);
  }
  void reject_up_to_0(std::string field, Duration time) {
    if (time.count() <= 0)
      reject(std::move(field), ms(time), "above 0");
    else
      reject_beyond(std::move(field), time, kMaxTime);
  }
  void reject_beyond(std::string field, Duration time, Duration maximum) {
    if (time > maximum) reject(std::move(field), ms(time), "at most " + ms(maximum));
  }
  // The bounds that follow are worded so that a number that is none (NaN) is out of them too.
  void reject_below_0(std::string field, double value) {
    if (!(value >= 0)) reject(std::move(field), number(value), "at least 0");
  }
  void warn_below_0(std::string field, double value) {
    if (!(value >= 0)) warn(std::move(field), number(value), "at least 0");
  }
  void warn_outside_0_to_1(std::string field, double value) {
    if (!(value >= 0 && value <= 1)) warn(std::move(field), number(value), "0 to 1");
  }
  std::vector<Finding> take() { return std::move(all_); }

 private:
  std::vector<Finding> all_;
};

bool any_kind(const Settings& s, Role role) {
  return std::any_of(s.kinds.begin(), s.kinds.end(), [&](const EndpointKind& k) { return k.role == role; });
}

// Of all classes; s has at least one.
Duration shortest(const Settings& s, Duration RequestClass::*time) {
  const auto sooner = [&](const auto& a, const auto& b) { return a.*time < b.*time; };
  return *std::min_element(s.classes.begin(), s.classes.end(), sooner).*time;
}

double quotas(const Settings& s) {
  double sum = 0;
  for (const Tenant& t : s.tenants) sum += t.quota_rps;
  return sum;
}

// ---- each value by itself ----

void check_counts(const Settings& s, Findings& f) {
  if (s.kinds.empty()) f.reject("hostTypes", "no kind of replica", "at least one");
  if (s.classes.empty()) f.reject("categories", "no class", "at least one");
  if (s.router_count < 1) {
    f.reject("balancers", std::to_string(s.router_count), "at least 1");
  } else if (s.router_number < 0 || s.router_number >= s.router_count) {
    // Parts of quotas and limits are dealt out by it: one beyond the count would be dealt out twice.
    f.reject("myNumber",
             std::to_string(s.router_number) + " among " + std::to_string(s.router_count) + " dispatchers",
             "0 to " + std::to_string(s.router_count - 1));
  }
  if (s.max_attempts < 1) f.reject("limits.mostTries", std::to_string(s.max_attempts), "at least 1");
}

void check_times(const Settings& s, Findings& f) {
  f.reject_below_0("granularityMs", s.tick);
  if (s.tick <= kMaxTime) f.reject_beyond("granularityMs", s.tick, kMaxTick);
  f.reject_below_0("familyInfo.pinLimitMs", s.reservation_limit);
  f.reject_below_0("guarantees.answerSlackMs", s.answer_slack);
  f.reject_below_0("guarantees.askEveryMs", s.poll_interval);
  f.reject_below_0("guarantees.coldMs", s.warmup_time);
  f.reject_below_0("guarantees.drainGraceMs", s.drain_grace);
  f.reject_below_0("guarantees.tipAfterMs", s.overload_window);
  f.reject_below_0("limits.connectTimeoutMs", s.connect_timeout);
  f.reject_below_0("limits.idleCloseMs", s.idle_timeout);
  f.reject_below_0("limits.maxRetryAfterMs", s.max_retry_after);
}

void check_numbers(const Settings& s, Findings& f) {
  f.reject_below_0("guarantees.tipMultiple", s.overload_multiple);
  if (!(s.warmup_initial_share >= 0 && s.warmup_initial_share <= 1))
    f.reject("guarantees.coldShare", number(s.warmup_initial_share),
             "0 to 1, a share of a replica's capacity");
  f.warn_outside_0_to_1("overShareWorth", s.over_quota_weight);
  const std::pair<const char*, double> prices[] = {{"familyInfo.moveFee", s.prices.far},
                                                   {"prices.connection", s.prices.connection},
                                                   {"prices.crossZone", s.prices.cross_zone},
                                                   {"prices.handshake", s.prices.handshake},
                                                   {"prices.lateFail", s.prices.late_fail},
                                                   {"prices.moves", s.prices.move},
                                                   {"prices.peer", s.prices.peer},
                                                   {"prices.probe", s.prices.probe},
                                                   {"prices.registryMode", s.prices.list_line},
                                                   {"prices.waste", s.prices.waste},
                                                   {"goal.whole", s.goal.whole},
                                                   {"goal.worstClass", s.goal.worst_class},
                                                   {"goal.worstTenant", s.goal.worst_tenant},
                                                   {"goal.worstWindow", s.goal.worst_window}};
  for (const auto& [field, value] : prices) f.warn_below_0(field, value);
  for (std::size_t i = 0; i < s.kinds.size(); ++i)
    f.warn_below_0(element("familyInfo.memoryTokens", i), s.kinds[i].memory_tokens);
  for (std::size_t i = 0; i < s.tenants.size(); ++i)
    f.reject_below_0(element("tenants", i, ".quotaRps"), s.tenants[i].quota_rps);
}

void check_classes(const Settings& s, Findings& f) {
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const RequestClass& c = s.classes[i];
    const auto field = [&](const char* name) { return element("categories", i, name); };
    f.reject_up_to_0(field(".objectiveMs"), c.latency_objective);
    f.reject_up_to_0(field(".deadlineMs"), c.deadline);
    f.reject_below_0(field(".windowMs"), c.deduplication_window);
    f.reject_below_0(element("familyInfo.aimUsPer1000PromptTokens", i), c.latency_objective_per_1000_tokens);
    f.reject_below_0(element("familyInfo.tokenAimMs", i), c.token_latency_objective);
    f.reject_below_0(field(".aimStretch"), c.latency_objective_stretch);
    f.warn_below_0(field(".worth"), c.priority_weight);
    f.warn_outside_0_to_1(field(".lateValue"), c.late_weight);
  }
}

// Of two entries of one name the first would decide, which may be the one that allows a repeat.
template <class Entry>
void check_names(const std::vector<Entry>& entries, const char* array, const char* field, Findings& f) {
  std::set<std::string> seen;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (!seen.insert(entries[i].name).second)
      f.reject(element(array, i, field), "'" + entries[i].name + "' a second time", "another name");
  }
}

// The module looks at what waits every 20 ms, which is at the first tick then, and lets go of a state when
// 0.7 of the limit is over: what is left must be as long as it takes to look. Under a shorter limit a state
// waits for no look that would come too late.
Duration shortest_pin(const Settings& s) {
  const Duration tick = std::max(s.tick, Duration(1)), look = std::chrono::milliseconds(20);
  return (look + tick - Duration(1)) / tick * tick * 10 / 3;
}

// ---- values against each other ----

void check_service(const Settings& s, Findings& f) {
  if (s.kinds.empty()) return;
  const bool reads = any_kind(s, Role::kReader), writes = any_kind(s, Role::kWriter);
  const bool mixed = any_kind(s, Role::kMixed), whole = mixed || (s.writers_read && writes);
  if (!whole && !reads)
    f.reject("familyInfo.dutyByKind", "no kind reads a prompt",
             "one of duty 'read' or 'both', or writersRead with one that writes");
  if (!whole && !writes)
    f.reject("familyInfo.dutyByKind", "no kind writes an answer", "one of duty 'write' or 'both'");
  if (!whole && s.max_attempts == 1)
    f.reject("limits.mostTries", "1, but a request is read by one attempt and written by another",
             "at least 2, or a kind that does both");
  if (s.writers_read && !writes)
    f.warn("familyInfo.writersRead", "true, but no kind writes only: it changes nothing",
           "false, or a kind of duty 'write'");
  if (s.early_pairing && (!reads || !(writes || mixed)))
    f.warn("familyInfo.earlyPairing",
           "true, but without a kind that reads and one that writes no place is held ahead", "false");
  if (s.may_duplicate && s.max_attempts == 1)
    f.warn("limits.mayDuplicate", "true, but of one attempt there is no second copy", "mostTries above 1");
}

void check_repeats(const Settings& s, Findings& f) {
  const bool repeats = std::any_of(s.classes.begin(), s.classes.end(), [](const RequestClass& c) {
    return c.idempotency != Idempotency::kNonIdempotent;
  });
  if (s.resume && !s.classes.empty() && !repeats)
    f.warn("familyInfo.resume", "true, but no class may be repeated",
           "a class whose repeat is 'safe' or 'keyed'");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const RequestClass& c = s.classes[i];
    if (c.idempotency == Idempotency::kKeyed && c.deduplication_window.count() == 0)
      f.warn(element("categories", i, ".windowMs"),
             "0 for a keyed class: what may have run is not sent again", "above 0");
  }
}

void check_deadlines(const Settings& s, Findings& f) {
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const RequestClass& c = s.classes[i];
    const std::string field = element("categories", i, ".deadlineMs");
    if (c.deadline.count() > 0 && c.deadline < c.latency_objective)
      f.warn(field, ms(c.deadline) + ", before the objective of " + ms(c.latency_objective),
             "at least the objective");
    if (c.deadline.count() > 0 && c.deadline <= 2 * s.tick)
      f.warn(field, ms(c.deadline) + ", within two ticks: every request of the class is refused at once",
             "well above two ticks of " + ms(s.tick));
  }
  if (s.classes.empty()) return;
  const Duration soonest = shortest(s, &RequestClass::deadline);
  if (soonest.count() > 0 && s.answer_slack >= soonest)
    f.warn("guarantees.answerSlackMs", ms(s.answer_slack) + ", as long as the shortest deadline",
           "below " + ms(soonest));
  if (s.answer_slack.count() >= 0 && s.answer_slack < s.tick)
    f.warn("guarantees.answerSlackMs",
           ms(s.answer_slack) + ", less than a tick: attempts time out that much before the deadline",
           "at least " + ms(s.tick));
  if (soonest.count() > 0 && s.reservation_limit > soonest)
    f.warn("familyInfo.pinLimitMs", ms(s.reservation_limit) + ", longer than the shortest deadline",
           "at most " + ms(soonest));
  if (s.reservation_limit.count() >= 0 && s.reservation_limit < shortest_pin(s))
    f.warn("familyInfo.pinLimitMs",
           ms(s.reservation_limit) + ": a state that finds no writer at once is let go of",
           "at least " + ms(shortest_pin(s)));
  if (s.drain_grace.count() >= 0 && s.drain_grace < s.tick)
    f.warn("guarantees.drainGraceMs", ms(s.drain_grace) + ", less than a tick", "at least " + ms(s.tick));
}

// How much fells a replica depends on its capacity, which nobody tells. The quotas are a part of what the
// whole fleet can do, so one replica can do less: a budget that is too small even then is too small.
void check_cold(const Settings& s, Findings& f) {
  if (s.warmup_time.count() <= 0) return;  // no replica is cold
  const std::string nothing = "0: a cold replica gets nothing until it is warm";
  if (s.overload_multiple == 0) f.warn("guarantees.tipMultiple", nothing, "above 0");
  if (s.warmup_initial_share == 0) f.warn("guarantees.coldShare", nothing, "above 0");
  if (s.overload_window.count() == 0) f.warn("guarantees.tipAfterMs", nothing, "above 0");
  if (s.overload_multiple > 0 && s.overload_multiple < 1)
    f.warn("guarantees.tipMultiple",
           number(s.overload_multiple) + ": a cold replica falls below its capacity", "at least 1");
  const double part =
      s.overload_multiple * s.warmup_initial_share * static_cast<double>(s.overload_window.count()) / 1e6;
  const double maximum = part * quotas(s);
  if (maximum > 0 && maximum < 1)
    f.warn(
        "guarantees.tipAfterMs",
        "with tipMultiple and coldShare " + number(maximum) +
            " requests, even if one replica did the work of all quotas: a single one may fell it",
        "at least " + ms(Duration(std::llround(static_cast<double>(s.overload_window.count()) / maximum))));
}

void check_information(const Settings& s, Findings& f) {
  if (s.report_source == ReportSource::kInProbes && !s.may_probe)
    f.warn("loadInfo.source", "reports come in probes, which are not allowed: there is none",
           "mayProbe, or reports in answers");
  if (s.report_source != ReportSource::kNone && s.report_fields.empty())
    f.warn("loadInfo.fields", "reports come, but none of their values is known here", "at least one value");
  if (!s.zones.empty() && std::find(s.zones.begin(), s.zones.end(), s.zone) == s.zones.end())
    f.warn("myZone", "'" + s.zone + "' is none of the zones: every replica is far", "one of 'dcs'");
}

void check_shares(const Settings& s, Findings& f) {
  if (!s.tenants.empty() && quotas(s) == 0)
    f.warn("tenants", "the quotas add up to nothing: every request is over its tenant's share",
           "a quotaRps above 0");
  if (s.retry_advice && s.max_retry_after.count() == 0)
    f.warn("limits.maxRetryAfterMs", "0, but advice on when to come again is allowed: none can be given",
           "above 0, or retryAfter false");
}

}  // namespace

std::vector<Finding> check(const Settings& s) {
  Findings f;
  check_counts(s, f);
  check_times(s, f);
  check_numbers(s, f);
  check_classes(s, f);
  check_names(s.classes, "categories", ".name", f);
  check_names(s.kinds, "hostTypes", "", f);
  check_names(s.tenants, "tenants", ".name", f);
  check_service(s, f);
  check_repeats(s, f);
  check_deadlines(s, f);
  check_cold(s, f);
  check_information(s, f);
  check_shares(s, f);
  return f.take();
}

std::vector<Finding> check_sockets(const Settings& s) {
  Findings f;
  if (s.connect_timeout.count() == 0)
    f.reject("limits.connectTimeoutMs", "0 ms: no connection can be made", "above 0");
  if (s.idle_timeout.count() == 0)
    f.reject("limits.idleCloseMs", "0 ms: no connection can be kept", "above 0");
  if (!s.classes.empty() && s.connect_timeout > shortest(s, &RequestClass::latency_objective))
    f.warn("limits.connectTimeoutMs",
           ms(s.connect_timeout) + ", longer than the shortest objective: who meets a dead replica is late",
           "at most " + ms(shortest(s, &RequestClass::latency_objective)));
  return f.take();
}

void require(const Settings& settings) {
  std::string rejected;
  for (const Finding& finding : check(settings)) {
    if (finding.severity != Severity::kRefuse) continue;
    rejected += (rejected.empty() ? "" : "; ") + text(finding);
  }
  if (!rejected.empty()) throw std::invalid_argument("routing: bad settings: " + rejected);
}

std::string text(const Finding& finding) {
  const std::string wanted = finding.wanted.empty() ? "" : "; wanted: " + finding.wanted;
  return "field '" + finding.field + "': " + finding.wrong + wanted;
}

}  // namespace dispatcher::settings
