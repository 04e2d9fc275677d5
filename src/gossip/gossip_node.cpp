#include "gossip/gossip_node.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::gossip {

namespace {

using membership::MemberState;
using replicated_state::Delivery;

// Broadcasts leave this part of the burst (1 / divisor, a quarter) for probes.
constexpr std::int64_t kBurstReserveDivisor = 4;
// The maximum number of updates taken from a page; about as many fit into half a datagram.
constexpr std::size_t kMaxPageUpdates = 16;

// SplitMix64's constants (Steele, Lea, Flood, "Fast splittable pseudorandom number generators", 2014).
constexpr std::uint64_t kGoldenGamma = 0x9E3779B97F4A7C15U;
constexpr std::uint64_t kMixMultiplier = 0xBF58476D1CE4E5B9U;

// The streams of random numbers that are derived from a node's seed.
enum class RandomStream : std::uint64_t { kMembership = 1, kQuotas = 2 };

membership::Random make_random(std::uint64_t seed, RandomStream stream) {
  const std::uint64_t mixed = (seed ^ (static_cast<std::uint64_t>(stream) * kGoldenGamma)) * kMixMultiplier;
  return membership::Random(static_cast<std::uint32_t>(mixed >> 32U));
}

// Returns the bytes by which answers to probes may overdraw the budget: those of one second. If this member
// did not answer, others would suspect it.
std::int64_t max_debt(const NodeOptions& options) { return options.bytes_per_second; }

}  // namespace

GossipNode::GossipNode(const NodeOptions& options, const replicated_state::EntryKinds& kinds,
                       std::uint64_t incarnation, std::uint64_t seed, Time now)
    : options_(options),
      members_(options.membership, options.self, options.member_count, incarnation, now,
               make_random(seed, RandomStream::kMembership)),
      entries_(kinds, options.self, options.member_count, incarnation, options.max_entries),
      quotas_(options.lending, options.self, options.member_count, incarnation, now,
              make_random(seed, RandomStream::kQuotas)),
      budget_(options.bytes_per_second, options.burst_bytes, max_debt(options), now),
      replay_window_(options.member_count) {}

// Packing.

Sender GossipNode::next_sender() {
  return {options_.tier, options_.member_count, options_.self, members_.version(), ++serial_};
}

bool GossipNode::charge(Time now, const Datagram& datagram, std::int64_t receivers) {
  const auto bytes = static_cast<std::int64_t>(datagram.size()) * receivers;
  if (!budget_.try_spend(now, bytes)) {
    ++counts_.deferred;
    return false;
  }
  counts_.sent += static_cast<std::uint64_t>(receivers);
  counts_.sent_bytes += static_cast<std::uint64_t>(bytes);
  return true;
}

void GossipNode::add_probe_hashes(Time now, DatagramBuilder& builder) {
  builder.add_members_hash(members_.view_hash());
  group_ = (group_ + 1) % entries_.group_count();
  builder.add_group(group_, entries_.group_hash(now, group_));
}

void GossipNode::add_updates(DatagramBuilder& builder, const Draft& draft) {
  const auto filter = draft.view == ViewComparison::kEqual ? membership::UpdateFilter::kSuspicionsOnly
                                                           : membership::UpdateFilter::kAll;
  for (const MemberUpdate& update : members_.update_queue(draft.to, filter)) {
    if (builder.add(update)) members_.mark_sent(update.member);
  }
  if (draft.view != ViewComparison::kDifferent) return;
  const std::size_t reserved_for_entries = builder.remaining() / 2;
  for (const MemberUpdate& update : members_.next_page(kMaxPageUpdates)) {
    if (builder.remaining() > reserved_for_entries) builder.add(update);
  }
}

void GossipNode::add_entries(Time now, DatagramBuilder& builder, const Draft& draft) {
  for (const Digest& digest : draft.digests) builder.add(digest, draft.digest_role);
  for (const Entry& entry : draft.entries) builder.add(entry);
  for (const Entry& entry : entries_.send_queue(now, Delivery::kUnicast)) {
    if (entry.key.owner == draft.to) continue;
    if (builder.add(entry)) entries_.mark_sent(entry.key, Delivery::kUnicast);
  }
}

