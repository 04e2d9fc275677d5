// A map that the members of a fleet replicate: registers that only their owner writes, merged as a join (a
// state-based CRDT: Shapiro et al., "Conflict-free replicated data types", 2011), so that loss, order and
// repetition of messages do not matter. No I/O; the clock is passed in.
//
// An owner's entries belong to one of its incarnations and have versions from one counter of that
// incarnation. The join takes the higher incarnation; within one incarnation it takes the highest version of
// each key, and of all keys those with the highest versions, up to the owner's limit. An entry beyond the
// limit has as many newer ones above it, whose versions only grow, so it can never be among the stored ones
// again: the limit is a part of the join. `evicted_version` is the highest version that was evicted; no entry
// at or below it is accepted.
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
  kStaleIncarnation,    // its owner has restarted since
  kUnknownIncarnation,  // its owner's restart is not known yet
  kUnknownKind,
  kExpired,
  kInvalid,
  kOwnEntry,  // only this process itself writes its entries
};
inline constexpr std::size_t kMergeResultCount = 8;

// An entry as a reader sees it.
struct EntryView {
  MemberIndex owner = 0;
  std::uint64_t id = 0;
  ByteView payload;   // valid during the call only
  Duration age{};     // since its owner wrote it; underestimated by some tens of ms for each hop
  double weight = 1;  // 1 while its owner is alive; halved with each half-life of its silence
};

// How an entry is sent.
enum class Delivery : std::uint8_t {
  kUnicast,    // in datagrams to single members
  kBroadcast,  // in a datagram to all members
};

// One member's replica of the map. Owned by a GossipNode; used on one thread. for_each() alone calls back,
// and its callback must not change the map. Owners are below the count of members in all calls.
class ReplicatedMap {
 public:
  // Stores at most `max_entries`, an equal part (at least 1) for each of `count` owners. `kinds` outlives it.
  // `incarnation` is this process's, of the owner `self`.
  ReplicatedMap(const EntryKinds& kinds, MemberIndex self, MemberIndex count, std::uint64_t incarnation,
                std::size_t max_entries);

  // Writes an own entry, or defers the write where the last one is younger than min_write_interval. Writing
  // the same again costs nothing until the entry needs a refresh. False: the kind is unknown, the payload not
  // within its bounds, or too many writes are deferred.
  bool set(Time now, std::uint32_t kind, std::uint64_t id, ByteView payload);
  // Replaces an own entry by a tombstone, or defers that; no effect where there is no such entry.
  void erase(Time now, std::uint32_t kind, std::uint64_t id);
  // Calls `visit` with each entry that is not expired, own ones included, ordered by id and owner.
  void for_each(Time now, std::uint32_t kind, const std::function<void(const EntryView&)>& visit) const;

  // Joins a received entry into the map. An entry that isn't accepted changes nothing, except that a known
  // one may correct the stored age.
  MergeResult merge(Time now, const Entry& entry);
  // Sets an owner's incarnation, as the membership has it: entries of earlier ones are removed.
  void adopt_incarnation(MemberIndex owner, std::uint64_t incarnation);
  // This process's own incarnation has changed: its entries are written again under the new one.
  void set_own_incarnation(std::uint64_t incarnation);
  // Since when an owner has been suspect or dead; none where it is alive.
  void set_silent_since(MemberIndex owner, std::optional<Time> since) { silent_since_[owner] = since; }
  // Makes deferred writes that are due, and removes expired entries.
  void tick(Time now);

  // Entries to send, the most urgent first; for kBroadcast only own ones of broadcast kinds. The caller
  // reports by mark_sent() which ones it sent.
  [[nodiscard]] std::vector<Entry> send_queue(Time now, Delivery delivery) const;
  void mark_sent(const EntryKey& key, Delivery delivery);

  // Anti-entropy, see anti_entropy.hpp. Groups are below group_count().
  [[nodiscard]] MemberIndex group_count() const { return OwnerGroups{store_.owner_count()}.count(); }
  [[nodiscard]] std::uint32_t group_hash(Time now, MemberIndex group) const {
    return anti_entropy(now).group_hash(group);
  }
  // Of the group's owners, starting at the `first` one (modulo the group's size).
  [[nodiscard]] std::vector<Digest> digests(Time now, MemberIndex group, MemberIndex first = 0) const {
    return anti_entropy(now).digests(group, first);
  }
  [[nodiscard]] Digest digest(Time now, MemberIndex owner) const { return anti_entropy(now).digest(owner); }
  // Entries of the digest's owner that its sender lacks, newest first.
  [[nodiscard]] std::vector<Entry> entries_missing_from(Time now, const Digest& theirs) const {
    return anti_entropy(now).entries_missing_from(theirs);
  }
  // Whether the sender of the digest has entries that this replica lacks.
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
  std::map<EntryKey, EntryValue> deferred_writes_;  // own ones, at most max_entries_per_owner()
  std::array<std::uint64_t, kMergeResultCount> merge_counts_{};
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_REPLICATED_MAP_HPP_
