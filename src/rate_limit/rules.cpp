#include "rate_limit/rules.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "cue/schema.hpp"
#include "expression/from_cue.hpp"

namespace dispatcher::rate_limit {

namespace {

constexpr std::string_view kSchema = R"cue(
#Rules: {
	headers: {[string]: #Header}
	budget_ns: *5_000 | (int & >0 & <=1_000_000)
	keys:      *100_000 | (int & >=64 & <=4_000_000)
	rules: [...#Rule]
}
#Header: {
	name:    =~"^[A-Za-z0-9-]{1,64}$"
	longest: *128 | (int & >0 & <=8192)
}
#Rule: {
	name:     =~"^[a-z0-9][a-z0-9_.-]{0,63}$"
	when:     *"true" | string
	class?:   string
	account?: string
	session?: string
	limits: *[] | [...#Limit]
}
#Limit: {
	key:          *"''" | string
	rate?:        number & >=0.001 & <=1_000_000
	burst:        *1 | (number & >=1 & <=1_000_000)
	in_progress?: int & >=0 & <=1_000_000
	retry_ms:     *1000 | (int & >=1 & <=3_600_000)
}
)cue";

constexpr std::size_t kMaxHeaders = 32, kMaxRules = 20'000;
constexpr std::size_t kLongestKey = 1024;
constexpr double kMaxBytes = 64e6;  // of programs and automata together
constexpr double kFixedNs = 300;    // what a decision costs besides its expressions
constexpr double kHeaderNs = 60, kHeaderByteNs = 1, kKeyNs = 200, kKeyByteNs = 0.5;
constexpr Nanoseconds kMaxTime = std::chrono::hours(240);

std::uint64_t hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Reads one file. Problems collect; what has one is left out of what is made.
class Reader {
 public:
  std::vector<cue::Problem> problems;

  void bad(const cue::Data& at, std::string what) { problems.push_back(cue::problem(at, std::move(what))); }

  // A constant result must be a name that the settings know; a computed one is looked at when it is there.
  void check_name(const cue::Data& data, const std::optional<expression::Program>& program,
                  const std::vector<std::string>& known, const char* what) {
    if (!program || known.empty() || program->tree().op != expression::Op::kLiteral) return;
    const std::string& name = program->tree().text;
    if (std::find(known.begin(), known.end(), name) == known.end())
      bad(data, std::string("no ") + what + " '" + name + "' in the settings");
  }

  Limit limit(const cue::Data& data, const std::string& rule, std::size_t number,
              const expression::Environment& fields) {
    Limit limit;
    limit.name = rule + "/" + std::to_string(number);
    if (data.has("rate")) limit.rate = data["rate"].real();
    limit.burst = data["burst"].real();
    if (data.has("in_progress")) limit.in_progress = data["in_progress"].integer();
    limit.retry_ms = data["retry_ms"].integer();
    if (limit.rate == 0 && !limit.in_progress) bad(data, "a limit needs a rate, in_progress or both");
    if (auto key = expression::compile(data["key"], fields, expression::Kind::kString, problems)) {
      if (key->longest() > kLongestKey)
        bad(data["key"], "may be " + std::to_string(key->longest()) + " bytes long, more than " +
                             std::to_string(kLongestKey));
      limit.key = std::move(*key);
    }
    // Its counters go on only as long as it is the same limit.
    const std::string identity =
        limit.name + " " + std::to_string(limit.rate) + " " + std::to_string(limit.burst) + " " +
        (limit.in_progress ? std::to_string(*limit.in_progress) : "-") + " " + data["key"].text();
    limit.id = hash(identity, 0);
    return limit;
  }
};

}  // namespace

Bound part_of(const Limit& limit, std::size_t instance, std::size_t instances) {
  Bound bound;
  bound.id = limit.id;
  const auto n = static_cast<double>(std::max<std::size_t>(1, instances));
  const auto bounded = [](double ns) {
    return Nanoseconds(static_cast<std::int64_t>(std::min(ns, static_cast<double>(kMaxTime.count()))));
  };
  if (limit.rate > 0) {
    const double interval = 1e9 * n / limit.rate;
    bound.interval = std::max(bounded(interval), Nanoseconds(1));
    bound.tolerance = bounded(interval * (std::max(1.0, limit.burst / n) - 1));
  }
  if (limit.in_progress) {
    const std::int64_t whole = *limit.in_progress, count = static_cast<std::int64_t>(n);
    const std::int64_t part = whole / count + (static_cast<std::int64_t>(instance) < whole % count ? 1 : 0);
    bound.maximum = static_cast<std::uint32_t>(whole == 0 ? 0 : std::max<std::int64_t>(1, part));
  }
  bound.retry = std::chrono::milliseconds(limit.retry_ms);
  return bound;
}

