// The real daemon under a stand-in of the fleet's process terms (tests/confine/confine.cpp): it must start,
// serve a streamed answer, take a new file at SIGHUP and drain at SIGTERM, and try nothing that is refused
// there.
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "tests/fixtures/dispatcher_fixture.hpp"
#include "tests/service_discovery/endpoint_watcher_fixture.hpp"

extern char** environ;

namespace dispatcher::testing {
namespace {

namespace fs = std::filesystem;

std::string read_all(const fs::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// A port that nobody holds right now: the daemon must be told where to listen before it starts.
int free_port() {
  boost::asio::io_context io;
  net::tcp::acceptor acceptor(io, loopback());
  return acceptor.local_endpoint().port();
}

std::string dial(const FakeReplica& replica) {
  return "127.0.0.1:" + std::to_string(replica.server.local().port());
}

std::string configuration(int port, int discovery_port, const FakeReplica& reader,
                          const FakeReplica& writer) {
  const auto endpoint = [](const char* name, const char* kind, const std::string& at) {
    return std::string(R"({"host":")") + name + R"(","dial":")" + at + R"(","site":"here","class":")" + kind +
           R"(","block":0,"health":"up","share":1.0,"born_ms":0})";
  };
  return R"({"name":"n1","listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":"127.0.0.1:)" +
         std::to_string(discovery_port) + R"(","seed":"7","limits":{"memory_mb":32,"sockets":256},
    "settings":{"myNumber":0,"balancers":1,"myZone":"here","granularityMs":4.0,"hostTypes":["reader","writer"],
      "registryMode":"push","categories":[
        {"name":"ask","repeat":"safe","objectiveMs":1200.0,"deadlineMs":6000.0,"worth":1.0},
        {"name":"command","repeat":"unsafe","objectiveMs":800.0,"deadlineMs":3000.0,"worth":5.0}],
      "familyInfo":{"dutyByKind":["read","write"],"pinLimitMs":300.0},
      "limits":{"mostTries":4,"connectTimeoutMs":250.0,"idleCloseMs":15000.0},
      "guarantees":{"answerSlackMs":16.0,"drainGraceMs":250.0,"coldShare":0.3,"coldMs":14000.0,
        "tipMultiple":4.0,"tipAfterMs":2000.0}},
    "known":{"seq":1,"whole":true,"hosts":[)" +
         endpoint("r1", "reader", dial(reader)) + "," + endpoint("w1", "writer", dial(writer)) + "]}}";
}

// One confined process of a program, with its folder, its log and the stand-in's report. Owns process and
// folder: both are gone when it is destroyed.
class ConfinedProcess {
 public:
  ConfinedProcess(const std::string& program, std::vector<std::string> more_environment) {
    char pattern[] = "/tmp/bitternferry-confine-XXXXXX";
    folder_ = ::mkdtemp(pattern);
    std::vector<std::string> environment{"LD_PRELOAD=" + std::string(CONFINE_LIBRARY),
                                         "CONFINE_REPORT=" + (folder_ / "report").string(),
                                         "PROXY_CONFIG=" + config().string(), "PATH=/usr/bin:/bin",
                                         "ASAN_OPTIONS=detect_leaks=0:verify_asan_link_order=0"};
    for (std::string& more : more_environment) environment.push_back(std::move(more));
    environment_ = std::move(environment);
    program_ = program;
  }
  ~ConfinedProcess() {
    if (pid_ > 0 && !has_ended_) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  }
  [[nodiscard]] fs::path config() const { return folder_ / "config.json"; }
  [[nodiscard]] const fs::path& folder() const { return folder_; }
  void write_config(const std::string& text) const { std::ofstream(config()) << text; }
  void start() {
    std::vector<char*> env;
    for (std::string& variable : environment_) env.push_back(variable.data());
    env.push_back(nullptr);
    std::string name = program_;
    char* argv[] = {name.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = (folder_ / "log").string();
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    REQUIRE(::posix_spawn(&pid_, program_.c_str(), &actions, nullptr, argv, env.data()) == 0);
    posix_spawn_file_actions_destroy(&actions);
  }
  [[nodiscard]] std::string log() const { return read_all(folder_ / "log"); }
  [[nodiscard]] std::string report() const { return read_all(folder_ / "report"); }
  void signal(int number) const { ::kill(pid_, number); }
  // The status that it ended with; -1 if it has not ended within the bound, which only ends a failed test.
  int wait_end() {
    for (int i = 0; i < 2000; ++i) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        has_ended_ = true;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return -1;
  }

 private:
  fs::path folder_;
  std::vector<std::string> environment_;
  std::string program_;
  pid_t pid_ = 0;
  bool has_ended_ = false;
};

// Asks /healthz until the daemon answers, as the platform's front does before it sends anything.
bool becomes_healthy(TestEventLoop& work, int port) {
  const net::tcp::endpoint at(boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port));
  for (int i = 0; i < 200; ++i) {
    FakeClient client(work, at);
    client.get("/healthz");
    if (work.until([&] { return client.is_finished(); }) && client.status == 200) return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

// The writers never answer it.
constexpr const char* kHeldRequest = "c0ffee99";

void hold_or_write(FakeReplica& replica, SlotId client, const ReceivedRequest& request) {
  if (request.id != kHeldRequest) healthy_writer(replica, client, request);
}

struct Site {
  TestEventLoop work;
  FakeReplica reader{work, healthy_reader};
  FakeReplica writer{work, hold_or_write};
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
  discovery.reject();  // its socket must not be inherited, which would keep the port open
  {
    const InheritedDescriptorLimit limit(96);
    daemon.start();
  }
  discovery.listen();
  REQUIRE(becomes_healthy(site.work, site.port));
  REQUIRE(site.until_late([&] { return discovery.request_count() == 1; }));
  discovery.reject();
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
