// Accepts a server's clients, as far as there are connections for them.
#ifndef DISPATCHER_HTTP_CLIENT_ACCEPTOR_HPP_
#define DISPATCHER_HTTP_CLIENT_ACCEPTOR_HPP_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <optional>

#include "engine/timer_queue.hpp"
#include "http/client_capacity.hpp"
#include "http/client_table.hpp"
#include "net/listener.hpp"

namespace dispatcher::http {

/// Frees a file descriptor elsewhere in the process. Returns false if there was none to free.
using DescriptorReclaimer = std::function<bool()>;

/// Listens on one address. Where the process runs out of connections, it has clients of least value evicted
/// or leaves further ones in the kernel's backlog. Embedded in the server that owns the client table; used on
/// its event loop only.
class ClientAcceptor : private net::Listener::Owner, private ClientCapacity::Server {
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

  /// `capacity` limits the open connections of this server and others. `reclaim_descriptor` may be empty; it
  /// is called when accepting fails and no client can be evicted. The references must outlive the acceptor.
  ClientAcceptor(boost::asio::io_context& io, const net::tcp::endpoint& address, ClientTable& clients,
                 ClientCapacity& capacity, engine::TimerQueue& timers, engine::Clock clock,
                 DescriptorReclaimer reclaim_descriptor, Owner& owner);
  ~ClientAcceptor() override { capacity_.remove(*this); }
  ClientAcceptor(const ClientAcceptor&) = delete;
  ClientAcceptor& operator=(const ClientAcceptor&) = delete;

  /// Starts to listen and accept. Uses `listening_socket` if that is bound to this address, and a new socket
  /// otherwise. Throws boost::system::system_error if the address can't be bound. May be called after stop().
  void open(net::UniqueFd listening_socket);
  /// Accepts the connections in the kernel's backlog, which would be reset otherwise, and closes the
  /// listening socket.
  void stop();

  /// Closes a client's connection at once and removes the client. Clients that had to wait for a connection
  /// may be accepted then.
  void remove(SlotId id, CloseReason reason);
  /// Must be called when a client's connection becomes idle: it may be evicted in favor of clients that wait
  /// in the backlog.
  void on_client_idle();
  /// Returns whether a request that has arrived may be answered by the handler; see ClientCapacity.
  [[nodiscard]] bool may_answer() const { return capacity_.may_answer(*this); }

  [[nodiscard]] bool is_open() const { return listener_.is_open(); }
  /// Returns the listening address, with the port that the kernel chose if none was configured.
  [[nodiscard]] net::tcp::endpoint local() const { return listener_.local(); }
  /// Returns the listening descriptor, which this object still owns.
  [[nodiscard]] int native_handle() { return listener_.native_handle(); }

 private:
  // net::Listener::Owner
  void on_accepted(net::tcp::socket socket) override;
  void on_accept_failed(net::error_code error) override;
  // ClientCapacity::Server
  [[nodiscard]] std::size_t client_count() const override { return clients_.size(); }
  [[nodiscard]] std::size_t answering_count() const override { return clients_.answering_count(); }
  [[nodiscard]] std::optional<EvictionCandidate> eviction_candidate(SlotId newcomer) override {
    return clients_.find_eviction_candidate(newcomer);
  }
  void evict(SlotId client) override { remove(client, CloseReason::kEvicted); }
  void close_gracefully(SlotId client) override {
    owner_.begin_lingering_close(client, CloseReason::kEvicted);
  }
  void resume_accepting() override;

  ClientTable& clients_;
  ClientCapacity& capacity_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  DescriptorReclaimer reclaim_descriptor_;
  Owner& owner_;
  net::Listener listener_;
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_CLIENT_ACCEPTOR_HPP_
