#include "rate_limit/explain.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "cue/schema.hpp"

namespace dispatcher::rate_limit {

namespace {

constexpr std::string_view kSchema = R"cue(
#Request: {
	class:   *"" | string
	account: *"" | string
	model?:  string
	session: *"0" | =~"^[0-9a-f]{1,16}$" // hexadecimal
	front:   *"platform" | "chat"
	retry:   *false | bool
	prompt_tokens: *0 | (int & >=0)
	shared_tokens: *0 | (int & >=0)
	most_tokens:   *0 | (int & >=0)
	time_left_ms:  *0 | int
	headers: {[string]: string}
}
)cue";

bool same_name(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

expression::Value evaluate(const expression::Node& node, const RuleSet& rules,
                           std::span<const expression::Value> values) {
  const auto program =
      expression::Program::compile(expression::to_text(node), rules.fields(), node.type.kind);
  expression::Scratch scratch;
  scratch.reserve(program.max_values(), program.max_text());
  return program.run(values, scratch);
}

std::string reason(const RuleSet& rules, std::size_t i, std::span<const expression::Value> values) {
  std::string fault;
  for (const expression::Node* part : expression::parts(rules.conditions().condition(i).tree())) {
    const expression::Value v = evaluate(*part, rules, values);
    if (v.is(false)) return expression::to_text(*part) + " is false";
    if (v.failed() && fault.empty())
      fault = expression::to_text(*part) + " has no value: " + expression::name(v.fault);
  }
  return fault;
}

}  // namespace

std::unique_ptr<Sample> read_sample(const cue::File& file, const RuleSet& rules) {
  static const cue::Schema schema(kSchema, "#Request");
  const cue::Data data = schema.read(file);
  auto sample = std::make_unique<Sample>();
  Sample& s = *sample;
  s.request_class = data["class"].text();
  s.account = data["account"].text();
  s.has_model = data.has("model");
  if (s.has_model) s.model = data["model"].text();
  Facts& f = s.facts;
  f.request_class = s.request_class;
  f.account = s.account;
  if (s.has_model) f.model = s.model;
  const std::string& session = data["session"].text();
  std::from_chars(session.data(), session.data() + session.size(), f.session, 16);
  f.chat = data["front"].text() == "chat";
  f.retry = data["retry"].flag();
  f.prompt_tokens = data["prompt_tokens"].integer();
  f.shared_tokens = data["shared_tokens"].integer();
  f.max_tokens = data["most_tokens"].integer();
  f.time_left_ms = data["time_left_ms"].integer();
  for (const auto& [name, value] : data["headers"].fields()) s.headers[name] = value.text();
  for (const Header& wanted : rules.headers()) {
    const auto it = std::find_if(s.headers.begin(), s.headers.end(),
                                 [&](const auto& h) { return same_name(h.first, wanted.name); });
    f.headers.push_back(it == s.headers.end() ? std::nullopt : std::optional<std::string_view>(it->second));
  }
  return sample;
}

std::vector<std::string> explain(const RuleSet& rules, const Facts& facts, std::size_t maximum) {
  std::vector<std::string> lines;
  std::array<char, 16> session{};
  const auto values = rules.values(facts, session);
  expression::Scratch scratch;
  rules.reserve(scratch);
  const Decision decision = rules.decide(facts, scratch);
  const std::size_t before =
      decision.rule < 0 ? rules.rules().size() : static_cast<std::size_t>(decision.rule);
  const std::size_t from = before > maximum ? before - maximum : 0;
  if (from > 0) lines.push_back(std::to_string(from) + " rules before these do not match either");
  for (std::size_t i = from; i < before; ++i)
    lines.push_back("no    " + rules.rules()[i].name + ": " + reason(rules, i, values));
  if (decision.rule < 0) {
    lines.emplace_back("no rule matches: the request passes as it is");
    return lines;
  }
  const Rule& rule = rules.rules()[before];
  lines.push_back("yes   " + rule.name + ": " + rule.when);
  const auto computed = [&](const char* what, const std::optional<expression::Program>& program, bool taken,
                            const std::string& as) {
    if (!program) return;
    const expression::Value v = program->run(values, scratch);
    lines.push_back(std::string("      ") + what + " = " + expression::to_text(v) +
                    (taken ? as : ": not known, its own stays"));
  };
  computed("class", rule.request_class, decision.request_class != nullptr, "");
  computed("account", rule.account, decision.account.has_value(), "");
  computed("session", rule.session, decision.session.has_value(), "");
  for (const Limit& l : rule.limits) {
    const expression::Value key = l.key.run(values, scratch);
    std::string line =
        "      limit " + l.name + ": key " +
        (key.failed() ? "shared by all that lack it (" + std::string(expression::name(key.fault)) + ")"
                      : expression::to_text(key));
    if (l.rate > 0)
      line += ", " + expression::to_text(expression::Value::of(l.rate)) + " a second in bursts of " +
              expression::to_text(expression::Value::of(l.burst));
    if (l.in_progress) line += ", " + std::to_string(*l.in_progress) + " in progress";
    lines.push_back(line + ", over the whole fleet");
  }
  return lines;
}

}  // namespace dispatcher::rate_limit
