// The storage of one replica: of each owner the entries of one incarnation, up to a limit, beyond which those
// with the lowest versions are evicted. ReplicatedMap decides which entries may be stored.
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
  Time written_at{};             // by this process's clock
  unsigned remaining_sends = 0;  // in datagrams to single members
  bool was_broadcast = false;
  Payload payload;
};

// The state of one owner's entries.
struct OwnerState {
  std::uint64_t incarnation = 0;      // 0: unknown, and nothing is stored
  std::uint64_t max_version = 0;      // the highest ever stored of this incarnation
  std::uint64_t evicted_version = 0;  // the highest ever evicted: nothing at or below it is stored again
  std::map<std::uint64_t, EntryKey> keys_by_version;
};

// The entries of all owners, by key and by version. Part of a ReplicatedMap; used on its thread, with no
// callbacks. Owners are below owner_count() in all calls.
class EntryStore {
 public:
  // Stores at most `max_entries`, an equal part (at least 1) for each of `owner_count` owners.
  EntryStore(MemberIndex owner_count, std::size_t max_entries);

  // Null where there is no such entry. Valid until the next change of the store.
  [[nodiscard]] const StoredEntry* find(const EntryKey& key) const;
  [[nodiscard]] StoredEntry* find(const EntryKey& key);
  [[nodiscard]] bool contains(const EntryKey& key) const { return entries_.contains(key); }
  // Stores an entry in place of an earlier one with its key, and evicts its owner's oldest beyond the limit.
  void store(const EntryKey& key, StoredEntry stored);
  // Removes all entries of an owner, and sets the incarnation of those that follow.
  void begin_incarnation(MemberIndex owner, std::uint64_t incarnation);
  // Removes entries that have reached their kind's max_age. `kinds` has the kinds of all stored entries.
  void drop_expired(Time now, const EntryKinds& kinds);

  // The form in which an entry is sent now.
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
