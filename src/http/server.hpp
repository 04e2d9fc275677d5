// An HTTP/1.1 server that reads requests and writes responses, either complete or as event streams.
#ifndef DISPATCHER_HTTP_SERVER_HPP_
#define DISPATCHER_HTTP_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "engine/timer_queue.hpp"
#include "http/client_acceptor.hpp"
#include "http/client_table.hpp"
#include "http/message.hpp"
#include "http/message_reader.hpp"
#include "http/request_checks.hpp"
#include "net/connection.hpp"

namespace dispatcher::http {

/// Limits and timeouts of a server.
struct ServerOptions {
  /// The limits on connections and memory, where the server shares them with others. Null: the server has
  /// the following ones for itself.
  std::shared_ptr<ClientCapacity> shared_capacity = {};
  /// Maximum number of open connections.
  std::size_t max_clients = 500;
  /// Maximum bytes of request bodies in memory, summed over all clients. A body counts until its stream
  /// begins or its response ends.
  std::size_t max_body_bytes = 16U << 20U;
  /// Time for the first byte of a new connection to arrive.
  Duration first_byte_timeout = std::chrono::seconds(2);
  /// Time for a request to arrive completely, from its first byte. The first request of a connection is timed
  /// from the connection's start, so that a client that delays both its first byte and the rest is answered
  /// no later.
  Duration request_timeout = std::chrono::milliseconds(2500);
  /// Time that a connection may be idle between requests.
  Duration idle_timeout = std::chrono::seconds(60);
  /// Time in which a client must read more of its answer.
  Duration write_timeout = std::chrono::seconds(20);
  /// Duration of a lingering close, from the last byte sent.
  Duration linger_timeout = std::chrono::milliseconds(500);
  /// Whether each connection carries a single request and is closed after its answer.
  bool is_single_request = false;
};

/// Serves one address with HTTP/1.1 (RFC 9110, RFC 9112): persistent connections, pipelining, chunked
/// transfer coding and lingering closes. Used on the thread of its io_context only; the owner also owns the
/// handler and outlives both. Handler callbacks run from the event loop, from a timer or from inside a call
/// to the server. After an answer given inside on_request(), the next request's on_request() is called later,
/// never nested.
class Server : private net::Connection::Owner, private ClientAcceptor::Owner {
 public:
  /// A complete request with its body.
  using Request = RequestReader::Message;

  /// Receives requests and answers them.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// Called when a request has arrived completely; `arrival` is the arrival time of its first byte. The
    /// request stays valid until it is answered. Each request must be answered exactly once: by respond(), or
    /// by begin_stream() and then end_response() or abort().
    virtual void on_request(SlotId client, Request& request, Time arrival) = 0;
    /// Called when the client disconnected before its answer was complete. No answer is owed any more.
    virtual void on_disconnected(SlotId client) = 0;
    /// Called when the stream for which write_events() returned false may continue.
    virtual void on_writable(SlotId client) = 0;
    /// Returns the JSON body of an error response in the API's format.
    virtual std::string error_body(int status, std::string_view message) = 0;
  };

  /// `reclaim_descriptor` may be empty; it is called when accepting fails and no client can be evicted. The
  /// references must outlive the server.
  Server(boost::asio::io_context& io, const net::tcp::endpoint& address, Handler& handler,
         engine::TimerQueue& timers, engine::Clock clock, const ServerOptions& options,
         DescriptorReclaimer reclaim_descriptor);

  // ---- answers; these have no effect if the client has disconnected ----

  /// Sends a complete response.
  void respond(SlotId client, int status, std::string_view content_type, std::string_view body,
               std::initializer_list<Header> extra_headers = {});
  /// Sends a complete response whose body is the handler's error_body().
  void respond_error(SlotId client, int status, std::string_view message,
                     std::initializer_list<Header> extra_headers = {});
  /// Sends the head of an event stream.
  void begin_stream(SlotId client);
  /// Sends complete events; `events` must not be empty. Returns false if the client's output has reached the
  /// high watermark, in which case the caller must wait for on_writable().
  bool write_events(SlotId client, std::string_view events);
  /// Completes the answer. The connection then waits for its next request or is closed.
  void end_response(SlotId client);
  /// Closes the connection without the stream's last chunk, so that the client detects the truncation.
  void abort(SlotId client) { begin_lingering_close(client, CloseReason::kStreamAborted); }
  /// Whether a client that is owed an answer is still connected. Also asks the kernel for a close that was
  /// not read yet.
  [[nodiscard]] bool is_connected(SlotId client);

