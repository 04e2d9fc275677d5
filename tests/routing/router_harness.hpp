// Drives one router step by step in virtual time and keeps the state that a dispatcher would have: attempts
// in flight, prompt states held and final answers given.
#ifndef DISPATCHER_TESTS_ROUTING_ROUTER_HARNESS_HPP_
#define DISPATCHER_TESTS_ROUTING_ROUTER_HARNESS_HPP_

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "routing/router.hpp"

namespace dispatcher::routing::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the settings of router 0 of 2 in zone "east". Classes: "safe" (idempotent), "unsafe"
// (non-idempotent), "keyed" (deduplicated within a zone), "keyed-all" (deduplicated everywhere). Kinds of
// endpoints: "r" (reader), "w" (writer), "m" (mixed).
[[nodiscard]] Settings make_settings();

// The properties of an endpoint. The defaults are those of one that has long been ready.
struct EndpointSpec {
  int cell = 0;
  std::string zone = "east";
  EndpointState state = EndpointState::kReady;
  Time started{};  // zero if long ago
};

[[nodiscard]] EndpointInfo make_endpoint(const EndpointId& id, const std::string& kind,
                                         const EndpointSpec& spec = {});
// Return an endpoint of a kind of make_settings().
[[nodiscard]] EndpointInfo reader(const EndpointId& id, const EndpointSpec& spec = {});
[[nodiscard]] EndpointInfo writer(const EndpointId& id, const EndpointSpec& spec = {});
[[nodiscard]] EndpointInfo mixed(const EndpointId& id, const EndpointSpec& spec = {});

// Returns two readers and three writers, one of the writers in another zone. No cell has two of one role.
[[nodiscard]] std::vector<EndpointInfo> make_endpoints();
// Returns writers "w1", "w2" and so on, then readers "r0", "r1" and so on, all in one cell.
[[nodiscard]] std::vector<EndpointInfo> writers_and_readers(int writer_count, int reader_count);

// Returns whether one of the actions logs a message that contains the text.
[[nodiscard]] bool has_log(const std::vector<Action>& actions, const std::string& text);

// The properties of a request. The defaults are those of an ordinary one of the class "safe".
struct RequestSpec {
  std::string request_class = "safe";
  int session = 0;        // zero if none
  int shared_prefix = 0;  // zero if none
  int prompt_tokens = 1000;
  int prefix_tokens = 0;
};

// What the end of an attempt reports besides its status.
struct AttemptReport {
  AttemptEvidence evidence{};
  Duration elapsed = milliseconds(50);
  int cached_tokens = 0;
  LoadReport load{};
};

// Passes each event to the router at the harness's time and checks each action against the state: a request
// has one attempt at a time and one final answer, and no attempt after that. Single-threaded.
class RouterHarness {
 public:
  // The state of one request in a dispatcher.
  struct RequestRecord {
    EndpointId active_endpoint;  // of its attempt in flight; empty if there is none
    int attempt_count = 0;
    bool is_over = false;             // it was answered, or its client disconnected
    bool holds_prompt_state = false;  // a reader keeps its prompt state
  };

  explicit RouterHarness(const Settings& settings = make_settings());

  // Advances the clock without expiring a timer.
  void skip(Duration time) { now_ += time; }
  // Advances the clock in steps of 20 ms and expires the timer after each step if one is set.
  void advance(Duration time);
  // Passes TimerExpired if a timer is set, and returns the actions.
  std::vector<Action> expire_timer();

  // Passes any event, carries out the actions and returns them.
  std::vector<Action> handle(const Event& event);
  void update_endpoints(std::vector<EndpointInfo> endpoints, ListKind kind = ListKind::kFull);
  // Passes a load report, carried by the answer to a request that this router has not submitted.
  void report_load(const EndpointId& endpoint, const LoadReport& load);

  // Returns a request whose client waits for six seconds.
  [[nodiscard]] Request make_request(const RequestId& id, const RequestSpec& spec = {}) const;
  // Returns the endpoint that the request was sent to; empty if it was not sent.
  EndpointId submit(const RequestId& id, const RequestSpec& spec = {});
  EndpointId submit(const Request& request);
  // Ends the request's attempt.
  std::vector<Action> complete(const RequestId& id, AttemptStatus status, const AttemptReport& report = {});
  void send_first_token(const RequestId& id, Duration elapsed = milliseconds(50));
  // Completes what is left of the request's read and write.
  void serve(const RequestId& id);
  void disconnect_client(const RequestId& id);

  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] TableSizes table_sizes() const { return router_.table_sizes(); }
  [[nodiscard]] RequestRecord& request(const RequestId& id) { return requests_[id]; }
  [[nodiscard]] const std::map<RequestId, RequestRecord>& requests() const { return requests_; }
  [[nodiscard]] EndpointId active_endpoint(const RequestId& id) { return requests_[id].active_endpoint; }
  [[nodiscard]] bool is_at(Role role, const RequestId& id);  // its attempt is at an endpoint of this role

  // The router's actions so far, in order.
  [[nodiscard]] const std::vector<StartAttempt>& started() const { return started_; }
  [[nodiscard]] const std::vector<RequestId>& rejected() const { return rejected_; }
  [[nodiscard]] const std::vector<RequestId>& failed() const { return failed_; }
  [[nodiscard]] const std::vector<RequestId>& released() const { return released_; }
  [[nodiscard]] const std::vector<RequestId>& cancelled() const { return cancelled_; }
  // Return the same lists and clear them.
  std::vector<StartAttempt> take_started();
  std::vector<RequestId> take_cancelled();

 private:
  void apply(const StartAttempt& start);
  void apply(const CancelAttempt& cancel);
  void apply(const Reject& reject);
  void apply(const Fail& fail);
  void apply(const MigrateStream& migrate);
  void apply(const ReserveSlot&) {}
  void apply(const ReleaseReservation& release);
  void apply(const SetTimer&) { timer_is_set_ = true; }
  void apply(const Subscribe&) {}
  void apply(const LogMessage&) {}

  Time now_ = seconds(1000);
  Router router_;
  std::map<std::string, Role> roles_;        // by kind
  std::map<EndpointId, std::string> kinds_;  // of each endpoint that a list named
  bool timer_is_set_ = false;
  std::map<RequestId, RequestRecord> requests_;
  std::vector<StartAttempt> started_;
  std::vector<RequestId> rejected_, failed_, released_, cancelled_;
};

// Serves 40 requests, so that the router has measured the ordinary latencies.
void warm_up(RouterHarness& harness);

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_ROUTING_ROUTER_HARNESS_HPP_
