#include "hot_restart/handover_channel.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace dispatcher::hot_restart {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxFds = 8;
constexpr std::size_t kMaxMessage = 512 * 1024;
constexpr int kRoom = 1024 * 1024;         // asked of the kernel for what is on its way
constexpr std::size_t kMaxQueued = 10000;  // messages to a process that does not read
constexpr int kBacklog = 4;

// Packets keep messages and their descriptors together.
net::UniqueFd make_socket() {
  net::UniqueFd fd(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (fd) ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDBUF, &kRoom, sizeof kRoom);
  return fd;
}

bool fill(sockaddr_un& address, const std::string& path) {
  address = {};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) return false;
  std::memcpy(address.sun_path, path.c_str(), path.size());
  return true;
}

struct Ancillary {
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int) * kMaxFds)> bytes{};
};

Fds received(msghdr& head) {
  Fds fds;
  for (cmsghdr* c = CMSG_FIRSTHDR(&head); c != nullptr; c = CMSG_NXTHDR(&head, c)) {
    if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_RIGHTS) continue;
    const std::size_t count = (c->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {
      int fd = -1;
      std::memcpy(&fd, CMSG_DATA(c) + i * sizeof(int), sizeof(int));
      fds.emplace_back(fd);
    }
  }
  return fds;
}

}  // namespace

HandoverChannel::HandoverChannel(asio::io_context& io, net::UniqueFd socket, Owner& owner)
    : socket_(io, socket.release()), owner_(&owner) {}

std::shared_ptr<HandoverChannel> HandoverChannel::connect(asio::io_context& io, const std::string& path,
                                                          Owner& owner) {
  sockaddr_un address;
  net::UniqueFd fd = make_socket();
  if (!fd || !fill(address, path)) return nullptr;
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return nullptr;
  auto link = std::make_shared<HandoverChannel>(io, std::move(fd), owner);
  link->start();
  return link;
}

bool HandoverChannel::send(const Json& message, const std::vector<int>& fds) {
  if (owner_ == nullptr) return true;
  Outgoing out{message.dump(-1, ' ', false, Json::error_handler_t::replace), {}};
  if (out.text.size() > kMaxMessage || fds.size() > kMaxFds) return false;
  for (const int fd : fds) out.fds.emplace_back(::fcntl(fd, F_DUPFD_CLOEXEC, 0));
  queue_.push_back(std::move(out));
  if (queue_.size() > 1) {
    if (queue_.size() > kMaxQueued) end();
    return true;
  }
  const Sent sent = put(queue_.front());
  if (sent == Sent::kYes || sent == Sent::kTooLong) queue_.pop_front();
  if (sent == Sent::kLater || sent == Sent::kBroken) flush();
  return sent != Sent::kTooLong;
}

HandoverChannel::Sent HandoverChannel::put(const Outgoing& message) {
  iovec piece{const_cast<char*>(message.text.data()), message.text.size()};
  msghdr head{};
  head.msg_iov = &piece;
  head.msg_iovlen = 1;
  Ancillary ancillary;
  if (!message.fds.empty()) {
    head.msg_control = ancillary.bytes.data();
    head.msg_controllen = CMSG_SPACE(sizeof(int) * message.fds.size());
    cmsghdr* c = CMSG_FIRSTHDR(&head);
    c->cmsg_level = SOL_SOCKET;
    c->cmsg_type = SCM_RIGHTS;
    c->cmsg_len = CMSG_LEN(sizeof(int) * message.fds.size());
    for (std::size_t i = 0; i < message.fds.size(); ++i) {
      const int fd = message.fds[i].get();
      std::memcpy(CMSG_DATA(c) + i * sizeof(int), &fd, sizeof(int));
    }
  }
  if (::sendmsg(socket_.native_handle(), &head, MSG_DONTWAIT | MSG_NOSIGNAL) >= 0) return Sent::kYes;
  if (errno == EAGAIN || errno == EWOULDBLOCK) return Sent::kLater;
  return errno == EMSGSIZE ? Sent::kTooLong : Sent::kBroken;
}

void HandoverChannel::flush() {
  if (waiting_ || owner_ == nullptr) return;
  waiting_ = true;
  socket_.async_wait(asio::posix::descriptor_base::wait_write,
                     [self = shared_from_this()](boost::system::error_code error) {
                       self->waiting_ = false;
                       if (error || self->owner_ == nullptr) return;
                       while (!self->queue_.empty()) {
                         const Sent sent = self->put(self->queue_.front());
                         if (sent == Sent::kLater) return self->flush();
                         if (sent == Sent::kBroken) return self->end();
                         self->queue_.pop_front();
                       }
                     });
}

void HandoverChannel::read() {
  socket_.async_wait(asio::posix::descriptor_base::wait_read,
                     [self = shared_from_this()](boost::system::error_code error) {
                       if (error) return;
                       while (self->owner_ != nullptr && self->take()) {
                       }
                       if (self->owner_ != nullptr) self->read();
                     });
}

bool HandoverChannel::take() {
  room_.resize(kMaxMessage);
  iovec piece{room_.data(), room_.size()};
  Ancillary ancillary;
  msghdr head{};
  head.msg_iov = &piece;
  head.msg_iovlen = 1;
  head.msg_control = ancillary.bytes.data();
  head.msg_controllen = ancillary.bytes.size();
  const auto n = ::recvmsg(socket_.native_handle(), &head, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return false;
  if (n <= 0) return end(), false;
  Fds fds = received(head);
  const Json message = Json::parse(room_.data(), room_.data() + n, nullptr, false);
  if (message.is_object()) owner_->on_message(message, std::move(fds));  // else: another version's
  return true;
}

void HandoverChannel::end() {
  Owner* owner = std::exchange(owner_, nullptr);
  if (owner == nullptr) return;
  asio::post(socket_.get_executor(), [self = shared_from_this(), owner] {
    if (!self->socket_.is_open()) return;  // closed by its owner meanwhile
    self->close();
    owner->on_link_ended();
  });
}

void HandoverChannel::close() {
  owner_ = nullptr;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

HandoverListener::HandoverListener(asio::io_context& io, std::string path, OnVisitor on_visitor)
    : path_(std::move(path)), on_visitor_(std::move(on_visitor)), socket_(io) {}

// Bound beside the path and renamed over it: whatever stood there, a visitor finds the one or the other.
bool HandoverListener::open() {
  sockaddr_un address;
  const std::string fresh = path_ + "." + std::to_string(::getpid());
  net::UniqueFd fd = make_socket();
  if (!fd || !fill(address, fresh)) return false;
  ::unlink(fresh.c_str());
  if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return false;
  if (::listen(fd.get(), kBacklog) != 0 || std::rename(fresh.c_str(), path_.c_str()) != 0) {
    ::unlink(fresh.c_str());
    return false;
  }
  socket_.assign(fd.release());
  wait();
  return true;
}

void HandoverListener::wait() {
  socket_.async_wait(asio::posix::descriptor_base::wait_read, [this](boost::system::error_code error) {
    if (error) return;
    net::UniqueFd visitor(::accept4(socket_.native_handle(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (visitor) {
      ::setsockopt(visitor.get(), SOL_SOCKET, SO_SNDBUF, &kRoom, sizeof kRoom);
      on_visitor_(std::move(visitor));
    }
    wait();
  });
}

void HandoverListener::close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace dispatcher::hot_restart
