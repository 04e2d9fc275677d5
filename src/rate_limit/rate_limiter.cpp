#include "rate_limit/rate_limiter.hpp"

#include <algorithm>
#include <utility>

#include "routing/request_classes.hpp"

namespace dispatcher::rate_limit {

namespace {

// Interval between two log lines about rejections. There may be thousands of rejections per second, so one
// line reports all rejections of an interval.
constexpr routing::Duration kLogInterval = std::chrono::seconds(10);

// Returns whether a request of class `from` may be treated as one of class `to` without making retries
// possible that `from` forbids. A null class is one that the settings don't define.
bool may_change_class(const routing::RequestClass* from, const routing::RequestClass* to) {
  using routing::Idempotency;
  if (to == nullptr) return false;
  if (from == nullptr || from->idempotency == Idempotency::kIdempotent) return true;
  return to->idempotency == Idempotency::kNonIdempotent;
}

}  // namespace

void RateLimiter::replace_rules(std::shared_ptr<const RuleSet> rules, routing::Time now) {
  rules_ = std::move(rules);
  if (rules_ == nullptr) return;  // keeps the table, which still counts requests in progress
  rules_->reserve(scratch_);
  const bool has_limits = std::any_of(rules_->rules().begin(), rules_->rules().end(),
                                      [](const Rule& rule) { return !rule.limits.empty(); });
  if (has_limits) table_.resize(rules_->max_keys(), now);
}

RateLimiter::Admission RateLimiter::admit(routing::Request& request, const RequestAttributes& attributes,
                                          const routing::Settings& settings, routing::Time now,
                                          const ShedCheck& shed_check) {
  Admission admission;
  Decision decision;
  if (rules_ != nullptr) {
    decision = rules_->decide(attributes, scratch_);
    counts_.evaluation_faults += decision.evaluation_faults;
  }
  if (decision.rule) {
    admission.rule = &rules_->rules()[*decision.rule];
    apply(decision, request, settings);
  }
  if (shed_check) admission.retry_after = shed_check(request);
  if (!admission.is_rejected()) check_limits(decision, now, admission);
  return admission;
}

void RateLimiter::check_limits(const Decision& decision, routing::Time now, Admission& admission) {
  std::array<Charge, kMaxLimits> all_charges;
  for (std::size_t i = 0; i < decision.limit_count; ++i) {
    const auto& [limit, key_hash] = decision.limits[i];
    all_charges[i] = {instance_limit(*limit, instance_, instances_),
                      std::max<std::uint64_t>(1, key_hash ^ seed_)};
  }
  const std::span<const Charge> charges(all_charges.data(), decision.limit_count);
  std::array<ChargeHandle, kMaxLimits> handles;
  if (const Nanoseconds wait = table_.admit(charges, now, handles); wait.count() > 0) {
    ++counts_.rejected;
    admission.retry_after = std::chrono::ceil<routing::Duration>(wait);
    log_rejection(admission.rule->name, now);
    return;
  }
  ++counts_.admitted;
  for (std::size_t i = 0; i < charges.size(); ++i) {
    const bool counts_in_progress = charges[i].limit.max_in_progress != InstanceLimit::kUnlimited;
    if (counts_in_progress) admission.ticket.add(handles[i]);
  }
}

void RateLimiter::apply(const Decision& decision, routing::Request& request,
                        const routing::Settings& settings) {
  if (decision.request_class != nullptr) {
    const auto* from = routing::find_class(settings, request.request_class);
    const auto* to = routing::find_class(settings, *decision.request_class);
    if (may_change_class(from, to)) {
      request.request_class = *decision.request_class;
    } else {
      ++counts_.rejected_class_changes;
    }
  }
  if (decision.account) request.tenant = *decision.account;
  if (decision.session) request.session = *decision.session;
}

void RateLimiter::log_rejection(const std::string& rule, routing::Time now) {
  ++unlogged_rejections_;
  if (!log_ || now < next_log_) return;
  next_log_ = now + kLogInterval;
  log_("limits: " + std::to_string(std::exchange(unlogged_rejections_, 0)) +
       " rejected since the last such line, last by rule '" + rule + "'");
}

void RateLimiter::release(Ticket& ticket) {
  for (const ChargeHandle& handle : ticket.handles()) table_.release(handle);
  ticket.clear();
}

}  // namespace dispatcher::rate_limit
