// Reservations under faults, with a real daemon: each reservation that an endpoint holds for a request is
// fetched or released while the client still waits, even if an attempt was written to a link that delivers
// nothing. Results depend on the order of events at the fake endpoints and clients, not on durations.
#include <signal.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "tests/fixtures/child_process.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"
#include "tests/fixtures/fault_proxy.hpp"

namespace dispatcher::testing {
namespace {

// Records the reservations that endpoints hold for requests, as the protocol defines them: a read leaves a
// state, a writer fetches it, and a release ends it unless a writer that has received the request waits for
// it.
class ReservationLedger {
 public:
  void on_read(const std::string& id) { held_.insert(id); }
  // Returns whether the writer finds a state to fetch.
  [[nodiscard]] bool fetch(const std::string& id) { return held_.erase(id) > 0; }
  void on_release(const std::string& id) {
    held_.erase(id);
    ++releases_[id];
  }
  [[nodiscard]] bool is_held(const std::string& id) const { return held_.contains(id); }
  [[nodiscard]] std::size_t held_count() const { return held_.size(); }
  [[nodiscard]] const std::set<std::string>& held() const { return held_; }
  [[nodiscard]] int releases(const std::string& id) const {
    const auto it = releases_.find(id);
    return it == releases_.end() ? 0 : it->second;
  }

 private:
  std::set<std::string> held_;
  std::map<std::string, int> releases_;
};

// A daemon with two readers and two writers, each behind a proxy.
class FaultInjectionFixture {
 public:
  explicit FaultInjectionFixture(Cancellation cancellation = Cancellation::kAllowed) {
    const auto read = [this](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
      on_read_request(endpoint, client, request);
    };
    const auto write = [this](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
      on_write_request(endpoint, client, request);
    };
    add_endpoint("r1", "reader", read);
    add_endpoint("r2", "reader", read);
    add_endpoint("w1", "writer", write);
    add_endpoint("w2", "writer", write);
    DaemonConfigText config{free_port(), 1, {}, cancellation};
    for (const ProxiedEndpoint& endpoint : endpoints_)
      config.endpoints.push_back({endpoint.name, endpoint.kind, endpoint.proxy->address()});
    port_ = config.port;
    daemon.write_config(config.text());
    daemon.add_environment("BITTERNFERRY_LOG_REQUESTS=1");
    daemon.start();
    REQUIRE(becomes_healthy(loop, port_));
  }

