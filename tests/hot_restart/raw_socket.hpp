// The end of a hot restart's connection that belongs to the other process, for tests that play that process.
#ifndef DISPATCHER_TESTS_HOT_RESTART_RAW_SOCKET_HPP_
#define DISPATCHER_TESTS_HOT_RESTART_RAW_SOCKET_HPP_

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/unique_fd.hpp"

namespace dispatcher::testing {

// A received packet. Its descriptors were counted and closed.
struct Packet {
  std::string text;
  std::size_t descriptors = 0;
};

// The other process's end of the connection, written with system calls alone and no code of this release. The
// destructor closes it, as the end of that process does.
class RawSocket {
 public:
  // Wraps an open socket.
  explicit RawSocket(net::UniqueFd fd) : fd_(std::move(fd)) {}
  static RawSocket connect(const std::string& path) {
    RawSocket socket(make());
    const sockaddr_un address = address_of(path);
    REQUIRE(::connect(socket.fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return socket;
  }
  static RawSocket listen(const std::string& path) {
    RawSocket socket(make());
    const sockaddr_un address = address_of(path);
    REQUIRE(::bind(socket.fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(::listen(socket.fd_.get(), 1) == 0);
    return socket;
  }
  [[nodiscard]] RawSocket accept() const {
    RawSocket socket(net::UniqueFd(::accept(fd_.get(), nullptr, nullptr)));
    REQUIRE(socket.fd_);
    return socket;
  }
  void send(std::string_view text, const std::vector<int>& descriptors = {}) const {
    REQUIRE(try_send(text, descriptors));
  }
  // Returns whether the kernel has accepted the packet.
  [[nodiscard]] bool try_send(std::string_view text, const std::vector<int>& descriptors = {}) const {
    iovec piece{const_cast<char*>(text.data()), text.size()};
    msghdr head{};
    head.msg_iov = &piece;
    head.msg_iovlen = 1;
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int) * 2)> ancillary{};
    if (!descriptors.empty()) {
      REQUIRE(descriptors.size() == 2);
      head.msg_control = ancillary.data();
      head.msg_controllen = ancillary.size();
      cmsghdr* control = CMSG_FIRSTHDR(&head);
      control->cmsg_level = SOL_SOCKET;
      control->cmsg_type = SCM_RIGHTS;
      control->cmsg_len = CMSG_LEN(sizeof(int) * 2);
      std::memcpy(CMSG_DATA(control), descriptors.data(), sizeof(int) * 2);
    }
    return ::sendmsg(fd_.get(), &head, MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  }
  // Returns nullopt if there is no packet yet.
  [[nodiscard]] std::optional<Packet> receive() const {
    std::string text(1024UL * 1024, '\0');
    iovec piece{text.data(), text.size()};
    msghdr head{};
    head.msg_iov = &piece;
    head.msg_iovlen = 1;
    alignas(cmsghdr) std::array<char, 256> ancillary{};
    head.msg_control = ancillary.data();
    head.msg_controllen = ancillary.size();
    const auto size = ::recvmsg(fd_.get(), &head, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
    if (size <= 0) return std::nullopt;
    text.resize(static_cast<std::size_t>(size));
    Packet packet{std::move(text)};
    for (cmsghdr* control = CMSG_FIRSTHDR(&head); control != nullptr; control = CMSG_NXTHDR(&head, control)) {
      const std::size_t count = (control->cmsg_len - CMSG_LEN(0)) / sizeof(int);
      for (std::size_t i = 0; i < count; ++i) {
        int fd = -1;
        std::memcpy(&fd, CMSG_DATA(control) + i * sizeof(int), sizeof(int));
        ::close(fd);
      }
      packet.descriptors += count;
    }
    return packet;
  }

 private:
  static net::UniqueFd make() {
    net::UniqueFd fd(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
    REQUIRE(fd);
    return fd;
  }
  static sockaddr_un address_of(const std::string& path) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    REQUIRE(path.size() < sizeof address.sun_path);
    std::memcpy(address.sun_path, path.c_str(), path.size());
    return address;
  }
  net::UniqueFd fd_;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_HOT_RESTART_RAW_SOCKET_HPP_
