#include "expression_fixture.hpp"

#include <array>

namespace dispatcher::testing {

using namespace expression;

const Environment& expression_fields() {
  static const Environment fields = [] {
    Environment environment;
    environment.add({"request.class", Kind::kString, false, 64});
    environment.add({"request.account", Kind::kString, false, 64});
    environment.add({"request.tokens", Kind::kInt, false, 0});
    environment.add({"request.share", Kind::kDouble, false, 0});
    environment.add({"request.retry", Kind::kBool, false, 0});
    environment.add({"request.session", Kind::kString, true, 32});
    environment.add({"header.tier", Kind::kString, true, 16});
    environment.add({"header.weight", Kind::kInt, true, 0});
    return environment;
  }();
  return fields;
}

std::vector<Value> sample_values() {
  return {Value::of("ask"),
          Value::of("acme"),
          Value::of(std::int64_t{1200}),
          Value::of(0.5),
          Value::of(true),
          Value::of(EvaluationError::kAbsent),
          Value::of("gold-1"),
          Value::of(EvaluationError::kAbsent)};
}

Scratch scratch_for(const Program& program) {
  Scratch scratch;
  scratch.reserve(program.max_values(), program.max_text());
  return scratch;
}

std::string evaluate_to_text(const std::string& text) {
  for (const Kind kind : {Kind::kBool, Kind::kInt, Kind::kDouble, Kind::kString}) {
    try {
      const Program program = Program::compile(text, expression_fields(), kind);
      Scratch scratch = scratch_for(program);
      const auto values = sample_values();
      return to_text(program.run(values, scratch));
    } catch (const Errors& errors) {
      std::string message = errors.what();
      const bool is_other_kind = message.find("expected " + std::string(name(kind))) != std::string::npos;
      if (!is_other_kind) return message;
    }
  }
  return "?";
}

}  // namespace dispatcher::testing