  std::unique_ptr<FakeClient> post(const std::string& id, const std::string& request_class,
                                   int time_left_ms = 3000) {
    const auto address = boost::asio::ip::address_v4::loopback();
    auto client =
        std::make_unique<FakeClient>(loop, net::tcp::endpoint(address, static_cast<unsigned short>(port_)));
    client->post(platform_headers(id, request_class, time_left_ms), kPlatformBody);
    return client;
  }
  // Waits in real time until the condition holds. The number of rounds only bounds a test that has failed.
  template <class Condition>
  bool until(Condition condition) {
    constexpr int kMaxRounds = 10;
    for (int round = 0; round < kMaxRounds; ++round) {
      if (loop.until(condition)) return true;
    }
    return false;
  }
  // Sends some requests, so that the daemon keeps connections to endpoints of both kinds.
  void open_connections() {
    constexpr int kRequests = 8;
    for (int i = 0; i < kRequests; ++i) {
      const auto client = post("aaaa" + std::to_string(1000 + i), "ask");
      REQUIRE(until([&] { return client->is_finished(); }));
      REQUIRE(client->status == 200);
    }
  }
  // Returns what the daemon has logged about the requests whose states are held, to explain a failed check.
  [[nodiscard]] std::string log_of_held() const {
    std::istringstream log(daemon.log());
    std::string found;
    for (std::string line; std::getline(log, line);) {
      const auto names = [&](const std::string& id) { return line.find(id) != std::string::npos; };
      if (std::any_of(ledger.held().begin(), ledger.held().end(), names)) found += line + "\n";
    }
    return found;
  }
  // Returns the links to all endpoints of a kind.
  std::vector<FaultProxy*> links(const std::string& kind) {
    std::vector<FaultProxy*> found;
    for (const ProxiedEndpoint& endpoint : endpoints_) {
      if (endpoint.kind == kind) found.push_back(endpoint.proxy.get());
    }
    return found;
  }
  [[nodiscard]] int attempts(const std::string& kind, const std::string& id) const {
    int count = 0;
    for (const ProxiedEndpoint& endpoint : endpoints_) {
      if (endpoint.kind == kind) count += endpoint.server->count("POST", id);
    }
    return count;
  }
  // Returns whether a link to an endpoint of this kind holds back a request.
  [[nodiscard]] bool is_undelivered(const std::string& kind) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const ProxiedEndpoint& endpoint) {
      return endpoint.kind == kind && endpoint.proxy->is_holding_back(FaultProxy::Direction::kToEndpoint);
    });
  }

  TestEventLoop loop;
  ReservationLedger ledger;
  // Reads of these requests are left unanswered, and leave a state only once the test records it.
  std::set<std::string> slow_reads;
  // The first read of these requests leaves a state and breaks its connection.
  std::set<std::string> broken_reads;
  ChildProcess daemon{DISPATCHER_DAEMON};

 private:
  struct ProxiedEndpoint {
    std::string name;
    std::string kind;
    std::unique_ptr<FakeEndpoint> server;
    std::unique_ptr<FaultProxy> proxy;
  };

  void add_endpoint(const std::string& name, const std::string& kind,
                    const FakeEndpoint::Behavior& behavior) {
    auto server = std::make_unique<FakeEndpoint>(loop, behavior);
    server->release_handler = [this](const std::string& id) { ledger.on_release(id); };
    auto proxy = std::make_unique<FaultProxy>(loop, server->server.local());
    endpoints_.push_back({name, kind, std::move(server), std::move(proxy)});
  }
  void on_read_request(FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
    if (slow_reads.contains(request.id)) return;
    ledger.on_read(request.id);
    if (broken_reads.erase(request.id) > 0) return endpoint.server.abort(client);
    endpoint.respond(client, 202, R"({"cached_tokens":0})");
  }
  void on_write_request(FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
    if (!ledger.fetch(request.id)) return endpoint.reject_unprocessed(client, 410);
    endpoint.stream_words(client, {"yes"});
  }
  std::vector<ProxiedEndpoint> endpoints_;
  int port_ = 0;
};

void silence(const std::vector<FaultProxy*>& links) {
  for (FaultProxy* link : links) link->silence_both();
}

// Guards against a failure in which the link to the writer became silent while its connection stayed open,
// and the state that the reader held was released only when the request's time was over.
TEST_CASE("a reservation is released in time when its writer is silent, for each class, cancellable or not",
          "[faults]") {
  const auto* request_class = GENERATE("command", "ask");
  const auto cancellation = GENERATE(Cancellation::kAllowed, Cancellation::kForbidden);
  FaultInjectionFixture fixture(cancellation);
  fixture.open_connections();
  silence(fixture.links("writer"));
  const auto client = fixture.post("bbbb01", request_class);
  REQUIRE(fixture.until([&] { return fixture.ledger.is_held("bbbb01"); }));
  REQUIRE(fixture.until([&] { return !fixture.ledger.is_held("bbbb01") || client->is_finished(); }));
  CHECK_FALSE(client->is_finished());
  CHECK(fixture.until([&] { return client->is_finished(); }));
  CHECK(fixture.ledger.held_count() == 0);
  // The requests that were held back arrive late. The writer has nothing to fetch, and nothing runs.
  for (FaultProxy* link : fixture.links("writer")) link->restore();
  CHECK(fixture.until([&] { return !fixture.is_undelivered("writer"); }));
  CHECK(fixture.ledger.held_count() == 0);
}

