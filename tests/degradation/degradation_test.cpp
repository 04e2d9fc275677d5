// Tests degradation levels in virtual time: when, how often and why the level changes, and which requests are
// shed.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <fstream>
#include <map>
#include <random>

#include "degradation/state_machine.hpp"
#include "tests/fixtures/cue_problems.hpp"

namespace dispatcher::testing {
namespace {

using namespace degradation;
using expression::Kind;
using expression::Value;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Strings = std::vector<std::string>;

expression::Environment make_signals() {
  expression::Environment environment;
  environment.add({"ready.readers", Kind::kDouble, true, 0, {}});
  environment.add({"late.command", Kind::kDouble, true, 0, {}});
  environment.add({"open", Kind::kInt, true, 0, {}});
  return environment;
}
expression::Environment make_request() {
  expression::Environment environment = make_signals();
  environment.add({"request.account", Kind::kString, true, 64, {}});
  return environment;
}

constexpr const char* kLevels = R"cue(levels: [
	{
		name: "spare", enter: "late.command > 0.10", leave: "late.command < 0.04"
		enter_for_ms: 2_000, leave_for_ms: 5_000
		shed: [{classes: ["ask"], when: "request.account == 'bulk'"}]
	}, {
		name: "reduced", enter: "late.command > 0.25 || ready.readers < 0.7", leave: "late.command < 0.10 && ready.readers > 0.8"
		enter_for_ms: 2_000, leave_for_ms: 10_000
		shed: [{classes: ["ask"], retry_ms: {least: 1000, most: 3000}}]
	}, {
		name: "commands-only", enter: "ready.readers < 0.4", leave: "ready.readers > 0.55"
		enter_for_ms: 1_000, leave_for_ms: 10_000
		shed: [{classes: ["ask", "report"]}]
	}])cue";

std::shared_ptr<const LevelSet> levels_of(const std::string& text) {
  return LevelSet::read({"l.cue", text}, make_signals(), make_request(), {"ask", "command", "report"});
}

Strings problems(const std::string& text) {
  return problems_of("l", [&] { levels_of(text); });
}

