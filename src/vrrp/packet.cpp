#include "vrrp/packet.hpp"

#include <algorithm>
#include <optional>

namespace dispatcher::vrrp {

namespace {

constexpr std::uint8_t kVersionAndType = 0x31;  // version 3, type 1 (advertisement), which is the only type
constexpr std::size_t kHeaderBytes = 8;

// Offsets of the header fields in bytes.
constexpr std::size_t kVridOffset = 1;
constexpr std::size_t kPriorityOffset = 2;
constexpr std::size_t kAddressCountOffset = 3;
constexpr std::size_t kIntervalOffset = 4;
constexpr std::size_t kChecksumOffset = 6;

constexpr std::uint16_t kIntervalMask = 0x0fff;  // the four bits above it are reserved

void write_uint16(std::vector<std::uint8_t>& packet, std::size_t offset, std::uint16_t value) {
  packet[offset] = static_cast<std::uint8_t>(value >> 8U);
  packet[offset + 1] = static_cast<std::uint8_t>(value & 0xffU);
}

std::uint16_t read_uint16(std::span<const std::uint8_t> packet, std::size_t offset) {
  return static_cast<std::uint16_t>(packet[offset] << 8U | packet[offset + 1]);
}

// Returns the Internet checksum (RFC 1071). For a packet that contains its own checksum it is 0.
std::uint16_t checksum(std::span<const std::uint8_t> packet) {
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i < packet.size(); ++i) sum += i % 2 == 0 ? packet[i] << 8U : packet[i];
  while (sum > 0xffff) sum = (sum & 0xffff) + (sum >> 16U);
  return static_cast<std::uint16_t>(~sum);
}

// Returns what is wrong with the packet as a whole, if anything. Called before its fields are read.
std::optional<DecodeError> check_frame(std::span<const std::uint8_t> packet) {
  if (packet.size() < kHeaderBytes) return DecodeError::kTooShort;
  if (packet[0] != kVersionAndType) return DecodeError::kWrongVersionOrType;
  const std::size_t address_count = packet[kAddressCountOffset];
  if (address_count == 0) return DecodeError::kNoAddresses;
  if (packet.size() != kHeaderBytes + address_count * std::tuple_size_v<Address>)
    return DecodeError::kLengthMismatch;
  if (checksum(packet) != 0) return DecodeError::kWrongChecksum;
  return std::nullopt;
}

std::vector<Address> read_addresses(std::span<const std::uint8_t> bytes) {
  std::vector<Address> addresses(bytes.size() / std::tuple_size_v<Address>);
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const auto source = bytes.subspan(i * std::tuple_size_v<Address>, std::tuple_size_v<Address>);
    std::copy(source.begin(), source.end(), addresses[i].begin());
  }
  return addresses;
}

}  // namespace

std::string_view to_text(DecodeError error) {
  switch (error) {
    case DecodeError::kTooShort:
      return "too short";
    case DecodeError::kWrongVersionOrType:
      return "not a VRRPv3 advertisement";
    case DecodeError::kNoAddresses:
      return "no addresses";
    case DecodeError::kLengthMismatch:
      return "length and count differ";
    case DecodeError::kWrongChecksum:
      return "wrong checksum";
    case DecodeError::kZeroVrid:
      return "virtual router 0";
    case DecodeError::kZeroInterval:
      return "interval 0";
  }
  return {};
}

std::vector<std::uint8_t> encode(const Advertisement& advertisement) {
  std::vector<std::uint8_t> packet(kHeaderBytes);
  packet[0] = kVersionAndType;
  packet[kVridOffset] = advertisement.vrid;
  packet[kPriorityOffset] = advertisement.priority;
  packet[kAddressCountOffset] = static_cast<std::uint8_t>(advertisement.addresses.size());
  write_uint16(packet, kIntervalOffset, advertisement.interval_cs & kIntervalMask);
  for (const Address& address : advertisement.addresses)
    packet.insert(packet.end(), address.begin(), address.end());
  write_uint16(packet, kChecksumOffset, checksum(packet));
  return packet;
}

std::variant<Advertisement, DecodeError> decode(std::span<const std::uint8_t> packet) {
  if (const auto error = check_frame(packet)) return *error;
  Advertisement advertisement;
  advertisement.vrid = packet[kVridOffset];
  advertisement.priority = packet[kPriorityOffset];
  advertisement.interval_cs = read_uint16(packet, kIntervalOffset) & kIntervalMask;
  if (advertisement.vrid == 0) return DecodeError::kZeroVrid;
  if (advertisement.interval_cs == 0) return DecodeError::kZeroInterval;
  advertisement.addresses = read_addresses(packet.subspan(kHeaderBytes));
  return advertisement;
}

}  // namespace dispatcher::vrrp
