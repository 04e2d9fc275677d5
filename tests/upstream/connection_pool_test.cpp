// Connections to endpoints and release calls, against fake endpoints on loopback.
#include <sys/socket.h>

#include <array>
#include <tuple>

#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

// Longer than the time for which a connection is not reused after it became idle.
constexpr auto kPastReuseDelay = milliseconds(60);

bool is_reservation_call(const FakeEndpoint::ReceivedRequest& request) {
  return request.target.starts_with("/kv/leases/");
}

// After a connection is acquired, its entry stays in the order of idle connections. When the connection is
// parked again while the pool holds its maximum of idle connections, it must not be evicted because of that
// entry: it would be parked although it no longer exists, and would be acquired for the next exchange.
TEST_CASE("a connection that returns to the pool is not evicted to make room for itself", "[upstream]") {
  std::vector<SlotId> unanswered;  // clients of the writer whose responses are delayed
  Fixture fixture(healthy_reader,
                  [&](FakeEndpoint& endpoint, SlotId client, const FakeEndpoint::ReceivedRequest& request) {
                    if (!is_reservation_call(request)) return healthy_writer(endpoint, client, request);
                    if (request.target.ends_with("/slow")) return unanswered.push_back(client);
                    endpoint.respond(client, 200);
                  });
  upstream::Options options;
  options.connect_timeout = fixture.settings.connect_timeout;
  options.idle_timeout = fixture.settings.idle_timeout;
  options.release_round_interval = milliseconds(100);
  options.max_idle_per_endpoint = 4;
  options.max_idle_total = 1;
  options.max_connections = 64;
  fixture.pool.apply_options(options);
  const auto has_calls = [&](int count) {
    return fixture.until([&] { return fixture.writer().count("POST") == count; });
  };
  const auto reserve = [&](int attempt, const std::string& request_id) {
    fixture.pool.reserve_slot({SlotId{}, attempt}, "w1", request_id);
  };
  reserve(1, "first");  // opens connection A, which is parked: the one idle connection
  REQUIRE(has_calls(1));
  fixture.advance(kPastReuseDelay);
  reserve(2, "slow");  // acquires A, whose response is delayed
  REQUIRE(fixture.until([&] { return unanswered.size() == 1; }));
  reserve(3, "third");  // opens B, which is parked while A is in use
  REQUIRE(has_calls(3));
  fixture.advance(kPastReuseDelay);
  fixture.writer().respond(unanswered[0], 200);  // A is parked again while B is the one idle connection
  fixture.advance(kPastReuseDelay);
  reserve(4, "fourth");  // acquires whichever connection is idle
  REQUIRE(has_calls(4));
  fixture.settle();
  CHECK(fixture.pool.open_connections() <= 2);
}

// Stands for a lost machine, to which connections are never established: a listener that accepts no
// connection and whose queue is full.
class UnreachableListener {
 public:
  explicit UnreachableListener(TestEventLoop& loop) : acceptor_(loop.io) {
    acceptor_.open(net::tcp::v4());
    acceptor_.bind(loopback());
    acceptor_.listen(0);
    for (auto& socket : queue_) {
      socket.open(net::tcp::v4());
      socket.non_blocking(true);
      const auto address = acceptor_.local_endpoint();
      std::ignore = ::connect(socket.native_handle(), address.data(), static_cast<socklen_t>(address.size()));
    }
  }
  [[nodiscard]] net::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  net::tcp::acceptor acceptor_;
  std::array<net::tcp::socket, 4> queue_{
      net::tcp::socket(acceptor_.get_executor()), net::tcp::socket(acceptor_.get_executor()),
      net::tcp::socket(acceptor_.get_executor()), net::tcp::socket(acceptor_.get_executor())};
};

upstream::EndpointAddress ready_endpoint(const std::string& name, const net::tcp::endpoint& address,
                                         const std::string& zone) {
  return {name, address, true, false, zone, 0};
}

