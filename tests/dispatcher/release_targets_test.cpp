// What can be reached: how long a connection is waited for, and whom a release is asked of.
#include "upstream/release_targets.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "upstream/connect_timeout_estimator.hpp"

namespace dispatcher::upstream {
namespace {

using std::chrono::milliseconds;

Listener listener(const std::string& endpoint, const std::string& zone, int cell = 0, bool connected = true,
                  bool silent = false, Time heard = milliseconds(100)) {
  return {endpoint, zone, cell, connected, silent, heard};
}

TEST_CASE("before any connection has come up, one is waited for as long as may be", "[reach]") {
  ConnectTimeoutEstimator timer(milliseconds(50), milliseconds(250));
  CHECK(timer.patience() == milliseconds(250));
  timer.timed_out();
  CHECK(timer.patience() == milliseconds(250));
}

TEST_CASE("connections that come up fast make the patience short, within its bounds", "[reach]") {
  ConnectTimeoutEstimator timer(milliseconds(50), milliseconds(250));
  for (int i = 0; i < 20; ++i) timer.came_up(milliseconds(3));
  CHECK(timer.patience() == milliseconds(50));
  for (int i = 0; i < 20; ++i) timer.came_up(milliseconds(i % 2 == 0 ? 60 : 100));
  CHECK(timer.patience() > milliseconds(100));
  for (int i = 0; i < 20; ++i) timer.came_up(milliseconds(900));
  CHECK(timer.patience() == milliseconds(250));
  timer.came_up(milliseconds(-5));
  CHECK(timer.patience() <= milliseconds(250));
}

// Where all connections have become slow, none would ever come up in a short time, and nothing be learned.
TEST_CASE("time-outs in a row lengthen the patience, and a connection that came up ends that", "[reach]") {
  ConnectTimeoutEstimator timer(milliseconds(50), milliseconds(250));
  for (int i = 0; i < 20; ++i) timer.came_up(milliseconds(3));
  timer.timed_out();
  timer.timed_out();
  CHECK(timer.patience() == milliseconds(50));  // two hosts, and nothing of the others
  timer.timed_out();
  CHECK(timer.patience() == milliseconds(100));
  for (int i = 0; i < 1000; ++i) timer.timed_out();
  CHECK(timer.patience() == milliseconds(250));
  timer.came_up(milliseconds(3));
  CHECK(timer.patience() == milliseconds(50));
}

TEST_CASE("bounds that contradict each other keep to the longest", "[reach]") {
  ConnectTimeoutEstimator timer(milliseconds(500), milliseconds(250));
  timer.came_up(milliseconds(1));
  CHECK(timer.patience() == milliseconds(250));
  timer.bound(milliseconds(0), milliseconds(0));
  CHECK(timer.patience() > Duration(0));
}

TEST_CASE("one host that is sure to hear is asked alone at first", "[reach]") {
  ReleaseTargets plan(milliseconds(1000), milliseconds(1200), milliseconds(50));
  const std::vector<Listener> all = {listener("a", "x", 0, false), listener("b", "x"),
                                     listener("c", "y", 1, true, true)};
  CHECK(plan.round(milliseconds(1000), all) == std::vector<std::string>{"b"});
}

TEST_CASE("where none is sure to hear, two are asked, in different zones", "[reach]") {
  ReleaseTargets plan(milliseconds(1000), milliseconds(1200), milliseconds(50));
  const std::vector<Listener> all = {listener("a", "x", 0, false, false, milliseconds(900)),
                                     listener("b", "x", 0, false, false, milliseconds(800)),
                                     listener("c", "y", 1, false, false, milliseconds(10))};
  CHECK(plan.round(milliseconds(1000), all) == std::vector<std::string>{"a", "c"});
}

// The zone that has just fallen silent was heard last, host by host: its twelve would all come first.
TEST_CASE("a zone that has fallen silent does not use up the time", "[reach]") {
  std::vector<Listener> all;
  for (int i = 0; i < 12; ++i)
    all.push_back(listener("gone" + std::to_string(i), "x", i / 4, true, false, milliseconds(990)));
  all.push_back(listener("lives", "y", 9, false, true, milliseconds(1)));
  ReleaseTargets plan(milliseconds(1000), milliseconds(1200), milliseconds(50));
  std::set<std::string> asked;
  for (const auto& endpoint : plan.round(milliseconds(1000), all)) asked.insert(endpoint);
  CHECK_FALSE(asked.contains("lives"));
  for (const auto& endpoint : plan.round(milliseconds(1050), all)) asked.insert(endpoint);
  CHECK(asked.contains("lives"));
}

TEST_CASE("rounds widen up to a bound, nobody twice before all were asked", "[reach]") {
  std::vector<Listener> all;
  for (int i = 0; i < 40; ++i) all.push_back(listener("h" + std::to_string(i), "x", i / 5));
  ReleaseTargets plan(Time{}, milliseconds(1200), milliseconds(50));
  std::set<std::string> asked;
  std::vector<std::size_t> widths;
  for (int round = 0; asked.size() < all.size(); ++round) {
    const auto endpoints = plan.round(milliseconds(50 * round), all);
    widths.push_back(endpoints.size());
    for (const auto& endpoint : endpoints) CHECK(asked.insert(endpoint).second);
    REQUIRE(round < 20);
  }
  CHECK(widths == std::vector<std::size_t>{1, 2, 4, 8, 8, 8, 8, 1});
  CHECK(plan.round(milliseconds(500), all).size() == 8);  // from the start again
}

TEST_CASE("nobody to ask, or no time left: no calls", "[reach]") {
  ReleaseTargets plan(Time{}, milliseconds(1200), milliseconds(50));
  CHECK(plan.round(Time{}, {}).empty());
  CHECK(plan.round(milliseconds(10), {listener("a", "x", 0, false)}).size() == 1);  // it came into the list
  CHECK(plan.round(milliseconds(1200), {listener("a", "x")}).empty());
  CHECK(plan.over(milliseconds(1200)));
}

// In a cut, calls at the first pace would only pile up; after it, the next must not be far.
TEST_CASE("rounds in vain come ever more slowly, to a bound", "[reach]") {
  ReleaseTargets plan(Time{}, std::chrono::seconds(30), milliseconds(50));
  const std::vector<Listener> all = {listener("a", "x"), listener("b", "y")};
  Time now{};
  std::vector<Duration> pauses;
  while (!plan.over(now)) {
    CHECK_FALSE(plan.round(now, all).empty());
    pauses.push_back(plan.pause());
    now += plan.pause();
  }
  CHECK(pauses[0] == milliseconds(50));
  CHECK(pauses[10] == milliseconds(50));  // two pin limits' worth at the first pace
  CHECK(std::is_sorted(pauses.begin(), pauses.end()));
  CHECK(pauses.back() == milliseconds(1000));
  CHECK(pauses.size() < 60);
  CHECK(ReleaseTargets(Time{}, std::chrono::seconds(30), milliseconds(1500)).pause() == milliseconds(1500));
}

}  // namespace
}  // namespace dispatcher::upstream
