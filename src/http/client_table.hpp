// The connections of an HTTP server's clients, with their deadlines and the memory that their bodies take.
#ifndef DISPATCHER_HTTP_CLIENT_TABLE_HPP_
#define DISPATCHER_HTTP_CLIENT_TABLE_HPP_

#include <functional>
#include <memory>
#include <vector>

#include "engine/interfaces.hpp"
#include "engine/timer_queue.hpp"
#include "http/arrival_times.hpp"
#include "http/close_reason.hpp"
#include "http/message.hpp"
#include "http/message_reader.hpp"
#include "net/connection.hpp"
#include "net/slot_table.hpp"

namespace dispatcher::http {

using engine::Duration;
using engine::Time;
using net::SlotId;

/// What a client's connection is doing.
enum class ClientState {
  kReading,    // between requests, or a request is arriving
  kAnswering,  // the handler owes an answer, or a stream is under way
  kLingering,  // the last answer was given: a lingering close is under way
};

/// One client's connection and the request on it. Owned by ClientTable.
struct Client {
  /// Never null.
  std::shared_ptr<net::Connection> connection;
  /// Holds the request until its response has ended.
  RequestReader reader{kMaxBodyBytes};
  ClientState state = ClientState::kReading;
  /// The response is an event stream that has begun and not ended.
  bool is_streaming = false;
  /// How the end of a stream to this client is marked.
  StreamFraming framing = StreamFraming::kChunked;
  /// The stream's output is above its high watermark; Handler::on_writable() is owed.
  bool is_backpressured = false;
  /// Reading was cancelled, as the stream is to go to another process.
  bool is_reading_suspended = false;
  /// The connection may carry another request after this one.
  bool keep_alive = true;
  /// The interim response 100 (RFC 9110, section 10.1.1) was considered for this request.
  bool has_sent_continue = false;
  /// A first byte has arrived on this connection.
  bool has_received_data = false;
  /// Bytes of the request's body that count towards the server's limit.
  std::size_t reserved_body_bytes = 0;
  /// Bytes that arrived after the last request and were thrown away.
  std::size_t discarded_bytes = 0;
  /// Of the bytes in the connection's input.
  ArrivalTimes arrival_times;
  /// When the first byte of the request arrived.
  Time request_arrival{};
  /// When the connection was accepted, went idle or began to linger.
  Time state_since{};
  /// Of what the client or this side has to do next; see ServerOptions.
  engine::TimerId deadline;

  /// Whether bytes of a request have arrived that nobody has begun to read: behind the current request, or on
  /// a connection between requests. Queries the kernel, beyond the bytes received so far.
  [[nodiscard]] bool has_waiting_request() const {
    const bool is_reading_request = state == ClientState::kReading && reader.has_started();
    return !is_reading_request && (!connection->input().empty() || connection->is_readable());
  }
  [[nodiscard]] bool is_chunked() const { return framing == StreamFraming::kChunked; }
  [[nodiscard]] Persistence persistence() const {
    return keep_alive ? Persistence::kKeepAlive : Persistence::kClose;
  }
};

/// Owns the clients of one server. Used on its event loop only.
class ClientTable {
 public:
  /// Called where a client's deadline has passed; the deadline is no longer set then.
  using DeadlineHandler = std::function<void(SlotId, Client&)>;

  /// `max_body_bytes`: see reserve_body_bytes(). `on_deadline` runs from the timer queue.
  ClientTable(engine::TimerQueue& timers, engine::Clock clock, std::size_t max_body_bytes,
              DeadlineHandler on_deadline);

  /// Adds a client without a deadline. Returns its handle, which is never used again.
  SlotId add(std::shared_ptr<net::Connection> connection);
  /// Returns nullptr where the client has been removed.
  [[nodiscard]] Client* find(SlotId id) { return clients_.find(id); }
  /// Closes the connection at once and forgets the client. Returns false where it has been removed already.
  bool remove(SlotId id);
  /// Logs why a client's connection is about to be closed, unless that was logged as it began to linger.
  void log_close(SlotId id, CloseReason reason);
  /// Off by default.
  void set_log(engine::Log log) { log_ = std::move(log); }
  /// How many clients are connected, lingering ones included.
  [[nodiscard]] std::size_t size() const { return clients_.size(); }
  /// All clients; they may be removed while the result is iterated.
  [[nodiscard]] std::vector<SlotId> ids() const { return clients_.ids(); }

  /// Replaces the client's deadline, which is `timeout` from now.
  void set_deadline(SlotId id, Duration timeout);
  /// Does nothing where the client has no deadline.
  void cancel_deadline(Client& client) { timers_.drop(client.deadline); }

  /// Replaces the client's reservation. Returns false where it is above 0 and the reservations of all clients
  /// together exceed the limit; it counts all the same until it is released.
  [[nodiscard]] bool reserve_body_bytes(Client& client, std::size_t bytes);
  /// Ends the client's reservation.
  void release_body_bytes(Client& client);
  /// Changes the limit for reservations from now on.
  void set_max_body_bytes(std::size_t max_body_bytes) { max_body_bytes_ = max_body_bytes; }

  /// The client whose connection is of least value: the first to be closed when connections run out. A null
  /// handle where there is none to close.
  ///
  /// In this order, and the longest in its state first: lingering closes; connections that have sent nothing;
  /// idle ones; those with part of a request; those so young that a request may be on its way. Hundreds of
  /// clients that are silent or never finish a request thus can't keep others out. Never chosen are
  /// `newcomer`, clients that are owed an answer or still have output, and those with unread input.
  [[nodiscard]] SlotId find_eviction_candidate(SlotId newcomer);
  /// Whether the client's connection may be closed in an orderly way before connections run out: it is idle
  /// or has been silent.
  [[nodiscard]] bool is_dispensable(const Client& client) const;
  /// Whether the client may have a request on its way, as it connected only just now.
  [[nodiscard]] bool is_recent(const Client& client) const;

 private:
  enum class RetentionValue;
  [[nodiscard]] RetentionValue retention_value(const Client& client) const;

  engine::TimerQueue& timers_;
  engine::Clock clock_;
  net::SlotTable<Client> clients_;
  std::size_t max_body_bytes_;
  std::size_t reserved_body_bytes_ = 0;  // of all clients
  DeadlineHandler on_deadline_;
  engine::Log log_;
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_CLIENT_TABLE_HPP_
