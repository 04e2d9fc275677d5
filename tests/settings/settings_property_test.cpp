// Tests invariants that hold under any valid settings. Settings and scripts of events are drawn from ranges
// wider than those of any deployment, and the scripts are run against the router. A failure prints the seed,
// the smallest settings and script that RapidCheck found, and a transcript. PROPERTY_RUNS sets the number of
// runs and PROPERTY_SEED the seed.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ostream>
#include <sstream>

#include "settings/check.hpp"
#include "tests/fixtures/settings_draw.hpp"
#include "tests/routing/invariants.hpp"
#include "tests/routing/script_runner.hpp"

namespace dispatcher::routing::testing {
namespace {

// Names of enumerators, in the order of the enumerations.
constexpr std::array<const char*, 3> kRoleNames = {"reader", "writer", "mixed"};
constexpr std::array<const char*, 3> kIdempotencyNames = {"idempotent", "keyed", "non-idempotent"};
constexpr std::array<const char*, 3> kScopeNames = {"all", "zone", "cell"};

double to_milliseconds(Duration time) { return static_cast<double>(time.count()) / 1000; }

void print_options(const Settings& settings, std::ostream& out) {
  const auto print_if = [&out](bool is_set, const char* name) {
    if (is_set) out << ", " << name;
  };
  print_if(settings.may_cancel, "may cancel");
  print_if(settings.may_migrate_streams, "may migrate streams");
  print_if(settings.writers_can_prefill, "writers can prefill");
  print_if(settings.may_hedge, "may hedge");
  print_if(settings.polls_endpoint_list, "polls endpoint list");
  print_if(settings.may_reserve_slots, "may reserve slots");
  print_if(settings.retry_advice, "retry advice");
}

void print(const RequestClass& request_class, std::ostream& out) {
  out << "  class " << request_class.name << " "
      << kIdempotencyNames.at(static_cast<std::size_t>(request_class.idempotency)) << "/"
      << kScopeNames.at(static_cast<std::size_t>(request_class.deduplication_scope)) << " window "
      << to_milliseconds(request_class.deduplication_window) << " objective "
      << to_milliseconds(request_class.latency_objective) << " deadline "
      << to_milliseconds(request_class.deadline) << "\n";
}

void print(const Settings& settings, std::ostream& out) {
  out << "  router " << settings.router_number << " of " << settings.router_count << ", tick "
      << to_milliseconds(settings.tick) << " ms, attempts " << settings.max_attempts << " ("
      << settings.free_connect_failures << " free connect failures), reservation limit "
      << to_milliseconds(settings.reservation_limit) << ", slack " << to_milliseconds(settings.answer_slack)
      << ", drain grace " << to_milliseconds(settings.drain_grace) << ", warm-up "
      << settings.warmup_initial_share << " for " << to_milliseconds(settings.warmup_time) << ", overload "
      << settings.overload_multiple << " in " << to_milliseconds(settings.overload_window);
  print_options(settings, out);
  out << "\n  kinds";
  for (const EndpointKind& kind : settings.kinds)
    out << " " << kind.name << " " << kRoleNames.at(static_cast<std::size_t>(kind.role));
  out << "\n";
  for (const RequestClass& request_class : settings.classes) print(request_class, out);
}

}  // namespace

// RapidCheck finds these functions by their name and argument type and prints the values of a failure with
// them.
// NOLINTNEXTLINE(readability-identifier-naming): its name
void showValue(const DrawnNumbers& numbers, std::ostream& out) {
  const Deployment deployment = draw(numbers);
  out << deployment.endpoints.size() << " endpoints; settings\n";
  for (const Settings& settings : deployment.settings) print(settings, out);
}

void showValue(const Step& step, std::ostream& out) {  // NOLINT(readability-identifier-naming): its name
  out << "{" << step.kind << "," << step.target << "," << step.variant << "," << step.amount << "}";
}

namespace {

rc::Gen<DrawnNumbers> any_numbers(const Range& range = {}) {
  return rc::gen::map(rc::gen::container<std::vector<int>>(kDrawnNumbers, rc::gen::inRange(0, 1000)),
                      [range](std::vector<int> values) {
                        return DrawnNumbers{std::move(values), range};
                      });
}

rc::Gen<std::vector<Step>> any_script(int max_steps) {
  const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 1000));
  const auto step = rc::gen::map(rc::gen::tuple(number, number, number, number), [](const auto& numbers) {
    return Step{std::get<0>(numbers), std::get<1>(numbers), std::get<2>(numbers), std::get<3>(numbers)};
  });
  return rc::gen::resize(max_steps, rc::gen::container<std::vector<Step>>(step));
}

