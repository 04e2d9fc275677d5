#include "expression/cost_model.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dispatcher::expression {

namespace {

// Worst-case costs of operations, in ns.
constexpr double kStringNs = 15;       // reading a string, in addition to its bytes
constexpr double kByteNs = 0.5;        // each byte that is compared or copied
constexpr double kSizeFactor = 3;      // cost of counting a byte, relative to comparing it
constexpr double kSearchNs = 150;      // a substring search, in addition to its bytes
constexpr double kSearchByteNs = 10;   // each byte of the searched text
constexpr double kSearchPairNs = 0.2;  // each byte of the searched text, for each byte of the substring
constexpr double kIntToStringNs = 100;
constexpr double kDoubleToStringNs = 600;
constexpr double kStringToIntNs = 200;
constexpr double kStringToDoubleNs = 1500;

// The cost of matching one byte depends on whether the automaton fits into the L1 cache (32 KiB).
constexpr std::size_t kSmallAutomatonBytes = std::size_t{32} * 1024;
constexpr double kSmallAutomatonNs = 5;
constexpr double kLargeAutomatonNs = 15;

double bytes_ns(std::size_t length) { return kByteNs * static_cast<double>(length); }

}  // namespace

double comparison_ns(Kind kind, std::size_t left_length, std::size_t right_length) {
  return kind == Kind::kString ? prefix_ns(left_length, right_length) : kInstructionNs;
}

double prefix_ns(std::size_t left_length, std::size_t right_length) {
  return kStringNs + bytes_ns(std::min(left_length, right_length));
}

double concatenation_ns(std::size_t length) { return kStringNs + bytes_ns(length); }

double lookup_ns(Kind kind, std::size_t key_length, std::size_t max_key_length, std::size_t count) {
  const double comparisons = std::ceil(std::log2(static_cast<double>(count) + 1));
  return kInstructionNs + comparisons * comparison_ns(kind, key_length, max_key_length);
}

double size_ns(std::size_t length) { return kInstructionNs + kSizeFactor * bytes_ns(length); }

double search_ns(std::size_t length, std::size_t part_length) {
  const auto text = static_cast<double>(length);
  const auto part = static_cast<double>(part_length);
  return kSearchNs + kSearchByteNs * text + kSearchPairNs * text * part;
}

double match_ns(const Automaton& automaton, std::size_t length) {
  const bool is_small = automaton.bytes() <= kSmallAutomatonBytes;
  const double byte_ns = is_small ? kSmallAutomatonNs : kLargeAutomatonNs;
  return kStringNs + byte_ns * static_cast<double>(length);
}

double to_int_ns(Kind from) { return from == Kind::kString ? kStringToIntNs : kInstructionNs; }

double to_double_ns(Kind from) { return from == Kind::kString ? kStringToDoubleNs : kInstructionNs; }

double to_string_ns(Kind from) { return from == Kind::kDouble ? kDoubleToStringNs : kIntToStringNs; }

double worst_path_ns(std::span<const Instruction> instructions, std::span<const double> costs) {
  // As all jumps lead forwards, the worst-case cost from an instruction on depends on later instructions
  // only.
  std::vector<double> worst_from(instructions.size() + 1, 0);
  const auto worst_at = [&](std::int32_t target) { return worst_from[static_cast<std::size_t>(target)]; };
  for (std::size_t i = instructions.size(); i-- > 0;) {
    const Instruction& instruction = instructions[i];
    double worst_after = worst_from[i + 1];
    switch (instruction.opcode) {
      case Opcode::kJump:
        worst_after = worst_at(instruction.operand);
        break;
      case Opcode::kBranch:
        worst_after =
            std::max({worst_after, worst_at(instruction.operand), worst_at(instruction.second_operand)});
        break;
      case Opcode::kJumpIfFalse:
      case Opcode::kJumpIfTrue:
        worst_after = std::max(worst_after, worst_at(instruction.operand));
        break;
      default:
        break;
    }
    worst_from[i] = costs[i] + worst_after;
  }
  return worst_from[0];
}

}  // namespace dispatcher::expression
