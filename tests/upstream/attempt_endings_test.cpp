// Events that race with the end of an attempt: its client disconnects, its connection is established or
// breaks, its deadline passes, or its endpoint drains. Each race is forced, so that no test depends on
// timing. docs/design/endings.md lists the races.
#include "attempt_endings_fixture.hpp"

namespace dispatcher::testing {
namespace {

// ---- the client disconnects ----

// A router that may not cancel attempts cancels nothing, and the request was sent although its client had
// disconnected.
TEST_CASE("a request whose client disconnects during connection setup is not sent", "[endings]") {
  DirectFixture fixture(healthy_reader, healthy_writer);
  auto settings = make_settings();
  settings.may_cancel = GENERATE(false, true);
  fixture.use_settings(settings);
  const SlotId id = fixture.submit("a1");
  fixture.engine.on_client_disconnected(id);
  CHECK(fixture.engine.open_request_count() == 0);
  fixture.advance(milliseconds(400));
  CHECK(fixture.posts() == 0);
  CHECK(fixture.releases() == 0);  // no endpoint can hold a reservation
}

TEST_CASE("a request whose client has disconnected unnoticed is not sent on a new connection", "[endings]") {
  DirectFixture fixture(healthy_reader, healthy_writer);
  fixture.submit("a1");
  fixture.client_connected = false;
  fixture.advance(milliseconds(400));
  CHECK(fixture.posts() == 0);
  CHECK(fixture.engine.open_request_count() == 0);
  CHECK(fixture.calls.empty());
}

TEST_CASE("a request whose client has disconnected unnoticed is not sent on a pooled connection",
          "[endings]") {
  DirectFixture fixture(healthy_reader, healthy_writer);
  for (const std::string id : {"a1", "a2", "a3", "a4"}) {
    fixture.submit(id);
    REQUIRE(fixture.until([&] { return fixture.engine.open_request_count() == 0; }));
    fixture.advance(milliseconds(60));
  }
  const int before = fixture.posts();
  fixture.client_connected = false;
  fixture.submit("gone");
  fixture.advance(milliseconds(400));
  CHECK(fixture.posts() == before);
  CHECK(fixture.engine.open_request_count() == 0);
  CHECK(fixture.count("refuse") + fixture.count("fail") == 0);
}

TEST_CASE("a client's disconnect between read and write prevents the write and releases the reservation",
          "[endings]") {
  DirectFixture fixture(silent_endpoint, healthy_writer);
  fixture.submit("a1");
  REQUIRE(fixture.until([&] { return fixture.posts() == 1; }));
  fixture.client_connected = false;
  fixture.complete_reads();
  fixture.advance(milliseconds(400));
  CHECK(fixture.request_count("POST", Role::kWriter) == 0);
  CHECK(fixture.releases() >= 1);  // two calls at once, as no connection is pooled
  CHECK(fixture.pool.pending_releases() == 0);
  CHECK(fixture.engine.open_request_count() == 0);
}

// The reservation remains although its read was cancelled, because the response was already on its way.
TEST_CASE("a reservation whose 202 response arrives as its read is cancelled is released", "[endings]") {
  DirectFixture fixture(silent_endpoint, healthy_writer);
  const SlotId id = fixture.submit("a1");
  REQUIRE(fixture.until([&] { return fixture.posts() == 1; }));
  fixture.complete_reads();
  fixture.engine.on_client_disconnected(id);  // the response has been written and not read
  fixture.advance(milliseconds(400));
  CHECK(fixture.releases() >= 1);  // two calls at once, as no connection is pooled
  CHECK(fixture.pool.pending_releases() == 0);
  CHECK(fixture.request_count("POST", Role::kWriter) == 0);
  CHECK(fixture.engine.open_request_count() == 0);
}

// ---- connections ----

TEST_CASE("a connection that is established after its timeout carries no request", "[endings]") {
  DirectFixture fixture(healthy_reader, healthy_writer);
  fixture.submit("a1", "command");
  fixture.now += milliseconds(300);
  fixture.timers.run(fixture.now);  // the connect timeout, before the connection's event is handled
  fixture.advance(milliseconds(400));
  CHECK(fixture.request_count("POST", Role::kReader) == 1);
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
  CHECK(fixture.calls == std::vector<std::string>{"begin", "finish"});
}

TEST_CASE("an endpoint that returned at a new address gets no request at its old address", "[endings]") {
  DirectFixture fixture(healthy_reader, healthy_writer);
  FakeEndpoint new_address(fixture, healthy_reader);
  fixture.submit("a1");
  fixture.pool.update_endpoints(
      {{"r1", new_address.server.local(), true}, {"r2", new_address.server.local(), true}},
      upstream::ListScope::kChanges);
  fixture.advance(milliseconds(400));
  CHECK(fixture.request_count("POST", Role::kReader) == 0);
  CHECK(new_address.count("POST") == 1);
  CHECK(fixture.count("finish") == 1);
}

TEST_CASE("a connection to an endpoint's previous address is not pooled", "[endings]") {
  DirectFixture fixture(silent_endpoint, healthy_writer);
  FakeEndpoint new_address(fixture, healthy_reader);
  fixture.submit("a1");
  REQUIRE(fixture.until([&] { return fixture.posts() == 1; }));
  fixture.pool.update_endpoints(
      {{"r1", new_address.server.local(), true}, {"r2", new_address.server.local(), true}},
      upstream::ListScope::kChanges);
  fixture.complete_reads();
  REQUIRE(fixture.until([&] { return fixture.count("finish") == 1; }));
  fixture.advance(milliseconds(60));
  CHECK(fixture.pool.open_connections() == 1);  // only the writer's
}

TEST_CASE("a drain during connection establishment holds the request back once part of the grace has passed",
          "[endings]") {
  const auto grace = GENERATE(milliseconds(100), milliseconds(250), milliseconds(1000));
  const bool late = GENERATE(false, true);
  DirectFixture fixture(healthy_reader, healthy_writer);
  upstream::Options options{milliseconds(250), seconds(15), milliseconds(50)};
  options.drain_grace = grace;
  fixture.pool.apply_options(options);
  fixture.submit("a1");
  fixture.pool.update_endpoints(
      {{"r1", fixture.reader(0).server.local(), false}, {"r2", fixture.reader(1).server.local(), false}},
      upstream::ListScope::kChanges);
  fixture.now += grace * 3 / 5 + milliseconds(late ? 1 : 0);
  fixture.settle();
  fixture.settle();
  CHECK(fixture.request_count("POST", Role::kReader) == (late ? 0 : 1));
}

// ---- broken connections ----

// Submits a non-idempotent request that is too long for the kernel's buffers. Returns whether the peer, as
// its writer, has accepted the connection. The peer reads nothing of the request.
bool starts_long_request(DirectFixture& fixture, RawSocketPeer& peer) {
  fixture.send_writes_to(peer);
  fixture.submit("a1", "command", 200000);
  const bool is_accepted = fixture.until([&] { return peer.accepted(); });
  fixture.settle();
  return is_accepted;
}

TEST_CASE("a request whose connection breaks before its last byte is written has not run", "[endings]") {
  DirectFixture fixture(healthy_reader, healthy_writer);
  RawSocketPeer peer(fixture);
  REQUIRE(starts_long_request(fixture, peer));
  peer.reset();
  for (int i = 0; i < 200 && fixture.calls.empty(); ++i) {
    fixture.advance(milliseconds(20));
    if (peer.accepted()) peer.reset();  // the connection to the other writer as well
  }
  CHECK(fixture.calls == std::vector<std::string>{"refuse"});  // rejected, as it can't have run
}

TEST_CASE("a response that arrives before the request's last byte is written is discarded", "[endings]") {
  DirectFixture fixture(healthy_reader, healthy_writer);
  RawSocketPeer peer(fixture);
  REQUIRE(starts_long_request(fixture, peer));
  peer.write(stream_head() + http::chunk("data: {\"of\":\"another\"}\n\n") + http::chunk("data: [DONE]\n\n") +
             "0\r\n\r\n");
  fixture.advance(milliseconds(100));
  CHECK(fixture.body.empty());
  CHECK(fixture.count("begin") == 0);
}

TEST_CASE("a request whose connection breaks after its last byte was written may have run", "[endings]") {
  DirectFixture fixture(healthy_reader, silent_endpoint);
  fixture.submit("a1", "command");
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kWriter) == 1; }));
  const bool at_once = GENERATE(true, false);
  if (!at_once) fixture.advance(seconds(2));
  for (const std::size_t index : {0U, 1U})
    for (const SlotId client : fixture.writer(index).pending_clients)
      fixture.writer(index).server.abort(client);
  fixture.advance(seconds(3));
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
  CHECK(fixture.calls == std::vector<std::string>{"fail"});
}

