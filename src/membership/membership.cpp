#include "membership/membership.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

namespace dispatcher::membership {

Membership::Membership(const Parameters& parameters, MemberIndex self, MemberIndex count,
                       std::uint64_t incarnation, Time now, Random random)
    : parameters_(parameters),
      random_(random),
      table_(parameters, self, count, incarnation, now),
      health_(parameters.max_health_score),
      probe_rotation_(others()),
      reconnect_rotation_(others()),
      indirect_probes_(parameters),
      last_seen_(now) {
  probe_rotation_.shuffle(random_);
  reconnect_rotation_.shuffle(random_);
  // A random first interval, so that members that start at the same time do not probe at the same time.
  boost::random::uniform_int_distribution<Duration::rep> draw(0, parameters_.probe_interval.count() - 1);
  probe_at_ = now + Duration(draw(random_));
}

std::vector<MemberIndex> Membership::others() const {
  std::vector<MemberIndex> found;
  for (MemberIndex member = 0; member < count(); ++member) {
    if (member != self()) found.push_back(member);
  }
  return found;
}

std::vector<MemberIndex> Membership::live_members() const {
  std::vector<MemberIndex> found = others();
  std::erase_if(found, [this](MemberIndex member) { return !table_.is_live(member); });
  return found;
}

// Returns a random sample of `members`, of as many as help with an indirect probe.
std::vector<MemberIndex> Membership::draw_sample(std::vector<MemberIndex> members) {
  shuffle(members, random_);
  members.resize(std::min<std::size_t>(members.size(), parameters_.indirect_probes));
  return members;
}

Membership::Counts Membership::counts() const {
  const MemberTable::Counts& table = table_.counts();
  return {table.suspicions, table.refutations, table.deaths, probes_, failed_probes_, pauses_};
}

void Membership::merge(Time now, const MemberUpdate& update) {
  if (table_.merge(now, update) == MemberTable::MergeOutcome::kRefuted) health_.degrade();
}

// Messages.

void Membership::detect_pause(Time now) {
  const Duration gap = now - std::max(last_seen_, next_deadline());
  last_seen_ = std::max(last_seen_, now);
  if (gap < parameters_.probe_interval) return;  // a busy event loop, which LocalHealth accounts for
  ++pauses_;
  pending_probe_.reset();
  indirect_probes_.clear();
  table_.extend_suspicions(gap);
  probe_at_ = now;
  health_.degrade();
}

std::vector<OutgoingMessage> Membership::on_received(Time now, MemberIndex from, MemberVersion version,
                                                     const std::optional<Probe>& probe,
                                                     const std::vector<MemberUpdate>& updates) {
  detect_pause(now);
  std::vector<OutgoingMessage> out;
  merge(now, {from, version, MemberState::kAlive, from});
  for (const MemberUpdate& update : updates) merge(now, update);
  if (probe) answer(now, from, *probe, out);
  return out;
}

void Membership::answer(Time now, MemberIndex from, const Probe& probe, std::vector<OutgoingMessage>& out) {
  switch (probe.type) {
    case Probe::Type::kPing:
      out.push_back({from, Probe::ack(probe.sequence)});
      return;
    case Probe::Type::kPingRequest:
      return start_indirect_probe(now, from, probe, out);
    case Probe::Type::kAck:
      return on_ack(from, probe.sequence, out);
    case Probe::Type::kNack:
      return on_nack(probe.sequence);
  }
}

void Membership::start_indirect_probe(Time now, MemberIndex origin, const Probe& request,
                                      std::vector<OutgoingMessage>& out) {
  if (request.target >= count() || request.target == self()) return;
  if (indirect_probes_.is_full()) return;
  ++sequence_;
  indirect_probes_.start(now, origin, request, sequence_);
  out.push_back({request.target, Probe::ping(sequence_)});
}

// Returns whether this message acks the pending probe, as an ack from the target or from a helper on its
// behalf.
bool Membership::is_acked_by(MemberIndex from, std::uint32_t sequence) const {
  if (!pending_probe_ || sequence != pending_probe_->sequence) return false;
  return from == pending_probe_->target || pending_probe_->is_indirect;
}

void Membership::on_ack(MemberIndex from, std::uint32_t sequence, std::vector<OutgoingMessage>& out) {
  if (is_acked_by(from, sequence)) pending_probe_->is_acked = true;
  if (const auto ack = indirect_probes_.on_ack(from, sequence)) out.push_back(*ack);
}

void Membership::on_nack(std::uint32_t sequence) {
  if (pending_probe_ && sequence == pending_probe_->sequence) ++pending_probe_->nacks;
}

// Probing.

void Membership::finish_probe(Time now) {
  const PendingProbe probe = *std::exchange(pending_probe_, std::nullopt);
  if (probe.is_acked) return health_.improve();
  ++failed_probes_;
  // Lifeguard: if helpers send no nack either, it is more likely that this member is the faulty one.
  if (probe.helpers == 0) {
    health_.degrade();
  } else if (probe.nacks < probe.helpers) {
    health_.degrade(probe.helpers - probe.nacks);
  }
  table_.suspect(now, probe.target);
}

void Membership::start_probe(Time now, std::vector<OutgoingMessage>& out) {
  probe_at_ = now + health_.scaled(parameters_.probe_interval);
  ++interval_count_;
  const auto is_live = [this](MemberIndex member) { return table_.is_live(member); };
  if (const auto target = probe_rotation_.next(random_, is_live)) {
    ++probes_;
    ++sequence_;
    const Time retry_at = now + health_.scaled(parameters_.probe_timeout);
    pending_probe_ = PendingProbe{*target, sequence_, retry_at, probe_at_};
    out.push_back({*target, Probe::ping(sequence_)});
  }
  if (!pending_probe_ || interval_count_ % parameters_.reconnect_every == 0) ping_unreachable(out);
}

void Membership::ping_unreachable(std::vector<OutgoingMessage>& out) {
  const auto is_unreachable = [this](MemberIndex member) { return !table_.is_live(member); };
  const auto target = reconnect_rotation_.next(random_, is_unreachable);
  if (!target) return;
  ++sequence_;
  out.push_back({*target, Probe::ping(sequence_)});
}

void Membership::retry_probe(Time now, std::vector<OutgoingMessage>& out) {
  pending_probe_->retry_at = now + health_.scaled(parameters_.probe_timeout);
  out.push_back({pending_probe_->target, Probe::ping(pending_probe_->sequence)});
  if (!pending_probe_->is_indirect) request_indirect_probes(out);
}

void Membership::request_indirect_probes(std::vector<OutgoingMessage>& out) {
  pending_probe_->is_indirect = true;
  std::vector<MemberIndex> helpers = others();
  std::erase_if(helpers, [this](MemberIndex member) {
    return member == pending_probe_->target || state(member) != MemberState::kAlive;
  });
  helpers = draw_sample(std::move(helpers));
  pending_probe_->helpers = static_cast<unsigned>(helpers.size());
  const Probe request = Probe::ping_request(pending_probe_->sequence, pending_probe_->target);
  for (const MemberIndex helper : helpers) out.push_back({helper, request});
}

std::vector<OutgoingMessage> Membership::tick(Time now) {
  detect_pause(now);
  std::vector<OutgoingMessage> out;
  indirect_probes_.tick(now, out);
  if (pending_probe_ && !pending_probe_->is_acked && pending_probe_->retry_at <= now) retry_probe(now, out);
  if (probe_at_ <= now) {
    if (pending_probe_) finish_probe(now);
    start_probe(now, out);
  }
  table_.expire_suspicions(now);
  return out;
}

Time Membership::next_deadline() const {
  Time earliest = probe_at_;
  if (pending_probe_ && !pending_probe_->is_acked) earliest = std::min(earliest, pending_probe_->retry_at);
  if (const auto indirect = indirect_probes_.next_deadline()) earliest = std::min(earliest, *indirect);
  if (const auto suspicion = table_.next_deadline()) earliest = std::min(earliest, *suspicion);
  return earliest;
}

std::vector<OutgoingMessage> Membership::leave() {
  table_.leave();
  const std::vector<MemberIndex> receivers = draw_sample(live_members());
  std::vector<OutgoingMessage> out;
  out.reserve(receivers.size());
  for (const MemberIndex receiver : receivers) out.push_back({receiver, std::nullopt});
  return out;
}

std::uint64_t Membership::state_hash(Time now) const {
  Random random = random_;
  std::vector<std::uint64_t> state = {random(),
                                      random(),
                                      health_.score(),
                                      probe_rotation_.position(),
                                      reconnect_rotation_.position(),
                                      table_.page_position(),
                                      sequence_,
                                      interval_count_ % parameters_.reconnect_every,
                                      pending_probe_.has_value(),
                                      indirect_probes_.pending().size()};
  const auto add_time = [&](Time at) { state.push_back(static_cast<std::uint64_t>((at - now).count())); };
  state.insert(state.end(), probe_rotation_.order().begin(), probe_rotation_.order().end());
  state.insert(state.end(), reconnect_rotation_.order().begin(), reconnect_rotation_.order().end());
  add_time(probe_at_);
  table_.append_state(now, state);
  if (pending_probe_) {
    state.insert(state.end(), {pending_probe_->target, pending_probe_->sequence, pending_probe_->is_indirect,
                               pending_probe_->is_acked, pending_probe_->helpers, pending_probe_->nacks});
    add_time(pending_probe_->retry_at);
    add_time(pending_probe_->deadline);
  }
  for (const IndirectProbe& indirect : indirect_probes_.pending()) {
    state.insert(state.end(), {indirect.origin, indirect.origin_sequence, indirect.sequence, indirect.target,
                               indirect.is_nacked});
    add_time(indirect.nack_at);
    add_time(indirect.deadline);
  }
  return XXH3_64bits(state.data(), state.size() * sizeof state[0]);
}

}  // namespace dispatcher::membership
