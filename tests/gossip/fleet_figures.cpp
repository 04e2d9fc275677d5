// Figures of a fleet in virtual time, for docs/design/fleet-as-one.md. Hidden: run with "[.figures]".
#include <cstdio>

#include "tests/fixtures/fleet_fixture.hpp"

namespace dispatcher::testing {
namespace {

// Times in seconds; what is sent, a member; suspicions and deaths, a member and minute.
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

// Measures one fleet, phase by phase.
class Measurement {
 public:
  Measurement(MemberIndex count, double loss, std::uint64_t seed) : fixture_(count, seed) {
    fixture_.network.loss = loss;
    fixture_.on_change = [this](MemberIndex, const membership::MemberChange& change) {
      suspicions_ += change.after == MemberState::kSuspect && change.before == MemberState::kAlive;
      deaths_ += change.after == MemberState::kDead;
    };
  }

  Figures run() {
    measure_join();
    fixture_.run(seconds(30));
    measure_idle();
    measure_spread();
    fixture_.run(seconds(20));
    measure_busy();
    fixture_.run(seconds(20));
    measure_detection();
    return figures_;
  }

 private:
  void measure_join() {
    fixture_.start_all();
    const Time started_at = fixture_.now();
    // Under loss somebody is nearly always under suspicion somewhere.
    fixture_.until([this] { return is_joined(); }, seconds(120));
    figures_.joined_s = to_seconds(fixture_.now() - started_at);
  }

  [[nodiscard]] bool is_joined() {
    for (MemberIndex member = 0; member < fixture_.count(); ++member) {
      if (fixture_.node(member).members().live_members().size() + 1 < fixture_.count()) return false;
    }
    return true;
  }

  void measure_idle() {
    suspicions_ = 0;
    deaths_ = 0;
    const std::uint64_t before = sent_bytes(fixture_);
    fixture_.run(seconds(120));
    figures_.idle_bytes_per_second =
        static_cast<double>(sent_bytes(fixture_) - before) / 120 / fixture_.count();
    // Views that turned, by member accused and minute: one suspicion seen by all counts as (count - 1) views.
    const double member_minutes = 2.0 * fixture_.count();
    figures_.false_suspicions = static_cast<double>(suspicions_) / (fixture_.count() - 1) / member_minutes;
    figures_.false_deaths = static_cast<double>(deaths_) / (fixture_.count() - 1) / member_minutes;
  }

  void measure_spread() {
    const std::uint64_t id = replicated_state::entry_id("s-1");
    const MemberIndex count = fixture_.count();
    const Time written_at = fixture_.now();
    fixture_.write_evidence(0, id);
    fixture_.until([&] { return fixture_.members_with_evidence(id) * 2 >= count; }, seconds(29));
    figures_.half_informed_s = to_seconds(fixture_.now() - written_at);
    fixture_.until([&] { return fixture_.members_with_evidence(id) == count; },
                   seconds(29) - (fixture_.now() - written_at));
    figures_.all_informed_s = to_seconds(fixture_.now() - written_at);
  }

  // One new piece of evidence a second, by members in turn.
  void measure_busy() {
    const std::uint64_t before = sent_bytes(fixture_);
    for (MemberIndex i = 0; i < 60; ++i) {
      fixture_.write_evidence(i % fixture_.count(), 1000 + i);
      fixture_.run(seconds(1));
    }
    figures_.busy_bytes_per_second =
        static_cast<double>(sent_bytes(fixture_) - before) / 60 / fixture_.count();
  }

  void measure_detection() {
    const MemberIndex victim = fixture_.count() / 2;
    fixture_.kill(victim);
    const Time died_at = fixture_.now();
    fixture_.until([&] { return is_detected_by_any(victim); }, seconds(120));
    figures_.first_detected_s = to_seconds(fixture_.now() - died_at);
    fixture_.until([&] { return fixture_.all_consider(victim, MemberState::kDead); }, seconds(120));
    figures_.all_detected_s = to_seconds(fixture_.now() - died_at);
  }

  [[nodiscard]] bool is_detected_by_any(MemberIndex victim) {
    for (MemberIndex member = 0; member < fixture_.count(); ++member) {
      if (!fixture_.is_running(member)) continue;
      if (fixture_.node(member).members().state(victim) == MemberState::kDead) return true;
    }
    return false;
  }

  FleetFixture fixture_;
  Figures figures_;
  std::uint64_t suspicions_ = 0;
  std::uint64_t deaths_ = 0;
};

// As varints alone, without tags and lengths: what a format without protobuf would take.
std::size_t varint_bytes(std::initializer_list<std::uint64_t> fields) {
  std::size_t bytes = 0;
  for (std::uint64_t field : fields) {
    ++bytes;
    for (; field >= 0x80U; field >>= 7U) ++bytes;
  }
  return bytes;
}

TEST_CASE("sizes of what datagrams hold", "[.figures]") {
  const std::uint64_t incarnation = 1'800'000'000'000;
  const Sender sender{0, 100, 42, {incarnation, 0}, 20'000};
  const std::size_t head = DatagramBuilder(sender).size();
  const std::size_t varint_head = varint_bytes({1, 0, 100, 42, incarnation, 0, 20'000});
  std::printf("head %zu by hand %zu\n", head, varint_head);
  const auto print = [&](const char* name, auto add, std::size_t varints) {
    DatagramBuilder builder(sender);
    add(builder);
    std::printf("%s %zu by hand %zu\n", name, builder.size() - head, varints);
  };
  print(
      "probe",
      [](DatagramBuilder& builder) {
        builder.add(Probe{Probe::Type::kPing, 20'000, 0});
      },
      varint_bytes({0, 20'000}));
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
      varint_bytes({77, incarnation, 0}));
  print(
      "suspicion",
      [&](DatagramBuilder& builder) {
        builder.add(MemberUpdate{77, {incarnation, 1}, MemberState::kSuspect, 5});
      },
      varint_bytes({77, incarnation, 1, 5}));
  Entry entry;
  entry.key = {1, replicated_state::entry_id("s-5be2a07c"), 42};
  entry.incarnation = incarnation;
  entry.version = 300;
  entry.age = seconds(2);
  const auto payload = replicated_state::encode({3, 4});
  entry.payload.assign(payload.begin(), payload.end());
  const std::size_t own =
      varint_bytes({1, entry.key.id, 300, 200}) + 1 + 2 + 1;  // flags, payload, its length
  print(
      "own entry", [&](DatagramBuilder& builder) { builder.add(entry); }, own);
  entry.key.owner = 7;
  print(
      "entry of another", [&](DatagramBuilder& builder) { builder.add(entry); },
      own + varint_bytes({7, incarnation}));
  print(
      "digest",
      [](DatagramBuilder& builder) {
        builder.add(Digest{77, 300, 1}, DigestRole::kOffer);
      },
      varint_bytes({77, 300}) + 4);
  print(
      "request",
      [](DatagramBuilder& builder) {
        builder.add(QuotaRequest{{1, 1000}, 300, 0, 500});
      },
      varint_bytes({1, 1000, 300, 0, 500}));
  print(
      "grant",
      [&](DatagramBuilder& builder) {
        builder.add(QuotaGrant{{1, 1000}, incarnation, 300, 500, seconds(10)});
      },
      varint_bytes({1, 1000, incarnation, 300, 500, 10000}));
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
        const Figures figures = Measurement(count, loss, static_cast<std::uint64_t>(seed)).run();
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
