#include "gossip/codec.hpp"

#include <algorithm>
#include <utility>

#include "gossip/wire.pb.h"

namespace dispatcher::gossip {

namespace {

using membership::Duration;
using membership::MemberState;
using std::chrono::milliseconds;

constexpr auto kAgeUnit = milliseconds(10);
constexpr std::uint32_t kMaxAge = 24 * 3600 * 100;  // in its unit: a day

std::size_t varint(std::uint64_t value) {
  std::size_t bytes = 1;
  while (value >>= 7U) ++bytes;
  return bytes;
}
// An entry of a list with a field number below 16: tag, length, content.
std::size_t entry(std::size_t content) { return 1 + varint(content) + content; }

wire::Probe to_wire(const Probe& probe) {
  wire::Probe w;
  w.set_type(static_cast<std::uint32_t>(probe.type));
  w.set_sequence(probe.sequence);
  w.set_target(probe.target);
  return w;
}

wire::Claim to_wire(const MemberUpdate& claim) {
  wire::Claim w;
  w.set_about(claim.about);
  w.set_life(claim.incarnation.life);
  w.set_refuted(claim.incarnation.refuted);
  w.set_standing(static_cast<std::uint32_t>(claim.standing) - 1);
  if (claim.standing == MemberState::kSuspect) w.set_by(claim.by);
  return w;
}

wire::Row to_wire(const Row& row, const Sender& sender) {
  wire::Row w;
  if (row.place.owner != sender.number || row.life != sender.incarnation.life) {
    w.set_owner(row.place.owner);
    w.set_life(row.life);
  }
  w.set_kind(row.place.kind);
  w.set_key(row.place.key);
  w.set_version(row.version);
  w.set_age(static_cast<std::uint32_t>(std::clamp<Duration::rep>(row.age / kAgeUnit, 0, kMaxAge)));
  w.set_payload(row.payload.data(), row.payload.size());
  w.set_gone(row.gone);
  return w;
}

wire::Summary to_wire(const Summary& summary) {
  wire::Summary w;
  w.set_owner(summary.owner);
  w.set_top(summary.top);
  w.set_hash(summary.hash);
  return w;
}

wire::Ask to_wire(const replicated_state::Ask& ask) {
  wire::Ask w;
  w.set_kind(ask.whole.kind);
  w.set_key(ask.whole.key);
  w.set_sequence(ask.sequence);
  w.set_renews(ask.renews);
  w.set_amount(ask.amount);
  return w;
}

wire::Grant to_wire(const replicated_state::Grant& grant) {
  wire::Grant w;
  w.set_kind(grant.whole.kind);
  w.set_key(grant.whole.key);
  w.set_life(grant.life);
  w.set_sequence(grant.sequence);
  w.set_amount(grant.amount);
  w.set_lease_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(grant.lease).count()));
  return w;
}

wire::Return to_wire(const replicated_state::Return& back) {
  wire::Return w;
  w.set_kind(back.whole.kind);
  w.set_key(back.whole.key);
  w.set_sequence(back.sequence);
  return w;
}

bool bad_life(std::uint64_t life) { return life == 0 || life > membership::kMaxLife; }

std::optional<Probe> from_wire(const wire::Probe& w, Number count) {
  if (w.type() > 3 || w.target() >= count) return std::nullopt;
  return Probe{static_cast<Probe::Type>(w.type()), w.sequence(), w.target()};
}

std::optional<MemberUpdate> from_wire(const wire::Claim& w, Number count) {
  if (w.about() >= count || w.by() >= count || bad_life(w.life()) || w.refuted() > membership::kMaxRefuted ||
      w.standing() > 2)
    return std::nullopt;
  return MemberUpdate{w.about(), {w.life(), w.refuted()}, static_cast<MemberState>(w.standing() + 1), w.by()};
}

std::optional<Row> from_wire(const wire::Row& w, const Sender& sender, Number count) {
  Row row;
  row.place = {w.kind(), w.key(), w.has_owner() ? w.owner() : sender.number};
  row.life = w.has_owner() ? w.life() : sender.incarnation.life;
  if (row.place.owner >= count || bad_life(row.life) || w.version() == 0 ||
      w.version() > replicated_state::kMaxVersion || w.age() > kMaxAge ||
      w.payload().size() > replicated_state::kMaxPayload)
    return std::nullopt;
  row.version = w.version();
  row.gone = w.gone();
  row.age = w.age() * kAgeUnit;
  row.payload.assign(w.payload().begin(), w.payload().end());
  return row;
}

std::optional<Summary> from_wire(const wire::Summary& w, Number count) {
  if (w.owner() >= count || w.top() > replicated_state::kMaxVersion) return std::nullopt;
  return Summary{w.owner(), w.top(), w.hash()};
}

std::optional<replicated_state::Ask> from_wire(const wire::Ask& w) {
  if (w.sequence() == 0 || w.amount() == 0 || w.amount() > replicated_state::kMaxAmount) return std::nullopt;
  return replicated_state::Ask{{w.kind(), w.key()}, w.sequence(), w.renews(), w.amount()};
}

std::optional<replicated_state::Grant> from_wire(const wire::Grant& w) {
  if (w.sequence() == 0 || w.amount() > replicated_state::kMaxAmount || bad_life(w.life()) ||
      milliseconds(w.lease_ms()) > replicated_state::kMaxLease)
    return std::nullopt;
  return replicated_state::Grant{
      {w.kind(), w.key()}, w.life(), w.sequence(), w.amount(), milliseconds(w.lease_ms())};
}

std::optional<replicated_state::Return> from_wire(const wire::Return& w) {
  if (w.sequence() == 0) return std::nullopt;
  return replicated_state::Return{{w.kind(), w.key()}, w.sequence()};
}

