// The core alone: no sockets, a passed-in clock, and an upstream and a front that only write down.
#include <algorithm>

#include "fixture.hpp"

namespace dispatcher::testing {
namespace {

using routing::AttemptStatus;

struct Rig : engine::UpstreamClient, engine::ResponseSink {
  Rig()
      : engine(
            std::make_shared<const routing::Settings>(make_settings()), 1, *this, timers,
            [this] { return now; }, [](std::string_view) {}) {
    routing::EndpointList list{routing::ListKind::kFull, {}};
    for (const std::string endpoint : {"r1", "r2", "w1", "w2"})
      list.entries.push_back({endpoint,
                              "here",
                              endpoint[0] == 'r' ? "reader" : "writer",
                              0,
                              routing::EndpointState::kReady,
                              1,
                              {}});
    engine.endpoints(list);
  }
  net::SlotId submit(const std::string& id, const std::string& cls = "command") {
    auto message = std::make_shared<engine::UpstreamRequest>();
    message->id = id;
    routing::Request r;
    r.id = id;
    r.request_class = cls;
    r.prompt_tokens = 1000;
    r.client_deadline = now + seconds(3);
    return engine.submit(*this, {1, 1}, r, message);
  }
  void advance(engine::Duration time) {
    for (const engine::Time end = now + time; now < end;) {
      now += milliseconds(5);
      timers.run(now);
    }
  }
  void read(int attempt) {
    engine.ended(sent[static_cast<std::size_t>(attempt)], {AttemptStatus::kRead, 0, {}});
  }