std::uint64_t from_environment(const char* name, std::uint64_t default_value) {
  const char* value = std::getenv(name);
  return value == nullptr ? default_value : std::strtoull(value, nullptr, 10);
}

// Checks the property in `runs` runs that start from `seed`. PROPERTY_RUNS and PROPERTY_SEED in the
// environment override these.
template <class Property>
void expect_holds(std::uint64_t seed, int runs, Property property) {
  rc::detail::TestMetadata metadata;
  metadata.id = ::testing::UnitTest::GetInstance()->current_test_info()->name();
  metadata.description = metadata.id;
  rc::detail::TestParams params;
  params.seed = from_environment("PROPERTY_SEED", seed);
  params.maxSuccess = static_cast<int>(from_environment("PROPERTY_RUNS", static_cast<std::uint64_t>(runs)));
  const auto result = rc::detail::checkTestable(property, metadata, params);
  if (result.template is<rc::detail::SuccessResult>()) return;
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  ADD_FAILURE() << "seed " << params.seed << "\n" << message.str();
}

std::string last_lines(const std::vector<std::string>& transcript) {
  constexpr std::size_t kMaxLines = 60;
  std::string text;
  for (std::size_t i = transcript.size() - std::min(transcript.size(), kMaxLines); i < transcript.size(); ++i)
    text += "\n" + transcript[i];
  return text;
}

void run_script(const Deployment& deployment, const std::vector<Step>& script,
                Ending ending = Ending::kRunOut) {
  constexpr std::uint64_t kRouterSeed = 7;
  ScriptRunner runner(deployment.settings, deployment.endpoints, kRouterSeed);
  try {
    runner.start();
    for (const Step& step : script) runner.run(step);
    runner.finish(ending);
  } catch (const InvariantViolation& violation) {
    RC_FAIL(violation.what() + last_lines(runner.transcript()));
  }
}

// ---- the properties ----

TEST(AnySettings, DrawnSettingsAreValid) {
  expect_holds(1, 1000, [] {
    const Deployment deployment = draw(*any_numbers());
    for (const Settings& settings : deployment.settings) {
      for (const settings::Finding& finding : settings::check(settings))
        RC_ASSERT(finding.severity != settings::Severity::kError);
    }
  });
}

TEST(AnySettings, InvariantsHoldInShortScripts) {
  expect_holds(2, 400, [] { run_script(draw(*any_numbers()), *any_script(60)); });
}

TEST(AnySettings, InvariantsHoldInLongScripts) {
  expect_holds(3, 60, [] { run_script(draw(*any_numbers()), *any_script(600)); });
}

TEST(AnySettings, InvariantsHoldWithExtremeTimes) {
  Range range;
  range.extreme = true;
  expect_holds(4, 300, [&] { run_script(draw(*any_numbers(range)), *any_script(60), Ending::kDisconnect); });
}

// Draws limits below min_reservation_limit() of tests/fixtures/settings_draw.cpp, which is 67 ms if 20 ms are
// a multiple of the tick. Under a shorter limit a prompt state that finds no writer must be released at once,
// because the next check of the queue comes too late.
TEST(AnySettings, InvariantsHoldWithReservationLimitsOfAFewTicks) {
  Range range;
  range.short_reservation_limits = true;
  expect_holds(5, 2000, [&] { run_script(draw(*any_numbers(range)), *any_script(60)); });
}

// The router learns up to a tick late that an attempt has timed out, and answers the request only then. With
// an answer slack shorter than a tick, the attempt must time out before the client's deadline, by the
// difference.
TEST(AnySettings, InvariantsHoldWithAnAnswerSlackUnderATick) {
  Range range;
  range.slack_under_tick = true;
  expect_holds(6, 2000, [&] { run_script(draw(*any_numbers(range)), *any_script(60)); });
}

}  // namespace
}  // namespace dispatcher::routing::testing
