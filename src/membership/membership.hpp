// Detects which members of the fleet are alive, by SWIM (Das, Gupta, Motivala, "SWIM: scalable
// weakly-consistent infection-style process group membership protocol", 2002) with suspicion, and Lifeguard's
// local health. Does no I/O: time, randomness and received messages are passed in, and messages to send are
// returned. GossipNode, which sends them, adds this member's version to each and fills it with updates
// (update_queue(), next_page()).
//
// Differences from the papers, as the set of members is fixed and their addresses are known:
// - A member is unknown until a message from it, or an update about it, arrives. Unknown and dead members are
//   pinged every few intervals, so that the parts of a partitioned fleet reconnect. If such a ping is not
//   acked, nothing changes.
// - A ping that is not acked is repeated after each further timeout, in addition to the indirect probes: a
//   direct probe fails if one of two messages is lost, a probe through a helper if one of four is. The
//   repetition costs bytes only after a failure.
// - A process that was stopped detects the pause by its own clock. It then discards its pending probe, adds
//   the pause to its suspicions' timeouts, and degrades its local health.
#ifndef DISPATCHER_MEMBERSHIP_MEMBERSHIP_HPP_
#define DISPATCHER_MEMBERSHIP_MEMBERSHIP_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "membership/indirect_probes.hpp"
#include "membership/member_table.hpp"
#include "membership/probe_rotation.hpp"

namespace dispatcher::membership {

// Runs the failure detector of one member and holds its view of the fleet. Owned by a GossipNode; used on one
// thread, with no callbacks.
class Membership {
 public:
  // `self` must be below `count`, and `incarnation` at least 1 (see MemberVersion).
  Membership(const Parameters& parameters, MemberIndex self, MemberIndex count, std::uint64_t incarnation,
             Time now, Random random);

  // Called when a message from the member `from` arrives. Merges the sender's version and the updates, and
  // then handles the probe if there is one. Returns the answers to send.
  std::vector<OutgoingMessage> on_received(Time now, MemberIndex from, MemberVersion version,
                                           const std::optional<Probe>& probe,
                                           const std::vector<MemberUpdate>& updates);
  // Sends probes and nacks and ends suspicions that are due. Called at or after next_deadline().
  std::vector<OutgoingMessage> tick(Time now);
  [[nodiscard]] Time next_deadline() const;
  // Returns the messages that announce the end of this process. After this call, only update_queue() may be
  // called.
  std::vector<OutgoingMessage> leave();

  // These functions forward to MemberTable.
  [[nodiscard]] std::vector<MemberUpdate> update_queue(MemberIndex to,
                                                       UpdateFilter filter = UpdateFilter::kAll) const {
    return table_.update_queue(to, filter);
  }
  void mark_sent(MemberIndex member) { table_.mark_sent(member); }
  [[nodiscard]] std::vector<MemberUpdate> next_page(std::size_t max_updates) {
    return table_.next_page(max_updates);
  }
  [[nodiscard]] std::uint32_t view_hash() const { return table_.view_hash(); }
  void mark_view_agreed() { table_.mark_view_agreed(); }

  [[nodiscard]] MemberIndex self() const { return table_.self(); }
  [[nodiscard]] MemberIndex count() const { return table_.count(); }
  [[nodiscard]] const MemberVersion& version() const { return table_.own_version(); }
  [[nodiscard]] MemberState state(MemberIndex member) const { return table_.state(member); }
  [[nodiscard]] const MemberUpdate& latest_update(MemberIndex member) const {
    return table_.latest_update(member);
  }
  [[nodiscard]] Time state_since(MemberIndex member) const { return table_.state_since(member); }
  // Returns the members that are alive or suspect, without this member, in ascending order.
  [[nodiscard]] std::vector<MemberIndex> live_members() const;
  // Returns the score of LocalHealth; 0 means healthy.
  [[nodiscard]] unsigned health_score() const { return health_.score(); }
  // Returns the changes since the last call.
  [[nodiscard]] std::vector<MemberChange> take_changes() { return table_.take_changes(); }

  // Returns a hash of all state that determines future behaviour, with times relative to `now`. For tests
  // that explore all states.
  [[nodiscard]] std::uint64_t state_hash(Time now) const;

  // Totals since the start of the process.
  struct Counts {
    std::uint64_t suspicions = 0;  // for this and the next two, see MemberTable::Counts
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
    std::uint64_t probes = 0;         // sent to live members
    std::uint64_t failed_probes = 0;  // acked neither directly nor through a helper
    std::uint64_t pauses = 0;         // times in which this process did not run
  };
  [[nodiscard]] Counts counts() const;

 private:
  // This member's own probe of the current interval.
  struct PendingProbe {
    MemberIndex target = 0;
    std::uint32_t sequence = 0;
    Time retry_at{};           // when the direct ping is repeated
    Time deadline{};           // the end of the interval
    bool is_indirect = false;  // ping requests were sent to helpers
    bool is_acked = false;
    unsigned helpers = 0;  // number of helpers that were sent a ping request
    unsigned nacks = 0;    // number of nacks received from helpers
  };

  void detect_pause(Time now);
  void merge(Time now, const MemberUpdate& update);
  void answer(Time now, MemberIndex from, const Probe& probe, std::vector<OutgoingMessage>& out);
  [[nodiscard]] bool is_acked_by(MemberIndex from, std::uint32_t sequence) const;
  void start_indirect_probe(Time now, MemberIndex origin, const Probe& request,
                            std::vector<OutgoingMessage>& out);
  void on_ack(MemberIndex from, std::uint32_t sequence, std::vector<OutgoingMessage>& out);
  void on_nack(std::uint32_t sequence);
  void finish_probe(Time now);
  void start_probe(Time now, std::vector<OutgoingMessage>& out);
  void retry_probe(Time now, std::vector<OutgoingMessage>& out);
  void request_indirect_probes(std::vector<OutgoingMessage>& out);
  void ping_unreachable(std::vector<OutgoingMessage>& out);
  [[nodiscard]] std::vector<MemberIndex> others() const;
  [[nodiscard]] std::vector<MemberIndex> draw_sample(std::vector<MemberIndex> members);

  Parameters parameters_;
  Random random_;
  MemberTable table_;
  LocalHealth health_;
  ProbeRotation probe_rotation_;      // order in which live members are probed
  ProbeRotation reconnect_rotation_;  // order in which unknown and dead members are pinged
  IndirectProbes indirect_probes_;
  std::uint32_t sequence_ = 0;        // sequence number of the latest ping
  std::uint64_t interval_count_ = 0;  // number of probe intervals begun
  Time probe_at_;                     // when the next probe interval begins
  Time last_seen_;                    // the latest time passed in
  std::optional<PendingProbe> pending_probe_;
  std::uint64_t probes_ = 0;
  std::uint64_t failed_probes_ = 0;
  std::uint64_t pauses_ = 0;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_MEMBERSHIP_HPP_
