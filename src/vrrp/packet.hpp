// VRRPv3 advertisements (RFC 9568, section 5), and their encoding and decoding.
#ifndef DISPATCHER_VRRP_PACKET_HPP_
#define DISPATCHER_VRRP_PACKET_HPP_

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace dispatcher::vrrp {

/// An IPv4 address in network byte order, so that addresses compare as RFC 9568 requires.
using Address = std::array<std::uint8_t, 4>;

/// Priority that an active router advertises when it stops, so that backups need not wait until its
/// advertisements are missing.
inline constexpr std::uint8_t kShutdownPriority = 0;
/// Priority of the router that owns the virtual addresses.
inline constexpr std::uint8_t kOwnerPriority = 255;

/// An advertisement of the active router (RFC 9568, section 5.2).
struct Advertisement {
  std::uint8_t vrid = 0;  // virtual router identifier, 1 to 255
  std::uint8_t priority = 0;
  std::uint16_t interval_cs = 0;   // Max Advertise Interval in centiseconds, 1 to 4095
  std::vector<Address> addresses;  // the virtual addresses, at most 255
  bool operator==(const Advertisement&) const = default;
};

/// Why a packet is not a valid advertisement.
enum class DecodeError {
  kTooShort,
  kWrongVersionOrType,
  kNoAddresses,
  kLengthMismatch,
  kWrongChecksum,
  kZeroVrid,
  kZeroInterval
};
/// Returns the description of an error for the log.
[[nodiscard]] std::string_view to_text(DecodeError error);

/// Encodes an advertisement as a packet. Packets are carried over UDP, where no IP header is available for a
/// pseudo-header; as RFC 9568 specifies for IPv4, the checksum covers the message alone.
[[nodiscard]] std::vector<std::uint8_t> encode(const Advertisement& advertisement);

/// Returns the advertisement in a packet, or why the packet is not a valid one.
[[nodiscard]] std::variant<Advertisement, DecodeError> decode(std::span<const std::uint8_t> packet);

}  // namespace dispatcher::vrrp

#endif  // DISPATCHER_VRRP_PACKET_HPP_
