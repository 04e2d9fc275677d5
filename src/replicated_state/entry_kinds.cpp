#include "replicated_state/entry_kinds.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <stdexcept>
#include <utility>

namespace dispatcher::replicated_state {

const EntryKind& EntryKinds::add(EntryKind kind) {
  const std::string name = "kind " + std::to_string(kind.id) + " (" + kind.name + "): ";
  if (kind.id == 0 || kind.id > kMaxKindId) throw std::logic_error(name + "bad number");
  if (kind.max_payload_bytes > kMaxPayloadBytes) throw std::logic_error(name + "payload too long");
  if (!kind.is_valid) throw std::logic_error(name + "declares no bounds");
  if (kind.max_age <= Duration::zero() || kind.half_life <= Duration::zero() || kind.max_transmissions == 0)
    throw std::logic_error(name + "bad age, half-life or spread");
  const auto [it, added] = kinds_.emplace(kind.id, std::move(kind));
  if (!added) throw std::logic_error(name + "number taken by " + it->second.name);
  return it->second;
}

const EntryKind* EntryKinds::find(std::uint32_t id) const {
  const auto it = kinds_.find(id);
  return it == kinds_.end() ? nullptr : &it->second;
}

std::uint64_t entry_id(std::string_view name) { return XXH3_64bits(name.data(), name.size()) >> 24U; }

}  // namespace dispatcher::replicated_state
