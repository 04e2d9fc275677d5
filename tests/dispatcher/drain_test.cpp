// A whole dispatcher that is told to end: what is owed at that instant is given, and it ends by itself.
#include <array>
#include <boost/asio/write.hpp>

#include "daemon/dispatcher.hpp"
#include "fixture.hpp"

namespace dispatcher::testing {
namespace {

// A dispatcher on its own loop and clock, before stand-in replicas on the test's.
struct Service {
  Service(StandInReplica::Script reads, StandInReplica::Script writes)
      : reader(work, std::move(reads)), writer(work, std::move(writes)) {
    config.listen = config.discovery = loopback();
    config.discovery.port(1);  // nobody listens there
    config.settings = make_settings();
    config.known.whole = true;
    config.known.list.kind = routing::ListKind::kFull;
    add("r", "reader", reader.server.local());
    add("w", "writer", writer.server.local());
    dispatcher.emplace(loop, config, daemon::Texts{},
                       [this](std::string_view line) { logs.emplace_back(line); });
    dispatcher->start();
  }
  void add(const std::string& endpoint, const std::string& kind, const net::tcp::endpoint& at) {
    config.known.list.entries.push_back({endpoint, "here", kind, 0, routing::EndpointState::kReady, 1, {}});
    config.known.addresses.push_back({endpoint, at, true, false, "here", 0});
  }
  // Runs both sides until the condition holds; the bound only ends a test that has failed.
  template <class Condition>
  bool until(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + seconds(20);
    while (std::chrono::steady_clock::now() < end) {
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
  StandInReplica reader, writer;
  std::optional<daemon::Dispatcher> dispatcher;
};

void keep(StandInReplica&, SlotId, const StandInReplica::Seen&) {}  // its answer is the test's to give

TEST_CASE("told to end, a dispatcher finishes a request wherever that stands", "[drain]") {
  Service service(keep, keep);
  auto client = service.client();
  client->post(facts("a1", "command"), "{}");
  REQUIRE(service.until([&] { return service.reader.waiting.size() == 1; }));
  const auto read = [&] { service.reader.say(service.reader.waiting[0], 202, R"({"cached_tokens":0})"); };
  const auto at_writer = [&] { return service.writer.waiting.size() == 1; };
  SECTION("in its read") {
    service.dispatcher->drain();
    read();
    REQUIRE(service.until(at_writer));
    service.writer.stream(service.writer.waiting[0], {"yes"});
  }
  SECTION("between read and write") {
    read();
    service.dispatcher->drain();
    REQUIRE(service.until(at_writer));
    service.writer.stream(service.writer.waiting[0], {"yes"});
  }
  SECTION("in its stream") {
    read();
    REQUIRE(service.until(at_writer));
    service.writer.stream(service.writer.waiting[0], {"yes"}, false);
    REQUIRE(service.until([&] { return client->body.find("yes") != std::string::npos; }));
    service.dispatcher->drain();
    service.writer.server.write_events(service.writer.waiting[0], "data: [DONE]\n\n");
    service.writer.server.end_response(service.writer.waiting[0]);
  }
  REQUIRE(service.until([&] { return client->whole; }));
  CHECK(client->status == 200);
  CHECK(client->body.find("[DONE]") != std::string::npos);
  CHECK(service.drained());
  CHECK(service.writer.count("POST", "a1") == 1);
}

TEST_CASE("a request that no replica takes has its final answer before the end", "[drain]") {
  Service service(
      [](StandInReplica& r, SlotId client, const StandInReplica::Seen&) { r.say(client, 503, {}, true); },
      keep);
  auto client = service.client();
  client->post(facts("a1", "ask", 1000), "{}");
  REQUIRE(service.until([&] { return service.reader.count("POST", "a1") > 0; }));
  service.dispatcher->drain();
  REQUIRE(service.until([&] { return client->answered(); }));
  CHECK(client->status == 503);
  CHECK(service.drained());
}

TEST_CASE("what comes on connections while the process ends is answered or shut in good order", "[drain]") {
  Service service(read_well, write_well);
  auto idle = service.client(), half = service.client();
  idle->post(facts("a1", "ask"), "{}");
  REQUIRE(service.until([&] { return idle->whole; }));
  half->send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + facts("a2", "ask") +
             "Content-Length: 2\r\n\r\n{");
  service.until([&] { return service.work.io.poll() == 0; });
  service.dispatcher->drain();
  auto late = service.client();  // connections still come for 0.4 s
  late->post(facts("a3", "command"), "{}");
  REQUIRE(service.until([&] { return late->whole; }));
  CHECK(late->status == 200);
  CHECK(late->headers["Connection"] == "close");
  REQUIRE(service.until([&] { return idle->ended; }));  // accepting is over
  CHECK(idle->end == boost::asio::error::eof);
  half->send("}");
  REQUIRE(service.until([&] { return half->whole; }));
  CHECK(half->status == 200);
  CHECK(half->headers["Connection"] == "close");
  const std::size_t taken = service.reader.seen.size();
  idle->post(facts("a4", "command"), "{}");  // after the half-close
  half->close();
  late->close();
  service.until([&] { return service.work.io.poll() == 0; });
  idle->close();
  CHECK(service.drained());
  CHECK(service.reader.seen.size() == taken);
}

// Of a request whose client has gone nothing is owed to anybody, but for what a reader still holds for it.
TEST_CASE("the process ends only once what is held for its requests is let go of", "[drain]") {
  Service service(read_well, keep);
  auto client = service.client();
  client->post(facts("a1", "command"), "{}");
  REQUIRE(service.until([&] { return service.writer.waiting.size() == 1; }));
  service.dispatcher->drain();
  client->close();
  CHECK(service.drained());
  CHECK(service.reader.count("DELETE", "a1") + service.writer.count("DELETE", "a1") >= 1);
}

}  // namespace
}  // namespace dispatcher::testing
