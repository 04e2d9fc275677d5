#include "engine/stream_handover.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::engine {

std::vector<RunningStream> StreamHandover::running_streams(const ResponseSink& sink) {
  std::vector<RunningStream> streams;
  for (const SlotId slot : requests_.slots()) {
    const ActiveRequest& request = *requests_.find(slot);
    if (request.sink != &sink || !request.streaming_attempt) continue;
    if (request.is_answered || request.is_paused) continue;
    const int number = *request.streaming_attempt;
    streams.push_back(
        {slot, request.client, number, request.id, request.attempt(number).endpoint, request.silent_since});
  }
  return streams;
}

void StreamHandover::release(SlotId slot) {
  ActiveRequest* request = requests_.find(slot);
  if (request == nullptr || !request->streaming_attempt) return;
  requests_.mark_answered(*request);
  const int number = *request->streaming_attempt;
  request->attempt(number).is_active = false;
  // The router must not count the end of the attempt against the endpoint's health.
  router_.handle(routing::ClientGone{request->id});
  router_.handle(request->completion(number, AttemptStatus::kCancelled, context_.clock()));
  requests_.remove_if_complete(slot);
}

SlotId StreamHandover::adopt(ResponseSink& sink, SlotId client, const AdoptedStream& stream,
                             SettingsSnapshot settings) {
  const SlotId slot = requests_.add(stream.id);
  ActiveRequest& request = *requests_.find(slot);
  request.sink = &sink;
  request.client = client;
  request.settings = std::move(settings);
  request.streaming_attempt = 0;
  Attempt& attempt = request.attempts.emplace_back();
  attempt.endpoint = stream.endpoint;
  attempt.started = context_.clock();
  relay_.await_event(slot, std::min(stream.silent_since, context_.clock()));
  return slot;
}

}  // namespace dispatcher::engine
