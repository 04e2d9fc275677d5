#include "replicated_state/entry_kinds.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <optional>
#include <utility>

namespace dispatcher::replicated_state {

namespace {

// Returns the error in the kind's own bounds, or nullopt if they are valid.
std::optional<EntryKindErrorCode> check_bounds(const EntryKind& kind) {
  if (kind.id == 0 || kind.id > kMaxKindId) return EntryKindErrorCode::kInvalidId;
  if (kind.max_payload_bytes > kMaxPayloadBytes) return EntryKindErrorCode::kPayloadTooLong;
  if (!kind.is_valid) return EntryKindErrorCode::kNoValidator;
  const bool has_positive_times = kind.max_age > Duration::zero() && kind.half_life > Duration::zero();
  if (!has_positive_times || kind.max_transmissions == 0) return EntryKindErrorCode::kInvalidSpread;
  return std::nullopt;
}

std::string describe(const EntryKindProblem& problem) {
  switch (problem.code) {
    case EntryKindErrorCode::kInvalidId:
      return "invalid id";
    case EntryKindErrorCode::kPayloadTooLong:
      return "payload too long";
    case EntryKindErrorCode::kNoValidator:
      return "no payload validator";
    case EntryKindErrorCode::kInvalidSpread:
      return "invalid maximum age, half-life or number of transmissions";
    case EntryKindErrorCode::kIdTaken:
      return "id taken by " + problem.registered_name;
  }
  return {};
}

}  // namespace

std::string to_text(const EntryKindProblem& problem) {
  return "kind " + std::to_string(problem.id) + " (" + problem.name + "): " + describe(problem);
}

const EntryKind& EntryKinds::add(EntryKind kind) {
  if (const auto code = check_bounds(kind)) throw EntryKindError({*code, kind.id, kind.name, {}});
  if (const EntryKind* registered = find(kind.id))
    throw EntryKindError({EntryKindErrorCode::kIdTaken, kind.id, kind.name, registered->name});
  return kinds_.emplace(kind.id, std::move(kind)).first->second;
}

const EntryKind* EntryKinds::find(std::uint32_t id) const {
  const auto it = kinds_.find(id);
  return it == kinds_.end() ? nullptr : &it->second;
}

std::uint64_t entry_id(std::string_view name) { return XXH3_64bits(name.data(), name.size()) >> 24U; }

}  // namespace dispatcher::replicated_state
