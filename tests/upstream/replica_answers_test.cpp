// Malformed, truncated and rejecting responses of endpoints, and what clients get then.
#include <algorithm>

#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

// Returns a streamed response without its last chunk.
std::string stream() {
  return stream_head() + http::chunk("data: {\"a\":1}\n\n") + http::chunk("data: [DONE]\n\n");
}

// Replaces both writers with endpoints that answer with the given bytes.
struct RawWriters {
  RawWriters(Fixture& fixture, const std::string& bytes, const std::string& more = {})
      : first(fixture, bytes, more), second(fixture, bytes, more) {
    fixture.pool.update_endpoints({{"w1", first.address(), true}, {"w2", second.address(), true}},
                                  upstream::ListScope::kChanges);
  }
  [[nodiscard]] int requests() const { return first.requests + second.requests; }
  RawBytesEndpoint first;
  RawBytesEndpoint second;
};

TEST_CASE("valid streams with excess bytes are forwarded without them", "[pool]") {
  Fixture fixture(healthy_reader, healthy_writer);
  const std::string bytes = GENERATE(
      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + stream() + "0\r\n\r\n",
      stream() + http::chunk(": X-Backend-Load: {\"x0\":\"full\",\"x1\":[]}\n\n") + "0\r\n\r\n",
      stream() + http::chunk(": X-Backend-Load: {{{\n\n") + "0\r\n\r\n",
      stream() + "0\r\n\r\n" + stream() + "0\r\n\r\n");
  RawWriters writers(fixture, bytes);
  auto client = fixture.platform_client();
  for (const std::string id : {"a1", "a2"}) {
    client->clear_answer();
    client->post(platform_headers(id, "command"), kPlatformBody);
    REQUIRE(fixture.until([&] { return client->is_finished(); }));
    CHECK(client->is_complete);
    CHECK(client->status == 200);
    CHECK(client->body.starts_with("data: {\"a\":1}\n\ndata: [DONE]\n\n"));
    CHECK(client->body.find("HTTP/1.1") == std::string::npos);
  }
  CHECK(writers.requests() == 2);
}

TEST_CASE("a request whose response is malformed before its first event may have run", "[pool]") {
  Fixture fixture(healthy_reader, healthy_writer);
  const std::string bytes = GENERATE(
      std::string("\x01\x02 noise\r\n\r\n"), "HTTP/1.1 200 OK\r\n" + std::string(20000, 'x'),
      "HTTP/1.1 200 OK\r\nA: b\r\n" +
          [] {
            std::string headers;
            for (int i = 0; i < 3000; ++i) headers += "X-More: y\r\n";
            return headers;
          }(),
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n"),
      stream_head() + "zz\r\n", stream_head() + "c0000000\r\ndata: {}\n\n", stream_head() + "5\r\n",
      stream_head());
  RawWriters writers(fixture, bytes);
  auto client = fixture.post("a1", "command");
  REQUIRE(fixture.until([&] { return writers.requests() == 1; }));
  fixture.settle();
  fixture.advance(milliseconds(1100));  // past the time limit for the first event of a response
  REQUIRE(client->is_finished());
  CHECK(client->status == 502);
  fixture.advance(milliseconds(500));
  CHECK(writers.requests() == 1);
  CHECK(fixture.until(
      [&] { return writers.first.closed_connections + writers.second.closed_connections == 1; }));
  // An idempotent request is read again, as its state was lost with the first attempt, and then written
  // again.
  auto idempotent_client = fixture.post("a2", "ask");
  for (int i = 0; i < 200 && !idempotent_client->is_finished(); ++i) fixture.advance(milliseconds(20));
  CHECK(writers.requests() == 3);
  CHECK(fixture.request_count("POST", Role::kReader, "a2") == 2);
  CHECK(idempotent_client->status == 503);
}

TEST_CASE("a stream malformed after its first event ends its client's connection at once", "[pool]") {
  Fixture fixture(healthy_reader, healthy_writer);
  const std::string more = GENERATE("zz\r\n", "c0000000\r\nxx", "4\r\ndata: x\n\n");
  RawWriters writers(fixture, stream_head() + http::chunk("data: {\"a\":1}\n\n"), more);
  auto client = fixture.post("a1", "ask");
  REQUIRE(fixture.until([&] { return !client->body.empty(); }));
  writers.first.send_more();
  writers.second.send_more();
  REQUIRE(fixture.until([&] { return client->is_finished(); }));
  CHECK(client->is_closed);
  CHECK_FALSE(client->is_complete);
  CHECK(writers.requests() == 1);
  CHECK(fixture.until(
      [&] { return writers.first.closed_connections + writers.second.closed_connections == 1; }));
}

TEST_CASE("a request that endpoints reject as invalid is the client's error and ejects no endpoint",
          "[pool]") {
  Fixture fixture(
      [](FakeEndpoint& replica, SlotId client, const ReceivedRequest&) { replica.respond(client, 400); },
      healthy_writer, kChatConfig);
  auto client = fixture.platform_client();
  auto chat = fixture.chat_client();
  client->post(platform_headers("a1", "ask"), kPlatformBody);
  chat->post("", chat_body("ask", ResponseMode::kStream));
  REQUIRE(fixture.until([&] { return client->is_finished() && chat->is_finished(); }));
  CHECK(client->status == 400);
  CHECK(chat->status == 400);
  CHECK(fixture.request_count("POST", Role::kReader) == 2);
  CHECK(std::none_of(fixture.logs.begin(), fixture.logs.end(),
                     [](const std::string& entry) { return entry.find("ejected") != std::string::npos; }));
  CHECK(fixture.until([&] { return fixture.engine.open_request_count() == 0; }));
}

}  // namespace
}  // namespace dispatcher::testing
