// The pool of connections to replicas, against stand-in replicas on loopback.
#include <sys/socket.h>

#include <array>
#include <tuple>

#include "fixture.hpp"

namespace dispatcher::testing {
namespace {

bool lease_call(const FakeReplica::ReceivedRequest& seen) { return seen.target.starts_with("/kv/leases/"); }

// ReceivedRequest on the soak day of the standing test: a dispatcher crashed after 35 minutes. A connection
// that had been idle once stays named in the order of idle ones after it is taken. Parked again while the
// pool holds its most idle connections, it made room by closing the oldest in that order: itself. It was then
// parked all the same, and the next connection taken for its replica was one that no longer existed.
TEST_CASE("a connection parked again is not the one closed to make room for it", "[pool]") {
  std::vector<std::pair<SlotId, std::string>> held;  // answers that the writer keeps back
  Fixture fixture(healthy_reader,
                  [&](FakeReplica& replica, SlotId client, const FakeReplica::ReceivedRequest& seen) {
                    if (!lease_call(seen)) return healthy_writer(replica, client, seen);
                    if (seen.target.ends_with("/slow")) return void(held.emplace_back(client, seen.target));
                    replica.respond(client, 200);
                  });
  upstream::Options options{
      fixture.settings.connect_timeout, fixture.settings.idle_timeout, milliseconds(100), 4, 1, 64};
  fixture.pool.adopt(options);
  const auto calls = [&] { return fixture.writer().count("POST"); };
  const auto ask = [&](int attempt, const std::string& id) {
    fixture.pool.hold({SlotId{}, attempt}, "w1", id);
  };
  ask(1, "first");  // opens connection A, which is parked: the one idle connection
  REQUIRE(fixture.until([&] { return calls() == 1; }));
  fixture.advance(milliseconds(60));  // it has rested, as have those below
  ask(2, "slow");                     // takes A, whose answer is kept back
  REQUIRE(fixture.until([&] { return held.size() == 1; }));
  ask(3, "third");  // opens B, parked while A is out
  REQUIRE(fixture.until([&] { return calls() == 3; }));
  fixture.advance(milliseconds(60));
  fixture.writer().respond(held[0].first, 200);  // A comes back while B is the one idle connection
  fixture.advance(milliseconds(60));
  ask(4, "fourth");  // takes whatever is idle for w1
  REQUIRE(fixture.until([&] { return calls() == 4; }));
  fixture.settle();
  CHECK(fixture.pool.open() <= 2);
}

// A machine that is gone: connections to it never come up. The queue of a listener that accepts nobody is
// full.
class Vanished {
 public:
  explicit Vanished(TestEventLoop& work) : acceptor_(work.io) {
    acceptor_.open(net::tcp::v4());
    acceptor_.bind(loopback());
    acceptor_.listen(0);
    for (auto& socket : queue_) {
      socket.open(net::tcp::v4());
      socket.non_blocking(true);
      const auto at = acceptor_.local_endpoint();
      std::ignore = ::connect(socket.native_handle(), at.data(), static_cast<socklen_t>(at.size()));
    }
  }
  [[nodiscard]] net::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  net::tcp::acceptor acceptor_;
  std::array<net::tcp::socket, 4> queue_{
      net::tcp::socket(acceptor_.get_executor()), net::tcp::socket(acceptor_.get_executor()),
      net::tcp::socket(acceptor_.get_executor()), net::tcp::socket(acceptor_.get_executor())};
};

struct ReleaseWorld : TestEventLoop {
  ReleaseWorld() {
    for (int i = 0; i < 8; ++i) gone.push_back(std::make_unique<Vanished>(*this));
  }
  upstream::EndpointAddress at(const std::string& endpoint, const net::tcp::endpoint& address,
                               const std::string& zone) {
    return {endpoint, address, true, false, zone, 0};
  }
  std::vector<upstream::EndpointAddress> lost_zone() {
    std::vector<upstream::EndpointAddress> all;
    for (std::size_t i = 0; i < gone.size(); ++i)
      all.push_back(at("gone" + std::to_string(i), gone[i]->address(), "x"));
    return all;
  }
  [[nodiscard]] int calls() const { return replica.count("DELETE"); }
  std::vector<std::unique_ptr<Vanished>> gone;
  std::vector<std::string> logs;
  FakeReplica replica{*this, [this](FakeReplica& r, SlotId client, const FakeReplica::ReceivedRequest&) {
                        if (!mute) r.respond(client, 204);
                      }};
  bool mute = false;
  upstream::ConnectionPool pool{io,
                                timers,
                                clock(),
                                [this](std::string_view line) { logs.emplace_back(line); },
                                {milliseconds(250), seconds(15), milliseconds(50)}};
};

// `pinned` on days with a zone lost: a call that is answered late or never must not be the only one.
TEST_CASE("a release reaches the one replica that runs, past a zone that keeps silent", "[pool]") {
  ReleaseWorld fixture;
  auto all = fixture.lost_zone();
  all.push_back(fixture.at("lives", fixture.replica.server.local(), "y"));
  fixture.pool.endpoints(all, true);
  fixture.pool.release("5", {});
  fixture.advance(milliseconds(200));
  CHECK(fixture.calls() == 1);
  CHECK(fixture.pool.leases_out() == 0);
  CHECK(fixture.pool.open() <= 1);  // the calls in vain are over as well
}

TEST_CASE("a release is not held up by a kept connection that has gone silent", "[pool]") {
  ReleaseWorld fixture;
  FakeReplica other(fixture, [](FakeReplica& r, SlotId client, const FakeReplica::ReceivedRequest&) {
    r.respond(client, 204);
  });
  fixture.pool.endpoints({fixture.at("kept", fixture.replica.server.local(), "x"),
                          fixture.at("other", other.server.local(), "x")},
                         true);
  fixture.pool.release("1", {});
  fixture.advance(milliseconds(100));
  REQUIRE(fixture.calls() + other.count("DELETE") >= 1);  // connections are kept now
  fixture.mute = true;
  fixture.pool.release("2", {});
  fixture.pool.release("3", {});
  fixture.advance(milliseconds(150));
  CHECK(other.count("DELETE", "2") + fixture.replica.count("DELETE", "2") >= 1);
  CHECK(other.count("DELETE", "3") >= 1);
  CHECK(fixture.pool.leases_out() == 0);
}

TEST_CASE("with no replica left, a release goes on being tried, and is given up in the end", "[pool]") {
  ReleaseWorld fixture;
  fixture.pool.endpoints(fixture.lost_zone(), true);
  fixture.pool.release("1", {});
  fixture.advance(milliseconds(400));
  CHECK(fixture.pool.leases_out() == 1);
  SECTION("one that comes into the list meanwhile is asked") {
    auto all = fixture.lost_zone();
    all.push_back(fixture.at("new", fixture.replica.server.local(), "y"));
    fixture.pool.endpoints(all, true);
    fixture.advance(milliseconds(150));
    CHECK(fixture.calls() == 1);
  }
  SECTION("none ever comes") {
    fixture.advance(seconds(2));
    CHECK(fixture.pool.leases_out() == 1);  // a cut may last for longer
    fixture.advance(seconds(30));
    CHECK_FALSE(fixture.logs.empty());
  }
  CHECK(fixture.pool.leases_out() == 0);
}

}  // namespace
}  // namespace dispatcher::testing
