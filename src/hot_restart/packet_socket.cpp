#include "hot_restart/packet_socket.hpp"

#include <fcntl.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <optional>

namespace dispatcher::hot_restart {

namespace {

constexpr int kSendBufferBytes = 1024 * 1024;  // requested from the kernel; twice the longest packet
constexpr int kBacklog = 4;                    // one process connects at a time

struct AncillaryData {
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int) * kMaxPacketDescriptors)> bytes{};
};

void set_send_buffer(const net::UniqueFd& socket) {
  ::setsockopt(socket.get(), SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof kSendBufferBytes);
}

net::UniqueFd create_socket() {
  net::UniqueFd socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (socket) set_send_buffer(socket);
  return socket;
}

// Returns nullopt if the path is empty or too long for an address.
std::optional<sockaddr_un> address_of(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) return std::nullopt;
  std::memcpy(address.sun_path, path.c_str(), path.size());
  return address;
}

const sockaddr* as_sockaddr(const sockaddr_un& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

void attach_descriptors(msghdr& header, AncillaryData& ancillary, std::span<const int> descriptors) {
  const std::size_t bytes = descriptors.size_bytes();
  header.msg_control = ancillary.bytes.data();
  header.msg_controllen = CMSG_SPACE(bytes);
  cmsghdr* control = CMSG_FIRSTHDR(&header);
  control->cmsg_level = SOL_SOCKET;
  control->cmsg_type = SCM_RIGHTS;
  control->cmsg_len = CMSG_LEN(bytes);
  std::memcpy(CMSG_DATA(control), descriptors.data(), bytes);
}

Descriptors extract_descriptors(msghdr& header) {
  Descriptors descriptors;
  for (cmsghdr* control = CMSG_FIRSTHDR(&header); control != nullptr;
       control = CMSG_NXTHDR(&header, control)) {
    if (control->cmsg_level != SOL_SOCKET || control->cmsg_type != SCM_RIGHTS) continue;
    const std::size_t count = (control->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {
      int fd = -1;
      std::memcpy(&fd, CMSG_DATA(control) + i * sizeof(int), sizeof(int));
      descriptors.emplace_back(fd);
    }
  }
  return descriptors;
}

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

// unix(7): a process may have as many descriptors on their way as it may open (ETOOMANYREFS).
bool lacks_resources(int error) { return error == ETOOMANYREFS || error == ENOBUFS || error == ENOMEM; }

}  // namespace

net::UniqueFd connect_packet_socket(const std::string& path) {
  net::UniqueFd socket = create_socket();
  const auto address = address_of(path);
  if (!socket || !address) return {};
  if (::connect(socket.get(), as_sockaddr(*address), sizeof *address) != 0) return {};
  return socket;
}

net::UniqueFd listen_packet_socket(const std::string& path) {
  const std::string new_path = path + "." + std::to_string(::getpid());
  net::UniqueFd socket = create_socket();
  const auto address = address_of(new_path);
  if (!socket || !address) return {};
  ::unlink(new_path.c_str());
  if (::bind(socket.get(), as_sockaddr(*address), sizeof *address) != 0) return {};
  if (::listen(socket.get(), kBacklog) != 0 || std::rename(new_path.c_str(), path.c_str()) != 0) {
    ::unlink(new_path.c_str());
    return {};
  }
  return socket;
}

net::UniqueFd accept_packet_socket(int listener) {
  net::UniqueFd socket(::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
  if (socket) set_send_buffer(socket);
  return socket;
}

SendStatus send_packet(int socket, std::string_view text, std::span<const int> descriptors) {
  iovec text_part{const_cast<char*>(text.data()), text.size()};
  msghdr header{};
  header.msg_iov = &text_part;
  header.msg_iovlen = 1;
  AncillaryData ancillary;
  if (!descriptors.empty()) attach_descriptors(header, ancillary, descriptors);
  if (::sendmsg(socket, &header, MSG_DONTWAIT | MSG_NOSIGNAL) >= 0) return SendStatus::kSent;
  if (would_block(errno)) return SendStatus::kWouldBlock;
  if (lacks_resources(errno)) return SendStatus::kNoResources;
  return errno == EMSGSIZE ? SendStatus::kTooLong : SendStatus::kBroken;
}

bool has_room_for_descriptors(int socket) {
  std::array<net::UniqueFd, kSentDescriptors> probes;
  for (net::UniqueFd& probe : probes) {
    probe.reset(::fcntl(socket, F_DUPFD_CLOEXEC, 0));
    if (!probe) return false;
  }
  return true;
}

ReceivedPacket receive_packet(int socket, std::vector<char>& buffer) {
  buffer.resize(kMaxPacketBytes);
  iovec buffer_part{buffer.data(), buffer.size()};
  AncillaryData ancillary;
  msghdr header{};
  header.msg_iov = &buffer_part;
  header.msg_iovlen = 1;
  header.msg_control = ancillary.bytes.data();
  header.msg_controllen = ancillary.bytes.size();
  const auto size = ::recvmsg(socket, &header, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (size < 0 && (would_block(errno) || errno == EINTR)) return {ReceiveStatus::kWouldBlock, 0, {}};
  if (size < 0) return {errno == ECONNRESET ? ReceiveStatus::kReset : ReceiveStatus::kBroken, 0, {}};
  if (size == 0) return {ReceiveStatus::kClosed, 0, {}};
  return {ReceiveStatus::kReceived, static_cast<std::size_t>(size), extract_descriptors(header)};
}

// The kernel counts the packets that wait at the other side as the sender's (SIOCOUTQ).
bool is_everything_received(int socket) {
  int waiting_bytes = 0;
  return ::ioctl(socket, SIOCOUTQ, &waiting_bytes) != 0 || waiting_bytes == 0;
}

void shut_down_packet_socket(int socket) { ::shutdown(socket, SHUT_RDWR); }

}  // namespace dispatcher::hot_restart
