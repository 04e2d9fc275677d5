// The table of an HTTP server's clients: their connections, deadlines and body memory.
#ifndef DISPATCHER_HTTP_CLIENT_TABLE_HPP_
#define DISPATCHER_HTTP_CLIENT_TABLE_HPP_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "engine/interfaces.hpp"
#include "engine/timer_queue.hpp"
#include "http/arrival_times.hpp"
#include "http/client_capacity.hpp"
#include "http/close_reason.hpp"
#include "http/message.hpp"
#include "http/message_reader.hpp"
#include "net/connection.hpp"
#include "net/slot_table.hpp"

namespace dispatcher::http {

using engine::Duration;
using engine::Time;
using net::SlotId;

/// The state of a client's connection.
enum class ClientState {
  kReading,    // the connection is between requests, or a request is arriving
  kAnswering,  // the handler owes an answer, or a stream is in progress
  kLingering,  // the last answer was given, and a lingering close is in progress
};

/// One client's connection and the request on it. Owned by ClientTable.
struct Client {
  /// Never null.
  std::shared_ptr<net::Connection> connection;
  /// Reads the request and holds it until its response has ended.
  RequestReader reader{kMaxBodyBytes};
  ClientState state = ClientState::kReading;
  /// Whether the response is an event stream that has begun and not ended.
  bool is_streaming = false;
  /// How this client detects the end of a stream.
  StreamFraming framing = StreamFraming::kChunked;
  /// Whether the stream's output has reached the high watermark. Handler::on_writable() is called once it has
  /// fallen to the low watermark.
  bool is_backpressured = false;
  /// Whether reading was cancelled because the stream is about to move to another process.
  bool is_reading_suspended = false;
  /// Whether the connection may carry another request after this one.
  bool keep_alive = true;
  /// Whether the request's Expect field was checked, and the interim response 100 sent if the client expects
  /// it (RFC 9110, section 10.1.1).
  bool has_checked_expect = false;
  /// Whether the first byte has arrived on this connection.
  bool has_received_data = false;
  /// Bytes of the request's body that count towards ServerOptions::max_body_bytes.
  std::size_t reserved_body_bytes = 0;
  /// Bytes that arrived behind the current or last request and were discarded.
  std::size_t discarded_bytes = 0;
  /// Arrival times of the bytes in the connection's input.
  ArrivalTimes arrival_times;
  /// When the request's first byte arrived.
  Time request_arrival{};
  /// When the connection was accepted, started to carry a request, became idle or last restarted its linger
  /// deadline.
  Time state_since{};
  /// The timer of the timeout that applies now; see ServerOptions.
  engine::TimerId deadline;

  /// Whether bytes of a request that is not being read yet have arrived, either behind the current request or
  /// on a connection between requests. Also asks the kernel for bytes that were not received yet.
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
  /// Called when a client's deadline has passed. The deadline is no longer set by then.
  using DeadlineHandler = std::function<void(SlotId, Client&)>;

  /// `capacity` limits what reserve_body_bytes() grants, and must outlive the table. `on_deadline` is called
  /// from the timer queue.
  ClientTable(engine::TimerQueue& timers, engine::Clock clock, ClientCapacity& capacity,
              DeadlineHandler on_deadline);

  /// Adds a client without a deadline. Returns its handle, which is never reused for another client.
  SlotId add(std::shared_ptr<net::Connection> connection);
  /// Returns nullptr if the client has been removed.
  [[nodiscard]] Client* find(SlotId id) { return clients_.find(id); }
  /// Closes the connection at once and removes the client. Returns false if it was removed already.
  bool remove(SlotId id);
  /// Logs why a client's connection is about to be closed, unless that was logged when it began to linger.
  void log_close(SlotId id, CloseReason reason);
  /// Sets the log for log_close(). Nothing is logged by default.
  void set_log(engine::Log log) { log_ = std::move(log); }
  /// Returns the number of connected clients, including lingering ones.
  [[nodiscard]] std::size_t size() const { return clients_.size(); }
  /// Returns the handles of all clients, which may be removed while the caller iterates the result.
  [[nodiscard]] std::vector<SlotId> ids() const { return clients_.ids(); }

  /// Replaces the client's deadline with one that expires `timeout` from now.
  void set_deadline(SlotId id, Duration timeout);
  /// Does nothing if the client has no deadline.
  void cancel_deadline(Client& client) { timers_.drop(client.deadline); }

  /// Replaces the client's reservation of memory for its request's body. Returns false if it is above 0 and
  /// the reservations of all clients together exceed the limit. It counts until it is released even then.
  [[nodiscard]] bool reserve_body_bytes(Client& client, std::size_t bytes);
  /// Releases the client's reservation.
  void release_body_bytes(Client& client);

  /// Returns the client whose connection is of least value and is closed first when connections run out.
  /// Returns nullopt if no client may be evicted.
  ///
  /// Clients are evicted in this order, and within each group the one longest in its state first: connections
  /// in a lingering close, connections that have sent nothing, idle ones, those with part of a request, and
  /// those so recent that a request may be on its way. Hundreds of clients that are silent or never finish a
  /// request thus can't keep others out. Never chosen are `newcomer`, clients that are owed an answer or
  /// still have output, and those with unread input.
  [[nodiscard]] std::optional<EvictionCandidate> find_eviction_candidate(SlotId newcomer);
  /// Returns the number of clients that are owed an answer or the rest of one.
  [[nodiscard]] std::size_t answering_count() const;
  /// Whether the client entered its state so recently that its request may still be on its way.
  [[nodiscard]] bool is_recent(const Client& client) const;

 private:
  [[nodiscard]] RetentionValue retention_value(const Client& client) const;

  engine::TimerQueue& timers_;
  engine::Clock clock_;
  ClientCapacity& capacity_;
  net::SlotTable<Client> clients_;
  DeadlineHandler on_deadline_;
  engine::Log log_;
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_CLIENT_TABLE_HPP_
