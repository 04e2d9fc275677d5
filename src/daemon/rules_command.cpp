#include "daemon/rules_command.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iomanip>
#include <ostream>
#include <random>

#include "rate_limit/explain.hpp"

namespace dispatcher::daemon {

using rate_limit::RuleSet;

namespace {

// Values of one text field: those that conditions compare it with, and some that none does.
class Values {
 public:
  explicit Values(const RuleSet& rules) : by_field_(rules.fields().fields().size()) {
    for (std::size_t i = 0; i < rules.rules().size(); ++i)
      collect(rules.conditions().condition(i).tree(), -1);
    for (auto& values : by_field_) values.emplace_back("another");
  }
  const std::string& any(std::size_t field, std::mt19937_64& random) const {
    return by_field_[field][random() % by_field_[field].size()];
  }

 private:
  void collect(const expression::Node& n, int field) {
    if (n.op == expression::Op::kField) return;
    for (const expression::Node& kid : n.children) {
      if (kid.op == expression::Op::kField) field = static_cast<int>(kid.integer);
    }
    if (n.op == expression::Op::kLiteral && n.type.kind == expression::Kind::kString && field >= 0)
      by_field_[static_cast<std::size_t>(field)].push_back(n.text);
    for (const expression::Node& kid : n.children) collect(kid, field);
  }
  std::vector<std::vector<std::string>> by_field_;
};

std::shared_ptr<const RuleSet> load(const cue::File& file, const rate_limit::Vocabulary& names,
                                    std::ostream& errors) {
  try {
    return RuleSet::read(file, names);
  } catch (const cue::Errors& e) {
    errors << e.what() << "\n";
    return nullptr;
  }
}

}  // namespace

int rules_check(const std::vector<cue::File>& files, const rate_limit::Vocabulary& names, bool costs,
                std::ostream& out, std::ostream& errors) {
  int status = 0;
  for (const cue::File& file : files) {
    const auto rules = load(file, names, errors);
    if (rules == nullptr) {
      status = 1;
      continue;
    }
    for (const cue::Problem& p : rate_limit::warnings(*rules))
      out << "warning: " << cue::to_text(file.name, p) << "\n";
    out << file.name << ": ok, " << rules->rules().size() << " rules, at most "
        << std::llround(rules->worst_ns()) << " ns a request (budget " << std::llround(rules->budget_ns())
        << ")\n";
    if (!costs) continue;
    for (std::size_t i = 0; i < rules->rules().size(); ++i)
      out << std::setw(9) << std::llround(rules->worst_ns(i)) << " ns  " << rules->rules()[i].name << "\n";
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
  } catch (const cue::Errors& e) {
    errors << e.what() << "\n";
    return 1;
  }
  return 0;
}

int rules_bench(const cue::File& file, std::size_t requests, const rate_limit::Vocabulary& names,
                std::ostream& out, std::ostream& errors) {
  const auto rules = load(file, names, errors);
  if (rules == nullptr) return 1;
  constexpr std::size_t kFixed = rate_limit::kRequestFields;  // fields before the headers
  const Values values(*rules);
  std::mt19937_64 random(1);
  expression::Scratch scratch;
  rules->reserve(scratch);
  std::vector<float> times;
  times.reserve(requests);
  std::size_t matched = 0;
  for (std::size_t n = 0; n < requests; ++n) {
    rate_limit::RequestAttributes facts;
    facts.request_class = values.any(0, random);
    facts.account = values.any(1, random);
    facts.model = values.any(2, random);
    facts.session = random();
    facts.is_openai_api = random() % 2 == 0;
    facts.prompt_tokens = static_cast<std::int64_t>(random() % 32'768);
    facts.time_left_ms = static_cast<std::int64_t>(random() % 10'000);
    for (std::size_t h = 0; h < rules->headers().size(); ++h)
      facts.headers.push_back(
          random() % 2 == 0 ? std::nullopt : std::optional<std::string_view>(values.any(kFixed + h, random)));
    const auto begin = std::chrono::steady_clock::now();
    const rate_limit::Decision decision = rules->decide(facts, scratch);
    times.push_back(
        std::chrono::duration<float, std::nano>(std::chrono::steady_clock::now() - begin).count());
    matched += decision.rule ? 1 : 0;
  }
  if (times.empty()) return 0;
  double sum = 0;
  for (const float t : times) sum += t;
  std::sort(times.begin(), times.end());
  const auto part = [&](double p) {
    return times[static_cast<std::size_t>(p * static_cast<double>(times.size() - 1))];
  };
  out << requests << " requests, " << matched << " matched a rule of " << rules->rules().size() << "\n"
      << std::fixed << std::setprecision(0) << "mean " << sum / static_cast<double>(times.size())
      << " ns, median " << part(0.5) << ", p99 " << part(0.99) << ", p99.9 " << part(0.999) << ", most "
      << times.back() << "; computed worst " << rules->worst_ns() << "\n";
  return 0;
}

}  // namespace dispatcher::daemon