  void send(engine::AttemptId attempt, const std::string& endpoint,
            std::shared_ptr<const engine::UpstreamRequest>, engine::Time, engine::Time) override {
    sent.push_back(attempt);
    story.push_back("send " + endpoint.substr(0, 1));
  }
  bool abandon(engine::AttemptId) override {
    story.push_back("abandon");
    return delivered;
  }
  void pause(engine::AttemptId) override { story.push_back("pause"); }
  void resume(engine::AttemptId) override { story.push_back("resume"); }
  void hold(engine::AttemptId, const std::string&, const std::string&) override {}
  void release(const std::string& id, engine::Time until) override {
    story.push_back("release");
    asked_until = until;
    if (answers_releases) timers.add(now, [this, id] { engine.released(id); });
  }
  bool present(SlotId) override { return client_there; }
  bool under_way(engine::AttemptId) override { return connected; }
  void begin(SlotId) override { story.push_back("begin"); }
  bool pass(SlotId, std::string_view) override { return takes_more; }
  void finish(SlotId) override { story.push_back("finish"); }
  void cut(SlotId) override { story.push_back("cut"); }
  void reject(SlotId, std::optional<engine::Duration> retry_after) override {
    story.push_back(retry_after ? "refuse with advice" : "refuse");
  }
  void fail(SlotId, engine::Failure why) override {
    story.push_back(why == engine::Failure::kDeadlineExceeded ? "fail late" : "fail");
  }
  using Story = std::vector<std::string>;
  engine::Time now = seconds(1'800'000'000);
  engine::TimerQueue timers;
  bool delivered = true, takes_more = true, connected = true, answers_releases = true, client_there = true;
  engine::Time asked_until{};
  std::vector<engine::AttemptId> sent;
  Story story;
  engine::Engine engine;
};

TEST_CASE("an attempt that was not connected is none of the few that a request may have", "[core]") {
  for (const int free_connect_failures : {0, 16}) {
    Rig rig;
    auto rules = make_settings();
    rules.free_connect_failures = free_connect_failures;
    rig.engine.adopt(std::make_shared<const routing::Settings>(rules));
    rig.submit("a");
    for (std::size_t i = 0; i < rig.sent.size() && i < 8; ++i)
      rig.engine.ended(rig.sent[i], {AttemptStatus::kConnectFailed, 0, {}});
    CHECK((rig.sent.size() > 4) == (free_connect_failures > 0));
    CHECK(rig.sent.size() <= 9);
  }
}

TEST_CASE("a request is read, written, streamed and forgotten", "[core]") {
  Rig rig;
  rig.submit("a");
  rig.read(0);
  rig.engine.events(rig.sent[1], "data: x\n\n");
  rig.engine.ended(rig.sent[1], {AttemptStatus::kServed, 0, {}});
  CHECK(rig.story == Rig::Story{"send r", "send w", "begin", "finish"});
  CHECK(rig.engine.open() == 0);
}

// A read may have ended well just as it was cut off: its state would stay pinned for ever.
TEST_CASE("what a cancelled read may have left is let go of within the pin limit", "[core]") {
  Rig rig;
  const auto id = rig.submit("a");
  rig.engine.client_gone(id);
  CHECK(rig.story == Rig::Story{"send r", "abandon"});
  rig.advance(milliseconds(100));
  CHECK(rig.story == Rig::Story{"send r", "abandon", "release"});
  CHECK(rig.engine.open() == 0);
}

// Reads that broke may leave a state, and the next readers' connections may never come up: seen as `pinned`
// on the standing test's days with a zone cut off, where each such connection put the release off once more.
TEST_CASE("what a broken read may have left is let go of while further connections fail to come up",
          "[core]") {
  Rig rig;
  auto rules = make_settings();
  rules.free_connect_failures = 16;
  rig.engine.adopt(std::make_shared<const routing::Settings>(rules));
  rig.submit("a");
  rig.engine.ended(rig.sent[0], {AttemptStatus::kReset, 0, {}});
  rig.connected = false;
  for (int i = 1; i <= 5; ++i) {
    rig.advance(milliseconds(50));
    rig.engine.ended(rig.sent.back(), {AttemptStatus::kConnectFailed, 0, {}});
  }
  CHECK(std::count(rig.story.begin(), rig.story.end(), "release") == 1);
  const auto released = std::find(rig.story.begin(), rig.story.end(), "release") - rig.story.begin();
  CHECK(released <= 3);  // after two connections that failed, 75 ms after the break
}

// A writer that finds no state may merely not reach the reader, which is cut off and still holds it.
TEST_CASE("where a writer found no state, whatever a reader holds is let go of", "[core]") {
  Rig rig;
  rig.submit("a", "command");
  rig.read(0);
  rig.advance(milliseconds(2900));
  rig.engine.ended(rig.sent[1], {AttemptStatus::kFull, 1, {}});
  rig.engine.ended(rig.sent.back(), {AttemptStatus::kFull, 0, {}});
  rig.advance(milliseconds(300));
  CHECK(std::count(rig.story.begin(), rig.story.end(), "release") == 1);
}

// The call frees all states of a request, wherever they are: also one that a newer read has just left.
TEST_CASE("a newer attempt is not robbed of its state", "[core]") {
  Rig rig;
  rig.submit("a");
  rig.engine.ended(rig.sent[0], {AttemptStatus::kReset, 0, {}});
  CHECK(rig.story == Rig::Story{"send r", "send r"});
  rig.advance(milliseconds(300));
  rig.read(1);
  rig.advance(milliseconds(300));
  CHECK(rig.story == Rig::Story{"send r", "send r", "send w"});
}

TEST_CASE("a client that leaves while its state waits at the writer has it let go of once", "[core]") {
  Rig rig;
  const auto id = rig.submit("a");
  rig.read(0);
  rig.engine.client_gone(id);
  rig.advance(milliseconds(400));
  CHECK(rig.story == Rig::Story{"send r", "send w", "abandon", "release"});
  CHECK(rig.engine.open() == 0);
}

TEST_CASE("a client that leaves its stream stops the work at once", "[core]") {
  Rig rig;
  const auto id = rig.submit("a");
  rig.read(0);
  rig.engine.events(rig.sent[1], "data: x\n\n");
  rig.engine.client_gone(id);
  CHECK(rig.story == Rig::Story{"send r", "send w", "begin", "abandon"});
  CHECK(rig.engine.open() == 0);
}

// A vanished machine says nothing and its connections stay open; its client must not wait for 5 s.
TEST_CASE("a silent stream is cut in time, one that speaks never", "[core]") {
  Rig rig;
  rig.submit("a");
  rig.read(0);
  for (int i = 0; i < 10; ++i) {
    rig.engine.events(rig.sent[1], "data: x\n\n");
    rig.advance(seconds(4));
  }
  CHECK(rig.story == Rig::Story{"send r", "send w", "begin"});
  rig.advance(milliseconds(900));
  CHECK(rig.story == Rig::Story{"send r", "send w", "begin", "abandon", "cut"});
}

TEST_CASE("a client that is slow to take its stream holds the replica back and is not cut for it", "[core]") {
  Rig rig;
  const auto id = rig.submit("a");
  rig.read(0);
  rig.takes_more = false;
  rig.engine.events(rig.sent[1], "data: x\n\n");
  rig.advance(seconds(10));
  rig.engine.resume(id);
  CHECK(rig.story == Rig::Story{"send r", "send w", "begin", "pause", "resume"});
  rig.advance(seconds(5));
  CHECK(rig.story.back() == "cut");  // from then on it is the replica that is silent
}

TEST_CASE("a command whose writer never answers fails at its deadline and is sent once", "[core]") {
  Rig rig;
  rig.submit("a");
  rig.read(0);
  rig.advance(seconds(3));
  CHECK(rig.story == Rig::Story{"send r", "send w", "abandon", "release", "fail late"});
}

// What was never written whole can't have run, so its client may safely ask again.
TEST_CASE("a command that never reached its writer whole is refused, with advice", "[core]") {
  Rig rig;
  rig.submit("a");
  rig.read(0);
  rig.delivered = false;
  rig.advance(seconds(3));
  CHECK(rig.story.back() == "refuse with advice");
}

TEST_CASE("a command whose stream breaks is cut and not sent again", "[core]") {
  Rig rig;
  rig.submit("a");
  rig.read(0);
  rig.engine.events(rig.sent[1], "data: x\n\n");
  rig.engine.ended(rig.sent[1], {AttemptStatus::kReset, 0, {}});
  rig.advance(seconds(4));
  CHECK(rig.story == Rig::Story{"send r", "send w", "begin", "cut"});
}

TEST_CASE("a stream without one event is no answer to a command, and no second send", "[core]") {
  Rig rig;
  rig.submit("a");
  rig.read(0);
  rig.engine.ended(rig.sent[1], {AttemptStatus::kServed, 0, {}});
  rig.advance(seconds(4));
  CHECK(rig.story == Rig::Story{"send r", "send w", "release", "fail"});
}

// Reads that failed had used up the attempts; the request was held to its deadline though nothing could serve
// it.
TEST_CASE("a request without attempts left for both stages is refused at once", "[core]") {
  Rig rig;
  rig.submit("a", "ask");
  for (int i = 0; i < 3; ++i) rig.engine.ended(rig.sent.back(), {AttemptStatus::kError, 0, {}});
  CHECK(rig.story == Rig::Story{"send r", "send r", "send r", "refuse with advice"});
  CHECK(rig.engine.open() == 0);
}

// A release is dropped by the next attempt's write. Where that attempt ended with nothing read, nobody asked
// again, and the state stayed pinned.
TEST_CASE("what may be held is asked for again until a release was answered", "[core]") {
  Rig rig;
  rig.answers_releases = false;
  rig.submit("a", "ask");
  rig.connected = false;
  rig.engine.ended(rig.sent[0], {AttemptStatus::kReset, 0, {}});
  rig.advance(milliseconds(100));
  const auto releases = [&] { return std::count(rig.story.begin(), rig.story.end(), "release"); };
  CHECK(releases() == 1);
  CHECK(rig.asked_until > rig.now + seconds(2));  // the read may run on to the deadline
  SECTION("by an attempt that was turned away") {
    rig.connected = true;
    rig.advance(milliseconds(20));
    rig.connected = false;
    rig.engine.ended(rig.sent[1], {AttemptStatus::kFull, 0, {}});
    rig.advance(milliseconds(100));
    CHECK(releases() == 2);
  }
  SECTION("not where a first token came") {
    rig.connected = true;
    rig.read(1);
    rig.engine.events(rig.sent[2], "data: x\n\n");
    rig.engine.ended(rig.sent[2], {AttemptStatus::kReset, 1, {}});
    rig.advance(seconds(4));
    CHECK(releases() == 1);
  }
}

TEST_CASE("a read that was closed from here leaves nothing later", "[core]") {
  Rig rig;
  const auto id = rig.submit("a");
  rig.engine.client_gone(id);
  rig.advance(milliseconds(400));
  CHECK(rig.story == Rig::Story{"send r", "abandon", "release"});
  CHECK(rig.asked_until == engine::Time{});
}

TEST_CASE("a state that the router knows of is not released for a read that broke", "[core]") {
  Rig rig;
  rig.submit("a", "ask");
  rig.engine.ended(rig.sent[0], {AttemptStatus::kReset, 0, {}});
  rig.read(1);
  rig.connected = false;
  rig.engine.ended(rig.sent[2], {AttemptStatus::kFull, 0, {}});  // the writer is full: the state waits
  rig.advance(milliseconds(100));
  CHECK(std::count(rig.story.begin(), rig.story.end(), "release") == 0);
  rig.engine.ended(rig.sent[3], {AttemptStatus::kFull, 0, {}});  // no attempt left: the router lets go
  CHECK(std::count(rig.story.begin(), rig.story.end(), "release") == 1);
  CHECK(rig.asked_until > rig.now);  // ... and what broke may still run
}

TEST_CASE("a client that leaves ends what waits for its connection, whatever may be cancelled", "[core]") {
  Rig rig;
  auto rules = make_settings();
  rules.may_cancel = GENERATE(false, true);
  rig.engine.adopt(std::make_shared<const routing::Settings>(rules));
  rig.connected = rig.delivered = false;
  const auto id = rig.submit("a");
  rig.engine.client_gone(id);
  CHECK(rig.story == Rig::Story{"send r", "abandon"});
  CHECK(rig.engine.open() == 0);
  rig.advance(seconds(4));
  CHECK(rig.story == Rig::Story{"send r", "abandon"});
}

// Half written, it can't have run: no sign of its host's health, and nothing left.
TEST_CASE("what was not written whole as its client left leaves nothing to let go of", "[core]") {
  Rig rig;
  rig.delivered = false;
  const auto id = rig.submit("a");
  rig.engine.client_gone(id);
  rig.advance(milliseconds(400));
  CHECK(rig.story == Rig::Story{"send r", "abandon"});
  CHECK(rig.engine.open() == 0);
}

// Its first byte ended the calls for the read that broke, which may still run.
TEST_CASE("an attempt that timed out half written has what runs on asked for again", "[core]") {
  Rig rig;
  auto rules = make_settings();
  rules.may_cancel = false;
  rig.engine.adopt(std::make_shared<const routing::Settings>(rules));
  rig.submit("a", "ask");
  rig.connected = false;
  rig.engine.ended(rig.sent[0], {AttemptStatus::kReset, 0, {}});
  rig.advance(milliseconds(100));
  const auto releases = [&] { return std::count(rig.story.begin(), rig.story.end(), "release"); };
  REQUIRE(releases() == 1);
  rig.connected = true;
  rig.delivered = false;
  rig.advance(seconds(3) - milliseconds(100));
  CHECK(releases() == 1);
  rig.advance(milliseconds(200));
  CHECK(rig.engine.open() == 0);
  CHECK(releases() == 2);
}

TEST_CASE("an attempt whose client has gone is not wanted, and ends its request unanswered", "[core]") {
  Rig rig;
  const auto id = rig.submit("a");
  CHECK(rig.engine.wanted(rig.sent[0]));
  CHECK_FALSE(rig.engine.wanted({id, 7}));
  rig.client_there = false;
  CHECK_FALSE(rig.engine.wanted(rig.sent[0]));
  rig.connected = false;
  rig.engine.ended(rig.sent[0], {AttemptStatus::kNeverSent, 0, {}});
  CHECK(rig.engine.open() == 0);
  CHECK(std::count(rig.story.begin(), rig.story.end(), "refuse") == 0);
  CHECK_FALSE(rig.engine.wanted(rig.sent[0]));
  rig.engine.client_gone(id);  // the front's own word comes later
  rig.advance(seconds(4));
  CHECK(std::count(rig.story.begin(), rig.story.end(), "send r") == 1);
}

TEST_CASE("a first token in the tick of the deadline goes on, one after it is given up", "[core]") {
  Rig rig;
  const bool token_first = GENERATE(true, false);
  rig.submit("a");
  rig.read(0);
  rig.advance(seconds(3) - milliseconds(5));
  rig.now += milliseconds(5);
  if (token_first) rig.engine.events(rig.sent[1], "data: x\n\n");
  rig.timers.run(rig.now);
  if (!token_first) rig.engine.events(rig.sent[1], "data: x\n\n");
  rig.advance(milliseconds(200));
  CHECK(rig.story == (token_first ? Rig::Story{"send r", "send w", "begin"}
                                  : Rig::Story{"send r", "send w", "abandon", "release", "fail late"}));
}

TEST_CASE("a refusal in the tick of the deadline is not followed by another send", "[core]") {
  Rig rig;
  const bool refusal_first = GENERATE(true, false);
  rig.submit("a");
  rig.read(0);
  rig.advance(seconds(3) - milliseconds(5));
  rig.now += milliseconds(5);
  if (refusal_first) rig.engine.ended(rig.sent[1], {AttemptStatus::kFull, 0, {}});
  rig.timers.run(rig.now);
  if (!refusal_first) rig.engine.ended(rig.sent[1], {AttemptStatus::kFull, 0, {}});
  rig.advance(milliseconds(400));
  CHECK(rig.sent.size() == 2);
  CHECK(rig.engine.open() == 0);
  const auto ends = std::count_if(rig.story.begin(), rig.story.end(), [](const std::string& s) {
    return s.starts_with("refuse") || s.starts_with("fail");
  });
  CHECK(ends == 1);
}

TEST_CASE("outcomes of attempts that are over change nothing", "[core]") {
  Rig rig;
  rig.submit("a");
  rig.read(0);
  rig.read(0);
  rig.engine.events({{9, 9}, 0}, "data: x\n\n");
  rig.engine.ended({rig.sent[0].request, 7}, {AttemptStatus::kServed, 0, {}});
  CHECK(rig.story == Rig::Story{"send r", "send w"});
}

}  // namespace
}  // namespace dispatcher::testing
