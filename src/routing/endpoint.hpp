// What a router knows about one endpoint. Contains data only.
#ifndef DISPATCHER_ROUTING_ENDPOINT_HPP_
#define DISPATCHER_ROUTING_ENDPOINT_HPP_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "routing/events.hpp"
#include "routing/prefix_index.hpp"

namespace dispatcher::routing {

// The part of an endpoint's state that stays valid when its process restarts. "Own" attempts and prompts are
// those that this router has sent to the endpoint.
struct RestartPersistentState {
  std::uint64_t name_hash = 0;  // hash of the endpoint's id, for hash-based choices
  Role role{};
  double memory_tokens = 0;                 // size of its prefix cache, in tokens; 0 if unknown
  int active_reads = 0;                     // own attempts that only read a prompt here
  int active_streams = 0;                   // own attempts that write an answer here
  int started_streams = 0;                  // part of active_streams whose first token has arrived
  int waiting_states = 0;                   // states of own prompts that wait here for a writer
  std::deque<Time> sends_while_warming_up;  // times of these sends, oldest first
  EndpointState listed_state{};             // state in the list; `state` also respects administrative drains
  Time reinstated_at{};            // when operators last returned it to service; its warm-up starts then
  bool awaits_first_send = false;  // reinstated, and this router has sent it nothing since
};

// The requests that an endpoint rejects together: those of one class and tenant.
struct RejectedGroup {
  std::string request_class, tenant;
  auto operator<=>(const RejectedGroup&) const = default;
};

// One endpoint: its entry in the endpoint list, and its load and health as this router observes them.
struct Endpoint : EndpointInfo, RestartPersistentState {
  double local_write_share = 1;      // share of the prompts read here that its cell or zone can write
  double cell_reader_share = 1;      // share of all readers' weight that is in its cell
  PrefixIndex prefix_index;          // prompts that it is expected to have cached
  double pending_prompt_tokens = 0;  // prompt tokens of own attempts that are not read yet
  LoadReport report;                 // the latest one
  Time reported_at{};                // when it was received
  double tokens_since_report = 0;    // own prompt tokens sent here since that report
  double latency_ratio = 1;          // moving average of its latencies, relative to its peers' average
  Time latency_ratio_at{};           // when latency_ratio was last updated
  double queue_delay_ratio = 0;      // largest age of a waiting own attempt, relative to its predicted time
  double failure_score = 0;          // recent failures, halved by each success
  int ejection_count = 0;            // consecutive ejections since its last success
  bool is_ejected = false;
  bool is_unresponsive = false;  // ejected because of a time-out
  Time ejected_until{};          // an ejected endpoint may be tried again from then on
  Time full_until{};             // considered full until then
  Time last_response_at{};       // response to any own attempt; initially its first listing or restart
  std::map<RejectedGroup, Time> rejects_until;  // when each group may be sent here again

  // Stores a load report. Ignores a report without any known field.
  void record_report(const LoadReport& received, Time now) {
    if (!received.in_flight && !received.memory_share && !received.prompt_kilotokens) return;
    report = received;
    reported_at = now;
    tokens_since_report = 0;
  }
  [[nodiscard]] bool is_idle() const { return active_reads == 0 && active_streams == 0; }
  // Returns whether an own attempt here has had no result yet.
  [[nodiscard]] bool has_unanswered_attempt() const {
    return active_reads + active_streams > started_streams;
  }
};

[[nodiscard]] inline bool in_same_cell(const Endpoint& left, const Endpoint& right) {
  return left.zone == right.zone && left.cell == right.cell;
}

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ENDPOINT_HPP_
