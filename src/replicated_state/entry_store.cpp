#include "replicated_state/entry_store.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::replicated_state {

EntryStore::EntryStore(MemberIndex owner_count, std::size_t max_entries)
    : max_entries_per_owner_(std::max<std::size_t>(1, max_entries / owner_count)), owners_(owner_count) {}

const StoredEntry* EntryStore::find(const EntryKey& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

StoredEntry* EntryStore::find(const EntryKey& key) {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

void EntryStore::remove(const EntryKey& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  owners_[key.owner].keys_by_version.erase(it->second.version);
  entries_.erase(it);
}

void EntryStore::store(const EntryKey& key, StoredEntry stored) {
  OwnerState& owner = owners_[key.owner];
  remove(key);
  owner.max_version = std::max(owner.max_version, stored.version);
  owner.keys_by_version.emplace(stored.version, key);
  entries_.emplace(key, std::move(stored));
  while (owner.keys_by_version.size() > max_entries_per_owner_) {
    const auto [version, oldest] = *owner.keys_by_version.begin();
    owner.evicted_version = std::max(owner.evicted_version, version);
    remove(oldest);
  }
}

void EntryStore::begin_incarnation(MemberIndex owner, std::uint64_t incarnation) {
  OwnerState& state = owners_[owner];
  for (const auto& [version, key] : state.keys_by_version) entries_.erase(key);
  state = OwnerState{};
  state.incarnation = incarnation;
}

void EntryStore::drop_expired(Time now, const EntryKinds& kinds) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto& [key, stored] = *it;
    if (now - stored.written_at < kinds.find(key.kind)->max_age) {
      ++it;
      continue;
    }
    owners_[key.owner].keys_by_version.erase(stored.version);
    it = entries_.erase(it);
  }
}

Entry EntryStore::to_entry(Time now, const EntryKey& key, const StoredEntry& stored) const {
  const Duration age = std::max(Duration::zero(), now - stored.written_at);
  return {key, owners_[key.owner].incarnation, stored.version, stored.is_tombstone, age, stored.payload};
}

}  // namespace dispatcher::replicated_state
