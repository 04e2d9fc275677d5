// Tests a process that is told to end while its own predecessor still hands streams over to it, as after two
// hot restarts in quick succession.
#include <fcntl.h>

#include "hot_restart_fixture.hpp"
#include "raw_socket.hpp"
#include "tests/fixtures/process_fixture.hpp"

namespace dispatcher::testing {
namespace {

constexpr std::string_view kLastEvent = "data: [DONE]\n\n";

// The test's end of a connection and the end that is handed over.
struct SocketPair {
  SocketPair() {
    std::array<int, 2> ends{};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, ends.data()) == 0);
    near.reset(ends[0]);
    far.reset(ends[1]);
  }
  net::UniqueFd near;
  net::UniqueFd far;
};

// A stream that the predecessor hands over before its last event.
struct HandedOverStream {
  explicit HandedOverStream(std::string request_id) : id(std::move(request_id)) {}
  // Returns whether the kernel has accepted the message. This process has no copy of the sockets then.
  [[nodiscard]] bool send(const RawSocket& predecessor) {
    const std::string message = R"({"stream":{"chunk_left":)" + std::to_string(kLastEvent.size()) +
                                R"(,"host":"w","id":")" + id + R"(","keep_alive":true,"unread":[]}})";
    if (!predecessor.try_send(message, {client.far.get(), endpoint.far.get()})) return false;
    client.far.reset();
    endpoint.far.reset();
    return true;
  }
  void finish_at_endpoint() const {
    const std::string rest = std::string(kLastEvent) + "\r\n" + std::string(http::kLastChunk);
    REQUIRE(::write(endpoint.near.get(), rest.data(), rest.size()) == static_cast<ssize_t>(rest.size()));
  }
  // Returns whether the client has received the last event and the end of the stream.
  [[nodiscard]] bool is_whole_at_client() {
    std::array<char, 4096> buffer{};
    const auto size = ::read(client.near.get(), buffer.data(), buffer.size());
    if (size > 0) received.append(buffer.data(), static_cast<std::size_t>(size));
    return received.find(kLastEvent) != std::string::npos && received.ends_with("0\r\n\r\n");
  }

  std::string id;
  SocketPair client;
  SocketPair endpoint;
  std::string received;
};

// A dispatcher that has taken over from a raw socket, which is its predecessor.
struct DrainingPredecessorFixture : ProcessFixture {
  DrainingPredecessorFixture() : ProcessFixture(healthy_reader, healthy_writer) {
    config.name = "n1";
    config.shared_directory = folder.path;
    const RawSocket listener = RawSocket::listen(folder / "bitternferry-n1.sock");
    start();
    predecessor.emplace(listener.accept());
    predecessor->send(R"({"estate":true,"listening":[]})");
    REQUIRE(until([&] { return has_entry(logs, "serving on"); }));
  }
  // Runs all event loops for a time in which a draining process without work would end.
  void run_for_a_while() {
    constexpr int kSteps = 1500;
    for (int i = 0; i < kSteps; ++i) step();
  }
  [[nodiscard]] bool has_ended() { return loop.io().stopped(); }
  void finish(HandedOverStream& stream) {
    stream.finish_at_endpoint();
    REQUIRE(until([&] { return stream.is_whole_at_client(); }));
  }

  TemporaryFolder folder;
  std::optional<RawSocket> predecessor;  // reset() ends it
};

// Guards against streams that are cut because a process ends before its predecessor has handed over its last.
TEST_CASE("a draining process waits for a predecessor that hands over its streams", "[upgrade]") {
  DrainingPredecessorFixture fixture;
  HandedOverStream first("a1");
  HandedOverStream second("a2");
  REQUIRE(first.send(*fixture.predecessor));
  fixture.dispatcher->drain();
  fixture.finish(first);
  fixture.run_for_a_while();
  REQUIRE_FALSE(fixture.has_ended());
  REQUIRE(second.send(*fixture.predecessor));
  fixture.finish(second);
  fixture.predecessor.reset();
  CHECK(fixture.ends_drained());
}

// Guards against a stream that is accepted by the kernel and never received, because its receiver ends at
// that moment.
TEST_CASE("a process that ends receives each stream that its predecessor could send, and refuses the others",
          "[upgrade]") {
  constexpr int kFirstStep = 540;  // before the process stops accepting connections and ends
  constexpr int kLastStep = 640;
  int accepted = 0;
  int refused = 0;
  for (int steps = kFirstStep; steps < kLastStep; ++steps) {
    DrainingPredecessorFixture fixture;
    HandedOverStream stream("a1");
    fixture.dispatcher->drain();
    for (int i = 0; i < steps && !fixture.has_ended(); ++i) fixture.step();
    INFO("steps before the stream: " << steps);
    if (stream.send(*fixture.predecessor)) {
      ++accepted;
      fixture.finish(stream);
      fixture.predecessor.reset();
    } else {
      ++refused;  // it stays with the predecessor
    }
    CHECK(fixture.ends_drained());
  }
  CHECK(accepted > 0);
  CHECK(refused > 0);
}

}  // namespace
}  // namespace dispatcher::testing
