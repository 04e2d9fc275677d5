// A whole dispatcher that is told to end: what is owed at that instant is given, and it ends by itself.
#include <array>
#include <boost/asio/write.hpp>

#include "daemon/dispatcher.hpp"
#include "fixture.hpp"

namespace dispatcher::testing {
namespace {

// A dispatcher on its own loop and clock, before stand-in replicas on the test's.
struct Service {
  Service(FakeReplica::Behavior reads, FakeReplica::Behavior writes)
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
  std::unique_ptr<FakeClient> client() { return std::make_unique<FakeClient>(work, dispatcher->address()); }
  TestEventLoop work;
  daemon::Loop loop;
  daemon::Config config;
  std::vector<std::string> logs;
  FakeReplica reader, writer;
  std::optional<daemon::Dispatcher> dispatcher;
};

void keep(FakeReplica&, SlotId, const FakeReplica::ReceivedRequest&) {}  // its answer is the test's to give

TEST_CASE("told to end, a dispatcher finishes a request wherever that stands", "[drain]") {
  Service service(keep, keep);
  auto client = service.client();
  client->post(platform_headers("a1", "command"), "{}");
  REQUIRE(service.until([&] { return service.reader.pending_clients.size() == 1; }));
  const auto read = [&] {
    service.reader.respond(service.reader.pending_clients[0], 202, R"({"cached_tokens":0})");
  };
  const auto at_writer = [&] { return service.writer.pending_clients.size() == 1; };
  SECTION("in its read") {
    service.dispatcher->drain();
    read();
    REQUIRE(service.until(at_writer));
    service.writer.stream_words(service.writer.pending_clients[0], {"yes"});
  }
  SECTION("between read and write") {
    read();
    service.dispatcher->drain();
    REQUIRE(service.until(at_writer));
    service.writer.stream_words(service.writer.pending_clients[0], {"yes"});
  }
  SECTION("in its stream") {
    read();
    REQUIRE(service.until(at_writer));
    service.writer.stream_words(service.writer.pending_clients[0], {"yes"}, false);
    REQUIRE(service.until([&] { return client->body.find("yes") != std::string::npos; }));
    service.dispatcher->drain();
    service.writer.server.write_events(service.writer.pending_clients[0], "data: [DONE]\n\n");
    service.writer.server.end_response(service.writer.pending_clients[0]);
  }
  REQUIRE(service.until([&] { return client->is_complete; }));
  CHECK(client->status == 200);
  CHECK(client->body.find("[DONE]") != std::string::npos);
  CHECK(service.drained());
  CHECK(service.writer.count("POST", "a1") == 1);
}

TEST_CASE("a request that no replica takes has its final answer before the end", "[drain]") {
  Service service([](FakeReplica& r, SlotId client,
                     const FakeReplica::ReceivedRequest&) { r.respond(client, 503, {}, true); },
                  keep);
  auto client = service.client();
  client->post(platform_headers("a1", "ask", 1000), "{}");
  REQUIRE(service.until([&] { return service.reader.count("POST", "a1") > 0; }));
  service.dispatcher->drain();
  REQUIRE(service.until([&] { return client->is_finished(); }));
  CHECK(client->status == 503);
  CHECK(service.drained());
}

TEST_CASE("what comes on connections while the process ends is answered or shut in good order", "[drain]") {
  Service service(healthy_reader, healthy_writer);
  auto idle = service.client(), half = service.client();
  idle->post(platform_headers("a1", "ask"), "{}");
  REQUIRE(service.until([&] { return idle->is_complete; }));
  half->send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + platform_headers("a2", "ask") +
             "Content-Length: 2\r\n\r\n{");
  service.until([&] { return service.work.io.poll() == 0; });
  service.dispatcher->drain();
  auto late = service.client();  // connections still come for 0.4 s
  late->post(platform_headers("a3", "command"), "{}");
  REQUIRE(service.until([&] { return late->is_complete; }));
  CHECK(late->status == 200);
  CHECK(late->headers["Connection"] == "close");
  REQUIRE(service.until([&] { return idle->is_closed; }));  // accepting is over
  CHECK(idle->close_error == boost::asio::error::eof);
  half->send("}");
  REQUIRE(service.until([&] { return half->is_complete; }));
  CHECK(half->status == 200);
  CHECK(half->headers["Connection"] == "close");
  const std::size_t taken = service.reader.received.size();
  idle->post(platform_headers("a4", "command"), "{}");  // after the half-close
  half->close();
  late->close();
  service.until([&] { return service.work.io.poll() == 0; });
  idle->close();
  CHECK(service.drained());
  CHECK(service.reader.received.size() == taken);
}

// Of a request whose client has gone nothing is owed to anybody, but for what a reader still holds for it.
TEST_CASE("the process ends only once what is held for its requests is let go of", "[drain]") {
  Service service(healthy_reader, keep);
  auto client = service.client();
  client->post(platform_headers("a1", "command"), "{}");
  REQUIRE(service.until([&] { return service.writer.pending_clients.size() == 1; }));
  service.dispatcher->drain();
  client->close();
  CHECK(service.drained());
  CHECK(service.reader.count("DELETE", "a1") + service.writer.count("DELETE", "a1") >= 1);
}

}  // namespace
}  // namespace dispatcher::testing
