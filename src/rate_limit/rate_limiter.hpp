// Where every request passes before anything is taken or sent: the rules decide, the table counts. One gate
// serves all fronts of an instance. No I/O; the clock is passed in.
#ifndef DISPATCHER_RATE_LIMIT_RATE_LIMITER_HPP_
#define DISPATCHER_RATE_LIMIT_RATE_LIMITER_HPP_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "rate_limit/counter_table.hpp"
#include "rate_limit/rules.hpp"
#include "routing/router.hpp"

namespace dispatcher::rate_limit {

// What a request counts for until it comes to its end. Moved, never copied; dropped unreleased it stays
// counted.
class Ticket {
 public:
  [[nodiscard]] bool empty() const { return count_ == 0; }

 private:
  friend class RateLimiter;
  std::array<Held, kMaxLimits> held_{};
  std::size_t count_ = 0;
};

class RateLimiter {
 public:
  using Log = std::function<void(std::string_view)>;
  // `log` hears of refusals: of the first at once, then at most every ten seconds of how many there were.
  explicit RateLimiter(std::uint64_t seed, Log log = {}) : seed_(seed), log_(std::move(log)), table_(0) {}

  // Other rules for the requests from now on; none: every request passes as it is. Counters of limits that
  // stay the same go on.
  void adopt(std::shared_ptr<const RuleSet> rules, routing::Time now);
  // Whose part of the limits this is: `instance`, from 0, of `instances`.
  void share(std::size_t instance, std::size_t instances) {
    instance_ = instance;
    instances_ = instances;
  }
  const RuleSet* rules() const { return rules_.get(); }

  struct Passage {
    std::optional<routing::Duration> rejected;  // and when to come back
    const Rule* rule = nullptr;                 // that decided
    Ticket ticket;
  };
  // Applies what the rules compute to the request: its class, account and session. A class that may be
  // repeated is never put in place of one that may not. `stop` is asked in between, with the request as it is
  // then: what it gives is a refusal that counts under no limit.
  using Stop = std::function<std::optional<routing::Duration>(const routing::Request&)>;
  Passage pass(routing::Request& request, const Facts& facts, const routing::Settings& settings,
               routing::Time now, const Stop& stop = {});
  void release(Ticket& ticket);

  struct Counts {
    std::uint64_t passed = 0, rejected = 0, faults = 0, kept_class = 0;
  };
  const Counts& counts() const { return counts_; }
  const CounterTable& table() const { return table_; }

 private:
  void apply(const Decision& decision, routing::Request& request, const routing::Settings& settings);
  void tell(const std::string& rule, routing::Time now);

  std::shared_ptr<const RuleSet> rules_;
  std::uint64_t seed_;
  Log log_;
  std::size_t instance_ = 0, instances_ = 1;
  expression::Scratch scratch_;
  CounterTable table_;
  Counts counts_;
  std::uint64_t untold_ = 0;  // refusals since the last line
  routing::Time tell_next_{};
};

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_RATE_LIMITER_HPP_
