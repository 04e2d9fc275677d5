// The frontend of the platform's own API.
#include <sys/resource.h>

#include <algorithm>
#include <filesystem>

#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

TEST_CASE("a stream is forwarded unchanged and its connection is kept alive", "[platform]") {
  const std::string events = "data: {\"odd\":  1}\r\n\r\n: note\n\nevent: x\ndata: y\n\ndata: [DONE]\n\n";
  Fixture fixture(healthy_reader, [&](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
    endpoint.server.begin_stream(client);
    for (const char byte : events) endpoint.server.write_events(client, std::string(1, byte));
    endpoint.server.end_response(client);
  });
  auto client = fixture.platform_client();
  for (const std::string id : {"a1", "a2"}) {
    client->clear_answer();
    client->post(platform_headers(id, "ask"), kPlatformBody, "/v1/chat/completions?x=1");
    REQUIRE(fixture.until([&] { return client->is_finished(); }));
    CHECK(client->is_complete);
    CHECK(client->body == events);
    CHECK(fixture.request_count("POST", Role::kWriter, id) == 1);
  }
  const auto& request = fixture.only_request("POST", Role::kWriter);
  CHECK(request.target == "/v1/chat/completions?x=1");
  CHECK(request.body == kPlatformBody);
}

// Clients of a class with idempotency keys send a key with each request, by which endpoints detect a repeat.
TEST_CASE("end-to-end header fields reach the endpoint, hop-by-hop fields do not", "[platform]") {
  Fixture fixture(healthy_reader, healthy_writer);
  auto client = fixture.platform_client();
  client->post(platform_headers("a1", "ask") +
                   "Idempotency-Key: 10e3c7f4\r\nIDEMPOTENCY-NOTE: a, b\r\nContent-Type: application/json\r\n"
                   "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nKeep-Alive: 5\r\n",
               kPlatformBody);
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  for (const Role role : {Role::kReader, Role::kWriter}) {
    REQUIRE(fixture.request_count("POST", role, "a1") == 1);
    const auto& head = fixture.only_request("POST", role).head;
    CHECK(http::header(head, "Idempotency-Key") == "10e3c7f4");
    CHECK(http::header(head, "Idempotency-Note") == "a, b");
    CHECK(http::header(head, "Content-Type") == "application/json");
    CHECK(head.count("X-Correlation-Id") == 1);
    CHECK(head.count("X-Time-Left-Ms") == 1);
    CHECK(head.count("Host") == 1);
    CHECK(head.count("Content-Length") == 1);
    for (const char* name : {"Connection", "X-Hop", "TE", "Keep-Alive"}) CHECK(head.count(name) == 0);
  }
}

TEST_CASE("malformed and misdirected requests are answered and reach no endpoint", "[platform]") {
  Fixture fixture(healthy_reader, healthy_writer);
  const auto status = [&](const std::string& bytes) {
    auto client = fixture.platform_client();
    client->send(bytes);
    CHECK(fixture.until([&] { return client->is_finished(); }));
    return client->status;
  };
  CHECK(status("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") == 200);
  CHECK(status("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n") == 404);
  CHECK(status("GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n") == 405);
  CHECK(status("POST /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n") == 405);
  CHECK(status("complete nonsense\r\n\r\n") == 400);
  CHECK(status("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 262145\r\n\r\n") == 413);
  CHECK(status("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 0\r\n\r\n") == 400);
  CHECK(fixture.request_count("POST", Role::kReader) == 0);
}

TEST_CASE("thousands of pipelined requests are answered in order", "[platform]") {
  Fixture fixture(healthy_reader, healthy_writer);
  auto client = fixture.platform_client();
  std::string all;
  for (int i = 0; i < 2000; ++i)
    all += "GET /healthz HTTP/1.1\r\n\r\n";  // enough to exhaust the stack if they nested
  client->send(all + "GET /last HTTP/1.1\r\n\r\n");
  CHECK(fixture.until([&] { return client->status == 404; }));
}

