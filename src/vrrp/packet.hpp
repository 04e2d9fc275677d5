// VRRPv3 advertisements (RFC 9568, section 5): what they say, and their bytes.
#ifndef DISPATCHER_VRRP_PACKET_HPP_
#define DISPATCHER_VRRP_PACKET_HPP_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace dispatcher::vrrp {

using Address = std::array<std::uint8_t, 4>;  // IPv4, in network order: compares as the standard asks

struct Advertisement {
  std::uint8_t vrid = 0;
  std::uint8_t priority = 0;      // 0: leaves; 255: owns the addresses
  std::uint16_t interval_cs = 0;  // centiseconds, 12 bits
  std::vector<Address> addresses;
  bool operator==(const Advertisement&) const = default;
};

// Over UDP there is no IP header of ours to take a pseudo-header from; as RFC 9568 has it for IPv4, the
// checksum covers the message alone.
std::vector<std::uint8_t> encode(const Advertisement& advertisement);
// The advertisement, or what is wrong with the packet.
std::variant<Advertisement, std::string> decode(std::span<const std::uint8_t> packet);

}  // namespace dispatcher::vrrp

#endif  // DISPATCHER_VRRP_PACKET_HPP_
