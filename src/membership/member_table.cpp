#include "membership/member_table.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace dispatcher::membership {

namespace {

double fleet_size_scale(MemberIndex count) { return std::max(1.0, std::log10(static_cast<double>(count))); }

void decrement(unsigned& sends) { sends -= sends > 0 ? 1 : 0; }

}  // namespace

MemberTable::MemberTable(const Parameters& parameters, MemberIndex self, MemberIndex count,
                         std::uint64_t incarnation, Time now)
    : parameters_(parameters), self_(self), members_(count) {
  for (MemberIndex member = 0; member < count; ++member) {
    members_[member].update.member = member;
    members_[member].since = now;
  }
  members_[self].update = {self, {incarnation, 0}, MemberState::kAlive, self};
  members_[self].remaining_sends = max_sends();
}

bool MemberTable::is_live(MemberIndex member) const {
  return state(member) == MemberState::kAlive || state(member) == MemberState::kSuspect;
}

unsigned MemberTable::max_sends() const {
  return static_cast<unsigned>(std::ceil(parameters_.retransmit_multiplier * fleet_size_scale(count())));
}

Duration MemberTable::min_suspicion_timeout() const {
  const auto interval = static_cast<double>(parameters_.probe_interval.count());
  const double timeout = interval * parameters_.suspicion_multiplier * fleet_size_scale(count());
  return Duration(static_cast<Duration::rep>(timeout));
}

// Merging.

void MemberTable::start_suspicion(Time now, Member& member, MemberIndex accuser) {
  ++counts_.suspicions;
  // All members except the suspect and its accuser can confirm the suspicion.
  const unsigned possible_confirmations = count() > 2 ? count() - 2 : 0;
  const Duration min_timeout = min_suspicion_timeout();
  const double max_timeout = static_cast<double>(min_timeout.count()) * parameters_.suspicion_max_multiplier;
  member.suspicion.emplace(now, accuser,
                           std::min<unsigned>(parameters_.required_confirmations, possible_confirmations),
                           min_timeout, Duration(static_cast<Duration::rep>(max_timeout)));
}

void MemberTable::replace(Time now, const MemberUpdate& update) {
  Member& member = members_[update.member];
  const MemberState before = member.update.state;
  const bool is_new_incarnation = member.update.version.incarnation != update.version.incarnation;
  member.suspicion.reset();
  if (update.state == MemberState::kSuspect) start_suspicion(now, member, update.accuser);
  if (update.state == MemberState::kDead) ++counts_.deaths;
  if (before != update.state || is_new_incarnation) {
    member.since = now;
    changes_.push_back({update.member, before, update.state, is_new_incarnation});
  }
  member.update = update;
  member.remaining_sends = max_sends();
}

MemberTable::MergeOutcome MemberTable::merge_own(const MemberUpdate& update) {
  MemberUpdate& own = members_[self_].update;
  if (update.version < own.version) return MergeOutcome::kMerged;
  if (update.version.incarnation > own.version.incarnation) {
    // The update is about an earlier process of this member, and the clock has been set back since. This
    // process continues with the next higher incarnation.
    if (update.version.incarnation + 1 > kMaxIncarnation) return MergeOutcome::kMerged;
    own.version = {update.version.incarnation + 1, 0};
    changes_.push_back({self_, MemberState::kAlive, MemberState::kAlive, true});
  } else if (update.state == MemberState::kSuspect || update.state == MemberState::kDead) {
    if (update.version.refutations >= kMaxRefutations) return MergeOutcome::kMerged;
    own.version.refutations = update.version.refutations + 1;
  } else {
    return MergeOutcome::kMerged;
  }
  ++counts_.refutations;
  members_[self_].remaining_sends = max_sends();
  return MergeOutcome::kRefuted;
}

MemberTable::MergeOutcome MemberTable::merge(Time now, const MemberUpdate& update) {
  if (update.member >= count() || update.state == MemberState::kUnknown) return MergeOutcome::kMerged;
  if (update.member == self_) return merge_own(update);
  Member& member = members_[update.member];
  if (update.precedence() > member.update.precedence()) {
    replace(now, update);
    return MergeOutcome::kMerged;
  }
  const bool is_same = update.precedence() == member.update.precedence();
  if (is_same && member.suspicion && member.suspicion->confirm(update.accuser))
    member.remaining_sends = max_sends();  // other members need the confirmation as well
  return MergeOutcome::kMerged;
}

