// Which replicas to call to release the reservations of a request. No I/O; the clock is passed in.
#ifndef DISPATCHER_UPSTREAM_RELEASE_TARGETS_HPP_
#define DISPATCHER_UPSTREAM_RELEASE_TARGETS_HPP_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "routing/identifiers.hpp"
#include "upstream/options.hpp"

namespace dispatcher::upstream {

using routing::EndpointId;

// A replica that a release may be sent to.
struct ReleaseCandidate {
  EndpointId endpoint;
  std::string zone;
  int cell = 0;
  bool has_idle_connection = false;  // one that may be used again
  bool is_unresponsive = false;      // its next bytes are overdue
  Time last_received{};              // when bytes last came from it; zero: never
};

// Chooses the targets of one release, round by round, until one answers. Any replica that runs takes the
// call, so that rounds widen and spread over zones and cells: a zone that has just become unreachable holds
// most of the replicas that were heard from last. Not thread-safe; owned by ReservationReleaser.
class ReleaseTargets {
 public:
  // Chooses until `started` + `give_up_after`, at first every `interval`. An endpoint that did not answer is
  // called again only after all others were.
  ReleaseTargets(Time started, Duration give_up_after, Duration interval)
      : started_(started), give_up_after_(give_up_after), interval_(interval) {}
  // The endpoints to call in this round, the best first: a single one where it is known to be reachable, then
  // twice as many in each round up to a limit, and `max_targets` at most. Each is taken as called. Empty:
  // there are no candidates, no call may be made, or the time is over.
  [[nodiscard]] std::vector<EndpointId> next_round(Time now, const std::vector<ReleaseCandidate>& candidates,
                                                   std::size_t max_targets);
  // From the last round to the next: grows with each round once many have reached no replica.
  [[nodiscard]] Duration next_interval() const;
  [[nodiscard]] bool has_expired(Time now) const { return now >= started_ + give_up_after_; }
  [[nodiscard]] Time started() const { return started_; }
  [[nodiscard]] int call_count() const { return call_count_; }

 private:
  [[nodiscard]] const ReleaseCandidate* best(const std::vector<ReleaseCandidate>& candidates) const;
  void note_call(const ReleaseCandidate& target);

  Time started_;
  Duration give_up_after_;
  Duration interval_;
  std::size_t width_ = 1;  // calls of the next round
  int call_count_ = 0;
  int round_count_ = 0;
  std::set<EndpointId> called_;  // endpoints called since all were last called
  std::map<std::string, int> calls_by_zone_;
  std::map<routing::CellId, int> calls_by_cell_;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_RELEASE_TARGETS_HPP_
