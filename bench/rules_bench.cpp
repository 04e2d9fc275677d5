// Costs of rules: of decisions on requests, with the computed worst-case cost next to the cost of the slowest
// requests that can be constructed; of parsing a large file; and of the counter table with a million keys.
// Times are per request, in ns, over a million requests each.
//   cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DDISPATCHER_BENCH=ON && cmake --build build-bench -j4
//   build-bench/bench/dispatcher_rules_bench
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include "rate_limit/rate_limiter.hpp"

namespace {

using namespace dispatcher;
using rate_limit::RequestAttributes;
using rate_limit::RuleSet;

constexpr std::size_t kRequests = 1'000'000;  // decided by each measurement
constexpr double kSecondsPerNanosecond = 1e-9;

std::shared_ptr<const RuleSet> parse(const std::string& text) {
  return RuleSet::read({"bench.cue", text}, {});
}

// Rules as operators write them: by account and class, a header, a pattern, lengths; the last ones match all
// requests.
std::string usual_rules_text(int rules) {
  std::string text = "headers: tier: {name: \"X-Tier\", longest: 32}\nrules: [\n";
  for (int i = 0; i < rules - 3; ++i) {
    const std::string account = "account-" + std::to_string(i);
    text += "{name: \"";
    text += account;
    text += "\", when: \"request.account == '";
    text += account;
    text += "' && request.class == 'ask' && request.prompt_tokens < 16000\", ";
    text += "session: \"request.session + header.tier\", ";
    text += "limits: [{key: \"request.account\", rate: 10, burst: 20}]},\n";
  }
  return text +
         "{name: \"gold\", when: \"header.tier.matches('^(gold|platinum)-[0-9]+$')\", limits: [{key: "
         "\"header.tier\", rate: 50}]},\n"
         "{name: \"large\", when: \"request.prompt_tokens > 16 * 1024\", limits: [{key: \"request.account\", "
         "in_progress: 4}]},\n"
         "{name: \"rest\", limits: [{key: \"request.account\", rate: 5, burst: 10}]}]\n";
}

// The slowest conditions that the default cost budget admits. Each one processes all of a long text.
const std::vector<std::string>& slow_conditions() {
  static const std::vector<std::string> all = {
      "header.a.matches('(x+x+)+[yz]$')",
      "size(header.a + header.b) == 1",
      "header.a + header.b == request.account + header.a",
      "[1, 2, 3, 4, 5, 6, 7, 8].exists(x, request.prompt_tokens % x == x)",
      "header.b.matches('[ab]*a[ab]{8}z')",
      "header.a in ['" + std::string(127, 'x') + "', '" + std::string(128, 'y') + "']",
      "double(header.b) > 1.5 || string(request.prompt_tokens) == header.a",
      "header.a.contains(header.b)"};
  return all;
}

// Returns rules with these conditions, all of which are evaluated.
std::string slow_rules_text(const std::vector<std::string>& conditions) {
  std::string text =
      "headers: {a: {name: \"X-A\", longest: 128}, b: {name: \"X-B\", longest: 128}}\nrules: [\n";
  for (std::size_t i = 0; i < conditions.size(); ++i)
    text += "{name: \"slow-" + std::to_string(i) + "\", when: \"" + conditions[i] + "\"},\n";
  return text + "]\n";
}

// Returns rules with each of the slow conditions in turn, as many as fit into the budget.
std::shared_ptr<const RuleSet> slowest_allowed() {
  std::shared_ptr<const RuleSet> last;
  std::vector<std::string> conditions;
  for (std::size_t failed = 0, i = 0; failed < slow_conditions().size(); ++i) {
    conditions.push_back(slow_conditions()[i % slow_conditions().size()]);
    try {
      last = parse(slow_rules_text(conditions));
      failed = 0;
    } catch (const cue::Errors&) {
      conditions.pop_back();
      ++failed;
    }
  }
  return last;
}

// Returns the duration of one call, in ns.
template <class Call>
float measure_ns(const Call& call) {
  const auto begin = std::chrono::steady_clock::now();
  benchmark::DoNotOptimize(call());
  return std::chrono::duration<float, std::nano>(std::chrono::steady_clock::now() - begin).count();
}

// Returns the time below which the given fraction of the times lies. The times must be sorted and not empty.
float quantile(const std::vector<float>& sorted_times, double fraction) {
  const double index = fraction * static_cast<double>(sorted_times.size() - 1);
  return sorted_times[static_cast<std::size_t>(index)];
}

// Returns the shortest time of several decisions on each request, sorted. These times are the rules' own
// cost, without interruptions.
std::vector<float> measure_shortest_times(const RuleSet& rules,
                                          const std::vector<RequestAttributes>& requests,
                                          expression::Scratch& scratch) {
  constexpr int kAttempts = 5;
  std::vector<float> times;
  times.reserve(requests.size());
  for (const RequestAttributes& attributes : requests) {
    float shortest = std::numeric_limits<float>::max();
    for (int attempt = 0; attempt < kAttempts; ++attempt)
      shortest = std::min(shortest, measure_ns([&] { return rules.decide(attributes, scratch); }));
    times.push_back(shortest);
  }
  std::sort(times.begin(), times.end());
  return times;
}

using MakeAttributes = std::function<RequestAttributes(std::size_t)>;

// Decides requests and sets the counters from the times taken. `make_attributes(i)` returns the i-th request.
void measure_decisions(benchmark::State& state, const RuleSet& rules, const MakeAttributes& make_attributes) {
  constexpr std::size_t kDistinctRequests = 4096;
  expression::Scratch scratch;
  rules.reserve(scratch);
  std::vector<RequestAttributes> requests;
  for (std::size_t i = 0; i < kDistinctRequests; ++i) requests.push_back(make_attributes(i));
  std::vector<float> times;
  times.reserve(kRequests);
  for ([[maybe_unused]] const auto iteration : state) {
    const RequestAttributes& attributes = requests[times.size() % requests.size()];
    times.push_back(measure_ns([&] { return rules.decide(attributes, scratch); }));
    state.SetIterationTime(static_cast<double>(times.back()) * kSecondsPerNanosecond);
  }
  std::sort(times.begin(), times.end());
  state.counters["p99"] = quantile(times, 0.99);
  state.counters["p99.9"] = quantile(times, 0.999);
  state.counters["most"] = times.back();
  state.counters["computed"] = rules.worst_ns();
  state.counters["best5_p99.9"] = quantile(measure_shortest_times(rules, requests, scratch), 0.999);
}

// Returns account names, more than there are accounts with their own rules.
const std::vector<std::string>& accounts() {
  static const std::vector<std::string> all = [] {
    constexpr int kAccounts = 2500;
    std::vector<std::string> names;
    names.reserve(kAccounts);
    for (int i = 0; i < kAccounts; ++i) names.push_back("account-" + std::to_string(i));
    return names;
  }();
  return all;
}

void usual_rules(benchmark::State& state) {
  const auto rules = parse(usual_rules_text(static_cast<int>(state.range(0))));
  std::mt19937_64 random(1);
  measure_decisions(state, *rules, [&](std::size_t) {
    RequestAttributes attributes;
    attributes.request_class = random() % 4 == 0 ? "command" : "ask";
    attributes.account =
        accounts()[random() % std::min<std::size_t>(accounts().size(),
                                                    static_cast<std::size_t>(state.range(0)) * 5 / 4)];
    attributes.session = random();
    attributes.prompt_tokens = static_cast<std::int64_t>(random() % 20'000);
    const std::string_view tiers[] = {"gold-12", "silver", "platinum-1234567890", "iron"};
    attributes.headers.push_back(random() % 2 == 0 ? std::nullopt : std::optional(tiers[random() % 4]));
    return attributes;
  });
}

void slow_rules(benchmark::State& state) {
  static const auto rules = slowest_allowed();
  constexpr std::size_t kLength = 128;  // maximum length of the headers and the account, in bytes
  static const std::string repeated(kLength, 'x');
  static const std::string random_text = [] {
    std::mt19937 random(2);
    std::string text;
    while (text.size() < kLength) text += random() % 2 == 0 ? 'a' : 'b';
    return text;
  }();
  state.counters["rules"] = static_cast<double>(rules->rules().size());
  measure_decisions(state, *rules, [&](std::size_t index) {
    RequestAttributes attributes;
    attributes.request_class = "ask";
    attributes.account = repeated;
    attributes.prompt_tokens = 1'000'000'007;
    attributes.headers = {std::string_view(index % 2 == 0 ? repeated : random_text),
                          std::string_view(random_text)};
    return attributes;
  });
}

// Evaluates one expression repeatedly on texts of the maximum length, and reports its computed worst-case
// cost and the ratio of this cost to the measured time.
void one_expression(benchmark::State& state, const std::string& expression) {
  expression::Environment fields;
  fields.add({"a", expression::Kind::kString, false, 1024, {}});
  fields.add({"b", expression::Kind::kString, false, 1024, {}});
  fields.add({"n", expression::Kind::kInt, false, 0, {}});
  const auto program = expression::Program::compile(expression, fields, expression::Kind::kBool);
  expression::Scratch scratch;
  scratch.reserve(program.max_values(), program.max_text());
  const std::string first(1024, 'x');
  const std::string second = std::string(511, 'x') + "y" + std::string(512, 'x');
  const std::vector<expression::Value> values = {expression::Value::of(std::string_view(first)),
                                                 expression::Value::of(std::string_view(second)),
                                                 expression::Value::of(std::int64_t{1'000'000'007})};
  const auto begin = std::chrono::steady_clock::now();
  for ([[maybe_unused]] const auto iteration : state) benchmark::DoNotOptimize(program.run(values, scratch));
  const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - begin;
  const double mean = took.count() / static_cast<double>(state.iterations());
  state.counters["computed"] = program.worst_ns();
  state.counters["computed/measured"] = program.worst_ns() / mean;
}

// Parses and compiles a file of ten thousand rules.
void load(benchmark::State& state) {
  const std::string text = usual_rules_text(10'000);
  for ([[maybe_unused]] const auto iteration : state) benchmark::DoNotOptimize(parse(text));
  state.counters["bytes"] = static_cast<double>(text.size());
}

// Admits a million requests of a million keys.
void million_keys(benchmark::State& state) {
  for ([[maybe_unused]] const auto iteration : state) {
    rate_limit::CounterTable table(1'000'000);
    const rate_limit::InstanceLimit limit{
        1, std::chrono::seconds(10), std::chrono::seconds(0), rate_limit::InstanceLimit::kUnlimited, {}};
    std::mt19937_64 random(3);
    rate_limit::ChargeHandle handle;
    for (std::size_t i = 0; i < kRequests; ++i) {
      const rate_limit::Charge charge{limit, random() | 1U};
      benchmark::DoNotOptimize(table.admit({&charge, 1}, std::chrono::nanoseconds(i), {&handle, 1}));
    }
    state.counters["bytes"] = static_cast<double>(table.bytes());
    state.counters["keys"] = static_cast<double>(table.active_keys(std::chrono::nanoseconds(kRequests)));
    state.counters["shared"] = static_cast<double>(table.overflow_count());
    state.counters["ns/key"] = benchmark::Counter(static_cast<double>(kRequests) * kSecondsPerNanosecond,
                                                  benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  }
}

// Control measurement: takes about as long as a slow request, but does arithmetic only, so that its longest
// times are caused by the machine.
void control(benchmark::State& state) {
  // Knuth's linear congruential generator (MMIX).
  constexpr std::uint64_t kMultiplier = 6364136223846793005ULL;
  constexpr std::uint64_t kIncrement = 1442695040888963407ULL;
  std::vector<float> times;
  times.reserve(kRequests);
  for ([[maybe_unused]] const auto iteration : state) {
    times.push_back(measure_ns([&] {
      std::uint64_t number = times.size() | 1U;
      for (int i = 0; i < state.range(0); ++i) number = number * kMultiplier + kIncrement;
      return number;
    }));
    state.SetIterationTime(static_cast<double>(times.back()) * kSecondsPerNanosecond);
  }
  std::sort(times.begin(), times.end());
  state.counters["p99.9"] = times[times.size() - times.size() / 1000];
  state.counters["most"] = times.back();
}

BENCHMARK(control)->Arg(150)->Arg(750)->UseManualTime()->Iterations(kRequests);
BENCHMARK(usual_rules)->Arg(20)->Arg(200)->Arg(2000)->UseManualTime()->Iterations(kRequests);
BENCHMARK(slow_rules)->UseManualTime()->Iterations(kRequests);
BENCHMARK_CAPTURE(one_expression, compare, std::string("a == b || b < a"));
BENCHMARK_CAPTURE(one_expression, pattern, std::string("a.matches('(x+x+)+[yz]$')"));
BENCHMARK_CAPTURE(one_expression, large_pattern,
                  std::string("a.matches('x[xy]{8}z') || b.matches('y[xy]{8}z')"));
BENCHMARK_CAPTURE(one_expression, contains, std::string("a.contains(b)"));
BENCHMARK_CAPTURE(one_expression, contains_constant, std::string("a.contains('xxxxxxxxxxxxxxxxy')"));
BENCHMARK_CAPTURE(one_expression, join, std::string("a + b == b + a"));
BENCHMARK_CAPTURE(one_expression, size, std::string("size(a) == size(b)"));
BENCHMARK_CAPTURE(one_expression, convert, std::string("string(n) == a || double(n) < 1.0"));
BENCHMARK_CAPTURE(one_expression, arithmetic, std::string("n * 3 % 7 + n / 5 - n == 12"));
BENCHMARK_CAPTURE(one_expression, list,
                  std::string("n in [1, 2, 3, 5, 8, 13, 21, 34] || a in ['x', 'y', 'z']"));
BENCHMARK_CAPTURE(one_expression, exists, std::string("[1, 2, 3, 4, 5, 6, 7, 8].exists(x, n % x == x)"));
BENCHMARK_CAPTURE(one_expression, field, std::string("n > 5"));
BENCHMARK(load)->Unit(benchmark::kMillisecond);
BENCHMARK(million_keys)->Iterations(1)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
