// Checks which requests are rejected. At low load no session is always rejected; under overload the
// rejections are not limited to one session, prompt length, class or tenant.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <functional>

#include "router_fixture.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using End = RouterFixture::End;

constexpr std::size_t kProcesses = 150;
constexpr double kCapacity = 10;  // requests of mean work per second that an endpoint can serve
constexpr int kEndpointsPerRole = 8;
constexpr int kTurns = 4;  // requests per session

// The parameters of one run.
struct Scenario {
  double load = 0.5;  // as a fraction of the fleet's capacity
  double seconds = 60;
  bool has_slow_endpoints = false;  // whether one reader and one writer work at 0.3 of their speed
};

routing::Settings fairness_settings() {
  routing::Settings settings = make_settings();
  settings.tick = std::chrono::milliseconds(20);
  settings.answer_slack = std::chrono::milliseconds(60);
  settings.classes.push_back(settings.classes[0]);
  settings.classes[2].name = "rare";
  for (auto& request_class : settings.classes) {
    request_class.priority_weight = 1;
    request_class.late_weight = 0.3;
    request_class.latency_objective_per_1000_tokens = std::chrono::milliseconds(150);
  }
  settings.classes[2].priority_weight = 0.2;
  // The first tenant stays within its quota and the second exceeds it: at a load of 1 they send 24 and 56
  // requests per second.
  settings.tenants = {{"modest", 40}, {"greedy", 30}};
  return settings;
}

simulation::Parameters fairness_parameters() {
  simulation::Parameters parameters;
  parameters.zones = 2;
  parameters.readers = parameters.writers = kEndpointsPerRole / 2;
  parameters.mean_prompt = 1000;
  parameters.mean_answer = 50;
  parameters.reader_slots = 1;
  parameters.writer_slots = 8;
  parameters.prefill_time = micros(1 / (kCapacity * parameters.mean_prompt));
  parameters.decode_time = micros(parameters.writer_slots / (kCapacity * parameters.mean_answer));
  parameters.transfer_time = parameters.remote_transfer_time = Duration(2);
  parameters.network_latency = Duration(500);
  parameters.settings = fairness_settings();
  // Only the fleet has this warm-up, not the routers, so that a restored endpoint stays slow.
  parameters.settings.warmup_initial_share = 0.3;
  parameters.settings.warmup_time = std::chrono::hours(1000);
  return parameters;
}

// The number of requests, and how many of them were served.
struct Ratio {
  double total = 0;
  double served = 0;
  [[nodiscard]] double value() const { return total > 0 ? served / total : 1; }
};

// Simulates sessions of several turns. A client submits the turns one after another on its connection to one
// process.
class Simulation {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        random_(seed),
        fixture_(fairness_parameters(), fairness_settings(), kProcesses, seed) {
    fixture_.lists_start_times = false;
  }

  void run() {
    begin_ = fixture_.now();
    if (scenario_.has_slow_endpoints) {
      fixture_.fleet().lose_endpoints(
          [](const std::string& zone, routing::Role, int number) { return zone == "z0" && number == 0; });
      fixture_.fleet().restore_endpoints();
    }
    fixture_.run_until(begin_ + Duration(1));
    fixture_.update_all_lists();
    begin_session();
    fixture_.run_until(begin_ + micros(scenario_.seconds + 60));
  }

  [[nodiscard]] const std::vector<RouterFixture::Submission>& submissions() const {
    return fixture_.submissions();
  }

  [[nodiscard]] Ratio served(const std::function<bool(const RouterFixture::Submission&)>& is_counted) const {
    Ratio ratio;
    for (const auto& submission : submissions()) {
      if (!is_counted(submission)) continue;
      ratio.total += 1;
      ratio.served += submission.end == End::kServed ? 1 : 0;
    }
    return ratio;
  }

  struct Sessions {
    double total = 0;
    double rejected = 0;           // sessions of which every turn was rejected
    double immediate = 0;          // sessions of which every turn was rejected without an attempt
    double expected_rejected = 0;  // expected value of `rejected` if each request were rejected independently
  };
  [[nodiscard]] Sessions sessions() const {
    std::map<std::pair<std::int64_t, std::string>, Ratio> not_rejected;  // by time and class
    const auto not_rejected_then = [&](const RouterFixture::Submission& submission) -> Ratio& {
      return not_rejected[{(submission.submitted_at - begin_) / std::chrono::seconds(2),
                           submission.request.request_class}];
    };
    for (const auto& submission : submissions()) {
      not_rejected_then(submission).total += 1;
      not_rejected_then(submission).served += submission.end == End::kRejected ? 0 : 1;
    }
    struct Session {
      double turns = 0;
      double rejected = 0;
      double immediate = 0;
      double chance = 1;  // probability that all of its turns are rejected
    };
    std::map<std::uint64_t, Session> by_session;
    for (const auto& submission : submissions()) {
      Session& session = by_session[submission.request.session];
      const bool is_rejected = submission.end == End::kRejected;
      const bool is_immediate = is_rejected && submission.ended_at == submission.submitted_at;
      session.turns += 1;
      session.rejected += is_rejected ? 1 : 0;
      session.immediate += is_immediate ? 1 : 0;
      session.chance *= 1 - not_rejected_then(submission).value();
    }
    Sessions sessions;
    for (const auto& [number, session] : by_session) {
      if (session.turns < kTurns) continue;
      sessions.total += 1;
      sessions.rejected += session.rejected == session.turns ? 1 : 0;
      sessions.immediate += session.immediate == session.turns ? 1 : 0;
      sessions.expected_rejected += session.chance;
    }
    return sessions;
  }

