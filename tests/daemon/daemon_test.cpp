// Tests the watch of service discovery, and a complete dispatcher from its start until it is drained.
#include <csignal>
#include <filesystem>
#include <fstream>

#include "tests/fixtures/daemon_fixture.hpp"

namespace dispatcher::testing {
namespace {

using routing::ListKind;

constexpr const char* kReadyFields =
    R"("dial":"127.0.0.1:3000","site":"here","class":"reader","block":0,"share":1,"born_ms":0)";
std::string entry(const std::string& endpoint, const std::string& health) {
  return R"({"host":")" + endpoint + R"(","health":")" + health + "\"," + kReadyFields + "}";
}
std::string list(int seq, ListKind kind, const std::string& entries) {
  const std::string is_complete = kind == ListKind::kFull ? "true" : "false";
  return R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + is_complete + R"(,"hosts":[)" + entries +
         "]}\n";
}

TEST_CASE("a watch applies events as they arrive, and reconnects from the last version", "[discovery]") {
  TestEventLoop work;
  FakeEndpoint agent(work, [](FakeEndpoint& replica, SlotId client,
                              const FakeEndpoint::ReceivedRequest& request) {
    // An unreadable event may have been any change, so the watch requests the complete list again.
    if (request.target == "/v1/servers")
      return replica.respond(client, 200, list(43, ListKind::kFull, entry("a", "draining")));
    replica.server.begin_stream(client);
    if (replica.received.size() == 1) {
      const std::string event = list(41, ListKind::kFull, entry("a", "up"));
      replica.server.write_events(client, "\n" + event.substr(0, 20));  // an event may be split at any byte
      replica.server.write_events(
          client, event.substr(20) + "not JSON\n" + list(42, ListKind::kDelta, entry("a", "removed")));
    } else {
      replica.server.write_events(client, list(44, ListKind::kDelta, entry("a", "removed")));
    }
  });
  std::vector<std::string> logs;
  std::vector<service_discovery::EndpointSnapshot> snapshots;
  service_discovery::EndpointWatcher watch(
      work.io, agent.server.local(), work.timers, work.clock(),
      [&](std::string_view entry) { logs.emplace_back(entry); },
      [&](const service_discovery::EndpointSnapshot& snapshot) { snapshots.push_back(snapshot); });
  watch.start(40);
  REQUIRE(work.until([&] { return snapshots.size() == 1; }));
  CHECK(snapshots[0].scope == upstream::ListScope::kComplete);
  work.settle();
  work.advance(milliseconds(300));
  REQUIRE(work.until([&] { return snapshots.size() == 3; }));
  CHECK(snapshots[1].scope == upstream::ListScope::kComplete);
  CHECK(snapshots[1].list.entries[0].state == routing::EndpointState::kDraining);
  CHECK(snapshots[2].version == 44);
  CHECK(agent.received[0].target == "/v1/servers?follow=1&since=40");
  CHECK(agent.received[1].target == "/v1/servers");
  CHECK(agent.received[2].target == "/v1/servers?follow=1&since=43");
  CHECK(logs.size() == 3);         // the unreadable line, the loss of discovery, and its return
  work.now += milliseconds(2600);  // the watch expects at least an empty line every 2 s
  work.timers.run(work.now);
  work.advance(milliseconds(300));
  CHECK(work.until([&] { return agent.received.size() == 4; }));
}

TEST_CASE("a watch that gets a new address requests its complete list, then follows its changes",
          "[discovery]") {
  TestEventLoop work;
  FakeEndpoint old(work, [](FakeEndpoint& replica, SlotId client, const FakeEndpoint::ReceivedRequest&) {
    replica.server.begin_stream(client);
    replica.server.write_events(client, list(41, ListKind::kFull, entry("a", "up")));
  });
  FakeEndpoint agent(work,
                     [](FakeEndpoint& replica, SlotId client, const FakeEndpoint::ReceivedRequest& request) {
                       if (request.target == "/v1/servers")
                         return replica.respond(client, 200, list(7, ListKind::kFull, entry("b", "up")));
                       replica.server.begin_stream(client);
                       replica.server.write_events(client, list(8, ListKind::kDelta, entry("b", "draining")));
                     });
  std::vector<service_discovery::EndpointSnapshot> snapshots;
  service_discovery::EndpointWatcher watch(
      work.io, old.server.local(), work.timers, work.clock(), [](std::string_view) {},
      [&](const service_discovery::EndpointSnapshot& snapshot) { snapshots.push_back(snapshot); });
  watch.start(40);
  REQUIRE(work.until([&] { return snapshots.size() == 1; }));
  watch.set_address(agent.server.local());
  REQUIRE(work.until([&] { return snapshots.size() == 3; }));
  CHECK(snapshots[1].scope == upstream::ListScope::kComplete);
  CHECK(snapshots[1].list.entries[0].endpoint == "b");
  CHECK(snapshots[2].list.entries[0].state == routing::EndpointState::kDraining);
  CHECK(agent.received[1].target == "/v1/servers?follow=1&since=7");
  CHECK(work.until([&] { return old.disconnected_clients.size() == 1; }));
}

// Discovery does not answer here, so the dispatcher must serve from the endpoints in its configuration.
TEST_CASE("a dispatcher serves from its configured endpoint list and stops once it is drained", "[app]") {
  daemon::Loop loop;
  const daemon::Config config = make_daemon_config();
  std::vector<std::string> logs;
  daemon::Dispatcher dispatcher(loop, config, {{"chat.json", kChatConfig}, {}},
                                [&](std::string_view entry) { logs.emplace_back(entry); });
  dispatcher.start();
  // The client runs on the dispatcher's own loop.
  struct Client : net::Connection::Owner {
    explicit Client(daemon::Loop& event_loop, const net::tcp::endpoint& to)
        : connection(net::Connection::connect(event_loop.io(), to, *this, {}, 4096, 4096)) {}
    void on_connected(SlotId, net::error_code) override {
      connection->write("GET /healthz HTTP/1.1\r\n\r\n");
      connection->read();
    }
    void on_data(SlotId) override { on_answer(); }
    void on_sent(SlotId) override {}
    void on_ended(SlotId, net::error_code) override { connection->close(); }
    std::shared_ptr<net::Connection> connection;
    std::function<void()> on_answer;
  } client(loop, dispatcher.address());
  client.on_answer = [&] { dispatcher.drain(); };
  loop.run();
  CHECK(logs.back() == "drained");
  CHECK(client.connection->input().size() > 0);
}

TEST_CASE("SIGHUP changes nothing if a file is invalid, else reloads, and SIGTERM still drains", "[app]") {
  daemon::Loop loop;
  const daemon::Config config = make_daemon_config();
  net::tcp::acceptor agent(loop.io(), loopback());
  bool is_new_address_in_use = false;
  agent.async_accept([&](net::error_code, net::tcp::socket) { is_new_address_in_use = true; });
  daemon::ConfigurationFiles next{config, {{"chat.json", kChatConfig}, {}}};
  next.config.discovery = agent.local_endpoint();
  next.config.name = "another";
  std::vector<std::string> logs;
  std::function<daemon::ConfigurationFiles()> read = []() -> daemon::ConfigurationFiles {
    throw daemon::ConfigError("field 'x': bad");
  };
  daemon::Dispatcher dispatcher(
      loop, config, {{"chat.json", kChatConfig}, {}},
      [&](std::string_view entry) {
        if (!entry.starts_with("discovery")) logs.emplace_back(entry);
      },
      [&] { return read(); });
  dispatcher.start();
  const auto raise_sighup = [&] {
    const std::size_t before = logs.size();
    std::raise(SIGHUP);
    while (logs.size() == before) loop.io().run_one();
  };
  raise_sighup();
  CHECK(logs.back() == "reload failed, the old configuration stays: field 'x': bad");
  read = [&] {
    return daemon::ConfigurationFiles{next.config,
                                      {{"chat.json", R"({"listen":"127.0.0.1:0","models":[]})"}, {}}};
  };
  raise_sighup();
  CHECK(logs.back() ==
        "reload failed, the old configuration stays: chat.json:1:34: models: at least one expected; "
        "chat.json: account: expected where no keys are set");
  CHECK_FALSE(is_new_address_in_use);
  read = [&] { return next; };
  raise_sighup();
  CHECK(logs[logs.size() - 2] == "reload: changed, but taking effect at the next start only: name");
  CHECK(logs.back().starts_with("reloaded: discovery at 127.0.0.1:"));
  while (!is_new_address_in_use) loop.io().run_one();
  std::raise(SIGTERM);
  loop.run();
  CHECK(logs.back() == "drained");
}

TEST_CASE("on a reload the file takes precedence over the environment", "[app]") {
  const std::string path = std::filesystem::temp_directory_path() / "bitternferry_reload_test.json";
  std::ofstream(path) << R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:3"})";
  daemon::Environment environment{{"PROXY_CONFIG", path}, {"PROXY_DISCOVERY", "nowhere"}};
  CHECK_THROWS_WITH(daemon::load_config(environment), Catch::Contains("field 'discovery'"));
  CHECK_THROWS_WITH(daemon::reload_config(environment),
                    Catch::Contains("field 'settings'"));  // the next field in error
  std::filesystem::remove(path);
}

// Only the active instance of a pair listens at the chat address.
TEST_CASE("the chat frontend listens only while VRRP is active", "[app][vrrp]") {
  const int priority = GENERATE(255, 100);
  daemon::Loop loop;
  const daemon::Config config = make_daemon_config();
  std::vector<std::string> logs;
  const std::string vrrp =
      R"({"listen":"127.0.0.1:0","peers":["127.0.0.1:9"],"addresses":["127.0.0.1"],"priority":)" +
      std::to_string(priority) + "}";
  daemon::Dispatcher dispatcher(loop, config, {{"chat.json", kChatConfig}, {"vrrp.json", vrrp}},
                                [&](std::string_view entry) { logs.emplace_back(entry); });
  dispatcher.start();
  CHECK(has_entry(logs, priority == 255 ? "vrrp: active" : "vrrp: backup"));
  CHECK(has_entry(logs, "chat front on") == (priority == 255));
  CHECK_THROWS_WITH(
      daemon::Dispatcher(loop, config, {{"chat.json", R"({"listen":null})"}, {"vrrp.json", vrrp}},
                         [](std::string_view) {}),
      "vrrp: field 'listen': set, but the chat front that it is for is off");
}

}  // namespace
}  // namespace dispatcher::testing
