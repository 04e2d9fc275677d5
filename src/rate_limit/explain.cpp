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

constexpr int kHexadecimal = 16;

// Header names are case-insensitive (RFC 9110, 5.1).
bool is_same_header(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::optional<std::string_view> find_header(const std::map<std::string, std::string>& headers,
                                            const std::string& name) {
  const auto it = std::find_if(headers.begin(), headers.end(),
                               [&](const auto& header) { return is_same_header(header.first, name); });
  if (it == headers.end()) return std::nullopt;
  return it->second;
}

// Evaluates one part of a condition on its own.
expression::Value evaluate(const expression::Node& node, const RuleSet& rules,
                           std::span<const expression::Value> values) {
  const auto program =
      expression::Program::compile(expression::to_text(node), rules.fields(), node.type.kind);
  expression::Scratch scratch;
  scratch.reserve(program.max_values(), program.max_text());
  return program.run(values, scratch);
}

// Returns why a rule does not match: the first part of its condition that is false or, if none is false, the
// first part that has no value.
std::string mismatch_reason(const RuleSet& rules, std::size_t rule,
                            std::span<const expression::Value> values) {
  std::string without_value;
  for (const expression::Node* part : expression::conjuncts(rules.conditions().condition(rule).tree())) {
    const expression::Value value = evaluate(*part, rules, values);
    if (value.is(false)) return expression::to_text(*part) + " is false";
    if (value.failed() && without_value.empty())
      without_value = expression::to_text(*part) + " has no value: " + expression::name(value.error);
  }
  return without_value;
}

// Returns one line about a result of a rule. `is_used`: whether the result replaces the request's own value.
std::string explain_result(const char* what, const expression::Value& value, bool is_used) {
  std::string text = std::string("      ") + what + " = " + expression::to_text(value);
  if (!is_used) text += ": not used, the request keeps its own value";
  return text;
}

// Returns one line about a limit and its key.
std::string explain_limit(const Limit& limit, const expression::Value& key) {
  std::string text = "      limit " + limit.name + ": key ";
  if (key.failed()) {
    text += "shared by all requests that have none (" + std::string(expression::name(key.error)) + ")";
  } else {
    text += expression::to_text(key);
  }
  if (limit.rate > 0) {
    text += ", " + expression::to_text(expression::Value::of(limit.rate)) + " a second in bursts of " +
            expression::to_text(expression::Value::of(limit.burst));
  }
  if (limit.max_in_progress) text += ", " + std::to_string(*limit.max_in_progress) + " in progress";
  return text + ", over the whole fleet";
}

}  // namespace

std::unique_ptr<SampleRequest> read_sample(const cue::File& file, const RuleSet& rules) {
  static const cue::Schema schema(kSchema, "#Request");
  const cue::Data data = schema.read(file);
  auto sample = std::make_unique<SampleRequest>();
  sample->request_class = data["class"].text();
  sample->account = data["account"].text();
  if (data.has("model")) sample->model = data["model"].text();
  for (const auto& [name, value] : data["headers"].fields()) sample->headers[name] = value.text();

  RequestAttributes& attributes = sample->attributes;
  attributes.request_class = sample->request_class;
  attributes.account = sample->account;
  attributes.model = sample->model;
  const std::string& session = data["session"].text();
  std::from_chars(session.data(), session.data() + session.size(), attributes.session, kHexadecimal);
  attributes.is_openai_api = data["front"].text() == "chat";
  attributes.is_retry = data["retry"].flag();
  attributes.prompt_tokens = data["prompt_tokens"].integer();
  attributes.shared_tokens = data["shared_tokens"].integer();
  attributes.max_tokens = data["most_tokens"].integer();
  attributes.time_left_ms = data["time_left_ms"].integer();
  for (const Header& header : rules.headers())
    attributes.headers.push_back(find_header(sample->headers, header.name));
  return sample;
}

namespace {

// Appends one line for each result and limit of a rule that matches the request.
void explain_match(const Rule& rule, const Decision& decision, std::span<const expression::Value> values,
                   expression::Scratch& scratch, std::vector<std::string>& report) {
  const auto add_result = [&](const char* what, const std::optional<expression::Program>& program,
                              bool is_used) {
    if (program) report.push_back(explain_result(what, program->run(values, scratch), is_used));
  };
  add_result("class", rule.request_class, decision.request_class != nullptr);
  add_result("account", rule.account, decision.account.has_value());
  add_result("session", rule.session, decision.session.has_value());
  for (const Limit& limit : rule.limits)
    report.push_back(explain_limit(limit, limit.key.run(values, scratch)));
}

}  // namespace

std::vector<std::string> explain(const RuleSet& rules, const RequestAttributes& attributes,
                                 std::size_t max_rules) {
  std::vector<std::string> report;
  SessionText session_text{};
  const auto values = rules.values(attributes, session_text);
  expression::Scratch scratch;
  rules.reserve(scratch);
  const Decision decision = rules.decide(attributes, scratch);

  const std::size_t mismatches = decision.rule.value_or(rules.rules().size());
  const std::size_t first = mismatches > max_rules ? mismatches - max_rules : 0;
  if (first > 0) report.push_back(std::to_string(first) + " rules before these do not match either");
  for (std::size_t i = first; i < mismatches; ++i)
    report.push_back("no    " + rules.rules()[i].name + ": " + mismatch_reason(rules, i, values));
  if (!decision.rule) {
    report.emplace_back("no rule matches: the request stays unchanged");
    return report;
  }

  const Rule& rule = rules.rules()[*decision.rule];
  report.push_back("yes   " + rule.name + ": " + rule.when);
  explain_match(rule, decision, values, scratch, report);
  return report;
}

}  // namespace dispatcher::rate_limit
