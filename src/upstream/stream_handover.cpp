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

DetachedStream StreamHandover::detach_stream(AttemptId attempt) {
  PooledConnection& connection = *attempts_.connection_of(attempt);
  const http::ResponseReader& reader = connection.exchange.reader;
  DetachedStream stream;
  stream.endpoint = connection.endpoint;
  stream.unread = connection.transport->input().text();
  stream.position = {reader.chunk_bytes_left(), reader.keep_alive()};
  stream.socket = connection.transport->duplicate_socket();
  pool_.close(attempts_.remove(attempt), CloseReason::kHandedOver);
  return stream;
}

void StreamHandover::adopt_stream(AttemptId attempt, DetachedStream stream) {
  const SlotId id = pool_.adopt(stream.endpoint, std::move(stream.socket));
  attempts_.add(attempt, id);
  exchanges_.resume_response(id, attempts_, attempt, stream.position, stream.unread);
}

}  // namespace dispatcher::upstream
