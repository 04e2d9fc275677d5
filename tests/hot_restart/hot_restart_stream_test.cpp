// Tests streams during a hot restart: one process continues a response where the other stopped reading it.
#include <fcntl.h>

#include <algorithm>
#include <random>

#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

TEST_CASE("a stream that began before the drain is its connection's last response", "[upgrade][platform]") {
  Fixture fixture(healthy_reader,
                  [](FakeEndpoint& replica, SlotId client, const FakeEndpoint::ReceivedRequest&) {
                    replica.stream_words(client, {"half"}, StreamEnd::kOpen);
                  });
  auto client = fixture.post("a1", "ask");
  REQUIRE(fixture.until([&] { return !client->body.empty(); }));
  fixture.platform.server().drain();
  auto& writer = fixture.writer(0).pending_clients.empty() ? fixture.writer(1) : fixture.writer(0);
  writer.server.write_events(writer.pending_clients.back(), "data: [DONE]\n\n");
  writer.server.end_response(writer.pending_clients.back());
  REQUIRE(fixture.until([&] { return client->is_closed; }));
  CHECK(client->is_complete);
}

TEST_CASE("a chunked response that is interrupted at any byte is continued by another ResponseReader",
          "[upgrade]") {
  std::mt19937 random(23);
  std::string body;
  std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::size_t head = bytes.size();
  for (int i = 0; i < 12; ++i) {
    const std::string piece(1 + random() % 40, static_cast<char>('a' + i));
    body += piece;
    bytes += http::chunk(piece);
  }
  bytes += http::kLastChunk;
  for (std::size_t cut = head + 10; cut < bytes.size(); ++cut) {
    net::RingBuffer first(1U << 16U);
    net::RingBuffer second(1U << 16U);
    http::ResponseReader first_reader(std::nullopt);
    http::ResponseReader second_reader(std::nullopt);
    std::string received;
    for (std::size_t at = 0; at < cut;) {  // in pieces of random size
      const std::size_t size = std::min<std::size_t>(cut - at, 1 + random() % 30);
      first.append(std::string_view(bytes).substr(at, size));
      at += size;
      first_reader.read(first);
      if (random() % 2 == 0) received += first_reader.take_body();
    }
    received += first_reader.take_body();
    if (first_reader.read(first) == http::ReadStatus::kComplete) break;
    second_reader.resume_chunked(first_reader.chunk_bytes_left(), http::Persistence::kKeepAlive);
    second.append(first.text());
    second.append(std::string_view(bytes).substr(cut));
    INFO(cut);
    CHECK(second_reader.read(second) == http::ReadStatus::kComplete);
    CHECK(received + second_reader.take_body() == body);
    CHECK(second_reader.keep_alive());
  }
}

// Stops reading at both ends of the stream. Returns whether both are ready to be handed over.
bool suspend_both_ends(Fixture& fixture, const engine::RunningStream& stream) {
  const bool is_client_suspended = fixture.platform.server().suspend_reading(stream.client);
  return fixture.pool.suspend_stream({stream.request, stream.attempt}) && is_client_suspended;
}

// A writer's behavior: the stream stays open after its first event.
void begin_stream(FakeEndpoint& replica, SlotId client, const ReceivedRequest&) {
  replica.stream_words(client, {"one"}, StreamEnd::kOpen);
}

net::UniqueFd duplicate(int socket) { return net::UniqueFd(::fcntl(socket, F_DUPFD_CLOEXEC, 0)); }

