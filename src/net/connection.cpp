#include "net/connection.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <charconv>

namespace dispatcher::net {

namespace asio = boost::asio;

std::optional<tcp::endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view endpoint = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  if (endpoint.size() > 2 && endpoint.front() == '[' && endpoint.back() == ']')
    endpoint = endpoint.substr(1, endpoint.size() - 2);
  error_code bad;
  const auto address = asio::ip::make_address(std::string(endpoint), bad);
  if (bad) return std::nullopt;
  return tcp::endpoint(address, port);
}

tcp::socket adopt_socket(asio::io_context& io, UniqueFd fd) {
  sockaddr_storage name{};
  socklen_t size = sizeof name;
  if (::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&name), &size) != 0)
    throw boost::system::system_error(errno, boost::system::system_category());
  tcp::socket socket(io);
  socket.assign(name.ss_family == AF_INET6 ? tcp::v6() : tcp::v4(), fd.get());
  fd.release();
  return socket;
}

Connection::Connection(tcp::socket socket, std::size_t max_in, std::size_t max_out)
    : socket_(std::move(socket)), in_(max_in), out_(max_out) {
  error_code ignored;
  if (socket_.is_open()) socket_.set_option(tcp::no_delay(true), ignored);
}

std::shared_ptr<Connection> Connection::connect(asio::io_context& io, const tcp::endpoint& to, Owner& owner,
                                                SlotId id, std::size_t max_in, std::size_t max_out) {
  auto self = std::make_shared<Connection>(tcp::socket(io), max_in, max_out);
  self->own(owner, id);
  error_code error;
  self->socket_.open(to.protocol(), error);
  const auto done = [self](error_code result) {
    if (!self->open_) return;
    self->owner_->on_connected(self->id_, result);
  };
  if (error) {
    asio::post(io, [done, error] { done(error); });
    return self;
  }
  self->socket_.set_option(tcp::no_delay(true), error);
  self->socket_.async_connect(to, done);
  return self;
}

void Connection::own(Owner& owner, SlotId id) {
  owner_ = &owner;
  id_ = id;
}

void Connection::read() {
  wanted_ = true;
  if (reading_ || !open_ || in_.room() == 0) return;
  reading_ = true;
  socket_.async_read_some(in_.prepare(), [self = shared_from_this()](error_code error, std::size_t n) {
    self->reading_ = false;
    self->in_.commit(error ? 0 : n);
    if (!self->open_) return;
    if (error == asio::error::operation_aborted) {  // hushed, and perhaps woken again since
      if (self->wanted_) self->read();
      return;
    }
    if (error) return self->fail(error);
    self->owner_->on_data(self->id_);
    if (self->open_ && self->wanted_) self->read();
  });
}

void Connection::hush() {
  wanted_ = false;
  error_code ignored;
  if (reading_) socket_.cancel(ignored);
}

UniqueFd Connection::copy() const {
  return UniqueFd(::fcntl(const_cast<tcp::socket&>(socket_).native_handle(), F_DUPFD_CLOEXEC, 0));
}

void Connection::pause() { wanted_ = false; }

bool Connection::write(std::string_view text) {
  if (!open_ || finishing_ || !out_.append(text)) return false;
  pump();
  return true;
}

void Connection::pump() {
  if (writing_ || !open_) return;
  if (out_.empty()) {
    error_code ignored;
    if (finishing_) socket_.shutdown(tcp::socket::shutdown_send, ignored);
    return;
  }
  writing_ = true;
  // What is written meanwhile may have the queue grow into other storage: the operation keeps this one.
  const auto written = [self = shared_from_this(), held = out_.storage()](error_code error, std::size_t n) {
    self->writing_ = false;
    if (!self->open_) return;
    if (error) return self->fail(error);
    self->out_.consume(n);
    self->pump();
    self->owner_->on_sent(self->id_);
  };
  socket_.async_write_some(out_.data(), written);
}

void Connection::fail(error_code error) {
  wanted_ = false;
  owner_->on_ended(id_, error);
}

bool Connection::stale() { return !open_ || !in_.empty() || readable(); }

namespace {
enum class Waiting { kNothing, kBytes, kEnd };
Waiting peek(int socket) {
  char byte = 0;
  const auto n = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return Waiting::kBytes;
  return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) ? Waiting::kEnd
                                                                               : Waiting::kNothing;
}
}  // namespace

bool Connection::readable() { return peek(socket_.native_handle()) != Waiting::kNothing; }

bool Connection::ended() { return !open_ || peek(socket_.native_handle()) == Waiting::kEnd; }

void Connection::finish() {
  finishing_ = true;
  pump();
}

void Connection::close() {
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
}

Listener::Listener(asio::io_context& io, const tcp::endpoint& at, Owner& owner)
    : at_(at), acceptor_(io), owner_(owner) {}

void Listener::open() {
  if (acceptor_.is_open()) return;
  tcp::acceptor acceptor(acceptor_.get_executor());
  acceptor.open(at_.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  // Should the process that is being replaced not hand its socket over, both listen here for a while.
  acceptor.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
  acceptor.bind(at_);
  acceptor.listen(asio::socket_base::max_listen_connections);
  acceptor_ = std::move(acceptor);
}

bool Listener::adopt(UniqueFd socket) {
  if (!socket || acceptor_.is_open()) return false;
  tcp::acceptor acceptor(acceptor_.get_executor());
  error_code error;
  acceptor.assign(at_.protocol(), socket.get(), error);
  if (error) return false;
  socket.release();
  if (acceptor.local_endpoint(error) != at_ || error) return false;
  acceptor_ = std::move(acceptor);
  return true;
}

void Listener::accept() {
  wanted_ = true;
  if (accepting_ || !acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    accepting_ = false;
    if (error == asio::error::operation_aborted) return;
    if (error) return owner_.on_accept_failed(error);
    owner_.on_accepted(std::move(socket));
    if (wanted_) accept();
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
  wanted_ = false;
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace dispatcher::net
