// Explores the membership of three members under every sequence of faults up to a bound. A fault loses,
// delays or repeats a message, or stops or restarts a member. The fleet must recover once the faults end.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

#include "tests/fixtures/deep_run.hpp"
#include "tests/fixtures/fleet_fixture.hpp"

namespace dispatcher::testing {
namespace {

// A message that was sent and has not arrived yet.
struct InFlightMessage {
  MemberIndex from;
  MemberIndex to;
  MemberVersion version;
  std::optional<Probe> probe;
  std::vector<MemberUpdate> updates;
};

// Three members, their network and their common clock, as one value that can be copied and hashed.
struct ThreeMembers {
  std::vector<Membership> members;
  std::vector<bool> is_stopped{false, false, false};
  std::vector<InFlightMessage> in_flight;
  std::vector<InFlightMessage> delayed;  // overtaken, or queued in a stopped member's socket
  Time now = seconds(100);
  std::uint64_t incarnation = 10;
  int faults = 0;

  static Parameters parameters() {
    Parameters parameters;
    parameters.suspicion_multiplier = 2;
    parameters.suspicion_max_multiplier = 2;
    parameters.reconnect_every = 2;
    return parameters;
  }
  ThreeMembers() {
    for (MemberIndex member = 0; member < 3; ++member) members.push_back(new_process(member));
  }
  Membership new_process(MemberIndex member) {
    return {parameters(), member, 3, ++incarnation, now, membership::Random(member + 1)};
  }
  void send(MemberIndex from, const std::vector<OutgoingMessage>& messages) {
    for (const OutgoingMessage& message : messages) {
      const auto updates = members[from].update_queue(message.to);
      for (const MemberUpdate& update : updates) members[from].mark_sent(update.member);
      in_flight.push_back({from, message.to, members[from].version(), message.probe, updates});
    }
  }
  void deliver(const InFlightMessage& message) {
    if (is_stopped[message.to]) return delayed.push_back(message);  // stays in the socket's queue
    Membership& receiver = members[message.to];
    send(message.to,
         receiver.on_received(now, message.from, message.version, message.probe, message.updates));
  }
  void restart(MemberIndex member) {
    members[member] = new_process(member);
    is_stopped[member] = false;
  }
  void resume(MemberIndex member) {
    is_stopped[member] = false;
    deliver_delayed();
  }
  void deliver_delayed() {
    std::vector<InFlightMessage> messages;
    messages.swap(delayed);
    for (const InFlightMessage& message : messages) deliver(message);
  }
  InFlightMessage take_first() {
    InFlightMessage message = in_flight.front();
    in_flight.erase(in_flight.begin());
    return message;
  }
  void advance_time() {
    Time next = Time::max();
    for (MemberIndex member = 0; member < 3; ++member) {
      if (!is_stopped[member]) next = std::min(next, members[member].next_deadline());
    }
    if (next == Time::max()) next = now + seconds(1);
    now = std::max(now, next);
    for (MemberIndex member = 0; member < 3; ++member) {
      if (!is_stopped[member] && members[member].next_deadline() <= now)
        send(member, members[member].tick(now));
    }
  }
  // Takes the next step without a fault: delivers a message, or advances the time if none is in flight.
  void step() {
    if (in_flight.empty()) return advance_time();
    deliver(take_first());
  }
  [[nodiscard]] bool all_alive() const {
    for (const Membership& observer : members) {
      for (MemberIndex member = 0; member < 3; ++member) {
        if (observer.state(member) != MemberState::kAlive) return false;
      }
    }
    return true;
  }
  [[nodiscard]] bool is_any_dead() const {
    for (const Membership& observer : members) {
      for (MemberIndex member = 0; member < 3; ++member) {
        if (observer.state(member) == MemberState::kDead) return true;
      }
    }
    return false;
  }
  // Returns true if no view contains an incarnation or a refutation that its member never had, and each
  // member considers itself alive.
  [[nodiscard]] bool is_consistent() const {
    for (const Membership& observer : members) {
      if (observer.state(observer.self()) != MemberState::kAlive) return false;
      for (MemberIndex member = 0; member < 3; ++member) {
        if (observer.latest_update(member).version > members[member].version()) return false;
      }
    }
    return true;
  }
  [[nodiscard]] std::uint64_t hash() const {
    std::vector<std::uint64_t> state;
    for (MemberIndex member = 0; member < 3; ++member) {
      state.push_back(members[member].state_hash(now));
      state.push_back(is_stopped[member]);
    }
    for (const auto* messages : {&in_flight, &delayed}) {
      state.push_back(messages->size());
      for (const InFlightMessage& message : *messages) append(message, state);
    }
    return XXH3_64bits(state.data(), state.size() * sizeof state[0]);
  }
  static void append(const InFlightMessage& message, std::vector<std::uint64_t>& state) {
    state.insert(state.end(), {message.from, message.to, message.version.incarnation,
                               message.version.refutations, message.probe.has_value()});
    if (const auto& probe = message.probe)
      state.insert(state.end(), {static_cast<std::uint64_t>(probe->type), probe->sequence, probe->target});
    for (const MemberUpdate& update : message.updates)
      state.insert(state.end(), {update.member, update.version.incarnation, update.version.refutations,
                                 static_cast<std::uint64_t>(update.state), update.accuser});
  }
};

// Returns the states after each fault that may come next.
std::vector<ThreeMembers> faults(const ThreeMembers& system) {
  std::vector<ThreeMembers> found;
  const auto add = [&](int cost, auto change) {
    ThreeMembers& next = found.emplace_back(system);
    next.faults += cost;
    change(next);
  };
  if (!system.in_flight.empty()) {
    add(1, [](ThreeMembers& next) { next.take_first(); });                          // is lost
    add(1, [](ThreeMembers& next) { next.delayed.push_back(next.take_first()); });  // is delayed
    add(1, [](ThreeMembers& next) {
      next.delayed.push_back(next.in_flight.front());
      next.step();
    });  // is repeated
    return found;
  }
  for (MemberIndex member = 0; member < 3; ++member) {
    if (system.is_stopped[member]) {
      add(0, [&](ThreeMembers& next) { next.resume(member); });
    } else {
      add(1, [&](ThreeMembers& next) { next.is_stopped[member] = true; });
    }
    add(1, [&](ThreeMembers& next) { next.restart(member); });
  }
  if (!system.delayed.empty()) add(0, [](ThreeMembers& next) { next.deliver_delayed(); });
  return found;
}

// The result of an exploration.
struct Exploration {
  std::size_t states = 0;
  std::size_t ends = 0;  // distinct states at the end of the time for faults
  std::size_t inconsistent = 0;
  std::size_t unrecovered = 0;
  std::size_t false_deaths = 0;  // ends with a member considered dead, which shows that faults have effects
};

// Returns whether all members consider all others alive soon after the faults have ended.
bool recovers(ThreeMembers& system) {
  for (MemberIndex member = 0; member < 3; ++member) system.resume(member);
  const Time deadline = system.now + seconds(60);
  while (!system.all_alive() && system.now < deadline) system.step();
  return system.all_alive();
}

Exploration explore(int max_faults, Time max_time, std::size_t max_states) {
  Exploration found;
  // Starts without faults, until all members consider all others alive.
  ThreeMembers first;
  while (!(first.all_alive() && first.now > seconds(105) && first.in_flight.empty())) first.step();
  const Time end = first.now + max_time;
  const auto state_of = [&](const ThreeMembers& system) {
    return system.hash() ^ static_cast<std::uint64_t>(system.faults) * 0x9E3779B97F4A7C15U ^
           static_cast<std::uint64_t>((system.now - first.now).count()) * 0xBF58476D1CE4E5B9U;
  };
  std::unordered_set<std::uint64_t> seen;
  std::unordered_set<std::uint64_t> ended;
  std::vector<ThreeMembers> stack{first};
  while (!stack.empty() && seen.size() < max_states) {
    ThreeMembers system = std::move(stack.back());
    stack.pop_back();
    if (!seen.insert(state_of(system)).second) continue;
    if (!system.is_consistent()) ++found.inconsistent;
    if (system.now >= end) {
      if (!ended.insert(system.hash()).second) continue;
      found.false_deaths += system.is_any_dead() ? 1 : 0;
      found.unrecovered += recovers(system) ? 0 : 1;
      continue;
    }
    if (system.faults < max_faults) {
      for (ThreeMembers& next : faults(system)) stack.push_back(std::move(next));
    }
    system.step();
    stack.push_back(std::move(system));
  }
  found.states = seen.size();
  found.ends = ended.size();
  return found;
}

TEST_CASE("three members recover from every combination of up to two faults at any point", "[membership]") {
  const Exploration found = explore(2, seconds(5), 200'000);
  INFO(found.states << " states, " << found.ends << " ends, " << found.false_deaths
                    << " with a member considered dead");
  CHECK(found.states > 5'000);
  CHECK(found.states < 200'000);  // the exploration was complete
  CHECK(found.false_deaths > 0);
  CHECK(found.inconsistent == 0);
  CHECK(found.unrecovered == 0);
}

// The bounds of an exploration: up to `max_faults` faults at any point within `time`.
struct Depth {
  int max_faults;
  seconds time;
};

// Returns explorations with more faults than the test above in less time, and with two faults in a longer
// time.
std::vector<Depth> greater_depths() {
  if (is_deep_run()) return {{2, seconds(12)}, {3, seconds(5)}, {4, seconds(3)}};
  return {{2, seconds(7)}, {3, seconds(2)}, {4, seconds(1)}};
}

TEST_CASE("three members recover from up to four faults", "[membership]") {
  constexpr std::size_t kMaxStates = 3'000'000;
  for (const auto& [max_faults, time] : greater_depths()) {
    const Exploration found = explore(max_faults, time, kMaxStates);
    INFO(max_faults << " faults in " << time.count() << " s: " << found.states << " states, " << found.ends
                    << " ends, " << found.false_deaths << " with a member considered dead");
    CHECK(found.states > 5'000);
    CHECK((is_deep_run() || found.states < kMaxStates));  // the exploration was complete
    CHECK(found.inconsistent == 0);
    CHECK(found.unrecovered == 0);
  }
}

}  // namespace
}  // namespace dispatcher::testing