// Covers responses that end within a line, a chunk or an event, and between events.
TEST_CASE("a response truncated anywhere is not forwarded as complete", "[endings]") {
  const std::string event = "data: {\"a\":1}\n\n";
  const auto [bytes, begins] = GENERATE_COPY(
      std::pair<std::string, bool>("HTTP/1.1 20", false), std::pair(stream_head().substr(0, 40), false),
      std::pair(stream_head(), false), std::pair(stream_head() + "f\r\ndata: {\"a\"", false),
      std::pair(stream_head() + http::chunk("data: {\"a\":1}"), false),
      std::pair(stream_head() + http::chunk(event), true),
      std::pair(stream_head() + http::chunk(event) + http::chunk("data: {\"b\""), true),
      std::pair(stream_head() + http::chunk(event) + http::chunk("data: {\"b\"") + "0\r\n\r\n", true),
      std::pair(stream_head() + http::chunk(event) + "0\r", true));
  DirectFixture fixture(healthy_reader, healthy_writer);
  RawSocketPeer peer(fixture);
  fixture.send_writes_to(peer);
  fixture.submit("a1", "command");
  REQUIRE(fixture.until([&] { return peer.accepted() && !peer.read().empty(); }));
  peer.write(bytes);
  fixture.settle();
  peer.close();
  fixture.advance(milliseconds(400));
  CHECK(fixture.calls ==
        (begins ? std::vector<std::string>{"begin", "cut"} : std::vector<std::string>{"fail"}));
  CHECK(fixture.body == (begins ? event : ""));
  CHECK(fixture.request_count("POST", Role::kWriter) == 0);
}

