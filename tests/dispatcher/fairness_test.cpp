// Who is turned away: on a quiet day nobody throughout, in a jam no session, length, class or tenant alone.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <functional>

#include "fixture.hpp"
#include "router_fixture.hpp"

namespace dispatcher::testing {
namespace {

using End = RouterFixture::End;

constexpr std::size_t kProcesses = 150;
constexpr double kCapacity = 10;  // requests of mean work a second that a replica can do
constexpr int kReplicas = 8;      // of each role
constexpr int kTurns = 4;         // of a session

struct Scenario {
  double load = 0.5;
  double seconds = 60;
  bool slow = false;  // one reader and one writer work at 0.3 of their speed
};

routing::Settings settings() {
  routing::Settings s = make_settings();
  s.tick = std::chrono::milliseconds(20);
  s.answer_slack = std::chrono::milliseconds(60);
  s.classes.push_back(s.classes[0]);
  s.classes[2].name = "rare";
  for (auto& cls : s.classes) {
    cls.priority_weight = 1;
    cls.late_weight = 0.3;
    cls.latency_objective_per_1000_tokens = std::chrono::milliseconds(150);
  }
  s.classes[2].priority_weight = 0.2;
  // Inside its share, and over it: at a load of 1 it asks for 24 and 56 a second.
  s.tenants = {{"modest", 40}, {"greedy", 30}};
  return s;
}

simulation::Statistics figures() {
  simulation::Statistics f;
  f.zones = 2;
  f.readers = f.writers = kReplicas / 2;
  f.prompt = 1000;
  f.answer = 50;
  f.reader_slots = 1;
  f.writer_slots = 8;
  f.read_token = micros(1 / (kCapacity * f.prompt));
  f.write_token = micros(f.writer_slots / (kCapacity * f.answer));
  f.fetch_token = f.fetch_far_token = Duration(2);
  f.network = Duration(500);
  f.settings = settings();
  f.settings.warmup_initial_share = 0.3;  // of the fleet alone: what is brought back stays slow
  f.settings.warmup_time = std::chrono::hours(1000);
  return f;
}

struct Share {
  double all = 0, answered = 0;
  [[nodiscard]] double part() const { return all > 0 ? answered / all : 1; }
};

// Sessions of some turns each, which a client asks one after another on its connection to one process.
class Day {
 public:
  Day(const Scenario& s, std::uint64_t seed)
      : s_(s), chance_(seed), fixture_(figures(), settings(), kProcesses, seed) {
    fixture_.tells_starts = false;
  }

  void run() {
    begin_ = fixture_.now();
    if (s_.slow) {
      fixture_.fleet().lose(
          [](const std::string& zone, bool, int number) { return zone == "z0" && number == 0; });
      fixture_.fleet().bring_back();
    }
    fixture_.run_until(begin_ + Duration(1));
    fixture_.tell_all();
    begin_session();
    fixture_.run_until(begin_ + micros(s_.seconds + 60));
  }

  const std::vector<RouterFixture::Ask>& asks() const { return fixture_.asks(); }

  Share share(const std::function<bool(const RouterFixture::Ask&)>& of) const {
    Share share;
    for (const auto& ask : asks()) {
      if (!of(ask)) continue;
      share.all += 1;
      share.answered += ask.end == End::kServed ? 1 : 0;
    }
    return share;
  }

  struct Sessions {
    double all = 0, rejected = 0;       // of which every turn was refused
    double at_once = 0, by_chance = 0;  // ... without a try; as many as if drawn by request
  };
  Sessions sessions() const {
    std::map<std::pair<std::int64_t, std::string>, Share> then;  // of the class in these seconds
    const auto share_then = [&](const RouterFixture::Ask& ask) -> Share& {
      return then[{(ask.at - begin_) / std::chrono::seconds(2), ask.request.request_class}];
    };
    for (const auto& ask : asks()) {
      share_then(ask).all += 1;
      share_then(ask).answered += ask.end == End::kRejected ? 0 : 1;
    }
    std::map<std::uint64_t, std::array<double, 4>> of;  // turns, refused, at once, chance
    for (const auto& ask : asks()) {
      auto& [turns, rejected, at_once, chance] =
          of.try_emplace(ask.request.session, std::array{0.0, 0.0, 0.0, 1.0}).first->second;
      turns += 1;
      rejected += ask.end == End::kRejected ? 1 : 0;
      at_once += ask.end == End::kRejected && ask.ended == ask.at ? 1 : 0;
      chance *= 1 - share_then(ask).part();
    }
    Sessions sessions;
    for (const auto& [number, session] : of) {
      if (session[0] < kTurns) continue;
      sessions.all += 1;
      sessions.rejected += session[1] == session[0] ? 1 : 0;
      sessions.at_once += session[2] == session[0] ? 1 : 0;
      sessions.by_chance += session[3];
    }
    return sessions;
  }