std::shared_ptr<const RuleSet> RuleSet::read(const cue::File& file, const Vocabulary& vocabulary) {
  static const cue::Schema schema(kSchema, "#Rules");
  const cue::Data data = schema.read(file);
  // An empty file, or one cut before its rules, must not pass for one that has none.
  if (!data["rules"].where().in_file())
    throw cue::Errors(file.name, {{{}, "rules", "missing: a file without rules says rules: []"}});
  auto made = std::make_shared<RuleSet>();
  RuleSet& set = *made;
  Reader reader;
  set.vocabulary_ = vocabulary;
  set.budget_ns_ = static_cast<double>(data["budget_ns"].integer());
  set.keys_ = static_cast<std::size_t>(data["keys"].integer());

  using expression::Kind;
  add_request_fields(set.fields_, vocabulary);
  for (const auto& [field, header] : data["headers"].fields()) {
    const bool word = std::all_of(field.begin(), field.end(),
                                  [](unsigned char c) { return std::isalnum(c) != 0 || c == '_'; }) &&
                      !field.empty() && std::isdigit(static_cast<unsigned char>(field[0])) == 0;
    if (!word) reader.bad(header, "a header's field is a word, such as tier");
    if (set.headers_.size() == kMaxHeaders) {
      reader.bad(header, "more than " + std::to_string(kMaxHeaders) + " headers");
      break;
    }
    const auto longest = static_cast<std::size_t>(header["longest"].integer());
    set.headers_.push_back({field, header["name"].text(), longest});
    set.fields_.add({"header." + field, Kind::kString, true, longest, {}});
  }

  if (data["rules"].items().size() > kMaxRules)
    reader.bad(data["rules"], "more than " + std::to_string(kMaxRules) + " rules");
  std::vector<expression::Program> conditions;
  std::set<std::string> names;
  double bytes = 0;
  for (const cue::Data& r : data["rules"].items()) {
    Rule rule;
    rule.at = r.where();
    rule.name = r["name"].text();
    rule.when = r["when"].text();
    if (!names.insert(rule.name).second) reader.bad(r["name"], "the name stands twice");
    auto when = expression::compile(r["when"], set.fields_, Kind::kBool, reader.problems);
    rule.request_class = expression::compile(r["class"], set.fields_, Kind::kString, reader.problems);
    rule.account = expression::compile(r["account"], set.fields_, Kind::kString, reader.problems);
    rule.session = expression::compile(r["session"], set.fields_, Kind::kString, reader.problems);
    reader.check_name(r["class"], rule.request_class, vocabulary.classes, "class");
    reader.check_name(r["account"], rule.account, vocabulary.accounts, "account");
    const auto& limits = r["limits"].items();
    if (limits.size() > kMaxLimits)
      reader.bad(r["limits"], "more than " + std::to_string(kMaxLimits) + " limits");
    for (std::size_t i = 0; i < limits.size(); ++i)
      rule.limits.push_back(reader.limit(limits[i], rule.name, i, set.fields_));
    if (when) {
      bytes += static_cast<double>(when->bytes());
      conditions.push_back(std::move(*when));
    }
    set.rules_.push_back(std::move(rule));
    if (bytes > kMaxBytes) {
      reader.bad(r, "the rules take more than " + std::to_string(static_cast<int>(kMaxBytes / 1e6)) +
                        " MB from here on");
      break;
    }
  }
  if (!reader.problems.empty()) throw cue::Errors(file.name, std::move(reader.problems));

  set.conditions_ = expression::FirstMatch(std::move(conditions), set.fields_);
  double results = 0;
  std::size_t costliest_result = 0;
  for (std::size_t i = 0; i < set.rules_.size(); ++i) {
    const double one = set.worst_ns(i) - set.conditions_.condition(i).worst_ns();
    if (one <= results) continue;
    results = one;
    costliest_result = i;
  }
  set.worst_ns_ = kFixedNs + set.conditions_.worst_ns() + results;
  for (const Header& h : set.headers_)
    set.worst_ns_ += kHeaderNs + kHeaderByteNs * static_cast<double>(h.longest);
  if (set.worst_ns_ > set.budget_ns_) {
    const int c = set.conditions_.costliest();
    const bool by_result =
        c < 0 || results > set.conditions_.condition(static_cast<std::size_t>(c)).worst_ns();
    const std::size_t worst = by_result ? costliest_result : static_cast<std::size_t>(c);
    std::string what = "a request could take " + std::to_string(std::llround(set.worst_ns_)) +
                       " ns, more than the budget of " + std::to_string(std::llround(set.budget_ns_));
    if (!set.rules_.empty())
      what += "; the costliest rule is '" + set.rules_[worst].name + "' with " +
              std::to_string(std::llround(set.worst_ns(worst)));
    throw cue::Errors(file.name,
                      {{set.rules_.empty() ? cue::Position{} : set.rules_[worst].at,
                        set.rules_.empty() ? "headers" : "rules[" + std::to_string(worst) + "]", what}});
  }
  return made;
}

