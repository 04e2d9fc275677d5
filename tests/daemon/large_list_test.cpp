// Tests endpoint lists of several thousand endpoints: requests are served while a list arrives, and the work
// of applying a list grows in proportion to its length.
#include <csignal>

#include "tests/fixtures/allocations.hpp"
#include "tests/fixtures/comparisons.hpp"
#include "tests/fixtures/process_fixture.hpp"
#include "tests/service_discovery/endpoint_watcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using routing::ListKind;

constexpr int kLargestFleet = 3200;  // endpoints in the largest fleet by the platform's terms

// A dispatcher whose discovery sends what the test passes to send().
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

// Returns a list of `count` readers and writers at two addresses. All their names have the same length.
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
    "a dispatcher serves from its old list while a list of 3,200 endpoints arrives, then from the new list",
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

// Work is measured in comparisons and allocations, whose counts are the same on every machine.
TEST_CASE("the work of applying a list or a reload grows no faster than the number of endpoints",
          "[daemon][large]") {
  constexpr std::size_t kMaxWorkPerEndpoint = 400;
  LargeListFixture fixture;
  const auto list = [&](int version, ListKind kind, const std::string& health,
                        const std::string& generation = "") {
    return large_list(version, kind, kLargestFleet, fixture.reader, fixture.writer, health, generation);
  };
  const auto check_work = [&](const char* name, auto change) {
    const std::size_t before = comparisons + allocations;
    change();
    INFO(name);
    const std::size_t work_per_endpoint = (comparisons + allocations - before) / kLargestFleet;
    CHECK(work_per_endpoint <= kMaxWorkPerEndpoint);
  };
  const std::vector<std::pair<const char*, std::string>> lists{
      {"a first list", list(1, ListKind::kFull, "up")},
      {"the same list again", list(2, ListKind::kFull, "up")},
      {"a change of each endpoint", list(3, ListKind::kDelta, "draining")},
      {"as many additional endpoints", list(4, ListKind::kDelta, "up", "b")},
      {"a replacement of all endpoints", list(5, ListKind::kFull, "up", "c")},
      {"the removal of each endpoint", list(6, ListKind::kDelta, "removed", "c")}};
  for (const auto& [name, text] : lists) {
    check_work(name, [&, &message = text] { fixture.send(message); });
    if (std::string_view(name) != "a replacement of all endpoints") continue;
    check_work("a reload", [&] {
      std::raise(SIGHUP);
      fixture.settle();
    });
    CHECK(fixture.logs.back().starts_with("reloaded"));
  }
}

}  // namespace
}  // namespace dispatcher::testing