std::optional<Datagram> GossipNode::pack(Time now, const Draft& draft) {
  const std::int64_t available = budget_.available(now);
  if (!draft.is_urgent() && available < static_cast<std::int64_t>(kMaxDatagramBytes)) {
    ++counts_.deferred;
    return std::nullopt;
  }
  DatagramBuilder builder(next_sender());
  if (draft.probe) builder.add(*draft.probe);
  for (const MemberUpdate& update : draft.updates) builder.add(update);
  for (const replicated_state::QuotaMessage& message : draft.quota_messages)
    std::visit([&](const auto& content) { builder.add(content); }, message.content);
  // The content that follows must not overdraw the budget.
  builder.set_limit(static_cast<std::size_t>(std::clamp<std::int64_t>(available, 0, kMaxDatagramBytes)));
  if (draft.probe && draft.probe->type == Probe::Type::kPing) add_probe_hashes(now, builder);
  add_updates(builder, draft);
  add_entries(now, builder, draft);
  return builder.finish();
}

GossipNode::OutgoingDatagrams GossipNode::send(Time now, Drafts drafts) {
  OutgoingDatagrams out;
  for (const Draft& draft : drafts.all()) {
    const auto datagram = pack(now, draft);
    if (datagram && charge(now, *datagram, 1)) out.push_back({draft.to, *datagram});
  }
  return out;
}

// A broadcast is charged once for each receiver, even if a single send reaches all of them.
void GossipNode::broadcast_urgent(Time now, OutgoingDatagrams& out) {
  broadcast_at_.reset();
  const std::vector<Entry> urgent = entries_.send_queue(now, Delivery::kBroadcast);
  if (urgent.empty()) return;
  DatagramBuilder builder(next_sender());
  std::vector<replicated_state::EntryKey> packed;
  for (const Entry& entry : urgent) {
    if (builder.add(entry)) packed.push_back(entry.key);
  }
  const auto datagram = builder.finish();
  if (!datagram) return;
  const auto cost = static_cast<std::int64_t>(datagram->size()) * peer_count();
  const bool leaves_reserve = budget_.available(now) - cost >= options_.burst_bytes / kBurstReserveDivisor;
  if (!leaves_reserve || !charge(now, *datagram, peer_count())) {
    ++counts_.deferred;  // the entries are sent with the probes instead
    return;
  }
  for (const replicated_state::EntryKey& key : packed) entries_.mark_sent(key, Delivery::kBroadcast);
  out.push_back({std::nullopt, *datagram});
}

// Events.

GossipNode::OutgoingDatagrams GossipNode::start(Time now) {
  OutgoingDatagrams out;
  const auto datagram = DatagramBuilder(next_sender()).finish();
  if (!datagram) return out;
  const auto cost = static_cast<std::int64_t>(datagram->size()) * peer_count();
  if (cost <= budget_.available(now) && charge(now, *datagram, peer_count()))
    out.push_back({std::nullopt, *datagram});
  return out;
}

GossipNode::OutgoingDatagrams GossipNode::tick(Time now) {
  entries_.tick(now);
  Drafts drafts;
  drafts.add(members_.tick(now));
  apply_member_changes(now);
  drafts.add(quotas_.tick(now, members_.live_members()));
  OutgoingDatagrams out = send(now, std::move(drafts));
  broadcast_urgent(now, out);
  return out;
}

GossipNode::OutgoingDatagrams GossipNode::leave(Time now) {
  Drafts drafts;
  drafts.add(members_.leave());
  for (Draft& draft : drafts.all()) draft.updates = {members_.latest_update(options_.self)};
  return send(now, std::move(drafts));
}

Time GossipNode::next_deadline() const {
  Time earliest = members_.next_deadline();
  if (const auto quotas = quotas_.next_deadline()) earliest = std::min(earliest, *quotas);
  if (broadcast_at_) earliest = std::min(earliest, *broadcast_at_);
  return earliest;
}

bool GossipNode::set(Time now, std::uint32_t kind, std::uint64_t id, replicated_state::ByteView payload) {
  if (!entries_.set(now, kind, id, payload)) return false;
  if (!entries_.send_queue(now, Delivery::kBroadcast).empty()) broadcast_at_ = now;
  return true;
}

