#include "replicated_state/replicated_map.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace dispatcher::replicated_state {

namespace {

// Younger rows are still on their way by themselves; counting them would make every hash differ.
constexpr Duration kSpreading = std::chrono::seconds(8);
constexpr int kRefresh = 3;  // what stays as it is is written again after this part of its greatest age

Payload copy(Bytes bytes) { return {bytes.begin(), bytes.end()}; }

}  // namespace

const char* name(MergeResult verdict) {
  switch (verdict) {
    case MergeResult::kNew:
      return "new";
    case MergeResult::kKnown:
      return "known";
    case MergeResult::kOldLife:
      return "old_life";
    case MergeResult::kUnknownLife:
      return "unknown_life";
    case MergeResult::kUnknownKind:
      return "unknown_kind";
    case MergeResult::kTooOld:
      return "too_old";
    case MergeResult::kOutOfBounds:
      return "out_of_bounds";
    case MergeResult::kOwn:
      return "own";
  }
  return "";
}

ReplicatedMap::ReplicatedMap(const Kinds& kinds, Number self, Number count, std::uint64_t life,
                             std::size_t total)
    : kinds_(kinds), self_(self), quota_(std::max<std::size_t>(1, total / count)), owners_(count) {
  owners_[self_].life = life;
}

// Our own rows.

bool ReplicatedMap::set(Time now, std::uint32_t kind, std::uint64_t key, Bytes payload) {
  const Kind* k = kinds_.find(kind);
  if (k == nullptr || payload.size() > k->max_payload || !k->valid(payload)) return false;
  return offer(now, {kind, key, self_}, copy(payload), false);
}

void ReplicatedMap::erase(Time now, std::uint32_t kind, std::uint64_t key) {
  const Place place{kind, key, self_};
  if (rows_.contains(place)) offer(now, place, {}, true);
}

bool ReplicatedMap::offer(Time now, const Place& place, const Payload& payload, bool gone) {
  const auto it = rows_.find(place);
  if (it != rows_.end()) {
    const Kind& kind = *kinds_.find(place.kind);
    const Duration age = now - it->second.born;
    if (it->second.gone == gone && it->second.payload == payload && age < kind.max_age / kRefresh) {
      pending_.erase(place);
      return true;
    }
    if (age < kind.min_between) {
      if (pending_.size() >= quota_ && !pending_.contains(place)) return false;
      pending_[place] = {payload, gone};
      return true;
    }
  }
  pending_.erase(place);
  write(now, place, payload, gone);
  return true;
}

void ReplicatedMap::write(Time now, const Place& place, const Payload& payload, bool gone) {
  const Kind& kind = *kinds_.find(place.kind);
  const std::uint64_t version = owners_[self_].top + 1;
  put(place, {version, gone, now, kind.spread, false, payload});
}

void ReplicatedMap::own_life(Time now, std::uint64_t life) {
  Owned& own = owners_[self_];
  std::vector<std::pair<Place, Kept>> ours;
  for (const auto& [version, place] : own.by_version) ours.emplace_back(place, rows_.at(place));
  for (const auto& [place, kept] : ours) drop(place);
  own.life = life;
  own.top = own.floor = 0;
  for (auto& [place, kept] : ours) {
    if (kept.gone) continue;
    const Time born = kept.born;
    write(now, place, kept.payload, false);
    rows_.at(place).born = born;
  }
}

// The store.

void ReplicatedMap::drop(const Place& place) {
  const auto it = rows_.find(place);
  if (it == rows_.end()) return;
  owners_[place.owner].by_version.erase(it->second.version);
  rows_.erase(it);
}

void ReplicatedMap::put(const Place& place, Kept kept) {
  Owned& owner = owners_[place.owner];
  drop(place);
  owner.top = std::max(owner.top, kept.version);
  owner.by_version.emplace(kept.version, place);
  rows_.emplace(place, std::move(kept));
  while (owner.by_version.size() > quota_) {
    const auto [version, oldest] = *owner.by_version.begin();
    owner.floor = std::max(owner.floor, version);
    drop(oldest);
  }
}

