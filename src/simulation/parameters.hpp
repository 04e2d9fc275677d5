// The parameters of a simulated fleet and its traffic, and their parser: a scenario is a file.
#ifndef DISPATCHER_SIMULATION_PARAMETERS_HPP_
#define DISPATCHER_SIMULATION_PARAMETERS_HPP_

#include <string>
#include <vector>

#include "cue/data.hpp"
#include "routing/router.hpp"

namespace dispatcher::simulation {

using routing::Duration;
using routing::Time;

// A fault of the fleet, or a surge of its traffic, for a part of the simulated time.
struct Fault {
  enum class Kind { kZoneLost, kReadersLost, kSlowLinks, kTrafficSurge };
  Kind kind{};
  Duration start{};  // since the start of the simulation
  Duration end{};    // likewise; lost endpoints then restart, warming up
  int zone = 0;      // of kZoneLost
  // Of kReadersLost: the fraction of each cell's readers. Of kSlowLinks and kTrafficSurge: the factor.
  double magnitude = 0;
};

// A scenario as its file describes it. "Reader" and "writer" are the fleet's roles: prefill and decode.
struct Parameters {
  Duration duration{};  // of the traffic
  int dispatchers = 1;
  // The fleet.
  int zones = 1;
  int cells = 1;                    // of each zone
  int readers = 1;                  // of each cell
  int writers = 1;                  // of each cell
  int reader_slots = 1;             // requests that a reader serves at a time
  int writer_slots = 1;             // requests that a writer serves at a time
  Duration prefill_time{};          // per token
  Duration decode_time{};           // per token
  Duration transfer_time{};         // of a KV cache within a cell, per token
  Duration remote_transfer_time{};  // of a KV cache between cells, per token
  Duration network_latency{};       // one way
  Duration discovery_delay{};       // until the endpoint list shows that an endpoint is lost or restored
  Duration report_interval{};       // the maximum age of load reports
  int cached_prefixes = 0;          // the capacity of a replica's prefix cache, in prefixes
  // The traffic. Lengths are in tokens.
  double request_rate = 0;      // requests a second, over all dispatchers
  double command_fraction = 0;  // of the requests that are non-idempotent commands, from 0 to 1
  int mean_prompt = 0;          // length, shared prefix included
  int shared_prefix = 0;        // length
  int mean_answer = 0;          // length
  int sessions = 0;             // distinct ones
  int prefixes = 0;             // distinct shared prefixes
  std::vector<Fault> faults;
  routing::Settings settings;  // of all dispatchers, except for number and zone
};

// Reads a scenario. Throws cue::Errors with all problems.
[[nodiscard]] Parameters read_parameters(const cue::File& file);

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_PARAMETERS_HPP_
