#include "expression/interpreter.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace dispatcher::expression {

namespace {

// The maximum length of a string that is converted to a number, in bytes; a longer one is not a number.
// Bounds the time of parsing.
constexpr std::size_t kMaxNumberLength = 64;

// Returns whether a string is longer than its field's maximum length. The costs and the size of the scratch
// are computed for this length, so a longer string must not be evaluated.
bool exceeds_max_length(const Instruction& instruction, const Value& field) {
  return field.kind == Kind::kString && field.size > static_cast<std::uint32_t>(instruction.second_operand);
}

// The result replaces the left operand. Values are copied only if they change, because copying 16 bytes right
// after their parts were written has to wait for these writes.
void apply_and(Value& left, const Value& right) {
  if (right.is(false)) {
    left = Value::of(false);
  } else if (right.failed() && left.is(true)) {
    left = right;
  }
}

void apply_or(Value& left, const Value& right) {
  if (right.is(true)) {
    left = Value::of(true);
  } else if (right.failed() && left.is(false)) {
    left = right;
  }
}

void apply_not(Value& value) {
  if (!value.failed()) value.boolean = !value.boolean;
}

void apply_negate(Value& value) {
  if (value.kind == Kind::kDouble) {
    value.real = -value.real;
  } else if (!value.failed()) {
    value = value.integer == INT64_MIN ? Value::of(EvaluationError::kOverflow) : Value::of(-value.integer);
  }
}

Value lookup(const Bytecode& code, const Instruction& instruction, const Value& key) {
  const LookupTable& table = code.tables[static_cast<std::size_t>(instruction.operand)];
  if (instruction.opcode == Opcode::kIndexList) {
    const bool is_inside = key.integer >= 0 && static_cast<std::uint64_t>(key.integer) < table.keys.size();
    if (!is_inside) return Value::of(EvaluationError::kIndexOutOfRange);
    return table.keys[static_cast<std::size_t>(key.integer)];
  }
  const auto it = std::lower_bound(table.keys.begin(), table.keys.end(), key, is_less);
  const bool is_found = it != table.keys.end() && same(*it, key);
  if (instruction.opcode != Opcode::kIndexMap) return Value::of(is_found);
  if (!is_found) return Value::of(EvaluationError::kNoSuchKey);
  return table.values[static_cast<std::size_t>(it - table.keys.begin())];
}

// Returns the number of characters, which is the number of bytes that begin a character.
Value size_of(std::string_view text) {
  const auto begins_character = [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U; };
  return Value::of(static_cast<std::int64_t>(std::count_if(text.begin(), text.end(), begins_character)));
}

template <class Number>
Value parse_number(const Value& text) {
  if (text.size == 0 || text.size > kMaxNumberLength) return Value::of(EvaluationError::kInvalidNumber);
  Number number{};
  const char* const end = text.bytes + text.size;
  const auto result = std::from_chars(text.bytes, end, number);
  const bool is_number = result.ec == std::errc() && result.ptr == end;
  return is_number ? Value::of(number) : Value::of(EvaluationError::kInvalidNumber);
}

Value to_int(const Value& value) {
  if (value.kind == Kind::kString) return parse_number<std::int64_t>(value);
  if (value.kind == Kind::kInt) return value;
  constexpr double kTwoTo63 = 9223372036854775808.0;
  const bool fits = value.real >= -kTwoTo63 && value.real < kTwoTo63;  // false for NaN
  return fits ? Value::of(static_cast<std::int64_t>(value.real)) : Value::of(EvaluationError::kOverflow);
}

Value to_double(const Value& value) {
  if (value.kind == Kind::kString) return parse_number<double>(value);
  return value.kind == Kind::kInt ? Value::of(static_cast<double>(value.integer)) : value;
}

// Converts a value to a string. A new string is written at `text_end`, which is advanced past it.
Value to_string(const Value& value, char*& text_end) {
  if (value.kind == Kind::kString) return value;
  char* const begin = text_end;
  text_end = value.kind == Kind::kDouble ? std::to_chars(begin, begin + kMaxDoubleText, value.real).ptr
                                         : std::to_chars(begin, begin + kMaxIntText, value.integer).ptr;
  return Value::of(std::string_view(begin, static_cast<std::size_t>(text_end - begin)));
}

Value concatenate(const Value& left, const Value& right, char*& text_end) {
  char* const begin = text_end;
  text_end = std::copy_n(left.bytes, left.size, text_end);
  text_end = std::copy_n(right.bytes, right.size, text_end);
  return Value::of(std::string_view(begin, static_cast<std::size_t>(text_end - begin)));
}

Value compute_int(Opcode opcode, std::int64_t left, std::int64_t right) {
  std::int64_t result = 0;
  bool overflows = false;
  switch (opcode) {
    case Opcode::kAdd:
      overflows = __builtin_add_overflow(left, right, &result);
      break;
    case Opcode::kSubtract:
      overflows = __builtin_sub_overflow(left, right, &result);
      break;
    case Opcode::kMultiply:
      overflows = __builtin_mul_overflow(left, right, &result);
      break;
    default:
      if (right == 0) return Value::of(EvaluationError::kDivisionByZero);
      overflows = left == INT64_MIN && right == -1;
      if (!overflows) result = opcode == Opcode::kDivide ? left / right : left % right;
  }
  return overflows ? Value::of(EvaluationError::kOverflow) : Value::of(result);
}

Value compute_double(Opcode opcode, double left, double right) {
  switch (opcode) {
    case Opcode::kAdd:
      return Value::of(left + right);
    case Opcode::kSubtract:
      return Value::of(left - right);
    case Opcode::kMultiply:
      return Value::of(left * right);
    default:
      return Value::of(left / right);
  }
}

// Returns whether both operands of an instruction have values. Otherwise the first error is the result and
// replaces the left operand.
bool have_values(Value& left, const Value& right) {
  if (left.failed()) return false;
  if (!right.failed()) return true;
  left = right;
  return false;
}

// Applies an arithmetic instruction to two operands. The result replaces the left one.
void apply_arithmetic(Opcode opcode, Value& left, const Value& right, char*& text_end) {
  if (!have_values(left, right)) return;
  if (left.kind == Kind::kInt) {
    left = compute_int(opcode, left.integer, right.integer);
  } else if (left.kind == Kind::kDouble) {
    left = compute_double(opcode, left.real, right.real);
  } else {
    left = concatenate(left, right, text_end);
  }
}

Value compute_order(Opcode opcode, const Value& left, const Value& right) {
  const auto order = compare(left, right);
  return Value::of(order && (*order < 0 || (opcode == Opcode::kLessEqual && *order == 0)));
}

void apply_comparison(const Instruction& instruction, Value& left, const Value& right) {
  if (!have_values(left, right)) return;
  if (instruction.opcode == Opcode::kEqual) {
    left = Value::of(same(left, right));
  } else if (instruction.opcode == Opcode::kUnequal) {
    left = Value::of(!same(left, right));
  } else if (instruction.operand == kReversed) {
    left = compute_order(instruction.opcode, right, left);
  } else {
    left = compute_order(instruction.opcode, left, right);
  }
}

bool contains(std::string_view text, std::string_view part) {
  return part.empty() || memmem(text.data(), text.size(), part.data(), part.size()) != nullptr;
}

void apply_search(Opcode opcode, Value& left, const Value& right) {
  if (!have_values(left, right)) return;
  const std::string_view text = left.text();
  const std::string_view part = right.text();
  if (opcode == Opcode::kStartsWith) {
    left = Value::of(text.starts_with(part));
  } else if (opcode == Opcode::kEndsWith) {
    left = Value::of(text.ends_with(part));
  } else {
    left = Value::of(contains(text, part));
  }
}

// Returns the result of a unary instruction. The operand must not be an error.
Value compute_unary(Opcode opcode, const Value& value, char*& text_end) {
  switch (opcode) {
    case Opcode::kSize:
      return size_of(value.text());
    case Opcode::kToInt:
      return to_int(value);
    case Opcode::kToDouble:
      return to_double(value);
    default:
      return to_string(value, text_end);
  }
}

// Executes kBranch. Returns the index of the next instruction.
std::size_t branch(const Instruction& instruction, std::size_t next, Value*& top) {
  if (top->failed()) return static_cast<std::size_t>(instruction.second_operand);
  const bool condition = (top--)->boolean;
  return condition ? next : static_cast<std::size_t>(instruction.operand);
}

}  // namespace

