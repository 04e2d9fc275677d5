// What a datagram between dispatchers says, and why one is dropped. wire.proto has its format.
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

inline constexpr std::uint32_t kProtocolVersion = 1;               // raised when old readers would misread
inline constexpr std::chrono::milliseconds kAgeUnit{10};           // of ages on the wire
inline constexpr std::uint32_t kMaxAgeUnits = 24U * 3600U * 100U;  // a day

// The head of a datagram: the same on all of a process, but for the serial number.
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
  std::optional<std::uint32_t> members_hash;
  std::vector<MemberUpdate> updates;
  std::vector<QuotaRequest> requests;
  std::vector<QuotaGrant> grants;
  std::vector<QuotaReturn> returns;
  std::vector<Entry> entries;
  std::vector<Digest> digests;
  bool is_digest_reply = false;  // the digests answer ours: they are not answered with more of them
  std::optional<MemberIndex> group;
  std::uint32_t group_hash = 0;
  unsigned invalid_entries = 0;  // that were skipped
};

// Why a datagram was dropped.
enum class DropReason : std::uint8_t {
  kTooLong,
  kMalformed,
  kUnsupportedVersion,
  kWrongTier,
  kWrongCount,
  kWrongSender,
  kUnknownAddress,
  kInvalid,
  kStaleIncarnation,
  kReplay
};
inline constexpr std::size_t kDropReasonCount = 10;

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_MESSAGE_HPP_
