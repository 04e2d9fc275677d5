// The model fleet: the real engine and module in virtual time, the same each time, true to the rules.
#include <catch2/catch.hpp>
#include <map>

#include "degradation/degradation_controller.hpp"
#include "simulation/scenario.hpp"

namespace dispatcher::testing {
namespace {

using namespace simulation;

Statistics scenario(const std::string& more = {}, const std::string& traffic = "{}") {
  return read_figures({"s.cue", "lasts_s: 60\ninstances: 3\ntraffic: " + traffic + "\n" + more});
}

TEST_CASE("the same seed gives the same day, another one another", "[model]") {
  const Statistics f = scenario("troubles: [{kind: \"zone-lost\", zone: 1, from_s: 20, to_s: 40}]");
  const Result a = play(f, 1), b = play(f, 1), c = play(f, 2);
  CHECK(a.csv() == b.csv());
  CHECK(a.csv() != c.csv());
  CHECK(a.outcomes.size() > 1000);
}

TEST_CASE("on a calm day requests are served in time", "[model]") {
  const Result r = play(scenario(), 7);
  CHECK(r.in_time("command") > 0.97);
  CHECK(r.in_time("ask") > 0.97);
  CHECK(r.served_weight > 0.95 * r.total_weight);
  CHECK(r.pinned == 0);
}

TEST_CASE("whatever is lost, each request has one end, no command runs twice and nothing stays pinned",
          "[model]") {
  for (const char* trouble : {"kind: \"zone-lost\", zone: 0, from_s: 10, to_s: 30",
                              "kind: \"readers-dead\", share: 0.5, from_s: 10, to_s: 30",
                              "kind: \"slow-links\", share: 20, from_s: 10, to_s: 30",
                              "kind: \"jump\", share: 6, from_s: 10, to_s: 30"}) {
    const Result r = play(scenario("troubles: [{" + std::string(trouble) + "}]"), 3);
    INFO(trouble);
    CHECK(r.twice == 0);
    CHECK(r.pinned == 0);
    std::map<RequestOutcome::End, int> ends;
    for (const RequestOutcome& o : r.outcomes) ++ends[o.end];
    CHECK(ends[RequestOutcome::End::kOpen] == 0);
    CHECK(ends[RequestOutcome::End::kServed] > static_cast<int>(r.outcomes.size()) / 2);
  }
}

TEST_CASE("levels shed asks when there is too much, and none on a calm day", "[model][levels]") {
  const Statistics busy =
      scenario("troubles: [{kind: \"jump\", share: 8, from_s: 10, to_s: 50}]", "{rate: 30}");
  const auto levels = degradation::DegradationController::read(
      {"l.cue",
       "levels: [{name: \"less\", enter: \"late.command > 0.1 || refused > 0.1\", "
       "leave: \"late.command < 0.03 && refused < 0.03\", "
       "enter_for_ms: 1000, shed: [{classes: [\"ask\"]}]}]"},
      busy.settings);
  const Result with = play(busy, 5, levels), without = play(busy, 5);
  CHECK(with.changes >= 1);
  CHECK(with.in_time("command") > without.in_time("command"));
  CHECK(play(scenario(), 5, levels).changes == 0);
}

TEST_CASE("a scenario is a typed record", "[model]") {
  CHECK_THROWS_WITH(scenario("fleet: {readers: 0}"),
                    "s.cue:4:18: fleet.readers: expected 4 | int & >0 & <=1000, found 0");
  CHECK_THROWS_WITH(scenario("troubles: [{kind: \"zone-lost\", zone: 9, from_s: 9, to_s: 9}]"),
                    Catch::Contains("not after from_s") && Catch::Contains("no such zone"));
}

}  // namespace
}  // namespace dispatcher::testing
