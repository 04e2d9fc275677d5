#include "vrrp/packet.hpp"

#include <algorithm>

namespace dispatcher::vrrp {

namespace {

constexpr std::uint8_t kVersionAndType = 0x31;  // version 3, type 1: the only one
constexpr std::size_t kHead = 8;

// The Internet checksum (RFC 1071); 0 over a packet that carries its own.
std::uint16_t checksum(std::span<const std::uint8_t> packet) {
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i < packet.size(); ++i) sum += i % 2 == 0 ? packet[i] << 8U : packet[i];
  while (sum > 0xffff) sum = (sum & 0xffff) + (sum >> 16U);
  return static_cast<std::uint16_t>(~sum);
}

}  // namespace

std::vector<std::uint8_t> encode(const Advertisement& a) {
  std::vector<std::uint8_t> packet{kVersionAndType,
                                   a.vrid,
                                   a.priority,
                                   static_cast<std::uint8_t>(a.addresses.size()),
                                   static_cast<std::uint8_t>((a.interval_cs >> 8U) & 0x0f),
                                   static_cast<std::uint8_t>(a.interval_cs & 0xff),
                                   0,
                                   0};
  for (const Address& address : a.addresses) packet.insert(packet.end(), address.begin(), address.end());
  const std::uint16_t sum = checksum(packet);
  packet[6] = static_cast<std::uint8_t>(sum >> 8U);
  packet[7] = static_cast<std::uint8_t>(sum & 0xff);
  return packet;
}

std::variant<Advertisement, std::string> decode(std::span<const std::uint8_t> packet) {
  if (packet.size() < kHead) return "too short";
  if (packet[0] != kVersionAndType) return "not a VRRPv3 advertisement";
  const std::size_t count = packet[3];
  if (count == 0) return "no addresses";
  if (packet.size() != kHead + count * std::tuple_size_v<Address>) return "length and count differ";
  if (checksum(packet) != 0) return "wrong checksum";
  Advertisement a;
  a.vrid = packet[1];
  a.priority = packet[2];
  a.interval_cs = static_cast<std::uint16_t>((packet[4] & 0x0fU) << 8U | packet[5]);
  if (a.vrid == 0) return "virtual router 0";
  if (a.interval_cs == 0) return "interval 0";
  for (std::size_t i = 0; i < count; ++i) {
    Address address;
    std::copy_n(packet.begin() + static_cast<std::ptrdiff_t>(kHead + i * address.size()), address.size(),
                address.begin());
    a.addresses.push_back(address);
  }
  return a;
}

}  // namespace dispatcher::vrrp
