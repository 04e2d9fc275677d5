// Anti-entropy between two replicas (Demers et al., "Epidemic algorithms for replicated database
// maintenance", 1987): they compare digests and send each other deltas, which contain only the entries that
// the other replica lacks (Almeida, Shoker, Baquero, "Delta state replicated data types", 2018).
//
// Owners are divided into groups. A probe carries the hash of one group. If the receiver's hash differs, it
// answers with the group's digests. A datagram has space for the digests of about 16 owners, so successive
// answers for a larger group start at different owners.
#ifndef DISPATCHER_REPLICATED_STATE_ANTI_ENTROPY_HPP_
#define DISPATCHER_REPLICATED_STATE_ANTI_ENTROPY_HPP_

#include <cstdint>
#include <vector>

#include "replicated_state/entry_store.hpp"

namespace dispatcher::replicated_state {

// Summarizes a member's entries of one owner. Members whose digests are equal have nothing to exchange.
struct Digest {
  MemberIndex owner = 0;
  std::uint64_t max_version = 0;  // the highest version that the member has seen
  std::uint32_t hash = 0;         // covers the owner's incarnation and its settled entries
};

// Divides `owner_count` owners into at most kMaxGroups groups of at least kMinGroupSize owners.
struct OwnerGroups {
  static constexpr MemberIndex kMinGroupSize = 10;  // their digests fit one datagram
  static constexpr MemberIndex kMaxGroups = 10;     // so that ten probes cover all groups
  MemberIndex owner_count = 1;

  [[nodiscard]] MemberIndex count() const;
  [[nodiscard]] MemberIndex size() const;  // of each group except the last, which may have fewer owners
};

// Computes the digests and deltas of a store at one point in time. Created for a single call: the store and
// the kinds must outlive it and must not change in the meantime.
class AntiEntropy {
 public:
  AntiEntropy(const EntryStore& store, const EntryKinds& kinds, Time now)
      : store_(store), kinds_(kinds), now_(now) {}

  // Returns an owner's digest. `owner` must be below the store's owner_count().
  [[nodiscard]] Digest digest(MemberIndex owner) const;
  // Returns the digests of the group's owners whose incarnations are known, starting at its `first` owner
  // (modulo the group's size).
  [[nodiscard]] std::vector<Digest> digests(MemberIndex group, MemberIndex first) const;
  // Returns a hash that is equal on two members if their digests of the group have equal hashes.
  [[nodiscard]] std::uint32_t group_hash(MemberIndex group) const;
  // Returns the delta: the entries of the digest's owner that the sender of the digest lacks, newest first.
  // Empty if the owner does not exist.
  [[nodiscard]] std::vector<Entry> entries_missing_from(const Digest& theirs) const;

 private:
  [[nodiscard]] bool is_settled(const EntryKey& key, const StoredEntry& stored) const;

  const EntryStore& store_;
  const EntryKinds& kinds_;
  Time now_;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_ANTI_ENTROPY_HPP_
