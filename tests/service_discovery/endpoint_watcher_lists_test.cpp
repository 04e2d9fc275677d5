// Tests how EndpointWatcher frames, reads and orders endpoint lists over loopback.
#include "endpoint_watcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using routing::ListKind::kDelta;
using routing::ListKind::kFull;

TEST_CASE("lists are read if they are indented, split anywhere, or several in one chunk",
          "[discovery][watch]") {
  EstablishedWatch established;
  std::size_t seq = 42;
  for (const int width : {0, 1, 2, 4, 8}) {
    const std::string text = indented(static_cast<int>(seq), kDelta, width);
    for (std::size_t at = 0; at < text.size(); at += 17)
      Agent::write_chunk(*established.agent.calls[0], text.substr(at, 17));
    REQUIRE(established.has_snapshots(seq - 40));
    ++seq;
  }
  Agent::write_chunk(*established.agent.calls[0],
                     "\r\n" + list(47, kDelta) + "\r\n \n" + indented(48, kDelta, 2) + list(49, kDelta));
  REQUIRE(established.has_snapshots(9));
  CHECK(established.recorder.watcher.version() == 49);
  CHECK(established.agent.calls.size() == 1);
  CHECK(established.recorder.logs.empty());
}

TEST_CASE("an indented complete list is applied after a change of address", "[discovery][watch]") {
  EstablishedWatch established;
  Agent next(established.work);
  established.recorder.watcher.set_address(next.address());
  REQUIRE(established.work.until([&] { return next.request_count() == 1; }));
  CHECK(next.last_target() == "/v1/servers");
  Agent::answer(*next.calls[0], 200, indented(7, kFull, 2));
  REQUIRE(established.has_snapshots(2));
  CHECK(established.recorder.watcher.version() == 7);
  REQUIRE(established.work.until([&] { return next.request_count() == 2; }));
  CHECK(next.last_target() == "/v1/servers?follow=1&since=7");
}

TEST_CASE("after unreadable or unterminated input the complete list is requested, without a busy loop",
          "[discovery][watch]") {
  const std::vector<std::string> bad{"not JSON\n", "[]\n", "{\"seq\":1}\n", "{]}\n",
                                     list(42, kDelta, "unheard of")};
  for (const std::string& text : bad) {
    EstablishedWatch established;
    established.work.advance(milliseconds(1500));
    Agent::write_chunk(*established.agent.calls[0], text);
    established.work.settle();
    established.work.advance(milliseconds(20));
    REQUIRE(established.has_requests(2));
    CHECK(established.agent.last_target() == "/v1/servers");
    established.agent.on_request = [&](Agent::Call& call) { Agent::answer(call, 200, text); };
    Agent::answer(*established.agent.calls[1], 200, text);
    established.work.settle();
    const auto before = established.agent.calls.size();
    established.work.advance(seconds(5));
    CHECK(established.agent.calls.size() <= before + 30);
    CHECK(established.agent.calls.size() >= before + 15);
    CHECK(established.agent.last_target() == "/v1/servers");  // the complete list is still needed
    CHECK(established.recorder.logged("discovery lost") == 1);
    established.agent.on_request = [&](Agent::Call& call) {
      if (call.targets.back() == "/v1/servers") Agent::answer(call, 200, list(43, kFull));
    };
    established.work.advance(milliseconds(300));
    REQUIRE(established.has_snapshots(2));
    REQUIRE(established.work.until(
        [&] { return established.agent.last_target() == "/v1/servers?follow=1&since=43"; }));
    CHECK(established.recorder.logged("discovery back") == 1);
  }
}

TEST_CASE("a line that arrives byte by byte keeps the watch alive up to the time limit of an object",
          "[discovery][watch]") {
  EstablishedWatch established;
  const std::string text = list(42, kDelta);
  std::size_t at = 0;
  for (; at < 22; ++at) {  // 2.2 s
    Agent::write_chunk(*established.agent.calls[0], text.substr(at, 1));
    established.work.advance(milliseconds(100));
  }
  CHECK(established.agent.calls.size() == 1);
  for (; at < 27; ++at) {
    Agent::write_chunk(*established.agent.calls[0], text.substr(at, 1));
    established.work.advance(milliseconds(100));
  }
  REQUIRE(established.has_requests(2));
  CHECK(established.agent.last_target() == "/v1/servers");
  CHECK(established.agent.calls[0]->is_closed);
}

TEST_CASE("empty lines alone keep a watch alive", "[discovery][watch]") {
  EstablishedWatch established;
  for (int i = 0; i < 10; ++i) {
    established.work.advance(seconds(2));
    Agent::write_chunk(*established.agent.calls[0], i % 2 == 0 ? "\n" : "\r\n");
    established.work.settle();
  }
  CHECK(established.agent.calls.size() == 1);
  CHECK(established.recorder.logs.empty());
  CHECK(established.recorder.watcher.last_response_at() == established.work.now);
}

TEST_CASE("an older change is ignored, and a complete list is always applied", "[discovery][watch]") {
  EstablishedWatch established;
  Agent::Call& call = *established.agent.calls[0];
  Agent::write_chunk(call,
                     list(45, kDelta, "draining") + list(44, kDelta, "up") + list(46, kDelta, "draining"));
  REQUIRE(established.has_snapshots(3));
  CHECK(established.recorder.snapshots[1].version == 45);
  CHECK(established.recorder.snapshots[2].version == 46);
  Agent::write_chunk(call, list(5, kFull));
  REQUIRE(established.has_snapshots(4));
  CHECK(established.recorder.watcher.version() == 5);
  Agent::write_chunk(call, list(6, kDelta, "draining"));
  REQUIRE(established.has_snapshots(5));
}

TEST_CASE("a list that causes a restart ends its call, and the rest of its chunk is not read",
          "[discovery][watch]") {
  TestEventLoop work;
  Agent agent(work);
  std::vector<std::uint64_t> versions;
  std::optional<service_discovery::EndpointWatcher> watcher;
  watcher.emplace(
      work.io, agent.address(), work.timers, work.clock(), [](std::string_view) {},
      [&](const service_discovery::EndpointSnapshot& snapshot) {
        versions.push_back(snapshot.version);
        if (versions.size() == 1) watcher->restart();
      });
  watcher->start(40);
  REQUIRE(work.until([&] { return agent.request_count() == 1; }));
  Agent::write_chunk(*agent.calls[0], list(41, kFull) + list(42, kDelta));
  REQUIRE(work.until([&] { return agent.request_count() == 2; }));
  CHECK(versions == std::vector<std::uint64_t>{41});
  CHECK(agent.last_target() == "/v1/servers?follow=1&since=41");
  watcher.reset();  // while a call is open and a deadline is set
  work.advance(seconds(5));
  CHECK(agent.open_calls() == 0);
}

}  // namespace
}  // namespace dispatcher::testing
