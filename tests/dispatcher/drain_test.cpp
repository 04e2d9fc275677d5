// The graceful shutdown of a complete dispatcher: it finishes the requests it has accepted, and ends by
// itself.
#include <array>
#include <boost/asio/write.hpp>

#include "daemon/dispatcher.hpp"
#include "fixture.hpp"

namespace dispatcher::testing {
namespace {

// A dispatcher on its own event loop and clock, with stand-in replicas on the test's.
struct DrainFixture {
  DrainFixture(StandInReplica::Script reads, StandInReplica::Script writes)
      : reader(work, std::move(reads)), writer(work, std::move(writes)) {
    config.listen = config.discovery = loopback();
    config.discovery.port(1);  // nobody listens there
    config.settings = make_settings();
    config.known.is_complete = true;
    config.known.list.kind = routing::ListKind::kFull;
    add("r", "reader", reader.server.local());
    add("w", "writer", writer.server.local());
    dispatcher.emplace(loop, config, daemon::FeatureFiles{},
                       [this](std::string_view line) { logs.emplace_back(line); });
    dispatcher->start();
  }
  void add(const std::string& endpoint, const std::string& kind, const net::tcp::endpoint& at) {
    config.known.list.entries.push_back({endpoint, "here", kind, 0, routing::EndpointState::kReady, 1, {}});
    config.known.addresses.push_back({endpoint, at, true, false, "here", 0});
  }
  // Runs both sides until the condition holds; the timeout only ends a test that has failed.
  template <class Condition>
  bool until(Condition condition) {
    const auto timeout = std::chrono::steady_clock::now() + seconds(20);
    while (std::chrono::steady_clock::now() < timeout) {
      work.now += milliseconds(1);
      work.timers.run(work.now);
      work.io.restart();
      const bool busy = work.io.poll() > 0;
      if (!loop.io().stopped() && loop.io().poll() == 0 && !busy)
        std::this_thread::sleep_for(std::chrono::microseconds(200));
      if (condition()) return true;
    }
    return false;
  }
  bool drained() {
    return until([&] { return loop.io().stopped(); }) && logs.back() == "drained";
  }
  std::unique_ptr<StandInClient> client() {
    return std::make_unique<StandInClient>(work, dispatcher->address());
  }
  Clockwork work;
  daemon::Loop loop;
  daemon::Config config;
  std::vector<std::string> logs;
  StandInReplica reader;
  StandInReplica writer;
  std::optional<daemon::Dispatcher> dispatcher;
};

void never_answer(StandInReplica&, SlotId, const StandInReplica::Seen&) {}  // the test answers by itself

TEST_CASE("a draining dispatcher finishes a request in each of its phases", "[drain]") {
  DrainFixture fixture(never_answer, never_answer);
  auto client = fixture.client();
  client->post(facts("a1", "command"), "{}");
  REQUIRE(fixture.until([&] { return fixture.reader.waiting.size() == 1; }));
  const auto answer_read = [&] {
    fixture.reader.say(fixture.reader.waiting[0], 202, R"({"cached_tokens":0})");
  };
  const auto at_writer = [&] { return fixture.writer.waiting.size() == 1; };
  SECTION("while it is read") {
    fixture.dispatcher->drain();
    answer_read();
    REQUIRE(fixture.until(at_writer));
    fixture.writer.stream(fixture.writer.waiting[0], {"yes"});
  }
  SECTION("between read and write") {
    answer_read();
    fixture.dispatcher->drain();
    REQUIRE(fixture.until(at_writer));
    fixture.writer.stream(fixture.writer.waiting[0], {"yes"});
  }
  SECTION("while it streams") {
    answer_read();
    REQUIRE(fixture.until(at_writer));
    fixture.writer.stream(fixture.writer.waiting[0], {"yes"}, false);
    REQUIRE(fixture.until([&] { return client->body.find("yes") != std::string::npos; }));
    fixture.dispatcher->drain();
    fixture.writer.server.pass(fixture.writer.waiting[0], "data: [DONE]\n\n");
    fixture.writer.server.end(fixture.writer.waiting[0]);
  }
  REQUIRE(fixture.until([&] { return client->whole; }));
  CHECK(client->status == 200);
  CHECK(client->body.find("[DONE]") != std::string::npos);
  CHECK(fixture.drained());
  CHECK(fixture.writer.count("POST", "a1") == 1);
}

TEST_CASE("a draining dispatcher rejects a request that no replica takes before it ends", "[drain]") {
  DrainFixture fixture([](StandInReplica& replica, SlotId client,
                          const StandInReplica::Seen&) { replica.say(client, 503, {}, true); },
                       never_answer);
  auto client = fixture.client();
  client->post(facts("a1", "ask", 1000), "{}");
  REQUIRE(fixture.until([&] { return fixture.reader.count("POST", "a1") > 0; }));
  fixture.dispatcher->drain();
  REQUIRE(fixture.until([&] { return client->answered(); }));
  CHECK(client->status == 503);
  CHECK(fixture.drained());
}

TEST_CASE("a draining dispatcher answers what still comes, and closes idle connections gracefully",
          "[drain]") {
  DrainFixture fixture(read_well, write_well);
  auto idle = fixture.client();
  auto partial = fixture.client();  // has sent a part of its request
  idle->post(facts("a1", "ask"), "{}");
  REQUIRE(fixture.until([&] { return idle->whole; }));
  partial->send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + facts("a2", "ask") +
                "Content-Length: 2\r\n\r\n{");
  fixture.until([&] { return fixture.work.io.poll() == 0; });
  fixture.dispatcher->drain();
  auto late = fixture.client();  // connections still come for 0.4 s
  late->post(facts("a3", "command"), "{}");
  REQUIRE(fixture.until([&] { return late->whole; }));
  CHECK(late->status == 200);
  CHECK(late->headers["Connection"] == "close");
  REQUIRE(fixture.until([&] { return idle->ended; }));  // accepting is over
  CHECK(idle->end == boost::asio::error::eof);
  partial->send("}");
  REQUIRE(fixture.until([&] { return partial->whole; }));
  CHECK(partial->status == 200);
  CHECK(partial->headers["Connection"] == "close");
  const std::size_t requests_before = fixture.reader.seen.size();
  idle->post(facts("a4", "command"), "{}");  // after the half-close
  partial->close();
  late->close();
  fixture.until([&] { return fixture.work.io.poll() == 0; });
  idle->close();
  CHECK(fixture.drained());
  CHECK(fixture.reader.seen.size() == requests_before);
}

// A request whose client has gone leaves nothing to do but the release of what a reader reserved for it.
TEST_CASE("a draining dispatcher ends only once the reservations of its requests are released", "[drain]") {
  DrainFixture fixture(read_well, never_answer);
  auto client = fixture.client();
  client->post(facts("a1", "command"), "{}");
  REQUIRE(fixture.until([&] { return fixture.writer.waiting.size() == 1; }));
  fixture.dispatcher->drain();
  client->close();
  CHECK(fixture.drained());
  CHECK(fixture.reader.count("DELETE", "a1") + fixture.writer.count("DELETE", "a1") >= 1);
}

}  // namespace
}  // namespace dispatcher::testing
