// The parameters of a simulated fleet and its traffic, and the parser of scenario files, which contain them.
#ifndef DISPATCHER_SIMULATION_PARAMETERS_HPP_
#define DISPATCHER_SIMULATION_PARAMETERS_HPP_

#include <string>
#include <vector>

#include "cue/data.hpp"
#include "routing/router.hpp"

namespace dispatcher::simulation {

using routing::Duration;
using routing::Time;

// A fault of the fleet, or a surge of its traffic, that lasts for a part of the simulated time.
struct Fault {
  enum class Kind { kZoneLost, kReadersLost, kSlowLinks, kTrafficSurge };
  Kind kind{};
  Duration start{};  // since the start of the simulation
  Duration end{};    // since the start of the simulation; lost endpoints then restart and warm up
  int zone = 0;      // the lost zone; used for kZoneLost
  // For kReadersLost, the fraction of each cell's readers that are lost. For kSlowLinks, the factor on the
  // time of transfers between cells. For kTrafficSurge, the factor on the request rate.
  double magnitude = 0;
};

// A scenario as its file describes it. Readers are the endpoints for prefill, writers those for decode.
struct Parameters {
  Duration duration{};  // for which requests arrive
  int dispatchers = 1;
  // The fleet.
  int zones = 1;
  int cells = 1;                    // per zone
  int readers = 1;                  // per cell
  int writers = 1;                  // per cell
  int reader_slots = 1;             // requests that a reader serves at a time
  int writer_slots = 1;             // requests that a writer serves at a time
  Duration prefill_time{};          // per token
  Duration decode_time{};           // per token
  Duration transfer_time{};         // of a KV cache within a cell, per token
  Duration remote_transfer_time{};  // of a KV cache between cells, per token
  Duration network_latency{};       // one way
  Duration discovery_delay{};       // until the endpoint list shows that an endpoint is lost or restored
  Duration report_interval{};       // the minimum time between updates of an endpoint's load report
  int cached_prefixes = 0;          // the capacity of an endpoint's prefix cache, in prefixes
  // The traffic. Lengths are in tokens.
  double request_rate = 0;             // requests per second, over all dispatchers
  double non_idempotent_fraction = 0;  // the fraction of requests that are non-idempotent, from 0 to 1
  int mean_prompt = 0;                 // mean length of a prompt, including the shared prefix
  int shared_prefix = 0;               // length of a shared prefix
  int mean_answer = 0;                 // mean length of an answer
  int sessions = 0;                    // number of distinct sessions
  int prefixes = 0;                    // number of distinct shared prefixes
  std::vector<Fault> faults;
  routing::Settings settings;  // of all dispatchers, except for their numbers and zones
};

// Reads a scenario file. Throws cue::Errors with all problems of the file.
[[nodiscard]] Parameters read_parameters(const cue::File& file);

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_PARAMETERS_HPP_
