// Ends of clients' connections: every answer that is owed at the end is sent, and nothing else is done. Each
// case forces one of the races that docs/design/endings.md lists.
#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>
#include <string>

#include "net/ring_buffer.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

// A server that holds its requests until the test answers them.
struct HoldingServer : private http::Server::Handler {
  explicit HoldingServer(TestEventLoop& loop, const http::ServerOptions& options = {})
      : server(loop.io, loopback(), *this, loop.timers, loop.clock(), options, {}) {
    server.open();
  }
  http::Server server;
  std::vector<std::pair<SlotId, std::string>> received;  // the requests' clients and targets
  std::vector<engine::Time> arrivals;                    // the requests' arrival times
  std::vector<SlotId> disconnected;
  bool has_capacity = false;     // whether a stream that had to wait may continue
  bool answers_at_once = false;  // whether each request is answered from inside on_request()

 private:
  void on_request(SlotId client, http::Server::Request& request, engine::Time arrival) override {
    received.emplace_back(client, std::string(request.target()));
    arrivals.push_back(arrival);
    if (answers_at_once) server.respond(client, 200, "text/plain", "ok");
  }
  void on_disconnected(SlotId client) override { disconnected.push_back(client); }
  void on_writable(SlotId) override { has_capacity = true; }
  std::string error_body(int, std::string_view) override { return "{}"; }
};

std::string get(const std::string& target, std::size_t padding = 0) {
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\nX-Pad: " + std::string(padding, 'p') + "\r\n\r\n";
}

// ---- buffers with an operation in progress ----

constexpr std::size_t kRingBytes = std::size_t{64} * 1024;

// Completes a read that receives as much of the text as fits. Returns the rest.
std::string fill(net::RingBuffer& ring, const std::string& text) {
  const auto space = ring.prepare();
  std::string remaining = text;
  for (const auto& piece : space) {
    const std::size_t size = std::min(remaining.size(), piece.size());
    std::copy_n(remaining.data(), size, static_cast<char*>(piece.data()));
    remaining.erase(0, size);
  }
  ring.commit(text.size() - remaining.size());
  return remaining;
}

TEST_CASE("a ring buffer's prepared space stays valid while earlier bytes are consumed", "[endings]") {
  net::RingBuffer ring(kRingBytes);
  const std::size_t size = GENERATE(std::size_t{100}, std::size_t{6000});
  for (std::string remaining(size, 'a'); !remaining.empty();) remaining = fill(ring, remaining);
  const auto space = ring.prepare();  // a read is in progress
  ring.consume(size);                 // all earlier bytes are consumed during the read
  REQUIRE(space[0].size() >= 2);
  std::copy_n("bc", 2, static_cast<char*>(space[0].data()));
  ring.commit(2);
  CHECK(ring.text() == "bc");
  ring.consume(2);
  CHECK(ring.empty());
  CHECK(ring.append("d"));
  CHECK(ring.text() == "d");
}

TEST_CASE("bytes of a ring buffer that are being written stay in place while more are queued", "[endings]") {
  net::RingBuffer ring(kRingBytes);
  ring.append(std::string(4000, 'a'));
  const auto held = ring.storage();
  const auto piece = ring.data()[0];  // a write from this piece is in progress
  ring.append(std::string(30000, 'b'));
  CHECK(std::string(static_cast<const char*>(piece.data()), piece.size()) == std::string(4000, 'a'));
  ring.consume(4000);
  CHECK(ring.text() == std::string(30000, 'b'));
}

// Guards against a crash (a copy from a null pointer in Server) when a client sends several requests at once.
// The second one was consumed from the event loop while the next read into the input buffer was in progress,
// and the emptied buffer freed its storage or reset its start.
TEST_CASE("pipelined requests and a later one are each delivered once, in order", "[endings]") {
  TestEventLoop loop;
  HoldingServer holder(loop);
  holder.answers_at_once = true;
  const std::size_t padding = GENERATE(std::size_t{0}, std::size_t{5000});
  FakeClient client(loop, holder.server.local());
  client.send(get("/a", padding) + get("/b", padding));
  REQUIRE(loop.until([&] { return holder.received.size() == 2; }));
  loop.settle();
  client.send(get("/c", padding));
  loop.until([&] { return holder.received.size() >= 3; });
  loop.settle();
  REQUIRE(holder.received.size() == 3);
  CHECK(holder.received[0].second == "/a");
  CHECK(holder.received[1].second == "/b");
  CHECK(holder.received[2].second == "/c");
}

