#include "gossip/gossip_node.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::gossip {

namespace {

using membership::MemberState;

// Answers to probes may be sent on credit of a second's bytes: silence would be taken for death.
std::int64_t credit(const Options& options) { return options.bytes_per_second; }
constexpr std::int64_t kReserve = 4;  // datagrams to all leave this part of the burst
constexpr std::size_t kPage = 16;     // claims of a page, at most

membership::Random random(std::uint64_t seed, std::uint64_t stream) {
  const std::uint64_t mixed = (seed ^ (stream * 0x9E3779B97F4A7C15U)) * 0xBF58476D1CE4E5B9U;
  return membership::Random(static_cast<std::uint32_t>(mixed >> 32U));
}

}  // namespace

GossipNode::GossipNode(const Options& options, const replicated_state::Kinds& kinds, std::uint64_t life,
                       std::uint64_t seed, Time now)
    : options_(options),
      members_(options.swim, options.self, options.count, life, now, random(seed, 1)),
      rows_(kinds, options.self, options.count, life, options.rows),
      rights_(options.rights, options.self, options.count, life, now, random(seed, 2)),
      budget_(options.bytes_per_second, options.burst_bytes, credit(options), now),
      replays_(options.count) {}

// Each datagram.

Sender GossipNode::next_sender() {
  return {options_.tier, options_.count, options_.self, members_.incarnation(), ++serial_};
}

bool GossipNode::pay(Time now, const Datagram& datagram, std::int64_t receivers) {
  const auto bytes = static_cast<std::int64_t>(datagram.size()) * receivers;
  if (!budget_.spend(now, bytes)) {
    ++counts_.held_back;
    return false;
  }
  counts_.sent += static_cast<std::uint64_t>(receivers);
  counts_.sent_bytes += static_cast<std::uint64_t>(bytes);
  return true;
}

void GossipNode::pack_core(Packer& packer, const Draft& draft) {
  if (draft.probe) packer.add(*draft.probe);
  for (const MemberUpdate& claim : draft.claims) packer.add(claim);
  for (const replicated_state::Transfer& transfer : draft.transfers)
    std::visit([&](const auto& what) { packer.add(what); }, transfer.what);
}

void GossipNode::fill(Time now, Packer& packer, const Draft& draft) {
  if (draft.probe && draft.probe->type == Probe::Type::kPing) {
    packer.add_members_hash(members_.summary());
    const Number group = group_ = (group_ + 1) % rows_.groups();
    packer.add_group(group, rows_.group_hash(now, group));
  }
  for (const MemberUpdate& claim : members_.queue(draft.to, draft.agreed)) {
    if (packer.add(claim)) members_.sent(claim.about);
  }
  if (draft.page) {
    const std::size_t whole = packer.room();
    for (const MemberUpdate& claim : members_.page(kPage)) {
      if (packer.room() > whole / 2) packer.add(claim);  // the rest is for rows
    }
  }
  for (const Summary& summary : draft.summaries) packer.add(summary, draft.reply);
  for (const Row& row : draft.rows) packer.add(row);
  for (const Row& row : rows_.queue(now)) {
    if (row.place.owner != draft.to && packer.add(row)) rows_.sent(row.place);
  }
}

void GossipNode::pack(Time now, const Draft& draft, Sent& out) {
  const std::int64_t left = budget_.left(now);
  if (!draft.needed() && draft.claims.empty() && left < static_cast<std::int64_t>(kMaxBytes)) {
    ++counts_.held_back;
    return;
  }
  Packer packer(next_sender());
  pack_core(packer, draft);
  packer.limit(static_cast<std::size_t>(std::clamp<std::int64_t>(left, 0, kMaxBytes)));
  fill(now, packer, draft);
  auto datagram = packer.finish();
  if (datagram && pay(now, *datagram, 1)) out.push_back({draft.to, *datagram});
}

GossipNode::Sent GossipNode::carry_out(Time now, std::vector<Draft> drafts) {
  Sent out;
  for (const Draft& draft : drafts) pack(now, draft, out);
  return out;
}

GossipNode::Draft& GossipNode::draft_for(std::vector<Draft>& drafts, Number to) {
  for (Draft& draft : drafts) {
    if (draft.to == to) return draft;
  }
  drafts.emplace_back();
  drafts.back().to = to;
  return drafts.back();
}

void GossipNode::add(std::vector<Draft>& drafts, const std::vector<membership::Sending>& sendings) {
  for (const membership::Sending& sending : sendings) {
    drafts.emplace_back();  // one probe a datagram
    drafts.back().to = sending.to;
    drafts.back().probe = sending.probe;
  }
}

void GossipNode::add(std::vector<Draft>& drafts, const std::vector<replicated_state::Transfer>& transfers) {
  for (const replicated_state::Transfer& transfer : transfers) {
    Draft& draft = draft_for(drafts, transfer.to);
    // A core of a probe and four transfers stays within a datagram.
    if (draft.transfers.size() < 4) {
      draft.transfers.push_back(transfer);
    } else {
      drafts.emplace_back();
      drafts.back().to = transfer.to;
      drafts.back().transfers.push_back(transfer);
    }
  }
}

