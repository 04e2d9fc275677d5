// Tests the counter table: compared with a plain map, and when it is full.
#include "rate_limit/counter_table.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>

#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using namespace rate_limit;

// Tries to admit a request under one charge. Returns nullopt if it is rejected.
std::optional<ChargeHandle> admit(CounterTable& table, const Charge& charge, Nanoseconds now) {
  ChargeHandle handle;
  if (table.admit({&charge, 1}, now, {&handle, 1}).count() > 0) return std::nullopt;
  return handle;
}

TEST_CASE("keys without an entry in a full table share one, which is free again when their requests end",
          "[limits]") {
  CounterTable table(8);
  const InstanceLimit limit{1, {}, {}, 1, milliseconds(5)};
  std::mt19937_64 random(4);
  std::vector<ChargeHandle> handles;
  int rejected = 0;
  for (int i = 0; i < 100; ++i) {
    const Charge charge{limit, random()};
    if (const auto handle = admit(table, charge, milliseconds(i))) {
      handles.push_back(*handle);
    } else {
      ++rejected;
    }
  }
  CHECK(handles.size() == table.bytes() / 32 + 1);  // one request per entry, and one for all other keys
  CHECK(rejected > 50);
  CHECK(table.overflow_count() > 50);
  for (const ChargeHandle& handle : handles) table.release(handle);
  CHECK(table.active_keys(seconds(1)) == 0);
  CHECK(admit(table, {limit, 77}, seconds(1)));
}

TEST_CASE("a counter table admits and rejects the same requests as a plain map of counters", "[limits]") {
  std::mt19937_64 random(8);
  CounterTable table(4096);
  struct Counter {
    std::int64_t theoretical_arrival = 0;
    std::uint32_t in_progress = 0;
  };
  std::map<std::uint64_t, Counter> reference;
  std::vector<ChargeHandle> handles;
  const InstanceLimit limit{3, milliseconds(30), milliseconds(90), 3, milliseconds(10)};
  Nanoseconds now = seconds(1000);
  for (int i = 0; i < 100'000; ++i) {
    now += std::chrono::microseconds(random() % 2000);
    if (random() % 3 == 0 && !handles.empty()) {
      std::swap(handles[random() % handles.size()], handles.back());
      --reference[handles.back().key].in_progress;
      table.release(handles.back());
      handles.pop_back();
      continue;
    }
    const Charge charge{limit, (1 + random() % 200) * 0x9E3779B97F4A7C15ULL};
    Counter& counter = reference[charge.key];
    const bool is_allowed =
        counter.theoretical_arrival - limit.burst_tolerance.count() <= now.count() && counter.in_progress < 3;
    const auto handle = admit(table, charge, now);
    CHECK(handle.has_value() == is_allowed);
    if (!is_allowed) continue;
    counter.theoretical_arrival =
        std::max(counter.theoretical_arrival, now.count()) + limit.emission_interval.count();
    ++counter.in_progress;
    handles.push_back(*handle);
  }
  CHECK(table.overflow_count() == 0);
}

}  // namespace
}  // namespace dispatcher::testing
