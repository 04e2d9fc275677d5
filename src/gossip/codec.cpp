#include "gossip/codec.hpp"

#include <optional>
#include <utility>

#include "gossip/datagram.hpp"
#include "gossip/wire.pb.h"

namespace dispatcher::gossip {

namespace {

using membership::MemberState;
using std::chrono::milliseconds;

constexpr std::uint32_t kMaxProbeType = 3;   // nack, see wire.proto
constexpr std::uint32_t kMaxStateValue = 2;  // dead

bool is_valid_incarnation(std::uint64_t incarnation) {
  return incarnation != 0 && incarnation <= membership::kMaxIncarnation;
}

bool is_valid_version(std::uint64_t incarnation, std::uint32_t refutations) {
  return is_valid_incarnation(incarnation) && refutations <= membership::kMaxRefutations;
}

// Each from_wire() returns nullopt if a value exceeds its bounds.

std::optional<Probe> from_wire(const wire::Probe& probe, MemberIndex member_count) {
  if (probe.type() > kMaxProbeType || probe.target() >= member_count) return std::nullopt;
  return Probe{static_cast<Probe::Type>(probe.type()), probe.sequence(), probe.target()};
}

std::optional<MemberUpdate> from_wire(const wire::MemberUpdate& update, MemberIndex member_count) {
  if (update.member() >= member_count || update.accuser() >= member_count) return std::nullopt;
  if (!is_valid_version(update.incarnation(), update.refutations())) return std::nullopt;
  if (update.state() > kMaxStateValue) return std::nullopt;
  const auto state = static_cast<MemberState>(update.state() + 1);  // kUnknown is never sent
  return MemberUpdate{update.member(), {update.incarnation(), update.refutations()}, state, update.accuser()};
}

std::optional<Entry> from_wire(const wire::Entry& message, const Sender& sender, MemberIndex member_count) {
  Entry entry;
  entry.key = {message.kind(), message.id(), message.has_owner() ? message.owner() : sender.member};
  entry.incarnation = message.has_owner() ? message.incarnation() : sender.version.incarnation;
  if (entry.key.owner >= member_count || !is_valid_incarnation(entry.incarnation)) return std::nullopt;
  if (message.version() == 0 || message.version() > replicated_state::kMaxVersion) return std::nullopt;
  if (message.age() > kMaxAgeUnits) return std::nullopt;
  if (message.payload().size() > replicated_state::kMaxPayloadBytes) return std::nullopt;
  entry.version = message.version();
  entry.is_tombstone = message.is_tombstone();
  entry.age = message.age() * kAgeUnit;
  entry.payload.assign(message.payload().begin(), message.payload().end());
  return entry;
}

std::optional<Digest> from_wire(const wire::Digest& digest, MemberIndex member_count) {
  if (digest.owner() >= member_count) return std::nullopt;
  if (digest.max_version() > replicated_state::kMaxVersion) return std::nullopt;
  return Digest{digest.owner(), digest.max_version(), digest.hash()};
}

std::optional<QuotaRequest> from_wire(const wire::QuotaRequest& request) {
  if (request.sequence() == 0 || request.amount() == 0) return std::nullopt;
  if (request.amount() > replicated_state::kMaxAmount) return std::nullopt;
  return QuotaRequest{
      {request.kind(), request.key()}, request.sequence(), request.renews(), request.amount()};
}

std::optional<QuotaGrant> from_wire(const wire::QuotaGrant& grant) {
  const milliseconds lease(grant.lease_ms());
  if (grant.sequence() == 0 || grant.amount() > replicated_state::kMaxAmount) return std::nullopt;
  if (!is_valid_incarnation(grant.incarnation()) || lease > replicated_state::kMaxLease) return std::nullopt;
  return QuotaGrant{
      {grant.kind(), grant.key()}, grant.incarnation(), grant.sequence(), grant.amount(), lease};
}

std::optional<QuotaReturn> from_wire(const wire::QuotaReturn& returned) {
  if (returned.sequence() == 0) return std::nullopt;
  return QuotaReturn{{returned.kind(), returned.key()}, returned.sequence()};
}

// Appends the elements of the list that are within their bounds to `into`, and counts the others in
// `invalid_entries`.
template <class List, class T, class... Context>
void read_list(const List& list, std::vector<T>& into, unsigned& invalid_entries, const Context&... context) {
  for (const auto& message : list) {
    if (auto value = from_wire(message, context...)) {
      into.push_back(std::move(*value));
    } else {
      ++invalid_entries;
    }
  }
}

// Returns the reason to drop a datagram with an invalid header; nullopt if the header is valid.
std::optional<DropReason> check_header(const wire::Envelope& envelope, MemberIndex from, std::uint32_t tier,
                                       MemberIndex member_count) {
  if (envelope.protocol_version() != kProtocolVersion) return DropReason::kUnsupportedVersion;
  if (envelope.tier() != tier) return DropReason::kWrongTier;
  if (envelope.member_count() != member_count) return DropReason::kWrongCount;
  if (envelope.sender() != from || from >= member_count) return DropReason::kWrongSender;
  if (!is_valid_version(envelope.incarnation(), envelope.refutations())) return DropReason::kInvalid;
  if (envelope.serial() == 0) return DropReason::kInvalid;
  return std::nullopt;
}

}  // namespace

std::variant<Message, DropReason> decode(std::span<const std::uint8_t> bytes, MemberIndex from,
                                         std::uint32_t tier, MemberIndex member_count) {
  if (bytes.size() > kMaxDatagramBytes) return DropReason::kTooLong;
  wire::Envelope envelope;
  if (bytes.empty() || !envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return DropReason::kMalformed;
  if (const auto reason = check_header(envelope, from, tier, member_count)) return *reason;
  Message message;
  const MemberVersion version{envelope.incarnation(), envelope.refutations()};
  message.sender = {tier, member_count, from, version, envelope.serial()};
  if (envelope.has_probe()) {
    message.probe = from_wire(envelope.probe(), member_count);
    if (!message.probe) return DropReason::kInvalid;
  }
  if (envelope.members_hash() != 0) message.members_hash = envelope.members_hash();
  read_list(envelope.updates(), message.updates, message.invalid_entries, member_count);
  read_list(envelope.requests(), message.requests, message.invalid_entries);
  read_list(envelope.grants(), message.grants, message.invalid_entries);
  read_list(envelope.returns(), message.returns, message.invalid_entries);
  read_list(envelope.entries(), message.entries, message.invalid_entries, message.sender, member_count);
  read_list(envelope.digests(), message.digests, message.invalid_entries, member_count);
  if (envelope.is_digest_reply()) message.digest_role = DigestRole::kReply;
  if (envelope.group() != 0 && envelope.group() <= member_count) {
    message.group = envelope.group() - 1;
    message.group_hash = envelope.group_hash();
  }
  return message;
}

}  // namespace dispatcher::gossip
