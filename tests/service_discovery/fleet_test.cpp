// Tests the backoff of dispatchers that share a service discovery, with fleets that are large enough to
// overload it.
#include <algorithm>
#include <boost/asio/write.hpp>
#include <queue>
#include <random>

#include "service_discovery/backoff.hpp"
#include "service_discovery/endpoint_watcher.hpp"
#include "service_discovery/poll_timing.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using service_discovery::Backoff;
using service_discovery::BackoffPolicy;

// The state of a fleet some time after an outage.
struct Recovery {
  int recovered = 0;  // dispatchers that have their endpoint list again
  int calls = 0;      // the calls that all dispatchers together have made
};

// Simulates a service discovery of fixed capacity: calls wait in a queue, each takes the same time, and a
// call that has waited for kOverloadedResponseDelay is rejected. All dispatchers lose their watch at the same
// moment and retry after their backoff.
Recovery recover(int dispatchers, const BackoffPolicy& policy, engine::Duration after,
                 engine::Duration cost = milliseconds(50)) {
  const engine::Duration max_wait = service_discovery::kOverloadedResponseDelay;
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<Backoff> fleet(static_cast<std::size_t>(dispatchers), Backoff(policy));
  using Call = std::pair<engine::Time, std::size_t>;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
  for (std::size_t i = 0; i < fleet.size(); ++i) calls.emplace(fleet[i].on_failure(draw(random)), i);
  Recovery result;
  engine::Time idle_at{};  // when discovery will have served all calls so far
  while (!calls.empty() && calls.top().first < after) {
    const auto [at, caller] = calls.top();
    calls.pop();
    ++result.calls;
    idle_at = std::max(idle_at, at) + cost;
    const bool is_rejected = idle_at - at > max_wait;
    if (!is_rejected && idle_at < after) ++result.recovered;
    if (is_rejected) calls.emplace(at + max_wait + fleet[caller].on_failure(draw(random)), caller);
  }
  return result;
}

TEST_CASE("an overloaded discovery recovers through the fleet's backoff", "[fleet]") {
  const BackoffPolicy fixed{milliseconds(200), milliseconds(200), 1, 1};  // no growth and no jitter
  CHECK(recover(100, fixed, seconds(120)).recovered < 50);
  // A change must be known within 6 s, so no pause is longer than kMaxRejectionPause and a rejected fleet
  // retries within 5 s. So 300 dispatchers can only recover if discovery can serve them in that time.
  const engine::Duration cost = milliseconds(50);
  const engine::Duration less = milliseconds(20);
  CHECK(recover(300, fixed, seconds(120), less).recovered < 150);
  for (const auto& [dispatchers, each] : {std::pair{1, cost}, {3, cost}, {100, cost}, {300, less}}) {
    const Recovery recovery =
        recover(dispatchers, service_discovery::rejection_backoff(dispatchers), seconds(120), each);
    CHECK(recovery.recovered == dispatchers);
    CHECK(recovery.calls <= 6 * dispatchers);
  }
  // A small fleet recovers without a long wait.
  CHECK(recover(3, service_discovery::rejection_backoff(3), milliseconds(400)).recovered == 3);
}

TEST_CASE("the fleet's backoff is bounded, whatever size the configuration states", "[fleet]") {
  for (const int dispatchers : {-5, 0, 1, 3, 10})
    CHECK(service_discovery::rejection_backoff(dispatchers).initial == milliseconds(200));
  for (const int dispatchers : {100, 300, 2'000'000'000}) {
    CHECK(service_discovery::rejection_backoff(dispatchers).initial == seconds(2));
    CHECK(service_discovery::rejection_backoff(dispatchers).maximum == service_discovery::kMaxRejectionPause);
  }
}

TEST_CASE("backoff restarts after a success, and long outages neither overflow nor exceed the cap",
          "[fleet]") {
  Backoff backoff({milliseconds(200), milliseconds(800), 2, 1.0});
  CHECK(backoff.on_failure(0.3) == milliseconds(200));
  CHECK(backoff.on_failure(0.3) == milliseconds(400));
  CHECK(backoff.on_failure(0.3) == milliseconds(800));
  for (int i = 0; i < 100000; ++i) REQUIRE(backoff.on_failure(0.9) == milliseconds(800));
  CHECK(backoff.failures() <= 3);
  backoff.on_success();
  CHECK(backoff.on_failure(0.0) == milliseconds(200));
  Backoff clamped({milliseconds(0), milliseconds(0), -3, 7});  // invalid values are clamped to valid ones
  CHECK(clamped.on_failure(-1) >= engine::Duration(1));
  CHECK(clamped.on_failure(5) >= engine::Duration(1));
}

TEST_CASE("a watcher whose calls are all rejected polls less and less often, up to the maximum pause",
          "[fleet][discovery]") {
  TestEventLoop work;
  boost::asio::ip::tcp::acceptor agent(work.io, loopback());
  int connections = 0;
  std::function<void()> accept = [&] {
    agent.async_accept([&](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
      if (error) return;
      ++connections;
      // Rejects each call.
      boost::asio::write(socket,
                         boost::asio::buffer(std::string("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")));
      accept();
    });
  };
  accept();
  service_discovery::EndpointWatcher watch(
      work.io, agent.local_endpoint(), work.timers, work.clock(), [](std::string_view) {},
      [](const service_discovery::EndpointSnapshot&) {}, {100, 3});
  watch.start(1);
  work.settle();
  work.advance(seconds(10));
  // A fixed pause of 200 ms would result in 50 calls.
  CHECK(connections >= 2);
  CHECK(connections <= 5);
}

}  // namespace
}  // namespace dispatcher::testing
