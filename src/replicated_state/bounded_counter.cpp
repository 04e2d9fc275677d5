#include "replicated_state/bounded_counter.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

namespace dispatcher::replicated_state {

namespace {

constexpr std::uint64_t kMicro = 1'000'000;  // levels count millionths of a unit: a unit a second is one a µs
constexpr Duration kMaxDepth = std::chrono::minutes(10);
constexpr int kMaxPause = 16;  // times the first, between two repetitions of an ask
constexpr Duration kRemembered = std::chrono::minutes(10);  // a whole of units that has ended

std::uint64_t less(std::uint64_t a, std::uint64_t b) { return a > b ? a - b : 0; }
std::uint64_t micros(Duration time) {
  return time.count() > 0 ? static_cast<std::uint64_t>(time.count()) : 0;
}

}  // namespace

std::uint64_t share_of(const Budget& whole, Number number, Number count) {
  const std::uint64_t fields[] = {whole.id.kind, whole.id.key};
  const std::uint64_t first = XXH3_64bits(fields, sizeof fields) % count;
  const std::uint64_t place = (number + count - first) % count;
  return whole.amount / count + (place < whole.amount % count ? 1 : 0);
}

Duration outlasts(Duration lease, double drift) {
  const double longest = static_cast<double>(lease.count()) * (1 + drift) / (1 - drift);
  return Duration(static_cast<Duration::rep>(std::ceil(longest)) + 1);
}

BoundedCounter::BoundedCounter(const Terms& terms, Number self, Number count, std::uint64_t life, Time now,
                               Random random)
    : terms_(terms),
      self_(self),
      count_(count),
      life_(life),
      lends_from_(terms.lends ? now + outlasts(kMaxLease, terms.drift) : now),
      random_(random) {}

const BoundedCounter::Holding* BoundedCounter::find(const BudgetId& id) const {
  const auto it = wholes_.find(id);
  return it == wholes_.end() ? nullptr : &it->second;
}

bool BoundedCounter::open(Time now, const Budget& whole, bool saw_begin) {
  if (whole.amount > kMaxAmount || whole.depth < Duration::zero() || whole.depth > kMaxDepth) return false;
  if (Holding* held = find(whole.id)) {
    if (whole.nature == Nature::kSpent || held->whole.nature == Nature::kSpent) return !held->closed;
    held->closed = false;
    return true;
  }
  if (wholes_.size() >= terms_.max_wholes) return false;
  Holding& h = wholes_[whole.id];
  h.whole = whole;
  h.units = whole.nature == Nature::kRate || saw_begin ? share_of(whole, self_, count_) : 0;
  h.settled = h.ask_at = now;
  return true;
}

void BoundedCounter::close(Time now, const BudgetId& id) {
  Holding* h = find(id);
  if (h == nullptr || h->closed) return;
  settle(now, *h);
  h->closed = true;
  h->wanted = 0;
  h->forget = now + (h->whole.nature == Nature::kSpent ? kRemembered : outlasts(kMaxLease, terms_.drift));
}

// How much there is.

std::uint64_t BoundedCounter::kept(const Holding& h) const {
  return static_cast<std::uint64_t>(static_cast<double>(h.units) * terms_.kept);
}

std::uint64_t BoundedCounter::lent_out(Time at, const Holding& h) {
  std::uint64_t sum = 0;
  for (const auto& [to, lent] : h.lent) sum += lent.until && *lent.until > at ? lent.amount : 0;
  return sum;
}

std::uint64_t BoundedCounter::own_rate(Time at, const Holding& h) const {
  return at < lends_from_ ? kept(h) : h.units - lent_out(at, h);
}

std::uint64_t BoundedCounter::rate(Time now, const BudgetId& id) const {
  const Holding* h = find(id);
  return h == nullptr || h->closed || h->whole.nature != Nature::kRate ? 0 : have(now, *h);
}

std::uint64_t BoundedCounter::have(Time now, const Holding& h) const {
  if (h.whole.nature == Nature::kSpent) return h.units;
  std::uint64_t sum = own_rate(now, h);
  for (const auto& [from, loan] : h.borrowed) sum += loan.until > now ? loan.amount : 0;
  return sum;
}

// Since the last settlement our own rate can only have grown by loans that ended, and borrowed ones can only
// have ended: what is reckoned with the former at its start and the latter to their ends is never too much.
std::uint64_t BoundedCounter::level(Time now, const Holding& h) const {
  const std::uint64_t own = own_rate(h.settled, h);
  std::uint64_t level = h.level + own * std::min(micros(now - h.settled), micros(kMaxDepth));
  std::uint64_t rate = own;
  for (const auto& [from, loan] : h.borrowed) {
    level += loan.amount * micros(std::min(now, loan.until) - h.settled);
    rate += loan.until > now ? loan.amount : 0;
  }
  return std::min(level, rate * micros(h.whole.depth));
}

void BoundedCounter::settle(Time now, Holding& h) {
  if (h.whole.nature != Nature::kRate) return;
  h.level = level(now, h);
  h.settled = std::max(h.settled, now);
  counts_.lapsed += std::erase_if(h.borrowed, [&](const auto& entry) { return entry.second.until <= now; });
}

std::uint64_t BoundedCounter::available(Time now, const BudgetId& id) const {
  const Holding* h = find(id);
  if (h == nullptr || h->closed) return 0;
  return h->whole.nature == Nature::kSpent ? h->units : level(now, *h) / kMicro;
}

bool BoundedCounter::use(Time now, const BudgetId& id, std::uint64_t amount) {
  Holding* h = find(id);
  if (h == nullptr || h->closed || available(now, id) < amount) return false;
  settle(now, *h);
  if (h->whole.nature == Nature::kSpent) {
    h->units -= amount;
  } else {
    h->level -= amount * kMicro;
  }
  return true;
}

void BoundedCounter::want(const BudgetId& id, std::uint64_t amount) {
  if (Holding* h = find(id); h != nullptr && !h->closed) h->wanted = std::min(amount, h->whole.amount);
}

// The giver's side.

std::uint64_t BoundedCounter::spare(Time now, const Holding& h) const {
  if (h.closed || !terms_.lends) return 0;
  if (h.whole.nature == Nature::kSpent) return less(h.units, h.wanted);
  if (now < lends_from_) return 0;
  return less(h.units - lent_out(now, h), std::max(kept(h), h.wanted));
}

std::optional<std::uint64_t> BoundedCounter::give_units(Holding& h, Number to, std::uint64_t life,
                                                        const Ask& ask) {
  Lent& given = h.lent[to];
  const auto before = std::pair(given.life, given.sequence), asked = std::pair(life, ask.sequence);
  if (asked < before) return std::nullopt;  // late: answered once, and the asker has gone on
  if (asked == before) return given.amount;
  const std::uint64_t amount = std::min(ask.amount, (spare(h.settled, h) + 1) / 2);
  h.units -= amount;
  given = {life, ask.sequence, amount, std::nullopt};
  return amount;
}

std::optional<std::uint64_t> BoundedCounter::lend_rate(Time now, Holding& h, Number to, std::uint64_t life,
                                                       const Ask& ask) {
  Lent& lent = h.lent[to];
  if (life < lent.life || (life == lent.life && ask.sequence < lent.sequence)) return std::nullopt;
  if (life == lent.life && ask.sequence == lent.sequence) return lent.amount;  // the answer was lost
  const bool runs = lent.until && *lent.until > now;
  const Time until = now + outlasts(terms_.lease, terms_.drift);
  if (ask.renews != 0) {
    const bool same = runs && life == lent.life && ask.renews == lent.sequence && ask.amount == lent.amount;
    if (!same || h.closed || h.wanted > h.units - lent_out(now, h)) return 0;
    lent.sequence = ask.sequence;
    lent.until = until;
    return lent.amount;
  }
  if (runs) return 0;  // one loan at a time; it may be an earlier life's
  const std::uint64_t amount = std::min(ask.amount, (spare(now, h) + 1) / 2);
  lent = {life, ask.sequence, amount, amount > 0 ? std::optional(until) : std::nullopt};
  return amount;
}

std::optional<Grant> BoundedCounter::answer(Time now, Number from, std::uint64_t life, const Ask& ask) {
  Holding* h = find(ask.whole);
  if (h == nullptr || ask.sequence == 0) return Grant{ask.whole, life, ask.sequence, 0, {}};
  settle(now, *h);
  const auto amount = h->whole.nature == Nature::kSpent ? give_units(*h, from, life, ask)
                                                        : lend_rate(now, *h, from, life, ask);
  if (!amount) return std::nullopt;
  ++(*amount > 0 ? counts_.granted : counts_.denied);
  return Grant{ask.whole, life, ask.sequence, *amount,
               h->whole.nature == Nature::kRate ? terms_.lease : Duration{}};
}

void BoundedCounter::take_back(Time now, Number from, std::uint64_t life, const Return& back) {
  Holding* h = find(back.whole);
  if (h == nullptr || h->whole.nature != Nature::kRate) return;
  const auto it = h->lent.find(from);
  if (it == h->lent.end() || it->second.life != life || it->second.sequence != back.sequence) return;
  if (!it->second.until) return;
  settle(now, *h);
  it->second.until.reset();
  ++counts_.returned;
}

// The asker's side.

void BoundedCounter::take(Time now, Number from, const Grant& grant) {
  Holding* h = find(grant.whole);
  if (h == nullptr || !h->asked || h->asked->lender != from || h->asked->ask.sequence != grant.sequence ||
      grant.life != life_ || grant.amount > h->asked->ask.amount || grant.lease > kMaxLease) {
    ++counts_.ignored;
    return;
  }
  const Asked asked = *std::exchange(h->asked, std::nullopt);
  h->ask_at = now + terms_.ask_pause;
  settle(now, *h);
  if (grant.amount == 0) return;
  if (h->whole.nature == Nature::kSpent) {
    h->units += grant.amount;
    ++counts_.borrowed;
    return;
  }
  const Time until = asked.first + grant.lease;
  if (until <= now) {
    ++counts_.lapsed;
    return;
  }
  h->borrowed[from] = {grant.sequence, grant.amount, until};
  ++counts_.borrowed;
}

// A loan that has not come is waited for no longer than half its time. The lender may have it back at once,
// unless it goes on with one that is in use.
void BoundedCounter::give_up(Time now, Holding& h, std::vector<Transfer>& out) {
  if (!h.asked || h.whole.nature != Nature::kRate || now < h.asked->first + terms_.lease / 2) return;
  const Asked asked = *std::exchange(h.asked, std::nullopt);
  h.ask_at = now + terms_.ask_pause;
  if (asked.ask.renews == 0) out.push_back({asked.lender, Return{h.whole.id, asked.ask.sequence}});
}

// What has expired was dropped when tick() settled.
void BoundedCounter::give_back(Time now, Holding& h, std::vector<Transfer>& out) {
  for (auto it = h.borrowed.begin(); it != h.borrowed.end();) {
    const std::uint64_t without = have(now, h) - it->second.amount;
    if (!h.closed && without < h.wanted) {
      ++it;
      continue;
    }
    if (h.asked && h.asked->lender == it->first) h.asked.reset();
    out.push_back({it->first, Return{h.whole.id, it->second.sequence}});
    it = h.borrowed.erase(it);
  }
}

void BoundedCounter::ask(Time now, Holding& h, const std::vector<Number>& living,
                         std::vector<Transfer>& out) {
  if (h.asked) {
    if (now < h.asked->again) return;
    h.asked->pause = std::min(h.asked->pause * 2, terms_.ask_again * kMaxPause);
    h.asked->again = now + h.asked->pause;
    out.push_back({h.asked->lender, h.asked->ask});
    return;
  }
  if (now < h.ask_at || h.closed || !terms_.lends) return;
  Ask ask{h.whole.id, 0, 0, 0};
  std::optional<Number> lender;
  for (const auto& [from, loan] : h.borrowed) {
    if (loan.until - now > terms_.lease / 2 || (lender && h.borrowed.at(*lender).until <= loan.until))
      continue;
    lender = from;
    ask.renews = loan.sequence;
    ask.amount = loan.amount;
  }
  if (!lender) {
    ask.amount = less(h.wanted, have(now, h));
    std::vector<Number> others;
    for (const Number n : living) {
      if (!h.borrowed.contains(n)) others.push_back(n);
    }
    if (ask.amount == 0) return;
    if (others.empty()) {
      h.ask_at = now + terms_.ask_pause;
      return;
    }
    boost::random::uniform_int_distribution<std::size_t> draw(0, others.size() - 1);
    lender = others[draw(random_)];
  }
  ask.sequence = ++sequence_;
  h.asked = Asked{*lender, ask, now, now + terms_.ask_again, terms_.ask_again};
  ++counts_.asks;
  out.push_back({*lender, ask});
}

std::vector<Transfer> BoundedCounter::tick(Time now, const std::vector<Number>& living) {
  std::vector<Transfer> out;
  for (auto it = wholes_.begin(); it != wholes_.end();) {
    Holding& h = it->second;
    settle(now, h);
    give_up(now, h, out);
    give_back(now, h, out);
    ask(now, h, living, out);
    const bool over = h.closed && h.forget <= now && lent_out(now, h) == 0;
    it = over ? wholes_.erase(it) : std::next(it);
  }
  return out;
}

std::vector<Transfer> BoundedCounter::received(Time now, Number from, std::uint64_t life,
                                               const std::vector<Ask>& asks, const std::vector<Grant>& grants,
                                               const std::vector<Return>& returns) {
  std::vector<Transfer> out;
  for (const Return& back : returns) take_back(now, from, life, back);
  for (const Ask& ask : asks) {
    if (auto grant = answer(now, from, life, ask)) out.push_back({from, *grant});
  }
  for (const Grant& grant : grants) take(now, from, grant);
  return out;
}

void BoundedCounter::lost(Number number) {
  for (auto& [id, h] : wholes_) {
    if (h.asked && h.asked->lender == number) h.asked.reset();
  }
}

void BoundedCounter::own_life(std::uint64_t life) {
  life_ = life;
  for (auto& [id, h] : wholes_) h.asked.reset();
}

std::uint64_t BoundedCounter::state_hash(Time now) const {
  std::vector<std::uint64_t> s = {life_, sequence_};
  const auto time = [&](Time at) { s.push_back(static_cast<std::uint64_t>((at - now).count())); };
  time(std::max(now, lends_from_));
  for (const auto& [id, h] : wholes_) {
    s.insert(s.end(), {id.kind, id.key, h.units, h.wanted, h.level, h.closed, h.asked.has_value()});
    time(h.settled);
    time(std::max(now, h.ask_at));
    for (const auto& [to, lent] : h.lent) {
      s.insert(s.end(), {to, lent.life, lent.sequence, lent.amount, lent.until && *lent.until > now});
      if (lent.until && *lent.until > now) time(*lent.until);
    }
    for (const auto& [from, loan] : h.borrowed) {
      s.insert(s.end(), {from, loan.sequence, loan.amount});
      time(loan.until);
    }
    if (!h.asked) continue;
    s.insert(s.end(), {h.asked->lender, h.asked->ask.sequence, h.asked->ask.renews, h.asked->ask.amount});
    time(h.asked->first);
    time(h.asked->again);
    s.push_back(static_cast<std::uint64_t>(h.asked->pause.count()));
  }
  return XXH3_64bits(s.data(), s.size() * sizeof s[0]);
}

std::optional<Time> BoundedCounter::next() const {
  std::optional<Time> at;
  const auto consider = [&](Time t) { at = at ? std::min(*at, t) : t; };
  for (const auto& [id, h] : wholes_) {
    if (h.closed) consider(h.forget);
    if (h.asked) {
      consider(h.asked->again);
    } else if (!h.closed && terms_.lends) {
      if (h.wanted > have(h.settled, h)) consider(h.ask_at);
      for (const auto& [from, loan] : h.borrowed) consider(std::max(h.ask_at, loan.until - terms_.lease / 2));
    }
    for (const auto& [from, loan] : h.borrowed) consider(loan.until);
    for (const auto& [to, lent] : h.lent) {
      if (lent.until && *lent.until > h.settled) consider(*lent.until);
    }
  }
  return at;
}

}  // namespace dispatcher::replicated_state
