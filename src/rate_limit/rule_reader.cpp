// Parses a rules file: RuleSet::read().
#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>

#include "cue/schema.hpp"
#include "expression/from_cue.hpp"
#include "rate_limit/rules.hpp"
#include "rate_limit/text_hash.hpp"

namespace dispatcher::rate_limit {

using expression::Kind;

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

// Limits on a rules file, so that parsing it takes bounded time and memory.
constexpr std::size_t kMaxRules = 20'000;
constexpr double kMaxProgramBytes = 64e6;  // for programs and automata of all conditions
constexpr double kBytesPerMegabyte = 1e6;
// Maximum length of a limit's key, in bytes. The key is built for each request.
constexpr std::size_t kMaxKeyLength = 1024;

// Returns whether a name can stand for FIELD in header.FIELD, as expressions use it.
bool is_field_name(const std::string& name) {
  if (name.empty() || std::isdigit(static_cast<unsigned char>(name[0])) != 0) return false;
  return std::all_of(name.begin(), name.end(),
                     [](unsigned char letter) { return std::isalnum(letter) != 0 || letter == '_'; });
}

// Reads one rules file. Collects all problems, so that operators see them at once. Items with a problem are
// left out.
class RuleReader {
 public:
  explicit RuleReader(const Vocabulary& vocabulary) : vocabulary_(vocabulary) {
    add_request_fields(fields, vocabulary);
  }

  void read_headers(const cue::Data& data) {
    for (const auto& [field, header] : data.fields()) {
      if (!is_field_name(field)) add_problem(header, "a header's field is a word, such as tier");
      if (headers.size() == kMaxHeaders) {
        add_problem(header, "more than " + std::to_string(kMaxHeaders) + " headers");
        return;
      }
      const auto max_length = static_cast<std::size_t>(header["longest"].integer());
      headers.push_back({field, header["name"].text(), max_length});
      fields.add({"header." + field, Kind::kString, true, max_length, {}});
    }
  }

  void read_rules(const cue::Data& data) {
    if (data.items().size() > kMaxRules)
      add_problem(data, "more than " + std::to_string(kMaxRules) + " rules");
    std::set<std::string> names;
    double program_bytes = 0;
    for (const cue::Data& item : data.items()) {
      if (!names.insert(item["name"].text()).second) add_problem(item["name"], "the name is used twice");
      auto condition = expression::compile(item["when"], fields, Kind::kBool, problems);
      rules.push_back(read_rule(item));
      if (condition) {
        program_bytes += static_cast<double>(condition->bytes());
        conditions.push_back(std::move(*condition));
      }
      if (program_bytes > kMaxProgramBytes) {
        add_problem(item, "the rules take more than " +
                              std::to_string(static_cast<int>(kMaxProgramBytes / kBytesPerMegabyte)) +
                              " MB from here on");
        return;
      }
    }
  }

  // The contents of the file. There is one condition for each rule unless there are problems.
  std::vector<Header> headers;
  expression::Environment fields;
  std::vector<Rule> rules;
  std::vector<expression::Program> conditions;
  std::vector<cue::Problem> problems;

 private:
  Rule read_rule(const cue::Data& data) {
    Rule rule;
    rule.at = data.where();
    rule.name = data["name"].text();
    rule.when = data["when"].text();
    rule.request_class = expression::compile(data["class"], fields, Kind::kString, problems);
    rule.account = expression::compile(data["account"], fields, Kind::kString, problems);
    rule.session = expression::compile(data["session"], fields, Kind::kString, problems);
    check_constant(data["class"], rule.request_class, vocabulary_.classes, "class");
    check_constant(data["account"], rule.account, vocabulary_.accounts, "account");
    const auto& limits = data["limits"].items();
    if (limits.size() > kMaxLimits)
      add_problem(data["limits"], "more than " + std::to_string(kMaxLimits) + " limits");
    for (std::size_t i = 0; i < limits.size(); ++i)
      rule.limits.push_back(read_limit(limits[i], rule.name + "/" + std::to_string(i)));
    return rule;
  }

  Limit read_limit(const cue::Data& data, const std::string& name) {
    Limit limit;
    limit.name = name;
    if (data.has("rate")) limit.rate = data["rate"].real();
    limit.burst = data["burst"].real();
    if (data.has("in_progress")) limit.max_in_progress = data["in_progress"].integer();
    limit.retry_after = std::chrono::milliseconds(data["retry_ms"].integer());
    if (limit.rate == 0 && !limit.max_in_progress)
      add_problem(data, "a limit needs a rate, in_progress or both");
    if (auto key = expression::compile(data["key"], fields, Kind::kString, problems)) {
      if (key->max_length() > kMaxKeyLength)
        add_problem(data["key"], "may be " + std::to_string(key->max_length()) + " bytes long, more than " +
                                     std::to_string(kMaxKeyLength));
      limit.key = std::move(*key);
    }
    limit.id = limit_id(limit, data["key"].text());
    return limit;
  }

  // Returns a hash of the limit's definition. The limit's counters survive a reload only if the whole
  // definition stays the same.
  static std::uint64_t limit_id(const Limit& limit, const std::string& key_text) {
    const std::string max_in_progress = limit.max_in_progress ? std::to_string(*limit.max_in_progress) : "-";
    const std::string definition = limit.name + " " + std::to_string(limit.rate) + " " +
                                   std::to_string(limit.burst) + " " + max_in_progress + " " + key_text;
    return text_hash(definition, 0);
  }

  // Reports a constant result that the settings don't define. A computed result is checked for each request.
  void check_constant(const cue::Data& data, const std::optional<expression::Program>& program,
                      const std::vector<std::string>& known_names, const char* what) {
    if (!program || known_names.empty() || program->tree().op != expression::Op::kLiteral) return;
    const std::string& name = program->tree().text;
    if (std::find(known_names.begin(), known_names.end(), name) == known_names.end())
      add_problem(data, std::string("no ") + what + " '" + name + "' in the settings");
  }

  void add_problem(const cue::Data& at, std::string what) {
    problems.push_back(cue::problem(at, std::move(what)));
  }

  const Vocabulary& vocabulary_;
};

}  // namespace

std::shared_ptr<const RuleSet> RuleSet::read(const cue::File& file, const Vocabulary& vocabulary) {
  static const cue::Schema schema(kSchema, "#Rules");
  const cue::Data data = schema.read(file);
  // An empty file, or one truncated before its rules, must not be taken for a file without rules.
  if (!data["rules"].where().in_file())
    throw cue::Errors(file.name, {{{}, "rules", "missing: a file without rules must contain rules: []"}});
  RuleReader reader(vocabulary);
  reader.read_headers(data["headers"]);
  reader.read_rules(data["rules"]);
  if (!reader.problems.empty()) throw cue::Errors(file.name, std::move(reader.problems));

  auto set = std::make_shared<RuleSet>();
  set->vocabulary_ = vocabulary;
  set->budget_ns_ = static_cast<double>(data["budget_ns"].integer());
  set->max_keys_ = static_cast<std::size_t>(data["keys"].integer());
  set->headers_ = std::move(reader.headers);
  set->fields_ = std::move(reader.fields);
  set->rules_ = std::move(reader.rules);
  set->conditions_ = expression::FirstMatch(std::move(reader.conditions), set->fields_);
  if (const auto problem = set->check_budget()) throw cue::Errors(file.name, {*problem});
  return set;
}

}  // namespace dispatcher::rate_limit