// A state machine with its own clock and a record of the changes of its level.
struct MachineFixture {
  explicit MachineFixture(const std::string& text = kLevels) : machine(levels_of(text)) {}
  // Advances the clock and steps the machine. A negative `late` or `ready` means that the signal is missing.
  void step(double late, double ready, Duration time = seconds(1)) {
    const auto value = [](double number) {
      return number < 0 ? Value::of(expression::EvaluationError::kAbsent) : Value::of(number);
    };
    const std::vector<Value> signals = {value(ready), value(late), Value::of(std::int64_t{5})};
    now += time;
    if (machine.step(signals, now)) changes.push_back(machine.history().back());
  }
  void steps(int count, double late, double ready) {
    for (int i = 0; i < count; ++i) step(late, ready);
  }
  [[nodiscard]] std::size_t max_changes_within(Duration window) const {
    std::size_t maximum = 0;
    for (std::size_t i = 0; i < changes.size(); ++i) {
      std::size_t count = 0;
      while (i + count < changes.size() && changes[i + count].at <= changes[i].at + window) ++count;
      maximum = std::max(maximum, count);
    }
    return maximum;
  }
  void check_change_limits() const {
    CHECK(max_changes_within(minutes(1)) <= 4);
    CHECK(max_changes_within(minutes(10)) <= 6);
  }
  Time now = seconds(1'800'000'000);
  StateMachine machine;
  std::vector<LevelChange> changes;
};

TEST_CASE("a level is entered once its condition has held for its time, and left one level at a time",
          "[levels]") {
  MachineFixture run;
  run.steps(60, 0.01, 1.0);
  CHECK(run.machine.level() == 0);
  run.step(0.3, 0.3);
  CHECK(run.machine.level() == 0);
  run.step(0.3, 0.3);
  CHECK(run.machine.level_name() == "commands-only");  // directly to the highest level whose condition holds
  run.steps(29, 0.01, 1.0);
  CHECK(run.machine.level_name() == "commands-only");  // the minimum stay has not passed
  run.steps(2, 0.01, 1.0);
  CHECK(run.machine.level_name() == "reduced");
  run.steps(29, 0.01, 1.0);
  CHECK(run.machine.level_name() == "reduced");
  run.steps(600, 0.01, 1.0);
  CHECK(run.machine.level() == 0);
  Strings changes;
  for (const LevelChange& change : run.machine.history())
    changes.push_back(change.from + " " + change.to + " " + name(change.cause) + ": " + change.condition);
  CHECK(changes == Strings{"normal commands-only entered: ready.readers < 0.4",
                           "commands-only reduced left: ready.readers > 0.55",
                           "reduced spare left: late.command < 0.10 && ready.readers > 0.8",
                           "spare normal left: late.command < 0.04"});
  CHECK(expression::to_text(run.machine.history().front().signals[0]) == "0.3");
}

TEST_CASE("load that fluctuates around a threshold rarely changes the level", "[levels]") {
  std::mt19937 random(11);
  for (const double boundary : {0.04, 0.10, 0.25, 0.4, 0.55, 0.7, 0.8}) {
    for (const double part : {0.01, 0.03, 0.05, 0.10}) {
      MachineFixture run;
      std::uniform_real_distribution<double> noise(1 - part, 1 + part);
      for (int second = 0; second < 3600; ++second) {
        const double value = boundary * noise(random);
        if (boundary <= 0.25) {
          run.step(value, 1.0);
        } else {
          run.step(0.02, value);
        }
      }
      INFO(boundary << " by " << part << ": " << run.changes.size() << " changes");
      run.check_change_limits();
      CHECK(run.changes.size() <= 12);
      for (const LevelChange& change : run.changes) CHECK_FALSE(change.condition.empty());
    }
  }
}

TEST_CASE("load that oscillates with the period of the minimum stay makes the level stay longer each time",
          "[levels]") {
  for (const int period : {30, 31, 35, 45, 60}) {
    MachineFixture run;
    for (int second = 0; second < 7200; ++second) run.step(second / period % 2 == 0 ? 0.4 : 0.01, 1.0);
    run.check_change_limits();
    INFO(period << ": " << run.changes.size());
    std::size_t entered = 0;
    for (const LevelChange& change : run.changes)
      entered += change.cause == LevelChange::Cause::kEntered ? 1 : 0;
    CHECK(entered >= 1);
    CHECK(run.changes.size() <= 30);  // in two hours, in which the load oscillates up to 120 times
  }
}

TEST_CASE("overlapping failures keep the highest level whose condition holds, until the last failure ends",
          "[levels]") {
  MachineFixture run;
  run.steps(10, 0.15, 1.0);
  CHECK(run.machine.level_name() == "spare");
  run.steps(10, 0.15, 0.6);
  CHECK(run.machine.level_name() == "reduced");
  run.steps(10, 0.15, 0.3);
  CHECK(run.machine.level_name() == "commands-only");
  run.steps(600, 0.01, 0.6);  // the first and the last failure end; the zone stays lost
  CHECK(run.machine.level_name() == "reduced");
  run.steps(3000, 0.01, 1.0);
  CHECK(run.machine.level() == 0);
  run.check_change_limits();
}

TEST_CASE("a missing signal causes no level to be entered or left", "[levels]") {
  MachineFixture run;
  run.steps(600, -1, -1);
  CHECK(run.changes.empty());
  run.steps(10, -1, 0.3);  // the known signal is sufficient
  CHECK(run.machine.level_name() == "commands-only");
  run.steps(3600, -1, -1);
  CHECK(run.machine.level_name() == "commands-only");
  run.steps(3600, -1, 1.0);
  CHECK(run.machine.level_name() == "reduced");  // its condition to leave needs both signals
  run.step(0.01, 1.0);
  for (int i = 0; i < 200; ++i) {  // with signals only every other second, no condition holds for its time
    run.step(0.01, 1.0);
    run.step(-1, -1);
  }
  CHECK(run.machine.level_name() == "reduced");
  run.steps(3600, 0.01, 1.0);
  CHECK(run.machine.level() == 0);
}

TEST_CASE("an operator's override applies whatever the signals are, until it is cleared", "[levels]") {
  MachineFixture run;
  run.machine.set_override(1, run.now);
  run.steps(600, 0.9, 0.1);
  CHECK(run.machine.level_name() == "spare");
  run.machine.clear_override();
  run.step(0.9, 0.1);
  CHECK(run.machine.level_name() == "commands-only");
  run.machine.set_override(0, run.now);
  CHECK(run.machine.level() == 0);
  CHECK(run.machine.history().back().cause == LevelChange::Cause::kOverridden);
  run.machine.set_override(0, run.now);  // no change, so no new entry in the history
  CHECK(run.machine.history().size() == 3);
}

TEST_CASE("a reload keeps the level of the same name, or else selects the next milder one", "[levels]") {
  MachineFixture run;
  run.steps(10, 0.3, 0.6);
  REQUIRE(run.machine.level_name() == "reduced");
  run.machine.replace_levels(levels_of(kLevels), run.now);
  CHECK(run.machine.level_name() == "reduced");
  CHECK(run.machine.history().size() == 1);
  const std::string spare = "{name: \"spare\", enter: \"late.command > 0.5\", leave: \"late.command < 0.1\"}";
  run.machine.replace_levels(levels_of("levels: [" + spare + "]"), run.now);
  CHECK(run.machine.level_name() == "spare");
  CHECK(run.machine.history().back().cause == LevelChange::Cause::kReloaded);
  run.machine.replace_levels(levels_of("levels: []"), run.now);
  CHECK(run.machine.level() == 0);
  run.steps(100, 0.9, 0.1);
  CHECK(run.machine.level() == 0);
}

TEST_CASE("only requests of the named classes are shed, and their retries are spread", "[levels]") {
  MachineFixture run;
  const auto request = [](const char* account) {
    return std::vector<Value>{Value::of(0.3), Value::of(0.3), Value::of(std::int64_t{5}), Value::of(account)};
  };
  CHECK_FALSE(run.machine.shed("ask", request("bulk"), 0.5));
  run.steps(5, 0.15, 1.0);
  CHECK(run.machine.shed("ask", request("bulk"), 0.0) == std::optional<Duration>(milliseconds(500)));
  CHECK_FALSE(run.machine.shed("ask", request("acme"), 0.0));
  CHECK_FALSE(run.machine.shed("command", request("bulk"), 0.0));
  run.steps(5, 0.3, 1.0);
  CHECK(run.machine.shed("ask", request("acme"), 0.0) == std::optional<Duration>(milliseconds(1000)));
  CHECK(run.machine.shed("ask", request("acme"), 0.75) == std::optional<Duration>(milliseconds(2500)));
  CHECK_FALSE(run.machine.shed("report", request("acme"), 0.5));
  run.steps(5, 0.3, 0.3);
  CHECK(run.machine.shed("report", request("acme"), 0.5));
  CHECK_FALSE(run.machine.shed("command", request("acme"), 0.5));
}

TEST_CASE("a levels file is rejected if a level's conditions overlap, or for any other problem", "[levels]") {
  const auto one = [](const std::string& more) { return "levels: [{name: \"a\", " + more + "}]"; };
  CHECK(problems("") == Strings{"l: levels: missing: a file without levels must contain levels: []"});
  CHECK(problems("levels: []") == Strings{});
  CHECK(problems(one("enter: \"late.command > 0.2\", leave: \"late.command < 0.3\"")) ==
        Strings{"l:1:58: levels[0].leave: can hold while 'enter' does: the level would oscillate"});
  CHECK(problems(one("enter: \"late.command >= 0.2\", leave: \"late.command <= 0.2\"")).size() == 1);
  CHECK(problems(one("enter: \"late.command > 0.2 && open > 3\", leave: \"open < 5 && late.command > 0.1\""))
            .size() == 1);
  CHECK(problems(one("enter: \"late.command > 0.2\", leave: \"late.command < 0.2\"")) == Strings{});
  CHECK(problems(one("enter: \"nothing > 0.2\", leave: \"open\"")).size() == 2);
  CHECK(problems(one("enter: \"open > 3\", leave: \"open < 2\", shed: [{classes: [\"zz\"]}]"))
            .front()
            .find("no class 'zz'") != std::string::npos);
  CHECK(problems(one("enter: \"open > 3\", leave: \"open < 2\", shed: [{classes: []}]")).size() == 1);
  CHECK(problems("levels: [{name: \"normal\", enter: \"true\", leave: \"false\"}]").size() == 1);
  std::string four = "levels: [";
  for (const char* name : {"a", "b", "c", "d"})
    four += std::string("{name: \"") + name + "\", enter: \"open > 3\", leave: \"open < 2\"}, ";
  CHECK(problems(four + "]").front().find("more than 3 levels") != std::string::npos);
}

// Generates random numbers from a fixed seed.
class Draw {
 public:
  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  // Returns a number from 0 to `limit` - 1.
  unsigned below(unsigned limit) { return random_() % limit; }

