#include "upstream/stream_handover.hpp"

#include <utility>

namespace dispatcher::upstream {

namespace {

// The maximum of unread bytes of a detached stream. They are passed to the other process in one message.
constexpr std::size_t kMaxUnreadBytes = 4096;

}  // namespace

bool StreamHandover::suspend_stream(AttemptId attempt) {
  PooledConnection* connection = attempts_.connection_of(attempt);
  if (connection == nullptr) return false;
  Exchange& exchange = connection->exchange;
  if (!exchange.is_request_sent || !exchange.reader.is_head_complete()) return false;
  const bool is_between_events = exchange.framer.incomplete_event().empty();
  if (!exchange.reader.message().chunked() || !is_between_events) return false;
  if (connection->transport->input().size() > kMaxUnreadBytes) return false;
  if (!connection->is_reading_suspended) {
    connection->is_reading_suspended = true;
    connection->transport->cancel_reading();
  }
  return connection->transport->is_quiescent();
}

void StreamHandover::resume_stream(AttemptId attempt) {
  PooledConnection* connection = attempts_.connection_of(attempt);
  if (connection == nullptr || !connection->is_reading_suspended) return;
  connection->is_reading_suspended = false;
  connection->transport->read();
}

SuspendedStream StreamHandover::suspended_stream(AttemptId attempt) const {
  const PooledConnection& connection = *attempts_.connection_of(attempt);
  const http::ResponseReader& reader = connection.exchange.reader;
  return {connection.transport->native_handle(),
          {connection.endpoint,
           std::string(connection.transport->input().text()),
           {reader.chunk_bytes_left(), reader.keep_alive()}}};
}

void StreamHandover::detach_stream(AttemptId attempt) {
  pool_.close(attempts_.remove(attempt), CloseReason::kHandedOver);
}

void StreamHandover::adopt_stream(AttemptId attempt, net::UniqueFd socket, const StreamState& state) {
  const SlotId id = pool_.adopt(state.endpoint, std::move(socket));
  attempts_.add(attempt, id);
  exchanges_.resume_response(id, attempts_, attempt, state.position, state.unread);
}

}  // namespace dispatcher::upstream
