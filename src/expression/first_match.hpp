// An ordered list of conditions, of which the first one that holds counts. Those that can only hold for one
// value of a field, or a few, are found by that value, so that the worst cost grows with the largest group
// and not with the list.
#ifndef DISPATCHER_EXPRESSION_FIRST_MATCH_HPP_
#define DISPATCHER_EXPRESSION_FIRST_MATCH_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "expression/program.hpp"

namespace dispatcher::expression {

// What must hold of one field for a condition to hold: its value is one of these.
struct Membership {
  int field = -1;
  std::vector<Value> values;  // views into the condition's program
};
// The parts of a condition that must all hold, and of one part its membership, where it is one.
std::vector<const Node*> parts(const Node& condition);
std::optional<Membership> membership(const Node& part);

class FirstMatch {
 public:
  FirstMatch() = default;
  FirstMatch(std::vector<Program> conditions, const Environment& fields);

  // The number of the first condition that holds, -1: none. A condition that ends in a fault does not hold.
  int find(std::span<const Value> fields, Scratch& scratch) const noexcept;
  // What the search costs at most, and the condition that has the largest part in that (-1: none).
  [[nodiscard]] double worst_ns() const { return worst_ns_; }
  [[nodiscard]] int costliest() const { return costliest_; }
  [[nodiscard]] const Program& condition(std::size_t index) const { return conditions_[index]; }
  [[nodiscard]] std::size_t size() const { return conditions_.size(); }
  void reserve(Scratch& scratch) const;
  [[nodiscard]] std::size_t bytes() const;

 private:
  using Numbers = std::vector<std::uint32_t>;  // of conditions, in order
  struct ByField {
    int field = -1;
    std::unordered_map<std::string_view, Numbers> texts;
    std::unordered_map<std::int64_t, Numbers> integers;
  };
  // Fields that conditions are found by; more than these would cost more to look up than they save.
  static constexpr std::size_t kMaxFields = 8;

  Numbers& group(ByField& index, const Value& value);
  ByField* by_field(int field);
  [[nodiscard]] const Numbers* found(const ByField& index, const Value& value) const noexcept;
  double cost(const Numbers& numbers);

  std::vector<Program> conditions_;
  std::vector<ByField> by_field_;
  Numbers rest_;
  double worst_ns_ = 0, costliest_ns_ = 0;
  int costliest_ = -1;
};

}  // namespace dispatcher::expression

#endif  // DISPATCHER_EXPRESSION_FIRST_MATCH_HPP_
