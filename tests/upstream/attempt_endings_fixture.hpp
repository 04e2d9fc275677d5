// Shared by the tests of how attempts end: a dispatcher that gets its requests directly from the test, and a
// peer on a raw socket.
#ifndef DISPATCHER_TESTS_UPSTREAM_ATTEMPT_ENDINGS_FIXTURE_HPP_
#define DISPATCHER_TESTS_UPSTREAM_ATTEMPT_ENDINGS_FIXTURE_HPP_

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {

using ReceivedRequest = FakeEndpoint::ReceivedRequest;

// The behavior of an endpoint that rejects every request for lack of capacity, before any of it has run.
inline void reject_as_full(FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
  endpoint.reject_unprocessed(client, 503);
}

class RawSocketPeer;

// A dispatcher that gets its requests directly from the test, so that nothing runs between two steps of the
// test.
struct DirectFixture : Fixture, private engine::ResponseSink {
  DirectFixture(const Behavior& reader_behavior, const Behavior& writer_behavior)
      : Fixture(reader_behavior, writer_behavior) {}
  SlotId submit(const std::string& id, const std::string& request_class = "ask", std::size_t size = 40) {
    auto message = std::make_shared<engine::UpstreamRequest>();
    *message = {id, "POST", "/v1/chat/completions", "Content-Type: application/json\r\n",
                std::string(size, 'x')};
    routing::Request request;
    request.id = id;
    request.request_class = request_class;
    request.prompt_tokens = 1000;
    request.client_deadline = now + seconds(request_class == "ask" ? 6 : 3);
    return engine.submit(*this, {1, 1}, request, std::move(message));
  }
  void use_settings(const routing::Settings& changed) {
    engine.apply_settings(std::make_shared<const routing::Settings>(changed));
  }
  void send_writes_to(const RawSocketPeer& peer);  // at the address of both writers
  // Answers the reads that are pending at the readers.
  void complete_reads() {
    for (const std::size_t index : {0U, 1U})
      for (const SlotId client : reader(index).pending_clients) reader(index).respond(client, 202, "{}");
  }
  [[nodiscard]] int posts() const {
    return request_count("POST", Role::kReader) + request_count("POST", Role::kWriter);
  }
  [[nodiscard]] int releases() const {
    return request_count("DELETE", Role::kReader) + request_count("DELETE", Role::kWriter);
  }
  [[nodiscard]] int count(const std::string& word) const {
    return static_cast<int>(std::count(calls.begin(), calls.end(), word));
  }
  void start_stream(SlotId) override { calls.emplace_back("begin"); }
  bool write_events(SlotId, std::string_view events) override {
    body += events;
    return true;
  }
  void finish_stream(SlotId) override { calls.emplace_back("finish"); }
  void abort_stream(SlotId) override { calls.emplace_back("cut"); }
  void reject(SlotId, std::optional<engine::Duration>) override { calls.emplace_back("refuse"); }
  void fail(SlotId, engine::Failure) override { calls.emplace_back("fail"); }
  bool is_client_connected(SlotId) override { return client_connected; }
  bool client_connected = true;
  std::vector<std::string> calls;
  std::string body;
};

// A peer on a raw socket that reads, writes and closes its connections as the test says. Its segments are
// short, so that a long request does not fit into the kernel's buffers.
class RawSocketPeer {
 public:
  explicit RawSocketPeer(TestEventLoop& loop) : loop_(loop), acceptor_(loop.io) {
    acceptor_.open(net::tcp::v4());
    const int segment_bytes = 536;
    const int receive_buffer = 4096;
    ::setsockopt(acceptor_.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
    ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    acceptor_.bind(loopback());
    acceptor_.listen();
    acceptor_.non_blocking(true);
  }
  [[nodiscard]] net::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  bool accepted() {
    net::tcp::socket socket(loop_.io);
    net::error_code error;
    acceptor_.accept(socket, error);
    if (error) return !sockets_.empty();
    socket.non_blocking(true);
    sockets_.push_back(std::move(socket));
    return true;
  }
  std::string read() {
    std::string all;
    std::array<char, 4096> part{};
    for (auto& socket : sockets_) {
      net::error_code error;
      while (socket.is_open()) {
        const std::size_t size = socket.read_some(boost::asio::buffer(part), error);
        if (size == 0) break;
        all.append(part.data(), size);
      }
    }
    return all;
  }
  void write(std::string_view bytes) {
    sockets_.back().write_some(boost::asio::buffer(bytes.data(), bytes.size()));
  }
  void close() { sockets_.back().close(); }
  void reset() {
    if (!sockets_.back().is_open()) return;
    sockets_.back().set_option(boost::asio::socket_base::linger(true, 0));
    sockets_.back().close();
  }

 private:
  TestEventLoop& loop_;
  net::tcp::acceptor acceptor_;
  std::vector<net::tcp::socket> sockets_;
};

inline void DirectFixture::send_writes_to(const RawSocketPeer& peer) {
  pool.update_endpoints({{"w1", peer.address(), true}, {"w2", peer.address(), true}},
                        upstream::ListScope::kChanges);
}
}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_UPSTREAM_ATTEMPT_ENDINGS_FIXTURE_HPP_
