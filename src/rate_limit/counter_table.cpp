#include "rate_limit/counter_table.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace dispatcher::rate_limit {

namespace {
__extension__ using Wide = unsigned __int128;
}

CounterTable::CounterTable(std::size_t keys) {
  // Sets of a few: with a fifth more room than keys, hardly one set is full before the table is.
  const std::size_t sets = std::max<std::size_t>(1, (keys + keys / 5 + kWays - 1) / kWays);
  entries_.resize(sets * kWays);
}

std::span<CounterTable::Entry> CounterTable::set(std::uint64_t key) {
  const std::size_t sets = entries_.size() / kWays;
  const auto at = static_cast<std::size_t>((static_cast<Wide>(key) * sets) >> 64U);
  return std::span(entries_).subspan(at * kWays, kWays);
}

// Each key may stand in either of two sets: where only one would do, one in thirteen found no room in a table
// that was five sixths full.
std::span<CounterTable::Entry> CounterTable::other_set(std::uint64_t key) {
  return set(key * 0x9E3779B97F4A7C15ULL);
}

CounterTable::Entry* CounterTable::find(std::uint64_t key) {
  for (const auto where : {set(key), other_set(key)}) {
    for (Entry& e : where) {
      if (e.key == key) return &e;
    }
  }
  return nullptr;
}

// The key's entry, made where there is none: in place of one that holds nothing, or else of the one that is
// furthest from its limit. One that is at its limit, or whose requests run, never makes room.
CounterTable::Entry& CounterTable::entry(const Charge& charge, std::int64_t now) {
  if (Entry* known = find(charge.key)) return *known;
  Entry* room = nullptr;
  std::size_t max_idle = 0;
  const auto ahead = [&](const Entry& x) { return x.key == 0 || x.idle(now) ? 0 : x.arrival - now; };
  for (const auto where : {set(charge.key), other_set(charge.key)}) {
    Entry* best = nullptr;
    std::size_t idle = 0;
    for (Entry& e : where) {
      if (e.key != 0 && e.pinned(now)) continue;
      idle += ahead(e) == 0 ? 1 : 0;
      if (best == nullptr || ahead(e) < ahead(*best)) best = &e;
    }
    if (best == nullptr || (room != nullptr && idle <= max_idle && ahead(*best) >= ahead(*room))) continue;
    room = best;
    max_idle = idle;
  }
  if (room == nullptr) {
    ++shared_;
    std::erase_if(overflow_, [&](const auto& o) { return o.first != charge.bound.id && o.second.idle(now); });
    return overflow_[charge.bound.id];
  }
  *room = {};
  room->key = charge.key;
  return *room;
}

Nanoseconds CounterTable::wait(const Entry& e, const Bound& b, std::int64_t now) {
  const std::int64_t ahead = e.arrival - b.tolerance.count() - now;
  const bool late = b.interval.count() > 0 && ahead > 0;
  const bool full = e.in_progress >= b.maximum;
  return std::max(late ? Nanoseconds(ahead) : Nanoseconds(0),
                  full ? std::max(b.retry, Nanoseconds(1)) : Nanoseconds(0));
}

Nanoseconds CounterTable::admit(std::span<const Charge> charges, Nanoseconds at, std::span<Held> held) {
  const std::int64_t now = at.count();
  Nanoseconds longest{0};
  for (const Charge& c : charges) longest = std::max(longest, wait(entry(c, now), c.bound, now));
  if (longest.count() > 0) return longest;
  // Looked up again: an entry that was made for one charge may have made room for the next.
  for (std::size_t i = 0; i < charges.size(); ++i) {
    const Charge& c = charges[i];
    Entry& e = entry(c, now);
    held[i] = {c.key, c.bound.id, e.key != c.key};
    e.arrival = std::max(e.arrival, now) + c.bound.interval.count();
    e.tolerance = c.bound.tolerance.count();
    e.maximum = c.bound.maximum;
    if (c.bound.maximum != Bound::kAny) ++e.in_progress;
  }
  return Nanoseconds(0);
}

void CounterTable::release(const Held& held) {
  const auto it = held.overflow ? overflow_.find(held.limit) : overflow_.end();
  Entry* e = held.overflow ? it == overflow_.end() ? nullptr : &it->second : find(held.key);
  if (e != nullptr && e->in_progress > 0) --e->in_progress;
}

void CounterTable::resize(std::size_t keys, Nanoseconds now) {
  CounterTable next(keys);
  if (next.entries_.size() == entries_.size()) return;
  std::vector<Entry> kept;
  std::copy_if(entries_.begin(), entries_.end(), std::back_inserter(kept),
               [&](const Entry& e) { return e.key != 0 && !e.idle(now.count()); });
  // The most charged first: what finds no room is what matters least.
  std::sort(kept.begin(), kept.end(), [](const Entry& a, const Entry& b) {
    return std::pair(a.in_progress, a.arrival) > std::pair(b.in_progress, b.arrival);
  });
  for (const Entry& e : kept) {
    for (const auto where : {next.set(e.key), next.other_set(e.key)}) {
      const auto room = std::find_if(where.begin(), where.end(), [](const Entry& r) { return r.key == 0; });
      if (room == where.end()) continue;
      *room = e;
      break;
    }
  }
  entries_ = std::move(next.entries_);
}

std::size_t CounterTable::used(Nanoseconds now) const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(), [&](const Entry& e) { return e.key != 0 && !e.idle(now.count()); }));
}

}  // namespace dispatcher::rate_limit
