#include "daemon/stream_handover.hpp"

#include <cstdint>
#include <exception>
#include <string>
#include <utility>
#include <vector>

namespace dispatcher::daemon {

namespace {

// A stream that can't be handed over yet resumes reading in one of this many passes, so that it reaches the
// end of an event.
constexpr int kPassesPerResume = 3;

}  // namespace

void StreamHandover::hand_over() {
  const bool is_successor_serving = components_.hot_restart_peer.is_successor_serving();
  for (const engine::RunningStream& stream :
       components_.engine.running_streams(components_.platform_frontend.response_sink())) {
    if (is_successor_serving) {
      hand_over(stream);
    } else {
      resume(stream);  // its successor may have ended after the last pass
    }
  }
  ++passes_;
}

// Cancels the pending reads of both sockets first. Hands the stream over once both are cancelled and no bytes
// have arrived since.
void StreamHandover::hand_over(const engine::RunningStream& stream) {
  http::Server& server = components_.platform_frontend.server();
  const engine::AttemptId attempt{stream.request, stream.attempt};
  const bool is_client_suspended = server.suspend_reading(stream.client);
  const bool is_endpoint_suspended = components_.replica_client.suspend_stream(attempt);
  if (is_client_suspended && is_endpoint_suspended) {
    if (transfer(stream)) return;
    resume(stream);
  } else if (passes_ % kPassesPerResume == kPassesPerResume - 1) {
    resume(stream);
  }
}

// Gives the stream up only after its message was accepted, since the successor may have ended or may be held
// up.
bool StreamHandover::transfer(const engine::RunningStream& stream) {
  http::Server& server = components_.platform_frontend.server();
  const engine::AttemptId attempt{stream.request, stream.attempt};
  const upstream::SuspendedStream suspended = components_.replica_client.suspended_stream(attempt);
  const upstream::StreamState& state = suspended.state;
  const bool is_transferred = components_.hot_restart_peer.transfer_stream(
      {stream.id, state.endpoint, state.unread, state.position.chunk_left, state.position.keep_alive,
       components_.loop.to_monotonic(stream.silent_since)},
      server.client_socket(stream.client), suspended.socket);
  if (!is_transferred) return false;
  components_.replica_client.detach_stream(attempt);
  server.detach(stream.client);
  components_.platform_frontend.forget_detached_stream(stream.client);
  components_.engine.release_stream(stream.request);
  return true;
}

void StreamHandover::resume(const engine::RunningStream& stream) {
  components_.platform_frontend.server().resume_reading(stream.client);
  components_.replica_client.resume_stream({stream.request, stream.attempt});
}

void StreamHandover::adopt(const hot_restart::StreamTransfer& transfer, net::UniqueFd client,
                           net::UniqueFd endpoint) {
  try {
    const upstream::StreamState state{
        transfer.endpoint, transfer.unread, {transfer.chunk_left, transfer.keep_alive}};
    components_.engine.on_peer_request_progress(transfer.request_id, engine::RequestProgress::kCompleted);
    const engine::Time silent_since = transfer.silent_since
                                          ? components_.loop.from_monotonic(*transfer.silent_since)
                                          : components_.loop.now();
    const net::SlotId request = components_.platform_frontend.adopt_stream(
        std::move(client), {transfer.request_id, state.endpoint, silent_since});
    components_.replica_client.adopt_stream({request, 0}, std::move(endpoint), state);
  } catch (const std::exception& error) {
    components_.log(std::string("upgrade: can't continue a stream: ") + error.what());
  }
}

}  // namespace dispatcher::daemon