  // ---- life cycle ----

  /// Sets the log for the reason why each connection is closed.
  void set_connection_log(engine::Log log) { clients_.set_log(std::move(log)); }
  /// Starts to listen and accept. Uses `listening_socket` if that is bound to this address, and a new socket
  /// otherwise. Throws boost::system::system_error if the address can't be bound. May be called after
  /// stop_accepting().
  void open(net::UniqueFd listening_socket = {}) { acceptor_.open(std::move(listening_socket)); }
  /// Accepts the connections in the kernel's backlog, which would be reset otherwise, and closes the
  /// listening socket.
  void stop_accepting() { acceptor_.stop(); }
  /// Makes each later answer the last one of its connection, unless further requests have arrived behind it.
  /// Idle connections stay open until close_idle().
  void drain() { is_draining_ = true; }
  /// Starts a lingering close of each connection that carries no request.
  void close_idle();
  /// Returns the limits on connections and memory, which other servers may share.
  [[nodiscard]] ClientCapacity& capacity() { return *capacity_; }

  // ---- migration of a stream to another process ----

  /// Cancels reading from a streaming client. Returns true once all output is written and no bytes are in
  /// transit inside this process, so that another process may continue. Until then the caller repeats the
  /// call, or gives up and calls resume_reading().
  [[nodiscard]] bool suspend_reading(SlotId client);
  /// Resumes reading from the client. Does nothing if reading was not suspended.
  void resume_reading(SlotId client);
  /// Returns the socket of a suspended client, which the server still owns, for a copy to the other process.
  [[nodiscard]] int client_socket(SlotId client);
  /// Removes a client whose socket the other process has, and closes this process's descriptor of it.
  void detach(SlotId client);
  /// Adds a client whose chunked stream began in another process and continues here. Throws
  /// boost::system::system_error if the descriptor is not a socket.
  SlotId adopt_stream(net::UniqueFd socket);

  // ---- state ----

  /// Whether the server is listening.
  [[nodiscard]] bool is_open() const { return acceptor_.is_open(); }
  [[nodiscard]] bool is_draining() const { return is_draining_; }
  /// Returns the number of connected clients, including lingering ones.
  [[nodiscard]] std::size_t client_count() const { return clients_.size(); }
  /// Returns the listening address, with the port that the kernel chose if none was configured.
  [[nodiscard]] net::tcp::endpoint local() const { return acceptor_.local(); }
  /// Returns the listening descriptor, to be handed over to another process. Still owned by this server.
  [[nodiscard]] int listening_socket() { return acceptor_.native_handle(); }

 private:
  SlotId add_client(net::tcp::socket socket) override;
  void begin_lingering_close(SlotId id, CloseReason reason) override;
  void on_data(SlotId id) override;
  void on_sent(SlotId id) override;
  void on_ended(SlotId id, net::error_code error) override;

  void on_deadline(SlotId id, Client& client);
  SlotId create_client(net::tcp::socket socket);
  void disconnect_client(SlotId id, CloseReason reason);

  void read_request(SlotId id);
  void start_request(SlotId id, Client& client);
  static void send_continue_if_expected(Client& client);
  void limit_early_input(SlotId id, Client& client);
  void reject(SlotId id, Client& client, const RequestRejection& rejection,
              std::initializer_list<Header> extra_headers = {});
  void deliver_request(SlotId id, Client& client);
  void reject_busy(SlotId id, Client& client);
  [[nodiscard]] bool may_continue(const Client& client) const;
  void await_next_request(SlotId id, Client& client);

  void restart_linger_deadline(SlotId id, Client& client);
  static void discard_input(Client& client);

  boost::asio::io_context& io_;
  Handler& handler_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  ServerOptions options_;
  std::shared_ptr<ClientCapacity> capacity_;
  ClientTable clients_;
  ClientAcceptor acceptor_;
  bool is_draining_ = false;
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_SERVER_HPP_