void MemberTable::suspect(Time now, MemberIndex member) {
  if (!is_live(member)) return;
  merge(now, {member, latest_update(member).version, MemberState::kSuspect, self_});
}

void MemberTable::expire_suspicions(Time now) {
  for (const Member& member : members_) {
    if (!member.suspicion || member.suspicion->deadline() > now) continue;
    MemberUpdate dead = member.update;
    dead.state = MemberState::kDead;
    merge(now, dead);
  }
}

void MemberTable::extend_suspicions(Duration pause) {
  for (Member& member : members_) {
    if (member.suspicion) member.suspicion->extend(pause);
  }
}

std::optional<Time> MemberTable::next_deadline() const {
  std::optional<Time> earliest;
  for (const Member& member : members_) {
    if (!member.suspicion) continue;
    const Time deadline = member.suspicion->deadline();
    earliest = earliest ? std::min(*earliest, deadline) : deadline;
  }
  return earliest;
}

void MemberTable::leave() {
  members_[self_].update.state = MemberState::kDead;
  members_[self_].remaining_sends = max_sends();
}

// Dissemination.

std::vector<MemberUpdate> MemberTable::update_queue(MemberIndex to, UpdateFilter filter) const {
  std::vector<const Member*> found;
  for (const Member& member : members_) {
    const MemberState state = member.update.state;
    // Each message carries its sender's version, so an update about this member is needed only when it
    // leaves.
    const bool is_implied = member.update.member == self_ && state == MemberState::kAlive;
    // Lifeguard's buddy system: a suspect can refute a suspicion only if it is notified of it.
    const bool is_accused_receiver = member.update.member == to && state >= MemberState::kSuspect;
    const bool passes_filter = filter == UpdateFilter::kAll || state == MemberState::kSuspect;
    const bool is_due = member.remaining_sends > 0 && passes_filter;
    if (is_accused_receiver || (is_due && !is_implied)) found.push_back(&member);
  }
  const auto rank = [to](const Member& member) {
    return std::tuple(member.update.member != to, -static_cast<std::int64_t>(member.remaining_sends));
  };
  std::stable_sort(found.begin(), found.end(),
                   [&](const Member* left, const Member* right) { return rank(*left) < rank(*right); });
  std::vector<MemberUpdate> updates;
  for (const Member* member : found) {
    updates.push_back(member->update);
    if (!member->suspicion) continue;
    // Rotates through the accusers, as each of them is a new confirmation to some receiver.
    const auto& accusers = member->suspicion->accusers();
    updates.back().accuser = accusers[member->remaining_sends % accusers.size()];
  }
  return updates;
}

void MemberTable::mark_sent(MemberIndex member) { decrement(members_[member].remaining_sends); }

std::vector<MemberUpdate> MemberTable::next_page(std::size_t max_updates) {
  std::vector<MemberUpdate> updates;
  for (MemberIndex i = 0; i < count() && updates.size() < max_updates; ++i) {
    page_position_ = (page_position_ + 1) % count();
    const MemberUpdate& update = members_[page_position_].update;
    if (page_position_ != self_ && update.state != MemberState::kUnknown) updates.push_back(update);
  }
  return updates;
}

std::uint32_t MemberTable::view_hash() const {
  std::uint64_t sum = 0;
  for (const Member& member : members_) {
    if (member.update.state == MemberState::kUnknown) continue;
    const std::uint64_t fields[] = {member.update.member, member.update.version.incarnation,
                                    member.update.state == MemberState::kDead ? 1U : 0U};
    sum += XXH3_64bits(fields, sizeof fields);
  }
  return static_cast<std::uint32_t>(sum ^ (sum >> 32U));
}

void MemberTable::mark_view_agreed() {
  for (Member& member : members_) {
    if (member.update.state != MemberState::kSuspect) decrement(member.remaining_sends);
  }
}

void MemberTable::append_state(Time now, std::vector<std::uint64_t>& state) const {
  for (const Member& member : members_) {
    const MemberUpdate& update = member.update;
    state.insert(state.end(), {update.version.incarnation, update.version.refutations,
                               static_cast<std::uint64_t>(update.state), update.accuser,
                               member.remaining_sends, member.suspicion.has_value()});
    if (!member.suspicion) continue;
    state.push_back(static_cast<std::uint64_t>((member.suspicion->deadline() - now).count()));
    const auto& accusers = member.suspicion->accusers();
    state.insert(state.end(), accusers.begin(), accusers.end());
  }
}

}  // namespace dispatcher::membership
