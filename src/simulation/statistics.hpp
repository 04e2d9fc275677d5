// The figures of a model fleet and its traffic: a typed record, so that scenarios are files.
#ifndef DISPATCHER_SIMULATION_STATISTICS_HPP_
#define DISPATCHER_SIMULATION_STATISTICS_HPP_

#include <string>
#include <vector>

#include "cue/data.hpp"
#include "routing/router.hpp"

namespace dispatcher::simulation {

using routing::Duration;
using routing::Time;

struct Fault {
  enum class Kind { kZoneLost, kReadersDead, kSlowLinks, kJump } kind{};
  Duration from{}, to{};  // since the start; `to`: it ends, and what was lost comes back cold
  int zone = 0;           // of kZoneLost
  double share = 0;       // of kReadersDead: of the readers; of kSlowLinks, kJump: how many times as much
};

struct Statistics {
  Duration lasts{};
  int instances = 1;
  // The fleet.
  int zones = 1, cells = 1, readers = 1, writers = 1;  // cells of a zone, readers and writers of a cell
  int reader_slots = 1, writer_slots = 1;              // requests served at once
  Duration read_token{}, write_token{}, fetch_token{}, fetch_far_token{};
  Duration network{};       // one way
  Duration list_delay{};    // until the list tells that a host went or came
  Duration report_every{};  // load reports are as old as this at most
  int cached_openings = 0;  // a reader keeps
  // The traffic.
  double rate = 0;                          // requests a second, over all instances
  double commands = 0;                      // their part
  int prompt = 0, opening = 0, answer = 0;  // tokens: mean, shared, mean
  int sessions = 0, openings = 0;
  std::vector<Fault> troubles;
  routing::Settings settings;  // as each instance is given them, but for its number
};

// Throws cue::Errors.
Statistics read_figures(const cue::File& file);

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_STATISTICS_HPP_