// Uses a switch over the opcodes, because a table of handlers would cost a call for each instruction.
// NOLINTNEXTLINE(readability-function-size)
Value interpret(const Bytecode& code, std::span<const Value> fields, Scratch& scratch) noexcept {
  Value* top = scratch.stack() - 1;  // the top value; the stack grows upwards
  char* text_end = scratch.text();
  const Instruction* const instructions = code.instructions.data();
  const std::size_t size = code.instructions.size();
  for (std::size_t next = 0; next < size;) {
    const Instruction& instruction = instructions[next++];
    const auto operand = static_cast<std::size_t>(instruction.operand);
    switch (instruction.opcode) {
      case Opcode::kConstant:
        *++top = code.constants[operand];
        break;
      case Opcode::kField:
        *++top = fields[operand];
        if (exceeds_max_length(instruction, *top)) *top = Value::of(EvaluationError::kAbsent);
        break;
      case Opcode::kPresent:
        *++top = Value::of(!fields[operand].failed());
        break;
      case Opcode::kJumpIfFalse:
        if (top->is(false)) next = operand;
        break;
      case Opcode::kJumpIfTrue:
        if (top->is(true)) next = operand;
        break;
      case Opcode::kBranch:
        next = branch(instruction, next, top);
        break;
      case Opcode::kJump:
        next = operand;
        break;
      case Opcode::kAnd:
        --top;
        apply_and(top[0], top[1]);
        break;
      case Opcode::kOr:
        --top;
        apply_or(top[0], top[1]);
        break;
      case Opcode::kNot:
        apply_not(*top);
        break;
      case Opcode::kNegate:
        apply_negate(*top);
        break;
      case Opcode::kInList:
      case Opcode::kInMap:
      case Opcode::kIndexList:
      case Opcode::kIndexMap:
        if (!top->failed()) *top = lookup(code, instruction, *top);
        break;
      case Opcode::kMatches:
        if (!top->failed()) *top = Value::of(code.automata[operand].matches(top->text()));
        break;
      case Opcode::kSize:
      case Opcode::kToInt:
      case Opcode::kToDouble:
      case Opcode::kToString:
        if (!top->failed()) *top = compute_unary(instruction.opcode, *top, text_end);
        break;
      case Opcode::kEqual:
      case Opcode::kUnequal:
      case Opcode::kLess:
      case Opcode::kLessEqual:
        --top;
        apply_comparison(instruction, top[0], top[1]);
        break;
      case Opcode::kAdd:
      case Opcode::kSubtract:
      case Opcode::kMultiply:
      case Opcode::kDivide:
      case Opcode::kRemainder:
        --top;
        apply_arithmetic(instruction.opcode, top[0], top[1], text_end);
        break;
      case Opcode::kStartsWith:
      case Opcode::kEndsWith:
      case Opcode::kContains:
        --top;
        apply_search(instruction.opcode, top[0], top[1]);
        break;
    }
  }
  return *top;
}

}  // namespace dispatcher::expression
