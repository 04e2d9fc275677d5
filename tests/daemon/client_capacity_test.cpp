// Tests for how a process divides the connections that its descriptors allow between its frontends, and
// between two processes during a hot restart. The platform's clients hold up to a third of the descriptors
// with requests; each of these requests must be answered.
#include "tests/fixtures/child_process.hpp"
#include "tests/fixtures/hot_restart_processes.hpp"
#include "tests/hot_restart/raw_socket.hpp"

namespace dispatcher::testing {
namespace {

constexpr std::size_t kDescriptors = 256;
constexpr std::size_t kMaxRequests = kDescriptors / 3;

// A writer's behavior: the stream stays open after its first event.
void begin_stream(FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
  endpoint.stream_words(client, {"one"}, StreamEnd::kOpen);
}

struct CapacityFixture : HotRestartProcesses {
  CapacityFixture() : HotRestartProcesses(healthy_reader, begin_stream) {
    config.max_descriptors = kDescriptors;
    for (auto& kind : config.settings.kinds) kind.memory_tokens = 1e9;
  }
  void turn_chat_on() {
    files.chat = {"chat.json", R"({"listen":"127.0.0.1:)" + std::to_string(chat_port) +
                                   R"(","account":"acme","models":[{"id":"ask","class":"ask"}]})"};
  }
  std::unique_ptr<FakeClient> chat() {
    auto poster = client({boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(chat_port)});
    poster->post("", chat_body("ask", ResponseMode::kStream));
    return poster;
  }
  // Sends requests one after the other and keeps their clients.
  void post_many(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      clients.push_back(post("c" + std::to_string(1000 + clients.size())));
      run_for(milliseconds(10));
    }
  }
  // Returns the number of clients to which nothing was sent.
  [[nodiscard]] std::size_t unanswered() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(clients, [](const auto& waiting) { return waiting->status == 0; }));
  }
  [[nodiscard]] std::size_t served() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(clients, [](const auto& answered) { return answered->status == 200; }));
  }

  int chat_port = free_port();
  std::vector<std::unique_ptr<FakeClient>> clients;
};

// Guards against requests that wait unread because half of the connections are kept for a frontend that
// nobody uses.
TEST_CASE("a frontend may use the connections that the other one does not use", "[app][capacity]") {
  CapacityFixture fixture;
  fixture.turn_chat_on();
  fixture.start();
  fixture.post_many(kMaxRequests);
  fixture.run_for(seconds(1));
  CHECK(fixture.served() == kMaxRequests);
}

// Guards against requests that wait unread once the other frontend has taken all connections.
TEST_CASE("each request is answered however many clients the other frontend has", "[app][capacity]") {
  CapacityFixture fixture;
  fixture.turn_chat_on();
  fixture.start();
  std::vector<std::unique_ptr<FakeClient>> chat_clients;
  for (std::size_t i = 0; i < kDescriptors / 2; ++i) {
    chat_clients.push_back(fixture.chat());
    fixture.run_for(milliseconds(10));
  }
  constexpr std::size_t kRequests = 40;
  fixture.post_many(kRequests);
  fixture.run_for(seconds(1));
  CHECK(fixture.unanswered() == 0);
  CHECK(fixture.served() > 0);  // a part of the connections is reserved for each frontend
  for (const auto& chat_client : chat_clients) CHECK(chat_client->status != 0);
}

// Guards against requests that wait unread while a successor has connected that does not serve.
TEST_CASE("a process that is about to be replaced uses all connections until its successor serves",
          "[app][capacity][upgrade]") {
  CapacityFixture fixture;
  fixture.start();
  const RawSocket successor = RawSocket::connect(fixture.folder / "bitternferry-n1.sock");
  REQUIRE(fixture.until([&] { return fixture.processes[0]->logged("upgrade: another process"); }));
  fixture.post_many(kMaxRequests);
  fixture.run_for(seconds(1));
  CHECK(fixture.served() == kMaxRequests);
}

// Guards against requests that wait unread at a successor whose connections are all used by the streams that
// it has taken over, while its predecessor stays for a stream that is not handed over.
TEST_CASE("a successor may use the connections that its draining predecessor does not use",
          "[app][capacity][upgrade]") {
  CapacityFixture fixture;
  fixture.turn_chat_on();
  DispatcherProcess& old = fixture.start();
  const auto chat_client = fixture.chat();
  constexpr std::size_t kStreams = kMaxRequests * 2 / 3;
  fixture.post_many(kStreams);
  fixture.start();
  HotRestartProcesses::terminate(old);
  fixture.run_for(milliseconds(500));
  fixture.post_many(kMaxRequests - kStreams - 1);
  fixture.run_for(seconds(1));
  REQUIRE_FALSE(old.has_ended());  // the chat client's stream stays
  CHECK(fixture.served() == kMaxRequests - 1);
}

}  // namespace
}  // namespace dispatcher::testing
