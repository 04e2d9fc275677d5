// A member's evidence that an endpoint fails: how many of the member's latest attempts there failed. It is
// only a hint to other members, which weight it by its age and by how long its owner has been silent.
#ifndef DISPATCHER_REPLICATED_STATE_FAILURE_EVIDENCE_HPP_
#define DISPATCHER_REPLICATED_STATE_FAILURE_EVIDENCE_HPP_

#include <cstdint>
#include <optional>
#include <vector>

#include "replicated_state/entry_kinds.hpp"

namespace dispatcher::replicated_state {

inline constexpr std::uint32_t kFailureEvidenceKind = 1;  // the kind's id on the wire
inline constexpr std::uint32_t kMaxAttempts = 1000;       // keeps the payload within max_payload_bytes

// The payload of one entry. The entry's id is entry_id() of the endpoint's name.
struct FailureEvidence {
  std::uint32_t failed_attempts = 0;  // at most `attempts`
  std::uint32_t attempts = 0;         // from 1 to kMaxAttempts
};

// Returns the kind to register.
[[nodiscard]] EntryKind failure_evidence_kind();
// Encodes the payload. It has at most the kind's max_payload_bytes if the values are within their bounds.
[[nodiscard]] std::vector<std::uint8_t> encode(const FailureEvidence& evidence);
// Decodes the payload. Returns nullopt if it is not a message of this kind or its values exceed their bounds.
[[nodiscard]] std::optional<FailureEvidence> decode_failure_evidence(ByteView payload);

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_FAILURE_EVIDENCE_HPP_
