// Anti-entropy between two replicas (Demers et al., "Epidemic algorithms for replicated database
// maintenance", 1987): they compare digests and send each other deltas, which contain only the entries that
// the other one lacks (Almeida, Shoker, Baquero, "Delta state replicated data types", 2018).
//
// Owners are divided into groups. A probe carries the hash of one group; where it differs, the receiver
// answers with the group's digests. A datagram has space for the digests of about 16 owners; in larger groups
// the owners take turns.
#ifndef DISPATCHER_REPLICATED_STATE_ANTI_ENTROPY_HPP_
#define DISPATCHER_REPLICATED_STATE_ANTI_ENTROPY_HPP_

#include <cstdint>
#include <vector>

#include "replicated_state/entry_store.hpp"

namespace dispatcher::replicated_state {

// A summary of a member's entries of one owner; members whose digests are equal have nothing to exchange.
struct Digest {
  MemberIndex owner = 0;
  std::uint64_t max_version = 0;  // the highest that the member has seen
  std::uint32_t hash = 0;         // of the owner's incarnation and its settled entries
};

// How `owner_count` owners are divided into groups: at most kMaxGroups, of at least kMinGroupSize owners.
struct OwnerGroups {
  static constexpr MemberIndex kMinGroupSize = 10;  // their digests fit one datagram
  static constexpr MemberIndex kMaxGroups = 10;     // so that ten probes cover all groups
  MemberIndex owner_count = 1;

  [[nodiscard]] MemberIndex count() const;
  [[nodiscard]] MemberIndex size() const;  // of each but the last, which may have fewer owners
};

// The digests and deltas of a store at one time. Created for a single call: the store and the kinds must
// outlive it and must not change meanwhile.
class AntiEntropy {
 public:
  AntiEntropy(const EntryStore& store, const EntryKinds& kinds, Time now)
      : store_(store), kinds_(kinds), now_(now) {}

  // `owner` is below the store's owner_count().
  [[nodiscard]] Digest digest(MemberIndex owner) const;
  // Of a group's owners whose incarnations are known, starting at its `first` one (modulo the group's size).
  [[nodiscard]] std::vector<Digest> digests(MemberIndex group, MemberIndex first) const;
  // Equal where the group's digests are.
  [[nodiscard]] std::uint32_t group_hash(MemberIndex group) const;
  // The delta: entries of the digest's owner that its sender lacks, newest first; none for an unknown owner.
  [[nodiscard]] std::vector<Entry> entries_missing_from(const Digest& theirs) const;

 private:
  [[nodiscard]] bool is_settled(const EntryKey& key, const StoredEntry& stored) const;

  const EntryStore& store_;
  const EntryKinds& kinds_;
  Time now_;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_ANTI_ENTROPY_HPP_
