// A map that the members of a fleet replicate: registers that only their owner writes, merged as a join (a
// state-based CRDT: Shapiro et al., "Conflict-free replicated data types", 2011), so that loss, order and
// repetition of messages do not matter. No I/O; the clock is passed in.
//
// An owner's entries belong to one of its incarnations and bear versions from one counter of that
// incarnation. What is known of an owner is ordered by incarnation; within it each key has its highest
// version, and of all keys those with the highest versions are stored, up to the owner's limit. An entry
// beyond the limit has as many newer ones above it, whose versions only grow, so it would never return: the
// limit is a part of the join. `evicted_version` is the highest version that was evicted; nothing at or below
// it is accepted.
#ifndef DISPATCHER_REPLICATED_STATE_REPLICATED_MAP_HPP_
#define DISPATCHER_REPLICATED_STATE_REPLICATED_MAP_HPP_

#include <array>
#include <boost/container/static_vector.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "replicated_state/entry_kinds.hpp"

namespace dispatcher::replicated_state {

using Payload = boost::container::static_vector<std::uint8_t, kMaxPayloadBytes>;

// Identifies an entry. Each owner has its own entry for a kind and an id.
struct EntryKey {
  std::uint32_t kind = 0;
  std::uint64_t id = 0;
  MemberIndex owner = 0;
  auto operator<=>(const EntryKey&) const = default;
};

// An entry as it is sent.
struct Entry {
  EntryKey key;
  std::uint64_t incarnation = 0;  // the owner's
  std::uint64_t version = 0;
  bool is_tombstone = false;  // the owner has erased it
  Duration age{};             // since the owner wrote it, by the sender's reckoning
  Payload payload;
};
inline constexpr std::uint64_t kMaxVersion = std::uint64_t{1} << 48U;  // out of reach for real writers

// What became of a received entry.
enum class MergeResult : std::uint8_t {
  kAccepted,
  kAlreadyKnown,
  kStaleIncarnation,
  kUnknownIncarnation,
  kUnknownKind,
  kExpired,
  kInvalid,
  kOwnEntry
};
inline constexpr std::size_t kMergeResultCount = 8;

// An entry as a reader sees it.
struct EntryView {
  MemberIndex owner = 0;
  std::uint64_t id = 0;
  ByteView payload;   // valid during the call only
  Duration age{};     // since its owner wrote it; too low by some tens of ms for each hop
  double weight = 1;  // 1 while its owner is alive; halved with each half-life of its silence
};

// What a member has of one owner; members whose digests are equal have nothing to exchange.
struct Digest {
  MemberIndex owner = 0;
  std::uint64_t max_version = 0;  // the highest that the member has seen
  std::uint32_t hash = 0;         // of the owner's incarnation and its settled entries
};

// How an entry goes out.
enum class Delivery : std::uint8_t {
  kUnicast,    // with the datagrams to single members
  kBroadcast,  // in a datagram to all members
};

// One member's replica of the map. Owned by a GossipNode; used on one thread. for_each() alone calls back,
// and its callback must not change the map.
class ReplicatedMap {
 public:
  // Stores at most `max_entries`, an equal part (at least 1) for each of `count` owners. `kinds` outlives it.
  ReplicatedMap(const EntryKinds& kinds, MemberIndex self, MemberIndex count, std::uint64_t incarnation,
                std::size_t max_entries);

  // Writes an own entry. Writing the same again costs nothing until the entry needs a refresh. False: the
  // kind is unknown, the payload not within its bounds, or too many writes are deferred.
  bool set(Time now, std::uint32_t kind, std::uint64_t id, ByteView payload);
  void erase(Time now, std::uint32_t kind, std::uint64_t id);
  // Shows entries that are not expired, own ones included, ordered by id and owner.
  void for_each(Time now, std::uint32_t kind, const std::function<void(const EntryView&)>& visit) const;

