// Who of the fleet is alive: SWIM (Das, Gupta, Motivala, 2002) with suspicion, and Lifeguard's local health.
// No I/O: time, randomness and messages are passed in, and what is to be sent is handed back. Whoever carries
// the messages puts this member's incarnation on each of them and fills them with claims (queue(), page()).
//
// Differences from the papers, as the set of members is fixed and their addresses are known:
// - a member is unknown until it, or word of it, was heard. Unknown and dead members are called now and then,
//   so that a fleet cut in two finds itself again; a call that isn't answered says nothing new.
// - a ping that is not answered is repeated each time the timeout passes again, beside the helpers: a direct
// path
//   has two chances to lose a message, one by a helper four. This costs bytes only where something is wrong.
// - a process that was stopped notices the pause by its own clock: its probe of before is void, suspicions
// wait
//   on by the pause, and it counts itself as unwell.
#ifndef DISPATCHER_MEMBERSHIP_MEMBERSHIP_HPP_
#define DISPATCHER_MEMBERSHIP_MEMBERSHIP_HPP_

#include <cstddef>
#include <optional>
#include <vector>

#include "membership/member.hpp"
#include "membership/suspicion.hpp"

namespace dispatcher::membership {

struct Parameters {
  Duration period = std::chrono::seconds(1);                // from one probe to the next
  Duration probe_timeout = std::chrono::milliseconds(250);  // a direct answer; below a third of the period
  unsigned helpers = 3;                                     // asked to ping what has not answered
  double suspicion_min = 3;      // periods, times log10 of the count (at least 1): the shortest wait
  double suspicion_stretch = 4;  // the longest wait, in shortest ones
  unsigned confirmations = 3;    // that shorten the wait to its least
  unsigned max_unwell = 8;       // of LocalHealth
  double spread = 4;             // a claim is sent so many times, times log10 of the count, rounded up
  unsigned call_every = 4;       // periods between two calls of the unknown and the dead
};

struct Sending {
  Number to = 0;
  std::optional<Probe> probe;  // none: only what it carries besides
};

struct Change {
  Number member = 0;
  MemberState before{}, after{};
  bool new_life = false;
};

class Membership {
 public:
  // `self` below `count`. `life`: see Incarnation, at least 1.
  Membership(const Parameters& parameters, Number self, Number count, std::uint64_t life, Time now,
             Random random);

  // What arrived from `from`: its own incarnation, the probe if any, and the claims, in this order.
  std::vector<Sending> received(Time now, Number from, Incarnation incarnation,
                                const std::optional<Probe>& probe, const std::vector<MemberUpdate>& claims);
  std::vector<Sending> tick(Time now);  // at or after next()
  [[nodiscard]] Time next() const;
  std::vector<Sending> leave();  // says that this process ends; nothing may be called after it but queue()

  // Claims worth sending to `to`, the most valuable first: what it must know of itself, then what was sent
  // the least often. Tell by sent() which ones went out.
  // `suspicions_alone`: the receiver's summary is ours.
  [[nodiscard]] std::vector<MemberUpdate> queue(Number to, bool suspicions_alone = false) const;
  void sent(Number about);
  // Claims about known members from a moving place on, for one whose summary() differs.
  std::vector<MemberUpdate> page(std::size_t maximum);
  [[nodiscard]] std::uint32_t summary()
      const;      // equal where the same members are held alive, in the same lives
  void agreed();  // somebody's summary is ours: what it covers needs one telling less

  [[nodiscard]] Number self() const { return self_; }
  [[nodiscard]] Number count() const { return static_cast<Number>(members_.size()); }
  [[nodiscard]] const Incarnation& incarnation() const { return members_[self_].claim.incarnation; }
  [[nodiscard]] MemberState standing(Number number) const { return members_[number].claim.standing; }
  [[nodiscard]] const MemberUpdate& claim(Number number) const { return members_[number].claim; }
  [[nodiscard]] Time since(Number number) const { return members_[number].since; }  // of its standing
  [[nodiscard]] std::vector<Number> living() const;  // alive or suspect, without self
  [[nodiscard]] unsigned unwell() const { return health_.score(); }
  std::vector<Change> take_changes() { return std::exchange(changes_, {}); }

  // Over all that it will act by, times from `now` on: machines with equal ones act alike. For exploring.
  [[nodiscard]] std::uint64_t state_hash(Time now) const;

  struct Counts {
    std::uint64_t suspicions = 0, refutations = 0, deaths = 0, probes = 0, failed_probes = 0, pauses = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  struct Member {
    MemberUpdate claim;
    Time since{};
    std::optional<Suspicion> suspicion;
    unsigned sends_left = 0;
  };
  struct Probing {
    Number target = 0;
    std::uint32_t sequence = 0;
    Time again{}, ends{};  // when the next ping is due, and when all is over
    bool asked = false, answered = false;
    unsigned helpers = 0, nacks = 0;
  };
  struct Relay {  // a ping that another member asked for
    Number origin = 0;
    std::uint32_t origin_sequence = 0, sequence = 0;
    Number target = 0;
    Time nack_at{}, ends{};
    bool nacked = false;
  };
  void notice_pause(Time now);
  void merge(Time now, const MemberUpdate& claim);
  void merge_own(const MemberUpdate& claim);
  void set(Time now, const MemberUpdate& claim);
  void suspect(Time now, Number number);
  void answer(Time now, Number from, const Probe& probe, std::vector<Sending>& out);
  void finish_probe(Time now);
  void start_probe(Time now, std::vector<Sending>& out);
  void probe_again(Time now, std::vector<Sending>& out);
  void ask_helpers(std::vector<Sending>& out);
  void call_lost(std::vector<Sending>& out);
  void run_relays(Time now, std::vector<Sending>& out);
  [[nodiscard]] bool lives(Number number) const;
  std::optional<Number> next_in(std::vector<Number>& order, std::size_t& place, bool living);
  [[nodiscard]] unsigned sends() const;
  [[nodiscard]] Duration min_wait() const;

  Parameters p_;
  Number self_;
  Random random_;
  std::vector<Member> members_;
  LocalHealth health_;
  std::vector<Number> order_, call_order_;  // everybody else, shuffled anew each time round
  std::size_t place_ = 0, call_place_ = 0, page_ = 0;
  std::uint32_t sequence_ = 0;
  std::uint64_t period_ = 0;
  Time probe_at_;
  Time seen_;  // the latest clock
  std::optional<Probing> probing_;
  std::vector<Relay> relays_;  // at most kMostRelays
  std::vector<Change> changes_;
  Counts counts_;
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_MEMBERSHIP_HPP_
