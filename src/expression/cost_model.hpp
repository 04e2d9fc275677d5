// The worst-case costs of instructions, in ns, on a core of 2 GHz or more with cold caches. They are about
// three times what the benchmark measures (bench/rules_bench.cpp). A computed cost must never be less than
// the true one, because rejecting a rule is better than delaying requests.
#ifndef DISPATCHER_EXPRESSION_COST_MODEL_HPP_
#define DISPATCHER_EXPRESSION_COST_MODEL_HPP_

#include <cstddef>
#include <span>

#include "expression/bytecode.hpp"

namespace dispatcher::expression {

inline constexpr double kProgramNs = 20;      // fixed cost of a program, in addition to its instructions
inline constexpr double kInstructionNs = 10;  // an instruction that reads no string
inline constexpr double kDivisionNs = 30;     // a division, in addition to kInstructionNs

// Each function returns the worst-case cost of one operation, in ns. All lengths are the maximum lengths of
// strings, in bytes.

[[nodiscard]] double comparison_ns(Kind kind, std::size_t left_length, std::size_t right_length);
// An operation that reads both strings up to the length of the shorter one.
[[nodiscard]] double prefix_ns(std::size_t left_length, std::size_t right_length);
[[nodiscard]] double concatenation_ns(std::size_t length);
// A binary search among `count` keys.
[[nodiscard]] double lookup_ns(Kind kind, std::size_t key_length, std::size_t max_key_length,
                               std::size_t count);
[[nodiscard]] double size_ns(std::size_t length);
// A search for a substring that is not constant.
[[nodiscard]] double search_ns(std::size_t length, std::size_t part_length);
[[nodiscard]] double match_ns(const Automaton& automaton, std::size_t length);
// Conversions of a value of kind `from` to an int, a double or a string.
[[nodiscard]] double to_int_ns(Kind from);
[[nodiscard]] double to_double_ns(Kind from);
[[nodiscard]] double to_string_ns(Kind from);

// Returns the cost of the most expensive path through the instructions. `costs` holds the cost of each of
// them.
[[nodiscard]] double worst_path_ns(std::span<const Instruction> instructions, std::span<const double> costs);

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_COST_MODEL_HPP_
