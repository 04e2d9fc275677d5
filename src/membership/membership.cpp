#include "membership/membership.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <utility>

namespace dispatcher::membership {

namespace {

constexpr std::size_t kMaxRelays = 32;

void shuffle(std::vector<Number>& numbers, Random& random) {
  for (std::size_t i = numbers.size(); i > 1; --i) {
    boost::random::uniform_int_distribution<std::size_t> draw(0, i - 1);
    std::swap(numbers[i - 1], numbers[draw(random)]);
  }
}

double scale(Number count) { return std::max(1.0, std::log10(static_cast<double>(count))); }

}  // namespace

Membership::Membership(const Parameters& parameters, Number self, Number count, std::uint64_t life, Time now,
                       Random random)
    : p_(parameters),
      self_(self),
      random_(random),
      members_(count),
      health_(parameters.max_unwell),
      seen_(now) {
  for (Number n = 0; n < count; ++n) {
    members_[n].claim.about = n;
    members_[n].since = now;
    if (n != self) order_.push_back(n);
  }
  members_[self].claim = {self, {life, 0}, MemberState::kAlive, self};
  members_[self].sends_left = sends();
  call_order_ = order_;
  shuffle(order_, random_);
  shuffle(call_order_, random_);
  // A fleet that starts together must not probe in step.
  boost::random::uniform_int_distribution<Duration::rep> draw(0, p_.period.count() - 1);
  probe_at_ = now + Duration(draw(random_));
}

bool Membership::lives(Number number) const {
  const MemberState s = standing(number);
  return s == MemberState::kAlive || s == MemberState::kSuspect;
}

std::vector<Number> Membership::living() const {
  std::vector<Number> found;
  for (Number n = 0; n < count(); ++n) {
    if (n != self_ && lives(n)) found.push_back(n);
  }
  return found;
}

unsigned Membership::sends() const { return static_cast<unsigned>(std::ceil(p_.spread * scale(count()))); }

Duration Membership::min_wait() const {
  const double wait = static_cast<double>(p_.period.count()) * p_.suspicion_min * scale(count());
  return Duration(static_cast<Duration::rep>(wait));
}

// Claims.

void Membership::set(Time now, const MemberUpdate& claim) {
  Member& member = members_[claim.about];
  const MemberState before = member.claim.standing;
  const bool new_life = member.claim.incarnation.life != claim.incarnation.life;
  member.suspicion.reset();
  if (claim.standing == MemberState::kSuspect) {
    ++counts_.suspicions;
    const unsigned others = count() > 2 ? count() - 2 : 0;  // all but the accused and its accuser
    const Duration minimum = min_wait();
    const auto maximum =
        Duration(static_cast<Duration::rep>(static_cast<double>(minimum.count()) * p_.suspicion_stretch));
    member.suspicion.emplace(now, claim.by, std::min<unsigned>(p_.confirmations, others), minimum, maximum);
  }
  if (claim.standing == MemberState::kDead) ++counts_.deaths;
  if (before != claim.standing || new_life) {
    member.since = now;
    changes_.push_back({claim.about, before, claim.standing, new_life});
  }
  member.claim = claim;
  member.sends_left = sends();
}

void Membership::merge_own(const MemberUpdate& claim) {
  MemberUpdate& own = members_[self_].claim;
  if (claim.incarnation < own.incarnation) return;
  if (claim.incarnation.life > own.incarnation.life) {
    // An earlier process of ours, on a clock that has been set back since. Ours comes after it.
    if (claim.incarnation.life + 1 > kMaxLife) return;
    own.incarnation = {claim.incarnation.life + 1, 0};
    changes_.push_back({self_, MemberState::kAlive, MemberState::kAlive, true});
  } else if (claim.standing == MemberState::kSuspect || claim.standing == MemberState::kDead) {
    if (claim.incarnation.refuted >= kMaxRefuted) return;
    own.incarnation.refuted = claim.incarnation.refuted + 1;
  } else {
    return;
  }
  ++counts_.refutations;
  health_.worse();
  members_[self_].sends_left = sends();
}

void Membership::merge(Time now, const MemberUpdate& claim) {
  if (claim.about >= count() || claim.standing == MemberState::kUnknown) return;
  if (claim.about == self_) return merge_own(claim);
  Member& member = members_[claim.about];
  if (claim.rank() > member.claim.rank()) return set(now, claim);
  if (claim.rank() == member.claim.rank() && member.suspicion && member.suspicion->confirm(claim.by))
    member.sends_left = sends();  // others need the confirmation as we did
}

void Membership::suspect(Time now, Number number) {
  const MemberUpdate& held = members_[number].claim;
  if (!lives(number)) return;
  merge(now, {number, held.incarnation, MemberState::kSuspect, self_});
}

std::vector<MemberUpdate> Membership::queue(Number to, bool suspicions_alone) const {
  std::vector<const Member*> found;
  for (const Member& member : members_) {
    const MemberState standing = member.claim.standing;
    // Each message bears its sender's incarnation; of itself a member has more to say only when it leaves.
    const bool implied = member.claim.about == self_ && standing == MemberState::kAlive;
    const bool buddy = member.claim.about == to && standing >= MemberState::kSuspect;
    const bool news = member.sends_left > 0 && (!suspicions_alone || standing == MemberState::kSuspect);
    if (buddy || (news && !implied)) found.push_back(&member);
  }
  std::stable_sort(found.begin(), found.end(), [&](const Member* a, const Member* b) {
    return std::tuple(a->claim.about != to, -static_cast<std::int64_t>(a->sends_left)) <
           std::tuple(b->claim.about != to, -static_cast<std::int64_t>(b->sends_left));
  });
  std::vector<MemberUpdate> claims;
  for (const Member* member : found) {
    claims.push_back(member->claim);
    if (!member->suspicion) continue;
    const auto& accusers = member->suspicion->accusers();  // in turn: each is a confirmation to somebody
    claims.back().by = accusers[member->sends_left % accusers.size()];
  }
  return claims;
}

void Membership::sent(Number about) {
  unsigned& left = members_[about].sends_left;
  left -= left > 0 ? 1 : 0;
}

std::vector<MemberUpdate> Membership::page(std::size_t maximum) {
  std::vector<MemberUpdate> claims;
  for (Number n = 0; n < count() && claims.size() < maximum; ++n) {
    page_ = (page_ + 1) % count();
    const MemberUpdate& claim = members_[page_].claim;
    if (page_ != self_ && claim.standing != MemberState::kUnknown) claims.push_back(claim);
  }
  return claims;
}

std::uint32_t Membership::summary() const {
  std::uint64_t sum = 0;
  for (const Member& member : members_) {
    if (member.claim.standing == MemberState::kUnknown) continue;
    const std::uint64_t fields[] = {member.claim.about, member.claim.incarnation.life,
                                    member.claim.standing == MemberState::kDead ? 1U : 0U};
    sum += XXH3_64bits(fields, sizeof fields);
  }
  return static_cast<std::uint32_t>(sum ^ (sum >> 32U));
}

void Membership::agreed() {
  for (Member& member : members_) {
    if (member.claim.standing != MemberState::kSuspect) member.sends_left -= member.sends_left > 0 ? 1 : 0;
  }
}

// Messages.

void Membership::notice_pause(Time now) {
  const Duration gap = now - std::max(seen_, next());
  seen_ = std::max(seen_, now);
  if (gap < p_.period) return;  // a loop that is only busy is for LocalHealth
  ++counts_.pauses;
  probing_.reset();
  relays_.clear();
  for (Member& member : members_) {
    if (member.suspicion) member.suspicion->shift(gap);
  }
  probe_at_ = now;
  health_.worse();
}

std::vector<Sending> Membership::received(Time now, Number from, Incarnation incarnation,
                                          const std::optional<Probe>& probe,
                                          const std::vector<MemberUpdate>& claims) {
  notice_pause(now);
  std::vector<Sending> out;
  merge(now, {from, incarnation, MemberState::kAlive, from});
  for (const MemberUpdate& claim : claims) merge(now, claim);
  if (probe) answer(now, from, *probe, out);
  return out;
}

void Membership::answer(Time now, Number from, const Probe& probe, std::vector<Sending>& out) {
  switch (probe.type) {
    case Probe::Type::kPing:
      out.push_back({from, Probe{Probe::Type::kAck, probe.sequence, 0}});
      return;
    case Probe::Type::kAskToPing: {
      if (probe.target >= count() || probe.target == self_ || relays_.size() >= kMaxRelays) return;
      // Our part of the prober's time, less what its answer takes to travel.
      relays_.push_back({from, probe.sequence, ++sequence_, probe.target, now + p_.probe_timeout * 4 / 5,
                         now + p_.period, false});
      out.push_back({probe.target, Probe{Probe::Type::kPing, sequence_, 0}});
      return;
    }
    case Probe::Type::kAck: {
      if (probing_ && probe.sequence == probing_->sequence && (from == probing_->target || probing_->asked))
        probing_->answered = true;
      const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const Relay& r) {
        return r.sequence == probe.sequence && r.target == from;
      });
      if (relay == relays_.end()) return;
      out.push_back({relay->origin, Probe{Probe::Type::kAck, relay->origin_sequence, 0}});
      relays_.erase(relay);
      return;
    }
    case Probe::Type::kNack:
      if (probing_ && probe.sequence == probing_->sequence) ++probing_->nacks;
      return;
  }
}