// To everybody: only where there is one address or many, the price is the same.
void GossipNode::tell_all(Time now, Sent& out) {
  soon_.reset();
  const std::vector<Row> urgent = rows_.queue(now, true);
  if (urgent.empty()) return;
  Packer packer(next_sender());
  std::vector<replicated_state::Place> told;
  for (const Row& row : urgent) {
    if (packer.add(row)) told.push_back(row.place);
  }
  const auto datagram = packer.finish();
  const auto receivers = static_cast<std::int64_t>(options_.count - 1);
  if (!datagram) return;
  const auto cost = static_cast<std::int64_t>(datagram->size()) * receivers;
  if (budget_.left(now) - cost < options_.burst_bytes / kReserve || !pay(now, *datagram, receivers)) {
    ++counts_.held_back;  // it goes round with the probes
    return;
  }
  for (const replicated_state::Place& place : told) rows_.sent(place, true);
  out.push_back({std::nullopt, *datagram});
}

// Events.

GossipNode::Sent GossipNode::start(Time now) {
  Sent out;
  const auto datagram = Packer(next_sender()).finish();
  const auto receivers = static_cast<std::int64_t>(options_.count - 1);
  const bool room = datagram && static_cast<std::int64_t>(datagram->size()) * receivers <= budget_.left(now);
  if (room && pay(now, *datagram, receivers)) out.push_back({std::nullopt, *datagram});
  return out;
}

GossipNode::Sent GossipNode::tick(Time now) {
  rows_.tick(now);
  std::vector<Draft> drafts;
  add(drafts, members_.tick(now));
  follow_changes(now);
  add(drafts, rights_.tick(now, members_.living()));
  Sent out = carry_out(now, std::move(drafts));
  tell_all(now, out);
  return out;
}

GossipNode::Sent GossipNode::leave(Time now) {
  std::vector<Draft> drafts;
  add(drafts, members_.leave());
  for (Draft& draft : drafts) draft.claims = {members_.claim(options_.self)};
  return carry_out(now, std::move(drafts));
}

Time GossipNode::next() const {
  Time at = members_.next();
  if (const auto rights = rights_.next()) at = std::min(at, *rights);
  if (soon_) at = std::min(at, *soon_);
  return at;
}

bool GossipNode::set(Time now, std::uint32_t kind, std::uint64_t key, replicated_state::Bytes payload) {
  if (!rows_.set(now, kind, key, payload)) return false;
  if (!rows_.queue(now, true).empty()) soon_ = now;
  return true;
}

GossipNode::Sent GossipNode::received(Time now, Number from, std::span<const std::uint8_t> bytes) {
  if (from == options_.self) return {};  // what went to everybody comes back
  ++counts_.received;
  counts_.received_bytes += bytes.size();
  auto read = decode(bytes, from, options_.tier, options_.count);
  if (const Drop* why = std::get_if<Drop>(&read)) {
    drop(*why);
    return {};
  }
  const Message& message = std::get<Message>(read);
  counts_.absurd += message.absurd;
  switch (replays_.see(from, message.sender.incarnation.life, message.sender.serial)) {
    case ReplayWindow::Seen::kBefore:
      drop(Drop::kReplay);
      return {};
    case ReplayWindow::Seen::kOldLife:
      drop(Drop::kOldLife);
      return carry_out(now, outdated(from, message));
    case ReplayWindow::Seen::kNew:
      break;
  }
  std::vector<Draft> drafts;
  add(drafts, members_.received(now, from, message.sender.incarnation, message.probe, message.claims));
  follow_changes(now);
  for (const Row& row : message.rows) rows_.merge(now, row);
  add(drafts, rights_.received(now, from, message.sender.incarnation.life, message.asks, message.grants,
                               message.returns));
  compare(now, from, message, drafts);
  return carry_out(now, std::move(drafts));
}

// A process that starts on a clock that was set back is not heard until it knows of its later life. It is
// told with an answer to its ping, and takes nothing else from it.
std::vector<GossipNode::Draft> GossipNode::outdated(Number from, const Message& message) {
  if (!message.probe || message.probe->type != Probe::Type::kPing) return {};
  Draft draft;
  draft.to = from;
  draft.claims = {members_.claim(from)};
  return {draft};
}

void GossipNode::compare(Time now, Number from, const Message& message, std::vector<Draft>& drafts) {
  if (message.members_hash) {
    Draft& draft = draft_for(drafts, from);
    draft.agreed = *message.members_hash == members_.summary();
    draft.page = !draft.agreed;
    if (draft.agreed) members_.agreed();
  }
  if (message.group && *message.group < rows_.groups() &&
      message.group_hash != rows_.group_hash(now, *message.group))
    draft_for(drafts, from).summaries = rows_.summaries(now, *message.group, serial_);
  for (const Summary& theirs : message.summaries) {
    const auto lacking = rows_.lacking(now, theirs);
    const bool behind = !message.reply && rows_.behind(now, theirs);
    if (lacking.empty() && !behind) continue;
    Draft& draft = draft_for(drafts, from);
    draft.rows.insert(draft.rows.end(), lacking.begin(), lacking.end());
    if (!behind) continue;
    draft.summaries.push_back(rows_.summary(now, theirs.owner));
    draft.reply = true;
  }
}

void GossipNode::follow_changes(Time now) {
  for (const membership::Change& change : members_.take_changes()) {
    const std::uint64_t life = members_.claim(change.member).incarnation.life;
    if (change.member == options_.self) {
      rows_.own_life(now, life);
      rights_.own_life(life);
    } else {
      if (change.new_life) rows_.adopt_life(change.member, life);
      const bool heard = change.after == MemberState::kAlive;
      const bool was_silent = change.before >= MemberState::kSuspect && !change.new_life;
      if (heard) rows_.silent(change.member, std::nullopt);
      if (!heard && !was_silent) rows_.silent(change.member, now);
      if (change.new_life || change.after == MemberState::kDead) rights_.lost(change.member);
    }
    if (on_change_) on_change_(change);
  }
}

}  // namespace dispatcher::gossip
