#include "gossip/datagram_builder.hpp"

#include <algorithm>
#include <chrono>

#include "gossip/wire.pb.h"

namespace dispatcher::gossip {

namespace {

using membership::Duration;
using membership::MemberState;
using std::chrono::milliseconds;

// Sizes of encoded fields. A tag takes one byte for field numbers below 16, and two for higher ones.
constexpr std::size_t kShortTagBytes = 1;
constexpr std::size_t kLongTagBytes = 2;
constexpr std::size_t kFixed32Bytes = 4;
constexpr std::size_t kBoolBytes = 1;

std::size_t varint_size(std::uint64_t value) {
  std::size_t bytes = 1;
  while (value >>= 7U) ++bytes;
  return bytes;
}

// Returns the size of a message within the envelope, with its tag and its length.
std::size_t embedded_size(std::size_t content_bytes) {
  return kShortTagBytes + varint_size(content_bytes) + content_bytes;
}

wire::Probe to_wire(const Probe& probe) {
  wire::Probe message;
  message.set_type(static_cast<std::uint32_t>(probe.type));
  message.set_sequence(probe.sequence);
  message.set_target(probe.target);
  return message;
}

wire::MemberUpdate to_wire(const MemberUpdate& update) {
  wire::MemberUpdate message;
  message.set_member(update.member);
  message.set_incarnation(update.version.incarnation);
  message.set_refutations(update.version.refutations);
  message.set_state(static_cast<std::uint32_t>(update.state) - 1);  // kUnknown is never sent
  if (update.state == MemberState::kSuspect) message.set_accuser(update.accuser);
  return message;
}

wire::Entry to_wire(const Entry& entry, const Sender& sender) {
  wire::Entry message;
  if (entry.key.owner != sender.member || entry.incarnation != sender.version.incarnation) {
    message.set_owner(entry.key.owner);
    message.set_incarnation(entry.incarnation);
  }
  message.set_kind(entry.key.kind);
  message.set_id(entry.key.id);
  message.set_version(entry.version);
  const auto age_units = std::clamp<Duration::rep>(entry.age / kAgeUnit, 0, kMaxAgeUnits);
  message.set_age(static_cast<std::uint32_t>(age_units));
  message.set_payload(entry.payload.data(), entry.payload.size());
  message.set_is_tombstone(entry.is_tombstone);
  return message;
}

wire::Digest to_wire(const Digest& digest) {
  wire::Digest message;
  message.set_owner(digest.owner);
  message.set_max_version(digest.max_version);
  message.set_hash(digest.hash);
  return message;
}

// Makes a message about a quota, and sets the fields that all such messages have.
template <class WireMessage, class QuotaContent>
WireMessage quota_message(const QuotaContent& content) {
  WireMessage message;
  message.set_kind(content.budget.kind);
  message.set_key(content.budget.key);
  message.set_sequence(content.sequence);
  return message;
}

wire::QuotaRequest to_wire(const QuotaRequest& request) {
  auto message = quota_message<wire::QuotaRequest>(request);
  message.set_renews(request.renews);
  message.set_amount(request.amount);
  return message;
}

wire::QuotaGrant to_wire(const QuotaGrant& grant) {
  auto message = quota_message<wire::QuotaGrant>(grant);
  message.set_incarnation(grant.incarnation);
  message.set_amount(grant.amount);
  const auto lease = std::chrono::duration_cast<milliseconds>(grant.lease);
  message.set_lease_ms(static_cast<std::uint32_t>(lease.count()));
  return message;
}

wire::QuotaReturn to_wire(const QuotaReturn& returned) { return quota_message<wire::QuotaReturn>(returned); }

}  // namespace

struct DatagramBuilder::Content {
  Sender sender;
  wire::Envelope envelope;
  std::size_t size = 0;  // of the encoded envelope