// Nobody retries a non-idempotent request, so each one that was read must be forwarded once and answered.
TEST_CASE("pipelined non-idempotent requests are forwarded once and answered in order, also during a drain",
          "[platform]") {
  constexpr int kRequests = 20;
  const bool is_drained = GENERATE(false, true);
  Fixture fixture(healthy_reader, [](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
    endpoint.stream_words(client, {request.id}, StreamEnd::kOpen);
  });
  auto client = fixture.platform_client();
  std::vector<std::string> ids;
  for (int i = 0; i < kRequests; ++i) {
    ids.push_back("c" + std::to_string(100 + i));
    client->post(platform_headers(ids.back(), "command"), kPlatformBody);
  }
  for (const std::string& id : ids) {
    REQUIRE(fixture.until([&] { return client->body.find(id) != std::string::npos; }));
    if (is_drained && id == ids.front()) {
      fixture.platform.server().drain();
      fixture.platform.server().stop_accepting();
      fixture.platform.server().close_idle();
    }
    for (const std::size_t index : {0U, 1U})
      for (const SlotId stream : std::exchange(fixture.writer(index).pending_clients, {}))
        fixture.writer(index).server.end_response(stream);
  }
  CHECK(fixture.until([&] { return fixture.engine.open_request_count() == 0; }));
  CHECK(fixture.until([&] { return client->is_closed == is_drained; }));
  std::size_t position = 0;
  for (const std::string& id : ids) {
    CHECK(fixture.request_count("POST", Role::kWriter, id) == 1);
    position = client->body.find(id, position);
    REQUIRE(position != std::string::npos);
  }
}

TEST_CASE("an aborted stream closes the client's connection without the last chunk", "[platform]") {
  Fixture fixture(healthy_reader, [](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
    endpoint.stream_words(client, {"half"}, StreamEnd::kOpen);
    endpoint.server.abort(client);
  });
  auto client = fixture.post("a1", "ask");
  REQUIRE(fixture.until([&] { return client->is_finished(); }));
  CHECK(client->is_closed);
  CHECK_FALSE(client->is_complete);
  CHECK(client->body.find("half") != std::string::npos);
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);  // nothing is retried after the first token
}

TEST_CASE("a client's disconnect cancels its stream at the endpoint", "[platform]") {
  Fixture fixture(healthy_reader, [](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
    endpoint.stream_words(client, {"on and on"}, StreamEnd::kOpen);
  });
  auto client = fixture.post("a1", "command");
  REQUIRE(fixture.until([&] { return !client->body.empty(); }));
  client->close();
  CHECK(fixture.until([&] {
    return fixture.writer(0).disconnected_clients.size() + fixture.writer(1).disconnected_clients.size() == 1;
  }));
  CHECK(fixture.engine.open_request_count() == 0);
}

TEST_CASE("a request that the router rejects is answered at once with Retry-After", "[platform]") {
  Fixture fixture(healthy_reader, [](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
    endpoint.reject_unprocessed(client, 503);
  });
  auto client = fixture.platform_client();
  const auto start = fixture.now;
  client->post(platform_headers("a1", "command"), kPlatformBody);
  for (int i = 0; i < 40 && !client->is_finished(); ++i) fixture.advance(milliseconds(20));
  CHECK(client->status == 503);
  CHECK(client->headers["Retry-After"] == "0.500");
  CHECK(fixture.now - start < milliseconds(500));
}

TEST_CASE("a second request with an id in progress is rejected", "[platform]") {
  Fixture fixture(silent_endpoint, silent_endpoint);
  auto first = fixture.platform_client(), second = fixture.platform_client();
  first->post(platform_headers("a1", "ask"), kPlatformBody);
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kReader) == 1; }));
  second->post(platform_headers("a1", "ask"), kPlatformBody);
  REQUIRE(fixture.until([&] { return second->is_complete; }));
  CHECK(second->status == 409);
}