double RuleSet::worst_ns(std::size_t i) const {
  const Rule& rule = rules_[i];
  double ns = conditions_.condition(i).worst_ns();
  for (const auto* p : {&rule.request_class, &rule.account, &rule.session}) {
    if (*p) ns += (*p)->worst_ns() + kKeyNs;
  }
  for (const Limit& l : rule.limits)
    ns += l.key.worst_ns() + kKeyNs + kKeyByteNs * static_cast<double>(l.key.longest());
  return ns;
}

void RuleSet::reserve(expression::Scratch& scratch) const {
  conditions_.reserve(scratch);
  const auto one = [&](const expression::Program& p) { scratch.reserve(p.max_values(), p.max_text()); };
  for (const Rule& rule : rules_) {
    for (const auto* p : {&rule.request_class, &rule.account, &rule.session}) {
      if (*p) one(**p);
    }
    for (const Limit& l : rule.limits) one(l.key);
  }
}

std::span<const expression::Value> RuleSet::fill(const Facts& facts, std::span<char, 16> session,
                                                 Values& values) const {
  fill_request(facts, session, std::span<expression::Value, kRequestFields>(values.data(), kRequestFields));
  std::size_t n = kRequestFields;
  for (std::size_t i = 0; i < headers_.size(); ++i)
    values[n++] = text_value(i < facts.headers.size() ? facts.headers[i] : std::nullopt, headers_[i].longest);
  return {values.data(), n};
}

std::vector<expression::Value> RuleSet::values(const Facts& facts, std::span<char, 16> session) const {
  Values values;
  const auto filled = fill(facts, session, values);
  return {filled.begin(), filled.end()};
}

Decision RuleSet::decide(const Facts& facts, expression::Scratch& scratch) const {
  Decision decision;
  Values all;
  std::array<char, 16> session{};
  const auto values = fill(facts, session, all);
  decision.rule = conditions_.find(values, scratch);
  if (decision.rule < 0) return decision;
  const Rule& rule = rules_[static_cast<std::size_t>(decision.rule)];
  const auto run = [&](const std::optional<expression::Program>& p) -> std::optional<std::string_view> {
    if (!p) return std::nullopt;
    const expression::Value v = p->run(values, scratch);
    if (v.failed()) ++decision.faults;
    return v.failed() ? std::nullopt : std::optional(v.text());
  };
  const auto known = [&](const std::vector<std::string>& names, std::string_view name) {
    const auto it = std::find(names.begin(), names.end(), name);
    if (it == names.end()) ++decision.faults;
    return it == names.end() ? nullptr : &*it;
  };
  if (const auto name = run(rule.request_class)) decision.request_class = known(vocabulary_.classes, *name);
  if (const auto name = run(rule.account)) {
    if (vocabulary_.accounts.empty() || known(vocabulary_.accounts, *name) != nullptr)
      decision.account = std::string(*name);
  }
  if (const auto name = run(rule.session)) decision.session = std::max<std::uint64_t>(1, hash(*name, 0));
  for (const Limit& l : rule.limits) {
    // Requests that lack what the key is made of share one: to leave it out frees nobody.
    const expression::Value key = l.key.run(values, scratch);
    if (key.failed()) ++decision.faults;
    const std::uint64_t h =
        hash(key.failed() ? std::string_view() : key.text(), l.id + (key.failed() ? 1 : 0));
    decision.limits[decision.limit_count++] = {&l, std::max<std::uint64_t>(1, h)};
  }
  return decision;
}

