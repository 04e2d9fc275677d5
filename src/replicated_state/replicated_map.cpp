#include "replicated_state/replicated_map.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace dispatcher::replicated_state {

namespace {

constexpr Duration kSettleTime = std::chrono::seconds(8);  // younger entries still spread by themselves
constexpr int kRefreshDivisor = 3;  // an unchanged entry is written again after this part of its max_age

Payload copy(ByteView bytes) { return {bytes.begin(), bytes.end()}; }

std::uint32_t fold(std::uint64_t hash) { return static_cast<std::uint32_t>(hash ^ (hash >> 32U)); }

bool is_within_bounds(const Entry& entry, const EntryKind& kind) {
  if (entry.version == 0 || entry.version > kMaxVersion) return false;
  if (entry.age < Duration::zero() || entry.payload.size() > kind.max_payload_bytes) return false;
  return entry.is_tombstone || kind.is_valid(entry.payload);
}

}  // namespace

ReplicatedMap::ReplicatedMap(const EntryKinds& kinds, MemberIndex self, MemberIndex count,
                             std::uint64_t incarnation, std::size_t max_entries)
    : kinds_(kinds),
      self_(self),
      max_entries_per_owner_(std::max<std::size_t>(1, max_entries / count)),
      owners_(count) {
  owners_[self_].incarnation = incarnation;
}

// Own entries.

bool ReplicatedMap::set(Time now, std::uint32_t kind, std::uint64_t id, ByteView payload) {
  const EntryKind* entry_kind = kinds_.find(kind);
  if (entry_kind == nullptr || payload.size() > entry_kind->max_payload_bytes) return false;
  if (!entry_kind->is_valid(payload)) return false;
  return write_or_defer(now, {kind, id, self_}, copy(payload), false);
}

void ReplicatedMap::erase(Time now, std::uint32_t kind, std::uint64_t id) {
  const EntryKey key{kind, id, self_};
  if (entries_.contains(key)) write_or_defer(now, key, {}, true);
}

bool ReplicatedMap::write_or_defer(Time now, const EntryKey& key, const Payload& payload, bool is_tombstone) {
  if (const auto it = entries_.find(key); it != entries_.end()) {
    const StoredEntry& stored = it->second;
    const EntryKind& kind = kind_of(key);
    const Duration age = now - stored.written_at;
    const bool is_unchanged = stored.is_tombstone == is_tombstone && stored.payload == payload;
    if (is_unchanged && age < kind.max_age / kRefreshDivisor) {
      deferred_writes_.erase(key);
      return true;
    }
    if (age < kind.min_write_interval) {
      if (deferred_writes_.size() >= max_entries_per_owner_ && !deferred_writes_.contains(key)) return false;
      deferred_writes_[key] = {payload, is_tombstone};
      return true;
    }
  }
  deferred_writes_.erase(key);
  write(now, key, payload, is_tombstone);
  return true;
}

void ReplicatedMap::write(Time now, const EntryKey& key, const Payload& payload, bool is_tombstone) {
  const std::uint64_t version = owners_[self_].max_version + 1;
  store(key, {version, is_tombstone, now, kind_of(key).max_transmissions, false, payload});
}

void ReplicatedMap::set_own_incarnation(Time now, std::uint64_t incarnation) {
  OwnerState& own = owners_[self_];
  std::vector<std::pair<EntryKey, StoredEntry>> own_entries;
  for (const auto& [version, key] : own.keys_by_version) own_entries.emplace_back(key, entries_.at(key));
  for (const auto& [key, stored] : own_entries) remove(key);
  own.incarnation = incarnation;
  own.max_version = 0;
  own.evicted_version = 0;
  for (const auto& [key, stored] : own_entries) {
    if (stored.is_tombstone) continue;
    write(now, key, stored.payload, false);
    entries_.at(key).written_at = stored.written_at;
  }
}

// Storage.

void ReplicatedMap::remove(const EntryKey& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  owners_[key.owner].keys_by_version.erase(it->second.version);
  entries_.erase(it);
}