 private:
  std::mt19937 random_{2026};
};

// Returns a random levels file of one to three levels whose conditions to enter and to leave do not overlap.
std::string draw_levels(Draw& draw) {
  std::string text = "levels: [";
  const unsigned count = 1 + draw.below(3);
  for (unsigned i = 0; i < count; ++i) {
    const double enter_at = draw.between(0.05, 0.9);
    const double leave_at = enter_at * draw.between(0.5, 1);
    const unsigned enter_for_ms = draw.below(3000);
    const unsigned leave_for_ms = draw.below(3000);
    const unsigned min_stay_ms = 1000 + draw.below(4000);
    text += "{name: \"l" + std::to_string(i) + "\", enter: \"late.command > " + std::to_string(enter_at) +
            "\", leave: \"late.command < " + std::to_string(leave_at) +
            "\", enter_for_ms: " + std::to_string(enter_for_ms) +
            ", leave_for_ms: " + std::to_string(leave_for_ms) +
            ", least_stay_ms: " + std::to_string(min_stay_ms) + "}, ";
  }
  return text + "]";
}

// Checks that a change is a step up or a single step down, and that its condition holds for its signals.
void check_is_justified(const LevelSet& levels, const LevelChange& change) {
  CHECK_FALSE(change.condition.empty());
  const bool is_step_down = change.cause == LevelChange::Cause::kLeft;
  const std::size_t from = *levels.find(change.from);
  const std::size_t to = *levels.find(change.to);
  if (is_step_down) CHECK(to + 1 == from);
  const Level& level = levels.level(std::max(from, to));
  const expression::Program& condition = is_step_down ? level.leave : level.enter;
  expression::Scratch scratch;
  levels.reserve(scratch);
  CHECK(condition.run(change.signals, scratch).is(true));
}

TEST_CASE("the change limits hold for any signals, and the history has each change with its cause",
          "[levels]") {
  Draw draw;
  std::size_t changes = 0;
  for (int round = 0; round < 150; ++round) {
    MachineFixture run(draw_levels(draw));
    double late = 0.3;
    std::string level = "normal";
    for (int step = 0; step < 4000; ++step) {
      if (draw.below(20) == 0) late = draw.between(0, 1);
      late = std::clamp(late + draw.between(-0.05, 0.05), 0.0, 1.0);
      const std::size_t before = run.changes.size();
      const bool is_missing = draw.below(15) == 0;
      run.step(is_missing ? -1 : late, 1, milliseconds(100 + draw.below(900)));
      if (run.changes.size() == before) continue;
      const LevelChange& change = run.changes.back();
      CHECK(run.changes.size() == before + 1);
      CHECK(change.from == level);
      CHECK(change.to == run.machine.level_name());
      CHECK(change.at == run.now);
      check_is_justified(run.machine.levels(), change);
      level = change.to;
    }
    run.check_change_limits();
    changes += run.changes.size();
  }
  CHECK(changes > 1000);
}

}  // namespace
}  // namespace dispatcher::testing
