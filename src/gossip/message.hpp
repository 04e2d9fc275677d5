// The content of a datagram between dispatchers, and the reasons to drop one. wire.proto defines its format.
#ifndef DISPATCHER_GOSSIP_MESSAGE_HPP_
#define DISPATCHER_GOSSIP_MESSAGE_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "membership/member.hpp"
#include "replicated_state/quota.hpp"
#include "replicated_state/replicated_map.hpp"

namespace dispatcher::gossip {

using membership::MemberIndex;
using membership::MemberUpdate;
using membership::MemberVersion;
using membership::Probe;
using replicated_state::Digest;
using replicated_state::Entry;
using replicated_state::QuotaGrant;
using replicated_state::QuotaRequest;
using replicated_state::QuotaReturn;

// Raised by changes that old receivers would misread.
inline constexpr std::uint32_t kProtocolVersion = 1;
inline constexpr std::chrono::milliseconds kAgeUnit{10};           // the unit of ages on the wire
inline constexpr std::uint32_t kMaxAgeUnits = 24U * 3600U * 100U;  // one day, in units of kAgeUnit

// The role of digests in the anti-entropy exchange. A receiver answers an offer with entries and with its own
// digests as a reply. It answers a reply with entries only, so that the exchange ends.
enum class DigestRole : std::uint8_t { kOffer, kReply };

// The header of a datagram. All fields except the serial number describe the sender.
struct Sender {
  std::uint32_t tier = 0;
  MemberIndex member_count = 0;
  MemberIndex member = 0;
  MemberVersion version;
  std::uint32_t serial = 0;
};

// A decoded datagram. All entries are within their bounds.
struct Message {
  Sender sender;
  std::optional<Probe> probe;
  std::optional<std::uint32_t> members_hash;  // hash of the sender's view; see MemberTable::view_hash()
  std::vector<MemberUpdate> updates;
  std::vector<QuotaRequest> requests;
  std::vector<QuotaGrant> grants;
  std::vector<QuotaReturn> returns;
  std::vector<Entry> entries;
  std::vector<Digest> digests;
  DigestRole digest_role = DigestRole::kOffer;
  std::optional<MemberIndex> group;  // the group of owners that group_hash covers
  std::uint32_t group_hash = 0;      // hash of the entries of the group's owners
  unsigned invalid_entries = 0;      // parts of the datagram that were skipped as invalid
};

// Why a datagram was dropped.
enum class DropReason : std::uint8_t {
  kTooLong,             // longer than kMaxDatagramBytes
  kMalformed,           // not an Envelope of wire.proto
  kUnsupportedVersion,  // its protocol version is not kProtocolVersion
  kWrongTier,
  kWrongCount,      // its member count differs from this process's
  kWrongSender,     // its sender is not the member that its source address belongs to
  kUnknownAddress,  // its source address belongs to no member
  kInvalid,         // a field of its header or its probe exceeds its bounds
  kStaleIncarnation,
  kReplay,  // its serial number was seen before, or is below the replay window
};
inline constexpr std::size_t kDropReasonCount = 10;

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_MESSAGE_HPP_
