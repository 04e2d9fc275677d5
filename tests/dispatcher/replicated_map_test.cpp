// Shared rows: merging as a join, bounds, ages, caps, repair.
#include "replicated_state/replicated_map.hpp"

#include <map>
#include <random>

#include "property.hpp"
#include "replicated_state/failure_evidence.hpp"

namespace dispatcher::testing {
namespace {

using namespace replicated_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kNow = seconds(5000);

Kind plain(std::uint32_t id) {
  Kind kind;
  kind.id = id;
  kind.name = "plain";
  kind.valid = [](Bytes payload) { return payload.empty() || payload[0] < 200; };
  return kind;
}

struct Store {
  Kinds kinds;
  ReplicatedMap rows;
  explicit Store(Number self = 0, std::size_t total = 4 * 64, std::uint64_t life = 1)
      : rows(add(kinds), self, 4, life, total) {
    for (Number n = 0; n < 4; ++n) rows.adopt_life(n, 1);
  }
  static Kinds& add(Kinds& kinds) {
    kinds.add(plain(5));
    kinds.add(plain(6));
    return kinds;
  }
};

Row row(Number owner, std::uint64_t key, std::uint64_t version, std::uint8_t value = 1, Duration age = {}) {
  return {{5, key, owner}, 1, version, false, age, Payload{value}};
}

// All that a store holds, as text that tells any difference.
std::string dump(const ReplicatedMap& rows) {
  std::string text;
  for (Number n = 0; n < 4; ++n) {
    for (const Row& r : rows.lacking(kNow, {n, 0, 0})) {
      text += std::to_string(n) + "/" + std::to_string(r.place.kind) + "/" + std::to_string(r.place.key) +
              " life " + std::to_string(r.life) + " v" + std::to_string(r.version) + (r.gone ? " gone" : "") +
              " age " + std::to_string(r.age.count()) + " [";
      for (const auto byte : r.payload) text += std::to_string(byte) + " ";
      text += "]\n";
    }
  }
  return text;
}

// What three owners wrote in their lives, as it may reach somebody: with different ages, and now and then
// with a payload that the owner never wrote.
std::vector<Row> history(std::mt19937& random, int length, std::uint64_t lives) {
  std::vector<Row> rows;
  std::map<std::pair<Number, std::uint64_t>, std::uint64_t> versions;
  for (int i = 0; i < length; ++i) {
    Row r = row(1 + random() % 3, random() % 12, 0, static_cast<std::uint8_t>(random() % 3));
    r.place.kind = 5 + random() % 2;
    r.life = 1 + random() % lives;
    r.version = ++versions[{r.place.owner, r.life}];
    r.gone = random() % 5 == 0;
    r.age = seconds(random() % 50);
    rows.push_back(r);
    if (random() % 3 == 0) {
      r.age += milliseconds(random() % 5000);
      rows.push_back(r);
    }
    if (random() % 10 == 0) {
      r.payload = {static_cast<std::uint8_t>(random() % 100), 7};
      rows.push_back(r);
    }
  }
  return rows;
}

TEST_CASE("merging in any order, with repetitions, gives one state", "[shared]") {
  holds(
      [] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        const std::size_t quota = *rc::gen::inRange<std::size_t>(1, 14);
        std::vector<Row> rows = history(random, *rc::gen::inRange(0, 80), 1);
        Store one(0, 4 * quota), other(0, 4 * quota);
        for (const Row& r : rows) one.rows.merge(kNow, r);
        std::shuffle(rows.begin(), rows.end(), random);
        for (const Row& r : rows) {
          other.rows.merge(kNow, r);
          if (random() % 4 == 0) other.rows.merge(kNow, rows[random() % rows.size()]);
        }
        RC_ASSERT(dump(one.rows) == dump(other.rows));
        RC_ASSERT(other.rows.size() <= 4 * quota);
        // Idempotent, as a whole.
        const std::string before = dump(one.rows);
        for (const Row& r : rows) one.rows.merge(kNow, r);
        RC_ASSERT(dump(one.rows) == before);
      },
      500);
}

TEST_CASE("lives that become known at any time between: once all have come again, one state", "[shared]") {
  holds([] {
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    std::vector<Row> rows = history(random, *rc::gen::inRange(0, 60), 3);
    Store one(0, 4 * 6), other(0, 4 * 6);
    for (Store* s : {&one, &other}) {
      std::shuffle(rows.begin(), rows.end(), random);
      for (const Row& r : rows) {
        if (random() % 10 == 0) s->rows.adopt_life(1 + random() % 3, 1 + random() % 3);
        s->rows.merge(kNow, r);
      }
      for (Number n = 1; n < 4; ++n) s->rows.adopt_life(n, 3);
      std::shuffle(rows.begin(), rows.end(), random);
      for (const Row& r : rows) s->rows.merge(kNow, r);
    }
    RC_ASSERT(dump(one.rows) == dump(other.rows));
  });
}

TEST_CASE("two stores that know different parts agree after their summaries", "[shared]") {
  holds([] {
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    std::vector<Row> rows = history(random, *rc::gen::inRange(0, 60), 1);
    // Of one age each, neither spreading still nor near its end.
    for (Row& r : rows) r.age = seconds(10);
    std::erase_if(rows, [](const Row& r) { return r.payload.size() > 1; });
    Store one, other;
    for (const Row& r : rows) (random() % 2 == 0 ? one : other).rows.merge(kNow, r);
    const auto push = [](Store& from, Store& to) {
      for (Number n = 0; n < 4; ++n) {
        for (const Row& r : from.rows.lacking(kNow, to.rows.summary(kNow, n))) to.rows.merge(kNow, r);
      }
    };
    push(one, other);
    push(other, one);
    RC_ASSERT(dump(one.rows) == dump(other.rows));
    RC_ASSERT(one.rows.group_hash(kNow, 0) == other.rows.group_hash(kNow, 0));
    for (Number n = 0; n < 4; ++n) RC_ASSERT(one.rows.lacking(kNow, other.rows.summary(kNow, n)).empty());
  });
}

TEST_CASE("nothing is taken past its bounds, and each reason is counted", "[shared]") {
  Store s;
  const auto merge = [&](Row r) { return s.rows.merge(kNow, r); };
  Row good = row(1, 1, 5);
  Row r = good;
  r.place.owner = 4;
  CHECK(merge(r) == MergeResult::kOutOfBounds);
  r = good;
  r.place.owner = 0;
  r.version = 1000;
  CHECK(merge(r) == MergeResult::kOwn);
  r = good;
  r.life = 0;
  CHECK(merge(r) == MergeResult::kOldLife);
  r = good;
  r.life = 2;
  CHECK(merge(r) == MergeResult::kUnknownLife);
  r = good;
  r.place.kind = 77;
  CHECK(merge(r) == MergeResult::kUnknownKind);
  r = good;
  r.age = seconds(60);
  CHECK(merge(r) == MergeResult::kTooOld);
  r = good;
  r.age = -milliseconds(1);
  CHECK(merge(r) == MergeResult::kOutOfBounds);
  r = good;
  r.version = 0;
  CHECK(merge(r) == MergeResult::kOutOfBounds);
  r.version = kMaxVersion + 1;
  CHECK(merge(r) == MergeResult::kOutOfBounds);
  r = good;
  r.payload = {200};
  CHECK(merge(r) == MergeResult::kOutOfBounds);
  r.payload.assign(9, 1);
  CHECK(merge(r) == MergeResult::kOutOfBounds);
  CHECK(s.rows.size() == 0);
  CHECK(merge(good) == MergeResult::kNew);
  CHECK(merge(good) == MergeResult::kKnown);
  r = row(1, 2, 5);
  CHECK(merge(r) == MergeResult::kOutOfBounds);  // one row a version
  CHECK(s.rows.verdicts()[static_cast<std::size_t>(MergeResult::kOutOfBounds)] == 7);
  CHECK(s.rows.verdicts()[static_cast<std::size_t>(MergeResult::kOwn)] == 1);
}

TEST_CASE("a doubt is a part of what was tried", "[shared]") {
  const Kind kind = doubt_kind();
  CHECK(kind.valid(encode({0, 1})));
  CHECK(kind.valid(encode({7, 7})));
  CHECK_FALSE(kind.valid(encode({8, 7})));
  CHECK_FALSE(kind.valid(encode({0, 0})));
  CHECK_FALSE(kind.valid(encode({0, kMaxTried + 1})));
  CHECK_FALSE(kind.valid(std::vector<std::uint8_t>{0xFF}));
  CHECK(encode({kMaxTried, kMaxTried}).size() <= kind.max_payload);
}

TEST_CASE("a kind must be whole, and its number its own", "[shared]") {
  Kinds kinds;
  kinds.add(plain(5));
  CHECK_THROWS_WITH(kinds.add(plain(5)), Catch::Contains("taken"));
  CHECK_THROWS(kinds.add(plain(0)));
  CHECK_THROWS(kinds.add(plain(kMaxKind + 1)));
  Kind bad = plain(7);
  bad.valid = {};
  CHECK_THROWS_WITH(kinds.add(bad), Catch::Contains("bounds"));
  bad = plain(7);
  bad.max_payload = kMaxPayload + 1;
  CHECK_THROWS(kinds.add(bad));
}

std::vector<Heard> heard(const ReplicatedMap& rows, Time now) {
  std::vector<Heard> found;
  rows.each(now, 5, [&](const Heard& h) { found.push_back(h); });
  return found;
}

TEST_CASE("a row ages by the receiver's clock from the age it was told, and is forgotten", "[shared]") {
  Store s;
  s.rows.merge(kNow, row(1, 1, 1, 1, seconds(20)));
  REQUIRE(heard(s.rows, kNow + seconds(5)).size() == 1);
  CHECK(heard(s.rows, kNow + seconds(5))[0].age == seconds(25));
  s.rows.merge(kNow + seconds(5), row(1, 1, 1, 1, seconds(24)));  // it came by a shorter reckoning
  CHECK(heard(s.rows, kNow + seconds(5))[0].age == seconds(25));
  CHECK(heard(s.rows, kNow + seconds(40)).empty());
  s.rows.tick(kNow + seconds(40));
  CHECK(s.rows.size() == 0);
  CHECK(s.rows.merge(kNow + seconds(40), row(1, 1, 1, 1, seconds(60))) == MergeResult::kTooOld);
}

TEST_CASE("a row fades with its owner's silence, and no further when it is heard again", "[shared]") {
  Store s;
  s.rows.merge(kNow, row(1, 1, 1));
  CHECK(heard(s.rows, kNow + seconds(10))[0].weight == 1);
  s.rows.silent(1, kNow);
  CHECK(heard(s.rows, kNow + seconds(10))[0].weight == Approx(0.5));
  CHECK(heard(s.rows, kNow + seconds(30))[0].weight == Approx(0.125));
  s.rows.silent(1, std::nullopt);
  CHECK(heard(s.rows, kNow + seconds(30))[0].weight == 1);
}

TEST_CASE("a later life drops what the earlier one said", "[shared]") {
  Store s;
  s.rows.merge(kNow, row(1, 1, 50));
  s.rows.adopt_life(1, 2);
  CHECK(s.rows.size() == 0);
  CHECK(s.rows.merge(kNow, row(1, 1, 51)) == MergeResult::kOldLife);
  Row r = row(1, 1, 1);
  r.life = 2;
  CHECK(s.rows.merge(kNow, r) == MergeResult::kNew);
}

TEST_CASE(
    "own writes: too soon, they wait and the last wins; the same again is free until it needs refreshing",
    "[shared]") {
  Store s;
  const auto set = [&](Time now, std::uint8_t value) {
    return s.rows.set(now, 5, 1, std::vector<std::uint8_t>{value});
  };
  const auto version = [&] { return s.rows.summary(kNow, 0).top; };
  CHECK_FALSE(set(kNow, 200));
  CHECK_FALSE(s.rows.set(kNow, 99, 1, {}));
  CHECK(set(kNow, 1));
  CHECK(version() == 1);
  CHECK(set(kNow + seconds(1), 2));
  CHECK(set(kNow + seconds(1), 3));
  s.rows.tick(kNow + milliseconds(1999));
  CHECK(version() == 1);
  s.rows.tick(kNow + seconds(2));
  CHECK(version() == 2);
  CHECK(heard(s.rows, kNow + seconds(2))[0].payload[0] == 3);
  CHECK(set(kNow + seconds(15), 3));
  CHECK(version() == 2);
  CHECK(set(kNow + seconds(22), 3));
  CHECK(version() == 3);
  s.rows.erase(kNow + seconds(30), 5, 1);
  CHECK(heard(s.rows, kNow + seconds(30)).empty());
  CHECK(version() == 4);
  REQUIRE(s.rows.queue(kNow + seconds(30)).size() == 1);
  CHECK(s.rows.queue(kNow + seconds(30))[0].gone);
}

TEST_CASE("an owner's rows stay within its quota, own writes that wait included", "[shared]") {
  Store s(0, 4 * 3);
  for (std::uint64_t key = 0; key < 10; ++key) s.rows.set(kNow, 5, key, std::vector<std::uint8_t>{1});
  CHECK(s.rows.size() == 3);
  for (std::uint64_t key = 7; key < 10; ++key)
    CHECK(s.rows.set(kNow + seconds(1), 5, key, std::vector<std::uint8_t>{2}));
  CHECK(heard(s.rows, kNow)[0].key == 7);
  // A flood by another owner takes nothing from ours.
  for (std::uint64_t v = 1; v < 100; ++v) s.rows.merge(kNow, row(1, v, v));
  CHECK(s.rows.size() == 6);
  CHECK(s.rows.merge(kNow, row(1, 1, 1)) ==
        MergeResult::kKnown);  // below the floor: it does not come back in
  CHECK(s.rows.size() == 6);
}

TEST_CASE("an own life that has to change takes the rows along", "[shared]") {
  Store s;
  s.rows.set(kNow, 5, 1, std::vector<std::uint8_t>{1});
  s.rows.set(kNow + seconds(3), 5, 1, std::vector<std::uint8_t>{2});
  s.rows.own_life(kNow + seconds(5), 9);
  const auto queue = s.rows.queue(kNow + seconds(5));
  REQUIRE(queue.size() == 1);
  CHECK(queue[0].life == 9);
  CHECK(queue[0].version == 1);
  CHECK(queue[0].age == seconds(2));
}

TEST_CASE("a row is passed on as often as its kind says", "[shared]") {
  Store s;
  s.rows.merge(kNow, row(1, 1, 1));
  for (unsigned i = 0; i < plain(5).spread; ++i) {
    REQUIRE(s.rows.queue(kNow).size() == 1);
    s.rows.sent({5, 1, 1});
  }
  CHECK(s.rows.queue(kNow).empty());
  s.rows.merge(kNow, row(1, 1, 1));
  CHECK(s.rows.queue(kNow).empty());
  s.rows.merge(kNow, row(1, 1, 2));
  CHECK(s.rows.queue(kNow).size() == 1);
}

}  // namespace
}  // namespace dispatcher::testing
