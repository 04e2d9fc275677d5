#include "daemon/rules_command.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <ostream>
#include <random>

#include "rate_limit/explain.hpp"

namespace dispatcher::daemon {

using rate_limit::RuleSet;

namespace {

// The possible values of each text field: those that conditions compare it with, and one that no condition
// names.
class FieldValues {
 public:
  explicit FieldValues(const RuleSet& rules) : by_field_(rules.fields().fields().size()) {
    for (std::size_t i = 0; i < rules.rules().size(); ++i)
      collect(rules.conditions().condition(i).tree(), kNoField);
    for (auto& values : by_field_) values.emplace_back("another");
  }
  // Returns a random value of the field with this index.
  [[nodiscard]] const std::string& draw(std::size_t field, std::mt19937_64& random) const {
    return by_field_[field][random() % by_field_[field].size()];
  }

 private:
  static constexpr int kNoField = -1;

  // Adds the string literals under `node`. `field` is the index of the field that an enclosing node compares
  // them with, or kNoField.
  void collect(const expression::Node& node, int field) {
    if (node.op == expression::Op::kField) return;
    for (const expression::Node& child : node.children) {
      if (child.op == expression::Op::kField) field = static_cast<int>(child.integer);
    }
    const bool is_text = node.op == expression::Op::kLiteral && node.type.kind == expression::Kind::kString;
    if (is_text && field != kNoField) by_field_[static_cast<std::size_t>(field)].push_back(node.text);
    for (const expression::Node& child : node.children) collect(child, field);
  }
  std::vector<std::vector<std::string>> by_field_;
};

// Returns null if the file is invalid, which is reported to `errors`.
std::shared_ptr<const RuleSet> load(const cue::File& file, const rate_limit::Vocabulary& names,
                                    std::ostream& errors) {
  try {
    return RuleSet::read(file, names);
  } catch (const cue::Errors& error) {
    errors << error.what() << "\n";
    return nullptr;
  }
}

// Exclusive upper bounds of the random numeric fields of requests.
constexpr std::uint64_t kPromptTokensBound = 32'768;
constexpr std::uint64_t kTimeLeftMsBound = 10'000;

// Draws a random request, whose text fields mostly have values that the rules name.
rate_limit::RequestAttributes draw_request(const RuleSet& rules, const FieldValues& values,
                                           std::mt19937_64& random) {
  rate_limit::RequestAttributes attributes;
  attributes.request_class = values.draw(rate_limit::kClassField, random);
  attributes.account = values.draw(rate_limit::kAccountField, random);
  attributes.model = values.draw(rate_limit::kModelField, random);
  attributes.session = random();
  attributes.is_openai_api = random() % 2 == 0;
  attributes.prompt_tokens = static_cast<std::int64_t>(random() % kPromptTokensBound);
  attributes.time_left_ms = static_cast<std::int64_t>(random() % kTimeLeftMsBound);
  for (std::size_t i = 0; i < rules.headers().size(); ++i) {
    const bool is_absent = random() % 2 == 0;
    std::optional<std::string_view> header;
    if (!is_absent) header = values.draw(rate_limit::kRequestFields + i, random);
    attributes.headers.push_back(header);
  }
  return attributes;
}

// The result of a benchmark, of at least one decision.
struct Measurement {
  std::vector<float> times_ns;  // time of each decision in nanoseconds, ascending
  std::size_t matched = 0;      // requests that matched a rule

  // `share` is from 0 to 1.
  [[nodiscard]] float quantile(double share) const {
    return times_ns[static_cast<std::size_t>(share * static_cast<double>(times_ns.size() - 1))];
  }
  [[nodiscard]] double mean_ns() const {
    return std::accumulate(times_ns.begin(), times_ns.end(), 0.0) / static_cast<double>(times_ns.size());
  }
};

Measurement measure(const RuleSet& rules, std::size_t requests) {
  const FieldValues values(rules);
  std::mt19937_64 random(1);  // the same requests in every run
  expression::Scratch scratch;
  rules.reserve(scratch);
  Measurement measurement;
  measurement.times_ns.reserve(requests);
  for (std::size_t i = 0; i < requests; ++i) {
    const rate_limit::RequestAttributes attributes = draw_request(rules, values, random);
    const auto begin = std::chrono::steady_clock::now();
    const rate_limit::Decision decision = rules.decide(attributes, scratch);
    const auto end = std::chrono::steady_clock::now();
    measurement.times_ns.push_back(std::chrono::duration<float, std::nano>(end - begin).count());
    if (decision.rule) ++measurement.matched;
  }
  std::sort(measurement.times_ns.begin(), measurement.times_ns.end());
  return measurement;
}

void print(const Measurement& measurement, const RuleSet& rules, std::ostream& out) {
  out << measurement.times_ns.size() << " requests, " << measurement.matched << " matched a rule of "
      << rules.rules().size() << "\n";
  out << std::fixed << std::setprecision(0);
  out << "mean " << measurement.mean_ns() << " ns";
  out << ", median " << measurement.quantile(0.5);
  out << ", p99 " << measurement.quantile(0.99);
  out << ", p99.9 " << measurement.quantile(0.999);
  out << ", most " << measurement.times_ns.back();
  out << "; computed worst " << rules.worst_ns() << "\n";
}

// Prints one line for each rule, with its worst cost.
void print_costs(const RuleSet& rules, std::ostream& out) {
  constexpr int kCostWidth = 9;
  for (std::size_t i = 0; i < rules.rules().size(); ++i)
    out << std::setw(kCostWidth) << std::llround(rules.worst_ns(i)) << " ns  " << rules.rules()[i].name
        << "\n";
}

}  // namespace

int rules_check(const std::vector<cue::File>& files, const rate_limit::Vocabulary& names, RuleCosts costs,
                std::ostream& out, std::ostream& errors) {
  int status = 0;
  for (const cue::File& file : files) {
    const auto rules = load(file, names, errors);
    if (rules == nullptr) {
      status = 1;
      continue;
    }
    for (const cue::Problem& problem : rate_limit::warnings(*rules))
      out << "warning: " << cue::to_text(file.name, problem) << "\n";
    out << file.name << ": ok, " << rules->rules().size() << " rules, at most "
        << std::llround(rules->worst_ns()) << " ns a request (budget " << std::llround(rules->budget_ns())
        << ")\n";
    if (costs == RuleCosts::kShown) print_costs(*rules, out);
  }
  return status;
}

int rules_explain(const cue::File& file, const cue::File& request, const rate_limit::Vocabulary& names,
                  std::ostream& out, std::ostream& errors) {
  const auto rules = load(file, names, errors);
  if (rules == nullptr) return 1;
  try {
    const auto sample = rate_limit::read_sample(request, *rules);
    for (const std::string& line : rate_limit::explain(*rules, sample->attributes)) out << line << "\n";
  } catch (const cue::Errors& error) {
    errors << error.what() << "\n";
    return 1;
  }
  return 0;
}

int rules_bench(const cue::File& file, std::size_t requests, const rate_limit::Vocabulary& names,
                std::ostream& out, std::ostream& errors) {
  const auto rules = load(file, names, errors);
  if (rules == nullptr) return 1;
  if (requests == 0) return 0;
  print(measure(*rules, requests), *rules, out);
  return 0;
}

}  // namespace dispatcher::daemon