  MergeResult merge(Time now, const Entry& entry);
  // An owner's incarnation as the membership knows it: entries of earlier ones are dropped.
  void adopt_incarnation(MemberIndex owner, std::uint64_t incarnation);
  // This process's own incarnation has changed: its entries are written again under the new one.
  void set_own_incarnation(Time now, std::uint64_t incarnation);
  // Since when an owner has been silent; none: it is alive.
  void set_silent_since(MemberIndex owner, std::optional<Time> since) { owners_[owner].silent_since = since; }
  // Makes deferred writes that are due, and drops expired entries.
  void tick(Time now);

  // Entries to send, the most urgent first; for kBroadcast only own ones of broadcast kinds. The caller
  // reports by mark_sent() which ones went out.
  [[nodiscard]] std::vector<Entry> send_queue(Time now, Delivery delivery) const;
  void mark_sent(const EntryKey& key, Delivery delivery);

  // Anti-entropy. Owners form groups; a group's hash goes along with a probe, and where it differs, the
  // group's digests are sent back. A datagram holds the digests of about 16 owners; in larger groups they
  // take turns, from the `first` one on.
  static constexpr MemberIndex kMinGroupSize = 10;
  static constexpr MemberIndex kMaxGroups = 10;
  [[nodiscard]] MemberIndex group_count() const;
  [[nodiscard]] std::uint32_t group_hash(Time now, MemberIndex group) const;
  [[nodiscard]] std::vector<Digest> digests(Time now, MemberIndex group, MemberIndex first = 0) const;
  [[nodiscard]] Digest digest(Time now, MemberIndex owner) const;
  // Entries of the digest's owner that its sender lacks, newest first.
  [[nodiscard]] std::vector<Entry> entries_missing_from(Time now, const Digest& theirs) const;
  // Whether the sender of the digest has entries that this replica lacks.
  [[nodiscard]] bool is_behind(Time now, const Digest& theirs) const;

  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] const std::array<std::uint64_t, kMergeResultCount>& merge_counts() const {
    return merge_counts_;
  }

 private:
  struct StoredEntry {
    std::uint64_t version = 0;
    bool is_tombstone = false;
    Time written_at{};  // by this process's clock
    unsigned remaining_sends = 0;
    bool was_broadcast = false;
    Payload payload;
  };
  struct OwnerState {
    std::uint64_t incarnation = 0;
    std::uint64_t max_version = 0;
    std::uint64_t evicted_version = 0;
    std::map<std::uint64_t, EntryKey> keys_by_version;
    std::optional<Time> silent_since;
  };
  struct DeferredWrite {
    Payload payload;
    bool is_tombstone = false;
  };
  [[nodiscard]] MemberIndex group_size() const;
  [[nodiscard]] const EntryKind& kind_of(const EntryKey& key) const { return *kinds_.find(key.kind); }
  [[nodiscard]] MergeResult classify(const Entry& entry) const;
  void merge_known(const Entry& entry, Time written_at);
  bool write_or_defer(Time now, const EntryKey& key, const Payload& payload, bool is_tombstone);
  void write(Time now, const EntryKey& key, const Payload& payload, bool is_tombstone);
  void store(const EntryKey& key, StoredEntry stored);
  void remove(const EntryKey& key);
  void drop_expired(Time now);
  void make_deferred_writes(Time now);
  [[nodiscard]] double weight(Time now, MemberIndex owner, const EntryKind& kind) const;
  [[nodiscard]] Entry to_entry(Time now, const EntryKey& key, const StoredEntry& stored) const;
  [[nodiscard]] bool is_settled(Time now, const EntryKey& key, const StoredEntry& stored) const;

  const EntryKinds& kinds_;
  MemberIndex self_;
  std::size_t max_entries_per_owner_;
  std::map<EntryKey, StoredEntry> entries_;
  std::vector<OwnerState> owners_;
  std::map<EntryKey, DeferredWrite> deferred_writes_;  // own ones, at most max_entries_per_owner_
  std::array<std::uint64_t, kMergeResultCount> merge_counts_{};
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_REPLICATED_MAP_HPP_
