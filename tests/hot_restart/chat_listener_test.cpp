// Tests that a socket which listens at the chat address always has a process that accepts from it, also while
// processes are replaced and the active router of a VRRP group changes.
#include <sys/socket.h>

#include "raw_socket.hpp"
#include "tests/fixtures/child_process.hpp"
#include "tests/fixtures/hot_restart_processes.hpp"
#include "vrrp/packet.hpp"

namespace dispatcher::testing {
namespace {

namespace ip = boost::asio::ip;

constexpr std::uint8_t kPriority = 100;        // of the dispatcher's router
constexpr std::uint8_t kHigherPriority = 200;  // of the other router of the group
constexpr std::uint16_t kIntervalCs = 100;     // time between two advertisements in centiseconds
// Longer than a router waits for an advertisement before it becomes active.
constexpr engine::Duration kDownInterval = seconds(4);

std::string port_text(int port) { return std::to_string(port); }

// A dispatcher whose chat frontend has a fixed address. It is a router of a VRRP group if the test says so;
// the test plays the other router.
struct ChatListenerFixture : HotRestartProcesses {
  ChatListenerFixture() : HotRestartProcesses(healthy_reader, healthy_writer) { configure_chat(); }
  void configure_chat() {
    files.chat = {"chat.json", R"({"listen":"127.0.0.1:)" + port_text(chat_port) +
                                   R"(","account":"acme","models":[{"id":"ask","class":"ask"}]})"};
  }
  void join_vrrp_group() {
    files.vrrp = {"vrrp.json", R"({"listen":"127.0.0.1:)" + port_text(vrrp_port) +
                                   R"(","addresses":["127.0.0.1"],"priority":)" + std::to_string(kPriority) +
                                   R"(,"interval_cs":)" + std::to_string(kIntervalCs) +
                                   R"(,"peers":["127.0.0.1:)" +
                                   port_text(other_router.local_endpoint().port()) + "\"]}"};
  }
  // Starts the dispatcher as the active router.
  DispatcherProcess& start_active() {
    join_vrrp_group();
    DispatcherProcess& process = start();
    REQUIRE(until([&] { return process.logged("chat front on"); }));
    return process;
  }
  // Sends advertisements of the other router for a time.
  void advertise_for(std::uint8_t priority, engine::Duration time) {
    const auto packet = vrrp::encode({1, priority, kIntervalCs, {{127, 0, 0, 1}}});
    const ip::udp::endpoint router(ip::address_v4::loopback(), static_cast<unsigned short>(vrrp_port));
    const engine::Time end = environment.now + time;
    while (environment.now < end) {
      other_router.send_to(boost::asio::buffer(packet), router);
      run_for(milliseconds(500));
    }
  }
  [[nodiscard]] net::tcp::endpoint chat_address() const {
    return {ip::address_v4::loopback(), static_cast<unsigned short>(chat_port)};
  }
  // Returns whether nothing listens at the chat address: a client's connection is refused.
  [[nodiscard]] bool has_no_listener() {
    net::tcp::socket socket(environment.io);
    boost::system::error_code error;
    socket.connect(chat_address(), error);
    return error == boost::asio::error::connection_refused;
  }
  // Returns whether each of several clients that connect to the chat address gets an answer.
  [[nodiscard]] bool answers_all() {
    constexpr int kClients = 8;
    std::vector<std::unique_ptr<FakeClient>> chat_clients;
    for (int i = 0; i < kClients; ++i) {
      chat_clients.push_back(client(chat_address()));
      chat_clients.back()->post("", chat_body("ask", ResponseMode::kCompletion));
    }
    run_for(seconds(1));
    return std::ranges::all_of(chat_clients,
                               [](const auto& chat_client) { return chat_client->status == 200; });
  }
  void end(DispatcherProcess& process) {
    terminate(process);
    REQUIRE(until([&] { return process.has_ended(); }));
    kill(process);
  }

  int chat_port = free_port();
  int vrrp_port = free_port();
  ip::udp::socket other_router{environment.io, {ip::address_v4::loopback(), 0}};
};

// Guards against a listener that no process reads from: its clients connect and never get an answer.
TEST_CASE("a router that yields during a hot restart leaves no listener behind", "[upgrade][vrrp][chat]") {
  ChatListenerFixture fixture;
  DispatcherProcess& old = fixture.start_active();
  DispatcherProcess& successor = fixture.start();
  fixture.advertise_for(kHigherPriority, seconds(1));
  REQUIRE(old.logged("vrrp: backup"));
  CHECK(fixture.has_no_listener());
  fixture.end(old);
  fixture.advertise_for(kHigherPriority, kDownInterval);
  CHECK(fixture.has_no_listener());
  REQUIRE(fixture.until([&] { return successor.logged("vrrp: active"); }));
  CHECK(fixture.answers_all());
}

// Guards against the same after the active process was killed: until its successor is active, clients must be
// refused.
TEST_CASE("the successor of an active router that was killed listens only once it is active itself",
          "[upgrade][vrrp][chat]") {
  ChatListenerFixture fixture;
  DispatcherProcess& old = fixture.start_active();
  DispatcherProcess& successor = fixture.start();
  fixture.kill(old);
  fixture.run_for(milliseconds(100));
  CHECK(fixture.has_no_listener());
  REQUIRE(fixture.until([&] { return successor.logged("vrrp: active"); }));
  CHECK(fixture.answers_all());
}

