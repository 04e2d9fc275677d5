// Tests the real daemon under an emulation of the fleet's process restrictions (tests/confine/confine.cpp).
// It must start, serve a streamed response, reload its file on SIGHUP and drain on SIGTERM, and make no call
// that is denied there.
#include <signal.h>
#include <sys/resource.h>

#include <filesystem>

#include "tests/fixtures/child_process.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"
#include "tests/service_discovery/endpoint_watcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

// A process under the emulation, which reports the calls that it denied.
class ConfinedProcess : public ChildProcess {
 public:
  ConfinedProcess(const std::string& program, std::vector<std::string> environment)
      : ChildProcess(program, std::move(environment)) {
    add_environment("LD_PRELOAD=" + std::string(CONFINE_LIBRARY));
    add_environment("CONFINE_REPORT=" + report_path().string());
  }
  [[nodiscard]] std::string report() const { return read_file(report_path()); }

 private:
  [[nodiscard]] std::filesystem::path report_path() const { return folder() / "report"; }
};

std::string configuration(int port, int discovery_port, const FakeEndpoint& reader,
                          const FakeEndpoint& writer) {
  return DaemonConfigText{port,
                          discovery_port,
                          {{"r1", "reader", reader.server.local()}, {"w1", "writer", writer.server.local()}}}
      .text();
}

// ID of a request that writers never answer.
constexpr const char* kHeldRequest = "c0ffee99";

void hold_or_write(FakeEndpoint& replica, SlotId client, const ReceivedRequest& request) {
  if (request.id != kHeldRequest) healthy_writer(replica, client, request);
}

// A reader and a writer for a daemon that listens at `port`, and the loop on which they run.
struct ConfineFixture {
  TestEventLoop loop;
  FakeEndpoint reader{loop, healthy_reader};
  FakeEndpoint writer{loop, hold_or_write};
  int port = free_port();
  std::unique_ptr<FakeClient> client() {
    const auto loopback_address = boost::asio::ip::address_v4::loopback();
    return std::make_unique<FakeClient>(
        loop, net::tcp::endpoint(loopback_address, static_cast<unsigned short>(port)));
  }
  [[nodiscard]] int releases() const {
    return reader.count("DELETE", kHeldRequest) + writer.count("DELETE", kHeldRequest);
  }
  // Waits in real time, up to kMaxRounds times as long as TestEventLoop::until(). The bound only limits the
  // duration of a test that fails.
  template <class Condition>
  bool until_extended(Condition condition) {
    constexpr int kMaxRounds = 10;
    for (int round = 0; round < kMaxRounds; ++round)
      if (loop.until(condition)) return true;
    return false;
  }
};

// Limits the descriptors that a process may open if it is started during the lifetime of this object.
class InheritedDescriptorLimit {
 public:
  explicit InheritedDescriptorLimit(rlim_t max_descriptors) {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before_) == 0);
    const rlimit changed{max_descriptors, before_.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &changed) == 0);
  }
  ~InheritedDescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  InheritedDescriptorLimit(const InheritedDescriptorLimit&) = delete;
  InheritedDescriptorLimit& operator=(const InheritedDescriptorLimit&) = delete;

 private:
  rlimit before_{};
};

TEST_CASE("under the fleet's process restrictions the daemon starts, streams, reloads and drains",
          "[confine]") {
  ConfineFixture fixture;
  ConfinedProcess daemon(DISPATCHER_DAEMON, {});
  daemon.write_config(configuration(fixture.port, 1, fixture.reader, fixture.writer));
  daemon.start();
  REQUIRE(becomes_healthy(fixture.loop, fixture.port));

  const auto client = fixture.client();
  client->post(platform_headers("c0ffee01", "ask"), chat_body("ask", ResponseMode::kStream));
  REQUIRE(fixture.loop.until([&] { return client->is_complete; }));
  CHECK(client->status == 200);
  CHECK(client->body.find("yes") != std::string::npos);
  CHECK(fixture.writer.count("POST", "c0ffee01") == 1);

  daemon.write_config(configuration(fixture.port, 2, fixture.reader, fixture.writer));
  daemon.signal(SIGHUP);
  CHECK(fixture.loop.until(
      [&] { return daemon.log().find("reloaded: discovery at 127.0.0.1:2") != std::string::npos; }));

  daemon.signal(SIGTERM);
  CHECK(daemon.wait_end() == 0);
  CHECK(daemon.log().find("drained") != std::string::npos);
  // The emulation was on, and no call was made that the fleet denies.
  CHECK(daemon.report() == "confined\n");
}

