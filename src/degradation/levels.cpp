#include "degradation/levels.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "cue/schema.hpp"
#include "expression/from_cue.hpp"

namespace dispatcher::degradation {

using expression::Kind;
using expression::Value;

namespace {

constexpr std::string_view kSchema = R"cue(
#Levels: {
	levels: [...#Level]
}
#Level: {
	name:  =~"^[a-z][a-z0-9-]{0,31}$" & !="normal" & !="auto"
	enter: string
	leave: string
	enter_for_ms:  *3_000 | (int & >=0 & <=600_000)
	leave_for_ms:  *10_000 | (int & >=0 & <=600_000)
	least_stay_ms: *30_000 | (int & >=1_000 & <=3_600_000)
	most_stay_ms:  *600_000 | (int & >=1_000 & <=3_600_000)
	shed: *[] | [...#Shed]
}
#Shed: {
	classes: [string, ...string]
	when:    *"true" | string
	retry_ms: {
		least: *500 | (int & >=1 & <=600_000)
		most:  *2_000 | (int & >=1 & <=600_000)
	}
}
)cue";

// ---- levels whose conditions to enter and to leave overlap ----

// The values of each field, by the field's index, at which the result of a condition may change.
using SamplePoints = std::map<std::int64_t, std::set<double>>;

// Maximum number of combinations of sample points that are tried, which takes a few milliseconds.
constexpr std::size_t kMaxSamples = 4096;

// Distance of a floating-point number from its neighbouring sample points.
constexpr double kRelativeStep = 1e-3;  // as a fraction of the number
constexpr double kMinStep = 1e-6;       // the minimum distance

// Adds the numbers that a condition compares each signal with, and a value slightly below and slightly above
// each of them.
void collect_sample_points(const expression::Node& node, SamplePoints& points) {
  for (const expression::Node& field : node.children) {
    if (field.op != expression::Op::kField) continue;
    for (const expression::Node& literal : node.children) {
      if (literal.op != expression::Op::kLiteral) continue;
      const bool is_integer = literal.type.kind == Kind::kInt;
      const double value = is_integer ? static_cast<double>(literal.integer) : literal.real;
      const double step = is_integer ? 1 : std::max(kMinStep, std::abs(value) * kRelativeStep);
      points[field.integer].insert({value - step, value, value + step});
    }
  }
  for (const expression::Node& child : node.children) collect_sample_points(child, points);
}

// Returns the number of combinations of sample points, or kMaxSamples + 1 if there are more.
std::size_t count_combinations(const SamplePoints& points) {
  std::size_t combinations = 1;
  for (const auto& [field, values] : points)
    combinations = std::min(combinations * values.size(), kMaxSamples + 1);
  return combinations;
}

// Returns a number as the value of a signal of the given kind.
Value value_of_kind(Kind kind, double number) {
  if (kind == Kind::kInt) return Value::of(static_cast<std::int64_t>(number));
  return Value::of(number);
}

// Sets each field to one of its sample points. `choose` is called with the number of points and returns an
// index.
template <class Choose>
void set_fields(const SamplePoints& points, const expression::Environment& signals, const Choose& choose,
                std::vector<Value>& values) {
  for (const auto& [field, candidates] : points) {
    const auto chosen = static_cast<std::ptrdiff_t>(choose(candidates.size()));
    const double point = *std::next(candidates.begin(), chosen);
    const auto index = static_cast<std::size_t>(field);
    values[index] = value_of_kind(signals.fields()[index].kind, point);
  }
}

// Returns whether both conditions of a level can hold at once. Tries every combination of the points at which
// either condition changes or, if there are too many, a random sample of them, which is the same in each run.
bool conditions_overlap(const Level& level, const expression::Environment& signals) {
  SamplePoints points;
  collect_sample_points(level.enter.tree(), points);
  collect_sample_points(level.leave.tree(), points);
  std::vector<Value> values(signals.fields().size(), Value::of(expression::EvaluationError::kAbsent));
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (signals.fields()[i].kind == Kind::kBool) values[i] = Value::of(false);
  }
  expression::Scratch scratch;
  for (const auto* program : {&level.enter, &level.leave})
    scratch.reserve(program->max_values(), program->max_text());
  const std::size_t combinations = count_combinations(points);
  const bool is_exhaustive = combinations <= kMaxSamples;
  std::mt19937 random(1);
  for (std::size_t sample = 0; sample < std::min(combinations, kMaxSamples); ++sample) {
    std::size_t remaining = sample;  // the number of the combination, in a mixed radix
    const auto choose = [&](std::size_t count) -> std::size_t {
      if (!is_exhaustive) return random() % count;
      return std::exchange(remaining, remaining / count) % count;
    };
    set_fields(points, signals, choose, values);
    if (level.enter.run(values, scratch).is(true) && level.leave.run(values, scratch).is(true)) return true;
  }
  return false;
}

// ---- reading the levels file ----

Duration milliseconds_of(const cue::Data& data) { return std::chrono::milliseconds(data.integer()); }

