#include "rate_limit/rules.hpp"

#include <algorithm>
#include <cmath>

#include "rate_limit/text_hash.hpp"

namespace dispatcher::rate_limit {

namespace {

// Costs in nanoseconds, as measured by bench/rules_bench.cpp, with a margin.
constexpr double kFixedNs = 300;     // for each decision, without headers and expressions
constexpr double kHeaderNs = 60;     // for each header
constexpr double kHeaderByteNs = 1;  // for each byte of a header's maximum length
constexpr double kKeyNs = 200;       // for each class, account, session or limit key that a rule computes
constexpr double kKeyByteNs = 0.5;   // for each byte of a limit key's maximum length
constexpr double kNanosecondsPerSecond = 1e9;

// Upper bound on emission intervals and burst tolerances, so that these and their sums with the clock fit in
// 64 bits.
constexpr Nanoseconds kMaxInterval = std::chrono::hours(240);

Nanoseconds bounded_interval(double nanoseconds) {
  return Nanoseconds(
      static_cast<std::int64_t>(std::min(nanoseconds, static_cast<double>(kMaxInterval.count()))));
}

// Returns the part of `total` for number `instance`, counted from 0, of `instances`. It is at least one
// unless the total is 0.
std::uint32_t share_of(std::int64_t total, std::int64_t instance, std::int64_t instances) {
  if (total == 0) return 0;
  const std::int64_t share = total / instances + (instance < total % instances ? 1 : 0);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(1, share));
}

// Runs the programs of one rule on one request and counts the results that cannot be used.
class Evaluation {
 public:
  Evaluation(std::span<const expression::Value> values, expression::Scratch& scratch)
      : values_(values), scratch_(scratch) {}

  // Returns the program's result, or nullopt if there is no program or its result has no value.
  std::optional<std::string_view> text(const std::optional<expression::Program>& program) {
    if (!program) return std::nullopt;
    const expression::Value value = program->run(values_, scratch_);
    if (!value.failed()) return value.text();
    ++faults;
    return std::nullopt;
  }

  // Returns the element of `names` that equals `name`, or null if there is none.
  const std::string* known_name(const std::vector<std::string>& names, std::string_view name) {
    const auto it = std::find(names.begin(), names.end(), name);
    if (it != names.end()) return &*it;
    ++faults;
    return nullptr;
  }

  // Returns the hash of the limit's key. Requests for which the key has no value share one hash, so that a
  // client cannot evade the limit by leaving out a header.
  std::uint64_t key_hash(const Limit& limit) {
    const expression::Value key = limit.key.run(values_, scratch_);
    if (key.failed()) ++faults;
    const std::uint64_t hash =
        key.failed() ? text_hash(std::string_view(), limit.id + 1) : text_hash(key.text(), limit.id);
    return std::max<std::uint64_t>(1, hash);
  }

  std::uint64_t faults = 0;

 private:
  std::span<const expression::Value> values_;
  expression::Scratch& scratch_;
};

}  // namespace

InstanceLimit instance_limit(const Limit& limit, std::size_t instance, std::size_t instances) {
  InstanceLimit part;
  part.id = limit.id;
  const auto count = static_cast<double>(std::max<std::size_t>(1, instances));
  if (limit.rate > 0) {
    const double interval = kNanosecondsPerSecond * count / limit.rate;
    part.emission_interval = std::max(bounded_interval(interval), Nanoseconds(1));
    part.burst_tolerance = bounded_interval(interval * (std::max(1.0, limit.burst / count) - 1));
  }
  if (limit.max_in_progress) {
    part.max_in_progress = share_of(*limit.max_in_progress, static_cast<std::int64_t>(instance),
                                    static_cast<std::int64_t>(count));
  }
  part.retry_after = limit.retry_after;
  return part;
}

double RuleSet::result_ns(std::size_t index) const {
  return worst_ns(index) - conditions_.condition(index).worst_ns();
}