// The kernel allows fewer descriptors than the configuration file (256), and more idle clients connect than
// either number.
TEST_CASE("the daemon reaches discovery and endpoints even if idle clients use up all descriptors",
          "[confine]") {
  ConfineFixture fixture;
  Agent discovery(fixture.loop);
  ConfinedProcess daemon(DISPATCHER_DAEMON, {});
  daemon.write_config(
      configuration(fixture.port, discovery.address().port(), fixture.reader, fixture.writer));
  discovery.stop_listening();  // the daemon must not inherit its socket, which would keep the port open
  {
    const InheritedDescriptorLimit limit(96);
    daemon.start();
  }
  discovery.listen();
  REQUIRE(becomes_healthy(fixture.loop, fixture.port));
  REQUIRE(fixture.until_extended([&] { return discovery.request_count() == 1; }));
  discovery.stop_listening();
  Agent::reset(*discovery.calls[0]);
  std::vector<std::unique_ptr<FakeClient>> idle_clients;
  for (int i = 0; i < 300; ++i) {
    idle_clients.push_back(fixture.client());
    idle_clients.back()->get("/healthz");
    REQUIRE(fixture.loop.until([&] { return idle_clients.back()->is_finished(); }));
  }
  discovery.listen();
  CHECK(fixture.until_extended([&] { return discovery.request_count() >= 2; }));
  const auto served = fixture.client();
  served->post(platform_headers("c0ffee01", "ask"), kPlatformBody);
  CHECK(fixture.until_extended([&] { return served->is_finished(); }));
  CHECK(served->status == 200);
  const auto disconnecting = fixture.client();
  disconnecting->post(platform_headers(kHeldRequest, "ask"), kPlatformBody);
  CHECK(fixture.until_extended([&] { return fixture.writer.count("POST", kHeldRequest) == 1; }));
  disconnecting->close();
  CHECK(fixture.until_extended([&] { return fixture.releases() > 0; }));
  daemon.signal(SIGTERM);
  CHECK(fixture.until_extended([&] { return daemon.log().find("drained") != std::string::npos; }));
  CHECK(daemon.wait_end() == 0);
}

TEST_CASE("the daemon starts although the filter denies and reports its hot restart socket in TMPDIR",
          "[confine]") {
  ConfineFixture fixture;
  ConfinedProcess daemon(DISPATCHER_DAEMON, {});
  ConfinedProcess with_tmpdir(DISPATCHER_DAEMON, {"TMPDIR=" + daemon.folder().string()});
  with_tmpdir.write_config(configuration(fixture.port, 1, fixture.reader, fixture.writer));
  with_tmpdir.start();
  REQUIRE(becomes_healthy(fixture.loop, fixture.port));
  with_tmpdir.signal(SIGTERM);
  CHECK(with_tmpdir.wait_end() == 0);
  CHECK(with_tmpdir.report().find("refused socket family 1\n") != std::string::npos);
  CHECK(with_tmpdir.log().find("drained") != std::string::npos);
}

TEST_CASE("the filter denies and reports the calls that the fleet denies, and permits threads and IPv4",
          "[confine]") {
  ConfinedProcess probe(CONFINE_PROBE, {});
  probe.start();
  REQUIRE(probe.wait_end() == 0);
  const std::string output = probe.log(), report = probe.report();
  CHECK(output.find("fork -1 38\n") != std::string::npos);  // ENOSYS
  CHECK(output.find("posix_spawn -1 38\n") != std::string::npos);
  CHECK(output.find("execve -1 38\n") != std::string::npos);
  CHECK(output.find("socket_unix -1 97\n") != std::string::npos);  // EAFNOSUPPORT
  CHECK(output.find("socketpair -1 97\n") != std::string::npos);
  CHECK(output.find("splice -1 22\n") != std::string::npos);  // EINVAL
  CHECK(output.find("sendfile -1 38\n") != std::string::npos);
  CHECK(output.find("io_uring_setup -1 38\n") != std::string::npos);
  CHECK(output.find("socket_inet 0 0\n") != std::string::npos);
  CHECK(output.find("thread 0 0\n") != std::string::npos);
  for (const char* call : {"fork", "posix_spawnp", "execve", "socket family 1", "socketpair", "splice",
                           "sendfile", "io_uring_setup"}) {
    CAPTURE(call);
    CHECK(report.find(std::string("refused ") + call + "\n") != std::string::npos);
  }
}

}  // namespace
}  // namespace dispatcher::testing