// Otherwise its time would begin only after the answers to the earlier requests.
TEST_CASE("a pipelined request arrives with its own first byte, not with the answer before it", "[endings]") {
  TestEventLoop loop;
  HoldingServer holder(loop);
  FakeClient client(loop, holder.server.local());
  const engine::Time start = loop.now;
  for (const std::string target : {"/a", "/b", "/c", "/d"}) {
    client.send(get(target, 3000));
    loop.settle();
    loop.now += milliseconds(target == "/b" ? 5 : 300);  // /b and /c count as having arrived together
  }
  for (std::size_t answered = 0; answered < 4; ++answered) {
    REQUIRE(loop.until([&] { return holder.received.size() == answered + 1; }));
    loop.now += milliseconds(300);
    holder.server.respond(holder.received.back().first, 200, "text/plain", "ok");
  }
  const engine::Time of_b = start + milliseconds(300);
  CHECK(holder.arrivals == std::vector<engine::Time>{start, of_b, of_b, of_b + milliseconds(305)});
}

// Between the answer to the first request and the timer that starts the second one, the connection has no
// current request but is not idle.
TEST_CASE("a connection with a pipelined request is not closed as idle", "[endings]") {
  TestEventLoop loop;
  HoldingServer holder(loop);
  holder.answers_at_once = true;
  FakeClient client(loop, holder.server.local());
  client.send(get("/a") + get("/b"));
  for (int turn = 0; turn < 1000 && holder.received.empty(); ++turn) {
    loop.io.restart();
    loop.io.run_one_for(milliseconds(1));  // without timers, /b is not started
  }
  REQUIRE(holder.received.size() == 1);
  const bool is_draining = GENERATE(true, false);
  if (is_draining) {
    holder.server.drain();
    holder.server.stop_accepting();
    holder.server.close_idle();
  } else {
    FakeClient newcomer(loop, holder.server.local());
    loop.settle();
    REQUIRE(holder.server.client_count() == 2);
    holder.server.capacity().set_limits(http::ClientLimits::of(1, http::ServerOptions{}.max_body_bytes));
  }
  CHECK(loop.until([&] { return client.body == "okok"; }));
}

TEST_CASE("a client that reads slowly gets every byte of its stream as it was written", "[endings]") {
  TestEventLoop loop;
  http::ServerOptions options;
  options.linger_timeout = milliseconds(100);
  HoldingServer holder(loop, options);
  FakeClient client(loop, holder.server.local());
  client.pause_reading();
  client.send("GET /stream HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  REQUIRE(loop.until([&] { return !holder.received.empty(); }));
  const SlotId id = holder.received[0].first;
  holder.server.begin_stream(id);
  std::string all;
  for (holder.has_capacity = true;
       holder.has_capacity && all.size() < 60'000'000;) {  // until the kernel's buffers are full
    const std::string event = "data: " + std::to_string(all.size()) + std::string(3000, 'e');
    all += event;
    holder.has_capacity = holder.server.write_events(id, event);
    if (!holder.has_capacity) loop.settle();
  }
  REQUIRE_FALSE(holder.has_capacity);
  for (int i = 0; i < 40; ++i) {
    all += std::string(3000, static_cast<char>('A' + i % 26));
    holder.server.write_events(id, std::string(3000, static_cast<char>('A' + i % 26)));
  }
  holder.server.end_response(id);
  loop.advance(milliseconds(400));  // longer than a lingering close takes after the last byte is sent
  client.resume_reading();
  REQUIRE(loop.until([&] { return client.is_finished(); }));
  CHECK(client.is_complete);
  CHECK(client.body == all);
}

// ---- a request that arrives during a close ----

// A client with a blocking socket outside the event loop. What it sends has arrived at the server's socket
// and stays unread until the test runs the event loop.
struct BlockingClient {
  explicit BlockingClient(const net::tcp::endpoint& to) { socket.connect(to); }
  void send(const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text)); }
  // Returns all bytes until the end of the connection, and sets `end` to the error code of that end.
  std::string read_to_end(TestEventLoop& loop, net::error_code& end) {
    socket.non_blocking(true);
    std::string all;
    loop.until([&] {
      std::array<char, 4096> piece;
      const std::size_t size = socket.read_some(boost::asio::buffer(piece), end);
      all.append(piece.data(), size);
      return end && end != boost::asio::error::would_block;
    });
    return all;
  }
  boost::asio::io_context io;
  net::tcp::socket socket{io};
};

TEST_CASE("a request that arrives as the idle timeout expires is not delivered and resets no response",
          "[endings]") {
  TestEventLoop loop;
  http::ServerOptions options;
  options.idle_timeout = milliseconds(300);
  HoldingServer holder(loop, options);
  holder.answers_at_once = true;
  BlockingClient client(holder.server.local());
  client.send(get("/a"));
  REQUIRE(loop.until([&] { return holder.received.size() == 1; }));
  loop.settle();
  client.send(get("/b"));  // it has arrived and is unread when the timeout expires
  loop.now += milliseconds(301);
  loop.timers.run(loop.now);
  net::error_code end;
  const std::string answers = client.read_to_end(loop, end);
  CHECK(end == boost::asio::error::eof);
  CHECK(answers.ends_with("ok"));
  CHECK(holder.received.size() == 1);
  client.socket.close();
  CHECK(loop.until([&] { return holder.server.client_count() == 0; }));
}

