// Counters of limits by key, in a table of fixed size: rates by GCRA (the generic cell rate algorithm, ITU-T
// I.371) and requests in progress. No I/O; the clock is passed in.
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

// A limit, as far as one instance keeps it.
struct Bound {
  static constexpr std::uint32_t kAny = std::numeric_limits<std::uint32_t>::max();
  std::uint64_t id = 0;          // of the limit: the same for as long as it stays what it is
  Nanoseconds interval{};        // between two requests at the rate; 0: no rate
  Nanoseconds tolerance{};       // how far ahead of the rate a burst may run
  std::uint32_t maximum = kAny;  // requests in progress
  Nanoseconds retry{};           // when to come back, where too many are in progress
};

// A request under one limit.
struct Charge {
  Bound bound;
  std::uint64_t key = 0;  // of the limit and its key's text together, spread over 64 bits
};

// What an admitted request still counts for.
struct Held {
  std::uint64_t key = 0, limit = 0;
  bool overflow = false;  // counted under the limit's one entry for keys that found no room
};

class CounterTable {
 public:
  // Room for about `keys` keys at once, in 32 bytes each.
  explicit CounterTable(std::size_t keys);

  // Zero: admitted, and counted under all charges; `held` takes one for each. Else nothing is counted, and
  // the request may come again after this.
  Nanoseconds admit(std::span<const Charge> charges, Nanoseconds now, std::span<Held> held);
  void release(const Held& held);  // an admitted request has come to its end

  // What is counted moves to a table of another size.
  void resize(std::size_t keys, Nanoseconds now);
  std::size_t bytes() const { return entries_.size() * sizeof(Entry); }
  std::size_t used(Nanoseconds now) const;          // keys that hold anything
  std::uint64_t shared() const { return shared_; }  // admissions asked of a full table, so far

 private:
  struct Entry {
    std::uint64_t key = 0;       // 0: free
    std::int64_t arrival = 0;    // the theoretical arrival time, ns
    std::int64_t tolerance = 0;  // as it was when last charged: past it the key is at its limit
    std::uint32_t in_progress = 0, maximum = Bound::kAny;
    [[nodiscard]] bool idle(std::int64_t now) const { return in_progress == 0 && arrival <= now; }
    // Would its next request be refused, or is any still to come to its end?
    [[nodiscard]] bool pinned(std::int64_t now) const { return in_progress > 0 || arrival - tolerance > now; }
  };
  static constexpr std::size_t kWays = 8;

  std::span<Entry> set(std::uint64_t key);
  std::span<Entry> other_set(std::uint64_t key);
  Entry* find(std::uint64_t key);
  Entry& entry(const Charge& charge, std::int64_t now);
  static Nanoseconds wait(const Entry& e, const Bound& b, std::int64_t now);

  std::vector<Entry> entries_;
  // Where the table has no room for one more key: all such keys of a limit count as one.
  std::unordered_map<std::uint64_t, Entry> overflow_;  // by limit
  std::uint64_t shared_ = 0;
};

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_COUNTER_TABLE_HPP_
