// A member's doubt about a replica: the part of its latest attempts there that failed. A hint to others, to
// be weighed by its age and its owner's silence.
#ifndef DISPATCHER_REPLICATED_STATE_FAILURE_EVIDENCE_HPP_
#define DISPATCHER_REPLICATED_STATE_FAILURE_EVIDENCE_HPP_

#include <optional>
#include <vector>

#include "replicated_state/entry_kinds.hpp"

namespace dispatcher::replicated_state {

inline constexpr std::uint32_t kDoubtKind = 1;

struct FailureEvidence {
  std::uint32_t failed = 0, tried = 0;  // at most kMostTried; failed at most tried, tried at least 1
};
inline constexpr std::uint32_t kMaxTried = 1000;

Kind doubt_kind();  // its key: key_of(the replica's name)
std::vector<std::uint8_t> encode(const FailureEvidence& doubt);
std::optional<FailureEvidence> decode_doubt(Bytes payload);  // none: not within the bounds

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_FAILURE_EVIDENCE_HPP_
