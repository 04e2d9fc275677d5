// Discovery's watch, and a whole dispatcher from start to drain.
#include <algorithm>

#include "app/dispatcher.hpp"
#include "world.hpp"

namespace bitternferry::testing {
namespace {

const std::string kUp =
    R"("dial":"127.0.0.1:3000","site":"here","class":"reader","block":0,"share":1,"born_ms":0)";
std::string entry(const std::string& host, const std::string& health) {
  return R"({"host":")" + host + R"(","health":")" + health + "\"," + kUp + "}";
}
std::string list(int seq, bool whole, const std::string& entries) {
  return R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + (whole ? "true" : "false") + R"(,"hosts":[)" +
         entries + "]}\n";
}

TEST_CASE("a watch applies lines as they come, and opens again from the last version", "[discovery]") {
  Clockwork work;
  int calls = 0;
  StandInReplica agent(work, [&](StandInReplica& r, SlotId client, const StandInReplica::Seen&) {
    r.server.begin(client);
    if (++calls == 1) {
      const std::string line = list(41, true, entry("a", "up"));
      r.server.pass(client, "\n" + line.substr(0, 20));  // cut anywhere
      r.server.pass(client, line.substr(20) + "not JSON\n" + list(43, false, entry("a", "draining")));
      r.server.cut(client);
    } else {
      r.server.pass(client, list(44, false, entry("a", "removed")));
    }
  });
  std::vector<std::string> logs;
  std::vector<discovery::Servers> told;
  discovery::Watch watch(
      work.io, agent.server.local(), work.deadlines, work.clock(),
      [&](std::string_view line) { logs.emplace_back(line); },
      [&](const discovery::Servers& servers) { told.push_back(servers); });
  watch.start(40);
  REQUIRE(work.until([&] { return told.size() == 2; }));
  CHECK(told[0].whole);
  CHECK(told[1].list.entries[0].state == basaltvane::HostState::kDraining);
  work.settle();
  work.advance(milliseconds(300));
  REQUIRE(work.until([&] { return told.size() == 3; }));
  CHECK(agent.seen[0].target == "/v1/servers?follow=1&since=40");
  CHECK(agent.seen[1].target == "/v1/servers?follow=1&since=43");
  CHECK(logs.size() == 3);  // the bad line, the loss, the return
  work.now += seconds(8);   // an empty line should have come every 2 s
  work.deadlines.run(work.now);
  work.advance(milliseconds(300));
  CHECK(work.until([&] { return agent.seen.size() == 3; }));
}

// Discovery is silent here: what the configuration knows must serve.
TEST_CASE("a dispatcher serves from the list it knows, and ends once it is drained", "[app]") {
  app::Loop loop;
  app::Config config;
  config.listen = config.discovery = loopback();
  config.discovery.port(1);  // nobody listens there
  config.settings = make_settings();
  std::vector<std::string> logs;
  app::Dispatcher dispatcher(loop, config, kChat, {},
                             [&](std::string_view line) { logs.emplace_back(line); });
  dispatcher.start();
  // The client runs on the dispatcher's own loop.
  struct Client : net::Connection::Owner {
    explicit Client(app::Loop& l, const net::tcp::endpoint& to)
        : connection(net::Connection::connect(l.io(), to, *this, {}, 4096, 4096)) {}
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

// Of a pair only the active instance listens at the chat address.
TEST_CASE("VRRP decides who fronts the chat address", "[app][vrrp]") {
  const int priority = GENERATE(255, 100);
  app::Loop loop;
  app::Config config;
  config.listen = config.discovery = loopback();
  config.discovery.port(1);
  config.settings = make_settings();
  std::vector<std::string> logs;
  const std::string vrrp =
      R"({"listen":"127.0.0.1:0","peers":["127.0.0.1:9"],"addresses":["127.0.0.1"],"priority":)" +
      std::to_string(priority) + "}";
  app::Dispatcher dispatcher(loop, config, kChat, vrrp,
                             [&](std::string_view line) { logs.emplace_back(line); });
  dispatcher.start();
  const auto logged = [&](const std::string& start) {
    return std::any_of(logs.begin(), logs.end(),
                       [&](const std::string& line) { return line.starts_with(start); });
  };
  CHECK(logged(priority == 255 ? "vrrp: active" : "vrrp: backup"));
  CHECK(logged("chat front on") == (priority == 255));
  CHECK_THROWS_WITH(app::Dispatcher(loop, config, R"({"listen":null})", vrrp, [](std::string_view) {}),
                    "vrrp: field 'listen': set, but the chat front that it is for is off");
}

}  // namespace
}  // namespace bitternferry::testing
