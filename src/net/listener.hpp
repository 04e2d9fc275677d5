// A listening TCP socket that hands accepted connections to its owner.
#ifndef DISPATCHER_NET_LISTENER_HPP_
#define DISPATCHER_NET_LISTENER_HPP_

#include <boost/asio/io_context.hpp>

#include "net/address.hpp"
#include "net/unique_fd.hpp"

namespace dispatcher::net {

/// Accepts connections on one address. Used on the thread that runs the io_context only. The owner embeds the
/// listener and must outlive the io_context's pending handlers.
class Listener {
 public:
  /// Receives accepted sockets. Always called from the event loop, except during accept_pending().
  class Owner {
   public:
    virtual ~Owner() = default;
    /// Called when a client has connected.
    virtual void on_accepted(tcp::socket socket) = 0;
    /// Called when accepting has failed and therefore stopped. The owner calls accept() to resume it.
    virtual void on_accept_failed(error_code error) = 0;
  };

  /// Creates a listener that does not listen before open() or adopt().
  Listener(boost::asio::io_context& io, const tcp::endpoint& address, Owner& owner);

  /// Binds and listens. Does nothing if the socket is open already. Throws boost::system::system_error, for
  /// example if the address is in use.
  void open();
  /// Takes over a socket that listens already. Returns false, and closes the socket, if it is invalid, if it
  /// is not bound to this listener's address, or if this listener is open already.
  bool adopt(UniqueFd socket);
  /// Accepts connections until pause_accepting() or close().
  void accept();
  /// Accepts all connections in the kernel's backlog at once, without waiting for the event loop.
  void accept_pending();
  /// Leaves further connections in the kernel's backlog. An accept in progress may still deliver one.
  void pause_accepting() { is_accept_wanted_ = false; }
  /// Closes the socket, which resets the connections in the kernel's backlog; see accept_pending(). open()
  /// may be called afterwards.
  void close();

  /// Returns the listening descriptor, which this object still owns.
  [[nodiscard]] int native_handle() { return acceptor_.native_handle(); }
  [[nodiscard]] bool is_open() const { return acceptor_.is_open(); }
  /// Returns the address that the socket is bound to. Throws boost::system::system_error if it is not open.
  [[nodiscard]] tcp::endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  tcp::endpoint address_;
  tcp::acceptor acceptor_;
  Owner& owner_;
  bool is_accept_wanted_ = false;
  bool is_accept_pending_ = false;
};

}  // namespace dispatcher::net

#endif  // DISPATCHER_NET_LISTENER_HPP_
