// Tests the replicated map: merging as a join, bounds, ages, limits, and anti-entropy.
#include "replicated_state/replicated_map.hpp"

#include <map>
#include <random>

#include "replicated_state/failure_evidence.hpp"
#include "tests/fixtures/property.hpp"

namespace dispatcher::testing {
namespace {

using namespace replicated_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kNow = seconds(5000);

EntryKind test_kind(std::uint32_t id) {
  EntryKind kind;
  kind.id = id;
  kind.name = "test";
  kind.is_valid = [](ByteView payload) { return payload.empty() || payload[0] < 200; };
  return kind;
}

struct Replica {
  EntryKinds kinds;
  ReplicatedMap map;
  explicit Replica(MemberIndex self = 0, std::size_t max_entries = std::size_t{4} * 64,
                   std::uint64_t incarnation = 1)
      : map(add(kinds), self, 4, incarnation, max_entries) {
    for (MemberIndex member = 0; member < 4; ++member) map.adopt_incarnation(member, 1);
  }
  static EntryKinds& add(EntryKinds& kinds) {
    kinds.add(test_kind(5));
    kinds.add(test_kind(6));
    return kinds;
  }
};

Entry make_entry(MemberIndex owner, std::uint64_t id, std::uint64_t version, std::uint8_t value = 1,
                 Duration age = {}) {
  return {{5, id, owner}, 1, version, false, age, Payload{value}};
}

// Returns all entries of a replica as text, so that any difference shows.
std::string describe(const ReplicatedMap& map) {
  std::string text;
  for (MemberIndex member = 0; member < 4; ++member) {
    for (const Entry& entry : map.entries_missing_from(kNow, {member, 0, 0})) {
      text += std::to_string(member) + "/" + std::to_string(entry.key.kind) + "/" +
              std::to_string(entry.key.id) + " incarnation " + std::to_string(entry.incarnation) + " v" +
              std::to_string(entry.version) + (entry.is_tombstone ? " tombstone" : "") + " age " +
              std::to_string(entry.age.count()) + " [";
      for (const auto byte : entry.payload) text += std::to_string(byte) + " ";
      text += "]\n";
    }
  }
  return text;
}

// Returns entries that three owners wrote in their incarnations, in the form in which they may arrive: with
// different ages, and sometimes with a payload that the owner never wrote.
std::vector<Entry> history(std::mt19937& random, int length, std::uint64_t incarnations) {
  std::vector<Entry> entries;
  std::map<std::pair<MemberIndex, std::uint64_t>, std::uint64_t> versions;
  for (int i = 0; i < length; ++i) {
    const auto payload = static_cast<std::uint8_t>(random() % 3);
    const std::uint64_t id = random() % 12;
    Entry entry = make_entry(1 + random() % 3, id, 0, payload);
    entry.key.kind = 5 + random() % 2;
    entry.incarnation = 1 + random() % incarnations;
    entry.version = ++versions[{entry.key.owner, entry.incarnation}];
    entry.is_tombstone = random() % 5 == 0;
    entry.age = seconds(random() % 50);
    entries.push_back(entry);
    if (random() % 3 == 0) {
      entry.age += milliseconds(random() % 5000);
      entries.push_back(entry);
    }
    if (random() % 10 == 0) {
      entry.payload = {static_cast<std::uint8_t>(random() % 100), 7};
      entries.push_back(entry);
    }
  }
  return entries;
}

TEST_CASE("merging the same entries in any order and with repetitions gives the same state",
          "[replicated_state]") {
  holds(
      [] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        const std::size_t max_per_owner = *rc::gen::inRange<std::size_t>(1, 14);
        std::vector<Entry> entries = history(random, *rc::gen::inRange(0, 80), 1);
        Replica one(0, 4 * max_per_owner);
        Replica other(0, 4 * max_per_owner);
        for (const Entry& entry : entries) one.map.merge(kNow, entry);
        std::shuffle(entries.begin(), entries.end(), random);
        for (const Entry& entry : entries) {
          other.map.merge(kNow, entry);
          if (random() % 4 == 0) other.map.merge(kNow, entries[random() % entries.size()]);
        }
        RC_ASSERT(describe(one.map) == describe(other.map));
        RC_ASSERT(other.map.size() <= 4 * max_per_owner);
        // Merging is idempotent.
        const std::string before = describe(one.map);
        for (const Entry& entry : entries) one.map.merge(kNow, entry);
        RC_ASSERT(describe(one.map) == before);
      },
      500);
}

TEST_CASE("replicas that learn incarnations at different times agree once they receive all entries again",
          "[replicated_state]") {
  holds([] {
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    std::vector<Entry> entries = history(random, *rc::gen::inRange(0, 60), 3);
    Replica one(0, std::size_t{4} * 6);
    Replica other(0, std::size_t{4} * 6);
    for (Replica* replica : {&one, &other}) {
      std::shuffle(entries.begin(), entries.end(), random);
      for (const Entry& entry : entries) {
        if (random() % 10 == 0) {
          const std::uint64_t incarnation = 1 + random() % 3;
          replica->map.adopt_incarnation(1 + random() % 3, incarnation);
        }
        replica->map.merge(kNow, entry);
      }
      for (MemberIndex member = 1; member < 4; ++member) replica->map.adopt_incarnation(member, 3);
      std::shuffle(entries.begin(), entries.end(), random);
      for (const Entry& entry : entries) replica->map.merge(kNow, entry);
    }
    RC_ASSERT(describe(one.map) == describe(other.map));
  });
}

TEST_CASE("two replicas with different entries agree after they exchange digests and deltas",
          "[replicated_state]") {
  holds([] {
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    std::vector<Entry> entries = history(random, *rc::gen::inRange(0, 60), 1);
    // All entries have an age at which they are neither being disseminated nor near their max_age.
    for (Entry& entry : entries) entry.age = seconds(10);
    std::erase_if(entries, [](const Entry& entry) { return entry.payload.size() > 1; });
    Replica one;
    Replica other;
    for (const Entry& entry : entries) (random() % 2 == 0 ? one : other).map.merge(kNow, entry);
    const auto push = [](Replica& from, Replica& to) {
      for (MemberIndex member = 0; member < 4; ++member) {
        for (const Entry& entry : from.map.entries_missing_from(kNow, to.map.digest(kNow, member)))
          to.map.merge(kNow, entry);
      }
    };
    push(one, other);
    push(other, one);
    RC_ASSERT(describe(one.map) == describe(other.map));
    RC_ASSERT(one.map.group_hash(kNow, 0) == other.map.group_hash(kNow, 0));
    for (MemberIndex member = 0; member < 4; ++member)
      RC_ASSERT(one.map.entries_missing_from(kNow, other.map.digest(kNow, member)).empty());
  });
}

TEST_CASE("entries beyond the bounds are rejected, and each merge result is counted", "[replicated_state]") {
  Replica replica;
  const auto merge = [&](const Entry& entry) { return replica.map.merge(kNow, entry); };
  const Entry valid_entry = make_entry(1, 1, 5);
  Entry entry = valid_entry;
  entry.key.owner = 4;
  CHECK(merge(entry) == MergeResult::kInvalid);
  entry = valid_entry;
  entry.key.owner = 0;
  entry.version = 1000;
  CHECK(merge(entry) == MergeResult::kOwnEntry);
  entry = valid_entry;
  entry.incarnation = 0;
  CHECK(merge(entry) == MergeResult::kStaleIncarnation);
  entry = valid_entry;
  entry.incarnation = 2;
  CHECK(merge(entry) == MergeResult::kUnknownIncarnation);
  entry = valid_entry;
  entry.key.kind = 77;
  CHECK(merge(entry) == MergeResult::kUnknownKind);
  entry = valid_entry;
  entry.age = seconds(60);
  CHECK(merge(entry) == MergeResult::kExpired);
  entry = valid_entry;
  entry.age = -milliseconds(1);
  CHECK(merge(entry) == MergeResult::kInvalid);
  entry = valid_entry;
  entry.version = 0;
  CHECK(merge(entry) == MergeResult::kInvalid);
  entry.version = kMaxVersion + 1;
  CHECK(merge(entry) == MergeResult::kInvalid);
  entry = valid_entry;
  entry.payload = {200};
  CHECK(merge(entry) == MergeResult::kInvalid);
  entry.payload.assign(9, 1);
  CHECK(merge(entry) == MergeResult::kInvalid);
  CHECK(replica.map.size() == 0);
  CHECK(merge(valid_entry) == MergeResult::kAccepted);
  CHECK(merge(valid_entry) == MergeResult::kAlreadyKnown);
  entry = make_entry(1, 2, 5);
  CHECK(merge(entry) == MergeResult::kInvalid);  // an owner has only one entry per version
  CHECK(replica.map.merge_counts()[static_cast<std::size_t>(MergeResult::kInvalid)] == 7);
  CHECK(replica.map.merge_counts()[static_cast<std::size_t>(MergeResult::kOwnEntry)] == 1);
}

TEST_CASE("failure evidence is valid only if its failed attempts do not exceed its attempts",
          "[replicated_state]") {
  const EntryKind kind = failure_evidence_kind();
  CHECK(kind.is_valid(encode({0, 1})));
  CHECK(kind.is_valid(encode({7, 7})));
  CHECK_FALSE(kind.is_valid(encode({8, 7})));
  CHECK_FALSE(kind.is_valid(encode({0, 0})));
  CHECK_FALSE(kind.is_valid(encode({0, kMaxAttempts + 1})));
  CHECK_FALSE(kind.is_valid(std::vector<std::uint8_t>{0xFF}));
  CHECK(encode({kMaxAttempts, kMaxAttempts}).size() <= kind.max_payload_bytes);
}

TEST_CASE("a kind is not registered if it is incomplete or its id is taken", "[replicated_state]") {
  EntryKinds kinds;
  kinds.add(test_kind(5));
  CHECK_THROWS_WITH(kinds.add(test_kind(5)), Catch::Contains("taken"));
  CHECK_THROWS(kinds.add(test_kind(0)));
  CHECK_THROWS(kinds.add(test_kind(kMaxKindId + 1)));
  EntryKind bad = test_kind(7);
  bad.is_valid = {};
  CHECK_THROWS_WITH(kinds.add(bad), Catch::Contains("no payload validator"));
  bad = test_kind(7);
  bad.max_payload_bytes = kMaxPayloadBytes + 1;
  CHECK_THROWS(kinds.add(bad));
}

TEST_CASE("each registration error of a kind has its own text", "[replicated_state]") {
  const auto text = [](EntryKindErrorCode code) { return to_text({code, 7, "test", "other"}); };
  CHECK(text(EntryKindErrorCode::kInvalidId) == "kind 7 (test): invalid id");
  CHECK(text(EntryKindErrorCode::kPayloadTooLong) == "kind 7 (test): payload too long");
  CHECK(text(EntryKindErrorCode::kNoValidator) == "kind 7 (test): no payload validator");
  CHECK(text(EntryKindErrorCode::kInvalidSpread) ==
        "kind 7 (test): invalid maximum age, half-life or number of transmissions");
  CHECK(text(EntryKindErrorCode::kIdTaken) == "kind 7 (test): id taken by other");
  EntryKind never_sent = test_kind(7);
  never_sent.max_transmissions = 0;
  EntryKinds kinds;
  try {
    kinds.add(never_sent);
    FAIL("accepted");
  } catch (const EntryKindError& error) {
    CHECK(error.problem.code == EntryKindErrorCode::kInvalidSpread);
    CHECK(error.what() == text(EntryKindErrorCode::kInvalidSpread));
  }
}

std::vector<EntryView> visible(const ReplicatedMap& map, Time now) {
  std::vector<EntryView> found;
  map.for_each(now, 5, [&](const EntryView& view) { found.push_back(view); });
  return found;
}

TEST_CASE("an entry ages by the receiver's clock, starting from the age that it was sent with, and expires",
          "[replicated_state]") {
  Replica replica;
  replica.map.merge(kNow, make_entry(1, 1, 1, 1, seconds(20)));
  REQUIRE(visible(replica.map, kNow + seconds(5)).size() == 1);
  CHECK(visible(replica.map, kNow + seconds(5))[0].age == seconds(25));
  replica.map.merge(kNow + seconds(5), make_entry(1, 1, 1, 1, seconds(24)));  // a less exact age
  CHECK(visible(replica.map, kNow + seconds(5))[0].age == seconds(25));
  CHECK(visible(replica.map, kNow + seconds(40)).empty());
  replica.map.tick(kNow + seconds(40));
  CHECK(replica.map.size() == 0);
  CHECK(replica.map.merge(kNow + seconds(40), make_entry(1, 1, 1, 1, seconds(60))) == MergeResult::kExpired);
}

TEST_CASE("an entry's weight decays while its owner is silent, and is restored when it is alive again",
          "[replicated_state]") {
  Replica replica;
  replica.map.merge(kNow, make_entry(1, 1, 1));
  CHECK(visible(replica.map, kNow + seconds(10))[0].weight == 1);
  replica.map.set_silent_since(1, kNow);
  CHECK(visible(replica.map, kNow + seconds(10))[0].weight == Approx(0.5));
  CHECK(visible(replica.map, kNow + seconds(30))[0].weight == Approx(0.125));
  replica.map.set_silent_since(1, std::nullopt);
  CHECK(visible(replica.map, kNow + seconds(30))[0].weight == 1);
}

TEST_CASE("a later incarnation drops the entries of the earlier one", "[replicated_state]") {
  Replica replica;
  replica.map.merge(kNow, make_entry(1, 1, 50));
  replica.map.adopt_incarnation(1, 2);
  CHECK(replica.map.size() == 0);
  CHECK(replica.map.merge(kNow, make_entry(1, 1, 51)) == MergeResult::kStaleIncarnation);
  Entry entry = make_entry(1, 1, 1);
  entry.incarnation = 2;
  CHECK(replica.map.merge(kNow, entry) == MergeResult::kAccepted);
}

TEST_CASE("an early own write is deferred, the last one wins, and an unchanged one waits for its refresh",
          "[replicated_state]") {
  Replica replica;
  const auto set = [&](Time now, std::uint8_t value) {
    return replica.map.set(now, 5, 1, std::vector<std::uint8_t>{value});
  };
  const auto version = [&] { return replica.map.digest(kNow, 0).max_version; };
  CHECK_FALSE(set(kNow, 200));
  CHECK_FALSE(replica.map.set(kNow, 99, 1, {}));
  CHECK(set(kNow, 1));
  CHECK(version() == 1);
  CHECK(set(kNow + seconds(1), 2));
  CHECK(set(kNow + seconds(1), 3));
  replica.map.tick(kNow + milliseconds(1999));
  CHECK(version() == 1);
  replica.map.tick(kNow + seconds(2));
  CHECK(version() == 2);
  CHECK(visible(replica.map, kNow + seconds(2))[0].payload[0] == 3);
  CHECK(set(kNow + seconds(15), 3));
  CHECK(version() == 2);
  CHECK(set(kNow + seconds(22), 3));
  CHECK(version() == 3);
  replica.map.erase(kNow + seconds(30), 5, 1);
  CHECK(visible(replica.map, kNow + seconds(30)).empty());
  CHECK(version() == 4);
  REQUIRE(replica.map.send_queue(kNow + seconds(30), Delivery::kUnicast).size() == 1);
  CHECK(replica.map.send_queue(kNow + seconds(30), Delivery::kUnicast)[0].is_tombstone);
}

TEST_CASE("an owner's entries stay within its limit, deferred writes included", "[replicated_state]") {
  Replica replica(0, std::size_t{4} * 3);
  for (std::uint64_t id = 0; id < 10; ++id) replica.map.set(kNow, 5, id, std::vector<std::uint8_t>{1});
  CHECK(replica.map.size() == 3);
  for (std::uint64_t id = 7; id < 10; ++id)
    CHECK(replica.map.set(kNow + seconds(1), 5, id, std::vector<std::uint8_t>{2}));
  CHECK(visible(replica.map, kNow)[0].id == 7);
  // Many entries by another owner evict none of this replica's own entries.
  for (std::uint64_t version = 1; version < 100; ++version)
    replica.map.merge(kNow, make_entry(1, version, version));
  CHECK(replica.map.size() == 6);
  CHECK(replica.map.merge(kNow, make_entry(1, 1, 1)) ==
        MergeResult::kAlreadyKnown);  // it was evicted and is not stored again
  CHECK(replica.map.size() == 6);
}

TEST_CASE("own entries are written again under a new own incarnation", "[replicated_state]") {
  Replica replica;
  replica.map.set(kNow, 5, 1, std::vector<std::uint8_t>{1});
  replica.map.set(kNow + seconds(3), 5, 1, std::vector<std::uint8_t>{2});
  replica.map.set_own_incarnation(9);
  const auto queue = replica.map.send_queue(kNow + seconds(5), Delivery::kUnicast);
  REQUIRE(queue.size() == 1);
  CHECK(queue[0].incarnation == 9);
  CHECK(queue[0].version == 1);
  CHECK(queue[0].age == seconds(2));
}

TEST_CASE("an entry is sent as often as its kind specifies", "[replicated_state]") {
  Replica replica;
  replica.map.merge(kNow, make_entry(1, 1, 1));
  for (unsigned i = 0; i < test_kind(5).max_transmissions; ++i) {
    REQUIRE(replica.map.send_queue(kNow, Delivery::kUnicast).size() == 1);
    replica.map.mark_sent({5, 1, 1}, Delivery::kUnicast);
  }
  CHECK(replica.map.send_queue(kNow, Delivery::kUnicast).empty());
  replica.map.merge(kNow, make_entry(1, 1, 1));
  CHECK(replica.map.send_queue(kNow, Delivery::kUnicast).empty());
  replica.map.merge(kNow, make_entry(1, 1, 2));
  CHECK(replica.map.send_queue(kNow, Delivery::kUnicast).size() == 1);
}

}  // namespace
}  // namespace dispatcher::testing