void ReplicatedMap::store(const EntryKey& key, StoredEntry stored) {
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

MergeResult ReplicatedMap::classify(const Entry& entry) const {
  const EntryKey& key = entry.key;
  if (key.owner >= owners_.size()) return MergeResult::kInvalid;
  if (key.owner == self_) return MergeResult::kOwnEntry;  // this process knows best
  const OwnerState& owner = owners_[key.owner];
  if (entry.incarnation < owner.incarnation) return MergeResult::kStaleIncarnation;
  // Incarnations are learnt from the membership; the entry will be sent again.
  if (entry.incarnation > owner.incarnation) return MergeResult::kUnknownIncarnation;
  const EntryKind* kind = kinds_.find(key.kind);
  if (kind == nullptr) return MergeResult::kUnknownKind;
  if (!is_within_bounds(entry, *kind)) return MergeResult::kInvalid;
  if (entry.age >= kind->max_age) return MergeResult::kExpired;
  if (entry.version <= owner.evicted_version) return MergeResult::kAlreadyKnown;
  const auto same_version = owner.keys_by_version.find(entry.version);
  if (same_version != owner.keys_by_version.end() && same_version->second != key)
    return MergeResult::kInvalid;  // an owner writes one entry under each version
  const auto it = entries_.find(key);
  if (it == entries_.end() || it->second.version < entry.version) return MergeResult::kAccepted;
  return MergeResult::kAlreadyKnown;
}

MergeResult ReplicatedMap::merge(Time now, const Entry& entry) {
  const MergeResult result = classify(entry);
  ++merge_counts_[static_cast<std::size_t>(result)];
  const Time written_at = now - entry.age;
  if (result == MergeResult::kAccepted) {
    const unsigned transmissions = kind_of(entry.key).max_transmissions;
    store(entry.key, {entry.version, entry.is_tombstone, written_at, transmissions, false, entry.payload});
  } else if (result == MergeResult::kAlreadyKnown) {
    merge_known(entry, written_at);
  }
  return result;
}

void ReplicatedMap::merge_known(const Entry& entry, Time written_at) {
  const auto it = entries_.find(entry.key);
  if (it == entries_.end() || it->second.version != entry.version) return;
  StoredEntry& stored = it->second;
  // Travel makes an entry look younger than it is, never older: of two times the earlier is more exact.
  stored.written_at = std::min(stored.written_at, written_at);
  // An owner never writes two payloads under one version; should a faulty one do, all members still agree.
  if (std::tie(stored.is_tombstone, stored.payload) >= std::tie(entry.is_tombstone, entry.payload)) return;
  stored.is_tombstone = entry.is_tombstone;
  stored.payload = entry.payload;
}

void ReplicatedMap::adopt_incarnation(MemberIndex owner, std::uint64_t incarnation) {
  OwnerState& state = owners_[owner];
  if (owner == self_ || incarnation <= state.incarnation) return;
  while (!state.keys_by_version.empty()) remove(EntryKey(state.keys_by_version.begin()->second));
  state.incarnation = incarnation;
  state.max_version = 0;
  state.evicted_version = 0;
}

void ReplicatedMap::tick(Time now) {
  drop_expired(now);
  make_deferred_writes(now);
}

void ReplicatedMap::drop_expired(Time now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto& [key, stored] = *it;
    if (now - stored.written_at < kind_of(key).max_age) {
      ++it;
      continue;
    }
    owners_[key.owner].keys_by_version.erase(stored.version);
    it = entries_.erase(it);
  }
}

void ReplicatedMap::make_deferred_writes(Time now) {
  for (auto it = deferred_writes_.begin(); it != deferred_writes_.end();) {
    const auto& [key, deferred] = *it;
    const auto written = entries_.find(key);
    if (written != entries_.end() && now - written->second.written_at < kind_of(key).min_write_interval) {
      ++it;
      continue;
    }
    write(now, key, deferred.payload, deferred.is_tombstone);
    it = deferred_writes_.erase(it);
  }
}

// Reading.

double ReplicatedMap::weight(Time now, MemberIndex owner, const EntryKind& kind) const {
  const std::optional<Time> since = owners_[owner].silent_since;
  if (!since) return 1;
  const auto silence = static_cast<double>(std::max(Duration::zero(), now - *since).count());
  return std::exp2(-silence / static_cast<double>(kind.half_life.count()));
}

void ReplicatedMap::for_each(Time now, std::uint32_t kind,
                             const std::function<void(const EntryView&)>& visit) const {
  const EntryKind* entry_kind = kinds_.find(kind);
  if (entry_kind == nullptr) return;
  for (auto it = entries_.lower_bound({kind, 0, 0}); it != entries_.end() && it->first.kind == kind; ++it) {
    const auto& [key, stored] = *it;
    const Duration age = now - stored.written_at;
    if (stored.is_tombstone || age >= entry_kind->max_age) continue;
    const ByteView payload(stored.payload.data(), stored.payload.size());
    visit({key.owner, key.id, payload, age, weight(now, key.owner, *entry_kind)});
  }
}

// Sending.

Entry ReplicatedMap::to_entry(Time now, const EntryKey& key, const StoredEntry& stored) const {
  const Duration age = std::max(Duration::zero(), now - stored.written_at);
  return {key, owners_[key.owner].incarnation, stored.version, stored.is_tombstone, age, stored.payload};
}

