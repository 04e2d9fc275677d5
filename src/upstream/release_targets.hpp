// Chooses the endpoints to call to release the reservations of a request. No I/O; the clock is passed in.
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

// An endpoint that a release may be sent to.
struct ReleaseCandidate {
  EndpointId endpoint;
  std::string zone;
  int cell = 0;
  bool has_idle_connection = false;  // one that may be reused
  bool is_unresponsive = false;      // its next bytes are overdue
  Time last_received{};              // when bytes last arrived from it; zero if none have
};

// Chooses the targets of one release, round by round, until one answers. Every running endpoint accepts the
// call, so the rounds grow and spread over zones and cells: most of the endpoints that were heard from last
// may be in a zone that has just become unreachable. Not thread-safe; owned by ReservationReleaser.
class ReleaseTargets {
 public:
  // Chooses targets until `started` + `give_up_after`. The first rounds are `interval` apart. An endpoint
  // that did not answer is called again only after all others have been called.
  ReleaseTargets(Time started, Duration give_up_after, Duration interval)
      : started_(started), give_up_after_(give_up_after), interval_(interval) {}
  // Returns the endpoints to call in this round, the best first, and counts each as called. The first round
  // has a single endpoint if that is known to be reachable, else two; each further round has twice as many,
  // up to a limit. No round has more than `max_targets`. Returns an empty list if there are no candidates, no
  // call may be made, or the time is over.
  [[nodiscard]] std::vector<EndpointId> next_round(Time now, const std::vector<ReleaseCandidate>& candidates,
                                                   std::size_t max_targets);
  // Returns the time from the last round to the next. It grows with each round once many rounds have reached
  // no endpoint.
  [[nodiscard]] Duration next_interval() const;
  // Returns whether the time for the release is over.
  [[nodiscard]] bool has_expired(Time now) const { return now >= started_ + give_up_after_; }
  [[nodiscard]] Time started() const { return started_; }
  [[nodiscard]] int call_count() const { return call_count_; }

 private:
  [[nodiscard]] const ReleaseCandidate* best_candidate(const std::vector<ReleaseCandidate>& candidates) const;
  void record_call(const ReleaseCandidate& target);

  Time started_;
  Duration give_up_after_;
  Duration interval_;
  std::size_t width_ = 1;  // number of calls in the next round
  int call_count_ = 0;
  int round_count_ = 0;
  std::set<EndpointId> called_;  // endpoints called since the last time that all had been called
  std::map<std::string, int> calls_by_zone_;
  std::map<routing::CellId, int> calls_by_cell_;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_RELEASE_TARGETS_HPP_
