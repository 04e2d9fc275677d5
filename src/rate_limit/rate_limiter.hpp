// Limits the rate of requests before anything is reserved or sent for them. The rules determine the limits of
// a request, and the counter table enforces them. No I/O; the clock is passed in.
#ifndef DISPATCHER_RATE_LIMIT_RATE_LIMITER_HPP_
#define DISPATCHER_RATE_LIMIT_RATE_LIMITER_HPP_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "rate_limit/counter_table.hpp"
#include "rate_limit/rules.hpp"
#include "routing/router.hpp"

namespace dispatcher::rate_limit {

// Identifies the counters of an admitted request and must be passed to RateLimiter::release() when the
// request ends. A request whose ticket is dropped stays counted. A copy refers to the same request, so only
// one of the copies may be released.
class Ticket {
 public:
  [[nodiscard]] bool empty() const { return count_ == 0; }
  [[nodiscard]] std::span<const ChargeHandle> handles() const { return {handles_.data(), count_}; }
  // Adds one counter. May be called at most kMaxLimits times.
  void add(const ChargeHandle& handle) { handles_[count_++] = handle; }
  void clear() { count_ = 0; }

 private:
  std::array<ChargeHandle, kMaxLimits> handles_{};
  std::size_t count_ = 0;
};

// Applies rules and their limits to requests. All frontends of a process use the same RateLimiter, so that
// they share the counters. Owned by the daemon and used on its event loop only. Callbacks run within the call
// that takes them; the log runs within admit().
class RateLimiter {
 public:
  using Log = std::function<void(std::string_view)>;

  // `seed`: a secret, so that clients cannot find out which keys share a set of the table. `log`: receives a
  // line for the first rejection at once, then at most every ten seconds a line with the number of rejections
  // since the previous one.
  explicit RateLimiter(std::uint64_t seed, Log log = {}) : seed_(seed), log_(std::move(log)), table_(0) {}

  // Replaces the rules for all later requests. If `rules` is null, every request is admitted unchanged.
  // Limits whose definition stays the same keep their counters.
  void replace_rules(std::shared_ptr<const RuleSet> rules, routing::Time now);
  // Sets which part of each limit is enforced here: that of number `instance`, counted from 0, of
  // `instances`.
  void set_instance(std::size_t instance, std::size_t instances) {
    instance_ = instance;
    instances_ = instances;
  }
  // Returns the current rules, or null if there are none.
  [[nodiscard]] const RuleSet* rules() const { return rules_.get(); }

  // The result of admit().
  struct Admission {
    std::optional<routing::Duration> retry_after;  // set if the request is rejected
    const Rule* rule = nullptr;                    // the rule that matched, or null if none did
    Ticket ticket;
    [[nodiscard]] bool is_rejected() const { return retry_after.has_value(); }
  };
  // Decides whether a request is shed for reasons outside the rules. Returns its Retry-After if it is shed,
  // else nullopt.
  using ShedCheck = std::function<std::optional<routing::Duration>(const routing::Request&)>;

  // Applies the class, account and session that the rules compute to the request, then checks its limits. A
  // class whose requests may be retried never replaces one whose requests may not be. `shed_check` is called
  // with the request as changed by the rules. A request that it sheds is not counted under any limit.
  [[nodiscard]] Admission admit(routing::Request& request, const RequestAttributes& attributes,
                                const routing::Settings& settings, routing::Time now,
                                const ShedCheck& shed_check = {});
  // Must be called when an admitted request has ended. Empties the ticket.
  void release(Ticket& ticket);

  // Counters since the start.
  struct Counts {
    std::uint64_t admitted = 0;
    std::uint64_t rejected = 0;                // by a limit
    std::uint64_t evaluation_faults = 0;       // sum of Decision::evaluation_faults
    std::uint64_t rejected_class_changes = 0;  // class changes that would have made a request retryable
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] const CounterTable& table() const { return table_; }

 private:
  void apply(const Decision& decision, routing::Request& request, const routing::Settings& settings);
  void check_limits(const Decision& decision, routing::Time now, Admission& admission);
  void log_rejection(const std::string& rule, routing::Time now);

  std::shared_ptr<const RuleSet> rules_;
  std::uint64_t seed_;
  Log log_;
  std::size_t instance_ = 0, instances_ = 1;
  expression::Scratch scratch_;
  CounterTable table_;
  Counts counts_;
  std::uint64_t unlogged_rejections_ = 0;
  routing::Time next_log_{};
};

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_RATE_LIMITER_HPP_
