// Asynchronous reading and writing of one TCP connection.
#include "net/connection.hpp"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <utility>

namespace dispatcher::net {

namespace asio = boost::asio;

tcp::socket adopt_socket(asio::io_context& io, UniqueFd fd) {
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  if (::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw boost::system::system_error(errno, boost::system::system_category());
  tcp::socket socket(io);
  socket.assign(address.ss_family == AF_INET6 ? tcp::v6() : tcp::v4(), fd.get());
  fd.release();
  return socket;
}

Connection::Connection(tcp::socket socket, std::size_t max_input_bytes, std::size_t max_output_bytes)
    : socket_(std::move(socket)), input_(max_input_bytes), output_(max_output_bytes) {
  error_code ignored;
  if (socket_.is_open()) socket_.set_option(tcp::no_delay(true), ignored);
}

std::shared_ptr<Connection> Connection::connect(asio::io_context& io, const tcp::endpoint& to, Owner& owner,
                                                SlotId id, std::size_t max_input_bytes,
                                                std::size_t max_output_bytes) {
  auto self = std::make_shared<Connection>(tcp::socket(io), max_input_bytes, max_output_bytes);
  self->set_owner(owner, id);
  error_code error;
  self->socket_.open(to.protocol(), error);
  const auto notify_connected = [self](error_code result) {
    if (!self->is_open_) return;
    self->owner_->on_connected(self->id_, result);
  };
  if (error) {
    asio::post(io, [notify_connected, error] { notify_connected(error); });
    return self;
  }
  self->socket_.set_option(tcp::no_delay(true), error);
  self->socket_.async_connect(to, notify_connected);
  return self;
}

void Connection::set_owner(Owner& owner, SlotId id) {
  owner_ = &owner;
  id_ = id;
}

// ---- reading ----

void Connection::read() {
  is_read_wanted_ = true;
  if (is_read_pending_ || !is_open_ || input_.free_space() == 0) return;
  is_read_pending_ = true;
  const auto on_read = [self = shared_from_this()](error_code error, std::size_t byte_count) {
    self->is_read_pending_ = false;
    self->input_.commit(error ? 0 : byte_count);
    if (!self->is_open_) return;
    if (error == asio::error::operation_aborted) {
      // Cancelled by cancel_reading(), after which read() may have been called again.
      if (self->is_read_wanted_) self->read();
      return;
    }
    if (error) {
      self->fail(error);
      return;
    }
    self->owner_->on_data(self->id_);
    if (self->is_open_ && self->is_read_wanted_) self->read();
  };
  socket_.async_read_some(input_.prepare(), on_read);
}

void Connection::cancel_reading() {
  is_read_wanted_ = false;
  error_code ignored;
  if (is_read_pending_) socket_.cancel(ignored);
}

bool Connection::is_quiescent() const {
  return is_open_ && !is_read_pending_ && !is_write_pending_ && !is_finishing_ && output_.empty();
}

// ---- writing ----

bool Connection::write(std::string_view bytes) {
  if (!is_open_ || is_finishing_ || !output_.append(bytes)) return false;
  flush();
  return true;
}

void Connection::flush() {
  if (is_write_pending_ || !is_open_) return;
  if (output_.empty()) {
    error_code ignored;
    if (is_finishing_) socket_.shutdown(tcp::socket::shutdown_send, ignored);
    return;
  }
  is_write_pending_ = true;
  // Output that is appended during the write may reallocate the ring buffer, so the operation keeps the
  // storage that it reads from alive.
  const auto on_written = [self = shared_from_this(), storage = output_.storage()](error_code error,
                                                                                   std::size_t byte_count) {
    self->is_write_pending_ = false;
    if (!self->is_open_) return;
    if (error) {
      self->fail(error);
      return;
    }
    self->output_.consume(byte_count);
    self->flush();
    self->owner_->on_sent(self->id_);
  };
  socket_.async_write_some(output_.data(), on_written);
}

void Connection::finish() {
  is_finishing_ = true;
  flush();
}

// ---- state of the peer ----

namespace {

enum class SocketInput { kNothing, kBytes, kEndOfStream };

SocketInput peek(int socket) {
  char byte = 0;
  const auto byte_count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (byte_count > 0) return SocketInput::kBytes;
  if (byte_count == 0) return SocketInput::kEndOfStream;
  const bool is_temporary = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return is_temporary ? SocketInput::kNothing : SocketInput::kEndOfStream;
}

}  // namespace

bool Connection::is_readable() { return peek(socket_.native_handle()) != SocketInput::kNothing; }

bool Connection::is_stale() { return !is_open_ || !input_.empty() || is_readable(); }

bool Connection::has_peer_closed() {
  return !is_open_ || peek(socket_.native_handle()) == SocketInput::kEndOfStream;
}

// ---- the end ----

void Connection::fail(error_code error) {
  is_read_wanted_ = false;
  owner_->on_ended(id_, error);
}

void Connection::close() {
  is_open_ = false;
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace dispatcher::net