  // Copies the message to the field of the envelope that `target` returns, if it fits within `max_bytes`.
  // Returns whether it does.
  template <class WireMessage, class Target>
  bool add(const WireMessage& message, std::size_t max_bytes, Target target) {
    const std::size_t more = embedded_size(message.ByteSizeLong());
    if (size + more > max_bytes) return false;
    size += more;
    *target(envelope) = message;
    return true;
  }
};

DatagramBuilder::DatagramBuilder(const Sender& sender) : content_(std::make_unique<Content>()) {
  content_->sender = sender;
  wire::Envelope& envelope = content_->envelope;
  envelope.set_protocol_version(kProtocolVersion);
  envelope.set_tier(sender.tier);
  envelope.set_member_count(sender.member_count);
  envelope.set_sender(sender.member);
  envelope.set_incarnation(sender.version.incarnation);
  envelope.set_refutations(sender.version.refutations);
  envelope.set_serial(sender.serial);
  content_->size = envelope.ByteSizeLong();
}

DatagramBuilder::~DatagramBuilder() = default;
DatagramBuilder::DatagramBuilder(DatagramBuilder&&) noexcept = default;

std::size_t DatagramBuilder::size() const { return content_->size; }

void DatagramBuilder::set_limit(std::size_t max_bytes) {
  max_bytes_ = std::clamp(max_bytes, size(), kMaxDatagramBytes);
}

bool DatagramBuilder::add(const Probe& probe) {
  return content_->add(to_wire(probe), max_bytes_, [](auto& envelope) { return envelope.mutable_probe(); });
}

bool DatagramBuilder::add_members_hash(std::uint32_t hash) {
  const std::size_t more = kShortTagBytes + kFixed32Bytes;
  if (hash == 0 || !fits(more)) return false;
  content_->envelope.set_members_hash(hash);
  content_->size += more;
  return true;
}

bool DatagramBuilder::add_group(MemberIndex group, std::uint32_t hash) {
  const std::size_t hash_bytes = hash != 0 ? kLongTagBytes + kFixed32Bytes : 0;
  const std::size_t more = kLongTagBytes + varint_size(group + 1) + hash_bytes;
  if (!fits(more)) return false;
  content_->envelope.set_group(group + 1);
  content_->envelope.set_group_hash(hash);
  content_->size += more;
  return true;
}

bool DatagramBuilder::add(const MemberUpdate& update) {
  return content_->add(to_wire(update), max_bytes_, [](auto& envelope) { return envelope.add_updates(); });
}

bool DatagramBuilder::add(const QuotaRequest& request) {
  return content_->add(to_wire(request), max_bytes_, [](auto& envelope) { return envelope.add_requests(); });
}

bool DatagramBuilder::add(const QuotaGrant& grant) {
  return content_->add(to_wire(grant), max_bytes_, [](auto& envelope) { return envelope.add_grants(); });
}

bool DatagramBuilder::add(const QuotaReturn& returned) {
  return content_->add(to_wire(returned), max_bytes_, [](auto& envelope) { return envelope.add_returns(); });
}

bool DatagramBuilder::add(const Entry& entry) {
  return content_->add(to_wire(entry, content_->sender), max_bytes_,
                       [](auto& envelope) { return envelope.add_entries(); });
}

bool DatagramBuilder::add(const Digest& digest, DigestRole role) {
  const bool needs_flag = role == DigestRole::kReply && !content_->envelope.is_digest_reply();
  const std::size_t flag_bytes = needs_flag ? kLongTagBytes + kBoolBytes : 0;
  if (!fits(flag_bytes)) return false;
  const bool is_added = content_->add(to_wire(digest), max_bytes_ - flag_bytes,
                                      [](auto& envelope) { return envelope.add_digests(); });
  if (!is_added) return false;
  if (needs_flag) content_->envelope.set_is_digest_reply(true);
  content_->size += flag_bytes;
  return true;
}

std::optional<Datagram> DatagramBuilder::finish() const {
  const wire::Envelope& envelope = content_->envelope;
  // ByteSizeLong() caches the sizes that the serialization uses.
  return Datagram::create(envelope.ByteSizeLong(), [&](std::span<std::uint8_t> bytes) {
    envelope.SerializeWithCachedSizesToArray(bytes.data());
  });
}

}  // namespace dispatcher::gossip
