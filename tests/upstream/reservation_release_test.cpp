// The calls that release a request's reservations at endpoints, and the events that race with them.
#include "attempt_endings_fixture.hpp"

namespace dispatcher::testing {
namespace {

// See also engine_test.cpp, for a release call that is pending as the next read is written.
TEST_CASE("a reservation that a broken read may have left is released after rejected reads", "[endings]") {
  int reads = 0;
  DirectFixture fixture(
      [&](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
        if (++reads == 1) return endpoint.server.abort(client);
        reject_as_full(endpoint, client, {});
      },
      healthy_writer);
  fixture.submit("a1");
  for (int i = 0; i < 400 && fixture.engine.open_request_count() > 0; ++i) fixture.advance(milliseconds(20));
  REQUIRE(reads > 1);
  fixture.advance(milliseconds(400));
  CHECK(fixture.releases() >= 1);
}

TEST_CASE("a pending release is cancelled when an attempt of its request is written", "[endings]") {
  DirectFixture fixture(healthy_reader, silent_endpoint);
  // No endpoint accepts the calls, so they stay pending.
  RawSocketPeer peer(fixture);
  fixture.pool.update_endpoints({{"r1", peer.address(), true},
                                 {"r2", peer.address(), true},
                                 {"w1", peer.address(), true},
                                 {"w2", peer.address(), true}},
                                upstream::ListScope::kChanges);
  fixture.pool.release_reservation("a1", {});
  fixture.settle();
  CHECK(fixture.pool.pending_releases() == 1);
  fixture.submit("a1");
  fixture.settle();
  CHECK(fixture.pool.pending_releases() == 0);
  CHECK(fixture.pool.open_connections() == 1);
}

// A read whose connection broke may continue at its endpoint and leave a reservation until its deadline.
TEST_CASE("a reservation that a broken read may leave is released until its deadline", "[endings]") {
  DirectFixture fixture(
      [](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) { endpoint.server.abort(client); },
      healthy_writer);
  upstream::Options options{milliseconds(250), seconds(15), milliseconds(50)};
  fixture.pool.apply_options(options);
  const engine::Time begun = fixture.now;
  fixture.submit("a1");
  std::vector<engine::Time> calls;
  for (int known = 0; fixture.now < begun + seconds(8);) {
    fixture.advance(milliseconds(20));
    for (; known < fixture.releases(); ++known) calls.push_back(fixture.now - begun);
  }
  CHECK(fixture.engine.open_request_count() == 0);
  REQUIRE(calls.size() > 10);
  for (std::size_t i = 1; i < calls.size(); ++i)
    CHECK(calls[i] - calls[i - 1] <= fixture.settings.reservation_limit);
  CHECK(calls.back() >= seconds(6));
  CHECK(calls.back() < seconds(6) + milliseconds(600));
  CHECK(fixture.pool.pending_releases() == 0);
}

// The read is cancelled before anything has arrived from its reader, whose link works. Two releases show that
// the link works, and no more are made.
TEST_CASE("a cancelled read whose reader can be reached is released twice", "[endings]") {
  DirectFixture fixture(silent_endpoint, healthy_writer);
  const SlotId id = fixture.submit("a1");
  REQUIRE(fixture.until([&] { return fixture.posts() == 1; }));
  fixture.engine.on_client_disconnected(id);
  fixture.advance(milliseconds(600));
  CHECK(fixture.pool.pending_releases() == 0);
  const int calls = fixture.releases();
  fixture.advance(seconds(6));
  CHECK(fixture.releases() == calls);
}

// A transport whose calls the test answers or fails. Its endpoints are all reachable.
struct RecordingTransport : upstream::ReservationReleaser::ReleaseTransport {
  SlotId start_release_call(const upstream::EndpointId& endpoint, const engine::RequestId&) override {
    targets.push_back(endpoint);
    return {static_cast<std::uint32_t>(targets.size()), 1};
  }
  void close_release_call(SlotId) override {}
  std::vector<upstream::ReleaseCandidate> release_candidates() override {
    std::vector<upstream::ReleaseCandidate> candidates;
    for (const char* name : {"r1", "r2", "r3", "r4", "r5", "r6"})
      candidates.push_back({name, "here", 0, true});
    return candidates;
  }
  std::vector<upstream::EndpointId> targets;  // of the calls; a call's handle is its number, from 1
};

// The release was answered by another endpoint, so the failed call must not start another round.
TEST_CASE("a call to a silent reader that fails after the release was answered changes nothing",
          "[endings]") {
  TestEventLoop loop;
  RecordingTransport transport;
  upstream::ReservationReleaser releaser(transport, loop.timers, loop.clock(), [](std::string_view) {},
                                         {milliseconds(50), milliseconds(200), 10});
  releaser.release("a1", {{}, loop.now + seconds(5), "r6"});
  REQUIRE(transport.targets.size() == 2);
  CHECK(transport.targets[1] == "r6");
  releaser.on_call_answered("a1", {1, 1}, transport.targets[0]);
  releaser.on_call_failed("a1", {2, 1});
  CHECK(transport.targets.size() == 2);
  loop.advance(milliseconds(220));
  CHECK(transport.targets.size() == 4);  // the repetition is made on schedule
}

TEST_CASE("a release that is requested again while its calls are active is repeated after their answer",
          "[endings]") {
  DirectFixture fixture(healthy_reader, healthy_writer);
  fixture.pool.release_reservation("a1", {});
  fixture.advance(milliseconds(1));
  fixture.pool.release_reservation("a1", {});
  fixture.advance(milliseconds(300));
  CHECK(fixture.releases() >= 2);
  CHECK(fixture.pool.pending_releases() == 0);
}

TEST_CASE("no release is sent after a first token", "[endings]") {
  int reads = 0;
  DirectFixture fixture(
      [&](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
        if (++reads == 1) return endpoint.server.abort(client);
        healthy_reader(endpoint, client, request);
      },
      healthy_writer);
  fixture.submit("a1");
  fixture.advance(seconds(8));
  CHECK(fixture.count("finish") == 1);
  CHECK(fixture.releases() == 0);
  CHECK(fixture.pool.pending_releases() == 0);
}

// A release that is sent while the state of a later read waits for its writer would remove that state.
TEST_CASE("releases for a broken read do not remove the reservation that the router tracks", "[endings]") {
  int reads = 0;
  int writes = 0;
  DirectFixture fixture(
      [&](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
        if (++reads == 1) return endpoint.server.abort(client);
        healthy_reader(endpoint, client, request);
      },
      [&](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
        if (++writes == 1) return reject_as_full(endpoint, client, request);
        healthy_writer(endpoint, client, request);
      });
  fixture.submit("a1");
  for (int i = 0; i < 100 && fixture.count("begin") == 0; ++i) fixture.advance(milliseconds(5));
  CHECK(reads == 2);
  CHECK(fixture.count("begin") == 1);
  CHECK(fixture.releases() == 0);
}

// The call that reserves a slot waits for its connection. Sent after the release, it would reserve a slot
// forever.
TEST_CASE("a slot reservation that waits for its connection is cancelled by the release", "[endings]") {
  DirectFixture fixture(healthy_reader, healthy_writer);
  fixture.pool.reserve_slot({SlotId{}, 0}, "w1", "a1");
  fixture.pool.release_reservation("a1", {});
  fixture.advance(milliseconds(200));
  CHECK(fixture.request_count("POST", Role::kWriter, "a1") == 0);
  CHECK(fixture.releases() >= 1);
}

// A client of endpoints whose only two endpoints are in a zone that accepts connections and never answers.
struct PartitionFixture : TestEventLoop {
  PartitionFixture() {
    pool.update_endpoints(
        {{"h1", peer.address(), true, false, "z"}, {"h2", peer.address(), true, false, "z"}},
        upstream::ListScope::kComplete);
  }
  RawSocketPeer peer{*this};  // accepts connections and never answers
  upstream::ReplicaClient pool{io,
                               timers,
                               clock(),
                               [](std::string_view) {},
                               {milliseconds(250), seconds(15), milliseconds(50), 24, 160, 40}};
};

// Guards against a failure that occurred when the writers of 40 requests became silent at once: a release at
// the limit of calls called its targets from the best to the worst, each call replacing the one before, and
// was left with a silent writer each time.
TEST_CASE("releases beyond the limit of calls all reach the endpoint that answers", "[endings]") {
  constexpr int kReleases = 40;
  DirectFixture fixture(healthy_reader, healthy_writer);
  const RawSocketPeer silent(fixture);
  fixture.pool.apply_options(
      {milliseconds(250), seconds(15), milliseconds(50), 4, 8, 24});  // at most 6 active calls
  fixture.pool.update_endpoints(
      {{"r2", silent.address(), true}, {"w1", silent.address(), true}, {"w2", silent.address(), true}},
      upstream::ListScope::kChanges);
  for (int i = 0; i < kReleases; ++i) fixture.pool.release_reservation("a" + std::to_string(i), {});
  fixture.advance(seconds(2));
  CHECK(fixture.pool.pending_releases() == 0);
  CHECK(fixture.reader(0).count("DELETE") >= kReleases);
}

TEST_CASE("attempts that hang do not use up the connections that releases need", "[endings]") {
  DirectFixture fixture(healthy_reader, silent_endpoint);
  fixture.pool.apply_options({milliseconds(250), seconds(15), milliseconds(50), 4, 8, 32});
  for (int i = 0; i < 60; ++i) fixture.submit("a" + std::to_string(i), "command");
  fixture.settle();
  fixture.advance(milliseconds(20));
  const std::size_t in_use = fixture.pool.open_connections();
  CHECK(in_use <= 32);
  fixture.pool.release_reservation("b1", {});
  fixture.advance(milliseconds(60));
  CHECK(fixture.request_count("DELETE", Role::kReader, "b1") +
            fixture.request_count("DELETE", Role::kWriter, "b1") >
        0);
}

TEST_CASE("during a partition releases are retried at growing intervals on few connections", "[endings]") {
  PartitionFixture fixture;
  for (int i = 0; i < 60; ++i) fixture.pool.release_reservation("a" + std::to_string(i), {});
  std::size_t maximum = 0;
  for (int i = 0; i < 60; ++i) {
    fixture.advance(milliseconds(100));
    maximum = std::max(maximum, fixture.pool.open_connections());
  }
  CHECK(maximum <= 10);
  CHECK(fixture.pool.pending_releases() == 60);
  fixture.advance(seconds(26));
  CHECK(fixture.pool.pending_releases() == 0);
  CHECK(fixture.pool.open_connections() == 0);
}

TEST_CASE("shutdown waits for releases in a partition no longer than they are useful", "[endings]") {
  PartitionFixture fixture;
  fixture.pool.release_reservation("a1", {});
  fixture.pool.release_reservation("a2", {fixture.now + seconds(5), {}, {}});
  fixture.advance(seconds(2));
  CHECK(fixture.pool.releases_blocking_shutdown() == 2);
  fixture.advance(seconds(2));
  CHECK(fixture.pool.releases_blocking_shutdown() == 1);
  fixture.advance(seconds(2));
  CHECK(fixture.pool.releases_blocking_shutdown() == 0);
  CHECK(fixture.pool.pending_releases() == 2);
}

}  // namespace
}  // namespace dispatcher::testing
