// Anti-entropy between two replicas (Demers et al., "Epidemic algorithms for replicated database
// maintenance", 1987): they compare digests, and send one another the delta, which is only what the other
// lacks (Almeida, Shoker, Baquero, "Delta state replicated data types", 2018).
//
// Owners form groups. A group's hash goes along with a probe, and where it differs, the group's digests are
// sent back. A datagram holds the digests of about 16 owners; in larger groups they take turns.
#ifndef DISPATCHER_REPLICATED_STATE_ANTI_ENTROPY_HPP_
#define DISPATCHER_REPLICATED_STATE_ANTI_ENTROPY_HPP_

#include <cstdint>
#include <vector>

#include "replicated_state/entry_store.hpp"

namespace dispatcher::replicated_state {

// What a member has of one owner; members whose digests are equal have nothing to exchange.
struct Digest {
  MemberIndex owner = 0;
  std::uint64_t max_version = 0;  // the highest that the member has seen
  std::uint32_t hash = 0;         // of the owner's incarnation and its settled entries
};

// How `owner_count` owners are divided: groups of at least kMinGroupSize, and at most kMaxGroups of them.
struct OwnerGroups {
  static constexpr MemberIndex kMinGroupSize = 10;
  static constexpr MemberIndex kMaxGroups = 10;
  MemberIndex owner_count = 1;

  [[nodiscard]] MemberIndex count() const;
  [[nodiscard]] MemberIndex size() const;  // of each but the last, which may have fewer owners
};

// The state of a store at one time, as digests and deltas. A local of whoever asks: the store and the kinds
// outlive it and do not change meanwhile.
class AntiEntropy {
 public:
  AntiEntropy(const EntryStore& store, const EntryKinds& kinds, Time now)
      : store_(store), kinds_(kinds), now_(now) {}

  // `owner` is below the store's owner_count().
  [[nodiscard]] Digest digest(MemberIndex owner) const;
  // Of a group's owners whose incarnations are known, in turn from its `first` one on, counted round.
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
