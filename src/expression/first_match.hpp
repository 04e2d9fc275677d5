// Ordered lists of conditions, in which the first condition that is true decides.
#ifndef DISPATCHER_EXPRESSION_FIRST_MATCH_HPP_
#define DISPATCHER_EXPRESSION_FIRST_MATCH_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "expression/membership.hpp"
#include "expression/program.hpp"

namespace dispatcher::expression {

// Finds the first condition that is true. Conditions that can be true only for some values of a field are
// indexed by these values, so that the worst-case cost grows with the largest group of one value rather than
// with the length of the list. Immutable, so that threads may share it.
class FirstMatch {
 public:
  FirstMatch() = default;
  // Takes ownership of the conditions, which must be compiled for `fields` with a bool as their result.
  FirstMatch(std::vector<Program> conditions, const Environment& fields);

  // Returns the index of the first condition that is true, or -1 if there is none. A condition that ends in
  // an error is not true. `fields` and `scratch` are as in Program::run(); reserve() must have been called
  // for the scratch. Allocates no memory.
  [[nodiscard]] int find(std::span<const Value> fields, Scratch& scratch) const noexcept;

  // worst_ns() returns an upper bound on the time that find() takes, in ns. costliest() returns the index of
  // the condition with the highest cost of its own, or -1 if there are no conditions.
  [[nodiscard]] double worst_ns() const { return worst_ns_; }
  [[nodiscard]] int costliest() const { return costliest_; }

  [[nodiscard]] const Program& condition(std::size_t index) const { return conditions_[index]; }
  [[nodiscard]] std::size_t size() const { return conditions_.size(); }

  // Makes the scratch large enough for all conditions.
  void reserve(Scratch& scratch) const;

  // Returns the memory that the conditions take, in bytes.
  [[nodiscard]] std::size_t bytes() const;

 private:
  using Indices = std::vector<std::uint32_t>;  // indices of conditions, in ascending order

  // The conditions that can be true only for some values of one field, grouped by these values.
  struct FieldIndex {
    int field = -1;
    std::unordered_map<std::string_view, Indices> by_string;
    std::unordered_map<std::int64_t, Indices> by_integer;

    // Returns null if no condition in this index can be true for `value`.
    [[nodiscard]] const Indices* find(const Value& value) const;
    Indices& find_or_add(const Value& value);
  };

  // Looking up more fields would cost more than it saves.
  static constexpr std::size_t kMaxIndexedFields = 8;

  FieldIndex* find_or_add_index(int field);
  std::optional<Membership> choose_membership(const Node& condition);
  void add_to_index(std::uint32_t condition);
  void compute_worst_ns(const Environment& fields);
  // Returns the worst-case cost of evaluating all of these conditions, in ns. Also updates the costliest
  // condition.
  double group_ns(const Indices& indices);

  std::vector<Program> conditions_;
  std::vector<FieldIndex> field_indices_;
  Indices unindexed_;
  double worst_ns_ = 0;
  double costliest_ns_ = 0;
  int costliest_ = -1;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_FIRST_MATCH_HPP_
