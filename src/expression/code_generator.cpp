#include "expression/code_generator.hpp"

#include <re2/re2.h>

#include <algorithm>
#include <utility>

#include "expression/cost_model.hpp"

namespace dispatcher::expression {

namespace {

struct BinaryInstruction {
  Opcode opcode = Opcode::kEqual;
  std::int32_t operand = 0;
};

BinaryInstruction binary_instruction(Op operation) {
  switch (operation) {
    case Op::kUnequal:
      return {Opcode::kUnequal};
    case Op::kLess:
      return {Opcode::kLess};
    case Op::kGreater:
      return {Opcode::kLess, kReversed};
    case Op::kLessEqual:
      return {Opcode::kLessEqual};
    case Op::kGreaterEqual:
      return {Opcode::kLessEqual, kReversed};
    case Op::kAdd:
      return {Opcode::kAdd};
    case Op::kSubtract:
      return {Opcode::kSubtract};
    case Op::kMultiply:
      return {Opcode::kMultiply};
    case Op::kDivide:
      return {Opcode::kDivide};
    case Op::kRemainder:
      return {Opcode::kRemainder};
    default:
      return {Opcode::kEqual};
  }
}

std::size_t max_length(const std::vector<Value>& values) {
  std::size_t maximum = 0;
  for (const Value& value : values) {
    if (value.kind == Kind::kString) maximum = std::max<std::size_t>(maximum, value.size);
  }
  return maximum;
}

std::size_t max_text_length(Kind kind, std::size_t string_length) {
  if (kind == Kind::kString) return string_length;
  return kind == Kind::kDouble ? kMaxDoubleText : kMaxIntText;
}

// Generates the code in one pass over the tree. Each generate function appends the code that leaves the
// node's value on the stack, and returns the maximum length of that value in bytes, or 0 if it is not a
// string.
class CodeGenerator {
 public:
  explicit CodeGenerator(const Environment& fields) : fields_(fields) {}

  GeneratedCode generate_all(const Node& tree) {
    GeneratedCode generated;
    generated.max_length = generate(tree);
    generated.worst_ns = kProgramNs + worst_path_ns(code_.instructions, costs_);
    if (code_.max_text > kMaxTextBytes)
      fail(tree.at, "makes up to " + std::to_string(code_.max_text) + " bytes of text, more than " +
                        std::to_string(kMaxTextBytes));
    generated.bytecode = std::move(code_);
    return generated;
  }

 private:
  // Appends an instruction and returns its index. `stack_change` is the number of values that it pushes minus
  // the number that it pops.
  std::size_t emit(Opcode opcode, double cost_ns, int stack_change, std::int32_t operand = 0) {
    code_.instructions.push_back({opcode, operand, 0});
    costs_.push_back(cost_ns);
    stack_depth_ += stack_change;
    code_.max_stack = std::max(code_.max_stack, static_cast<std::size_t>(stack_depth_));
    return code_.instructions.size() - 1;
  }

  // Returns the index of the instruction that is emitted next.
  [[nodiscard]] std::int32_t next_index() const {
    return static_cast<std::int32_t>(code_.instructions.size());
  }

  // Sets the target of a jump to the instruction that is emitted next.
  void set_target(std::size_t jump) { code_.instructions[jump].operand = next_index(); }
  void set_error_target(std::size_t branch) { code_.instructions[branch].second_operand = next_index(); }

  std::size_t generate(const Node& node) {
    switch (node.op) {
      case Op::kLiteral:
        generate_constant(literal_value(node));
        return node.text.size();
      case Op::kField:
        return generate_field(node);
      case Op::kPresent:
        emit(Opcode::kPresent, kInstructionNs, 1, static_cast<std::int32_t>(node.integer));
        return 0;
      case Op::kAnd:
        return generate_logic(node, Opcode::kJumpIfFalse, Opcode::kAnd);
      case Op::kOr:
        return generate_logic(node, Opcode::kJumpIfTrue, Opcode::kOr);
      case Op::kIf:
        return generate_conditional(node);
      case Op::kNot:
        return generate_unary(node, Opcode::kNot);
      case Op::kNegate:
        return generate_unary(node, Opcode::kNegate);
      case Op::kIn:
        return generate_membership(node);
      case Op::kIndex:
        return generate_index(node);
      case Op::kCall:
        return generate_call(node);
      default:
        return generate_binary(node);
    }
  }