TEST_CASE("during a drain a request that has arrived is answered before its connection is closed",
          "[endings]") {
  TestEventLoop loop;
  HoldingServer holder(loop);
  holder.answers_at_once = true;
  BlockingClient client(holder.server.local());
  client.send(get("/a"));
  REQUIRE(loop.until([&] { return holder.received.size() == 1; }));
  loop.settle();
  const bool sent_before = GENERATE(true, false);
  if (sent_before) client.send(get("/b"));  // it has arrived and is unread
  holder.server.drain();
  holder.server.stop_accepting();
  holder.server.close_idle();
  if (!sent_before) client.send(get("/b"));  // after the half-close
  net::error_code end;
  const std::string answers = client.read_to_end(loop, end);
  CHECK(end == boost::asio::error::eof);
  CHECK(answers.ends_with("ok"));
  CHECK(holder.received.size() == (sent_before ? 2U : 1U));
}

TEST_CASE("near the client limit an idle connection gets a lingering close", "[endings]") {
  TestEventLoop loop;
  http::ServerOptions options;
  options.max_clients = 16;
  HoldingServer holder(loop, options);
  holder.answers_at_once = true;
  std::vector<std::unique_ptr<FakeClient>> clients;
  for (int i = 0; i < 15; ++i) {
    clients.push_back(std::make_unique<FakeClient>(loop, holder.server.local()));
    clients.back()->send(get("/" + std::to_string(i)));
    REQUIRE(loop.until([&] { return clients.back()->is_complete; }));
    loop.advance(milliseconds(20));
  }
  REQUIRE(loop.until([&] { return clients[0]->is_closed; }));
  CHECK(clients[0]->close_error == boost::asio::error::eof);
  CHECK_FALSE(clients[14]->is_closed);
  const std::size_t received = holder.received.size();
  clients[0]->send(get("/late"));
  loop.settle();
  CHECK(holder.received.size() == received);
}

// The kernel has accepted these connections, and closing the listening socket would reset them.
TEST_CASE("connections in the backlog are served when accepting stops", "[endings]") {
  TestEventLoop loop;
  HoldingServer holder(loop);
  BlockingClient first(holder.server.local()), second(holder.server.local());
  first.send(get("/a"));
  second.send(get("/b"));
  holder.server.drain();
  holder.server.stop_accepting();
  holder.server.close_idle();
  CHECK(loop.until([&] { return holder.received.size() == 2; }));
}

TEST_CASE("a client that is still sending receives its error response completely", "[endings]") {
  TestEventLoop loop;
  HoldingServer holder(loop);
  FakeClient client(loop, holder.server.local());
  client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000000\r\n\r\n" + std::string(200000, 'x'));
  REQUIRE(loop.until([&] { return client.is_finished(); }));
  CHECK(client.status == 413);
  CHECK(client.is_complete);
  loop.settle();
  CHECK(holder.received.empty());
}

// ---- disconnects by the client ----

TEST_CASE("a client's disconnect is detected behind unread input", "[endings]") {
  TestEventLoop loop;
  HoldingServer holder(loop);
  FakeClient client(loop, holder.server.local());
  client.send(get("/a"));
  REQUIRE(loop.until([&] { return holder.received.size() == 1; }));
  REQUIRE(holder.server.is_connected(holder.received[0].first));
  const std::size_t more = GENERATE(std::size_t{0}, std::size_t{100}, std::size_t{150000});
  client.send(std::string(more, 'x'));
  SECTION("by an orderly shutdown") { client.half_close(); }
  SECTION("by a reset") {
    loop.settle();
    client.reset();
  }
  CHECK(loop.until([&] { return holder.disconnected.size() == 1; }));
  CHECK_FALSE(holder.server.is_connected(holder.received[0].first));
}

TEST_CASE("a client that sends too much input while its response is pending is disconnected", "[endings]") {
  TestEventLoop loop;
  HoldingServer holder(loop);
  FakeClient client(loop, holder.server.local());
  client.send(get("/a") + std::string(900000, 'x'));
  CHECK(loop.until([&] { return holder.disconnected.size() == 1; }));
  CHECK(holder.server.client_count() == 0);
}

TEST_CASE("the response to a request with excess bytes is complete and is its connection's last",
          "[endings]") {
  TestEventLoop loop;
  HoldingServer holder(loop);
  FakeClient client(loop, holder.server.local());
  client.send(get("/a") + std::string(100000, 'x'));
  REQUIRE(loop.until([&] { return holder.received.size() == 1; }));
  loop.settle();
  holder.server.respond(holder.received[0].first, 200, "text/plain", "ok");
  REQUIRE(loop.until([&] { return client.is_finished(); }));
  CHECK(client.body == "ok");
  CHECK(client.headers["Connection"] == "close");
  CHECK(holder.received.size() == 1);
}

}  // namespace
}  // namespace dispatcher::testing
