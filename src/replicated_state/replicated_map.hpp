// A map that the members of a fleet replicate. Its entries are registers that only their owner writes, and
// replicas are merged by a join (a state-based CRDT: Shapiro et al., "Conflict-free replicated data types",
// 2011), so loss, order and repetition of messages do not matter. Does no I/O; the time is passed in.
//
// An owner's entries belong to one of its incarnations and have versions from one counter of that
// incarnation. The join takes the higher incarnation. Within one incarnation it takes the highest version of
// each key, and then the keys with the highest versions, up to the owner's limit. An evicted entry has as
// many newer entries above it as the limit allows, and their versions only grow, so it can never become one
// of the stored entries again. The limit is therefore a part of the join. `evicted_version` is the highest
// version that was evicted; no entry at or below it is accepted.
#ifndef DISPATCHER_REPLICATED_STATE_REPLICATED_MAP_HPP_
#define DISPATCHER_REPLICATED_STATE_REPLICATED_MAP_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "replicated_state/anti_entropy.hpp"
#include "replicated_state/entry_store.hpp"

namespace dispatcher::replicated_state {

// The result of merging a received entry.
enum class MergeResult : std::uint8_t {
  kAccepted,
  kAlreadyKnown,
  kStaleIncarnation,    // the entry's owner has restarted since
  kUnknownIncarnation,  // the owner's restart is not known yet
  kUnknownKind,
  kExpired,
  kInvalid,
  kOwnEntry,  // it belongs to this process, which alone writes its own entries
};
inline constexpr std::size_t kMergeResultCount = 8;

// An entry as a reader sees it.
struct EntryView {
  MemberIndex owner = 0;
  std::uint64_t id = 0;
  ByteView payload;   // valid only during the call of the visitor
  Duration age{};     // time since its owner wrote it; underestimated by some tens of ms for each hop
  double weight = 1;  // 1 while its owner is alive; halved by each half-life of the owner's silence
};

// How an entry is sent.
enum class Delivery : std::uint8_t {
  kUnicast,    // in a datagram to a single member
  kBroadcast,  // in a datagram to all members
};

// One member's replica of the map. Owned by a GossipNode; used on one thread. Only for_each() calls back, and
// its callback must not change the map. Owners must be below the number of members in all calls.
class ReplicatedMap {
 public:
  // Stores at most `max_entries`, an equal part (at least 1) for each of `count` owners. `kinds` must outlive
  // the map. `self` is this process's index as an owner, and `incarnation` its incarnation.
  ReplicatedMap(const EntryKinds& kinds, MemberIndex self, MemberIndex count, std::uint64_t incarnation,
                std::size_t max_entries);

  // Writes an own entry, or defers the write if the last one is younger than min_write_interval. Writing the
  // same value again has no effect until the entry needs a refresh. Returns false if the kind is unknown, the
  // payload is not within its bounds, or too many writes are deferred.
  bool set(Time now, std::uint32_t kind, std::uint64_t id, ByteView payload);
  // Replaces an own entry by a tombstone, or defers this write. Has no effect if there is no such entry.
  void erase(Time now, std::uint32_t kind, std::uint64_t id);
  // Calls `visit` for each entry of the kind that is neither erased nor expired, including own entries,
  // ordered by id and owner.
  void for_each(Time now, std::uint32_t kind, const std::function<void(const EntryView&)>& visit) const;

  // Joins a received entry into the map. An entry that is not accepted changes nothing, except that one of
  // the stored version may correct the stored entry.
  MergeResult merge(Time now, const Entry& entry);
  // Sets an owner's incarnation to the one known to the membership, and removes entries of earlier ones.
  void adopt_incarnation(MemberIndex owner, std::uint64_t incarnation);
  // Called when this process's own incarnation has changed. Writes its entries again under the new one.
  void set_own_incarnation(std::uint64_t incarnation);
  // Sets since when an owner has been suspect or dead, or nullopt if it is alive.
  void set_silent_since(MemberIndex owner, std::optional<Time> since) { silent_since_[owner] = since; }
  // Makes deferred writes that are due, and removes expired entries.
  void tick(Time now);

  // Returns the entries to send, the most urgent first. For kBroadcast, returns only own entries of broadcast
  // kinds. The caller reports each entry that it sent by mark_sent().
  [[nodiscard]] std::vector<Entry> send_queue(Time now, Delivery delivery) const;
  void mark_sent(const EntryKey& key, Delivery delivery);

  // Anti-entropy, see anti_entropy.hpp. Groups must be below group_count().
  [[nodiscard]] MemberIndex group_count() const { return OwnerGroups{store_.owner_count()}.count(); }
  [[nodiscard]] std::uint32_t group_hash(Time now, MemberIndex group) const {
    return anti_entropy(now).group_hash(group);
  }
  // Returns the digests of the group's owners, starting at the `first` one (modulo the group's size).
  [[nodiscard]] std::vector<Digest> digests(Time now, MemberIndex group, MemberIndex first = 0) const {
    return anti_entropy(now).digests(group, first);
  }
  [[nodiscard]] Digest digest(Time now, MemberIndex owner) const { return anti_entropy(now).digest(owner); }
  // Returns the entries of the digest's owner that the sender of the digest lacks, newest first.
  [[nodiscard]] std::vector<Entry> entries_missing_from(Time now, const Digest& theirs) const {
    return anti_entropy(now).entries_missing_from(theirs);
  }
  // Returns whether the sender of the digest may have entries that this replica lacks.
  [[nodiscard]] bool is_behind(Time now, const Digest& theirs) const;

  [[nodiscard]] std::size_t size() const { return store_.entries().size(); }
  // Totals since the start of the process, by MergeResult.
  [[nodiscard]] const std::array<std::uint64_t, kMergeResultCount>& merge_counts() const {
    return merge_counts_;
  }

 private:
  // The value that an owner writes under a key.
  struct EntryValue {
    Payload payload;
    bool is_tombstone = false;
  };
  [[nodiscard]] AntiEntropy anti_entropy(Time now) const { return {store_, kinds_, now}; }
  [[nodiscard]] const EntryKind& kind_of(const EntryKey& key) const { return *kinds_.find(key.kind); }
  [[nodiscard]] MergeResult classify(const Entry& entry) const;
  void merge_known(const Entry& entry, Time written_at);
  bool write_or_defer(Time now, const EntryKey& key, const EntryValue& value);
  bool defer(const EntryKey& key, const EntryValue& value);
  void write(Time written_at, const EntryKey& key, const EntryValue& value);
  void make_deferred_writes(Time now);
  [[nodiscard]] double weight(Time now, MemberIndex owner, const EntryKind& kind) const;

  const EntryKinds& kinds_;
  MemberIndex self_;
  EntryStore store_;
  std::vector<std::optional<Time>> silent_since_;   // by owner
  std::map<EntryKey, EntryValue> deferred_writes_;  // own writes, at most max_entries_per_owner()
  std::array<std::uint64_t, kMergeResultCount> merge_counts_{};
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_REPLICATED_MAP_HPP_
