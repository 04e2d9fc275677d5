// The storage of one replica. It holds each owner's entries of one incarnation up to a limit, beyond which
// the entries with the lowest versions are evicted. ReplicatedMap decides which entries may be stored.
#ifndef DISPATCHER_REPLICATED_STATE_ENTRY_STORE_HPP_
#define DISPATCHER_REPLICATED_STATE_ENTRY_STORE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "replicated_state/entry.hpp"

namespace dispatcher::replicated_state {

// An entry as a replica stores it.
struct StoredEntry {
  std::uint64_t version = 0;
  bool is_tombstone = false;
  Time written_at{};             // when the owner wrote it, by this process's clock
  unsigned remaining_sends = 0;  // how many more times it is to be sent
  bool was_broadcast = false;
  Payload payload;
};

// The state of one owner's entries.
struct OwnerState {
  std::uint64_t incarnation = 0;  // 0 if unknown; nothing is stored then
  std::uint64_t max_version = 0;  // the highest version ever stored of this incarnation
  // The highest version ever evicted. No entry at or below it is stored again.
  std::uint64_t evicted_version = 0;
  std::map<std::uint64_t, EntryKey> keys_by_version;
};

// Holds the entries of all owners, by key and by version. Part of a ReplicatedMap; used on its thread, with
// no callbacks. Owners must be below owner_count() in all calls.
class EntryStore {
 public:
  // Stores at most `max_entries`, an equal part (at least 1) for each of `owner_count` owners.
  EntryStore(MemberIndex owner_count, std::size_t max_entries);

  // Returns the entry, or null if there is none. The pointer is valid until the next change of the store.
  [[nodiscard]] const StoredEntry* find(const EntryKey& key) const;
  [[nodiscard]] StoredEntry* find(const EntryKey& key);
  [[nodiscard]] bool contains(const EntryKey& key) const { return entries_.contains(key); }
  // Stores an entry in place of an earlier one with the same key, and evicts the owner's entries with the
  // lowest versions beyond the limit.
  void store(const EntryKey& key, StoredEntry stored);
  // Removes all entries of an owner, and sets the incarnation of the entries that are stored from now on.
  void begin_incarnation(MemberIndex owner, std::uint64_t incarnation);
  // Removes entries that have reached their kind's max_age. `kinds` must contain the kinds of all stored
  // entries.
  void drop_expired(Time now, const EntryKinds& kinds);

  // Returns the entry in the form in which it is sent, with its age at `now`.
  [[nodiscard]] Entry to_entry(Time now, const EntryKey& key, const StoredEntry& stored) const;
  [[nodiscard]] const std::map<EntryKey, StoredEntry>& entries() const { return entries_; }
  [[nodiscard]] const OwnerState& owner(MemberIndex owner) const { return owners_[owner]; }
  [[nodiscard]] MemberIndex owner_count() const { return static_cast<MemberIndex>(owners_.size()); }
  [[nodiscard]] std::size_t max_entries_per_owner() const { return max_entries_per_owner_; }

 private:
  void remove(const EntryKey& key);

  std::size_t max_entries_per_owner_;
  std::map<EntryKey, StoredEntry> entries_;
  std::vector<OwnerState> owners_;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_ENTRY_STORE_HPP_
