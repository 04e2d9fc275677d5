#include "replicated_state/failure_evidence.hpp"

#include "replicated_state/facts.pb.h"

namespace dispatcher::replicated_state {

std::vector<std::uint8_t> encode(const FailureEvidence& doubt) {
  wire::Doubt w;
  w.set_failed(doubt.failed);
  w.set_tried(doubt.tried);
  std::vector<std::uint8_t> bytes(w.ByteSizeLong());
  w.SerializeWithCachedSizesToArray(bytes.data());
  return bytes;
}

std::optional<FailureEvidence> decode_doubt(Bytes payload) {
  wire::Doubt w;
  if (!w.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) return std::nullopt;
  if (w.tried() == 0 || w.tried() > kMaxTried || w.failed() > w.tried()) return std::nullopt;
  return FailureEvidence{w.failed(), w.tried()};
}

Kind doubt_kind() {
  Kind kind;
  kind.id = kDoubtKind;
  kind.name = "doubt";
  kind.max_payload = 8;
  kind.max_age = std::chrono::seconds(30);
  kind.half_life = std::chrono::seconds(10);
  kind.spread = 2;
  kind.urgency = 2;
  kind.at_once = true;
  kind.valid = [](Bytes payload) { return decode_doubt(payload).has_value(); };
  return kind;
}

}  // namespace dispatcher::replicated_state
