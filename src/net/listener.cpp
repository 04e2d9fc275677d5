// Accepting of TCP connections.
#include "net/listener.hpp"

#include <sys/socket.h>

#include <utility>

namespace dispatcher::net {

namespace asio = boost::asio;

Listener::Listener(asio::io_context& io, const tcp::endpoint& address, Owner& owner)
    : address_(address), acceptor_(io), owner_(owner) {}

void Listener::open() {
  if (acceptor_.is_open()) return;
  tcp::acceptor acceptor(acceptor_.get_executor());
  acceptor.open(address_.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  // During a hot restart in which the socket is not handed over, both processes listen on this address for a
  // while.
  acceptor.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
  acceptor.bind(address_);
  acceptor.listen(asio::socket_base::max_listen_connections);
  acceptor_ = std::move(acceptor);
}

bool Listener::adopt(UniqueFd socket) {
  if (!socket || acceptor_.is_open()) return false;
  tcp::acceptor acceptor(acceptor_.get_executor());
  error_code error;
  acceptor.assign(address_.protocol(), socket.get(), error);
  if (error) return false;
  socket.release();
  if (acceptor.local_endpoint(error) != address_ || error) return false;
  acceptor_ = std::move(acceptor);
  return true;
}

void Listener::accept() {
  is_accept_wanted_ = true;
  if (is_accept_pending_ || !acceptor_.is_open()) return;
  is_accept_pending_ = true;
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    is_accept_pending_ = false;
    if (error == asio::error::operation_aborted) return;
    if (error) {
      owner_.on_accept_failed(error);
      return;
    }
    owner_.on_accepted(std::move(socket));
    if (is_accept_wanted_) accept();
  });
}

void Listener::accept_pending() {
  error_code error;
  if (!acceptor_.is_open()) return;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) owner_.on_accepted(std::move(socket));
  }
}

void Listener::close() {
  is_accept_wanted_ = false;
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace dispatcher::net
