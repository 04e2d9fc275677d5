#include "rate_limit/rate_limiter.hpp"

#include <algorithm>

namespace dispatcher::rate_limit {

namespace {

const routing::RequestClass* find_class(const routing::Settings& settings, const std::string& name) {
  const auto it = std::find_if(settings.classes.begin(), settings.classes.end(),
                               [&](const auto& c) { return c.name == name; });
  return it == settings.classes.end() ? nullptr : &*it;
}

// May a request of `from` be treated as one of `to` without being repeated where it must not be?
bool may_become(const routing::RequestClass* from, const routing::RequestClass* to) {
  using routing::Idempotency;
  if (to == nullptr) return false;
  if (from == nullptr || from->idempotency == Idempotency::kIdempotent) return true;
  return to->idempotency == Idempotency::kNonIdempotent;
}

}  // namespace

void RateLimiter::adopt(std::shared_ptr<const RuleSet> rules, routing::Time now) {
  rules_ = std::move(rules);
  if (rules_ == nullptr) return;  // the table stays: what is in progress is still counted
  rules_->reserve(scratch_);
  const bool limited = std::any_of(rules_->rules().begin(), rules_->rules().end(),
                                   [](const Rule& r) { return !r.limits.empty(); });
  if (limited) table_.resize(rules_->keys(), now);
}

RateLimiter::Passage RateLimiter::pass(routing::Request& request, const Facts& facts,
                                       const routing::Settings& settings, routing::Time now,
                                       const Stop& stop) {
  Passage passage;
  Decision decision;
  if (rules_ != nullptr) {
    decision = rules_->decide(facts, scratch_);
    counts_.faults += static_cast<std::uint64_t>(decision.faults);
  }
  if (decision.rule >= 0) {
    passage.rule = &rules_->rules()[static_cast<std::size_t>(decision.rule)];
    apply(decision, request, settings);
  }
  if (stop && (passage.rejected = stop(request))) return passage;
  std::array<Charge, kMaxLimits> charges;
  for (std::size_t i = 0; i < decision.limit_count; ++i) {
    const auto& [limit, key] = decision.limits[i];
    // Spread by the instance's own seed: nobody outside can tell which keys meet in one place.
    charges[i] = {part_of(*limit, instance_, instances_), std::max<std::uint64_t>(1, key ^ seed_)};
  }
  std::array<Held, kMaxLimits> held;
  const std::span<const Charge> all(charges.data(), decision.limit_count);
  if (const Nanoseconds wait = table_.admit(all, now, held); wait.count() > 0) {
    ++counts_.rejected;
    passage.rejected = std::chrono::ceil<routing::Duration>(wait);
    tell(passage.rule->name, now);
    return passage;
  }
  ++counts_.passed;
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (all[i].bound.maximum != Bound::kAny) passage.ticket.held_[passage.ticket.count_++] = held[i];
  }
  return passage;
}

void RateLimiter::apply(const Decision& decision, routing::Request& request,
                        const routing::Settings& settings) {
  if (decision.request_class != nullptr) {
    const bool may = may_become(find_class(settings, request.request_class),
                                find_class(settings, *decision.request_class));
    may ? void(request.request_class = *decision.request_class) : void(++counts_.kept_class);
  }
  if (decision.account) request.tenant = *decision.account;
  if (decision.session) request.session = *decision.session;
}

void RateLimiter::tell(const std::string& rule, routing::Time now) {
  constexpr routing::Duration kEvery = std::chrono::seconds(10);
  ++untold_;
  if (!log_ || now < tell_next_) return;
  tell_next_ = now + kEvery;
  log_("limits: " + std::to_string(std::exchange(untold_, 0)) +
       " refused since the last such line, now by rule '" + rule + "'");
}

void RateLimiter::release(Ticket& ticket) {
  for (std::size_t i = 0; i < ticket.count_; ++i) table_.release(ticket.held_[i]);
  ticket.count_ = 0;
}

}  // namespace dispatcher::rate_limit