TEST_CASE("a draining server serves new requests and closes their connections", "[platform]") {
  Fixture fixture(healthy_reader, healthy_writer);
  auto idle = fixture.platform_client(), client = fixture.platform_client();
  idle->get("/healthz");
  REQUIRE(fixture.until([&] { return idle->is_complete; }));
  fixture.platform.server().drain();
  client->post(platform_headers("a1", "ask"), kPlatformBody);
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(client->status == 200);
  CHECK(client->headers["Connection"] == "close");
  CHECK(fixture.until([&] { return client->is_closed; }));
  CHECK_FALSE(idle->is_closed);
  fixture.platform.server().close_idle();
  CHECK(fixture.until([&] { return idle->is_closed; }));
}

TEST_CASE("a silent connection is closed and a partial request answered 408 within 3 s", "[platform]") {
  Fixture fixture(healthy_reader, healthy_writer);
  auto silent = fixture.platform_client(), partial = fixture.platform_client(),
       late = fixture.platform_client();
  partial->send("POST /v1/chat/completions HTTP/1.1\r\nContent-Le");
  fixture.settle();
  fixture.advance(milliseconds(1900));
  late->send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n{");
  CHECK_FALSE(silent->is_closed);
  fixture.advance(milliseconds(900));
  CHECK(silent->is_closed);
  CHECK(partial->status == 408);
  CHECK(late->status == 408);
  CHECK(fixture.platform.server().client_count() == 2);  // they have a limited time to read their responses
  fixture.advance(milliseconds(600));
  CHECK(fixture.platform.server().client_count() == 0);
}

TEST_CASE("requests with invalid framing or headers are rejected and reach no endpoint", "[platform]") {
  Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
  const auto [head, status] = GENERATE(table<std::string, int>({
      {platform_headers("a1", "ask") + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", 400},
      {platform_headers("a1", "ask") + "Content-Length: 3\r\nTransfer-Encoding: xchunked\r\n", 400},
      {platform_headers("a1", "ask") + "Transfer-Encoding: gzip, chunked\r\n", 400},
      {platform_headers("a1", "ask") + "Content-Length: 3\r\nContent-Length: 4\r\n", 400},
      {platform_headers("a1", "ask") + "Content-Length: -3\r\n", 400},
      {platform_headers("a1", "ask") + "Content-Length: 60000000\r\n", 413},
      {platform_headers("a1", "ask") + "Content-Length: 99999999999999999999\r\n", 400},
      {platform_headers("a1", "no-such-class") + "Content-Length: 3\r\n", 400},
      {platform_headers("", "ask") + "Content-Length: 3\r\n", 400},
      {platform_headers("a1", "ask", -5) + "Content-Length: 3\r\n", 400},
      {"X-Correlation-Id: a1\r\nX-Service-Class: ask\r\nX-Time-Left-Ms: soon\r\nContent-Length: 3\r\n", 400},
      {"X-Correlation-Id: a1\r\nX-Service-Class: ask\r\nX-Time-Left-Ms: 99999999999\r\nContent-Length: 3\r\n",
       400},
      {"X-Correlation-Id: a1\r\nX-Service-Class: ask\r\nX-Facts: prompt_len=-1\r\nContent-Length: 3\r\n",
       400},
      {"X-Correlation-Id: a1\r\nX-Service-Class: ask\r\nX-Facts: max_out=1e9\r\nContent-Length: 3\r\n", 400},
      {std::string(20000, 'x') + ": y\r\n", 431},
  }));
  INFO(head.substr(0, 300));
  auto client = GENERATE(true, false) ? fixture.platform_client() : fixture.chat_client();
  client->send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + head + "\r\n{}\n");
  REQUIRE(fixture.until([&] { return client->is_finished(); }));
  CHECK(client->status >= 400);
  if (client->status != 404) CHECK((client->status == status || client->status == 400));
  CHECK(fixture.request_count("POST", Role::kReader) == 0);
}

#ifndef __SANITIZE_ADDRESS__  // the sanitizer's memory probes also need a descriptor
// Limits the process to `free_descriptors` further descriptors until end().
class DescriptorShortage {
 public:
  explicit DescriptorShortage(rlim_t free_descriptors) {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
    // The count includes the iterator's own descriptor, which is free again afterwards.
    const auto listed = std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
    const rlimit few{static_cast<rlim_t>(listed) - 1 + free_descriptors, before_.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &few) == 0);
  }
  ~DescriptorShortage() { end(); }
  DescriptorShortage(const DescriptorShortage&) = delete;
  DescriptorShortage& operator=(const DescriptorShortage&) = delete;
  void end() { setrlimit(RLIMIT_NOFILE, &before_); }

 private:
  rlimit before_{};
};