double RuleSet::worst_ns(std::size_t index) const {
  const Rule& rule = rules_[index];
  double cost = conditions_.condition(index).worst_ns();
  for (const auto* program : {&rule.request_class, &rule.account, &rule.session}) {
    if (*program) cost += (*program)->worst_ns() + kKeyNs;
  }
  for (const Limit& limit : rule.limits)
    cost += limit.key.worst_ns() + kKeyNs + kKeyByteNs * static_cast<double>(limit.key.max_length());
  return cost;
}

std::optional<cue::Problem> RuleSet::check_budget() {
  double max_result_ns = 0;
  std::size_t costliest_result = 0;
  for (std::size_t i = 0; i < rules_.size(); ++i) {
    if (result_ns(i) <= max_result_ns) continue;
    max_result_ns = result_ns(i);
    costliest_result = i;
  }
  worst_ns_ = kFixedNs + conditions_.worst_ns() + max_result_ns;
  for (const Header& header : headers_)
    worst_ns_ += kHeaderNs + kHeaderByteNs * static_cast<double>(header.max_length);
  if (worst_ns_ <= budget_ns_) return std::nullopt;

  std::string what = "a request could take " + std::to_string(std::llround(worst_ns_)) +
                     " ns, more than the budget of " + std::to_string(std::llround(budget_ns_));
  if (rules_.empty()) return cue::Problem{{}, "headers", what};
  const int condition = conditions_.costliest();
  std::size_t costliest = costliest_result;
  if (condition >= 0) {
    const auto index = static_cast<std::size_t>(condition);
    if (max_result_ns <= conditions_.condition(index).worst_ns()) costliest = index;
  }
  what += "; the costliest rule is '" + rules_[costliest].name + "' with " +
          std::to_string(std::llround(worst_ns(costliest)));
  return cue::Problem{rules_[costliest].at, "rules[" + std::to_string(costliest) + "]", what};
}

void RuleSet::reserve(expression::Scratch& scratch) const {
  conditions_.reserve(scratch);
  const auto reserve_for = [&](const expression::Program& program) {
    scratch.reserve(program.max_values(), program.max_text());
  };
  for (const Rule& rule : rules_) {
    for (const auto* program : {&rule.request_class, &rule.account, &rule.session}) {
      if (*program) reserve_for(**program);
    }
    for (const Limit& limit : rule.limits) reserve_for(limit.key);
  }
}

std::span<const expression::Value> RuleSet::fill(const RequestAttributes& attributes,
                                                 SessionText& session_text, Values& values) const {
  fill_request_fields(attributes, session_text,
                      std::span<expression::Value, kRequestFields>(values.data(), kRequestFields));
  std::size_t count = kRequestFields;
  for (std::size_t i = 0; i < headers_.size(); ++i) {
    const auto header = i < attributes.headers.size() ? attributes.headers[i] : std::nullopt;
    values[count++] = text_value(header, headers_[i].max_length);
  }
  return {values.data(), count};
}

std::vector<expression::Value> RuleSet::values(const RequestAttributes& attributes,
                                               SessionText& session_text) const {
  Values values;
  const auto filled = fill(attributes, session_text, values);
  return {filled.begin(), filled.end()};
}

Decision RuleSet::decide(const RequestAttributes& attributes, expression::Scratch& scratch) const {
  Decision decision;
  Values all_values;
  SessionText session_text{};
  const auto values = fill(attributes, session_text, all_values);
  const int match = conditions_.find(values, scratch);
  if (match < 0) return decision;
  decision.rule = static_cast<std::size_t>(match);
  const Rule& rule = rules_[*decision.rule];
  Evaluation evaluation(values, scratch);
  if (const auto name = evaluation.text(rule.request_class))
    decision.request_class = evaluation.known_name(vocabulary_.classes, *name);
  if (const auto name = evaluation.text(rule.account)) {
    if (vocabulary_.accounts.empty() || evaluation.known_name(vocabulary_.accounts, *name) != nullptr)
      decision.account = std::string(*name);
  }
  if (const auto name = evaluation.text(rule.session))
    decision.session = std::max<std::uint64_t>(1, text_hash(*name, 0));
  for (const Limit& limit : rule.limits)
    decision.limits[decision.limit_count++] = {&limit, evaluation.key_hash(limit)};
  decision.evaluation_faults = evaluation.faults;
  return decision;
}

}  // namespace dispatcher::rate_limit
