// Counters of rate limits by key, in a table of fixed size. Rates are enforced by GCRA (the generic cell rate
// algorithm, ITU-T I.371); requests in progress are counted. No I/O; the clock is passed in.
#ifndef DISPATCHER_RATE_LIMIT_COUNTER_TABLE_HPP_
#define DISPATCHER_RATE_LIMIT_COUNTER_TABLE_HPP_

#include <chrono>
#include <cstdint>
#include <limits>
#include <span>
#include <unordered_map>
#include <vector>

namespace dispatcher::rate_limit {

using Nanoseconds = std::chrono::nanoseconds;

// The part of a limit that one instance enforces, in the terms of GCRA.
struct InstanceLimit {
  static constexpr std::uint32_t kUnlimited = std::numeric_limits<std::uint32_t>::max();
  std::uint64_t id = 0;             // the limit's id, which changes only with its definition
  Nanoseconds emission_interval{};  // between two requests at the rate; 0 if the limit has no rate
  Nanoseconds burst_tolerance{};    // how far ahead of the rate a burst may run
  std::uint32_t max_in_progress = kUnlimited;
  Nanoseconds retry_after{};  // minimum wait if a request is rejected because too many are in progress
};

// One limit that a request falls under, with the request's key.
struct Charge {
  InstanceLimit limit;
  std::uint64_t key = 0;  // nonzero hash of the limit and the key's text
};

// Identifies the counter that an admitted request was charged to, for CounterTable::release().
struct ChargeHandle {
  std::uint64_t key = 0, limit_id = 0;
  bool is_overflow = false;  // counted in the limit's overflow entry: the table had no entry left for the key
};

// A set-associative hash table. Not synchronized; the RateLimiter that owns it uses it on one event loop
// only.
class CounterTable {
 public:
  // Creates a table for about `keys` keys at once, with entries of 32 bytes.
  explicit CounterTable(std::size_t keys);

  // Admits or rejects a request that falls under all of `charges`. If the request is admitted, counts it
  // under each charge, fills in one of `handles` per charge and returns zero. Otherwise counts nothing and
  // returns the time after which the request may be retried.
  [[nodiscard]] Nanoseconds admit(std::span<const Charge> charges, Nanoseconds now,
                                  std::span<ChargeHandle> handles);
  // Must be called once for each handle when an admitted request has ended.
  void release(const ChargeHandle& handle);

  // Moves the counters to a table of another size. Drops the least charged ones if the new table is too
  // small.
  void resize(std::size_t keys, Nanoseconds now);

  // Returns the memory that the table's entries take, in bytes.
  [[nodiscard]] std::size_t bytes() const { return entries_.size() * sizeof(Entry); }
  // Returns the number of keys that have requests in progress or are ahead of their rate.
  [[nodiscard]] std::size_t active_keys(Nanoseconds now) const;
  // Returns how often so far an overflow entry was used because the table had no entry left for a key.
  [[nodiscard]] std::uint64_t overflow_count() const { return overflow_count_; }

 private:
  struct Entry {
    std::uint64_t key = 0;                 // 0 if the entry is free
    std::int64_t theoretical_arrival = 0;  // GCRA's theoretical arrival time, ns
    std::int64_t burst_tolerance = 0;      // the limit's, when the entry was last charged, ns
    std::uint32_t in_progress = 0;
    [[nodiscard]] bool is_idle(std::int64_t now) const {
      return in_progress == 0 && theoretical_arrival <= now;
    }
    // Returns whether evicting the entry would admit a request beyond the limit, or lose the count of
    // requests in progress, which release() needs when they end.
    [[nodiscard]] bool is_protected(std::int64_t now) const {
      return in_progress > 0 || theoretical_arrival - burst_tolerance > now;
    }
    // Returns how far the entry is ahead of its rate, in ns. 0 means that it can be replaced without loss of
    // information.
    [[nodiscard]] std::int64_t ahead_of_rate(std::int64_t now) const {
      return key == 0 || is_idle(now) ? 0 : theoretical_arrival - now;
    }
  };
  static_assert(sizeof(Entry) == 32, "operators plan the memory by the number of keys");
  static constexpr std::size_t kWays = 8;  // entries in a set

  struct Victim {
    Entry* entry = nullptr;  // null if all entries of the set are protected
    std::size_t idle = 0;    // number of entries in the set that are free or idle
  };

  std::span<Entry> primary_set(std::uint64_t key);
  std::span<Entry> secondary_set(std::uint64_t key);
  Entry* find(std::uint64_t key);
  Entry& find_or_insert(const Charge& charge, std::int64_t now);
  Entry& overflow_entry(std::uint64_t limit_id, std::int64_t now);
  static Victim choose_victim(std::span<Entry> set, std::int64_t now);
  static Nanoseconds wait_time(const Entry& entry, const InstanceLimit& limit, std::int64_t now);

  std::vector<Entry> entries_;
  std::unordered_map<std::uint64_t, Entry> overflow_;  // by the limit's id
  std::uint64_t overflow_count_ = 0;
};

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_COUNTER_TABLE_HPP_