// Takes a list's entries that are within their bounds.
template <class Wire, class T, class... Context>
void take(const Wire& list, std::vector<T>& into, unsigned& absurd, const Context&... context) {
  for (const auto& w : list) {
    if (auto read = from_wire(w, context...)) {
      into.push_back(std::move(*read));
    } else {
      ++absurd;
    }
  }
}

}  // namespace

const char* name(Drop drop) {
  static constexpr const char* kNames[kDrops] = {"too_long", "garbage", "format",          "tier",
                                                 "count",    "sender",  "unknown_address", "absurd",
                                                 "old_life", "replay"};
  return kNames[static_cast<std::size_t>(drop)];
}

std::variant<Message, Drop> decode(std::span<const std::uint8_t> bytes, Number from, std::uint32_t tier,
                                   Number count) {
  if (bytes.size() > kMaxBytes) return Drop::kTooLong;
  wire::Envelope e;
  if (bytes.empty() || !e.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return Drop::kGarbage;
  if (e.version() != kVersion) return Drop::kFormat;
  if (e.tier() != tier) return Drop::kTier;
  if (e.count() != count) return Drop::kCount;
  if (e.sender() != from || from >= count) return Drop::kSender;
  if (bad_life(e.life()) || e.refuted() > membership::kMaxRefuted || e.serial() == 0) return Drop::kAbsurd;
  Message m;
  m.sender = {tier, count, from, {e.life(), e.refuted()}, e.serial()};
  if (e.has_probe()) {
    m.probe = from_wire(e.probe(), count);
    if (!m.probe) return Drop::kAbsurd;
  }
  if (e.members_hash() != 0) m.members_hash = e.members_hash();
  take(e.claims(), m.claims, m.absurd, count);
  take(e.asks(), m.asks, m.absurd);
  take(e.grants(), m.grants, m.absurd);
  take(e.returns(), m.returns, m.absurd);
  take(e.rows(), m.rows, m.absurd, m.sender, count);
  take(e.summaries(), m.summaries, m.absurd, count);
  m.reply = e.reply();
  if (e.group() != 0 && e.group() <= count) {
    m.group = e.group() - 1;
    m.group_hash = e.group_hash();
  }
  return m;
}

struct Packer::Content {
  Sender sender;
  wire::Envelope envelope;
  std::size_t size = 0;  // of the envelope as it would be written
};

Packer::Packer(const Sender& sender) : content_(std::make_unique<Content>()) {
  content_->sender = sender;
  wire::Envelope& e = content_->envelope;
  e.set_version(kVersion);
  e.set_tier(sender.tier);
  e.set_count(sender.count);
  e.set_sender(sender.number);
  e.set_life(sender.incarnation.life);
  e.set_refuted(sender.incarnation.refuted);
  e.set_serial(sender.serial);
  content_->size = e.ByteSizeLong();
}
Packer::~Packer() = default;
Packer::Packer(Packer&&) noexcept = default;

std::size_t Packer::size() const { return content_->size; }

void Packer::limit(std::size_t maximum) { max_ = std::clamp(maximum, size(), kMaxBytes); }

namespace {
// Moves the entry into its list, where it fits.
template <class Wire, class Add>
bool place(const Wire& wire, std::size_t& size, std::size_t maximum, Add add) {
  const std::size_t more = entry(wire.ByteSizeLong());
  if (size + more > maximum) return false;
  size += more;
  *add() = wire;
  return true;
}
}  // namespace

bool Packer::add(const Probe& probe) {
  return place(to_wire(probe), content_->size, max_, [&] { return content_->envelope.mutable_probe(); });
}
bool Packer::add_members_hash(std::uint32_t hash) {
  if (hash == 0 || !fits(5)) return false;
  content_->envelope.set_members_hash(hash);
  content_->size += 5;
  return true;
}
bool Packer::add_group(Number group, std::uint32_t hash) {
  const std::size_t more = 2 + varint(group + 1) + (hash != 0 ? 6 : 0);
  if (!fits(more)) return false;
  content_->envelope.set_group(group + 1);
  content_->envelope.set_group_hash(hash);
  content_->size += more;
  return true;
}
bool Packer::add(const MemberUpdate& claim) {
  return place(to_wire(claim), content_->size, max_, [&] { return content_->envelope.add_claims(); });
}
bool Packer::add(const replicated_state::Ask& ask) {
  return place(to_wire(ask), content_->size, max_, [&] { return content_->envelope.add_asks(); });
}
bool Packer::add(const replicated_state::Grant& grant) {
  return place(to_wire(grant), content_->size, max_, [&] { return content_->envelope.add_grants(); });
}
bool Packer::add(const replicated_state::Return& back) {
  return place(to_wire(back), content_->size, max_, [&] { return content_->envelope.add_returns(); });
}
bool Packer::add(const Row& row) {
  return place(to_wire(row, content_->sender), content_->size, max_,
               [&] { return content_->envelope.add_rows(); });
}
bool Packer::add(const Summary& summary, bool reply) {
  const std::size_t mark = reply && !content_->envelope.reply() ? 3 : 0;
  if (!fits(mark)) return false;
  if (!place(to_wire(summary), content_->size, max_ - mark,
             [&] { return content_->envelope.add_summaries(); }))
    return false;
  if (mark > 0) content_->envelope.set_reply(true);
  content_->size += mark;
  return true;
}

std::optional<Datagram> Packer::finish() const {
  const wire::Envelope& e = content_->envelope;
  // Asked once more, as protobuf writes by its own reckoning.
  return Datagram::of(e.ByteSizeLong(),
                      [&](std::span<std::uint8_t> room) { e.SerializeWithCachedSizesToArray(room.data()); });
}

}  // namespace dispatcher::gossip