MergeResult ReplicatedMap::judge(const Row& row) const {
  const Place& place = row.place;
  if (place.owner >= owners_.size()) return MergeResult::kOutOfBounds;
  if (place.owner == self_) return MergeResult::kOwn;  // nobody knows better
  const Owned& owner = owners_[place.owner];
  if (row.life < owner.life) return MergeResult::kOldLife;
  if (row.life > owner.life)
    return MergeResult::kUnknownLife;  // the membership tells of lives, and rows come again
  const Kind* kind = kinds_.find(place.kind);
  if (kind == nullptr) return MergeResult::kUnknownKind;
  if (row.version == 0 || row.version > kMaxVersion || row.age < Duration::zero() ||
      row.payload.size() > kind->max_payload || (!row.gone && !kind->valid(row.payload)))
    return MergeResult::kOutOfBounds;
  if (row.age >= kind->max_age) return MergeResult::kTooOld;
  if (row.version <= owner.floor) return MergeResult::kKnown;
  const auto same = owner.by_version.find(row.version);
  if (same != owner.by_version.end() && same->second != place)
    return MergeResult::kOutOfBounds;  // one row a version
  const auto it = rows_.find(place);
  if (it == rows_.end() || it->second.version < row.version) return MergeResult::kNew;
  return MergeResult::kKnown;
}

MergeResult ReplicatedMap::merge(Time now, const Row& row) {
  const MergeResult verdict = judge(row);
  ++verdicts_[static_cast<std::size_t>(verdict)];
  const Time born = now - row.age;
  if (verdict == MergeResult::kNew) {
    put(row.place, {row.version, row.gone, born, kinds_.find(row.place.kind)->spread, false, row.payload});
  } else if (verdict == MergeResult::kKnown) {
    // Travel makes a row look younger than it is, never older: of two reckonings the earlier is the truer.
    const auto it = rows_.find(row.place);
    if (it == rows_.end() || it->second.version != row.version) return verdict;
    Kept& kept = it->second;
    kept.born = std::min(kept.born, born);
    // An owner never writes two under one version; should somebody else have, all still keep the same.
    if (std::tie(kept.gone, kept.payload) < std::tie(row.gone, row.payload))
      std::tie(kept.gone, kept.payload) = std::tie(row.gone, row.payload);
  }
  return verdict;
}

void ReplicatedMap::adopt_life(Number number, std::uint64_t life) {
  Owned& owner = owners_[number];
  if (number == self_ || life <= owner.life) return;
  while (!owner.by_version.empty()) drop(Place(owner.by_version.begin()->second));
  owner.life = life;
  owner.top = owner.floor = 0;
}

void ReplicatedMap::tick(Time now) {
  for (auto it = rows_.begin(); it != rows_.end();) {
    const Kind& kind = *kinds_.find(it->first.kind);
    const bool old = now - it->second.born >= kind.max_age;
    if (old) owners_[it->first.owner].by_version.erase(it->second.version);
    it = old ? rows_.erase(it) : std::next(it);
  }
  for (auto it = pending_.begin(); it != pending_.end();) {
    const auto written = rows_.find(it->first);
    const bool due =
        written == rows_.end() || now - written->second.born >= kinds_.find(it->first.kind)->min_between;
    if (due) write(now, it->first, it->second.payload, it->second.gone);
    it = due ? pending_.erase(it) : std::next(it);
  }
}

void ReplicatedMap::each(Time now, std::uint32_t kind, const std::function<void(const Heard&)>& see) const {
  const Kind* k = kinds_.find(kind);
  if (k == nullptr) return;
  for (auto it = rows_.lower_bound({kind, 0, 0}); it != rows_.end() && it->first.kind == kind; ++it) {
    const Duration age = now - it->second.born;
    if (it->second.gone || age >= k->max_age) continue;
    double weight = 1;
    if (const auto since = owners_[it->first.owner].silent) {
      const auto silence = static_cast<double>(std::max(Duration::zero(), now - *since).count());
      weight = std::exp2(-silence / static_cast<double>(k->half_life.count()));
    }
    see({it->first.owner,
         it->first.key,
         {it->second.payload.data(), it->second.payload.size()},
         age,
         weight});
  }
}

// What goes out.