std::optional<Number> Membership::next_in(std::vector<Number>& order, std::size_t& place, bool living) {
  // Twice round, as the rest of this round and the next one's beginning may name the same ones.
  for (std::size_t tried = 0; tried < 2 * order.size(); ++tried) {
    if (place >= order.size()) {
      place = 0;
      shuffle(order, random_);
    }
    const Number number = order[place++];
    if (lives(number) == living) return number;
  }
  return std::nullopt;
}

void Membership::finish_probe(Time now) {
  const Probing probe = *std::exchange(probing_, std::nullopt);
  if (probe.answered) return health_.better();
  ++counts_.failed_probes;
  // Helpers that say nothing either make it likelier that the fault is ours.
  if (probe.helpers == 0) {
    health_.worse();
  } else if (probe.nacks < probe.helpers) {
    health_.worse(probe.helpers - probe.nacks);
  }
  suspect(now, probe.target);
}

void Membership::start_probe(Time now, std::vector<Sending>& out) {
  probe_at_ = now + health_.scaled(p_.period);
  ++period_;
  if (const auto target = next_in(order_, place_, true)) {
    ++counts_.probes;
    probing_ = Probing{*target, ++sequence_, now + health_.scaled(p_.probe_timeout), probe_at_};
    out.push_back({*target, Probe{Probe::Type::kPing, sequence_, 0}});
  }
  if (!probing_ || period_ % p_.call_every == 0) call_lost(out);
}

