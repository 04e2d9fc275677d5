// Rate limiting of requests before anything is reserved or sent for them: the rules determine the limits of a
// request, the counter table enforces them. No I/O; the clock is passed in.
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

// The counters of an admitted request, to be passed to RateLimiter::release() when it ends. A request whose
// ticket is dropped stays counted. A copy refers to the same request: only one of them may be released.
class Ticket {
 public:
  [[nodiscard]] bool empty() const { return count_ == 0; }
  [[nodiscard]] std::span<const ChargeHandle> handles() const { return {handles_.data(), count_}; }
  void add(const ChargeHandle& handle) { handles_[count_++] = handle; }  // kMaxLimits at most
  void clear() { count_ = 0; }

 private:
  std::array<ChargeHandle, kMaxLimits> handles_{};
  std::size_t count_ = 0;
};

// One for all front ends of a process, so that they share the counters. Owned by the daemon and used on its
// event loop only; callbacks run within the call that takes them, the log within admit().
class RateLimiter {
 public:
  using Log = std::function<void(std::string_view)>;

  // `seed`: secret, so that nobody outside can tell which keys share a set of the table. `log`: gets the
  // first rejection at once, then at most every ten seconds how many there were.
  explicit RateLimiter(std::uint64_t seed, Log log = {}) : seed_(seed), log_(std::move(log)), table_(0) {}

  // Replaces the rules for all later requests. Null: every request is admitted unchanged. Limits whose
  // definition stays the same keep their counters.
  void replace_rules(std::shared_ptr<const RuleSet> rules, routing::Time now);
  // This enforces the part of the limits that `instance`, from 0, of `instances` has.
  void set_instance(std::size_t instance, std::size_t instances) {
    instance_ = instance;
    instances_ = instances;
  }
  [[nodiscard]] const RuleSet* rules() const { return rules_.get(); }

  // Whether a request is admitted.
  struct Admission {
    std::optional<routing::Duration> retry_after;  // set: the request is rejected
    const Rule* rule = nullptr;                    // the one that matched, if any
    Ticket ticket;
    [[nodiscard]] bool is_rejected() const { return retry_after.has_value(); }
  };
  // Whether a request is shed for reasons outside the rules: its Retry-After then, else nullopt.
  using ShedCheck = std::function<std::optional<routing::Duration>(const routing::Request&)>;

  // Applies what the rules compute to the request (its class, account and session), then checks its limits. A
  // class whose requests may be retried never replaces one whose requests may not. `shed_check` gets the
  // request as the rules left it; one that it sheds counts under no limit.
  [[nodiscard]] Admission admit(routing::Request& request, const RequestAttributes& attributes,
                                const routing::Settings& settings, routing::Time now,
                                const ShedCheck& shed_check = {});
  // To be called when an admitted request has ended. The ticket is empty afterwards.
  void release(Ticket& ticket);

  // Of requests since the start.
  struct Counts {
    std::uint64_t admitted = 0;
    std::uint64_t rejected = 0;                // by a limit
    std::uint64_t evaluation_faults = 0;       // Decision::evaluation_faults of all requests
    std::uint64_t rejected_class_changes = 0;  // to a class that would have made the request retryable
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
