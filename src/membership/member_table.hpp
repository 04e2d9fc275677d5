// One process's view of its fleet: the latest update about each member, the suspicion timers, and the updates
// that are still to be disseminated (SWIM's infection-style dissemination). Does no I/O; the time is passed
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
  kSuspicionsOnly,  // enough for a receiver whose view_hash() equals this process's
};

// Holds the view. Part of a Membership; used on its thread, with no callbacks. Member indexes must be below
// count() in all calls except merge(), which ignores updates about any other index.
class MemberTable {
 public:
  // `self` must be below `count`, and `incarnation` at least 1 (see MemberVersion).
  MemberTable(const Parameters& parameters, MemberIndex self, MemberIndex count, std::uint64_t incarnation,
              Time now);

  // kRefuted means that the update was about this member itself and had to be refuted.
  enum class MergeOutcome : std::uint8_t { kMerged, kRefuted };
  // Merges the update into the view (see MemberUpdate). The same updates give the same view in any order and
  // with any repetitions.
  MergeOutcome merge(Time now, const MemberUpdate& update);
  // Records that this process suspects the member. Has no effect if the member is not live.
  void suspect(Time now, MemberIndex member);
  // Declares dead the members whose suspicions have timed out.
  void expire_suspicions(Time now);
  // Extends all suspicions by `pause`, a time in which this process did not run.
  void extend_suspicions(Duration pause);
  // Returns when the next suspicion times out, or nullopt if there is no suspicion.
  [[nodiscard]] std::optional<Time> next_deadline() const;
  // Marks this member as dead, so that its last messages announce that it leaves.
  void leave();

  // Returns the updates to send to the member `to`, in order of importance: first the one that `to` must
  // refute because it is about itself, then the others by the number of times they were sent, lowest first.
  // The caller reports each update that it sent by mark_sent().
  [[nodiscard]] std::vector<MemberUpdate> update_queue(MemberIndex to, UpdateFilter filter) const;
  void mark_sent(MemberIndex member);
  // Returns at most `max_updates` updates about known members, continuing after the previous page. Meant for
  // a receiver whose view_hash() differs.
  [[nodiscard]] std::vector<MemberUpdate> next_page(std::size_t max_updates);
  // Returns a hash that is equal for views in which the same members are known, in the same incarnations, and
  // the same ones of them are dead.
  [[nodiscard]] std::uint32_t view_hash() const;
  // Called when another member's view_hash() equals this process's. The updates that the hash covers then
  // need one transmission less.
  void mark_view_agreed();

  [[nodiscard]] MemberIndex self() const { return self_; }
  [[nodiscard]] MemberIndex count() const { return static_cast<MemberIndex>(members_.size()); }
  [[nodiscard]] const MemberVersion& own_version() const { return members_[self_].update.version; }
  [[nodiscard]] const MemberUpdate& latest_update(MemberIndex member) const {
    return members_[member].update;
  }
  [[nodiscard]] MemberState state(MemberIndex member) const { return members_[member].update.state; }
  // Returns when the member's state or incarnation last changed in this view.
  [[nodiscard]] Time state_since(MemberIndex member) const { return members_[member].since; }
  // Returns true if the member is alive or suspect.
  [[nodiscard]] bool is_live(MemberIndex member) const;
  // Returns the changes since the last call, in the order in which they happened.
  [[nodiscard]] std::vector<MemberChange> take_changes() { return std::exchange(changes_, {}); }

  // Totals since the start of the process.
  struct Counts {
    std::uint64_t suspicions = 0;   // of others, by any accuser
    std::uint64_t refutations = 0;  // by this member, of any update about itself
    std::uint64_t deaths = 0;       // of others
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::size_t page_position() const { return page_position_; }
  // Appends all values that determine future behaviour to `state`, with times relative to `now`. For tests
  // that explore all states.
  void append_state(Time now, std::vector<std::uint64_t>& state) const;

 private:
  struct Member {
    MemberUpdate update;
    Time since{};                        // see state_since()
    std::optional<Suspicion> suspicion;  // set while the member's state is kSuspect
    unsigned remaining_sends = 0;        // how many more times the update is to be sent
  };
  MergeOutcome merge_own(const MemberUpdate& update);
  void replace(Time now, const MemberUpdate& update);
  void start_suspicion(Time now, Member& member, MemberIndex accuser);
  [[nodiscard]] unsigned max_sends() const;
  [[nodiscard]] Duration min_suspicion_timeout() const;

  Parameters parameters_;
  MemberIndex self_;
  std::vector<Member> members_;
  std::size_t page_position_ = 0;  // the last member that next_page() looked at
  std::vector<MemberChange> changes_;
  Counts counts_;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_MEMBER_TABLE_HPP_