TEST_CASE("the reservations of many requests are released in time when their writers become silent at once",
          "[faults]") {
  constexpr int kRequests = 40;
  FaultInjectionFixture fixture;
  fixture.open_connections();
  silence(fixture.links("writer"));
  std::vector<std::unique_ptr<FakeClient>> clients;
  clients.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i)
    clients.push_back(fixture.post("cccc" + std::to_string(1000 + i), i % 2 == 0 ? "command" : "ask"));
  // Some clients are rejected at once, as no other writer is left. The others wait until their time is over,
  // which has_timed_out detects.
  const auto has_timed_out = [](const auto& client) { return client->status == 504; };
  std::size_t reads = 0;
  REQUIRE(fixture.until([&] {
    reads = 0;
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = "cccc" + std::to_string(1000 + i);
      if (fixture.attempts("reader", id) > 0) ++reads;
    }
    return reads == kRequests;
  }));
  REQUIRE(fixture.until([&] {
    return fixture.ledger.held_count() == 0 || std::any_of(clients.begin(), clients.end(), has_timed_out);
  }));
  INFO(fixture.log_of_held());
  CHECK(fixture.ledger.held_count() == 0);
}

TEST_CASE(
    "a reservation that a broken read may have left is released in time when the second reader is silent",
    "[faults]") {
  FaultInjectionFixture fixture;
  fixture.open_connections();
  fixture.broken_reads.insert("dddd01");
  for (FaultProxy* link : fixture.links("reader")) link->silence(FaultProxy::Direction::kToEndpoint);
  const auto client = fixture.post("dddd01", "command");
  REQUIRE(fixture.until([&] { return fixture.is_undelivered("reader"); }));
  // One link delivers the read, which leaves a state and breaks its connection. The link of the next attempt
  // stays silent.
  const std::vector<FaultProxy*> links = fixture.links("reader");
  const bool is_at_first = links[0]->is_holding_back(FaultProxy::Direction::kToEndpoint);
  links[is_at_first ? 0 : 1]->restore();
  REQUIRE(fixture.until([&] { return fixture.ledger.is_held("dddd01"); }));
  REQUIRE(fixture.until([&] { return !fixture.ledger.is_held("dddd01") || client->is_finished(); }));
  CHECK_FALSE(client->is_finished());
  CHECK(fixture.ledger.releases("dddd01") > 0);
}

TEST_CASE("a reservation whose writer is silent is released in time during a drain", "[faults]") {
  FaultInjectionFixture fixture;
  fixture.open_connections();
  silence(fixture.links("writer"));
  const auto client = fixture.post("eeee01", "command");
  REQUIRE(fixture.until([&] { return fixture.ledger.is_held("eeee01"); }));
  fixture.daemon.signal(SIGTERM);
  fixture.daemon.signal(SIGHUP);
  fixture.daemon.signal(SIGTERM);
  REQUIRE(fixture.until([&] { return !fixture.ledger.is_held("eeee01") || client->is_finished(); }));
  CHECK_FALSE(client->is_finished());
  CHECK(fixture.until([&] { return client->is_finished(); }));
  CHECK(fixture.until([&] { return fixture.daemon.has_ended(); }));
  CHECK(fixture.daemon.wait_end() == 0);
}

TEST_CASE(
    "a reservation whose writer is silent is released in time by a daemon that was stopped for a moment",
    "[faults]") {
  FaultInjectionFixture fixture;
  fixture.open_connections();
  silence(fixture.links("writer"));
  const auto client = fixture.post("eeee02", "command");
  REQUIRE(fixture.until([&] { return fixture.ledger.is_held("eeee02"); }));
  fixture.daemon.signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(150));
  fixture.daemon.signal(SIGCONT);
  REQUIRE(fixture.until([&] { return !fixture.ledger.is_held("eeee02") || client->is_finished(); }));
  CHECK_FALSE(client->is_finished());
}

TEST_CASE("a reservation that a cancelled read leaves behind a silent link is released", "[faults]") {
  FaultInjectionFixture fixture;
  fixture.open_connections();
  fixture.slow_reads.insert("ffff01");
  const auto client = fixture.post("ffff01", "command");
  REQUIRE(fixture.until([&] { return fixture.attempts("reader", "ffff01") == 1; }));
  silence(fixture.links("reader"));
  client->close();
  REQUIRE(fixture.until([&] { return fixture.ledger.releases("ffff01") > 0; }));
  fixture.ledger.on_read("ffff01");
  CHECK(fixture.until([&] { return !fixture.ledger.is_held("ffff01"); }));
}

}  // namespace
}  // namespace dispatcher::testing