  // Returns the ratio for the tenth of a class's requests with the longest prompts, and for the next fifth.
  [[nodiscard]] std::array<Ratio, 2> longest(const std::string& request_class) const {
    std::vector<const RouterFixture::Submission*> of_class;
    for (const auto& submission : submissions()) {
      if (submission.request.request_class == request_class) of_class.push_back(&submission);
    }
    std::sort(of_class.begin(), of_class.end(), [](const auto* left, const auto* right) {
      return left->request.prompt_tokens > right->request.prompt_tokens;
    });
    std::array<Ratio, 2> ratios;
    for (std::size_t i = 0; i < of_class.size() * 3 / 10; ++i) {
      Ratio& ratio = ratios[i < of_class.size() / 10 ? 0 : 1];
      ratio.total += 1;
      ratio.served += of_class[i]->end == End::kServed ? 1 : 0;
    }
    return ratios;
  }

 private:
  // Selects a class by a random number from 0 to 1.
  static const char* class_of(double pick) {
    if (pick < 0.05) return "rare";
    return pick < 0.35 ? "command" : "ask";
  }
  int length(int mean) { return 1 + static_cast<int>(mean * std::min(random_.exponential(1), 8.0)); }

  void begin_session() {
    const double rate = scenario_.load * kCapacity * kEndpointsPerRole / kTurns;
    fixture_.at(fixture_.now() + micros(random_.exponential(1 / rate)), [this] {
      if (fixture_.now() > begin_ + micros(scenario_.seconds)) return;
      RouterFixture::Submission submission;
      submission.process = random_.below(kProcesses);
      submission.request.request_class = class_of(random_.unit());
      submission.request.tenant = random_.unit() < 0.3 ? "modest" : "greedy";
      submission.request.session = ++session_count_;
      submit_turn(submission, kTurns);
      begin_session();
    });
  }
  void submit_turn(RouterFixture::Submission submission, int turns_left) {
    submission.request.prompt_tokens = length(1000);
    submission.answer_tokens = length(50);
    fixture_.submit(submission);
    if (turns_left == 1) return;
    fixture_.at(fixture_.now() + micros(1 + random_.exponential(3)),
                [this, submission, turns_left] { submit_turn(submission, turns_left - 1); });
  }

  Scenario scenario_;
  RandomSource random_;
  RouterFixture fixture_;
  Time begin_{};
  std::uint64_t session_count_ = 0;
};

bool any(const RouterFixture::Submission&) { return true; }

auto of_class(const std::string& name) {
  return [name](const RouterFixture::Submission& submission) {
    return submission.request.request_class == name;
  };
}

auto of_tenant(const std::string& name) {
  return [name](const RouterFixture::Submission& submission) { return submission.request.tenant == name; };
}

void print(const char* name, const Simulation& simulation) {
  if (std::getenv("FAIRNESS_FIGURES") == nullptr) return;
  std::printf("%s: answered %.3f;", name, simulation.served(any).value());
  for (const char* request_class : {"ask", "command", "rare"}) {
    const auto [tenth, fifth] = simulation.longest(request_class);
    std::printf(" %s %.3f (longest %.3f, %.3f)", request_class,
                simulation.served(of_class(request_class)).value(), tenth.value(), fifth.value());
  }
  for (const char* tenant : {"modest", "greedy"})
    std::printf(" %s %.3f", tenant, simulation.served(of_tenant(tenant)).value());
  const auto sessions = simulation.sessions();
  int immediate = 0;
  int later = 0;
  for (const auto& submission : simulation.submissions()) {
    if (submission.end != End::kRejected) continue;
    ++(submission.ended_at == submission.submitted_at ? immediate : later);
  }
  std::printf("; rejected immediately %d, later %d", immediate, later);
  std::printf("; sessions %.0f, all turns rejected %.0f, by chance %.1f\n", sessions.total, sessions.rejected,
              sessions.expected_rejected);
}

void check_lengths(const Simulation& simulation, double minimum) {
  for (const char* request_class : {"ask", "command", "rare"}) {
    const double all = simulation.served(of_class(request_class)).value();
    const auto [tenth, fifth] = simulation.longest(request_class);
    INFO(request_class << ": answered " << all << ", of the longest tenth " << tenth.value()
                       << ", of the next fifth " << fifth.value());
    CHECK(tenth.value() >= minimum * all);
    CHECK(fifth.value() >= minimum * all);
  }
}

