// Measures a fleet in virtual time against bounds, and checks the encoded sizes of the parts of a datagram.
// With DISPATCHER_DEEP_TESTS=1 it prints the table of docs/design/fleet-as-one.md.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "tests/fixtures/deep_run.hpp"
#include "tests/fixtures/fleet_fixture.hpp"

namespace dispatcher::testing {
namespace {

// Times are in seconds, sent bytes are per member, and suspicions and deaths are per member and minute.
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

// Measures one fleet, one phase after another.
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
    // Does not wait for all members to be alive everywhere: under loss, some member suspects another one
    // nearly all the time.
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
    // Each member that sees a suspicion counts it, so that a suspicion seen by all counts (count - 1) times.
    // The figures are per accused member and minute.
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

  // Writes one new piece of evidence per second, by each member in turn.
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
    const MemberIndex killed_member = fixture_.count() / 2;
    fixture_.kill(killed_member);
    const Time died_at = fixture_.now();
    fixture_.until([&] { return is_detected_by_any(killed_member); }, seconds(120));
    figures_.first_detected_s = to_seconds(fixture_.now() - died_at);
    fixture_.until([&] { return fixture_.all_consider(killed_member, MemberState::kDead); }, seconds(120));
    figures_.all_detected_s = to_seconds(fixture_.now() - died_at);
  }

  [[nodiscard]] bool is_detected_by_any(MemberIndex killed_member) {
    for (MemberIndex member = 0; member < fixture_.count(); ++member) {
      if (!fixture_.is_running(member)) continue;
      if (fixture_.node(member).members().state(killed_member) == MemberState::kDead) return true;
    }
    return false;
  }

  FleetFixture fixture_;
  Figures figures_;
  std::uint64_t suspicions_ = 0;
  std::uint64_t deaths_ = 0;
};

// Returns the size of the fields as varints, without tags and lengths, as in a format without protobuf.
std::size_t varint_bytes(std::initializer_list<std::uint64_t> fields) {
  std::size_t bytes = 0;
  for (std::uint64_t field : fields) {
    ++bytes;
    for (; field >= 0x80U; field >>= 7U) ++bytes;
  }
  return bytes;
}

// A part of a datagram, its encoded size, and its size in a format without protobuf.
struct SizeRow {
  const char* name;
  std::function<void(DatagramBuilder&)> add;
  std::size_t bytes;
  std::size_t varint_bytes;
};

// Returns an entry of the owner with four bytes of payload.
Entry entry_of(MemberIndex owner, std::uint64_t incarnation) {
  Entry entry;
  entry.key = {1, replicated_state::entry_id("s-5be2a07c"), owner};
  entry.incarnation = incarnation;
  entry.version = 300;
  entry.age = seconds(2);
  const auto payload = replicated_state::encode({3, 4});
  entry.payload.assign(payload.begin(), payload.end());
  return entry;
}

