// Tests when EndpointWatcher calls an agent that is silent, rejects or resets calls, or changes its address.
#include "endpoint_watcher_fixture.hpp"
#include "service_discovery/poll_timing.hpp"

namespace dispatcher::testing {
namespace {

using routing::ListKind::kDelta;
using routing::ListKind::kFull;

TEST_CASE("push: a call is open whenever discovery recovers, and delivers the change at that moment",
          "[discovery][watch]") {
  for (const int silence_ms : {300, 2500, 4600, 5900, 8200}) {
    EstablishedWatch established;
    for (int elapsed_ms = 0; elapsed_ms < silence_ms; elapsed_ms += 100) {
      established.work.advance(milliseconds(100));
      established.work.settle();
      REQUIRE(established.agent.open_calls() >= 1);
      REQUIRE(established.agent.open_calls() <= 2);
    }
    const engine::Time recovered_at = established.work.now;
    for (const auto& call : established.agent.calls) {
      if (!call->is_closed) Agent::write_chunk(*call, list(42, kDelta, "draining"));
    }
    REQUIRE(established.has_snapshots(2));
    CHECK(established.work.now == recovered_at);  // without any delay
    CHECK(established.recorder.snapshots.back().list.entries[0].state == routing::EndpointState::kDraining);
    established.work.settle();
    CHECK(established.agent.open_calls() == 1);
    CHECK(established.recorder.logged("discovery lost") == (silence_ms > 2400 ? 1 : 0));
    CHECK(established.recorder.logged("discovery back") == (silence_ms > 2400 ? 1 : 0));
  }
}

TEST_CASE("push: a change on the older of two calls is applied, and the newer one stays until it answers",
          "[discovery][watch]") {
  EstablishedWatch established;
  established.work.advance(milliseconds(2500));
  REQUIRE(established.has_requests(2));
  CHECK(established.agent.calls[1]->targets[0] == "/v1/servers?follow=1&since=41");
  Agent::write_chunk(*established.agent.calls[0], list(42, kDelta, "draining"));
  REQUIRE(established.has_snapshots(2));
  CHECK(established.recorder.watcher.version() == 42);
  CHECK(established.agent.open_calls() == 2);
  Agent::write_chunk(*established.agent.calls[1],
                     list(42, kDelta, "draining"));  // the change after version 41
  REQUIRE(established.work.until([&] { return established.agent.open_calls() == 1; }));
  CHECK(established.agent.calls[0]->is_closed);
}

TEST_CASE("push: after a reset, a break within a line or an end, the next call is opened at once",
          "[discovery][watch]") {
  for (const int how : {0, 1, 2}) {
    EstablishedWatch established;
    established.work.advance(milliseconds(1500));
    if (how == 1) Agent::write_chunk(*established.agent.calls[0], list(42, kDelta).substr(0, 30));
    established.work.settle();
    if (how == 2) {
      Agent::write(*established.agent.calls[0], std::string(http::kLastChunk));
    } else {
      Agent::reset(*established.agent.calls[0]);
    }
    established.work.settle();
    established.work.advance(milliseconds(20));
    REQUIRE(established.has_requests(2));
    CHECK(established.agent.last_target() == "/v1/servers?follow=1&since=41");
    Agent::write_chunk(*established.agent.calls[1], list(42, kDelta, "draining"));
    REQUIRE(established.has_snapshots(2));
    CHECK(established.recorder.logged("discovery lost") == 1);
    CHECK(established.recorder.logged("discovery back") == 1);
  }
}

TEST_CASE("push: connections refused or reset at once cause no busy loop, and the recovery is detected",
          "[discovery][watch]") {
  EstablishedWatch established;
  established.work.advance(milliseconds(1500));
  established.agent.on_request = [](Agent::Call& call) { Agent::reset(call); };
  Agent::reset(*established.agent.calls[0]);
  established.work.advance(seconds(5));
  const auto resets = established.agent.calls.size();
  CHECK(resets >= 15);  // with pauses of 250 ms at most
  CHECK(resets <= 50);
  established.agent.stop_listening();
  established.work.advance(seconds(5));
  CHECK(established.recorder.logged("discovery lost") == 1);
  established.agent.on_request = [](Agent::Call& call) {
    Agent::write_chunk(call, list(42, kDelta, "draining"));
  };
  established.agent.listen();
  established.work.advance(milliseconds(300));
  REQUIRE(established.has_snapshots(2));
  CHECK(established.recorder.logged("discovery back") == 1);
}

TEST_CASE("push: each consecutive rejection is followed by a backoff, and the next call delivers a change",
          "[discovery][watch]") {
  EstablishedWatch established;
  established.work.advance(milliseconds(100));
  int rejected = 0;
  established.agent.on_request = [&](Agent::Call& call) {
    ++rejected;
    Agent::answer(call, 503, "{}");
    call.socket.shutdown(net::tcp::socket::shutdown_send);
  };
  Agent::reset(*established.agent.calls[0]);
  for (int pause = 1; pause <= 4; ++pause) {
    for (int waited = 0; rejected < pause && waited < 4000; waited += 20)
      established.work.advance(milliseconds(20));
    REQUIRE(rejected == pause);
    established.work.settle();
    established.work.advance(milliseconds(900));  // the shortest pause that a fleet of 300 draws is 1 s
    REQUIRE(rejected == pause);
  }
  established.agent.on_request = [](Agent::Call& call) {
    Agent::write_chunk(call, list(42, kDelta, "draining"));
  };
  established.work.advance(service_discovery::kMaxRejectionPause);
  REQUIRE(established.has_snapshots(2));
}

TEST_CASE("poll: there is one call at a time, with a backoff after silence, a reset and a rejection",
          "[discovery][watch]") {
  for (const int how : {0, 1, 2}) {
    EstablishedWatch established(300, service_discovery::ListDelivery::kPoll);
    if (how == 0) {
      established.work.advance(service_discovery::kWatchTimeout + milliseconds(40));
      CHECK(established.work.until([&] { return established.agent.open_calls() == 0; }));
      established.work.advance(milliseconds(400));
      CHECK(established.agent.calls.size() == 1);
      established.work.advance(milliseconds(600));
    } else {
      established.agent.on_request = [](Agent::Call& call) { Agent::answer(call, 503, "{}"); };
      Agent::reset(*established.agent.calls[0]);
      established.work.settle();
      established.work.advance(milliseconds(900));
      CHECK(established.agent.calls.size() == 1);
      established.work.advance(milliseconds(1200));
    }
    REQUIRE(established.has_requests(2));
    established.agent.on_request = {};
    if (how == 2) {  // the second call is rejected too
      established.work.settle();
      established.work.advance(milliseconds(900));
      CHECK(established.agent.calls.size() == 2);
      established.work.advance(milliseconds(2200));
      REQUIRE(established.has_requests(3));
    }
    if (how == 1) continue;
    Agent::write_chunk(*established.agent.calls.back(), list(42, kDelta, "draining"));
    REQUIRE(established.has_snapshots(2));
    CHECK(established.agent.open_calls() == 1);
  }
}

TEST_CASE("a 503 that an overloaded discovery sends after 2 s is read before the call times out",
          "[discovery][watch]") {
  for (const auto delivery :
       {service_discovery::ListDelivery::kPush, service_discovery::ListDelivery::kPoll}) {
    TestEventLoop work;
    Agent agent(work);
    RecordingWatcher recorder(work, agent, 300, delivery);
    recorder.watcher.start(40);
    REQUIRE(work.until([&] { return agent.request_count() == 1; }));
    work.advance(milliseconds(2020));
    Agent::answer(*agent.calls[0], 503, "{}");
    REQUIRE(work.until([&] { return !recorder.logs.empty(); }));
    CHECK(recorder.logs[0] == "discovery lost: status 503");
    work.advance(milliseconds(900));
    CHECK(agent.calls.size() == 1);
  }
}

TEST_CASE("push: a second call is opened beside a watch that opens and receives nothing",
          "[discovery][watch]") {
  TestEventLoop work;
  Agent agent(work);
  RecordingWatcher recorder(work, agent);
  recorder.watcher.start(40);
  REQUIRE(work.until([&] { return agent.request_count() == 1; }));
  Agent::write_chunk(*agent.calls[0], "");
  work.settle();
  work.advance(milliseconds(2300));
  CHECK(agent.calls.size() == 1);
  work.advance(milliseconds(120));
  REQUIRE(work.until([&] { return agent.request_count() == 2; }));
  CHECK(agent.open_calls() == 2);
  Agent::write_chunk(*agent.calls[1], list(42, kFull));
  REQUIRE(work.until([&] { return recorder.snapshots.size() == 1; }));
  REQUIRE(work.until([&] { return agent.calls[0]->is_closed; }));
}

TEST_CASE("a change of address closes all old calls, calls the new one at once and retries if it is silent",
          "[discovery][watch]") {
  for (const auto delivery :
       {service_discovery::ListDelivery::kPush, service_discovery::ListDelivery::kPoll}) {
    EstablishedWatch established(300, delivery);
    established.work.advance(milliseconds(3000));  // push: two calls are open; poll: the pause is running
    Agent next(established.work);
    const engine::Time moved = established.work.now;
    established.recorder.watcher.set_address(next.address());
    REQUIRE(established.work.until(
        [&] { return next.request_count() == 1 && established.agent.open_calls() == 0; }));
    CHECK(established.work.now == moved);
    CHECK(next.last_target() == "/v1/servers");
    next.on_request = [](Agent::Call& call) {
      if (call.targets.back() == "/v1/servers") Agent::answer(call, 200, list(7, kFull, "draining"));
    };
    while (established.recorder.snapshots.size() == 1 && established.work.now < moved + seconds(6))
      established.work.advance(milliseconds(20));
    REQUIRE(established.has_snapshots(2));
    CHECK(established.work.now - moved < seconds(4));
    CHECK(established.recorder.watcher.version() == 7);
    const auto before = established.agent.calls.size();
    established.work.advance(seconds(1));
    CHECK(established.agent.calls.size() == before);
  }
}

TEST_CASE("a restart before the start opens no call", "[discovery][watch]") {
  TestEventLoop work;
  Agent agent(work);
  RecordingWatcher recorder(work, agent, 300, service_discovery::ListDelivery::kPoll);
  recorder.watcher.restart();  // as the router does when it gets the configured list
  recorder.watcher.start(40);
  REQUIRE(work.until([&] { return agent.request_count() == 1; }));
  work.settle();
  CHECK(agent.calls.size() == 1);
  CHECK(agent.last_target() == "/v1/servers?follow=1&since=40");
}

TEST_CASE("after a change of address before the start, the complete list is requested there",
          "[discovery][watch]") {
  TestEventLoop work;
  Agent old(work);
  Agent agent(work);
  RecordingWatcher recorder(work, old);
  recorder.watcher.set_address(agent.address());
  recorder.watcher.start(40);
  REQUIRE(work.until([&] { return agent.request_count() == 1; }));
  work.settle();
  CHECK(agent.calls.size() == 1);
  CHECK(agent.last_target() == "/v1/servers");
  CHECK(old.calls.empty());
}

}  // namespace
}  // namespace dispatcher::testing