TEST_CASE("at low load with a slow endpoint no session is always rejected, however long its prompts",
          "[fairness]") {
  for (const std::uint64_t seed : {21U, 22U, 23U}) {
    Simulation simulation({.load = 0.5, .seconds = 40, .has_slow_endpoints = true}, seed);
    simulation.run();
    print("low load", simulation);
    const auto sessions = simulation.sessions();
    INFO(sessions.rejected << " of " << sessions.total << " sessions, " << sessions.immediate
                           << " immediately");
    CHECK(sessions.total > 200);
    CHECK(sessions.immediate == 0);
    CHECK(sessions.rejected <= 0.005 * sessions.total);
    CHECK(simulation.served(any).value() > 0.95);
    check_lengths(simulation, 2.0 / 3);
  }
}

// Each process sees few requests and rounds the number that it rejects at random, so that the effect of
// chance is visible.
TEST_CASE("under overload no more sessions than by chance have every request rejected", "[fairness]") {
  Simulation::Sessions sum;
  for (const std::uint64_t seed : {22U, 32U, 42U, 52U}) {
    Simulation simulation({.load = 2, .seconds = 30, .has_slow_endpoints = true}, seed);
    simulation.run();
    print("overload", simulation);
    const auto sessions = simulation.sessions();
    sum.total += sessions.total;
    sum.rejected += sessions.rejected;
    sum.expected_rejected += sessions.expected_rejected;
  }
  INFO(sum.rejected << " of " << sum.total << ", " << sum.expected_rejected << " by chance");
  CHECK(sum.rejected > 0.02 * sum.total);  // confirms that there is an overload
  CHECK(sum.rejected <= sum.expected_rejected + 0.05 * sum.total);
}

TEST_CASE("under overload requests with long prompts are also served", "[fairness]") {
  Simulation simulation({.load = 1.5, .seconds = 40, .has_slow_endpoints = true}, 23);
  simulation.run();
  print("overload", simulation);
  check_lengths(simulation, 0.5);
}

// The waiting time in the queue is the same for all requests, so that it takes a smaller part of a long
// prompt's latency objective than of a short prompt's.
TEST_CASE("a long prompt that meets its objective is not shed when short prompts are late", "[fairness]") {
  const routing::Settings settings = fairness_settings();
  routing::Router router(settings, 1);
  Time now = std::chrono::seconds(1000);
  routing::EndpointList list{routing::ListKind::kFull, {}};
  for (const char* kind : {"reader", "writer"})
    list.entries.push_back({kind, "z0", kind, 0, routing::EndpointState::kReady, 1, {}});
  router.handle(now, list);
  const auto is_attempted = [&](const std::string& id, int tokens) {
    const auto& request_class = settings.classes[1];
    routing::Request request;
    request.id = id;
    request.request_class = request_class.name;
    request.tenant = "modest";
    request.session = std::hash<std::string>{}(id);
    request.prompt_tokens = tokens;
    request.client_deadline =
        now + request_class.deadline + 2 * request_class.latency_objective_per_1000_tokens * tokens / 1000;
    const auto actions = router.handle(now, request);
    return std::any_of(actions.begin(), actions.end(), [](const auto& action) {
      return std::holds_alternative<routing::StartAttempt>(action);
    });
  };
  // Serves a request late by an eighth. Only a small part of the time is spent on reading.
  const auto serve = [&](const std::string& id) {
    const Duration read = std::chrono::milliseconds(50);
    const Duration write = std::chrono::milliseconds(1330);
    router.handle(now, routing::AttemptCompleted{
                           id, "reader", 0, routing::AttemptStatus::kRead, read, false, 0, {}, {}});
    router.handle(now, routing::FirstToken{id, "writer", 1, write});
    router.handle(now, routing::AttemptCompleted{
                           id, "writer", 1, routing::AttemptStatus::kServed, write, true, 0, {}, {}});
  };
  for (int i = 0; i < 200; ++i) {
    const std::string id = "s" + std::to_string(i);
    REQUIRE(is_attempted(id, 10));
    serve(id);
    now += std::chrono::milliseconds(20);
  }
  CHECK(is_attempted("short", 10));
  serve("short");
  CHECK(is_attempted("long", 20'000));
}

TEST_CASE("under overload requests of each class and of a tenant within its quota are served", "[fairness]") {
  Simulation simulation({.load = 1.3, .seconds = 60}, 24);
  simulation.run();
  print("overload", simulation);
  const double overall = simulation.served(any).value();
  for (const char* request_class : {"ask", "command", "rare"}) {
    INFO(request_class);
    CHECK(simulation.served(of_class(request_class)).value() >= overall / 2);
  }
  const auto tenant = [&](const char* name) { return simulation.served(of_tenant(name)).value(); };
  CHECK(tenant("modest") >= overall / 2);
  CHECK(tenant("modest") >= tenant("greedy"));  // requests over a quota are rejected first
}

}  // namespace
}  // namespace dispatcher::testing
