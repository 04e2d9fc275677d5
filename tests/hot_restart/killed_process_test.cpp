// Tests that a process which serves can be found by a later one, also after a process between them was killed
// or has ended.
#include "tests/fixtures/hot_restart_processes.hpp"

namespace dispatcher::testing {
namespace {

struct KilledProcessFixture : HotRestartProcesses {
  KilledProcessFixture() : HotRestartProcesses(healthy_reader, healthy_writer) {}
  [[nodiscard]] static bool took_over(const DispatcherProcess& process) {
    return process.logged("upgrade: taking over from the serving process");
  }
};

// Guards against a process that no later one finds, because its successor has replaced the socket for that
// and was killed: both would then serve side by side, without knowing of each other.
TEST_CASE("a process whose successor was killed hands over to the next one", "[upgrade]") {
  KilledProcessFixture fixture;
  DispatcherProcess& first = fixture.start();
  const int kills = GENERATE(1, 3);
  for (int i = 0; i < kills; ++i) {
    DispatcherProcess& killed = fixture.start();
    REQUIRE(KilledProcessFixture::took_over(killed));
    fixture.kill(killed);
    REQUIRE(fixture.until([&] { return first.logged("upgrade: the successor has ended"); }));
    first.logs.clear();
  }
  DispatcherProcess& last = fixture.start();
  CHECK(KilledProcessFixture::took_over(last));
  HotRestartProcesses::terminate(first);
  CHECK(fixture.until([&] { return first.has_ended(); }));
  const auto client = fixture.post("a1");
  CHECK(fixture.until([&] { return client->is_complete; }));
}

// Guards against a hand-over that can't be sent, because it names a listening socket that is closed already.
TEST_CASE("a process that no longer accepts clients hands over what it has", "[upgrade][chat]") {
  KilledProcessFixture fixture;
  fixture.files.chat = {"chat.json",
                        R"({"listen":"127.0.0.1:0","account":"acme","models":[{"id":"ask","class":"ask"}]})"};
  DispatcherProcess& first = fixture.start();
  const auto unfinished = fixture.client(fixture.config.listen);
  unfinished->send("POST /v1/chat/completions HTTP/1.1\r\n");
  fixture.run_for(milliseconds(10));
  HotRestartProcesses::terminate(first);
  fixture.run_for(milliseconds(600));  // it has no successor, and closes its listeners after a while
  REQUIRE_FALSE(first.has_ended());
  DispatcherProcess& second = fixture.start();
  CHECK(KilledProcessFixture::took_over(second));
}

// Guards against an old process that takes the place of the one that serves, because the one between them has
// ended.
TEST_CASE("a process whose successor was replaced leaves the place to the one that replaced it",
          "[upgrade]") {
  KilledProcessFixture fixture;
  DispatcherProcess& first = fixture.start();
  DispatcherProcess& second = fixture.start();
  DispatcherProcess& third = fixture.start();
  HotRestartProcesses::terminate(second);
  REQUIRE(fixture.until([&] { return second.has_ended(); }));
  fixture.run_for(milliseconds(50));
  REQUIRE(first.logged("upgrade: the successor has ended"));
  DispatcherProcess& fourth = fixture.start();
  CHECK(KilledProcessFixture::took_over(fourth));
  CHECK(third.logged("upgrade: another process takes over"));
}

}  // namespace
}  // namespace dispatcher::testing
