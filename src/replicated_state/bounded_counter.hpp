// Rights that add up: a whole that the members of a fleet hold in parts whose sum never passes it, whatever
// is lost, late, repeated, cut off, stopped or started again. No I/O; clock, randomness and messages are
// passed in.
//
// Each number has a fixed share of each whole, by the configured count: what it may use alone, as without
// talk. Two natures:
// - kSpent: units that are used once. A unit moves by a grant that leaves the giver first and is counted by
// its
//   asker once; one whose grant is lost is lost. A process has a share only of a whole that it saw begin: of
//   any other an earlier process of its number may have spent it, so it starts with nothing until granted.
// - kRate: units a second, refilled for good, that pile up for `depth` at most. A part of the share is kept
// and
//   never lent; the rest is lent for `lease`. The borrower counts the lease from before it asked, by its own
//   clock, and looks at the clock at each use, so that a stopped process has lost the loan when it wakes. The
//   lender takes it back outlasts(lease) after it granted: its clock, at most `drift` fast, has then passed
//   the lease of a clock at most `drift` slow that began no later. How long datagrams travel does not enter.
//   A process that starts may be the next of one that had lent: it uses the part that is never lent only,
//   until outlasts(kMostLease) after its start. The level of what has piled up starts at zero.
//
// Clocks: steady, running on while the process is stopped, each within `drift` of true rate. They are
// compared with themselves only. docs/design/fleet-as-one.md has the argument in full.
#ifndef DISPATCHER_REPLICATED_STATE_BOUNDED_COUNTER_HPP_
#define DISPATCHER_REPLICATED_STATE_BOUNDED_COUNTER_HPP_

#include <boost/random/taus88.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "replicated_state/entry_kinds.hpp"

namespace dispatcher::replicated_state {

using Random = boost::random::taus88;

struct BudgetId {
  std::uint32_t kind = 0;
  std::uint64_t key = 0;  // for kSpent with the whole's birth in it: a whole that has ended never comes again
  auto operator<=>(const BudgetId&) const = default;
};
enum class Nature : std::uint8_t { kSpent, kRate };

struct Budget {
  BudgetId id;
  Nature nature = Nature::kRate;
  std::uint64_t amount = 0;                   // units, or units a second; of the fleet; at most kMostAmount
  Duration depth = std::chrono::seconds(10);  // kRate: what piles up at most, in time of the rate
};
inline constexpr std::uint64_t kMaxAmount = std::uint64_t{1} << 30U;
// The part of a number: equal ones, the remainder dealt from a place that the whole's id gives.
std::uint64_t share_of(const Budget& whole, Number number, Number count);

inline constexpr Duration kMaxLease = std::chrono::seconds(15);
struct Terms {
  bool lends = true;                          // false: each share is its number's alone, at once
  Duration lease = std::chrono::seconds(10);  // at most kMostLease
  double drift = 0.001;                       // most by which a clock's rate is off
  double kept = 0.5;                          // part of a share that is never lent, from 0 to 1
  Duration ask_again = std::chrono::milliseconds(200);
  Duration ask_pause = std::chrono::seconds(1);  // after an answer, before the next lender is asked
  std::size_t max_wholes = 256;
};
Duration outlasts(Duration lease, double drift);

// What travels. `sequence` is the asker's, counted up over all that it asks in its life.
struct Ask {
  BudgetId whole;
  std::uint32_t sequence = 0, renews = 0;  // renews: the sequence of the loan that is to go on; 0: a new one
  std::uint64_t amount = 0;
};
struct Grant {
  BudgetId whole;
  std::uint64_t life = 0;  // the asker's: a later one must not take it
  std::uint32_t sequence = 0;
  std::uint64_t amount = 0;  // 0: nothing
  Duration lease{};          // kRate
};
struct Return {  // the borrower has stopped using the loan, or never will begin
  BudgetId whole;
  std::uint32_t sequence = 0;
};
struct Transfer {
  Number to = 0;
  std::variant<Ask, Grant, Return> what;
};

class BoundedCounter {
 public:
  BoundedCounter(const Terms& terms, Number self, Number count, std::uint64_t life, Time now, Random random);

  // Begins to hold our part. `saw_begin`: this process was running, and knew that the whole was not there,
  // before it was: see kSpent. False: too many wholes, or bad. One that is held already stays as it is.
  bool open(Time now, const Budget& whole, bool saw_begin);
  void close(Time now, const BudgetId& id);