// ---- pooled connections ----

// A second response some milliseconds after the first would be read as the response to the next request.
TEST_CASE("a connection is quarantined after a response, and data during the quarantine closes it",
          "[endings]") {
  Fixture fixture(healthy_reader, healthy_writer);
  const std::string answer =
      stream_head() + http::chunk("data: {\"a\":1}\n\n") + http::chunk("data: [DONE]\n\n") + "0\r\n\r\n";
  RawBytesEndpoint writer(fixture, answer,
                          stream_head() + http::chunk("data: {\"late\":1}\n\n") + "0\r\n\r\n");
  fixture.pool.update_endpoints({{"w1", writer.address(), true}, {"w2", writer.address(), true}},
                                upstream::ListScope::kChanges);
  const auto first = fixture.post("a1", "command");
  REQUIRE(fixture.until([&] { return first->is_finished(); }));
  CHECK(fixture.pool.open_connections() == 2);
  fixture.advance(milliseconds(20));
  const auto second = fixture.post("a2", "command");
  REQUIRE(fixture.until([&] { return second->is_finished(); }));
  CHECK(fixture.pool.open_connections() == 4);  // two are new, as the others are in quarantine
  writer.send_more();
  fixture.settle();
  CHECK(fixture.pool.open_connections() == 2);  // only those to the readers
  CHECK(second->body.find("late") == std::string::npos);
}

TEST_CASE("the most recently used connection that is past its quarantine is reused", "[endings]") {
  std::vector<SlotId> used;
  Fixture fixture(healthy_reader, healthy_writer);
  FakeEndpoint one(fixture, [&](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
    used.push_back(client);
    if (request.target.ends_with("now")) endpoint.respond(client, 409);
  });
  fixture.pool.update_endpoints({{"w1", one.server.local(), true}}, upstream::ListScope::kChanges);
  const auto call = [&](int attempt, const std::string& id) {
    const std::size_t before = used.size();
    fixture.pool.reserve_slot({SlotId{}, attempt}, "w1", id);
    REQUIRE(fixture.until([&] { return used.size() == before + 1; }));
    fixture.settle();
  };
  call(1, "x");    // opens A, whose response is delayed
  call(2, "now");  // opens B, which is parked at 0 ms
  fixture.advance(milliseconds(40));
  one.respond(used[0], 409);  // A is parked at 40 ms
  fixture.settle();
  fixture.advance(milliseconds(20));  // only B is past its quarantine
  call(3, "now");
  CHECK(used[2] == used[1]);          // B is parked again at 60 ms
  fixture.advance(milliseconds(35));  // 95 ms: only A is past its quarantine
  call(4, "now");
  CHECK(used[3] == used[0]);
  fixture.advance(milliseconds(20));  // 115 ms: only B is past its quarantine
  call(5, "x");
  CHECK(used[4] == used[1]);
  call(6, "x");  // opens a new connection, as A is in quarantine
  CHECK(used[5] != used[0]);
  CHECK(used[5] != used[1]);
}

// ---- deadlines ----

TEST_CASE("a response that arrives at the deadline ends the request once", "[endings]") {
  const int status = GENERATE(200, 503, 500);
  const bool timer_first = GENERATE(false, true);
  DirectFixture fixture(healthy_reader, silent_endpoint);
  fixture.submit("a1", "command");
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kWriter) == 1; }));
  fixture.advance(seconds(3) - milliseconds(20));
  REQUIRE(fixture.calls.empty());
  for (const std::size_t index : {0U, 1U}) {
    for (const SlotId client : fixture.writer(index).pending_clients) {
      if (status == 200) fixture.writer(index).stream_words(client, {"a"});
      if (status == 503) fixture.writer(index).reject_unprocessed(client, status);
      if (status == 500) fixture.writer(index).respond(client, status);
    }
  }
  fixture.now += milliseconds(20);
  if (timer_first) fixture.timers.run(fixture.now);
  fixture.advance(milliseconds(400));
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
  CHECK(fixture.engine.open_request_count() == 0);
  CHECK(fixture.count("refuse") + fixture.count("fail") + fixture.count("finish") == 1);
  if (timer_first) CHECK(fixture.count("begin") == 0);
}

}  // namespace
}  // namespace dispatcher::testing
