// The parameters of SWIM and Lifeguard, with the defaults of deploy/fleet.cue.
#ifndef DISPATCHER_MEMBERSHIP_PARAMETERS_HPP_
#define DISPATCHER_MEMBERSHIP_PARAMETERS_HPP_

#include <chrono>

#include "membership/member.hpp"

namespace dispatcher::membership {

// Parameters of the protocol. The multipliers scale with log10 of the count of members (at least 1).
struct Parameters {
  Duration probe_interval = std::chrono::seconds(1);
  Duration probe_timeout = std::chrono::milliseconds(250);  // of a direct ping; below a third of the interval
  unsigned indirect_probes = 3;         // helpers that get a ping request for a member that has not answered
  double suspicion_multiplier = 3;      // the minimum suspicion timeout, in scaled probe intervals
  double suspicion_max_multiplier = 4;  // the maximum suspicion timeout, in minimum ones
  unsigned required_confirmations = 3;  // that shorten a suspicion timeout to the minimum
  unsigned max_health_score = 8;        // of LocalHealth
  double retransmit_multiplier = 4;     // an update is sent so many times, scaled and rounded up
  unsigned reconnect_every = 4;         // probe intervals between two pings of unknown or dead members
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_PARAMETERS_HPP_
