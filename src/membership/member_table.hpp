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

#include "membership/parameters.hpp"
#include "membership/suspicion.hpp"

namespace dispatcher::membership {

// Which updates a receiver needs.
enum class UpdateFilter : std::uint8_t {
  kAll,
  kSuspicionsOnly,  // its view_hash() equals ours
};

// The view. Part of a Membership; used on its thread, with no callbacks. Members are below count() in all
// calls but merge(), which ignores others.
class MemberTable {
 public:
  // `self` is below `count`; `incarnation` is at least 1, see MemberVersion.
  MemberTable(const Parameters& parameters, MemberIndex self, MemberIndex count, std::uint64_t incarnation,
              Time now);

  // Whether this member had to refute the update, as it is about itself.
  enum class MergeOutcome : std::uint8_t { kMerged, kRefuted };
  // Merges the update into the view, see MemberUpdate: any order and repetition of the same updates gives the
  // same view.
  MergeOutcome merge(Time now, const MemberUpdate& update);
  // This process suspects the member, where it is live.
  void suspect(Time now, MemberIndex member);
  // Declares members dead whose suspicions have timed out.
  void expire_suspicions(Time now);
  // Adds time in which this process did not run to all suspicions.
  void extend_suspicions(Duration pause);
  // When the next suspicion times out.
  [[nodiscard]] std::optional<Time> next_deadline() const;
  // Marks this member as dead, for its last messages.
  void leave();

  // Updates worth sending to `to`, the most valuable first: those about itself that it must refute, then
  // those that were sent the least often. The caller reports by mark_sent() which ones it sent.
  [[nodiscard]] std::vector<MemberUpdate> update_queue(MemberIndex to, UpdateFilter filter) const;
  void mark_sent(MemberIndex member);
  // At most `max_updates` updates about known members, continuing after the last page, for a receiver
  // whose view_hash() differs.
  [[nodiscard]] std::vector<MemberUpdate> next_page(std::size_t max_updates);
  // Equal where the same members are alive, in the same incarnations.
  [[nodiscard]] std::uint32_t view_hash() const;
  // Another member's view_hash() equals ours: the updates that it covers need one transmission less.
  void mark_view_agreed();

  [[nodiscard]] MemberIndex self() const { return self_; }
  [[nodiscard]] MemberIndex count() const { return static_cast<MemberIndex>(members_.size()); }
  [[nodiscard]] const MemberVersion& own_version() const { return members_[self_].update.version; }
  [[nodiscard]] const MemberUpdate& latest_update(MemberIndex member) const {
    return members_[member].update;
  }
  [[nodiscard]] MemberState state(MemberIndex member) const { return members_[member].update.state; }
  // When its state or its incarnation last changed in this view.
  [[nodiscard]] Time state_since(MemberIndex member) const { return members_[member].since; }
  // Alive or suspect.
  [[nodiscard]] bool is_live(MemberIndex member) const;
  // Changes since the last call, in their order.
  [[nodiscard]] std::vector<MemberChange> take_changes() { return std::exchange(changes_, {}); }

  // Totals since the start of the process.
  struct Counts {
    std::uint64_t suspicions = 0;   // of others, by any accuser
    std::uint64_t refutations = 0;  // of this member's suspicions and earlier incarnations
    std::uint64_t deaths = 0;       // of others
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::size_t page_position() const { return page_position_; }
  // Appends what decides future behaviour, with times relative to `now`, for tests that explore all states.
  void append_state(Time now, std::vector<std::uint64_t>& state) const;

 private:
  struct Member {
    MemberUpdate update;
    Time since{};                        // see state_since()
    std::optional<Suspicion> suspicion;  // while its state is kSuspect
    unsigned remaining_sends = 0;        // of the update
  };
  MergeOutcome merge_own(const MemberUpdate& update);
  void replace(Time now, const MemberUpdate& update);
  void start_suspicion(Time now, Member& member, MemberIndex accuser);
  [[nodiscard]] unsigned max_sends() const;
  [[nodiscard]] Duration min_suspicion_timeout() const;

  Parameters parameters_;
  MemberIndex self_;
  std::vector<Member> members_;
  std::size_t page_position_ = 0;  // the last member of the last page
  std::vector<MemberChange> changes_;
  Counts counts_;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_MEMBER_TABLE_HPP_
