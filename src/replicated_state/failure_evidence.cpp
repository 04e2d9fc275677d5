#include "replicated_state/failure_evidence.hpp"

#include "replicated_state/payloads.pb.h"

namespace dispatcher::replicated_state {

std::vector<std::uint8_t> encode(const FailureEvidence& evidence) {
  wire::FailureEvidence message;
  message.set_failed_attempts(evidence.failed_attempts);
  message.set_attempts(evidence.attempts);
  std::vector<std::uint8_t> bytes(message.ByteSizeLong());
  message.SerializeWithCachedSizesToArray(bytes.data());
  return bytes;
}

std::optional<FailureEvidence> decode_failure_evidence(ByteView payload) {
  wire::FailureEvidence message;
  if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) return std::nullopt;
  if (message.attempts() == 0 || message.attempts() > kMaxAttempts) return std::nullopt;
  if (message.failed_attempts() > message.attempts()) return std::nullopt;
  return FailureEvidence{message.failed_attempts(), message.attempts()};
}

EntryKind failure_evidence_kind() {
  EntryKind kind;
  kind.id = kFailureEvidenceKind;
  kind.name = "failure evidence";
  kind.max_payload_bytes = 8;
  kind.max_age = std::chrono::seconds(30);
  kind.half_life = std::chrono::seconds(10);
  kind.max_transmissions = 2;
  kind.priority = 2;
  kind.is_broadcast = true;
  kind.is_valid = [](ByteView payload) { return decode_failure_evidence(payload).has_value(); };
  return kind;
}

}  // namespace dispatcher::replicated_state