GossipNode::OutgoingDatagrams GossipNode::on_received(Time now, MemberIndex from,
                                                      std::span<const std::uint8_t> bytes) {
  if (from == options_.self) return {};  // a broadcast reaches its sender, too
  ++counts_.received;
  counts_.received_bytes += bytes.size();
  const auto decoded = decode(bytes, from, options_.tier, options_.member_count);
  if (const DropReason* reason = std::get_if<DropReason>(&decoded)) {
    count_drop(*reason);
    return {};
  }
  const Message& message = std::get<Message>(decoded);
  counts_.invalid_entries += message.invalid_entries;
  switch (replay_window_.check(from, message.sender.version.incarnation, message.sender.serial)) {
    case ReplayWindow::Result::kReplayed:
      count_drop(DropReason::kReplay);
      return {};
    case ReplayWindow::Result::kStaleIncarnation:
      count_drop(DropReason::kStaleIncarnation);
      return send(now, answer_stale(from, message));
    case ReplayWindow::Result::kNew:
      break;
  }
  Drafts drafts;
  accept(now, from, message, drafts);
  return send(now, std::move(drafts));
}

void GossipNode::accept(Time now, MemberIndex from, const Message& message, Drafts& drafts) {
  const MemberVersion& version = message.sender.version;
  drafts.add(members_.on_received(now, from, version, message.probe, message.updates));
  apply_member_changes(now);
  for (const Entry& entry : message.entries) entries_.merge(now, entry);
  drafts.add(
      quotas_.on_received(now, from, version.incarnation, message.requests, message.grants, message.returns));
  compare_views(from, message, drafts);
  reconcile_entries(now, from, message, drafts);
}

// A process whose clock was set back before it started has a lower incarnation than its predecessor. It is
// ignored until it adopts a higher one: the answer to its ping contains the incarnation to exceed, and all
// other messages from it are dropped.
Drafts GossipNode::answer_stale(MemberIndex from, const Message& message) const {
  Drafts drafts;
  if (!message.probe || message.probe->type != Probe::Type::kPing) return drafts;
  drafts.to(from).updates = {members_.latest_update(from)};
  return drafts;
}

void GossipNode::compare_views(MemberIndex from, const Message& message, Drafts& drafts) {
  if (!message.members_hash) return;
  const bool is_equal = *message.members_hash == members_.view_hash();
  drafts.to(from).view = is_equal ? ViewComparison::kEqual : ViewComparison::kDifferent;
  if (is_equal) members_.mark_view_agreed();
}

// Runs anti-entropy, which has three steps. A probe carries the hash of a group of owners. If the receiver's
// hash differs, it answers with the group's digests. A member that receives digests answers with the entries
// that their sender lacks, and with its own digests of the owners of which the sender has entries that this
// member lacks.
void GossipNode::reconcile_entries(Time now, MemberIndex from, const Message& message, Drafts& drafts) {
  if (message.group && *message.group < entries_.group_count() &&
      message.group_hash != entries_.group_hash(now, *message.group))
    drafts.to(from).digests = entries_.digests(now, *message.group, serial_);
  for (const Digest& theirs : message.digests) {
    const std::vector<Entry> missing = entries_.entries_missing_from(now, theirs);
    const bool is_behind = message.digest_role == DigestRole::kOffer && entries_.is_behind(now, theirs);
    if (missing.empty() && !is_behind) continue;
    Draft& draft = drafts.to(from);
    draft.entries.insert(draft.entries.end(), missing.begin(), missing.end());
    if (!is_behind) continue;
    draft.digests.push_back(entries_.digest(now, theirs.owner));
    draft.digest_role = DigestRole::kReply;
  }
}

void GossipNode::apply_member_changes(Time now) {
  for (const membership::MemberChange& change : members_.take_changes()) {
    if (change.member == options_.self) {
      const std::uint64_t incarnation = members_.version().incarnation;
      entries_.set_own_incarnation(incarnation);
      quotas_.set_own_incarnation(incarnation);
    } else {
      apply_peer_change(now, change);
    }
    if (observe_change_) observe_change_(change);
  }
}

void GossipNode::apply_peer_change(Time now, const membership::MemberChange& change) {
  const MemberIndex member = change.member;
  if (change.is_new_incarnation)
    entries_.adopt_incarnation(member, members_.latest_update(member).version.incarnation);
  const bool is_alive = change.after == MemberState::kAlive;
  const bool was_silent = change.before >= MemberState::kSuspect && !change.is_new_incarnation;
  if (is_alive) entries_.set_silent_since(member, std::nullopt);
  if (!is_alive && !was_silent) entries_.set_silent_since(member, now);
  if (change.is_new_incarnation || change.after == MemberState::kDead) quotas_.on_member_lost(member);
}

}  // namespace dispatcher::gossip