void Membership::call_lost(std::vector<Sending>& out) {
  if (const auto lost = next_in(call_order_, call_place_, false))
    out.push_back({*lost, Probe{Probe::Type::kPing, ++sequence_, 0}});
}

void Membership::probe_again(Time now, std::vector<Sending>& out) {
  probing_->again = now + health_.scaled(p_.probe_timeout);
  out.push_back({probing_->target, Probe{Probe::Type::kPing, probing_->sequence, 0}});
  if (!probing_->asked) ask_helpers(out);
}

void Membership::ask_helpers(std::vector<Sending>& out) {
  probing_->asked = true;
  std::vector<Number> helpers;
  for (Number n = 0; n < count(); ++n) {
    if (n != self_ && n != probing_->target && standing(n) == MemberState::kAlive) helpers.push_back(n);
  }
  shuffle(helpers, random_);
  helpers.resize(std::min<std::size_t>(helpers.size(), p_.helpers));
  probing_->helpers = static_cast<unsigned>(helpers.size());
  for (const Number helper : helpers)
    out.push_back({helper, Probe{Probe::Type::kAskToPing, probing_->sequence, probing_->target}});
}

void Membership::run_relays(Time now, std::vector<Sending>& out) {
  for (Relay& relay : relays_) {
    if (relay.nacked || relay.nack_at > now) continue;
    relay.nacked = true;
    out.push_back({relay.origin, Probe{Probe::Type::kNack, relay.origin_sequence, 0}});
  }
  std::erase_if(relays_, [&](const Relay& relay) { return relay.ends <= now; });
}

