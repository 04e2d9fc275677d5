// The simulation of a scenario, with the real engine and routing in virtual time. Checks that it is
// reproducible and that requests are handled by the rules of their classes.
#include <catch2/catch.hpp>
#include <map>

#include "degradation/degradation_controller.hpp"
#include "simulation/scenario.hpp"

namespace dispatcher::testing {
namespace {

using namespace simulation;

// Returns a scenario of one minute with three dispatchers. `fields` are further fields of the scenario, and
// `traffic` is its field of that name.
Parameters make_scenario(const std::string& fields = {}, const std::string& traffic = "{}") {
  return read_parameters({"s.cue", "lasts_s: 60\ninstances: 3\ntraffic: " + traffic + "\n" + fields});
}

TEST_CASE("a simulation gives the same result for the same seed and another one for another seed",
          "[model]") {
  const Parameters parameters =
      make_scenario("troubles: [{kind: \"zone-lost\", zone: 1, from_s: 20, to_s: 40}]");
  const Result first = simulate(parameters, 1);
  const Result same_seed = simulate(parameters, 1);
  const Result other_seed = simulate(parameters, 2);
  CHECK(first.csv() == same_seed.csv());
  CHECK(first.csv() != other_seed.csv());
  CHECK(first.outcomes.size() > 1000);
}

TEST_CASE("a simulated fleet without faults serves requests in time", "[model]") {
  const Result result = simulate(make_scenario(), 7);
  CHECK(result.in_time_fraction("command") > 0.97);
  CHECK(result.in_time_fraction("ask") > 0.97);
  CHECK(result.served_weight > 0.95 * result.total_weight);
  CHECK(result.leaked_states == 0);
}

TEST_CASE("under any fault all requests end, no non-idempotent one runs twice and no reader state leaks",
          "[model]") {
  for (const char* fault : {"kind: \"zone-lost\", zone: 0, from_s: 10, to_s: 30",
                            "kind: \"readers-dead\", share: 0.5, from_s: 10, to_s: 30",
                            "kind: \"slow-links\", share: 20, from_s: 10, to_s: 30",
                            "kind: \"jump\", share: 6, from_s: 10, to_s: 30"}) {
    const Result result = simulate(make_scenario("troubles: [{" + std::string(fault) + "}]"), 3);
    INFO(fault);
    CHECK(result.duplicate_executions == 0);
    CHECK(result.leaked_states == 0);
    std::map<RequestOutcome::End, int> ends;
    for (const RequestOutcome& outcome : result.outcomes) ++ends[outcome.end];
    CHECK(ends[RequestOutcome::End::kOpen] == 0);
    CHECK(ends[RequestOutcome::End::kServed] > static_cast<int>(result.outcomes.size()) / 2);
  }
}

TEST_CASE("degradation levels shed requests under overload and none without it", "[model][levels]") {
  const Parameters overloaded =
      make_scenario("troubles: [{kind: \"jump\", share: 8, from_s: 10, to_s: 50}]", "{rate: 30}");
  const auto levels = degradation::DegradationController::read(
      {"l.cue",
       "levels: [{name: \"less\", enter: \"late.command > 0.1 || refused > 0.1\", "
       "leave: \"late.command < 0.03 && refused < 0.03\", "
       "enter_for_ms: 1000, shed: [{classes: [\"ask\"]}]}]"},
      overloaded.settings);
  const Result with_levels = simulate(overloaded, 5, levels);
  const Result without_levels = simulate(overloaded, 5);
  CHECK(with_levels.level_changes >= 1);
  CHECK(with_levels.in_time_fraction("command") > without_levels.in_time_fraction("command"));
  CHECK(simulate(make_scenario(), 5, levels).level_changes == 0);
}

TEST_CASE("a scenario file with invalid values is rejected with their positions", "[model]") {
  CHECK_THROWS_WITH(make_scenario("fleet: {readers: 0}"),
                    "s.cue:4:18: fleet.readers: expected 4 | int & >0 & <=1000, found 0");
  CHECK_THROWS_WITH(make_scenario("troubles: [{kind: \"zone-lost\", zone: 9, from_s: 9, to_s: 9}]"),
                    Catch::Contains("not after from_s") && Catch::Contains("no such zone"));
}

}  // namespace
}  // namespace dispatcher::testing
