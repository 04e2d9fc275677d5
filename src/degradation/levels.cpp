#include "degradation/levels.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

#include "cue/schema.hpp"
#include "expression/from_cue.hpp"

namespace dispatcher::degradation {

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

constexpr std::size_t kMaxSamples = 4096;

using expression::Kind;
using expression::Value;

// The numbers that a condition compares each signal with, and a little to either side of each.
void collect(const expression::Node& n, std::map<std::int64_t, std::set<double>>& points) {
  for (const expression::Node& a : n.kids) {
    if (a.op != expression::Op::kField) continue;
    for (const expression::Node& b : n.kids) {
      if (b.op != expression::Op::kLiteral) continue;
      const double at = b.type.kind == Kind::kInt ? static_cast<double>(b.integer) : b.real;
      const double near = b.type.kind == Kind::kInt ? 1 : std::max(1e-6, std::abs(at) * 1e-3);
      points[a.integer].insert({at - near, at, at + near});
    }
  }
  for (const expression::Node& kid : n.kids) collect(kid, points);
}

// May both hold at once? Tried at all the places where either changes; beyond the bound, at some of them.
bool both_may_hold(const Level& level, const expression::Environment& signals) {
  std::map<std::int64_t, std::set<double>> points;
  collect(level.enter.tree(), points);
  collect(level.leave.tree(), points);
  std::vector<Value> values(signals.fields().size(), Value::of(expression::Fault::kAbsent));
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (signals.fields()[i].kind == Kind::kBool) values[i] = Value::of(false);
  }
  std::size_t combinations = 1;
  for (const auto& [field, at] : points) combinations = std::min(combinations * at.size(), kMaxSamples + 1);
  expression::Scratch scratch;
  for (const auto* p : {&level.enter, &level.leave}) scratch.reserve(p->max_values(), p->max_text());
  std::mt19937 random(1);
  const bool all = combinations <= kMaxSamples;
  for (std::size_t n = 0; n < std::min(combinations, kMaxSamples); ++n) {
    std::size_t rest = n;
    for (const auto& [field, at] : points) {
      const std::size_t which = all ? rest % at.size() : random() % at.size();
      rest /= at.size();
      const double value = *std::next(at.begin(), static_cast<std::ptrdiff_t>(which));
      const auto i = static_cast<std::size_t>(field);
      values[i] = signals.fields()[i].kind == Kind::kInt ? Value::of(static_cast<std::int64_t>(value))
                                                         : Value::of(value);
    }
    if (level.enter.run(values, scratch).is(true) && level.leave.run(values, scratch).is(true)) return true;
  }
  return false;
}

class Reader {
 public:
  std::vector<cue::Problem> problems;

  void bad(const cue::Data& at, std::string what) { problems.push_back(cue::problem(at, std::move(what))); }
};

Duration ms(const cue::Data& data) { return std::chrono::milliseconds(data.integer()); }

}  // namespace

std::shared_ptr<const LevelSet> LevelSet::read(const cue::File& file, const expression::Environment& signals,
                                               const expression::Environment& request,
                                               const std::vector<std::string>& classes) {
  static const cue::Schema schema(kSchema, "#Levels");
  const cue::Data data = schema.read(file);
  if (!data["levels"].where().in_file())
    throw cue::Errors(file.name, {{{}, "levels", "missing: a file without levels says levels: []"}});
  auto made = std::make_shared<LevelSet>();
  Reader reader;
  if (data["levels"].items().size() > kMaxLevels)
    reader.bad(data["levels"],
               "more than " + std::to_string(kMaxLevels) + " levels: the bound on changes would not hold");
  std::set<std::string> names;
  for (const cue::Data& l : data["levels"].items()) {
    Level level;
    level.name = l["name"].text();
    if (!names.insert(level.name).second) reader.bad(l["name"], "the name stands twice");
    level.enter_text = l["enter"].text();
    level.leave_text = l["leave"].text();
    level.enter_for = ms(l["enter_for_ms"]);
    level.leave_for = ms(l["leave_for_ms"]);
    level.min_stay = ms(l["least_stay_ms"]);
    level.max_stay = std::max(level.min_stay, ms(l["most_stay_ms"]));
    auto enter = expression::compile(l["enter"], signals, Kind::kBool, reader.problems),
         leave = expression::compile(l["leave"], signals, Kind::kBool, reader.problems);
    for (const cue::Data& s : l["shed"].items()) {
      SheddingRule shed;
      for (const cue::Data& name : s["classes"].items()) {
        shed.classes.push_back(name.text());
        if (!classes.empty() && std::find(classes.begin(), classes.end(), name.text()) == classes.end())
          reader.bad(name, "no class '" + name.text() + "' in the settings");
      }
      shed.retry_min = ms(s["retry_ms"]["least"]);
      shed.retry_max = ms(s["retry_ms"]["most"]);
      if (shed.retry_max < shed.retry_min) reader.bad(s["retry_ms"], "most is less than least");
      if (auto when = expression::compile(s["when"], request, Kind::kBool, reader.problems)) {
        shed.when = std::move(*when);
        level.shed.push_back(std::move(shed));
      }
    }
    if (!enter || !leave) continue;
    level.enter = std::move(*enter);
    level.leave = std::move(*leave);
    if (both_may_hold(level, signals))
      reader.bad(l["leave"], "can hold while 'enter' does: the level would swing");
    made->levels_.push_back(std::move(level));
  }
  if (!reader.problems.empty()) throw cue::Errors(file.name, std::move(reader.problems));
  return made;
}

std::optional<std::size_t> LevelSet::find(const std::string& name) const {
  if (name == "normal") return 0;
  const auto it =
      std::find_if(levels_.begin(), levels_.end(), [&](const Level& l) { return l.name == name; });
  if (it == levels_.end()) return std::nullopt;
  return static_cast<std::size_t>(it - levels_.begin()) + 1;
}

void LevelSet::reserve(expression::Scratch& scratch) const {
  const auto one = [&](const expression::Program& p) { scratch.reserve(p.max_values(), p.max_text()); };
  for (const Level& l : levels_) {
    one(l.enter);
    one(l.leave);
    for (const SheddingRule& s : l.shed) one(s.when);
  }
}

}  // namespace dispatcher::degradation