// Reads the levels of one file. Collects all problems, so that operators see them at once. Items with a
// problem are left out.
class LevelReader {
 public:
  LevelReader(const expression::Environment& signals, const expression::Environment& request,
              const std::vector<std::string>& classes)
      : signals_(signals), request_(request), classes_(classes) {}

  std::vector<Level> read_levels(const cue::Data& data) {
    if (data.items().size() > kMaxLevels)
      add_problem(data, "more than " + std::to_string(kMaxLevels) +
                            " levels: the limits on level changes would not hold");
    std::vector<Level> levels;
    std::set<std::string> names;
    for (const cue::Data& item : data.items()) {
      if (!names.insert(item["name"].text()).second) add_problem(item["name"], "the name is used twice");
      if (auto level = read_level(item)) levels.push_back(std::move(*level));
    }
    return levels;
  }

  std::vector<cue::Problem> take_problems() { return std::move(problems_); }

 private:
  // Returns nullopt if a condition does not compile.
  std::optional<Level> read_level(const cue::Data& data) {
    Level level;
    level.name = data["name"].text();
    level.enter_text = data["enter"].text();
    level.leave_text = data["leave"].text();
    level.enter_for = milliseconds_of(data["enter_for_ms"]);
    level.leave_for = milliseconds_of(data["leave_for_ms"]);
    level.min_stay = milliseconds_of(data["least_stay_ms"]);
    level.max_stay = std::max(level.min_stay, milliseconds_of(data["most_stay_ms"]));
    auto enter = expression::compile(data["enter"], signals_, Kind::kBool, problems_);
    auto leave = expression::compile(data["leave"], signals_, Kind::kBool, problems_);
    for (const cue::Data& item : data["shed"].items()) {
      if (auto rule = read_shedding_rule(item)) level.shedding_rules.push_back(std::move(*rule));
    }
    if (!enter || !leave) return std::nullopt;
    level.enter = std::move(*enter);
    level.leave = std::move(*leave);
    if (conditions_overlap(level, signals_))
      add_problem(data["leave"], "can hold while 'enter' does: the level would oscillate");
    return level;
  }

  // Returns nullopt if the rule's condition does not compile.
  std::optional<SheddingRule> read_shedding_rule(const cue::Data& data) {
    SheddingRule rule;
    for (const cue::Data& name : data["classes"].items()) {
      rule.classes.push_back(name.text());
      const bool is_known =
          classes_.empty() || std::find(classes_.begin(), classes_.end(), name.text()) != classes_.end();
      if (!is_known) add_problem(name, "no class '" + name.text() + "' in the settings");
    }
    rule.min_retry_after = milliseconds_of(data["retry_ms"]["least"]);
    rule.max_retry_after = milliseconds_of(data["retry_ms"]["most"]);
    if (rule.max_retry_after < rule.min_retry_after) add_problem(data["retry_ms"], "most is less than least");
    auto when = expression::compile(data["when"], request_, Kind::kBool, problems_);
    if (!when) return std::nullopt;
    rule.when = std::move(*when);
    return rule;
  }

  void add_problem(const cue::Data& at, std::string what) {
    problems_.push_back(cue::problem(at, std::move(what)));
  }

  const expression::Environment& signals_;
  const expression::Environment& request_;
  const std::vector<std::string>& classes_;
  std::vector<cue::Problem> problems_;
};

}  // namespace

std::shared_ptr<const LevelSet> LevelSet::read(const cue::File& file, const expression::Environment& signals,
                                               const expression::Environment& request,
                                               const std::vector<std::string>& classes) {
  static const cue::Schema schema(kSchema, "#Levels");
  const cue::Data data = schema.read(file);
  // An empty file, or one truncated before its levels, must not be taken for a file without levels.
  if (!data["levels"].where().in_file())
    throw cue::Errors(file.name, {{{}, "levels", "missing: a file without levels must contain levels: []"}});
  LevelReader reader(signals, request, classes);
  auto set = std::make_shared<LevelSet>();
  set->levels_ = reader.read_levels(data["levels"]);
  if (auto problems = reader.take_problems(); !problems.empty())
    throw cue::Errors(file.name, std::move(problems));
  return set;
}

std::optional<std::size_t> LevelSet::find(const std::string& name) const {
  if (name == kNormalLevelName) return kNormalLevel;
  const auto it =
      std::find_if(levels_.begin(), levels_.end(), [&](const Level& level) { return level.name == name; });
  if (it == levels_.end()) return std::nullopt;
  return static_cast<std::size_t>(it - levels_.begin()) + 1;
}

void LevelSet::reserve(expression::Scratch& scratch) const {
  const auto reserve_for = [&](const expression::Program& program) {
    scratch.reserve(program.max_values(), program.max_text());
  };
  for (const Level& level : levels_) {
    reserve_for(level.enter);
    reserve_for(level.leave);
    for (const SheddingRule& rule : level.shedding_rules) reserve_for(rule.when);
  }
}

}  // namespace dispatcher::degradation