std::vector<Entry> ReplicatedMap::send_queue(Time now, Delivery delivery) const {
  std::vector<std::pair<const EntryKey*, const StoredEntry*>> found;
  for (const auto& [key, stored] : entries_) {
    if (stored.remaining_sends == 0) continue;
    const EntryKind& kind = kind_of(key);
    const bool is_for_broadcast = key.owner == self_ && !stored.was_broadcast && kind.is_broadcast;
    if (delivery == Delivery::kBroadcast && !is_for_broadcast) continue;
    if (now - stored.written_at < kind.max_age) found.emplace_back(&key, &stored);
  }
  const auto rank = [&](const auto& item) {
    const auto& [key, stored] = item;
    return std::tuple(-kind_of(*key).priority, -static_cast<int>(stored->remaining_sends),
                      stored->written_at);
  };
  std::sort(found.begin(), found.end(), [&](const auto& left, const auto& right) {
    return std::pair(rank(left), *left.first) < std::pair(rank(right), *right.first);
  });
  std::vector<Entry> queue;
  queue.reserve(found.size());
  for (const auto& [key, stored] : found) queue.push_back(to_entry(now, *key, *stored));
  return queue;
}

void ReplicatedMap::mark_sent(const EntryKey& key, Delivery delivery) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return;
  StoredEntry& stored = it->second;
  stored.was_broadcast = stored.was_broadcast || delivery == Delivery::kBroadcast;
  if (stored.remaining_sends > 0) --stored.remaining_sends;
}

// Anti-entropy.

// Counting entries that still spread would make every hash differ. Those near the end of their time are not
// worth a repair, and some members drop them before others.
bool ReplicatedMap::is_settled(Time now, const EntryKey& key, const StoredEntry& stored) const {
  const Duration age = now - stored.written_at;
  return age >= kSettleTime && age < kind_of(key).max_age * 3 / 4;
}

Digest ReplicatedMap::digest(Time now, MemberIndex owner) const {
  const OwnerState& state = owners_[owner];
  std::uint64_t sum = state.incarnation;
  for (const auto& [version, key] : state.keys_by_version) {
    if (is_settled(now, key, entries_.at(key))) sum += XXH3_64bits(&version, sizeof version);
  }
  return {owner, state.max_version, fold(sum)};
}

MemberIndex ReplicatedMap::group_count() const {
  const auto count = static_cast<MemberIndex>(owners_.size());
  return std::clamp<MemberIndex>((count + kMinGroupSize - 1) / kMinGroupSize, 1, kMaxGroups);
}

MemberIndex ReplicatedMap::group_size() const {
  return (static_cast<MemberIndex>(owners_.size()) + group_count() - 1) / group_count();
}

std::vector<Digest> ReplicatedMap::digests(Time now, MemberIndex group, MemberIndex first) const {
  std::vector<Digest> found;
  const MemberIndex size = group_size();
  for (MemberIndex i = 0; i < size; ++i) {
    const MemberIndex owner = group * size + (first + i) % size;
    if (owner < owners_.size() && owners_[owner].incarnation != 0) found.push_back(digest(now, owner));
  }
  return found;
}

std::uint32_t ReplicatedMap::group_hash(Time now, MemberIndex group) const {
  std::uint64_t sum = 0;
  for (const Digest& digest : digests(now, group)) {
    const std::uint64_t fields[] = {digest.owner, digest.hash};
    sum += XXH3_64bits(fields, sizeof fields);
  }
  return fold(sum);
}

std::vector<Entry> ReplicatedMap::entries_missing_from(Time now, const Digest& theirs) const {
  std::vector<Entry> missing;
  if (theirs.owner >= owners_.size()) return missing;
  const OwnerState& owner = owners_[theirs.owner];
  const bool differs = digest(now, theirs.owner).hash != theirs.hash;
  for (auto it = owner.keys_by_version.rbegin(); it != owner.keys_by_version.rend(); ++it) {
    const auto& [version, key] = *it;
    const StoredEntry& stored = entries_.at(key);
    const bool is_newer = version > theirs.max_version;
    if (is_newer || (differs && is_settled(now, key, stored))) missing.push_back(to_entry(now, key, stored));
  }
  return missing;
}

bool ReplicatedMap::is_behind(Time now, const Digest& theirs) const {
  if (theirs.owner >= owners_.size() || theirs.owner == self_) return false;
  const Digest ours = digest(now, theirs.owner);
  return theirs.max_version > ours.max_version || theirs.hash != ours.hash;
}

}  // namespace dispatcher::replicated_state
