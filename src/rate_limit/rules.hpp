// The operators' rules: which requests each matches, and what it computes for them. Read, checked and
// compiled once; a decision allocates nothing but the text of an account that the settings do not list.
#ifndef DISPATCHER_RATE_LIMIT_RULES_HPP_
#define DISPATCHER_RATE_LIMIT_RULES_HPP_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cue/data.hpp"
#include "expression/first_match.hpp"
#include "rate_limit/counter_table.hpp"
#include "rate_limit/request_attributes.hpp"

namespace dispatcher::rate_limit {

// Limits of one rule: few, so that a request is charged for all of them without an allocation.
inline constexpr std::size_t kMaxLimits = 4;
// Headers that the rules of one file may use: few, so that the values of a decision have a fixed size.
inline constexpr std::size_t kMaxHeaders = 32;

// A header that rules may use.
struct Header {
  std::string field;           // in expressions: header.FIELD
  std::string name;            // on the wire
  std::size_t max_length = 0;  // bytes; a longer one counts as absent
};

// A limit over the whole fleet, counted for each value of its key.
struct Limit {
  std::string name;                             // RULE/NUMBER
  std::uint64_t id = 0;                         // a hash of its definition
  double rate = 0;                              // requests a second; 0: no rate
  double burst = 1;                             // requests
  std::optional<std::int64_t> max_in_progress;  // requests
  std::chrono::milliseconds retry_after{};      // where too many are in progress
  expression::Program key;
};

// The part of a limit that `instance`, from 0, of `instances` enforces. Requests in progress are divided into
// parts of at least one that otherwise add up to the limit; rates and bursts are divided evenly, bursts into
// parts of at least one.
[[nodiscard]] InstanceLimit instance_limit(const Limit& limit, std::size_t instance, std::size_t instances);

// One rule. What it computes no result for stays as it is in the request.
struct Rule {
  std::string name;
  std::string when;  // its condition, as the file has it
  std::optional<expression::Program> request_class, session, account;
  std::vector<Limit> limits;
  cue::Position at;  // in the file
};

// A limit that a request falls under.
struct MatchedLimit {
  const Limit* limit = nullptr;
  std::uint64_t key_hash = 0;  // of the limit and the key's text; not 0
};

// What the rules decide for one request. Pointers are into the RuleSet.
struct Decision {
  std::optional<std::size_t> rule;             // the first that matches
  const std::string* request_class = nullptr;  // a name of the settings
  std::optional<std::string> account;
  std::optional<std::uint64_t> session;
  std::array<MatchedLimit, kMaxLimits> limits{};
  std::size_t limit_count = 0;
  // Results that had no value, or were a name that the settings don't define: the request keeps its own.
  std::uint64_t evaluation_faults = 0;
};

// A file of rules, compiled. Immutable once read, so that it may be shared.
class RuleSet {
 public:
  // Throws cue::Errors with all problems, also where a decision could take longer than the file's budget.
  static std::shared_ptr<const RuleSet> read(const cue::File& file, const Vocabulary& vocabulary);

  // `scratch`: the caller's, after reserve().
  [[nodiscard]] Decision decide(const RequestAttributes& attributes, expression::Scratch& scratch) const;
  // Makes the scratch large enough for all programs of the rules.
  void reserve(expression::Scratch& scratch) const;

  [[nodiscard]] const std::vector<Rule>& rules() const { return rules_; }
  [[nodiscard]] const expression::FirstMatch& conditions() const { return conditions_; }
  [[nodiscard]] const std::vector<Header>& headers() const { return headers_; }
  [[nodiscard]] const expression::Environment& fields() const { return fields_; }
  [[nodiscard]] const Vocabulary& vocabulary() const { return vocabulary_; }
  // Keys that the counter table has entries for.
  [[nodiscard]] std::size_t max_keys() const { return max_keys_; }
  // The computed worst cost of a decision, and the bound that the file sets for it; nanoseconds.
  [[nodiscard]] double worst_ns() const { return worst_ns_; }
  [[nodiscard]] double budget_ns() const { return budget_ns_; }
  // The worst cost of one rule, with its condition and all results; nanoseconds.
  [[nodiscard]] double worst_ns(std::size_t rule) const;
  // The values that expressions see, in the order of fields(). `session_text` must outlive them.
  [[nodiscard]] std::vector<expression::Value> values(const RequestAttributes& attributes,
                                                      SessionText& session_text) const;

 private:
  // The values of all fields: those of a request, then its headers.
  using Values = std::array<expression::Value, kRequestFields + kMaxHeaders>;
  std::span<const expression::Value> fill(const RequestAttributes& attributes, SessionText& session_text,
                                          Values& values) const;
  [[nodiscard]] double result_ns(std::size_t rule) const;
  // Computes worst_ns_; a problem where it is above the budget.
  [[nodiscard]] std::optional<cue::Problem> check_budget();

  std::vector<Rule> rules_;
  expression::FirstMatch conditions_;  // of the rules, in their order
  std::vector<Header> headers_;
  expression::Environment fields_;
  Vocabulary vocabulary_;
  std::size_t max_keys_ = 0;
  double worst_ns_ = 0, budget_ns_ = 0;
};

// Warnings about rules that can never match: valid, but probably not intended.
[[nodiscard]] std::vector<cue::Problem> warnings(const RuleSet& rules);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_RULES_HPP_
