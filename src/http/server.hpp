// An HTTP/1.1 server: reads requests and writes responses, complete or as event streams.
#ifndef DISPATCHER_HTTP_SERVER_HPP_
#define DISPATCHER_HTTP_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <initializer_list>
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
  /// Connections open at once.
  std::size_t max_clients = 500;
  /// Bytes of request bodies in memory at once, over all clients, until their answers begin.
  std::size_t max_body_bytes = 16U << 20U;
  /// For the first byte of a new connection.
  Duration first_byte_timeout = std::chrono::seconds(2);
  /// For a request to arrive, from its first byte. The first request of a connection is timed from the
  /// connection's start, so that a client that delays both its first byte and the rest is answered no later.
  Duration request_timeout = std::chrono::milliseconds(2500);
  /// Between requests.
  Duration idle_timeout = std::chrono::seconds(60);
  /// For a client to take more of its answer.
  Duration write_timeout = std::chrono::seconds(20);
  /// Of a lingering close, from the last byte sent.
  Duration linger_timeout = std::chrono::milliseconds(500);
  /// Every connection carries one request and ends with its answer.
  bool is_single_request = false;
};

/// Serves one address with HTTP/1.1 (RFC 9110, RFC 9112): persistent connections, pipelining, chunked
/// transfer coding and lingering closes. Used on the thread of its io_context only; the owner also owns the
/// handler and outlives both. Handler callbacks run from the event loop or a timer, or from inside a call to
/// the server: an answer given inside on_request() may be followed by the next request's on_request() later,
/// never nested in it.
class Server : private net::Connection::Owner, private ClientAcceptor::Owner {
 public:
  /// A complete request with its body.
  using Request = RequestReader::Message;

  /// Receives the requests.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// A request has arrived; `arrival` is when its first byte did. The request stays valid until it is
    /// answered. Exactly one answer is owed: respond(), or begin_stream() and then end_response() or abort().
    virtual void on_request(SlotId client, Request& request, Time arrival) = 0;
    /// The client disconnected while its answer was owed; nothing is owed any more.
    virtual void on_disconnected(SlotId client) = 0;
    /// The stream for which write_events() returned false may continue.
    virtual void on_writable(SlotId client) = 0;
    /// The JSON body of an error, in the form of the API served.
    virtual std::string error_body(int status, std::string_view message) = 0;
  };

  /// `reclaim_descriptor` may be empty; it is called when accepting fails and no client can be evicted. The
  /// references must outlive the server.
  Server(boost::asio::io_context& io, const net::tcp::endpoint& address, Handler& handler,
         engine::TimerQueue& timers, engine::Clock clock, const ServerOptions& options,
         DescriptorReclaimer reclaim_descriptor);

  // ---- answers; no effect where the client has disconnected ----

  /// Sends a complete response. `more`: further header fields.
  void respond(SlotId client, int status, std::string_view content_type, std::string_view body,
               std::initializer_list<Header> more = {});
  /// Sends a complete response with the handler's error_body().
  void respond_error(SlotId client, int status, std::string_view message,
                     std::initializer_list<Header> more = {});
  /// Sends the head of an event stream.
  void begin_stream(SlotId client);
  /// Sends complete events, never an empty text. Returns false where the client's output is above its high
  /// watermark: wait for on_writable().
  bool write_events(SlotId client, std::string_view events);
  /// Completes the answer; the connection goes on to its next request or is closed.
  void end_response(SlotId client);
  /// Closes the connection without the stream's last chunk, by which the client sees that it is truncated.
  void abort(SlotId client) { begin_lingering_close(client, CloseReason::kStreamAborted); }
  /// Whether a client that is owed an answer is still connected. Queries the kernel, beyond the bytes read so
  /// far.
  [[nodiscard]] bool is_connected(SlotId client);

  // ---- life cycle ----

  /// Logs why each connection is closed from now on.
  void set_connection_log(engine::Log log) { clients_.set_log(std::move(log)); }
  /// Listens, on the socket given where it is bound to this address, and accepts. Throws
  /// boost::system::system_error where the address can't be bound. May follow stop_accepting().
  void open(net::UniqueFd listening_socket = {}) { acceptor_.open(std::move(listening_socket)); }
  /// Accepts what the kernel's backlog holds, as closing over it would reset those connections, and closes
  /// the listening socket.
  void stop_accepting() { acceptor_.stop(); }
  /// From now on each answer is its connection's last, unless further requests have arrived behind it. Idle
  /// connections stay until close_idle().
  void drain() { is_draining_ = true; }
  /// Closes the connections that carry no request, with a lingering close.
  void close_idle();
  /// Changes the limits. Clients above the new maximum are evicted as far as possible.
  void set_limits(std::size_t max_clients, std::size_t max_body_bytes);

  // ---- migration of a stream to another process ----

  /// Cancels reading from a streaming client. Returns true once all output is written and nothing is in
  /// transit, so that detach() may follow; to be called again until then, or resume_reading() to give up.
  [[nodiscard]] bool suspend_reading(SlotId client);
  /// Reads from the client again. Does nothing where reading was not suspended.
  void resume_reading(SlotId client);
  /// Closes this process's side of the connection, forgets the client and returns a duplicate of its socket.
  [[nodiscard]] net::UniqueFd detach(SlotId client);
  /// Adds a client whose chunked stream began in another process and continues here. Throws
  /// boost::system::system_error where the descriptor is no socket.
  SlotId adopt_stream(net::UniqueFd socket);

  // ---- state ----

  /// Whether it listens.
  [[nodiscard]] bool is_open() const { return acceptor_.is_open(); }
  [[nodiscard]] bool is_draining() const { return is_draining_; }
  /// How many clients are connected, lingering ones included.
  [[nodiscard]] std::size_t client_count() const { return clients_.size(); }
  /// The address listened on, with the port that the kernel chose where none was configured.
  [[nodiscard]] net::tcp::endpoint local() const { return acceptor_.local(); }
  /// The listening descriptor, to be handed to another process. Still owned by this server.
  [[nodiscard]] int listening_socket() { return acceptor_.native_handle(); }

 private:
  SlotId add_client(net::tcp::socket socket) override;
  void begin_lingering_close(SlotId id, CloseReason reason) override;
  void on_data(SlotId id) override;
  void on_sent(SlotId id) override;
  void on_ended(SlotId id, net::error_code error) override;

  void on_deadline(SlotId id, Client& client);
  SlotId create_client(net::tcp::socket socket);
  void abandon_client(SlotId id, CloseReason reason);

  void read_request(SlotId id);
  void start_request(SlotId id, Client& client);
  static void send_continue_if_expected(Client& client);
  void limit_early_input(SlotId id, Client& client);
  void reject(SlotId id, Client& client, const RequestRejection& rejection,
              std::initializer_list<Header> more = {});
  void deliver_request(SlotId id, Client& client);
  [[nodiscard]] bool may_continue(const Client& client) const;
  void await_next_request(SlotId id, Client& client);

  void restart_linger_deadline(SlotId id, Client& client);
  static void discard_input(Client& client);

  boost::asio::io_context& io_;
  Handler& handler_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  ServerOptions options_;
  ClientTable clients_;
  ClientAcceptor acceptor_;
  bool is_draining_ = false;
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_SERVER_HPP_
