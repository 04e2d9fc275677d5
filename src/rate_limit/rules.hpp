// The operators' rules: which requests each rule matches, and what it computes for them. Rules are read,
// checked and compiled once. A decision allocates memory only for the text of an account that a rule
// computes.
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

// Maximum number of limits of one rule. It is small, so that a request is charged for all of them without an
// allocation.
inline constexpr std::size_t kMaxLimits = 4;
// Maximum number of headers that the rules of one file may use. It is small and fixed, so that the values of
// a decision have a fixed size.
inline constexpr std::size_t kMaxHeaders = 32;

// A request header that rules may use.
struct Header {
  std::string field;           // FIELD in header.FIELD, as expressions use it
  std::string name;            // the name in HTTP messages
  std::size_t max_length = 0;  // in bytes; a longer header counts as absent
};

// A limit for the whole fleet, counted separately for each value of its key.
struct Limit {
  std::string name;                             // RULE/NUMBER
  std::uint64_t id = 0;                         // hash of the limit's definition
  double rate = 0;                              // requests per second; 0 if the limit has no rate
  double burst = 1;                             // requests
  std::optional<std::int64_t> max_in_progress;  // requests
  std::chrono::milliseconds retry_after{};      // minimum Retry-After if too many are in progress
  expression::Program key;
};

// Returns the part of a limit that number `instance`, counted from 0, of `instances` enforces. A limit on
// requests in progress is divided into parts that add up to it, except that each part is at least one unless
// the limit is 0. Rates and bursts are divided evenly, bursts into parts of at least one.
[[nodiscard]] InstanceLimit instance_limit(const Limit& limit, std::size_t instance, std::size_t instances);

// One rule. The request keeps its own class, account or session if the rule has no program for it.
struct Rule {
  std::string name;
  std::string when;  // the text of its condition in the file
  std::optional<expression::Program> request_class, session, account;
  std::vector<Limit> limits;
  cue::Position at;  // where the rule is in the file
};

// A limit that a request falls under.
struct MatchedLimit {
  const Limit* limit = nullptr;
  std::uint64_t key_hash = 0;  // nonzero hash of the limit and the key's text
};

// What the rules decide for one request. The pointers point into the RuleSet.
struct Decision {
  std::optional<std::size_t> rule;             // index of the first rule that matches
  const std::string* request_class = nullptr;  // a class that the settings define
  std::optional<std::string> account;
  std::optional<std::uint64_t> session;
  std::array<MatchedLimit, kMaxLimits> limits{};
  std::size_t limit_count = 0;
  // Number of results that had no value or were a name that the settings don't define. The request keeps its
  // own value instead.
  std::uint64_t evaluation_faults = 0;
};

// A compiled rules file. Immutable once read, so that it can be shared.
class RuleSet {
 public:
  // Reads, checks and compiles a rules file. Throws cue::Errors with all problems, also if a decision could
  // take longer than the file's budget.
  static std::shared_ptr<const RuleSet> read(const cue::File& file, const Vocabulary& vocabulary);

  // Evaluates the rules on a request. `scratch` belongs to the caller and must have been passed to reserve().
  [[nodiscard]] Decision decide(const RequestAttributes& attributes, expression::Scratch& scratch) const;
  // Makes the scratch large enough for all programs of the rules.
  void reserve(expression::Scratch& scratch) const;

  [[nodiscard]] const std::vector<Rule>& rules() const { return rules_; }
  [[nodiscard]] const expression::FirstMatch& conditions() const { return conditions_; }
  [[nodiscard]] const std::vector<Header>& headers() const { return headers_; }
  [[nodiscard]] const expression::Environment& fields() const { return fields_; }
  [[nodiscard]] const Vocabulary& vocabulary() const { return vocabulary_; }
  // Returns the number of keys that the counter table is sized for.
  [[nodiscard]] std::size_t max_keys() const { return max_keys_; }
  // Return the computed worst-case cost of a decision, and the upper bound that the file sets for it, in
  // nanoseconds.
  [[nodiscard]] double worst_ns() const { return worst_ns_; }
  [[nodiscard]] double budget_ns() const { return budget_ns_; }
  // Returns the worst-case cost of one rule, including its condition and all results, in nanoseconds.
  [[nodiscard]] double worst_ns(std::size_t rule) const;
  // Returns the values that expressions are evaluated on, in the order of fields(). `session_text` must
  // outlive them.
  [[nodiscard]] std::vector<expression::Value> values(const RequestAttributes& attributes,
                                                      SessionText& session_text) const;

 private:
  // The values of all fields: first the request's own fields, then its headers.
  using Values = std::array<expression::Value, kRequestFields + kMaxHeaders>;
  std::span<const expression::Value> fill(const RequestAttributes& attributes, SessionText& session_text,
                                          Values& values) const;
  [[nodiscard]] double result_ns(std::size_t rule) const;
  // Computes worst_ns_. Returns a problem if it exceeds the budget.
  [[nodiscard]] std::optional<cue::Problem> check_budget();

  std::vector<Rule> rules_;
  expression::FirstMatch conditions_;  // the rules' conditions, in the order of the rules
  std::vector<Header> headers_;
  expression::Environment fields_;
  Vocabulary vocabulary_;
  std::size_t max_keys_ = 0;
  double worst_ns_ = 0, budget_ns_ = 0;
};

// Returns warnings about rules that can never match, which are valid but probably not intended.
[[nodiscard]] std::vector<cue::Problem> warnings(const RuleSet& rules);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_RULES_HPP_
