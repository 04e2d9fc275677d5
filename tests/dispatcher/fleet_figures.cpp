// Figures of a fleet in virtual time, for docs/design/fleet-as-one.md. Hidden: run with "[.figures]".
#include <cstdio>

#include "fleet_fixture.hpp"

namespace dispatcher::testing {
namespace {

struct Figures {
  double joined_s = 0;
  double idle_bytes_per_second = 0;
  double false_suspicions = 0;
  double false_deaths = 0;
  double first_detected_s = 0;
  double all_detected_s = 0;
  double half_informed_s = 0;
  double all_informed_s = 0;
  double busy_bytes_per_second = 0;
};

double to_seconds(Time time) { return static_cast<double>(time.count()) / 1e6; }

std::uint64_t sent_bytes(FleetFixture& fixture) {
  std::uint64_t sum = 0;
  for (MemberIndex member = 0; member < fixture.count(); ++member)
    sum += fixture.is_running(member) ? fixture.node(member).counts().sent_bytes : 0;
  return sum;
}

Figures measure(MemberIndex count, double loss, std::uint64_t seed) {
  Figures figures;
  FleetFixture fixture(count, seed);
  fixture.network.loss = loss;
  std::uint64_t suspicions = 0, deaths = 0;
  fixture.on_change = [&](MemberIndex, const membership::MemberChange& change) {
    suspicions += change.after == MemberState::kSuspect && change.before == MemberState::kAlive;
    deaths += change.after == MemberState::kDead;
  };
  fixture.start_all();
  const Time started_at = fixture.now();
  // Under loss somebody is nearly always under suspicion somewhere.
  fixture.until(
      [&] {
        for (MemberIndex member = 0; member < count; ++member) {
          if (fixture.node(member).members().live_members().size() + 1 < count) return false;
        }
        return true;
      },
      seconds(120));
  figures.joined_s = to_seconds(fixture.now() - started_at);
  fixture.run(seconds(30));
  suspicions = deaths = 0;
  std::uint64_t before = sent_bytes(fixture);
  fixture.run(seconds(120));
  figures.idle_bytes_per_second = static_cast<double>(sent_bytes(fixture) - before) / 120 / count;
  // Views that turned, by member accused and minute: one suspicion seen by all counts as (count - 1) views.
  const double member_minutes = 2.0 * count;
  figures.false_suspicions = static_cast<double>(suspicions) / (count - 1) / member_minutes;
  figures.false_deaths = static_cast<double>(deaths) / (count - 1) / member_minutes;

  const std::uint64_t id = replicated_state::entry_id("s-1");
  const Time written_at = fixture.now();
  fixture.write_evidence(0, id);
  fixture.until([&] { return fixture.members_with_evidence(id) * 2 >= count; }, seconds(29));
  figures.half_informed_s = to_seconds(fixture.now() - written_at);
  fixture.until([&] { return fixture.members_with_evidence(id) == count; },
                seconds(29) - (fixture.now() - written_at));
  figures.all_informed_s = to_seconds(fixture.now() - written_at);
  fixture.run(seconds(20));

  // One new piece of evidence a second, by members in turn.
  before = sent_bytes(fixture);
  for (MemberIndex i = 0; i < 60; ++i) {
    const MemberIndex member = i % count;
    fixture.write_evidence(member, 1000 + i);
    fixture.run(seconds(1));
  }
  figures.busy_bytes_per_second = static_cast<double>(sent_bytes(fixture) - before) / 60 / count;
  fixture.run(seconds(20));

  const MemberIndex victim = count / 2;
  fixture.kill(victim);
  const Time died_at = fixture.now();
  fixture.until(
      [&] {
        for (MemberIndex member = 0; member < count; ++member) {
          if (fixture.is_running(member) &&
              fixture.node(member).members().state(victim) == MemberState::kDead)
            return true;
        }
        return false;
      },
      seconds(120));
  figures.first_detected_s = to_seconds(fixture.now() - died_at);
  fixture.until([&] { return fixture.all_consider(victim, MemberState::kDead); }, seconds(120));
  figures.all_detected_s = to_seconds(fixture.now() - died_at);
  return figures;
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
  const std::uint64_t incarnation = 1'800'000'000'000;
  const Sender sender{0, 100, 42, {incarnation, 0}, 20'000};
  const std::size_t head = DatagramBuilder(sender).size(),
                    head_by_hand = by_hand({1, 0, 100, 42, incarnation, 0, 20'000});
  std::printf("head %zu by hand %zu\n", head, head_by_hand);
  const auto print = [&](const char* name, auto add, std::size_t hand) {
    DatagramBuilder builder(sender);
    add(builder);
    std::printf("%s %zu by hand %zu\n", name, builder.size() - head, hand);
  };
  print(
      "probe",
      [](DatagramBuilder& builder) {
        builder.add(Probe{Probe::Type::kPing, 20'000, 0});
      },
      by_hand({0, 20'000}));
  print(
      "hashes",
      [](DatagramBuilder& builder) {
        builder.add_members_hash(1);
        builder.add_group(3, 1);
      },
      9);
  print(
      "update",
      [&](DatagramBuilder& builder) {
        builder.add(MemberUpdate{77, {incarnation, 0}, MemberState::kAlive, 0});
      },
      by_hand({77, incarnation, 0}));
  print(
      "suspicion",
      [&](DatagramBuilder& builder) {
        builder.add(MemberUpdate{77, {incarnation, 1}, MemberState::kSuspect, 5});
      },
      by_hand({77, incarnation, 1, 5}));
  Entry entry;
  entry.key = {1, replicated_state::entry_id("s-5be2a07c"), 42};
  entry.incarnation = incarnation;
  entry.version = 300;
  entry.age = seconds(2);
  const auto payload = replicated_state::encode({3, 4});
  entry.payload.assign(payload.begin(), payload.end());
  const std::size_t own = by_hand({1, entry.key.id, 300, 200}) + 1 + 2 + 1;  // flags, payload, its length
  print(
      "own entry", [&](DatagramBuilder& builder) { builder.add(entry); }, own);
  entry.key.owner = 7;
  print(
      "entry of another", [&](DatagramBuilder& builder) { builder.add(entry); },
      own + by_hand({7, incarnation}));
  print(
      "digest",
      [](DatagramBuilder& builder) {
        builder.add(Digest{77, 300, 1}, DigestRole::kOffer);
      },
      by_hand({77, 300}) + 4);
  print(
      "request",
      [](DatagramBuilder& builder) {
        builder.add(QuotaRequest{{1, 1000}, 300, 0, 500});
      },
      by_hand({1, 1000, 300, 0, 500}));
  print(
      "grant",
      [&](DatagramBuilder& builder) {
        builder.add(QuotaGrant{{1, 1000}, incarnation, 300, 500, seconds(10)});
      },
      by_hand({1, 1000, incarnation, 300, 500, 10000}));
}

TEST_CASE("figures of a fleet", "[.figures]") {
  std::printf(
      "| N | loss | joined s | idle B/s | suspicions | deaths | told half s | told all s | busy B/s | dead "
      "first s | dead all s |\n");
  for (const MemberIndex count : {3U, 30U, 100U, 300U}) {
    for (const double loss : {0.0, 0.1, 0.3}) {
      const int seeds = count > 100 ? 2 : 5;
      Figures sum;
      for (int seed = 1; seed <= seeds; ++seed) {
        const Figures figures = measure(count, loss, static_cast<std::uint64_t>(seed));
        for (auto field :
             {&Figures::joined_s, &Figures::idle_bytes_per_second, &Figures::false_suspicions,
              &Figures::false_deaths, &Figures::first_detected_s, &Figures::all_detected_s,
              &Figures::half_informed_s, &Figures::all_informed_s, &Figures::busy_bytes_per_second})
          sum.*field += figures.*field / seeds;
      }
      std::printf("| %u | %.0f%% | %.1f | %.0f | %.3f | %.4f | %.1f | %.1f | %.0f | %.1f | %.1f |\n", count,
                  loss * 100, sum.joined_s, sum.idle_bytes_per_second, sum.false_suspicions, sum.false_deaths,
                  sum.half_informed_s, sum.all_informed_s, sum.busy_bytes_per_second, sum.first_detected_s,
                  sum.all_detected_s);
      std::fflush(stdout);
    }
  }
}

}  // namespace
}  // namespace dispatcher::testing
