// Figures of a fleet in virtual time, for docs/design/fleet-as-one.md. Hidden: run with "[.figures]".
#include <cstdio>

#include "fleet_fixture.hpp"

namespace dispatcher::testing {
namespace {

struct Figures {
  double joined = 0, idle_bytes = 0, false_suspicions = 0, false_deaths = 0, first = 0, all = 0,
         half_told = 0, all_told = 0, busy_bytes = 0;
};

double to_seconds(Time time) { return static_cast<double>(time.count()) / 1e6; }

std::uint64_t bytes_of(FleetFixture& fixture) {
  std::uint64_t sum = 0;
  for (Number n = 0; n < fixture.count(); ++n)
    sum += fixture.runs(n) ? fixture.node(n).counts().sent_bytes : 0;
  return sum;
}

Figures measure(Number count, double loss, std::uint64_t seed) {
  Figures f;
  FleetFixture fixture(count, seed);
  fixture.weather.loss = loss;
  std::uint64_t suspicions = 0, deaths = 0;
  fixture.on_change = [&](Number, const membership::Change& change) {
    suspicions += change.after == MemberState::kSuspect && change.before == MemberState::kAlive;
    deaths += change.after == MemberState::kDead;
  };
  fixture.start_all();
  const Time began = fixture.now();
  // Under loss somebody is nearly always under suspicion somewhere.
  fixture.until(
      [&] {
        for (Number a = 0; a < count; ++a) {
          if (fixture.node(a).members().living().size() + 1 < count) return false;
        }
        return true;
      },
      seconds(120));
  f.joined = to_seconds(fixture.now() - began);
  fixture.run(seconds(30));
  suspicions = deaths = 0;
  std::uint64_t before = bytes_of(fixture);
  fixture.run(seconds(120));
  f.idle_bytes = static_cast<double>(bytes_of(fixture) - before) / 120 / count;
  // Views that turned, by member accused and minute: one suspicion seen by all counts as (count - 1) views.
  const double member_minutes = 2.0 * count;
  f.false_suspicions = static_cast<double>(suspicions) / (count - 1) / member_minutes;
  f.false_deaths = static_cast<double>(deaths) / (count - 1) / member_minutes;

  const std::uint64_t key = replicated_state::key_of("s-1");
  const Time written = fixture.now();
  fixture.node(0).set(fixture.clock(0), replicated_state::kDoubtKind, key, replicated_state::encode({1, 2}));
  fixture.until([&] { return fixture.told(key) * 2 >= count; }, seconds(29));
  f.half_told = to_seconds(fixture.now() - written);
  fixture.until([&] { return fixture.told(key) == count; }, seconds(29) - (fixture.now() - written));
  f.all_told = to_seconds(fixture.now() - written);
  fixture.run(seconds(20));

  // One new doubt a second, by members in turn.
  before = bytes_of(fixture);
  for (Number i = 0; i < 60; ++i) {
    const Number n = i % count;
    fixture.node(n).set(fixture.clock(n), replicated_state::kDoubtKind, 1000 + i,
                        replicated_state::encode({1, 2}));
    fixture.run(seconds(1));
  }
  f.busy_bytes = static_cast<double>(bytes_of(fixture) - before) / 60 / count;
  fixture.run(seconds(20));

  const Number victim = count / 2;
  fixture.kill(victim);
  const Time died = fixture.now();
  fixture.until(
      [&] {
        for (Number n = 0; n < count; ++n) {
          if (fixture.runs(n) && fixture.node(n).members().standing(victim) == MemberState::kDead)
            return true;
        }
        return false;
      },
      seconds(120));
  f.first = to_seconds(fixture.now() - died);
  fixture.until([&] { return fixture.all_hold(victim, MemberState::kDead); }, seconds(120));
  f.all = to_seconds(fixture.now() - died);
  return f;
}

// As varints alone, without tags and lengths: what a format by hand would take.
std::size_t by_hand(std::initializer_list<std::uint64_t> fields) {
  std::size_t bytes = 0;
  for (std::uint64_t field : fields) {
    do ++bytes;
    while (field >>= 7U);
  }
  return bytes;
}

TEST_CASE("sizes of what datagrams hold", "[.figures]") {
  using gossip::Packer;
  const std::uint64_t life = 1'800'000'000'000;
  const gossip::Sender sender{0, 100, 42, {life, 0}, 20'000};
  const std::size_t head = Packer(sender).size(), head_by_hand = by_hand({1, 0, 100, 42, life, 0, 20'000});
  std::printf("head %zu by hand %zu\n", head, head_by_hand);
  const auto print = [&](const char* name, auto add, std::size_t hand) {
    Packer packer(sender);
    add(packer);
    std::printf("%s %zu by hand %zu\n", name, packer.size() - head, hand);
  };
  print(
      "probe",
      [](Packer& p) {
        p.add(membership::Probe{membership::Probe::Type::kPing, 20'000, 0});
      },
      by_hand({0, 20'000}));
  print(
      "hashes",
      [](Packer& p) {
        p.add_members_hash(1);
        p.add_group(3, 1);
      },
      9);
  print(
      "claim",
      [&](Packer& p) {
        p.add(membership::MemberUpdate{77, {life, 0}, MemberState::kAlive, 0});
      },
      by_hand({77, life, 0}));
  print(
      "suspicion",
      [&](Packer& p) {
        p.add(membership::MemberUpdate{77, {life, 1}, MemberState::kSuspect, 5});
      },
      by_hand({77, life, 1, 5}));
  replicated_state::Row row;
  row.place = {1, replicated_state::key_of("s-5be2a07c"), 42};
  row.life = life;
  row.version = 300;
  row.age = seconds(2);
  const auto payload = replicated_state::encode({3, 4});
  row.payload.assign(payload.begin(), payload.end());
  const std::size_t own = by_hand({1, row.place.key, 300, 200}) + 1 + 2 + 1;  // flags, payload, its length
  print(
      "own row", [&](Packer& p) { p.add(row); }, own);
  row.place.owner = 7;
  print(
      "row of another", [&](Packer& p) { p.add(row); }, own + by_hand({7, life}));
  print(
      "summary",
      [](Packer& p) {
        p.add(replicated_state::Summary{77, 300, 1}, false);
      },
      by_hand({77, 300}) + 4);
  print(
      "ask",
      [](Packer& p) {
        p.add(replicated_state::Ask{{1, 1000}, 300, 0, 500});
      },
      by_hand({1, 1000, 300, 0, 500}));
  print(
      "grant",
      [&](Packer& p) {
        p.add(replicated_state::Grant{{1, 1000}, life, 300, 500, seconds(10)});
      },
      by_hand({1, 1000, life, 300, 500, 10000}));
}

TEST_CASE("figures of a fleet", "[.figures]") {
  std::printf(
      "| N | loss | joined s | idle B/s | suspicions | deaths | told half s | told all s | busy B/s | dead "
      "first s | dead all s |\n");
  for (const Number count : {3U, 30U, 100U, 300U}) {
    for (const double loss : {0.0, 0.1, 0.3}) {
      const int seeds = count > 100 ? 2 : 5;
      Figures sum;
      for (int seed = 1; seed <= seeds; ++seed) {
        const Figures f = measure(count, loss, static_cast<std::uint64_t>(seed));
        for (auto field :
             {&Figures::joined, &Figures::idle_bytes, &Figures::false_suspicions, &Figures::false_deaths,
              &Figures::first, &Figures::all, &Figures::half_told, &Figures::all_told, &Figures::busy_bytes})
          sum.*field += f.*field / seeds;
      }
      std::printf("| %u | %.0f%% | %.1f | %.0f | %.3f | %.4f | %.1f | %.1f | %.0f | %.1f | %.1f |\n", count,
                  loss * 100, sum.joined, sum.idle_bytes, sum.false_suspicions, sum.false_deaths,
                  sum.half_told, sum.all_told, sum.busy_bytes, sum.first, sum.all);
      std::fflush(stdout);
    }
  }
}

}  // namespace
}  // namespace dispatcher::testing
