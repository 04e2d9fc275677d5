// The content of a datagram between dispatchers, and the reasons to drop one. wire.proto has its format.
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

inline constexpr std::uint32_t kProtocolVersion = 1;               // raised when old receivers would misread
inline constexpr std::chrono::milliseconds kAgeUnit{10};           // of ages on the wire
inline constexpr std::uint32_t kMaxAgeUnits = 24U * 3600U * 100U;  // a day

// A step of the anti-entropy exchange: an offer of digests is answered with entries and with a reply of
// digests; a reply is answered with entries only, so that the exchange ends.
enum class DigestRole : std::uint8_t { kOffer, kReply };

// The header of a datagram: the same in all datagrams of a process, except for the serial number.
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
  std::optional<std::uint32_t> members_hash;  // of the sender's view, see MemberTable::view_hash()
  std::vector<MemberUpdate> updates;
  std::vector<QuotaRequest> requests;
  std::vector<QuotaGrant> grants;
  std::vector<QuotaReturn> returns;
  std::vector<Entry> entries;
  std::vector<Digest> digests;
  DigestRole digest_role = DigestRole::kOffer;
  std::optional<MemberIndex> group;  // a group of owners, whose hash of entries follows
  std::uint32_t group_hash = 0;
  unsigned invalid_entries = 0;  // that were skipped
};

// Why a datagram was dropped.
enum class DropReason : std::uint8_t {
  kTooLong,             // above kMaxDatagramBytes
  kMalformed,           // not an Envelope of wire.proto
  kUnsupportedVersion,  // not kProtocolVersion
  kWrongTier,
  kWrongCount,      // another count of members than this process's
  kWrongSender,     // not the member whose address it was received from
  kUnknownAddress,  // received from an address that is no member's
  kInvalid,         // its header or its probe exceeds its bounds
  kStaleIncarnation,
  kReplay,  // its serial number was seen before, or is below the replay window
};
inline constexpr std::size_t kDropReasonCount = 10;

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_MESSAGE_HPP_
