// One datagram between dispatchers, of at most 256 bytes. The platform does not tolerate a longer one, so the
// type enforces the limit: a transport can send only a Datagram, and the only way to make one is create(),
// which checks the size.
#ifndef DISPATCHER_GOSSIP_DATAGRAM_HPP_
#define DISPATCHER_GOSSIP_DATAGRAM_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace dispatcher::gossip {

inline constexpr std::size_t kMaxDatagramBytes = 256;  // the platform's limit

// The bytes of a datagram. Immutable.
class Datagram {
 public:
  // Calls `write` with a span of exactly `size` bytes to fill. Returns nullopt, without calling `write`, if
  // `size` exceeds kMaxDatagramBytes.
  template <class Write>
  [[nodiscard]] static std::optional<Datagram> create(std::size_t size, Write write) {
    if (size > kMaxDatagramBytes) return std::nullopt;
    Datagram datagram;
    datagram.size_ = static_cast<std::uint16_t>(size);
    write(std::span(datagram.bytes_.data(), size));
    return datagram;
  }
  [[nodiscard]] std::span<const std::uint8_t> bytes() const { return {bytes_.data(), size_}; }
  [[nodiscard]] std::size_t size() const { return size_; }

 private:
  Datagram() = default;
  std::array<std::uint8_t, kMaxDatagramBytes> bytes_{};
  std::uint16_t size_ = 0;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_DATAGRAM_HPP_
