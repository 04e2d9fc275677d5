// Unix sockets of sequenced packets (unix(7), SOCK_SEQPACKET), which keep each message and the descriptors
// sent with it (SCM_RIGHTS) together. Thin wrappers around the system calls; none of them blocks.
#ifndef DISPATCHER_HOT_RESTART_PACKET_SOCKET_HPP_
#define DISPATCHER_HOT_RESTART_PACKET_SOCKET_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "net/unique_fd.hpp"

namespace dispatcher::hot_restart {

using Descriptors = std::vector<net::UniqueFd>;

// Bounds of one packet. At most two descriptors are sent today, of listening sockets or of a stream; where a
// message is longer, send_packet() returns kTooLong.
constexpr std::size_t kMaxPacketDescriptors = 8;
constexpr std::size_t kMaxPacketBytes = 512UL * 1024;

// The result of sending a packet.
enum class SendStatus {
  kSent,
  kWouldBlock,  // the other side has to read first
  kTooLong,     // longer than the kernel accepts
  kBroken,      // the connection is lost
};

// The result of receiving.
enum class ReceiveStatus {
  kReceived,
  kWouldBlock,  // there is no packet yet
  kClosed,      // the other side has closed, or the connection is lost
};

// A packet, or why there is none.
struct ReceivedPacket {
  ReceiveStatus status = ReceiveStatus::kClosed;
  std::size_t size = 0;  // of the text, in the caller's buffer
  Descriptors descriptors;
};

// All of these return an empty descriptor where a system call failed.

[[nodiscard]] net::UniqueFd connect_packet_socket(const std::string& path);
// Replaces whatever file is at the path atomically: a process that connects finds the old socket or the new
// one.
[[nodiscard]] net::UniqueFd listen_packet_socket(const std::string& path);
[[nodiscard]] net::UniqueFd accept_packet_socket(int listener);

// The descriptors, at most kMaxPacketDescriptors, are copied to the other side.
[[nodiscard]] SendStatus send_packet(int socket, std::string_view text, const Descriptors& descriptors);
// `buffer` is resized to hold kMaxPacketBytes.
[[nodiscard]] ReceivedPacket receive_packet(int socket, std::vector<char>& buffer);

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_PACKET_SOCKET_HPP_
