// A model of a dispatcher and its endpoints around one router. It passes consistent events to the router,
// carries out the router's actions and checks each of them against the invariants.
#ifndef DISPATCHER_TESTS_ROUTING_MODEL_DISPATCHER_HPP_
#define DISPATCHER_TESTS_ROUTING_MODEL_DISPATCHER_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dispatcher_state.hpp"
#include "routing/router.hpp"

namespace dispatcher::routing::testing {

// How an attempt ends.
struct AttemptOutcome {
  AttemptStatus status{};
  int cached_tokens = 0;
  AttemptEvidence evidence{};
  LoadReport report{0, 0, 0};  // passed to the router only if the settings have reports in answers
};

// Single-threaded, in virtual time. A second router with the same seed gets the same events and must return
// the same actions. Every member function that passes an event throws InvariantViolation as soon as a rule is
// violated.
class ModelDispatcher {
 public:
  // Called for each event, in order, with the actions that the router returned for it.
  using Observer = std::function<void(Time, const Event&, const std::vector<Action>&)>;

  // The router starts with the first settings; apply_next_settings() applies the others in turn.
  ModelDispatcher(std::vector<Settings> settings, std::uint64_t seed);

  // Replaces the transcript and the second router, both of which take far longer than the router itself.
  void set_observer(Observer observer) { observer_ = std::move(observer); }

  [[nodiscard]] const DispatcherState& state() const { return state_; }
  [[nodiscard]] const Router& router() const { return router_; }
  [[nodiscard]] const std::vector<std::string>& transcript() const { return transcript_; }
  void add_to_transcript(const std::string& line);

  // Passes an event that does not itself change the model's state.
  void handle(const Event& event);
  // Submits a request. Its id must be new, and the class must be one of the current settings.
  const ModelRequest& submit(const Request& request, const RequestClass& request_class);
  void disconnect_client(const RequestId& id);
  // Marks an attempt that was written earlier as having reached its endpoint.
  void deliver_attempt(const RequestId& id, std::size_t attempt_number);
  void send_first_token(const RequestId& id, std::size_t attempt_number);
  void complete_attempt(const RequestId& id, std::size_t attempt_number, AttemptOutcome outcome);
  void send_endpoint_list(ListKind kind, std::vector<EndpointInfo> endpoints);
  void set_administrative_state(const EndpointId& endpoint, AdministrativeState state);
  void apply_next_settings();  // does nothing if there is only one
  // Advances the clock by `time`, rounded up to a tick, and handles the timers and the ends of attempts that
  // are due by then.
  void advance(Duration time);

 private:
  void check_same_actions(const Event& event, const std::vector<Action>& actions);

  void apply(const StartAttempt& start);
  void apply(const CancelAttempt& cancel);
  void apply(const Reject& reject);
  void apply(const Fail& fail);
  void apply(const MigrateStream& migrate);
  void apply(const ReserveSlot& reserve);
  void apply(const ReleaseReservation& release);
  void apply(const SetTimer& timer);
  void apply(const Subscribe&);
  void apply(const LogMessage&) {}

  void update_endpoint(const EndpointInfo& info);
  void remove_unlisted_endpoints(const std::vector<EndpointInfo>& listed);
  void lose_prompt_states(const EndpointId& endpoint);

  [[nodiscard]] Time round_up_to_tick(Time time) const;
  [[nodiscard]] Time ends_at(const ModelAttempt& attempt) const;
  [[nodiscard]] Time next_event_at(Time until) const;
  bool complete_due_attempt();  // completes one; returns false if none is due
  bool expire_due_timer();      // expires one; returns false if none is due

  std::vector<std::shared_ptr<const Settings>> settings_;
  std::size_t current_settings_ = 0;
  Router router_, second_router_;
  Duration tick_;
  DispatcherState state_;
  std::vector<std::string> transcript_;
  Observer observer_;
};

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_ROUTING_MODEL_DISPATCHER_HPP_