  // ---- Constants and fields ----

  Value literal_value(const Node& literal) {
    switch (literal.type.kind) {
      case Kind::kBool:
        return Value::of(literal.integer != 0);
      case Kind::kInt:
        return Value::of(literal.integer);
      case Kind::kDouble:
        return Value::of(literal.real);
      default:
        code_.strings.push_back(std::make_unique<std::string>(literal.text));
        return Value::of(std::string_view(*code_.strings.back()));
    }
  }

  void generate_constant(const Value& value) {
    code_.constants.push_back(value);
    emit(Opcode::kConstant, kInstructionNs, 1, static_cast<std::int32_t>(code_.constants.size()) - 1);
  }

  std::size_t generate_field(const Node& node) {
    const std::size_t length = fields_.fields()[static_cast<std::size_t>(node.integer)].max_length;
    emit(Opcode::kField, kInstructionNs, 1, static_cast<std::int32_t>(node.integer));
    code_.instructions.back().second_operand = static_cast<std::int32_t>(length);
    return length;
  }

  // ---- Operators ----

  // Short-circuit evaluation: the first condition that decides the result ends the chain.
  std::size_t generate_logic(const Node& node, Opcode jump_if_decided, Opcode combine) {
    std::vector<std::size_t> jumps;
    generate(node.children[0]);
    for (std::size_t i = 1; i < node.children.size(); ++i) {
      jumps.push_back(emit(jump_if_decided, kInstructionNs, 0));
      generate(node.children[i]);
      emit(combine, kInstructionNs, -1);
    }
    for (const std::size_t jump : jumps) set_target(jump);
    return 0;
  }

  std::size_t generate_conditional(const Node& node) {
    generate(node.children[0]);
    const std::size_t branch = emit(Opcode::kBranch, kInstructionNs, -1);
    const std::size_t length_if_true = generate(node.children[1]);
    const std::size_t jump = emit(Opcode::kJump, kInstructionNs, -1);
    set_target(branch);
    const std::size_t length_if_false = generate(node.children[2]);
    set_target(jump);
    set_error_target(branch);
    return std::max(length_if_true, length_if_false);
  }

  std::size_t generate_unary(const Node& node, Opcode opcode) {
    generate(node.children[0]);
    emit(opcode, kInstructionNs, 0);
    return 0;
  }

  std::size_t generate_binary(const Node& node) {
    const std::size_t left_length = generate(node.children[0]);
    const std::size_t right_length = generate(node.children[1]);
    const Kind kind = node.children[0].type.kind;
    if (node.op == Op::kAdd && kind == Kind::kString) {
      const std::size_t length = left_length + right_length;
      code_.max_text += length;
      emit(Opcode::kAdd, concatenation_ns(length), -1);
      return length;
    }
    const bool is_division = node.op == Op::kDivide || node.op == Op::kRemainder;
    const double cost_ns = comparison_ns(kind, left_length, right_length) + (is_division ? kDivisionNs : 0);
    const BinaryInstruction instruction = binary_instruction(node.op);
    emit(instruction.opcode, cost_ns, -1, instruction.operand);
    return 0;
  }

  // ---- Lists and maps ----

  LookupTable list_table(const Node& list) {
    LookupTable table;
    table.keys.reserve(list.children.size());
    for (const Node& element : list.children) table.keys.push_back(literal_value(element));
    return table;
  }

  // Returns the table of a list, sorted for binary searches.
  LookupTable sorted_list_table(const Node& list) {
    LookupTable table = list_table(list);
    std::sort(table.keys.begin(), table.keys.end(), is_less);
    return table;
  }

  LookupTable map_table(const Node& map) {
    std::vector<std::pair<Value, Value>> entries;
    entries.reserve(map.children.size() / 2);
    for (std::size_t i = 0; i + 1 < map.children.size(); i += 2) {
      const Value key = literal_value(map.children[i]);
      entries.emplace_back(key, literal_value(map.children[i + 1]));
    }
    std::sort(entries.begin(), entries.end(),
              [](const auto& left, const auto& right) { return is_less(left.first, right.first); });
    LookupTable table;
    for (const auto& [key, value] : entries) {
      table.keys.push_back(key);
      table.values.push_back(value);
    }
    return table;
  }

  // Returns the table's index.
  std::int32_t add_table(LookupTable table) {
    code_.tables.push_back(std::move(table));
    return static_cast<std::int32_t>(code_.tables.size()) - 1;
  }