  // Of the tenth of a class's requests with the longest prompts, and of the next fifth.
  std::array<Share, 2> longest(const std::string& cls) const {
    std::vector<const RouterFixture::Ask*> of;
    for (const auto& ask : asks()) {
      if (ask.request.request_class == cls) of.push_back(&ask);
    }
    std::sort(of.begin(), of.end(),
              [](auto* a, auto* b) { return a->request.prompt_tokens > b->request.prompt_tokens; });
    std::array<Share, 2> shares;
    for (std::size_t i = 0; i < of.size() * 3 / 10; ++i) {
      Share& share = shares[i < of.size() / 10 ? 0 : 1];
      share.all += 1;
      share.answered += of[i]->end == End::kServed ? 1 : 0;
    }
    return shares;
  }

 private:
  int length(int mean) { return 1 + static_cast<int>(mean * std::min(chance_.exponential(1), 8.0)); }

  void begin_session() {
    const double rate = s_.load * kCapacity * kReplicas / kTurns;
    fixture_.at(fixture_.now() + micros(chance_.exponential(1 / rate)), [this] {
      if (fixture_.now() > begin_ + micros(s_.seconds)) return;
      RouterFixture::Ask ask;
      ask.process = chance_.below(kProcesses);
      const double pick = chance_.unit();
      ask.request.request_class = pick < 0.05 ? "rare" : pick < 0.35 ? "command" : "ask";
      ask.request.tenant = chance_.unit() < 0.3 ? "modest" : "greedy";
      ask.request.session = ++sessions_;
      turn(ask, kTurns);
      begin_session();
    });
  }
  void turn(RouterFixture::Ask ask, int left) {
    ask.request.prompt_tokens = length(1000);
    ask.answer = length(50);
    fixture_.ask(ask);
    if (left == 1) return;
    fixture_.at(fixture_.now() + micros(1 + chance_.exponential(3)),
                [this, ask, left] { turn(ask, left - 1); });
  }

