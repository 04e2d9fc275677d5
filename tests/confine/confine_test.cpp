// The real daemon under a stand-in of the fleet's process terms (tests/confine/confine.cpp): it must start,
// serve a streamed answer, take a new file at SIGHUP and drain at SIGTERM, and try nothing that is refused
// there.
#include <signal.h>
#include <sys/resource.h>

#include <filesystem>

#include "tests/fixtures/child_process.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"
#include "tests/service_discovery/endpoint_watcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

// A process under the stand-in, which reports what it denied.
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

// The writers never answer it.
constexpr const char* kHeldRequest = "c0ffee99";

void hold_or_write(FakeEndpoint& replica, SlotId client, const ReceivedRequest& request) {
  if (request.id != kHeldRequest) healthy_writer(replica, client, request);
}

struct Site {
  TestEventLoop work;
  FakeEndpoint reader{work, healthy_reader};
  FakeEndpoint writer{work, hold_or_write};
  int port = free_port();
  std::unique_ptr<FakeClient> client() {
    const auto loopback_address = boost::asio::ip::address_v4::loopback();
    return std::make_unique<FakeClient>(
        work, net::tcp::endpoint(loopback_address, static_cast<unsigned short>(port)));
  }
  [[nodiscard]] int releases() const {
    return reader.count("DELETE", kHeldRequest) + writer.count("DELETE", kHeldRequest);
  }
  // Waits in real time; the number of rounds only ends a test that has failed.
  template <class Condition>
  bool until_late(Condition condition) {
    constexpr int kMaxRounds = 10;
    for (int round = 0; round < kMaxRounds; ++round)
      if (work.until(condition)) return true;
    return false;
  }
};

// Lets the processes that are started from now on open only so many descriptors.
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

TEST_CASE("confined as on the fleet, the daemon starts, streams, reloads and drains", "[confine]") {
  Site site;
  ConfinedProcess daemon(DISPATCHER_DAEMON, {});
  daemon.write_config(configuration(site.port, 1, site.reader, site.writer));
  daemon.start();
  REQUIRE(becomes_healthy(site.work, site.port));

  const auto client = site.client();
  client->post(platform_headers("c0ffee01", "ask"), chat_body("ask", ResponseMode::kStream));
  REQUIRE(site.work.until([&] { return client->is_complete; }));
  CHECK(client->status == 200);
  CHECK(client->body.find("yes") != std::string::npos);
  CHECK(site.writer.count("POST", "c0ffee01") == 1);

  daemon.write_config(configuration(site.port, 2, site.reader, site.writer));
  daemon.signal(SIGHUP);
  CHECK(site.work.until(
      [&] { return daemon.log().find("reloaded: discovery at 127.0.0.1:2") != std::string::npos; }));

  daemon.signal(SIGTERM);
  CHECK(daemon.wait_end() == 0);
  CHECK(daemon.log().find("drained") != std::string::npos);
  // The stand-in was on, and nothing that the fleet refuses was tried.
  CHECK(daemon.report() == "confined\n");
}

// The kernel allows fewer descriptors than the file (256), and more idle clients come than there are of
// either.
TEST_CASE("with its descriptors full of idle clients the daemon reaches discovery and replicas",
          "[confine]") {
  Site site;
  Agent discovery(site.work);
  ConfinedProcess daemon(DISPATCHER_DAEMON, {});
  daemon.write_config(configuration(site.port, discovery.address().port(), site.reader, site.writer));
  discovery.stop_listening();  // its socket must not be inherited, which would keep the port open
  {
    const InheritedDescriptorLimit limit(96);
    daemon.start();
  }
  discovery.listen();
  REQUIRE(becomes_healthy(site.work, site.port));
  REQUIRE(site.until_late([&] { return discovery.request_count() == 1; }));
  discovery.stop_listening();
  Agent::reset(*discovery.calls[0]);
  std::vector<std::unique_ptr<FakeClient>> idle_clients;
  for (int i = 0; i < 300; ++i) {
    idle_clients.push_back(site.client());
    idle_clients.back()->get("/healthz");
    REQUIRE(site.work.until([&] { return idle_clients.back()->is_finished(); }));
  }
  discovery.listen();
  CHECK(site.until_late([&] { return discovery.request_count() >= 2; }));
  const auto served = site.client();
  served->post(platform_headers("c0ffee01", "ask"), kPlatformBody);
  CHECK(site.until_late([&] { return served->is_finished(); }));
  CHECK(served->status == 200);
  const auto leaving = site.client();
  leaving->post(platform_headers(kHeldRequest, "ask"), kPlatformBody);
  CHECK(site.until_late([&] { return site.writer.count("POST", kHeldRequest) == 1; }));
  leaving->close();
  CHECK(site.until_late([&] { return site.releases() > 0; }));
  daemon.signal(SIGTERM);
  CHECK(site.until_late([&] { return daemon.log().find("drained") != std::string::npos; }));
  CHECK(daemon.wait_end() == 0);
}

TEST_CASE("a hand-over socket in TMPDIR that the filter refuses is logged, and the daemon starts",
          "[confine]") {
  Site site;
  ConfinedProcess daemon(DISPATCHER_DAEMON, {});
  ConfinedProcess with_folder(DISPATCHER_DAEMON, {"TMPDIR=" + daemon.folder().string()});
  with_folder.write_config(configuration(site.port, 1, site.reader, site.writer));
  with_folder.start();
  REQUIRE(becomes_healthy(site.work, site.port));
  with_folder.signal(SIGTERM);
  CHECK(with_folder.wait_end() == 0);
  CHECK(with_folder.report().find("refused socket family 1\n") != std::string::npos);
  CHECK(with_folder.log().find("drained") != std::string::npos);
}

TEST_CASE("the filter refuses and reports the fleet's forbidden calls, and permits threads and IPv4",
          "[confine]") {
  ConfinedProcess probe(CONFINE_PROBE, {});
  probe.start();
  REQUIRE(probe.wait_end() == 0);
  const std::string said = probe.log(), report = probe.report();
  CHECK(said.find("fork -1 38\n") != std::string::npos);  // ENOSYS
  CHECK(said.find("posix_spawn -1 38\n") != std::string::npos);
  CHECK(said.find("execve -1 38\n") != std::string::npos);
  CHECK(said.find("socket_unix -1 97\n") != std::string::npos);  // EAFNOSUPPORT
  CHECK(said.find("socketpair -1 97\n") != std::string::npos);
  CHECK(said.find("splice -1 22\n") != std::string::npos);  // EINVAL
  CHECK(said.find("sendfile -1 38\n") != std::string::npos);
  CHECK(said.find("io_uring_setup -1 38\n") != std::string::npos);
  CHECK(said.find("socket_inet 0 0\n") != std::string::npos);
  CHECK(said.find("thread 0 0\n") != std::string::npos);
  for (const char* call : {"fork", "posix_spawnp", "execve", "socket family 1", "socketpair", "splice",
                           "sendfile", "io_uring_setup"}) {
    CAPTURE(call);
    CHECK(report.find(std::string("refused ") + call + "\n") != std::string::npos);
  }
}

}  // namespace
}  // namespace dispatcher::testing
