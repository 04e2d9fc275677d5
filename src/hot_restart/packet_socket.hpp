// Unix sockets for sequenced packets (unix(7), SOCK_SEQPACKET), which keep each message together with the
// descriptors that are sent with it (SCM_RIGHTS). These are thin wrappers around system calls that don't
// block.
#ifndef DISPATCHER_HOT_RESTART_PACKET_SOCKET_HPP_
#define DISPATCHER_HOT_RESTART_PACKET_SOCKET_HPP_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/unique_fd.hpp"

namespace dispatcher::hot_restart {

using Descriptors = std::vector<net::UniqueFd>;

// Limits of one packet. At most two descriptors are sent today: those of the listening sockets, or of a
// stream. send_packet() returns kTooLong for a message that is longer than the kernel accepts.
constexpr std::size_t kSentDescriptors = 2;
constexpr std::size_t kMaxPacketDescriptors = 8;
constexpr std::size_t kMaxPacketBytes = 512UL * 1024;

// The result of sending a packet.
enum class SendStatus {
  kSent,
  kWouldBlock,   // the other side must read earlier packets first
  kNoResources,  // the kernel lacks memory, or too many descriptors are on their way to other processes
  kTooLong,      // longer than the kernel accepts
  kBroken,       // the connection is lost
};

// The result of receiving a packet.
enum class ReceiveStatus {
  kReceived,
  kWouldBlock,  // there is no packet yet
  kClosed,      // the other side has closed, and everything that it sent was received
  // The other side has closed without reading everything. This is reported once, before the packets that it
  // sent and that still wait.
  kReset,
  kBroken,  // the connection is lost for another reason
};

// A received packet, or the reason why there is none.
struct ReceivedPacket {
  ReceiveStatus status = ReceiveStatus::kClosed;
  std::size_t size = 0;  // the length of the text in the caller's buffer, in bytes
  Descriptors descriptors;
};

// The next three functions return an empty descriptor if a system call fails.

// Connects to the process that listens at the path.
[[nodiscard]] net::UniqueFd connect_packet_socket(const std::string& path);
// Listens at the path. Replaces any file there atomically, so that a process that connects finds either the
// old socket or the new one.
[[nodiscard]] net::UniqueFd listen_packet_socket(const std::string& path);
// Accepts one connection on a listening socket.
[[nodiscard]] net::UniqueFd accept_packet_socket(int listener);

// Sends one packet. The caller keeps the descriptors, of which there may be at most kMaxPacketDescriptors,
// and the other side gets copies.
[[nodiscard]] SendStatus send_packet(int socket, std::string_view text, std::span<const int> descriptors);
// Returns whether this process may open as many descriptors as come with a packet. If it may not, the kernel
// closes those that come with the next one.
[[nodiscard]] bool has_room_for_descriptors(int socket);
// Receives one packet into `buffer`, which is resized to kMaxPacketBytes.
[[nodiscard]] ReceivedPacket receive_packet(int socket, std::vector<char>& buffer);
// Returns whether the other side has received every packet that was sent to it, or has closed.
[[nodiscard]] bool is_everything_received(int socket);
// Ends the connection in both directions. What the other side sends from now on fails there, so that nothing
// is added to the packets that wait here, which can still be received. kClosed follows the last of them.
void shut_down_packet_socket(int socket);

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_PACKET_SOCKET_HPP_