std::vector<Sending> Membership::tick(Time now) {
  notice_pause(now);
  std::vector<Sending> out;
  run_relays(now, out);
  if (probing_ && !probing_->answered && probing_->again <= now) probe_again(now, out);
  if (probe_at_ <= now) {
    if (probing_) finish_probe(now);
    start_probe(now, out);
  }
  for (Member& member : members_) {
    if (!member.suspicion || member.suspicion->ends() > now) continue;
    MemberUpdate dead = member.claim;
    dead.standing = MemberState::kDead;
    merge(now, dead);
  }
  return out;
}

Time Membership::next() const {
  Time at = probe_at_;
  if (probing_ && !probing_->answered) at = std::min(at, probing_->again);
  for (const Relay& relay : relays_) at = std::min(at, relay.nacked ? relay.ends : relay.nack_at);
  for (const Member& member : members_) {
    if (member.suspicion) at = std::min(at, member.suspicion->ends());
  }
  return at;
}

std::uint64_t Membership::state_hash(Time now) const {
  Random random = random_;
  std::vector<std::uint64_t> s = {random(),
                                  random(),
                                  health_.score(),
                                  place_,
                                  call_place_,
                                  page_,
                                  sequence_,
                                  period_ % p_.call_every,
                                  probing_.has_value(),
                                  relays_.size()};
  const auto time = [&](Time at) { s.push_back(static_cast<std::uint64_t>((at - now).count())); };
  s.insert(s.end(), order_.begin(), order_.end());
  s.insert(s.end(), call_order_.begin(), call_order_.end());
  time(probe_at_);
  for (const Member& m : members_) {
    const MemberUpdate& c = m.claim;
    s.insert(s.end(), {c.incarnation.life, c.incarnation.refuted, static_cast<std::uint64_t>(c.standing),
                       c.by, m.sends_left, m.suspicion.has_value()});
    if (!m.suspicion) continue;
    time(m.suspicion->ends());
    s.insert(s.end(), m.suspicion->accusers().begin(), m.suspicion->accusers().end());
  }
  if (probing_) {
    s.insert(s.end(), {probing_->target, probing_->sequence, probing_->asked, probing_->answered,
                       probing_->helpers, probing_->nacks});
    time(probing_->again);
    time(probing_->ends);
  }
  for (const Relay& r : relays_) {
    s.insert(s.end(), {r.origin, r.origin_sequence, r.sequence, r.target, r.nacked});
    time(r.nack_at);
    time(r.ends);
  }
  return XXH3_64bits(s.data(), s.size() * sizeof s[0]);
}

std::vector<Sending> Membership::leave() {
  members_[self_].claim.standing = MemberState::kDead;
  members_[self_].sends_left = sends();
  std::vector<Number> told = living();
  shuffle(told, random_);
  told.resize(std::min<std::size_t>(told.size(), p_.helpers));
  std::vector<Sending> out;
  for (const Number number : told) out.push_back({number, std::nullopt});
  return out;
}

}  // namespace dispatcher::membership
