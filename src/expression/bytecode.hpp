// The code of a compiled expression, for a stack machine.
#ifndef DISPATCHER_EXPRESSION_BYTECODE_HPP_
#define DISPATCHER_EXPRESSION_BYTECODE_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "expression/automaton.hpp"
#include "expression/value.hpp"

namespace dispatcher::expression {

// Instructions that compute pop their operands, the right one first, and push the result. An operand that is
// an error becomes the result, the left one before the right one.
enum class Opcode : std::uint8_t {
  kConstant,     // pushes a constant; operand: its index
  kField,        // pushes a field; operand: its number; second operand: its maximum length, if it is a string
  kPresent,      // pushes whether a field has a value; operand: its number
  kJumpIfFalse,  // operand: the jump target; the bool is not popped
  kJumpIfTrue,   // the same
  kBranch,  // pops a bool, false jumps to the operand; an error is not popped, jumps to the second operand
  kJump,    // operand: the jump target
  kAnd,     // false where either side is false, even if the other one is an error
  kOr,      // true where either side is true, even if the other one is an error
  kNot,
  kNegate,
  kEqual,
  kUnequal,
  kLess,       // operand: kReversed or 0
  kLessEqual,  // the same
  kAdd,
  kSubtract,
  kMultiply,
  kDivide,
  kRemainder,
  kInList,     // operand: the index of the lookup table
  kInMap,      // the same
  kIndexList,  // the same
  kIndexMap,   // the same
  kSize,
  kStartsWith,
  kEndsWith,
  kContains,
  kMatches,  // operand: the index of the automaton
  kToInt,
  kToDouble,
  kToString
};

// The operand of a comparison with exchanged sides: a > b is computed as b < a, while a is still evaluated
// first.
inline constexpr std::int32_t kReversed = 1;

// Jump targets are indices of instructions, and always lead forwards.
struct Instruction {
  Opcode opcode{};
  std::int32_t operand = 0;
  std::int32_t second_operand = 0;
};

// A constant list, sorted where it is used for membership tests only; or a map's keys, sorted, with their
// values.
struct LookupTable {
  std::vector<Value> keys;
  std::vector<Value> values;
};

// Instructions with the constants, tables and automata that they refer to.
struct Bytecode {
  std::vector<Instruction> instructions;
  std::vector<Value> constants;
  std::vector<LookupTable> tables;
  std::vector<Automaton> automata;
  std::vector<std::unique_ptr<std::string>> strings;  // owns what constants and tables are views of
  std::size_t max_stack = 0;                          // values on the stack at a time
  std::size_t max_text = 0;                           // bytes of the strings that one evaluation creates
};

// The longest texts that numbers are converted to, in bytes.
inline constexpr std::size_t kMaxIntText = 20;
inline constexpr std::size_t kMaxDoubleText = 32;

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_BYTECODE_HPP_