  Scenario s_;
  Chance chance_;
  RouterFixture fixture_;
  Time begin_{};
  std::uint64_t sessions_ = 0;
};

bool any(const RouterFixture::Ask&) { return true; }

void print(const char* name, const Day& day) {
  if (std::getenv("FAIRNESS_FIGURES") == nullptr) return;
  std::printf("%s: answered %.3f;", name, day.share(any).part());
  for (const char* cls : {"ask", "command", "rare"}) {
    const auto [tenth, fifth] = day.longest(cls);
    std::printf(" %s %.3f (longest %.3f, %.3f)", cls,
                day.share([&](const auto& a) { return a.request.request_class == cls; }).part(), tenth.part(),
                fifth.part());
  }
  for (const char* tenant : {"modest", "greedy"})
    std::printf(" %s %.3f", tenant,
                day.share([&](const auto& a) { return a.request.tenant == tenant; }).part());
  const auto s = day.sessions();
  int at_once = 0, later = 0;
  for (const auto& a : day.asks())
    if (a.end == End::kRejected) ++(a.ended == a.at ? at_once : later);
  std::printf("; refused at once %d, later %d", at_once, later);
  std::printf("; sessions %.0f, all turns refused %.0f, by chance %.1f\n", s.all, s.rejected, s.by_chance);
}

void check_lengths(const Day& day, double minimum) {
  for (const char* cls : {"ask", "command", "rare"}) {
    const double all = day.share([&](const auto& a) { return a.request.request_class == cls; }).part();
    const auto [tenth, fifth] = day.longest(cls);
    INFO(cls << ": answered " << all << ", of the longest tenth " << tenth.part() << ", of the next fifth "
             << fifth.part());
    CHECK(tenth.part() >= minimum * all);
    CHECK(fifth.part() >= minimum * all);
  }
}

TEST_CASE("on a quiet day with a slow replica nobody is refused throughout, however long the prompt",
          "[fairness]") {
  for (const std::uint64_t seed : {21U, 22U, 23U}) {
    Day day({0.5, 40, true}, seed);
    day.run();
    print("quiet", day);
    const auto sessions = day.sessions();
    INFO(sessions.rejected << " of " << sessions.all << " sessions, " << sessions.at_once << " at once");
    CHECK(sessions.all > 200);
    CHECK(sessions.at_once == 0);
    CHECK(sessions.rejected <= 0.005 * sessions.all);
    CHECK(day.share(any).part() > 0.95);
    check_lengths(day, 2.0 / 3);
  }
}

// Thin processes settle by chance what is a fraction of a request each, so that this chance shows.
TEST_CASE("in a jam refusals are drawn by request: no session is refused throughout beyond chance",
          "[fairness]") {
  Day::Sessions sum;
  for (const std::uint64_t seed : {22U, 32U, 42U, 52U}) {
    Day day({2, 30, true}, seed);
    day.run();
    print("jam", day);
    const auto sessions = day.sessions();
    sum.all += sessions.all;
    sum.rejected += sessions.rejected;
    sum.by_chance += sessions.by_chance;
  }
  INFO(sum.rejected << " of " << sum.all << ", " << sum.by_chance << " by chance");
  CHECK(sum.rejected > 0.02 * sum.all);  // a jam
  CHECK(sum.rejected <= sum.by_chance + 0.05 * sum.all);
}

TEST_CASE("in a jam long prompts are answered too", "[fairness]") {
  Day day({1.5, 40, true}, 23);
  day.run();
  print("jam", day);
  check_lengths(day, 0.5);
}

// The wait in line is the same for all, so that it takes less of a long prompt's time than of a short one's.
TEST_CASE("a long prompt in time by its own deadline is not hopeless because short ones are late",
          "[fairness]") {
  const routing::Settings rules = settings();
  routing::Router router(rules, 1);
  Time now = std::chrono::seconds(1000);
  routing::EndpointList list{routing::ListKind::kFull, {}};
  for (const char* kind : {"reader", "writer"})
    list.entries.push_back({kind, "z0", kind, 0, routing::EndpointState::kReady, 1, {}});
  router.handle(now, list);
  const auto ask = [&](const std::string& id, int tokens) {
    const auto& cls = rules.classes[1];
    routing::Request r;
    r.id = id;
    r.request_class = cls.name;
    r.tenant = "modest";
    r.session = std::hash<std::string>{}(id);
    r.prompt_tokens = tokens;
    r.client_deadline = now + cls.deadline + 2 * cls.latency_objective_per_1000_tokens * tokens / 1000;
    const auto actions = router.handle(now, r);
    return std::any_of(actions.begin(), actions.end(),
                       [](const auto& a) { return std::holds_alternative<routing::StartAttempt>(a); });
  };
  const auto serve = [&](const std::string& id) {  // late by an eighth, of which little was reading
    const Duration read = std::chrono::milliseconds(50), write = std::chrono::milliseconds(1330);
    router.handle(
        now, routing::AttemptCompleted{id, "reader", 0, routing::AttemptStatus::kRead, read, false, 0, {}});
    router.handle(now, routing::FirstToken{id, "writer", 1, write});
    router.handle(
        now, routing::AttemptCompleted{id, "writer", 1, routing::AttemptStatus::kServed, write, true, 0, {}});
  };
  for (int i = 0; i < 200; ++i) {
    const std::string id = "s" + std::to_string(i);
    REQUIRE(ask(id, 10));
    serve(id);
    now += std::chrono::milliseconds(20);
  }
  CHECK(ask("short", 10));
  serve("short");
  CHECK(ask("long", 20'000));
}

TEST_CASE("under overload each class and each tenant inside its share is answered", "[fairness]") {
  Day day({1.3, 60}, 24);
  day.run();
  print("overload", day);
  const double all = day.share(any).part();
  for (const char* cls : {"ask", "command", "rare"}) {
    INFO(cls);
    CHECK(day.share([&](const auto& a) { return a.request.request_class == cls; }).part() >= all / 2);
  }
  const auto tenant = [&](const char* name) {
    return day.share([&](const auto& a) { return a.request.tenant == name; }).part();
  };
  CHECK(tenant("modest") >= all / 2);
  CHECK(tenant("modest") >= tenant("greedy"));  // what is over its share gives way first
}

}  // namespace
}  // namespace dispatcher::testing
