// Tests complete hot restarts, in which a second process of one dispatcher takes over from the first.
#include <filesystem>
#include <fstream>

#include "hot_restart_fixture.hpp"
#include "tests/fixtures/daemon_fixture.hpp"

namespace dispatcher::testing {
namespace {

namespace fs = std::filesystem;

// Two dispatchers on one event loop that represent two processes.
struct DispatcherPair {
  // `between` is called after the first dispatcher has started and before the second is created.
  explicit DispatcherPair(const std::string& chat = {}, const std::string& vrrp = {},
                          const std::string& levels = {},
                          const std::function<void(DispatcherPair&)>& between = {}) {
    config.admin_address = loopback();
    config.shared_directory = folder.path;
    config.initial_endpoints.list.entries = {make_endpoint("r1")};
    config.initial_endpoints.addresses = {{"r1", loopback(), true}};
    config.initial_endpoints.scope = upstream::ListScope::kComplete;
    daemon::FeatureFiles texts{{"chat.json", chat}, {"vrrp.json", vrrp}};
    if (!levels.empty()) texts.levels = cue::File{"levels.cue", levels};
    first.emplace(loop, config, texts, log("1 "));
    first->start();
    config.listen = first->address();
    config.initial_endpoints = {};  // the second gets the list from the first
    if (between) between(*this);
    second.emplace(loop, config, texts, log("2 "));
    second->start();
    run_until("2 serving on");
  }
  engine::Log log(const std::string& who) {
    return [this, who](std::string_view text) { logs.push_back(who + std::string(text)); };
  }
  [[nodiscard]] bool logged(const std::string& start) const { return has_entry(logs, start); }
  void run_until(const std::string& start) {
    while (!logged(start)) {
      if (loop.io().stopped()) loop.io().restart();  // the first dispatcher stopped the loop that both share
      loop.io().run_one();
    }
  }
  int call(const net::tcp::endpoint& to, const std::string& method, const std::string& path) {
    struct Caller : net::Connection::Owner {
      void on_connected(SlotId, net::error_code) override {
        connection->write(bytes);
        connection->read();
      }
      void on_data(SlotId) override {
        done = reader.read(connection->input()) == http::ReadStatus::kComplete;
      }
      void on_sent(SlotId) override {}
      void on_ended(SlotId, net::error_code) override { done = true; }
      std::shared_ptr<net::Connection> connection;
      http::ResponseReader reader{std::nullopt};
      std::string bytes;
      bool done = false;
    } caller;
    caller.bytes = method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    caller.connection = net::Connection::connect(loop.io(), to, caller, {}, 1U << 16U, 1U << 16U);
    while (!caller.done) loop.io().run_one();
    caller.connection->close();
    return static_cast<int>(caller.reader.message().result_int());
  }
  TemporaryFolder folder;
  daemon::Loop loop;
  daemon::Config config = make_daemon_config("n1");
  std::vector<std::string> logs;
  std::optional<daemon::Dispatcher> first;
  std::optional<daemon::Dispatcher> second;
};

TEST_CASE("a second process takes over the socket, endpoint list and drained endpoints, and the first ends",
          "[upgrade]") {
  DispatcherPair pair;
  CHECK(pair.logged("1 upgrade: another process takes over"));
  CHECK(pair.logged("2 upgrade: taking over"));
  CHECK(pair.second->address() == pair.first->address());
  CHECK(pair.call(pair.second->admin_address(), "GET", "/control/ready") == 200);  // it has the list with r1
  CHECK(pair.call(pair.first->admin_address(), "POST", "/control/replicas/r1/offline") == 200);
  pair.run_until("2 operators: endpoint r1 offline");
  CHECK(pair.call(pair.second->admin_address(), "POST", "/control/replicas/r1/online") == 200);
  pair.run_until("1 operators: endpoint r1 online");
  CHECK(pair.call(pair.second->admin_address(), "POST", "/control/replicas/r2/offline") == 404);
  pair.first->drain();  // ends at once, as no request is open and the second also has the socket
  pair.loop.run();
  CHECK(pair.logs.back() == "1 drained");
  pair.first.reset();
  pair.loop.io().restart();
  CHECK(pair.call(pair.second->address(), "GET", "/healthz") == 200);
  CHECK(pair.logged("2 upgrade: the predecessor has ended"));
}

TEST_CASE("a degradation level that operators pinned stays pinned in the successor until they clear it",
          "[upgrade][levels]") {
  const std::string levels =
      "levels: [{name: \"less\", enter: \"open > 1000\", leave: \"open < 5\", shed: [{classes: [\"ask\"]}]}]";
  DispatcherPair pair({}, {}, levels, [](DispatcherPair& started) {
    CHECK(started.call(started.first->admin_address(), "POST", "/control/level/less") == 200);
    CHECK(started.call(started.first->admin_address(), "POST", "/control/level/zz") == 404);
  });
  CHECK(pair.logged("1 level normal -> less: pinned"));
  CHECK(pair.logged("2 level less: pinned at the predecessor"));
  CHECK(pair.call(pair.second->admin_address(), "POST", "/control/level/auto") == 200);
  CHECK(pair.logged("2 level less: no longer pinned by operators"));
}

TEST_CASE("a successor continues as the active VRRP router and never becomes a backup", "[upgrade][vrrp]") {
  TestEventLoop peer;
  boost::asio::ip::udp::socket receiver(peer.io, {boost::asio::ip::address_v4::loopback(), 0});
  DispatcherPair pair(
      kChatConfig,
      R"({"listen":"127.0.0.1:0","addresses":["127.0.0.1"],"interval_cs":1,"priority":200,"peers":["127.0.0.1:)" +
          std::to_string(receiver.local_endpoint().port()) + "\"]}");
  pair.run_until("1 vrrp: active");
  CHECK_FALSE(pair.logged("2 vrrp"));  // only one of the two processes sends advertisements
  pair.first->drain();
  pair.run_until("2 vrrp: active");
  CHECK_FALSE(pair.logged("2 vrrp: backup"));
  CHECK(pair.logged("2 chat front on"));
  receiver.non_blocking(true);
  std::array<std::uint8_t, 1500> packet{};
  boost::system::error_code error;
  const auto receive = [&] { return receiver.receive(boost::asio::buffer(packet), 0, error); };
  for (std::size_t size = receive(); size > 0 && !error; size = receive()) {
    const auto decoded = vrrp::decode({packet.data(), size});
    REQUIRE(std::holds_alternative<vrrp::Advertisement>(decoded));
    // The priority is never 0, so that the other router stays a backup.
    CHECK(std::get<vrrp::Advertisement>(decoded).priority == 200);
  }
}

TEST_CASE("stale and damaged files in the shared folder do not prevent a start", "[upgrade]") {
  TemporaryFolder folder;
  std::ofstream(folder / "bitternferry-n1.bans") << "{\"offline\":[\"r";
  const bool is_folder = GENERATE(false, true);
  if (is_folder) fs::create_directory(folder / "bitternferry-n1.sock");
  if (!is_folder) std::ofstream(folder / "bitternferry-n1.sock") << "not a socket";
  daemon::Loop loop;
  daemon::Config config = make_daemon_config("n1");
  config.shared_directory = folder.path;
  std::vector<std::string> logs;
  daemon::Dispatcher dispatcher(loop, config, {}, [&](std::string_view text) { logs.emplace_back(text); });
  dispatcher.start();
  CHECK(has_entry(logs, "serving on"));
}

}  // namespace
}  // namespace dispatcher::testing
