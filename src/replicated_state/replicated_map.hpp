// The rows that the members of a fleet share: registers that only their owner writes, merged as a join, so
// that loss, order and repetition do not matter. No I/O; the clock is passed in.
//
// An owner's rows belong to one of its lives and bear numbers from one counter of that life: `version`. What
// is known of an owner is ordered by life; within a life each key has its highest version, and of all keys
// those with the highest versions are kept, up to the quota. A row that falls out of the quota has as many
// younger ones above it, whose versions only grow: it would never come back in. So the cap is a part of the
// join. `floor` is the highest version that fell out; nothing at or below it is taken.
#ifndef DISPATCHER_REPLICATED_STATE_REPLICATED_MAP_HPP_
#define DISPATCHER_REPLICATED_STATE_REPLICATED_MAP_HPP_

#include <array>
#include <boost/container/static_vector.hpp>
#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "replicated_state/entry_kinds.hpp"

namespace dispatcher::replicated_state {

using Payload = boost::container::static_vector<std::uint8_t, kMaxPayload>;

struct Place {
  std::uint32_t kind = 0;
  std::uint64_t key = 0;
  Number owner = 0;
  auto operator<=>(const Place&) const = default;
};

// As it travels.
struct Row {
  Place place;
  std::uint64_t life = 0, version = 0;
  bool gone = false;  // the owner has taken it back
  Duration age{};     // since the owner wrote it, as the sender reckons it
  Payload payload;
};
inline constexpr std::uint64_t kMaxVersion = std::uint64_t{1} << 48U;

enum class MergeResult : std::uint8_t {
  kNew,
  kKnown,
  kOldLife,
  kUnknownLife,
  kUnknownKind,
  kTooOld,
  kOutOfBounds,
  kOwn
};
inline constexpr std::size_t kVerdicts = 8;
const char* name(MergeResult verdict);

// What somebody who asks for a kind's rows is shown.
struct Heard {
  Number owner = 0;
  std::uint64_t key = 0;
  Bytes payload;
  Duration age{};     // since its owner wrote it; travel adds up to some tens of ms a hop
  double weight = 1;  // 1 while its owner is heard; halved with each half-life of its silence
};

// What a member has of one owner, in few bytes; where they are equal, nothing is to be exchanged.
struct Summary {
  Number owner = 0;
  std::uint64_t top = 0;   // the highest version that it has seen
  std::uint32_t hash = 0;  // over the owner's life and those rows that no longer spread by themselves
};

class ReplicatedMap {
 public:
  // Room for `total` rows, an equal quota for each of `count` owners, at least 1.
  ReplicatedMap(const Kinds& kinds, Number self, Number count, std::uint64_t life, std::size_t total);

  // Our own. The same again costs nothing until the row needs refreshing. False: not within the kind's
  // bounds, the kind not known, or no room for one more write that must wait.
  bool set(Time now, std::uint32_t kind, std::uint64_t key, Bytes payload);
  void erase(Time now, std::uint32_t kind, std::uint64_t key);
  // Rows not too old, ours included, in the order of keys and owners.
  void each(Time now, std::uint32_t kind, const std::function<void(const Heard&)>& see) const;

  MergeResult merge(Time now, const Row& row);
  // An owner's life as the membership knows it: rows of earlier ones are dropped.
  void adopt_life(Number owner, std::uint64_t life);
  void own_life(Time now, std::uint64_t life);
  // Since when an owner has been silent; none: it is heard.
  void silent(Number owner, std::optional<Time> since) { owners_[owner].silent = since; }
  void tick(Time now);  // takes waiting writes, forgets what is too old

  // Rows to pass on, the most urgent first. Tell by sent() which ones went out. `at_once`: own ones alone
  // that are worth a datagram to all.
  [[nodiscard]] std::vector<Row> queue(Time now, bool at_once = false) const;
  void sent(const Place& place, bool to_all = false);

  // Anti-entropy. Owners fall into groups; a group's hash goes along with a probe, and where it differs, its
  // summaries go back.
  // A datagram has room for the summaries of about 16 owners; in larger groups they take turns.
  static constexpr Number kMinGroup = 10, kMaxGroups = 10;
  [[nodiscard]] Number groups() const;
  [[nodiscard]] std::uint32_t group_hash(Time now, Number group) const;
  [[nodiscard]] std::vector<Summary> summaries(Time now, Number group, Number first = 0) const;
  [[nodiscard]] Summary summary(Time now, Number owner) const;
  // Rows of an owner that the sender of the summary lacks, newest first. Empty: it has all that we have.
  [[nodiscard]] std::vector<Row> lacking(Time now, const Summary& theirs) const;
  // Does the sender of the summary have what we lack?
  [[nodiscard]] bool behind(Time now, const Summary& theirs) const;

  [[nodiscard]] std::size_t size() const { return rows_.size(); }
  [[nodiscard]] std::size_t quota() const { return quota_; }
  [[nodiscard]] const std::array<std::uint64_t, kVerdicts>& verdicts() const { return verdicts_; }

 private:
  struct Kept {
    std::uint64_t version = 0;
    bool gone = false;
    Time born{};  // by our clock
    unsigned sends_left = 0;
    bool told_all = false;
    Payload payload;
  };
  struct Owned {
    std::uint64_t life = 0, top = 0, floor = 0;
    std::map<std::uint64_t, Place> by_version;
    std::optional<Time> silent;
  };
  struct Pending {
    Payload payload;
    bool gone = false;
  };
  [[nodiscard]] Number group_size() const {
    return (static_cast<Number>(owners_.size()) + groups() - 1) / groups();
  }
  [[nodiscard]] MergeResult judge(const Row& row) const;
  bool offer(Time now, const Place& place, const Payload& payload, bool gone);
  void write(Time now, const Place& place, const Payload& payload, bool gone);
  void put(const Place& place, Kept kept);
  void drop(const Place& place);
  [[nodiscard]] Row row(Time now, const Place& place, const Kept& kept) const;
  [[nodiscard]] bool spread(Time now, const Place& place, const Kept& kept) const;

  const Kinds& kinds_;
  Number self_;
  std::size_t quota_;
  std::map<Place, Kept> rows_;
  std::vector<Owned> owners_;
  std::map<Place, Pending> pending_;  // our own writes that came too soon after the last; at most the quota
  std::array<std::uint64_t, kVerdicts> verdicts_{};
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_REPLICATED_MAP_HPP_