// Checks the sizes that the figures of the byte budget are based on. Protobuf must take at most twice as many
// bytes as varints alone.
TEST_CASE("each part of a datagram has the size that the byte budget assumes", "[gossip]") {
  constexpr std::uint64_t kIncarnationIn2027 = 1'800'000'000'000;
  constexpr std::size_t kHeaderBytes = 17;
  constexpr MemberIndex kSelf = 42;
  constexpr MemberIndex kOther = 7;
  const Sender sender{0, 100, kSelf, {kIncarnationIn2027, 0}, 20'000};
  const Entry own = entry_of(kSelf, kIncarnationIn2027);
  const Entry other = entry_of(kOther, kIncarnationIn2027);
  const std::size_t own_varints =
      varint_bytes({1, own.key.id, 300, 200}) + 1 + 2 + 1;  // flags, payload, length
  const std::vector<SizeRow> rows{
      {"probe",
       [](auto& builder) {
         builder.add(Probe{Probe::Type::kPing, 20'000, 0});
       },
       6, varint_bytes({0, 20'000})},
      {"hashes",
       [](auto& builder) {
         builder.add_members_hash(1);
         builder.add_group(3, 1);
       },
       14, 9},
      {"update",
       [](auto& builder) {
         builder.add(MemberUpdate{77, {kIncarnationIn2027, 0}, MemberState::kAlive, 0});
       },
       11, varint_bytes({77, kIncarnationIn2027, 0})},
      {"suspicion",
       [](auto& builder) {
         builder.add(MemberUpdate{77, {kIncarnationIn2027, 1}, MemberState::kSuspect, 5});
       },
       17, varint_bytes({77, kIncarnationIn2027, 1, 5})},
      {"own entry", [&](auto& builder) { builder.add(own); }, 23, own_varints},
      {"entry of another", [&](auto& builder) { builder.add(other); }, 32,
       own_varints + varint_bytes({kOther, kIncarnationIn2027})},
      {"digest",
       [](auto& builder) {
         builder.add(Digest{77, 300, 1}, DigestRole::kOffer);
       },
       12, varint_bytes({77, 300}) + 4},
      {"request",
       [](auto& builder) {
         builder.add(QuotaRequest{{1, 1000}, 300, 0, 500});
       },
       13, varint_bytes({1, 1000, 300, 0, 500})},
      {"grant",
       [](auto& builder) {
         builder.add(QuotaGrant{{1, 1000}, kIncarnationIn2027, 300, 500, seconds(10)});
       },
       23, varint_bytes({1, 1000, kIncarnationIn2027, 300, 500, 10000})}};
  CHECK(DatagramBuilder(sender).size() == kHeaderBytes);
  for (const SizeRow& row : rows) {
    DatagramBuilder builder(sender);
    row.add(builder);
    INFO(row.name << ", " << row.varint_bytes << " as varints");
    CHECK(builder.size() - kHeaderBytes == row.bytes);
    CHECK(row.bytes <= 2 * row.varint_bytes);
  }
}

// Returns the mean of a fleet's figures over the seeds 1 to `seeds`.
Figures mean_figures(MemberIndex count, double loss, int seeds) {
  Figures mean;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Figures figures = Measurement(count, loss, static_cast<std::uint64_t>(seed)).run();
    for (auto field : {&Figures::joined_s, &Figures::idle_bytes_per_second, &Figures::false_suspicions,
                       &Figures::false_deaths, &Figures::first_detected_s, &Figures::all_detected_s,
                       &Figures::half_informed_s, &Figures::all_informed_s, &Figures::busy_bytes_per_second})
      mean.*field += figures.*field / seeds;
  }
  return mean;
}

void print(MemberIndex count, double loss, const Figures& figures) {
  std::printf("| %u | %.0f%% | %.1f | %.0f | %.3f | %.4f | %.1f | %.1f | %.0f | %.1f | %.1f |\n", count,
              loss * 100, figures.joined_s, figures.idle_bytes_per_second, figures.false_suspicions,
              figures.false_deaths, figures.half_informed_s, figures.all_informed_s,
              figures.busy_bytes_per_second, figures.first_detected_s, figures.all_detected_s);
  std::fflush(stdout);
}

constexpr double kBudgetBytesPerSecond = 768;    // the default of NodeOptions
constexpr double kEvidenceLifetimeSeconds = 29;  // evidence that arrives later is of no use

// The bounds that a fleet must meet at the given probability of datagram loss.
struct FigureBounds {
  double loss;
  double joined_s;
  double idle_bytes_per_second;
  double false_suspicions;
  double false_deaths;
  double all_informed_s;
  double busy_bytes_per_second;
};

// Without loss, each member receives everything within one probe interval, and an idle member sends a ping
// and an answer (60 bytes) per interval. With loss, a fleet joins and receives evidence before it expires. A
// loss of one tenth leaves three quarters of an idle member's budget and half of a busy member's budget free,
// and makes all members consider a running member dead less than once a week.
constexpr FigureBounds kFigureBounds[] = {{0.0, 1, 64, 0, 0, 1, kBudgetBytesPerSecond / 4},
                                          {0.1, kEvidenceLifetimeSeconds, kBudgetBytesPerSecond / 4, 0.01,
                                           0.0001, kEvidenceLifetimeSeconds, kBudgetBytesPerSecond / 2},
                                          {0.3, kEvidenceLifetimeSeconds, kBudgetBytesPerSecond, 3, 0.02,
                                           kEvidenceLifetimeSeconds, kBudgetBytesPerSecond}};

// Returns how long a suspicion lasts that no other member confirms. Confirmations must end it sooner.
double longest_suspicion_s(MemberIndex count) {
  const Parameters parameters;
  return parameters.suspicion_multiplier * parameters.suspicion_max_multiplier *
         std::max(1.0, std::log10(count)) * to_seconds(parameters.probe_interval);
}

void check(const Figures& figures, const FigureBounds& bounds, MemberIndex count) {
  INFO(count << " members, loss " << bounds.loss);
  CHECK(figures.joined_s <= bounds.joined_s);
  CHECK(figures.idle_bytes_per_second <= bounds.idle_bytes_per_second);
  CHECK(figures.false_suspicions <= bounds.false_suspicions);
  CHECK(figures.false_deaths <= bounds.false_deaths);
  CHECK(figures.all_informed_s <= bounds.all_informed_s);
  CHECK(figures.busy_bytes_per_second <= bounds.busy_bytes_per_second);
  CHECK(figures.first_detected_s <= figures.all_detected_s);
  CHECK(figures.all_detected_s <= longest_suspicion_s(count));
}

TEST_CASE("a fleet joins, spreads evidence, detects failures and sends bytes within its bounds", "[gossip]") {
  const std::vector<MemberIndex> counts =
      is_deep_run() ? std::vector<MemberIndex>{3, 30, 100, 300} : std::vector<MemberIndex>{3, 30, 100};
  for (const MemberIndex count : counts) {
    for (const FigureBounds& bounds : kFigureBounds) {
      // At this size and loss, suspicions use up the budget and views lag behind (see the design page).
      const bool is_past_budget = count >= 300 && bounds.loss > 0.1;
      const bool is_slow = count >= 100;
      if (!is_deep_run() && is_slow && bounds.loss > 0) continue;
      const int deep_seeds = count > 100 ? 2 : 5;
      const Figures figures = mean_figures(count, bounds.loss, is_deep_run() ? deep_seeds : is_slow ? 1 : 3);
      if (is_deep_run()) print(count, bounds.loss, figures);
      if (!is_past_budget) check(figures, bounds, count);
    }
  }
}

}  // namespace
}  // namespace dispatcher::testing
