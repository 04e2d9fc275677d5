// The parameters of a simulated fleet and its traffic: a typed record, so that scenarios are files.
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
  int zones = 1, cells = 1, readers = 1, writers = 1;  // cells of a zone, readers and writers of a cell
  int reader_slots = 1, writer_slots = 1;              // requests that a replica serves at once
  // Per token: prefill, decode, and the transfer of a KV cache within a cell and between cells.
  Duration prefill_time{}, decode_time{}, transfer_time{}, remote_transfer_time{};
  Duration network_latency{};  // one way
  Duration discovery_delay{};  // until the endpoint list shows that an endpoint is lost or restored
  Duration report_interval{};  // load reports are as old as this at most
  int cached_prefixes = 0;     // of one replica
  // The traffic. Lengths are in tokens.
  double request_rate = 0;  // requests a second, over all dispatchers
  double command_fraction = 0;
  int mean_prompt = 0, shared_prefix = 0, mean_answer = 0;
  int sessions = 0, prefixes = 0;
  std::vector<Fault> faults;
  routing::Settings settings;  // as each dispatcher is given them, but for its number
};

// Reads a scenario. Throws cue::Errors with all problems.
[[nodiscard]] Parameters read_parameters(const cue::File& file);

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_PARAMETERS_HPP_