  // What may be used now: units, or for kRate what has piled up, in units.
  [[nodiscard]] std::uint64_t available(Time now, const BudgetId& id) const;
  [[nodiscard]] std::uint64_t rate(Time now,
                                   const BudgetId& id) const;    // kRate: units a second, loans included
  bool use(Time now, const BudgetId& id, std::uint64_t amount);  // all or nothing
  // How much we would like to have, units or units a second: asks others for what is missing, and lends
  // nothing below it.
  void want(const BudgetId& id, std::uint64_t amount);

  std::vector<Transfer> tick(Time now, const std::vector<Number>& living);
  std::vector<Transfer> received(Time now, Number from, std::uint64_t life, const std::vector<Ask>& asks,
                                 const std::vector<Grant>& grants, const std::vector<Return>& returns);
  // A member is held dead or has begun another life: what it was asked is not waited for.
  void lost(Number number);
  void own_life(std::uint64_t life);               // this process's own incarnation has changed
  [[nodiscard]] std::optional<Time> next() const;  // when tick() has something to do: an ask, a loan's end

  struct Counts {
    std::uint64_t asks = 0, granted = 0, denied = 0, borrowed = 0, returned = 0, lapsed = 0, ignored = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::size_t size() const { return wholes_.size(); }

  // Over all that it will act by, times from `now` on, but the randomness. For exploring.
  [[nodiscard]] std::uint64_t state_hash(Time now) const;

  struct Lent {  // by borrower
    std::uint64_t life = 0;
    std::uint32_t sequence = 0;
    std::uint64_t amount = 0;
    std::optional<Time> until;  // kRate: when it is ours again; none: it is over
  };
  struct Borrowed {  // kRate, by lender
    std::uint32_t sequence = 0;
    std::uint64_t amount = 0;
    Time until{};
  };
  struct Asked {
    Number lender = 0;
    Ask ask;
    Time first{}, again{};
    Duration pause{};  // before it is repeated; doubled each time
  };
  struct Holding {
    Budget whole;
    std::uint64_t units = 0;  // kSpent: ours; kRate: the share, lent parts included
    std::uint64_t wanted = 0;
    std::uint64_t level = 0;  // kRate: what has piled up, in millionths of a unit
    Time settled{};
    bool closed = false;
    Time forget{};  // once closed
    std::map<Number, Lent> lent;
    std::map<Number, Borrowed> borrowed;
    std::optional<Asked> asked;
    Time ask_at{};
  };
  [[nodiscard]] const std::map<BudgetId, Holding>& holdings() const { return wholes_; }

 private:
  [[nodiscard]] std::uint64_t kept(const Holding& h) const;
  [[nodiscard]] std::uint64_t own_rate(Time at, const Holding& h) const;
  [[nodiscard]] std::uint64_t have(Time now, const Holding& h) const;
  [[nodiscard]] std::uint64_t spare(Time now, const Holding& h) const;
  [[nodiscard]] std::uint64_t level(Time now, const Holding& h) const;
  static std::uint64_t lent_out(Time at, const Holding& h);
  void settle(Time now, Holding& h);
  std::optional<Grant> answer(Time now, Number from, std::uint64_t life, const Ask& ask);
  std::optional<std::uint64_t> give_units(Holding& h, Number to, std::uint64_t life, const Ask& ask);
  std::optional<std::uint64_t> lend_rate(Time now, Holding& h, Number to, std::uint64_t life, const Ask& ask);
  void take(Time now, Number from, const Grant& grant);
  void take_back(Time now, Number from, std::uint64_t life, const Return& back);
  void give_up(Time now, Holding& h, std::vector<Transfer>& out);
  void give_back(Time now, Holding& h, std::vector<Transfer>& out);
  void ask(Time now, Holding& h, const std::vector<Number>& living, std::vector<Transfer>& out);
  [[nodiscard]] const Holding* find(const BudgetId& id) const;
  Holding* find(const BudgetId& id) { return const_cast<Holding*>(std::as_const(*this).find(id)); }

  Terms terms_;
  Number self_, count_;
  std::uint64_t life_;
  Time lends_from_;  // from here on an earlier process of ours has nothing lent
  Random random_;
  std::uint32_t sequence_ = 0;
  std::map<BudgetId, Holding> wholes_;
  Counts counts_;
};

}  // namespace dispatcher::replicated_state

#endif  // DISPATCHER_REPLICATED_STATE_BOUNDED_COUNTER_HPP_
