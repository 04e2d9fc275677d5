// Any bytes as an expression: compiled or turned down; what compiles runs within its bounds, and means what
// its own spelling of itself means.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "expression/program.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace dispatcher::expression;
  static const Environment fields = [] {
    Environment e;
    e.add({"a", Kind::kString, true, 16, {}});
    e.add({"r.b", Kind::kString, false, 16, {}});
    e.add({"r.n", Kind::kInt, false, 0, {}});
    e.add({"r.x", Kind::kDouble, false, 0, {}});
    e.add({"r.t", Kind::kBool, true, 0, {}});
    return e;
  }();
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  for (const Kind kind : {Kind::kBool, Kind::kString}) {
    try {
      const Program program = Program::compile(text, fields, kind);
      Scratch scratch, other;
      scratch.reserve(program.max_values(), program.max_text());
      const std::vector<Value> values = {Value::of(Fault::kAbsent), Value::of("0123456789abcdef"),
                                         Value::of(INT64_MIN), Value::of(-1.5), Value::of(true)};
      const Value value = program.run(values, scratch);
      if (!value.failed() && value.kind != kind) std::abort();
      if (value.kind == Kind::kString && value.size > program.longest()) std::abort();
      const Program again = Program::compile(to_text(program.tree()), fields, kind);
      other.reserve(again.max_values(), again.max_text());
      const Value same_value = again.run(values, other);
      if (value.failed() != same_value.failed() || (!value.failed() && !same(value, same_value)))
        std::abort();
    } catch (const Errors& e) {
      if (e.problems.empty()) std::abort();
    }
  }
  return 0;
}
