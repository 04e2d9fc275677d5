// Fuzz target for the expression compiler: any bytes are compiled or rejected. A compiled expression runs
// within its bounds, and has the same value as the expression that its canonical text compiles to.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "expression/program.hpp"

namespace {

using namespace dispatcher::expression;

Environment make_fields() {
  Environment fields;
  fields.add({"a", Kind::kString, true, 16, {}});
  fields.add({"r.b", Kind::kString, false, 16, {}});
  fields.add({"r.n", Kind::kInt, false, 0, {}});
  fields.add({"r.x", Kind::kDouble, false, 0, {}});
  fields.add({"r.t", Kind::kBool, true, 0, {}});
  return fields;
}

void require(bool condition) {
  if (!condition) std::abort();
}

Value run(const Program& program, Scratch& scratch) {
  const std::vector<Value> values = {Value::of(EvaluationError::kAbsent), Value::of("0123456789abcdef"),
                                     Value::of(INT64_MIN), Value::of(-1.5), Value::of(true)};
  scratch.reserve(program.max_values(), program.max_text());
  return program.run(values, scratch);
}

void check_expression(std::string_view text, Kind kind, const Environment& fields) {
  const Program program = Program::compile(text, fields, kind);
  Scratch scratch;
  const Value value = run(program, scratch);
  require(value.failed() || value.kind == kind);
  if (value.kind == Kind::kString) require(value.size <= program.max_length());

  const Program again = Program::compile(to_text(program.tree()), fields, kind);
  Scratch other_scratch;
  const Value other_value = run(again, other_scratch);
  require(value.failed() == other_value.failed());
  require(value.failed() || same(value, other_value));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const Environment fields = make_fields();
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  for (const Kind kind : {Kind::kBool, Kind::kString}) {
    try {
      check_expression(text, kind, fields);
    } catch (const Errors& errors) {
      require(!errors.problems.empty());
    }
  }
  return 0;
}