// A client for which there is no descriptor waits in the backlog and is served later. Other clients are not
// affected.
TEST_CASE("a shortage of descriptors delays new clients and affects no others", "[platform]") {
  Fixture fixture(healthy_reader, healthy_writer);
  auto first_client = fixture.platform_client();
  first_client->get("/healthz");
  REQUIRE(fixture.until([&] { return first_client->is_complete; }));
  std::vector<std::unique_ptr<FakeClient>> new_clients;
  DescriptorShortage shortage(6);
  for (int i = 0; i < 12; ++i) {
    new_clients.push_back(fixture.platform_client());
    new_clients.back()->get("/healthz");
  }
  fixture.advance(milliseconds(100));
  const auto served = [&] {
    return std::count_if(new_clients.begin(), new_clients.end(),
                         [](const auto& client) { return client->is_complete; });
  };
  const auto served_in_shortage = served();
  shortage.end();
  CHECK(served_in_shortage < 12);
  fixture.advance(milliseconds(100));
  // Removes the clients that got no socket of their own.
  std::erase_if(new_clients, [](const auto& client) { return client->is_closed && !client->is_complete; });
  CHECK(fixture.until([&] { return served() == static_cast<std::ptrdiff_t>(new_clients.size()); }));
  first_client->is_complete = false;
  first_client->post(platform_headers("a1", "command"), kPlatformBody);
  REQUIRE(fixture.until([&] { return first_client->is_finished(); }));
  CHECK(first_client->status == 200);
}

// No client can be evicted, because the only one is owed its answer.
TEST_CASE("accepting does not busy-loop during a shortage of descriptors", "[platform]") {
  Fixture fixture(healthy_reader, silent_endpoint);
  auto first_client = fixture.post("a1", "command");
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kWriter) == 1; }));
  fixture.settle();
  std::vector<std::unique_ptr<FakeClient>> new_clients;
  for (int i = 0; i < 3; ++i) {
    new_clients.push_back(fixture.platform_client());
    new_clients.back()->get("/healthz");
  }
  std::size_t handlers = 0;
  const auto count_handlers = [&](int turns) {
    for (int turn = 0; turn < turns; ++turn) {
      fixture.io.restart();
      handlers += fixture.io.poll_one();
    }
  };
  DescriptorShortage shortage(0);
  constexpr int kTurns = 2000;
  count_handlers(kTurns);  // the clock does not advance
  CHECK(handlers <= 20);   // each of the three clients connects, writes and waits, and one accept fails
  handlers = 0;
  constexpr int kRetries = 50;
  for (int retry = 0; retry < kRetries; ++retry) {
    fixture.now += milliseconds(20);
    fixture.timers.run(fixture.now);
    count_handlers(kTurns / kRetries);
  }
  CHECK(handlers <= kRetries + 20);
  shortage.end();
  fixture.advance(milliseconds(40));
  CHECK(fixture.until([&] {
    return std::ranges::all_of(new_clients, [](const auto& client) { return client->is_complete; });
  }));
}
#endif

}  // namespace
}  // namespace dispatcher::testing
