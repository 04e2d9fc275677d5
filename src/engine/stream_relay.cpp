#include "engine/stream_relay.hpp"

namespace dispatcher::engine {

namespace {

// How long a client may be left waiting after the last event of a running endpoint.
constexpr Duration kMaxClientWait = std::chrono::seconds(5);
// The longest time for which this process may be held up between reading its clock and writing.
constexpr Duration kMaxHoldUp = std::chrono::milliseconds(150);
// A stream without any event for this time is aborted, and no earlier, since the events of a slow endpoint
// may be seconds apart.
constexpr Duration kIdleTimeout = kMaxClientWait - kMaxHoldUp;
// Time in which a response that has arrived is read.
constexpr Duration kReadTime = std::chrono::milliseconds(20);

}  // namespace

void StreamRelay::on_events(AttemptId id, std::string_view events) {
  const ActiveAttempt active = requests_.find_active(id);
  if (!active) return;
  if (!active.request->streaming_attempt) {
    if (active.request->is_answered)
      return attempts_.terminate(id, AttemptStatus::kCancelled, AttemptEndReason::kAlreadyAnswered);
    start_stream(id, active);
  }
  ActiveRequest* request = requests_.find(id.request);
  if (request == nullptr || request->streaming_attempt != id.number || request->is_answered) return;
  await_event(id.request, context_.clock());
  if (request->sink->write_events(request->client, events)) return;
  request = requests_.find(id.request);
  if (request == nullptr) return;
  request->is_paused = true;
  context_.timers.drop(request->idle_timer);  // the client is the idle side now, not the endpoint
  context_.upstream.pause_reading(id);
}

void StreamRelay::start_stream(AttemptId id, const ActiveAttempt& active) {
  ActiveRequest& request = *active.request;
  request.streaming_attempt = id.number;
  request.reservations.on_first_token();
  request.message.reset();
  context_.timers.drop(active.attempt->deadline_timer);
  context_.timers.drop(request.overdue_timer);
  const Time now = context_.clock();
  const Duration elapsed = now - active.attempt->started;
  const bool is_late = now > request.first_token_objective;
  if (context_.request_observer != nullptr)
    context_.request_observer->on_first_token(request.request_class,
                                              is_late ? FirstTokenTiming::kLate : FirstTokenTiming::kInTime);
  context_.request_log.log_first_token(request.id, active.attempt->endpoint, id.number, elapsed);
  // The router's actions may end the request, so the values that are needed afterwards are copied.
  const SlotId client = request.client;
  ResponseSink* const sink = request.sink;
  router_.handle(routing::FirstToken{request.id, active.attempt->endpoint, id.number, elapsed});
  sink->start_stream(client);
}

void StreamRelay::resume(SlotId slot) {
  ActiveRequest* request = requests_.find(slot);
  if (request == nullptr || !request->is_paused || !request->streaming_attempt) return;
  request->is_paused = false;
  await_event(slot, context_.clock());
  context_.upstream.resume_reading({slot, *request->streaming_attempt});
}

void StreamRelay::await_event(SlotId slot, Time since) {
  ActiveRequest& request = *requests_.find(slot);
  request.silent_since = since;
  context_.timers.drop(request.idle_timer);
  request.idle_timer = context_.timers.add(since + kIdleTimeout, [this, slot] { on_idle(slot); });
}

void StreamRelay::on_idle(SlotId slot) {
  ActiveRequest* request = requests_.find(slot);
  if (request == nullptr || !request->streaming_attempt || request->is_answered) return;
  const AttemptId attempt{slot, *request->streaming_attempt};
  if (context_.upstream.has_unread_response(attempt)) {  // this process is late, not the endpoint
    request->idle_timer = context_.timers.add(context_.clock() + kReadTime, [this, slot] { on_idle(slot); });
    return;
  }
  context_.log("stream " + request->id.value() + " idle: aborted");
  attempts_.terminate(attempt, AttemptStatus::kTimeout, AttemptEndReason::kStreamIdle);
}

}  // namespace dispatcher::engine
