// Drives one router by hand, in virtual time, and keeps what a dispatcher would know: attempts in flight,
// prompt states held, final answers given.
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

// Router 0 of 2 in zone "east". Classes: "safe" (idempotent), "unsafe" (non-idempotent), "keyed" (within its
// zone), "keyed-all" (everywhere). Kinds: "r" (reader), "w" (writer), "m" (mixed).
[[nodiscard]] Settings make_settings();

// What differs from an endpoint that has long been ready.
struct EndpointSpec {
  int cell = 0;
  std::string zone = "east";
  EndpointState state = EndpointState::kReady;
  Time started{};  // zero: long ago
};

[[nodiscard]] EndpointInfo make_endpoint(const EndpointId& id, const std::string& kind,
                                         const EndpointSpec& spec = {});
// Of the kinds of make_settings().
[[nodiscard]] EndpointInfo reader(const EndpointId& id, const EndpointSpec& spec = {});
[[nodiscard]] EndpointInfo writer(const EndpointId& id, const EndpointSpec& spec = {});
[[nodiscard]] EndpointInfo mixed(const EndpointId& id, const EndpointSpec& spec = {});

// Two readers and three writers, one of these in another zone; each cell has one of a role.
[[nodiscard]] std::vector<EndpointInfo> make_endpoints();
// Writers "w1", "w2" and so on, then readers "r0", "r1" and so on, all in one cell.
[[nodiscard]] std::vector<EndpointInfo> writers_and_readers(int writer_count, int reader_count);

// True if one of the actions logs a message that contains the text.
[[nodiscard]] bool has_log(const std::vector<Action>& actions, const std::string& text);

// What differs from an ordinary request of the class "safe".
struct RequestSpec {
  std::string request_class = "safe";
  int session = 0;        // zero: none
  int shared_prefix = 0;  // zero: none
  int prompt_tokens = 1000;
  int prefix_tokens = 0;
};

// What an endpoint reports at the end of an attempt, beside its status.
struct AttemptReport {
  AttemptEvidence evidence{};
  Duration elapsed = milliseconds(50);
  int cached_tokens = 0;
  LoadReport load{};
};

// Single-threaded. Each event is passed on to the router at the harness's time, and each action is checked
// against what is known: one attempt at a time, nothing after a final answer.
class RouterHarness {
 public:
  // What a dispatcher knows of one request.
  struct RequestRecord {
    EndpointId active_endpoint;  // where its attempt is in flight; empty: nowhere
    int attempt_count = 0;
    bool is_over = false;             // it was answered, or its client left
    bool holds_prompt_state = false;  // a reader keeps its prompt state
  };

  explicit RouterHarness(const Settings& settings = make_settings());

  // Time goes on without a timer, or with those that are set, in steps of 20 ms.
  void skip(Duration time) { now_ += time; }
  void advance(Duration time);
  // Passes the timer's event if one is set.
  std::vector<Action> expire_timer();

  // Passes any event and carries out the actions, which are returned.
  std::vector<Action> handle(const Event& event);
  void update_endpoints(std::vector<EndpointInfo> endpoints, ListKind kind = ListKind::kFull);
  // An answer to a request of nobody's, which brings a load report.
  void report_load(const EndpointId& endpoint, const LoadReport& load);

  // A request whose client waits for six seconds.
  [[nodiscard]] Request make_request(const RequestId& id, const RequestSpec& spec = {}) const;
  // Returns the endpoint that the request was sent to; empty: none.
  EndpointId submit(const RequestId& id, const RequestSpec& spec = {});
  EndpointId submit(const Request& request);
  // Ends the request's attempt.
  std::vector<Action> complete(const RequestId& id, AttemptStatus status, const AttemptReport& report = {});
  void send_first_token(const RequestId& id, Duration elapsed = milliseconds(50));
  // Takes a request through what is left of reading and writing to its end.
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
  // The same, forgotten from then on.
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

// Serves 40 requests, so that the router knows the ordinary latencies.
void warm_up(RouterHarness& harness);

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_ROUTING_ROUTER_HARNESS_HPP_
