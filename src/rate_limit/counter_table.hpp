// Counters of rate limits by key, in a table of fixed size: rates by GCRA (the generic cell rate algorithm,
// ITU-T I.371) and requests in progress. No I/O; the clock is passed in.
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
  std::uint64_t id = 0;             // of the limit: the same as long as its definition is
  Nanoseconds emission_interval{};  // between two requests at the rate; 0: no rate
  Nanoseconds burst_tolerance{};    // how far ahead of the rate a burst may run
  std::uint32_t max_in_progress = kUnlimited;
  Nanoseconds retry_after{};  // of requests that are rejected because too many are in progress
};

// A request under one limit.
struct Charge {
  InstanceLimit limit;
  std::uint64_t key = 0;  // hash of the limit and of the key's text together; not 0
};

// The counter of an admitted request, for CounterTable::release().
struct ChargeHandle {
  std::uint64_t key = 0, limit_id = 0;
  bool is_overflow = false;  // counted in the limit's overflow entry, as the table had none left for the key
};

// A set-associative hash table. Not synchronized: its RateLimiter uses it on one event loop.
class CounterTable {
 public:
  // Enough for about `keys` keys at once, in 32 bytes each.
  explicit CounterTable(std::size_t keys);

  // Returns zero where the request is admitted: it is counted under all charges, and as many `handles` are
  // filled in. Otherwise nothing is counted, and the request may be retried after the returned time.
  [[nodiscard]] Nanoseconds admit(std::span<const Charge> charges, Nanoseconds now,
                                  std::span<ChargeHandle> handles);
  // To be called once for each handle when an admitted request has ended.
  void release(const ChargeHandle& handle);

  // Moves the counters to a table of another size. Where that is too small the least charged ones are
  // dropped.
  void resize(std::size_t keys, Nanoseconds now);

  [[nodiscard]] std::size_t bytes() const { return entries_.size() * sizeof(Entry); }
  // Keys that have requests in progress or are ahead of their rate.
  [[nodiscard]] std::size_t active_keys(Nanoseconds now) const;
  // How often so far a key had to be counted in its limit's overflow entry.
  [[nodiscard]] std::uint64_t overflow_count() const { return overflow_count_; }

 private:
  struct Entry {
    std::uint64_t key = 0;                 // 0: free
    std::int64_t theoretical_arrival = 0;  // GCRA's, ns
    std::int64_t burst_tolerance = 0;      // as it was when last charged, ns
    std::uint32_t in_progress = 0;
    [[nodiscard]] bool is_idle(std::int64_t now) const {
      return in_progress == 0 && theoretical_arrival <= now;
    }
    // Evicting it would admit a request beyond the limit, or lose the end of one.
    [[nodiscard]] bool is_protected(std::int64_t now) const {
      return in_progress > 0 || theoretical_arrival - burst_tolerance > now;
    }
    // How far it is ahead of its rate, ns; 0: it may be replaced without loss of information.
    [[nodiscard]] std::int64_t ahead(std::int64_t now) const {
      return key == 0 || is_idle(now) ? 0 : theoretical_arrival - now;
    }
  };
  static_assert(sizeof(Entry) == 32, "the memory that operators plan for by the number of keys");
  static constexpr std::size_t kWays = 8;  // entries of a set

  struct Victim {
    Entry* entry = nullptr;  // none: all entries of the set are protected
    std::size_t idle = 0;    // entries of its set that are free or idle
  };

  std::span<Entry> primary_set(std::uint64_t key);
  std::span<Entry> secondary_set(std::uint64_t key);
  Entry* find(std::uint64_t key);
  Entry& find_or_insert(const Charge& charge, std::int64_t now);
  Entry& overflow_entry(std::uint64_t limit_id, std::int64_t now);
  static Victim choose_victim(std::span<Entry> set, std::int64_t now);
  static Nanoseconds wait_time(const Entry& entry, const InstanceLimit& limit, std::int64_t now);

  std::vector<Entry> entries_;
  std::unordered_map<std::uint64_t, Entry> overflow_;  // by limit
  std::uint64_t overflow_count_ = 0;
};

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_COUNTER_TABLE_HPP_
