// Accepts a server's clients and limits how many are connected at once.
#ifndef DISPATCHER_HTTP_CLIENT_ACCEPTOR_HPP_
#define DISPATCHER_HTTP_CLIENT_ACCEPTOR_HPP_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>

#include "engine/timer_queue.hpp"
#include "http/client_table.hpp"
#include "net/listener.hpp"

namespace dispatcher::http {

/// Frees a file descriptor elsewhere in the process. Returns false if there was none to free.
using DescriptorReclaimer = std::function<bool()>;

/// Listens on one address and enforces the limit on connected clients: at the limit it evicts the clients of
/// least value or leaves further ones in the kernel's backlog. Embedded in the server that owns the client
/// table; used on its event loop only.
class ClientAcceptor : private net::Listener::Owner {
 public:
  /// Receives clients. Called from the event loop or from inside a call to the acceptor.
  class Owner {
   public:
    virtual ~Owner() = default;
    /// Adds the client to the table and starts to read from it. Returns its handle.
    virtual SlotId add_client(net::tcp::socket socket) = 0;
    /// Closes an idle or silent client's connection in an orderly way.
    virtual void begin_lingering_close(SlotId id, CloseReason reason) = 0;
  };

  /// `max_clients` is the maximum number of open connections. `reclaim_descriptor` may be empty; it is called
  /// when accepting fails and no client can be evicted. The references must outlive the acceptor.
  ClientAcceptor(boost::asio::io_context& io, const net::tcp::endpoint& address, ClientTable& clients,
                 engine::TimerQueue& timers, engine::Clock clock, std::size_t max_clients,
                 DescriptorReclaimer reclaim_descriptor, Owner& owner);

  /// Starts to listen and accept. Uses `listening_socket` if that is bound to this address, and a new socket
  /// otherwise. Throws boost::system::system_error if the address can't be bound. May be called after stop().
  void open(net::UniqueFd listening_socket);
  /// Accepts the connections in the kernel's backlog, which would be reset otherwise, and closes the
  /// listening socket.
  void stop();
  /// Changes the maximum and evicts clients above it as far as possible.
  void set_max_clients(std::size_t max_clients);

  /// Closes a client's connection at once and removes the client. Resumes accepting if the limit had paused
  /// it.
  void remove(SlotId id, CloseReason reason);
  /// Must be called when a client's connection becomes idle: at the limit it may be evicted in favor of
  /// clients that wait in the backlog.
  void on_client_idle();

  [[nodiscard]] bool is_open() const { return listener_.is_open(); }
  /// Returns the listening address, with the port that the kernel chose if none was configured.
  [[nodiscard]] net::tcp::endpoint local() const { return listener_.local(); }
  /// Returns the listening descriptor, which this object still owns.
  [[nodiscard]] int native_handle() { return listener_.native_handle(); }

 private:
  void on_accepted(net::tcp::socket socket) override;
  void on_accept_failed(net::error_code error) override;

  void enforce_limit(SlotId newcomer);
  bool evict_client(SlotId newcomer);

  ClientTable& clients_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  std::size_t max_clients_;
  DescriptorReclaimer reclaim_descriptor_;
  Owner& owner_;
  net::Listener listener_;
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_CLIENT_ACCEPTOR_HPP_
