// The estimate of the connect timeout, and the choice of the endpoints that a release is sent to.
#include "upstream/release_targets.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "upstream/connect_timeout_estimator.hpp"

namespace dispatcher::upstream {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kNoLimit = 100;

ReleaseCandidate candidate(const std::string& endpoint, const std::string& zone, int cell = 0,
                           bool has_idle_connection = true, bool is_unresponsive = false,
                           Time last_received = milliseconds(100)) {
  return {endpoint, zone, cell, has_idle_connection, is_unresponsive, last_received};
}

TEST_CASE("before any connection was established, the connect timeout is the longest allowed", "[upstream]") {
  ConnectTimeoutEstimator estimator(milliseconds(50), milliseconds(250));
  CHECK(estimator.timeout() == milliseconds(250));
  estimator.on_timeout();
  CHECK(estimator.timeout() == milliseconds(250));
}

TEST_CASE("fast connections shorten the connect timeout, within its bounds", "[upstream]") {
  ConnectTimeoutEstimator estimator(milliseconds(50), milliseconds(250));
  for (int i = 0; i < 20; ++i) estimator.on_connected(milliseconds(3));
  CHECK(estimator.timeout() == milliseconds(50));
  for (int i = 0; i < 20; ++i) estimator.on_connected(milliseconds(i % 2 == 0 ? 60 : 100));
  CHECK(estimator.timeout() > milliseconds(100));
  for (int i = 0; i < 20; ++i) estimator.on_connected(milliseconds(900));
  CHECK(estimator.timeout() == milliseconds(250));
  estimator.on_connected(milliseconds(-5));
  CHECK(estimator.timeout() <= milliseconds(250));
}

// If all connections became slow, none would be established within a short timeout, and the estimate would
// not adapt.
TEST_CASE("timeouts in a row double the connect timeout until a connection is established", "[upstream]") {
  ConnectTimeoutEstimator estimator(milliseconds(50), milliseconds(250));
  for (int i = 0; i < 20; ++i) estimator.on_connected(milliseconds(3));
  estimator.on_timeout();
  estimator.on_timeout();
  CHECK(estimator.timeout() == milliseconds(50));  // two timeouts are no evidence of other endpoints
  estimator.on_timeout();
  CHECK(estimator.timeout() == milliseconds(100));
  for (int i = 0; i < 1000; ++i) estimator.on_timeout();
  CHECK(estimator.timeout() == milliseconds(250));
  estimator.on_connected(milliseconds(3));
  CHECK(estimator.timeout() == milliseconds(50));
}

TEST_CASE("the maximum is used if the bounds on the connect timeout are contradictory", "[upstream]") {
  ConnectTimeoutEstimator estimator(milliseconds(500), milliseconds(250));
  estimator.on_connected(milliseconds(1));
  CHECK(estimator.timeout() == milliseconds(250));
  estimator.set_bounds(milliseconds(0), milliseconds(0));
  CHECK(estimator.timeout() > Duration(0));
}

TEST_CASE("an endpoint known to be reachable is the only target of the first round", "[upstream]") {
  ReleaseTargets targets(milliseconds(1000), milliseconds(1200), milliseconds(50));
  const std::vector<ReleaseCandidate> candidates = {candidate("a", "x", 0, false), candidate("b", "x"),
                                                    candidate("c", "y", 1, true, true)};
  CHECK(targets.next_round(milliseconds(1000), candidates, kNoLimit) == std::vector<EndpointId>{"b"});
}

// If few calls are allowed, an endpoint that was not called must be chosen first in the next round.
TEST_CASE("an endpoint that no call may be made to does not count as called", "[upstream]") {
  ReleaseTargets targets(milliseconds(1000), milliseconds(1200), milliseconds(50));
  const std::vector<ReleaseCandidate> candidates = {candidate("a", "x"), candidate("b", "x", 0, true, true)};
  CHECK(targets.next_round(milliseconds(1000), candidates, 0).empty());
  CHECK(targets.next_round(milliseconds(1050), candidates, 1) == std::vector<EndpointId>{"a"});
  CHECK(targets.next_round(milliseconds(1100), candidates, 1) == std::vector<EndpointId>{"b"});
}

TEST_CASE("if no endpoint is known to be reachable, two in different zones are called", "[upstream]") {
  ReleaseTargets targets(milliseconds(1000), milliseconds(1200), milliseconds(50));
  const std::vector<ReleaseCandidate> candidates = {candidate("a", "x", 0, false, false, milliseconds(900)),
                                                    candidate("b", "x", 0, false, false, milliseconds(800)),
                                                    candidate("c", "y", 1, false, false, milliseconds(10))};
  CHECK(targets.next_round(milliseconds(1000), candidates, kNoLimit) == std::vector<EndpointId>{"a", "c"});
}

// All twelve endpoints of the zone that has just become unreachable were heard from last and would be chosen
// first.
TEST_CASE("the second round calls an endpoint outside a zone that does not answer", "[upstream]") {
  std::vector<ReleaseCandidate> candidates;
  candidates.reserve(13);
  for (int i = 0; i < 12; ++i)
    candidates.push_back(
        candidate("unreachable" + std::to_string(i), "x", i / 4, true, false, milliseconds(990)));
  candidates.push_back(candidate("reachable", "y", 9, false, true, milliseconds(1)));
  ReleaseTargets targets(milliseconds(1000), milliseconds(1200), milliseconds(50));
  std::set<EndpointId> called;
  for (const auto& endpoint : targets.next_round(milliseconds(1000), candidates, kNoLimit))
    called.insert(endpoint);
  CHECK_FALSE(called.contains("reachable"));
  for (const auto& endpoint : targets.next_round(milliseconds(1050), candidates, kNoLimit))
    called.insert(endpoint);
  CHECK(called.contains("reachable"));
}

TEST_CASE("rounds grow up to a limit, and no endpoint is called twice before all were called", "[upstream]") {
  std::vector<ReleaseCandidate> candidates;
  candidates.reserve(40);
  for (int i = 0; i < 40; ++i) candidates.push_back(candidate("h" + std::to_string(i), "x", i / 5));
  ReleaseTargets targets(Time{}, milliseconds(1200), milliseconds(50));
  std::set<EndpointId> called;
  std::vector<std::size_t> widths;
  for (int round = 0; called.size() < candidates.size(); ++round) {
    const auto endpoints = targets.next_round(milliseconds(50 * round), candidates, kNoLimit);
    widths.push_back(endpoints.size());
    for (const auto& endpoint : endpoints) CHECK(called.insert(endpoint).second);
    REQUIRE(round < 20);
  }
  CHECK(widths == std::vector<std::size_t>{1, 2, 4, 8, 8, 8, 8, 1});
  CHECK(targets.next_round(milliseconds(500), candidates, kNoLimit).size() == 8);  // starts over
}

TEST_CASE("without candidates or after the time is over, a round has no targets", "[upstream]") {
  ReleaseTargets targets(Time{}, milliseconds(1200), milliseconds(50));
  CHECK(targets.next_round(Time{}, {}, kNoLimit).empty());
  CHECK(targets.next_round(milliseconds(10), {candidate("a", "x", 0, false)}, kNoLimit).size() ==
        1);  // now there is a candidate
  CHECK(targets.next_round(milliseconds(1200), {candidate("a", "x")}, kNoLimit).empty());
  CHECK(targets.has_expired(milliseconds(1200)));
}

// During a network partition, calls at the first interval would only accumulate. After it, the next round
// must follow soon.
TEST_CASE("intervals between unanswered rounds grow up to a limit", "[upstream]") {
  ReleaseTargets targets(Time{}, std::chrono::seconds(30), milliseconds(50));
  const std::vector<ReleaseCandidate> candidates = {candidate("a", "x"), candidate("b", "y")};
  Time now{};
  std::vector<Duration> intervals;
  while (!targets.has_expired(now)) {
    CHECK_FALSE(targets.next_round(now, candidates, kNoLimit).empty());
    intervals.push_back(targets.next_interval());
    now += targets.next_interval();
  }
  CHECK(intervals[0] == milliseconds(50));
  CHECK(intervals[10] == milliseconds(50));  // the first interval covers two reservation limits
  CHECK(std::is_sorted(intervals.begin(), intervals.end()));
  CHECK(intervals.back() == milliseconds(1000));
  CHECK(intervals.size() < 60);
  CHECK(ReleaseTargets(Time{}, std::chrono::seconds(30), milliseconds(1500)).next_interval() ==
        milliseconds(1500));
}

}  // namespace
}  // namespace dispatcher::upstream