  // Emits an instruction that replaces the key on the stack with the result of a binary search in the table.
  void generate_lookup(Opcode opcode, Kind key_kind, std::size_t key_length, LookupTable table) {
    const double cost_ns = lookup_ns(key_kind, key_length, max_length(table.keys), table.keys.size());
    emit(opcode, cost_ns, 0, add_table(std::move(table)));
  }

  std::size_t generate_membership(const Node& node) {
    const Node& value = node.children[0];
    const Node& collection = node.children[1];
    const std::size_t length = generate(value);
    const bool is_list = collection.op == Op::kList;
    LookupTable table = is_list ? sorted_list_table(collection) : map_table(collection);
    generate_lookup(is_list ? Opcode::kInList : Opcode::kInMap, value.type.kind, length, std::move(table));
    return 0;
  }

  std::size_t generate_index(const Node& node) {
    const Node& collection = node.children[0];
    const Node& index = node.children[1];
    const std::size_t length = generate(index);
    if (collection.op == Op::kList) {
      LookupTable table = list_table(collection);
      const std::size_t element_length = max_length(table.keys);
      emit(Opcode::kIndexList, kInstructionNs, 0, add_table(std::move(table)));
      return element_length;
    }
    LookupTable table = map_table(collection);
    const std::size_t value_length = max_length(table.values);
    generate_lookup(Opcode::kIndexMap, index.type.kind, length, std::move(table));
    return value_length;
  }

  // ---- Functions ----

  std::size_t generate_call(const Node& node) {
    if (node.text == "matches") return generate_match(node, node.children[1].text);
    if (node.text == "contains" && node.children[1].op == Op::kLiteral)
      return generate_match(node, re2::RE2::QuoteMeta(node.children[1].text));
    if (node.text == "size") return generate_size(node);
    if (node.children.size() == 1) return generate_conversion(node);
    return generate_search(node);
  }

  std::size_t generate_match(const Node& node, const std::string& pattern) {
    const std::size_t length = generate(node.children[0]);
    try {
      code_.automata.emplace_back(pattern);
    } catch (const PatternError& error) {
      fail(node.children[1].at, error.what());
    }
    emit(Opcode::kMatches, match_ns(code_.automata.back(), length), 0,
         static_cast<std::int32_t>(code_.automata.size()) - 1);
    return 0;
  }

  // The size of a list or map is a constant, because both contain only constants.
  std::size_t generate_size(const Node& node) {
    const Node& argument = node.children[0];
    const std::size_t count = argument.children.size();
    if (argument.type.kind == Kind::kList) {
      generate_constant(Value::of(static_cast<std::int64_t>(count)));
    } else if (argument.type.kind == Kind::kMap) {
      generate_constant(Value::of(static_cast<std::int64_t>(count / 2)));
    } else {
      const std::size_t length = generate(argument);
      emit(Opcode::kSize, size_ns(length), 0);
    }
    return 0;
  }

  std::size_t generate_conversion(const Node& node) {
    const std::size_t length = generate(node.children[0]);
    const Kind from = node.children[0].type.kind;
    if (node.text == "int") {
      emit(Opcode::kToInt, to_int_ns(from), 0);
      return 0;
    }
    if (node.text == "double") {
      emit(Opcode::kToDouble, to_double_ns(from), 0);
      return 0;
    }
    const std::size_t text_length = max_text_length(from, length);
    if (from != Kind::kString) code_.max_text += text_length;
    emit(Opcode::kToString, to_string_ns(from), 0);
    return text_length;
  }

  std::size_t generate_search(const Node& node) {
    const std::size_t length = generate(node.children[0]);
    const std::size_t part_length = generate(node.children[1]);
    if (node.text == "contains") {
      emit(Opcode::kContains, search_ns(length, part_length), -1);
    } else {
      const Opcode opcode = node.text == "startsWith" ? Opcode::kStartsWith : Opcode::kEndsWith;
      emit(opcode, prefix_ns(length, part_length), -1);
    }
    return 0;
  }

  const Environment& fields_;
  Bytecode code_;
  std::vector<double> costs_;  // the cost of each instruction, in ns
  int stack_depth_ = 0;
};

}  // namespace

GeneratedCode generate_code(const Node& tree, const Environment& fields) {
  return CodeGenerator(fields).generate_all(tree);
}

}  // namespace dispatcher::expression
