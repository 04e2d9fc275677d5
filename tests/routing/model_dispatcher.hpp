// A model of a dispatcher and its replicas round one router: passes it consistent events, carries out its
// actions and checks each of them against the invariants.
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
  LoadReport report{0, 0, 0};  // passed on where the settings have reports in answers
};

// Single-threaded, in virtual time. A second router of the same seed gets the same events and has to act
// alike. Every member function that passes an event throws InvariantViolation as soon as a rule is broken.
class ModelDispatcher {
 public:
  // Sees each event and what the router did at it, in order.
  using Observer = std::function<void(Time, const Event&, const std::vector<Action>&)>;

  // The first settings are those of the start; the others come as new settings, in turn.
  ModelDispatcher(std::vector<Settings> settings, std::uint64_t seed);

  // Takes the place of the transcript and of the second router: both take far longer than the router itself.
  void set_observer(Observer observer) { observer_ = std::move(observer); }

  [[nodiscard]] const DispatcherState& state() const { return state_; }
  [[nodiscard]] const Router& router() const { return router_; }
  [[nodiscard]] const std::vector<std::string>& transcript() const { return transcript_; }
  void add_to_transcript(const std::string& line);

  // Passes an event that changes nothing in the model.
  void handle(const Event& event);
  // The id is new; the class is one of the current settings'.
  const ModelRequest& submit(const Request& request, const RequestClass& request_class);
  void disconnect_client(const RequestId& id);
  // A written attempt reaches its endpoint late.
  void deliver_attempt(const RequestId& id, std::size_t attempt_number);
  void send_first_token(const RequestId& id, std::size_t attempt_number);
  void complete_attempt(const RequestId& id, std::size_t attempt_number, AttemptOutcome outcome);
  void send_endpoint_list(ListKind kind, std::vector<EndpointInfo> endpoints);
  void set_administrative_state(const EndpointId& endpoint, AdministrativeState state);
  void apply_next_settings();  // nothing happens where there is but one
  // Lets time go on to the next tick after it, with the timers and the attempts that end by then.
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
  bool complete_due_attempt();  // one; false: none is due
  bool expire_due_timer();      // one; false: none is due

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
