// One process's view of its fleet: the latest update about each member, the timers of suspicions, and which
// updates are still to be disseminated (SWIM's infection-style dissemination). No I/O; the clock is passed
// in.
#ifndef DISPATCHER_MEMBERSHIP_MEMBER_TABLE_HPP_
#define DISPATCHER_MEMBERSHIP_MEMBER_TABLE_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "membership/member.hpp"
#include "membership/suspicion.hpp"

namespace dispatcher::membership {

// Figures of the protocol. The multipliers scale with log10 of the count of members (at least 1).
struct Parameters {
  Duration probe_interval = std::chrono::seconds(1);
  Duration probe_timeout = std::chrono::milliseconds(250);  // of a direct ping; below a third of the interval
  unsigned indirect_probes = 3;         // helpers that are asked to ping a member that has not answered
  double suspicion_multiplier = 3;      // the shortest suspicion, in scaled probe intervals
  double suspicion_max_multiplier = 4;  // the longest suspicion, in shortest ones
  unsigned required_confirmations = 3;  // that shorten a suspicion to the shortest
  unsigned max_health_score = 8;        // of LocalHealth
  double retransmit_multiplier = 4;     // an update is sent so many times, scaled and rounded up
  unsigned reconnect_every = 4;         // probe intervals between two pings of unknown or dead members
};

// Which updates a receiver needs.
enum class UpdateFilter : std::uint8_t {
  kAll,
  kSuspicionsOnly,  // its view_hash() equals ours
};

// The view. Part of a Membership; used on its thread, with no callbacks.
class MemberTable {
 public:
  MemberTable(const Parameters& parameters, MemberIndex self, MemberIndex count, std::uint64_t incarnation,
              Time now);

  // Whether this member had to refute the update, as it is about itself.
  enum class MergeOutcome : std::uint8_t { kMerged, kRefuted };
  MergeOutcome merge(Time now, const MemberUpdate& update);
  // This process suspects a live member.
  void suspect(Time now, MemberIndex member);
  // Declares members dead whose suspicions have timed out.
  void expire_suspicions(Time now);
  // Adds time in which this process did not run to all suspicions.
  void extend_suspicions(Duration pause);
  // When the next suspicion times out.
  [[nodiscard]] std::optional<Time> next_deadline() const;
  // Marks this member as dead, for its last messages.
  void leave();

  // Updates worth sending to `to`, the most valuable first: what it must know about itself, then what was
  // sent the least often. The caller reports by mark_sent() which ones went out.
  [[nodiscard]] std::vector<MemberUpdate> update_queue(MemberIndex to, UpdateFilter filter) const;
  void mark_sent(MemberIndex member);
  // Updates about known members, from where the last page ended, for a receiver whose view_hash() differs.
  [[nodiscard]] std::vector<MemberUpdate> next_page(std::size_t max_updates);
  // Equal where the same members are alive, in the same incarnations.
  [[nodiscard]] std::uint32_t view_hash() const;
  // Somebody's view_hash() equals ours: what it covers needs one transmission less.
  void mark_view_agreed();

  [[nodiscard]] MemberIndex self() const { return self_; }
  [[nodiscard]] MemberIndex count() const { return static_cast<MemberIndex>(members_.size()); }
  [[nodiscard]] const MemberVersion& own_version() const { return members_[self_].update.version; }
  [[nodiscard]] const MemberUpdate& latest_update(MemberIndex member) const {
    return members_[member].update;
  }
  [[nodiscard]] MemberState state(MemberIndex member) const { return members_[member].update.state; }
  [[nodiscard]] Time state_since(MemberIndex member) const { return members_[member].since; }
  // Alive or suspect.
  [[nodiscard]] bool is_live(MemberIndex member) const;
  [[nodiscard]] std::vector<MemberChange> take_changes() { return std::exchange(changes_, {}); }

  // Totals since the start of the process.
  struct Counts {
    std::uint64_t suspicions = 0;
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::size_t page_position() const { return page_position_; }
  // Appends what decides future behaviour, with times relative to `now`, for tests that explore all states.
  void append_state(Time now, std::vector<std::uint64_t>& state) const;

 private:
  struct Member {
    MemberUpdate update;
    Time since{};
    std::optional<Suspicion> suspicion;
    unsigned remaining_sends = 0;
  };
  MergeOutcome merge_own(const MemberUpdate& update);
  void replace(Time now, const MemberUpdate& update);
  void start_suspicion(Time now, Member& member, MemberIndex accuser);
  [[nodiscard]] unsigned max_sends() const;
  [[nodiscard]] Duration min_suspicion_timeout() const;

  Parameters parameters_;
  MemberIndex self_;
  std::vector<Member> members_;
  std::size_t page_position_ = 0;
  std::vector<MemberChange> changes_;
  Counts counts_;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_MEMBER_TABLE_HPP_
