// The parameters of SWIM and Lifeguard, with the defaults of deploy/fleet.cue.
#ifndef DISPATCHER_MEMBERSHIP_PARAMETERS_HPP_
#define DISPATCHER_MEMBERSHIP_PARAMETERS_HPP_

#include <chrono>

#include "membership/member.hpp"

namespace dispatcher::membership {

// Parameters of the protocol. Suspicion timeouts and the number of transmissions of an update are scaled by
// log10 of the number of members, but at least by 1.
struct Parameters {
  Duration probe_interval = std::chrono::seconds(1);
  Duration probe_timeout = std::chrono::milliseconds(250);  // of a direct ping; below a third of the interval
  unsigned indirect_probes = 3;     // number of helpers that are asked to ping a member that has not answered
  double suspicion_multiplier = 3;  // the minimum suspicion timeout, in scaled probe intervals
  double suspicion_max_multiplier = 4;  // the maximum suspicion timeout, as a multiple of the minimum one
  unsigned required_confirmations = 3;  // number that shortens a suspicion timeout to the minimum
  unsigned max_health_score = 8;        // the maximum score of LocalHealth
  double retransmit_multiplier = 4;     // number of times an update is sent, before scaling and rounding up
  unsigned reconnect_every = 4;         // number of probe intervals between pings of unknown or dead members
};

}  // namespace dispatcher::membership

#endif  // DISPATCHER_MEMBERSHIP_PARAMETERS_HPP_
