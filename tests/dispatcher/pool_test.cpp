// The pool of connections to replicas, against stand-in replicas on loopback.
#include "world.hpp"

namespace bitternferry::testing {
namespace {

bool lease_call(const StandInReplica::Seen& seen) { return seen.target.starts_with("/kv/leases/"); }

// Seen on the soak day of the standing test: a dispatcher crashed after 35 minutes. A connection that had
// been idle once stays named in the order of idle ones after it is taken. Parked again while the pool holds
// its most idle connections, it made room by closing the oldest in that order: itself. It was then parked all
// the same, and the next connection taken for its replica was one that no longer existed.
TEST_CASE("a connection parked again is not the one closed to make room for it", "[pool]") {
  std::vector<std::pair<SlotId, std::string>> held;  // answers that the writer keeps back
  World world(read_well, [&](StandInReplica& replica, SlotId client, const StandInReplica::Seen& seen) {
    if (!lease_call(seen)) return write_well(replica, client, seen);
    if (seen.target.ends_with("/slow")) return void(held.emplace_back(client, seen.target));
    replica.say(client, 200);
  });
  replica::Options options{
      world.settings.connect_timeout, world.settings.idle_close, milliseconds(100), 4, 1, 64};
  world.pool.adopt(options);
  const auto calls = [&] { return world.writer().count("POST"); };
  const auto ask = [&](int attempt, const std::string& id) {
    world.pool.hold({SlotId{}, attempt}, "w1", id);
  };
  ask(1, "first");  // opens connection A, which is parked: the one idle connection
  REQUIRE(world.until([&] { return calls() == 1; }));
  world.settle();
  ask(2, "slow");  // takes A, whose answer is kept back
  REQUIRE(world.until([&] { return held.size() == 1; }));
  ask(3, "third");  // opens B, parked while A is out
  REQUIRE(world.until([&] { return calls() == 3; }));
  world.settle();
  world.writer().say(held[0].first, 200);  // A comes back while B is the one idle connection
  world.settle();
  ask(4, "fourth");  // takes whatever is idle for w1
  REQUIRE(world.until([&] { return calls() == 4; }));
  world.settle();
  CHECK(world.pool.open() <= 2);
}

}  // namespace
}  // namespace bitternferry::testing
