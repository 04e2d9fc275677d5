// The operators' rules: which requests each is for, and what it computes for them. Read, checked and compiled
// once; deciding allocates nothing but the text of an account that the settings do not list.
#ifndef DISPATCHER_RATE_LIMIT_RULES_HPP_
#define DISPATCHER_RATE_LIMIT_RULES_HPP_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cue/data.hpp"
#include "expression/first_match.hpp"
#include "rate_limit/counter_table.hpp"
#include "rate_limit/facts.hpp"

namespace dispatcher::rate_limit {

inline constexpr std::size_t kMaxLimits = 4;  // of one rule

// A header that rules may ask for.
struct Header {
  std::string field;  // in expressions: header.FIELD
  std::string name;   // on the wire
  std::size_t longest = 0;
};

struct Limit {
  std::string name;  // of its rule, and its number there
  std::uint64_t id = 0;
  double rate = 0;                          // a second, over the whole fleet; 0: no rate
  double burst = 1;                         // requests
  std::optional<std::int64_t> in_progress;  // over the whole fleet
  std::int64_t retry_ms = 0;
  expression::Program key;
};

// The part of a limit that one of `instances` keeps. Of requests in progress the parts add up to the limit,
// but none is below one; rates and bursts are divided evenly, a burst again not below one.
Bound part_of(const Limit& limit, std::size_t instance, std::size_t instances);

struct Rule {
  std::string name, when;
  std::optional<expression::Program> request_class, session, account;
  std::vector<Limit> limits;
  cue::Position at;
};

struct Decision {
  int rule = -1;                               // none matched
  const std::string* request_class = nullptr;  // as the settings have it
  std::optional<std::string> account;
  std::optional<std::uint64_t> session;
  std::array<std::pair<const Limit*, std::uint64_t>, kMaxLimits> limits{};  // with the key's hash
  std::size_t limit_count = 0;
  int faults = 0;  // computed values that had none, or an unknown name: the request's own stays
};

class RuleSet {
 public:
  // Throws cue::Errors with all that is wrong, also where the rules could take longer than their budget.
  static std::shared_ptr<const RuleSet> read(const cue::File& file, const Vocabulary& vocabulary);

  Decision decide(const Facts& facts, expression::Scratch& scratch) const;
  void reserve(expression::Scratch& scratch) const;

  [[nodiscard]] const std::vector<Rule>& rules() const { return rules_; }
  [[nodiscard]] const expression::FirstMatch& conditions() const { return conditions_; }
  [[nodiscard]] const std::vector<Header>& headers() const { return headers_; }
  [[nodiscard]] const expression::Environment& fields() const { return fields_; }
  [[nodiscard]] const Vocabulary& vocabulary() const { return vocabulary_; }
  [[nodiscard]] std::size_t keys() const { return keys_; }
  [[nodiscard]] double worst_ns() const { return worst_ns_; }
  [[nodiscard]] double budget_ns() const { return budget_ns_; }
  [[nodiscard]] double worst_ns(std::size_t rule) const;  // of its condition and all that it computes
  // The values that expressions see, in the order of fields().
  [[nodiscard]] std::vector<expression::Value> values(const Facts& facts, std::span<char, 16> session) const;

 private:
  using Values = std::array<expression::Value, 64>;
  std::span<const expression::Value> fill(const Facts& facts, std::span<char, 16> session,
                                          Values& values) const;

  std::vector<Rule> rules_;
  expression::FirstMatch conditions_;
  std::vector<Header> headers_;
  expression::Environment fields_;
  Vocabulary vocabulary_;
  std::size_t keys_ = 0;
  double worst_ns_ = 0, budget_ns_ = 0;
};

// What is no error and yet hardly meant: rules that can never match.
std::vector<cue::Problem> warnings(const RuleSet& rules);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_RULES_HPP_
