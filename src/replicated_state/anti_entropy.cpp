#include "replicated_state/anti_entropy.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace dispatcher::replicated_state {

namespace {

constexpr Duration kSettleTime = std::chrono::seconds(8);  // younger entries are still being disseminated

std::uint32_t fold(std::uint64_t hash) { return static_cast<std::uint32_t>(hash ^ (hash >> 32U)); }

}  // namespace

MemberIndex OwnerGroups::count() const {
  return std::clamp<MemberIndex>((owner_count + kMinGroupSize - 1) / kMinGroupSize, 1, kMaxGroups);
}

MemberIndex OwnerGroups::size() const { return (owner_count + count() - 1) / count(); }

// Returns whether hashes cover the entry. They do not cover entries that are still being disseminated, as the
// hashes would then always differ. They do not cover entries near their max_age either, because those are not
// worth a repair and some members drop them earlier than others.
bool AntiEntropy::is_settled(const EntryKey& key, const StoredEntry& stored) const {
  const Duration age = now_ - stored.written_at;
  return age >= kSettleTime && age < kinds_.find(key.kind)->max_age * 3 / 4;
}

Digest AntiEntropy::digest(MemberIndex owner) const {
  const OwnerState& state = store_.owner(owner);
  std::uint64_t sum = state.incarnation;
  for (const auto& [version, key] : state.keys_by_version) {
    if (is_settled(key, *store_.find(key))) sum += XXH3_64bits(&version, sizeof version);
  }
  return {owner, state.max_version, fold(sum)};
}

std::vector<Digest> AntiEntropy::digests(MemberIndex group, MemberIndex first) const {
  std::vector<Digest> found;
  const MemberIndex size = OwnerGroups{store_.owner_count()}.size();
  for (MemberIndex i = 0; i < size; ++i) {
    const MemberIndex owner = group * size + (first + i) % size;
    if (owner >= store_.owner_count()) continue;
    if (store_.owner(owner).incarnation != 0) found.push_back(digest(owner));
  }
  return found;
}

std::uint32_t AntiEntropy::group_hash(MemberIndex group) const {
  std::uint64_t sum = 0;
  for (const Digest& digest : digests(group, 0)) {
    const std::uint64_t fields[] = {digest.owner, digest.hash};
    sum += XXH3_64bits(fields, sizeof fields);
  }
  return fold(sum);
}

std::vector<Entry> AntiEntropy::entries_missing_from(const Digest& theirs) const {
  std::vector<Entry> missing;
  if (theirs.owner >= store_.owner_count()) return missing;
  const OwnerState& owner = store_.owner(theirs.owner);
  const bool differs = digest(theirs.owner).hash != theirs.hash;
  for (auto it = owner.keys_by_version.rbegin(); it != owner.keys_by_version.rend(); ++it) {
    const auto& [version, key] = *it;
    const StoredEntry& stored = *store_.find(key);
    const bool is_newer = version > theirs.max_version;
    const bool is_repair = differs && is_settled(key, stored);
    if (is_newer || is_repair) missing.push_back(store_.to_entry(now_, key, stored));
  }
  return missing;
}

}  // namespace dispatcher::replicated_state
