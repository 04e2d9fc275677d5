#include "replicated_state/replicated_map.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace dispatcher::replicated_state {

namespace {

constexpr int kRefreshDivisor = 3;  // an unchanged entry is written again after max_age / kRefreshDivisor

Payload copy(ByteView bytes) { return {bytes.begin(), bytes.end()}; }

bool is_within_bounds(const Entry& entry, const EntryKind& kind) {
  if (entry.version == 0 || entry.version > kMaxVersion) return false;
  if (entry.age < Duration::zero() || entry.payload.size() > kind.max_payload_bytes) return false;
  return entry.is_tombstone || kind.is_valid(entry.payload);
}

}  // namespace

ReplicatedMap::ReplicatedMap(const EntryKinds& kinds, MemberIndex self, MemberIndex count,
                             std::uint64_t incarnation, std::size_t max_entries)
    : kinds_(kinds), self_(self), store_(count, max_entries), silent_since_(count) {
  store_.begin_incarnation(self_, incarnation);
}

// Own entries.

bool ReplicatedMap::set(Time now, std::uint32_t kind, std::uint64_t id, ByteView payload) {
  const EntryKind* entry_kind = kinds_.find(kind);
  if (entry_kind == nullptr || payload.size() > entry_kind->max_payload_bytes) return false;
  if (!entry_kind->is_valid(payload)) return false;
  return write_or_defer(now, {kind, id, self_}, {copy(payload), false});
}

void ReplicatedMap::erase(Time now, std::uint32_t kind, std::uint64_t id) {
  const EntryKey key{kind, id, self_};
  if (store_.contains(key)) write_or_defer(now, key, {{}, true});
}

bool ReplicatedMap::write_or_defer(Time now, const EntryKey& key, const EntryValue& value) {
  if (const StoredEntry* stored = store_.find(key)) {
    const EntryKind& kind = kind_of(key);
    const Duration age = now - stored->written_at;
    const bool is_unchanged = stored->is_tombstone == value.is_tombstone && stored->payload == value.payload;
    if (is_unchanged && age < kind.max_age / kRefreshDivisor) {
      deferred_writes_.erase(key);
      return true;
    }
    if (age < kind.min_write_interval) return defer(key, value);
  }
  deferred_writes_.erase(key);
  write(now, key, value);
  return true;
}

bool ReplicatedMap::defer(const EntryKey& key, const EntryValue& value) {
  const bool is_full = deferred_writes_.size() >= store_.max_entries_per_owner();
  if (is_full && !deferred_writes_.contains(key)) return false;
  deferred_writes_[key] = value;
  return true;
}

void ReplicatedMap::write(Time written_at, const EntryKey& key, const EntryValue& value) {
  StoredEntry stored;
  stored.version = store_.owner(self_).max_version + 1;
  stored.is_tombstone = value.is_tombstone;
  stored.written_at = written_at;
  stored.remaining_sends = kind_of(key).max_transmissions;
  stored.payload = value.payload;
  store_.store(key, std::move(stored));
}

void ReplicatedMap::set_own_incarnation(std::uint64_t incarnation) {
  std::vector<std::pair<EntryKey, StoredEntry>> own_entries;
  for (const auto& [version, key] : store_.owner(self_).keys_by_version)
    own_entries.emplace_back(key, *store_.find(key));
  store_.begin_incarnation(self_, incarnation);
  for (const auto& [key, stored] : own_entries) {
    if (!stored.is_tombstone) write(stored.written_at, key, {stored.payload, false});
  }
}

void ReplicatedMap::make_deferred_writes(Time now) {
  for (auto it = deferred_writes_.begin(); it != deferred_writes_.end();) {
    const auto& [key, value] = *it;
    const StoredEntry* written = store_.find(key);
    if (written != nullptr && now - written->written_at < kind_of(key).min_write_interval) {
      ++it;
      continue;
    }
    write(now, key, value);
    it = deferred_writes_.erase(it);
  }
}

void ReplicatedMap::tick(Time now) {
  store_.drop_expired(now, kinds_);
  make_deferred_writes(now);
}

// Merging.

