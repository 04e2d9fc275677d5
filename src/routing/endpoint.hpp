// What a router knows of one endpoint. Support: data only.
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

// What remains valid when the endpoint's process has restarted. "Own" is what this router has sent there.
struct RestartPersistentState {
  std::uint64_t name_hash = 0;  // of the endpoint's id, for hash-based choices
  Role role{};
  double memory_tokens = 0;                 // size of its prefix cache, in tokens; 0: unknown
  int active_reads = 0;                     // own attempts that only read a prompt there
  int active_streams = 0;                   // own attempts that write an answer there
  int started_streams = 0;                  // those of them whose first token has arrived
  int waiting_states = 0;                   // own prompts' states that wait there for a writer
  std::deque<Time> sends_while_warming_up;  // the oldest first
  EndpointState listed_state{};             // as in the list; `state` also respects administrative drains
  Time reinstated_at{};                     // when operators put it back into service; it warms up from then
  bool awaits_first_send = false;           // since then this router has sent it nothing
};

// The requests that an endpoint rejects together.
struct RejectedGroup {
  std::string request_class, tenant;
  auto operator<=>(const RejectedGroup&) const = default;
};

// One endpoint: as listed, with its load and its health as this router observes them.
struct Endpoint : EndpointInfo, RestartPersistentState {
  double local_write_share = 1;      // part of what is read here that can be written in its cell or zone
  double cell_reader_share = 1;      // part of all readers' weight that is in its cell
  PrefixIndex prefix_index;          // what it is expected to have cached
  double pending_prompt_tokens = 0;  // of own attempts, still to be read here
  LoadReport report;                 // the latest
  Time reported_at{};
  double tokens_since_report = 0;  // own prompt tokens sent here since then
  double latency_ratio = 1;        // moving average of times here, over the average of all
  Time latency_ratio_at{};         // when that was updated
  double queue_delay_ratio = 0;    // age of the oldest own attempt, over what its role's average predicts
  double failure_score = 0;        // recent failures, halved by each success
  int ejection_count = 0;          // ejections in a row: since it last succeeded
  bool is_ejected = false;
  bool is_unresponsive = false;  // ejected for a time-out
  Time ejected_until{};          // may be tried again from then, if it is ejected
  Time full_until{};             // has no capacity until then
  Time last_response_at{};       // of any own attempt; or when it was first listed, or restarted
  std::map<RejectedGroup, Time> rejects_until;

  // Stores a load report; one without any known field is ignored.
  void record_report(const LoadReport& received, Time now) {
    if (!received.in_flight && !received.memory_share && !received.prompt_kilotokens) return;
    report = received;
    reported_at = now;
    tokens_since_report = 0;
  }
  [[nodiscard]] bool is_idle() const { return active_reads == 0 && active_streams == 0; }
  // Whether an own attempt there has had no result yet.
  [[nodiscard]] bool has_unanswered_attempt() const {
    return active_reads + active_streams > started_streams;
  }
};

[[nodiscard]] inline bool in_same_cell(const Endpoint& left, const Endpoint& right) {
  return left.zone == right.zone && left.cell == right.cell;
}

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ENDPOINT_HPP_