// A client of endpoints without an engine, an endpoint that accepts releases, and a zone whose endpoints are
// unreachable.
struct ReleaseFixture : TestEventLoop {
  ReleaseFixture() {
    for (int i = 0; i < 8; ++i) unreachable.push_back(std::make_unique<UnreachableListener>(*this));
  }
  [[nodiscard]] std::vector<upstream::EndpointAddress> unreachable_zone() const {
    std::vector<upstream::EndpointAddress> addresses;
    for (std::size_t i = 0; i < unreachable.size(); ++i) {
      const std::string name = "unreachable" + std::to_string(i);
      addresses.push_back(ready_endpoint(name, unreachable[i]->address(), "x"));
    }
    return addresses;
  }
  [[nodiscard]] int calls() const { return endpoint.count("DELETE"); }
  void answer(FakeEndpoint& called, SlotId client) const {
    if (!is_silent) called.respond(client, 204);
  }

  std::vector<std::unique_ptr<UnreachableListener>> unreachable;
  std::vector<std::string> logs;
  bool is_silent = false;  // the endpoint does not answer
  FakeEndpoint endpoint{*this, [this](FakeEndpoint& called, SlotId client,
                                      const FakeEndpoint::ReceivedRequest&) { answer(called, client); }};
  upstream::ReplicaClient upstream_client{io,
                                          timers,
                                          clock(),
                                          [this](std::string_view text) { logs.emplace_back(text); },
                                          {milliseconds(250), seconds(15), milliseconds(50)}};
};

// If a release made only one call and it were answered late or never, its reservation would outlive its
// limit.
TEST_CASE("a release reaches the only running endpoint although a zone does not answer", "[upstream]") {
  ReleaseFixture fixture;
  auto addresses = fixture.unreachable_zone();
  addresses.push_back(ready_endpoint("reachable", fixture.endpoint.server.local(), "y"));
  fixture.upstream_client.update_endpoints(addresses, upstream::ListScope::kComplete);
  fixture.upstream_client.release_reservation("5", {});
  fixture.advance(milliseconds(200));
  CHECK(fixture.calls() == 1);
  CHECK(fixture.upstream_client.pending_releases() == 0);
  CHECK(fixture.upstream_client.open_connections() <= 1);  // the unanswered calls have been closed
}

TEST_CASE("a release is not delayed by an idle connection to an endpoint that became silent", "[upstream]") {
  ReleaseFixture fixture;
  FakeEndpoint other(fixture, [](FakeEndpoint& called, SlotId client, const FakeEndpoint::ReceivedRequest&) {
    called.respond(client, 204);
  });
  fixture.upstream_client.update_endpoints({ready_endpoint("silent", fixture.endpoint.server.local(), "x"),
                                            ready_endpoint("other", other.server.local(), "x")},
                                           upstream::ListScope::kComplete);
  fixture.upstream_client.release_reservation("1", {});
  fixture.advance(milliseconds(100));
  REQUIRE(fixture.calls() + other.count("DELETE") >= 1);  // there are idle connections now
  fixture.is_silent = true;
  fixture.upstream_client.release_reservation("2", {});
  fixture.upstream_client.release_reservation("3", {});
  fixture.advance(milliseconds(150));
  CHECK(other.count("DELETE", "2") + fixture.endpoint.count("DELETE", "2") >= 1);
  CHECK(other.count("DELETE", "3") >= 1);
  CHECK(fixture.upstream_client.pending_releases() == 0);
}

TEST_CASE("a release is retried while no endpoint is reachable, and abandoned after a limit", "[upstream]") {
  ReleaseFixture fixture;
  fixture.upstream_client.update_endpoints(fixture.unreachable_zone(), upstream::ListScope::kComplete);
  fixture.upstream_client.release_reservation("1", {});
  fixture.advance(milliseconds(400));
  CHECK(fixture.upstream_client.pending_releases() == 1);
  SECTION("an endpoint that is listed meanwhile is called") {
    auto addresses = fixture.unreachable_zone();
    addresses.push_back(ready_endpoint("new", fixture.endpoint.server.local(), "y"));
    fixture.upstream_client.update_endpoints(addresses, upstream::ListScope::kComplete);
    fixture.advance(milliseconds(150));
    CHECK(fixture.calls() == 1);
  }
  SECTION("no endpoint ever becomes reachable") {
    fixture.advance(seconds(2));
    CHECK(fixture.upstream_client.pending_releases() == 1);  // a network partition may last longer
    fixture.advance(seconds(30));
    CHECK_FALSE(fixture.logs.empty());
  }
  CHECK(fixture.upstream_client.pending_releases() == 0);
}

}  // namespace
}  // namespace dispatcher::testing
