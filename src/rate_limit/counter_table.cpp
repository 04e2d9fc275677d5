#include "rate_limit/counter_table.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace dispatcher::rate_limit {

namespace {

__extension__ using Uint128 = unsigned __int128;

// The table has keys / kSpareDivisor entries more than keys, so that hardly any set is full before the table
// is.
constexpr std::size_t kSpareDivisor = 5;

// 2^64 divided by the golden ratio. A key multiplied by it selects a set that is independent of the key's
// primary set.
constexpr std::uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;

}  // namespace

CounterTable::CounterTable(std::size_t keys) {
  const std::size_t entries = keys + keys / kSpareDivisor;
  const std::size_t sets = std::max<std::size_t>(1, (entries + kWays - 1) / kWays);
  entries_.resize(sets * kWays);
}

// Selects the set by the key's high bits, with a multiplication in place of a division (Lemire, "Fast Random
// Integer Generation in an Interval", 2019).
std::span<CounterTable::Entry> CounterTable::primary_set(std::uint64_t key) {
  const std::size_t sets = entries_.size() / kWays;
  const auto index = static_cast<std::size_t>((static_cast<Uint128>(key) * sets) >> 64U);
  return std::span(entries_).subspan(index * kWays, kWays);
}

// A key may be stored in either of two sets. With only one set per key, one key in thirteen found no entry in
// a table that was five sixths full.
std::span<CounterTable::Entry> CounterTable::secondary_set(std::uint64_t key) {
  return primary_set(key * kGoldenRatio);
}

CounterTable::Entry* CounterTable::find(std::uint64_t key) {
  for (const auto set : {primary_set(key), secondary_set(key)}) {
    for (Entry& entry : set) {
      if (entry.key == key) return &entry;
    }
  }
  return nullptr;
}

// Returns the unprotected entry of a set that is least ahead of its rate.
CounterTable::Victim CounterTable::choose_victim(std::span<Entry> set, std::int64_t now) {
  Victim victim;
  for (Entry& entry : set) {
    if (entry.key != 0 && entry.is_protected(now)) continue;
    if (entry.ahead_of_rate(now) == 0) ++victim.idle;
    if (victim.entry == nullptr || entry.ahead_of_rate(now) < victim.entry->ahead_of_rate(now))
      victim.entry = &entry;
  }
  return victim;
}

// Returns the key's entry. A new entry replaces a free or idle one, in the set that has more of these, or
// otherwise the entry that is furthest from its limit. A protected entry is never replaced.
CounterTable::Entry& CounterTable::find_or_insert(const Charge& charge, std::int64_t now) {
  if (Entry* existing = find(charge.key)) return *existing;
  Victim victim = choose_victim(primary_set(charge.key), now);
  const Victim other = choose_victim(secondary_set(charge.key), now);
  const bool is_other_better =
      victim.entry == nullptr || other.idle > victim.idle ||
      (other.entry != nullptr && other.entry->ahead_of_rate(now) < victim.entry->ahead_of_rate(now));
  if (other.entry != nullptr && is_other_better) victim = other;
  if (victim.entry == nullptr) return overflow_entry(charge.limit.id, now);
  *victim.entry = {};
  victim.entry->key = charge.key;
  return *victim.entry;
}

// Returns the entry in which a limit counts all keys that have no entry in the table.
CounterTable::Entry& CounterTable::overflow_entry(std::uint64_t limit_id, std::int64_t now) {
  ++overflow_count_;
  std::erase_if(overflow_,
                [&](const auto& entry) { return entry.first != limit_id && entry.second.is_idle(now); });
  return overflow_[limit_id];
}

Nanoseconds CounterTable::wait_time(const Entry& entry, const InstanceLimit& limit, std::int64_t now) {
  const std::int64_t over_rate = entry.theoretical_arrival - limit.burst_tolerance.count() - now;
  Nanoseconds wait{0};
  if (limit.emission_interval.count() > 0 && over_rate > 0) wait = Nanoseconds(over_rate);
  if (entry.in_progress >= limit.max_in_progress)
    wait = std::max({wait, limit.retry_after, Nanoseconds(1)});  // 0 would admit the request
  return wait;
}

Nanoseconds CounterTable::admit(std::span<const Charge> charges, Nanoseconds time,
                                std::span<ChargeHandle> handles) {
  const std::int64_t now = time.count();
  Nanoseconds longest_wait{0};
  for (const Charge& charge : charges)
    longest_wait = std::max(longest_wait, wait_time(find_or_insert(charge, now), charge.limit, now));
  if (longest_wait.count() > 0) return longest_wait;
  // Looks up each entry again, because the entry inserted for one charge may have been replaced by that of
  // the next charge.
  for (std::size_t i = 0; i < charges.size(); ++i) {
    const auto& [limit, key] = charges[i];
    Entry& entry = find_or_insert(charges[i], now);
    handles[i] = {key, limit.id, entry.key != key};
    entry.theoretical_arrival = std::max(entry.theoretical_arrival, now) + limit.emission_interval.count();
    entry.burst_tolerance = limit.burst_tolerance.count();
    if (limit.max_in_progress != InstanceLimit::kUnlimited) ++entry.in_progress;
  }
  return Nanoseconds(0);
}

void CounterTable::release(const ChargeHandle& handle) {
  Entry* entry = nullptr;
  if (!handle.is_overflow) {
    entry = find(handle.key);
  } else if (const auto it = overflow_.find(handle.limit_id); it != overflow_.end()) {
    entry = &it->second;
  }
  if (entry != nullptr && entry->in_progress > 0) --entry->in_progress;
}

void CounterTable::resize(std::size_t keys, Nanoseconds now) {
  CounterTable resized(keys);
  if (resized.entries_.size() == entries_.size()) return;
  std::vector<Entry> active;
  std::copy_if(entries_.begin(), entries_.end(), std::back_inserter(active),
               [&](const Entry& entry) { return entry.key != 0 && !entry.is_idle(now.count()); });
  // Inserts the most charged entries first, so that only the least charged ones may find no free entry.
  std::sort(active.begin(), active.end(), [](const Entry& left, const Entry& right) {
    return std::pair(left.in_progress, left.theoretical_arrival) >
           std::pair(right.in_progress, right.theoretical_arrival);
  });
  for (const Entry& entry : active) {
    for (const auto set : {resized.primary_set(entry.key), resized.secondary_set(entry.key)}) {
      const auto free = std::find_if(set.begin(), set.end(), [](const Entry& slot) { return slot.key == 0; });
      if (free == set.end()) continue;
      *free = entry;
      break;
    }
  }
  entries_ = std::move(resized.entries_);
}

std::size_t CounterTable::active_keys(Nanoseconds now) const {
  const auto count = std::count_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return entry.key != 0 && !entry.is_idle(now.count());
  });
  return static_cast<std::size_t>(count);
}

}  // namespace dispatcher::rate_limit
