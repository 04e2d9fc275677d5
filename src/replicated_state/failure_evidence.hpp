// A member's evidence that an endpoint fails: how many of its latest attempts there failed. Only a hint to
// other members, which weigh it by its age and by how long its owner has been silent.
#ifndef DISPATCHER_REPLICATED_STATE_FAILURE_EVIDENCE_HPP_
#define DISPATCHER_REPLICATED_STATE_FAILURE_EVIDENCE_HPP_

#include <cstdint>
#include <optional>
#include <vector>

#include "replicated_state/entry_kinds.hpp"

namespace dispatcher::replicated_state {

inline constexpr std::uint32_t kFailureEvidenceKind = 1;  // its id on the wire
inline constexpr std::uint32_t kMaxAttempts = 1000;       // keeps the payload within max_payload_bytes

// The payload of one entry, whose id is entry_id(the endpoint's name).
struct FailureEvidence {
  std::uint32_t failed_attempts = 0;  // at most `attempts`
  std::uint32_t attempts = 0;         // from 1 to kMaxAttempts
};

// The kind to register.
[[nodiscard]] EntryKind failure_evidence_kind();
// The payload, of at most max_payload_bytes of the kind for values within their bounds.
[[nodiscard]] std::vector<std::uint8_t> encode(const FailureEvidence& evidence);
// None: not a message of this kind, or beyond its bounds.
[[nodiscard]] std::optional<FailureEvidence> decode_failure_evidence(ByteView payload);

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_FAILURE_EVIDENCE_HPP_