// Hands the suspended stream "a1" over to the same fixture, as to another process: its sockets and the rest
// of its current chunk.
void hand_over(Fixture& fixture, const engine::RunningStream& stream) {
  const engine::AttemptId attempt{stream.request, stream.attempt};
  const upstream::SuspendedStream replica = fixture.pool.suspended_stream(attempt);
  net::UniqueFd replica_socket = duplicate(replica.socket);
  net::UniqueFd client_socket = duplicate(fixture.platform.server().client_socket(stream.client));
  fixture.pool.detach_stream(attempt);
  fixture.platform.server().detach(stream.client);
  fixture.platform.forget_detached_stream(stream.client);
  fixture.engine.release_stream(stream.request);
  CHECK(fixture.engine.open_request_count() == 0);
  CHECK(fixture.platform.server().client_count() == 0);
  CHECK(fixture.pool.open_connections() == 1);  // the reader's, idle
  const SlotId request = fixture.platform.adopt_stream(std::move(client_socket),
                                                       {"a1", replica.state.endpoint, stream.silent_since});
  fixture.pool.adopt_stream({request, 0}, std::move(replica_socket), replica.state);
}

TEST_CASE("a running stream is handed over without any effect on its client or its endpoint", "[upgrade]") {
  Fixture fixture(healthy_reader, begin_stream);
  auto client = fixture.post("a1", "command");
  REQUIRE(fixture.until([&] { return client->body.find("one") != std::string::npos; }));
  fixture.settle();
  const auto streams = fixture.engine.running_streams(fixture.platform.response_sink());
  REQUIRE(streams.size() == 1);
  const engine::AttemptId attempt{streams[0].request, streams[0].attempt};
  REQUIRE(fixture.until([&] { return suspend_both_ends(fixture, streams[0]); }));
  auto& writer = fixture.writer(0).pending_clients.empty() ? fixture.writer(1) : fixture.writer(0);
  // A suspended stream that isn't handed over is resumed, even while its reads are still being cancelled.
  for (int twice = 0; twice < 2; ++twice) {
    fixture.platform.server().resume_reading(streams[0].client);
    fixture.pool.resume_stream(attempt);
    suspend_both_ends(fixture, streams[0]);
  }
  fixture.platform.server().resume_reading(streams[0].client);
  fixture.pool.resume_stream(attempt);
  fixture.settle();
  REQUIRE(fixture.engine.open_request_count() == 1);
  REQUIRE(fixture.until([&] { return suspend_both_ends(fixture, streams[0]); }));
  writer.server.write_events(writer.pending_clients.back(), "data: two\n\n");  // while neither process reads
  hand_over(fixture, streams[0]);
  REQUIRE(fixture.until([&] { return client->body.find("two") != std::string::npos; }));
  CHECK(fixture.engine.is_in_progress("a1"));
  writer.server.write_events(writer.pending_clients.back(), "data: [DONE]\n\n");
  writer.server.end_response(writer.pending_clients.back());
  REQUIRE(fixture.until([&] { return client->is_finished(); }));
  CHECK(client->is_complete);
  CHECK(writer.disconnected_clients.empty());
  CHECK(fixture.engine.open_request_count() == 0);
  // The client's connection stays open, and the endpoint's connection is pooled for the next request.
  client->is_complete = false;
  client->get("/healthz");
  CHECK(fixture.until([&] { return client->is_complete; }));
  CHECK(fixture.pool.open_connections() == 2);
}

TEST_CASE("a stream that breaks after its hand-over ends without the last chunk", "[upgrade]") {
  Fixture fixture(healthy_reader, begin_stream);
  auto client = fixture.post("a1", "ask");
  REQUIRE(fixture.until([&] { return client->body.find("one") != std::string::npos; }));
  fixture.settle();
  const auto stream = fixture.engine.running_streams(fixture.platform.response_sink()).at(0);
  REQUIRE(fixture.until([&] { return suspend_both_ends(fixture, stream); }));
  hand_over(fixture, stream);
  auto& writer = fixture.writer(0).pending_clients.empty() ? fixture.writer(1) : fixture.writer(0);
  writer.server.abort(writer.pending_clients.back());
  REQUIRE(fixture.until([&] { return client->is_finished(); }));
  CHECK(client->is_closed);
  CHECK_FALSE(client->is_complete);
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
}

}  // namespace
}  // namespace dispatcher::testing