// ---- warnings ----

namespace {

// What must hold for a rule to match: each part by its text, and memberships by their values.
struct Needs {
  std::set<std::string> parts;
  std::map<int, std::set<std::string>> values;  // by field
  bool never = false;
};

Needs needs_of(const expression::Node& condition, const expression::Environment& fields) {
  Needs needs;
  for (const expression::Node* part : expression::parts(condition)) {
    if (part->op == expression::Op::kLiteral) {
      needs.never = needs.never || part->integer == 0;
      continue;
    }
    const auto membership = expression::membership(*part);
    if (!membership) {
      needs.parts.insert(expression::to_text(*part));
      continue;
    }
    std::set<std::string> values;
    const auto& domain = fields.fields()[static_cast<std::size_t>(membership->field)].domain;
    for (const expression::Value& v : membership->values) {
      const bool possible = !domain || std::find(domain->begin(), domain->end(), v.text()) != domain->end();
      if (possible) values.insert(expression::to_text(v));
    }
    const auto [it, first] = needs.values.emplace(membership->field, values);
    if (!first) std::erase_if(it->second, [&](const std::string& v) { return !values.contains(v); });
    needs.never = needs.never || it->second.empty();
  }
  return needs;
}

// Does whatever meets `all` meet `some`, too?
bool implies(const Needs& all, const Needs& some) {
  if (!std::includes(all.parts.begin(), all.parts.end(), some.parts.begin(), some.parts.end())) return false;
  return std::all_of(some.values.begin(), some.values.end(), [&](const auto& need) {
    const auto it = all.values.find(need.first);
    return it != all.values.end() &&
           std::includes(need.second.begin(), need.second.end(), it->second.begin(), it->second.end());
  });
}

}  // namespace

std::vector<cue::Problem> warnings(const RuleSet& set) {
  std::vector<cue::Problem> found;
  std::vector<Needs> needs;
  // Earlier rules by one thing that they need, so that each is held only against rules that could meet it.
  std::map<std::string, std::vector<std::size_t>> by_need;
  std::vector<std::size_t> any;
  for (std::size_t i = 0; i < set.rules().size(); ++i) {
    const Rule& rule = set.rules()[i];
    const std::string path = "rules[" + std::to_string(i) + "]";
    needs.push_back(needs_of(set.conditions().condition(i).tree(), set.fields()));
    const Needs& mine = needs.back();
    if (mine.never) {
      found.push_back({rule.at, path, "rule '" + rule.name + "' can never match"});
      continue;
    }
    std::vector<std::size_t> candidates = any;
    std::vector<std::string> offers(mine.parts.begin(), mine.parts.end());
    for (const auto& [field, values] : mine.values) {
      for (const std::string& v : values) offers.push_back(std::to_string(field) + "=" + v);
    }
    for (const std::string& offer : offers) {
      if (const auto it = by_need.find(offer); it != by_need.end())
        candidates.insert(candidates.end(), it->second.begin(), it->second.end());
    }
    std::sort(candidates.begin(), candidates.end());
    const auto shadow = std::find_if(candidates.begin(), candidates.end(),
                                     [&](std::size_t earlier) { return implies(mine, needs[earlier]); });
    if (shadow != candidates.end()) {
      found.push_back({rule.at, path,
                       "rule '" + rule.name + "' can never match: '" + set.rules()[*shadow].name +
                           "' before it takes all of its requests"});
      continue;
    }
    if (!mine.parts.empty()) {
      by_need[*mine.parts.begin()].push_back(i);
    } else if (!mine.values.empty()) {
      for (const std::string& v : mine.values.begin()->second)
        by_need[std::to_string(mine.values.begin()->first) + "=" + v].push_back(i);
    } else {
      any.push_back(i);
    }
  }
  return found;
}

}  // namespace dispatcher::rate_limit