// Guards against listeners that remain from an earlier time as the active router.
TEST_CASE("a router that yields and takes over again during a hot restart has one listener",
          "[upgrade][vrrp][chat]") {
  const int changes = GENERATE(1, 2, 3);
  CAPTURE(changes);
  ChatListenerFixture fixture;
  DispatcherProcess& old = fixture.start_active();
  DispatcherProcess& successor = fixture.start();
  for (int i = 0; i < changes; ++i) {
    fixture.advertise_for(kHigherPriority, seconds(1));
    CHECK(fixture.has_no_listener());
    fixture.run_for(kDownInterval);  // the other router is silent
    CHECK(fixture.answers_all());
  }
  fixture.end(old);
  REQUIRE(fixture.until([&] { return successor.logged("vrrp: active"); }));
  CHECK(fixture.answers_all());
  fixture.advertise_for(kHigherPriority, seconds(1));
  CHECK(fixture.has_no_listener());
}

TEST_CASE("the active router keeps its role through several hot restarts, and every client is answered",
          "[upgrade][vrrp][chat]") {
  ChatListenerFixture fixture;
  fixture.start_active();
  constexpr int kRestarts = 3;
  for (int i = 0; i < kRestarts; ++i) {
    DispatcherProcess& old = *fixture.processes.back();
    DispatcherProcess& successor = fixture.start();
    fixture.end(old);
    CHECK(fixture.answers_all());
    CHECK_FALSE(successor.logged("vrrp: backup"));
  }
  fixture.advertise_for(kHigherPriority, seconds(1));
  CHECK(fixture.has_no_listener());
}

// Guards against clients that are refused, or wait for an answer, between the two processes.
TEST_CASE("a client that connects while the active router is replaced is answered", "[upgrade][vrrp][chat]") {
  ChatListenerFixture fixture;
  DispatcherProcess& old = fixture.start_active();
  DispatcherProcess& successor = fixture.start();
  std::vector<std::unique_ptr<FakeClient>> clients;
  constexpr int kStepsBefore = 5;
  constexpr int kSteps = 60;
  for (int i = 0; i < kSteps; ++i) {
    if (i == kStepsBefore) HotRestartProcesses::terminate(old);
    clients.push_back(fixture.client(fixture.chat_address()));
    clients.back()->post("", chat_body("ask", ResponseMode::kCompletion));
    fixture.step();
  }
  fixture.run_for(seconds(1));
  CHECK(successor.logged("vrrp: active"));
  for (const auto& client : clients) CHECK(client->status == 200);
}

// Guards against a group without an active router, because each successor of a backup waits anew for the
// advertisements of the other one.
TEST_CASE("a backup takes over in time although its process is replaced again and again",
          "[upgrade][vrrp][chat]") {
  ChatListenerFixture fixture;
  fixture.join_vrrp_group();
  fixture.clock_offset = GENERATE(seconds(0), seconds(3600), seconds(-3600));
  DispatcherProcess& first = fixture.start();
  fixture.advertise_for(kHigherPriority, seconds(2));
  REQUIRE(first.logged("vrrp: backup"));
  fixture.clock_offset = {};
  const engine::Time silent_since = fixture.environment.now;
  while (fixture.environment.now < silent_since + kDownInterval) {
    DispatcherProcess& old = *fixture.processes.back();
    fixture.start();
    fixture.end(old);
    fixture.run_for(milliseconds(700));
  }
  CHECK(fixture.answers_all());
}

// Guards against the listener of a chat frontend that the new configuration has turned off.
TEST_CASE("a successor without a chat frontend does not keep its predecessor's listener", "[upgrade][chat]") {
  ChatListenerFixture fixture;
  DispatcherProcess& old = fixture.start();
  CHECK(fixture.answers_all());
  fixture.files.chat = {};
  fixture.start();
  fixture.end(old);
  CHECK(fixture.has_no_listener());
}

// Guards against a listener that waits for a VRRP group, which this process has not joined, at a process that
// has no frontend of this group.
TEST_CASE("a successor that joins a VRRP group for the first time does not keep the listener unread",
          "[upgrade][vrrp][chat]") {
  ChatListenerFixture fixture;
  DispatcherProcess& old = fixture.start();
  CHECK(fixture.answers_all());
  fixture.join_vrrp_group();
  DispatcherProcess& successor = fixture.start();
  fixture.end(old);
  const bool is_active = successor.logged("vrrp: active");
  CHECK((is_active ? fixture.answers_all() : fixture.has_no_listener()));
  REQUIRE(fixture.until([&] { return successor.logged("vrrp: active"); }));
  CHECK(fixture.answers_all());
}

// Guards against the same with a predecessor of the previous release, which hands the listener over while it
// is still active.
TEST_CASE("the listener of an active predecessor of the previous release is not left unread",
          "[upgrade][vrrp][chat][compatibility]") {
  ChatListenerFixture fixture;
  fixture.join_vrrp_group();
  std::optional<net::tcp::acceptor> chat_listener;
  chat_listener.emplace(fixture.environment.io, fixture.chat_address());
  const RawSocket listener = RawSocket::listen(fixture.folder / "bitternferry-n1.sock");
  net::tcp::acceptor platform_listener(fixture.environment.io, loopback());
  fixture.config.listen = platform_listener.local_endpoint();
  DispatcherProcess& process = fixture.launch();
  std::optional<RawSocket> predecessor(listener.accept());
  predecessor->send(R"({"estate":true,"listening":["chat","platform"]})",
                    {chat_listener->native_handle(), platform_listener.native_handle()});
  REQUIRE(fixture.until([&] { return process.logged("serving on"); }));
  chat_listener.reset();  // the predecessor yields
  CHECK(fixture.has_no_listener());
  predecessor->send(R"({"vrrp":false})");
  predecessor.reset();
  fixture.run_for(milliseconds(100));
  CHECK(fixture.has_no_listener());
  REQUIRE(fixture.until([&] { return process.logged("vrrp: active"); }));
  CHECK(fixture.answers_all());
}

}  // namespace
}  // namespace dispatcher::testing