Row ReplicatedMap::row(Time now, const Place& place, const Kept& kept) const {
  return {place,
          owners_[place.owner].life,
          kept.version,
          kept.gone,
          std::max(Duration::zero(), now - kept.born),
          kept.payload};
}

std::vector<Row> ReplicatedMap::queue(Time now, bool at_once) const {
  std::vector<std::pair<const Place*, const Kept*>> found;
  for (const auto& [place, kept] : rows_) {
    if (kept.sends_left == 0) continue;
    if (at_once && (place.owner != self_ || kept.told_all || !kinds_.find(place.kind)->at_once)) continue;
    if (now - kept.born < kinds_.find(place.kind)->max_age) found.emplace_back(&place, &kept);
  }
  const auto rank = [&](const auto& entry) {
    const auto& [place, kept] = entry;
    return std::tuple(-kinds_.find(place->kind)->urgency, -static_cast<int>(kept->sends_left), kept->born);
  };
  std::sort(found.begin(), found.end(), [&](const auto& a, const auto& b) {
    return std::pair(rank(a), *a.first) < std::pair(rank(b), *b.first);
  });
  std::vector<Row> rows;
  for (const auto& [place, kept] : found) rows.push_back(row(now, *place, *kept));
  return rows;
}

void ReplicatedMap::sent(const Place& place, bool to_all) {
  const auto it = rows_.find(place);
  if (it == rows_.end()) return;
  Kept& kept = it->second;
  kept.told_all = kept.told_all || to_all;
  if (kept.sends_left > 0) --kept.sends_left;
}

// Anti-entropy.

bool ReplicatedMap::spread(Time now, const Place& place, const Kept& kept) const {
  // Rows at the end of their time are not worth a repair, and are forgotten by some before others.
  return now - kept.born >= kSpreading && now - kept.born < kinds_.find(place.kind)->max_age * 3 / 4;
}

Summary ReplicatedMap::summary(Time now, Number number) const {
  const Owned& owner = owners_[number];
  std::uint64_t sum = owner.life;
  for (const auto& [version, place] : owner.by_version) {
    if (spread(now, place, rows_.at(place))) sum += XXH3_64bits(&version, sizeof version);
  }
  return {number, owner.top, static_cast<std::uint32_t>(sum ^ (sum >> 32U))};
}

Number ReplicatedMap::groups() const {
  return std::clamp<Number>((static_cast<Number>(owners_.size()) + kMinGroup - 1) / kMinGroup, 1, kMaxGroups);
}

std::vector<Summary> ReplicatedMap::summaries(Time now, Number group, Number first) const {
  std::vector<Summary> all;
  const Number size = group_size();
  for (Number i = 0; i < size; ++i) {
    const Number n = group * size + (first + i) % size;
    if (n < owners_.size() && owners_[n].life != 0) all.push_back(summary(now, n));
  }
  return all;
}

std::uint32_t ReplicatedMap::group_hash(Time now, Number group) const {
  std::uint64_t sum = 0;
  for (const Summary& s : summaries(now, group)) {
    const std::uint64_t fields[] = {s.owner, s.hash};
    sum += XXH3_64bits(fields, sizeof fields);
  }
  return static_cast<std::uint32_t>(sum ^ (sum >> 32U));
}

std::vector<Row> ReplicatedMap::lacking(Time now, const Summary& theirs) const {
  std::vector<Row> rows;
  if (theirs.owner >= owners_.size()) return rows;
  const Owned& owner = owners_[theirs.owner];
  const bool differs = summary(now, theirs.owner).hash != theirs.hash;
  for (auto it = owner.by_version.rbegin(); it != owner.by_version.rend(); ++it) {
    const Kept& kept = rows_.at(it->second);
    if (it->first > theirs.top || (differs && spread(now, it->second, kept)))
      rows.push_back(row(now, it->second, kept));
  }
  return rows;
}

bool ReplicatedMap::behind(Time now, const Summary& theirs) const {
  if (theirs.owner >= owners_.size() || theirs.owner == self_) return false;
  const Summary ours = summary(now, theirs.owner);
  return theirs.top > ours.top || theirs.hash != ours.hash;
}

}  // namespace dispatcher::replicated_state
