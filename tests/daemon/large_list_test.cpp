// Endpoint lists of several thousand replicas: requests are served while one arrives, and the work of
// applying one grows with its length alone.
#include <csignal>

#include "tests/fixtures/allocations.hpp"
#include "tests/fixtures/comparisons.hpp"
#include "tests/fixtures/process_fixture.hpp"
#include "tests/service_discovery/endpoint_watcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using routing::ListKind;

constexpr int kLargestFleet = 3200;  // replicas, by the platform's terms

// A dispatcher whose discovery sends what the test says.
struct LargeListFixture : ProcessFixture {
  LargeListFixture() : ProcessFixture(healthy_reader, healthy_writer), agent(network) {
    config.discovery = agent.address();
    start([this] { return daemon::ConfigurationFiles{config, {}}; });
    REQUIRE(until([&] { return agent.request_count() == 1; }));
  }
  // Sends a part of the watch, and lets the dispatcher process it.
  void send(const std::string& text) {
    constexpr std::size_t kPieceBytes = 16384;  // fits into the socket's buffer
    for (std::size_t at = 0; at < text.size(); at += kPieceBytes) {
      Agent::write_chunk(*agent.calls[0], text.substr(at, kPieceBytes));
      step();
    }
    settle();
  }
  void serve(const std::string& id) {
    auto request = client();
    request->post(platform_headers(id, "command"), "{}");
    REQUIRE(until([&] { return request->is_complete; }));
    CHECK(request->status == 200);
  }
  Agent agent;
};

// A list of `count` readers and writers at two addresses, whose names have the same length.
std::string large_list(int version, ListKind kind, int count, const FakeEndpoint& reader,
                       const FakeEndpoint& writer, const std::string& health = "up",
                       const std::string& generation = "") {
  nlohmann::json hosts = nlohmann::json::array();
  for (int i = 0; i < count; ++i) {
    const bool is_reader = i % 2 == 0;
    const auto port = (is_reader ? reader : writer).server.local().port();
    hosts.push_back({{"host", (is_reader ? "r" : "w") + generation + std::to_string(10000 + i)},
                     {"health", health},
                     {"dial", "127.0.0.1:" + std::to_string(port)},
                     {"site", "here"},
                     {"class", is_reader ? "reader" : "writer"}});
  }
  return nlohmann::json{{"seq", version}, {"whole", kind == ListKind::kFull}, {"hosts", hosts}}.dump() + "\n";
}

TEST_CASE(
    "a dispatcher serves from what it knows while a list of 3,200 replicas arrives, then from that list",
    "[daemon][large]") {
  LargeListFixture fixture;
  FakeEndpoint new_reader(fixture.network, healthy_reader);
  FakeEndpoint new_writer(fixture.network, healthy_writer);
  const std::string list = large_list(1, ListKind::kFull, kLargestFleet, new_reader, new_writer);
  fixture.serve("before");
  fixture.send(list.substr(0, list.size() / 2));
  fixture.serve("during");
  CHECK(fixture.writer.count("POST", "during") == 1);
  fixture.send(list.substr(list.size() / 2));
  fixture.serve("after");
  CHECK(new_writer.count("POST", "after") == 1);
}

// Comparisons and allocations, which are counted alike on every machine.
TEST_CASE("the work of applying a list or a reload grows with the number of replicas, not faster",
          "[daemon][large]") {
  constexpr std::size_t kMaxWorkPerReplica = 400;
  LargeListFixture fixture;
  const auto list = [&](int version, ListKind kind, const std::string& health,
                        const std::string& generation = "") {
    return large_list(version, kind, kLargestFleet, fixture.reader, fixture.writer, health, generation);
  };
  const auto check_work = [&](const char* name, auto change) {
    const std::size_t before = comparisons + allocations;
    change();
    INFO(name);
    const std::size_t work_per_replica = (comparisons + allocations - before) / kLargestFleet;
    CHECK(work_per_replica <= kMaxWorkPerReplica);
  };
  const std::vector<std::pair<const char*, std::string>> lists{
      {"a first list", list(1, ListKind::kFull, "up")},
      {"the same again", list(2, ListKind::kFull, "up")},
      {"a change of each replica", list(3, ListKind::kDelta, "draining")},
      {"as many others", list(4, ListKind::kDelta, "up", "b")},
      {"others in place of all", list(5, ListKind::kFull, "up", "c")},
      {"the removal of each replica", list(6, ListKind::kDelta, "removed", "c")}};
  for (const auto& [name, text] : lists) {
    check_work(name, [&, &message = text] { fixture.send(message); });
    if (std::string_view(name) != "others in place of all") continue;
    check_work("a reload", [&] {
      std::raise(SIGHUP);
      fixture.settle();
    });
    CHECK(fixture.logs.back().starts_with("reloaded"));
  }
}

}  // namespace
}  // namespace dispatcher::testing