MergeResult ReplicatedMap::classify(const Entry& entry) const {
  const EntryKey& key = entry.key;
  if (key.owner >= store_.owner_count()) return MergeResult::kInvalid;
  if (key.owner == self_) return MergeResult::kOwnEntry;
  const OwnerState& owner = store_.owner(key.owner);
  if (entry.incarnation < owner.incarnation) return MergeResult::kStaleIncarnation;
  // The membership announces the new incarnation, and the entry will be sent again.
  if (entry.incarnation > owner.incarnation) return MergeResult::kUnknownIncarnation;
  const EntryKind* kind = kinds_.find(key.kind);
  if (kind == nullptr) return MergeResult::kUnknownKind;
  if (!is_within_bounds(entry, *kind)) return MergeResult::kInvalid;
  if (entry.age >= kind->max_age) return MergeResult::kExpired;
  if (entry.version <= owner.evicted_version) return MergeResult::kAlreadyKnown;
  const auto same_version = owner.keys_by_version.find(entry.version);
  if (same_version != owner.keys_by_version.end() && same_version->second != key)
    return MergeResult::kInvalid;  // an owner writes only one entry per version
  const StoredEntry* stored = store_.find(key);
  const bool is_known = stored != nullptr && stored->version >= entry.version;
  return is_known ? MergeResult::kAlreadyKnown : MergeResult::kAccepted;
}

MergeResult ReplicatedMap::merge(Time now, const Entry& entry) {
  const MergeResult result = classify(entry);
  ++merge_counts_[static_cast<std::size_t>(result)];
  const Time written_at = now - entry.age;
  if (result == MergeResult::kAccepted) {
    StoredEntry stored;
    stored.version = entry.version;
    stored.is_tombstone = entry.is_tombstone;
    stored.written_at = written_at;
    stored.remaining_sends = kind_of(entry.key).max_transmissions;
    stored.payload = entry.payload;
    store_.store(entry.key, std::move(stored));
  } else if (result == MergeResult::kAlreadyKnown) {
    merge_known(entry, written_at);
  }
  return result;
}

void ReplicatedMap::merge_known(const Entry& entry, Time written_at) {
  StoredEntry* stored = store_.find(entry.key);
  if (stored == nullptr || stored->version != entry.version) return;
  // Network latency makes an entry look younger than it is, never older, so the earlier time is more exact.
  stored->written_at = std::min(stored->written_at, written_at);
  // An owner never writes two payloads under one version. If a faulty owner does, the higher one wins, so
  // that all members still agree.
  if (std::tie(stored->is_tombstone, stored->payload) >= std::tie(entry.is_tombstone, entry.payload)) return;
  stored->is_tombstone = entry.is_tombstone;
  stored->payload = entry.payload;
}

void ReplicatedMap::adopt_incarnation(MemberIndex owner, std::uint64_t incarnation) {
  if (owner == self_ || incarnation <= store_.owner(owner).incarnation) return;
  store_.begin_incarnation(owner, incarnation);
}

bool ReplicatedMap::is_behind(Time now, const Digest& theirs) const {
  if (theirs.owner >= store_.owner_count() || theirs.owner == self_) return false;
  const Digest ours = digest(now, theirs.owner);
  return theirs.max_version > ours.max_version || theirs.hash != ours.hash;
}

// Reading.

double ReplicatedMap::weight(Time now, MemberIndex owner, const EntryKind& kind) const {
  const std::optional<Time> since = silent_since_[owner];
  if (!since) return 1;
  const auto silence = static_cast<double>(std::max(Duration::zero(), now - *since).count());
  return std::exp2(-silence / static_cast<double>(kind.half_life.count()));
}

void ReplicatedMap::for_each(Time now, std::uint32_t kind,
                             const std::function<void(const EntryView&)>& visit) const {
  const EntryKind* entry_kind = kinds_.find(kind);
  if (entry_kind == nullptr) return;
  const auto& entries = store_.entries();
  for (auto it = entries.lower_bound({kind, 0, 0}); it != entries.end() && it->first.kind == kind; ++it) {
    const auto& [key, stored] = *it;
    const Duration age = now - stored.written_at;
    if (stored.is_tombstone || age >= entry_kind->max_age) continue;
    const ByteView payload(stored.payload.data(), stored.payload.size());
    visit({key.owner, key.id, payload, age, weight(now, key.owner, *entry_kind)});
  }
}

// Sending.

std::vector<Entry> ReplicatedMap::send_queue(Time now, Delivery delivery) const {
  std::vector<std::pair<const EntryKey*, const StoredEntry*>> found;
  for (const auto& [key, stored] : store_.entries()) {
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
  for (const auto& [key, stored] : found) queue.push_back(store_.to_entry(now, *key, *stored));
  return queue;
}

void ReplicatedMap::mark_sent(const EntryKey& key, Delivery delivery) {
  StoredEntry* stored = store_.find(key);
  if (stored == nullptr) return;
  if (delivery == Delivery::kBroadcast) stored->was_broadcast = true;
  if (stored->remaining_sends > 0) --stored->remaining_sends;
}

}  // namespace dispatcher::replicated_state
