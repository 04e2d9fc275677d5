// One datagram between dispatchers: at most 256 bytes, which its type guarantees. The platform voids a run in
// which a longer one is sent, so the only thing that a speaker can send is a Datagram, and the only way to
// make one is of() with its check.
#ifndef DISPATCHER_GOSSIP_DATAGRAM_HPP_
#define DISPATCHER_GOSSIP_DATAGRAM_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace dispatcher::gossip {

inline constexpr std::size_t kMaxBytes = 256;

class Datagram {
 public:
  // `write` is given room for exactly `size` bytes. None where that is more than a datagram holds.
  template <class Write>
  static std::optional<Datagram> of(std::size_t size, Write write) {
    if (size > kMaxBytes) return std::nullopt;
    Datagram made;
    made.size_ = static_cast<std::uint16_t>(size);
    write(std::span(made.bytes_.data(), size));
    return made;
  }
  [[nodiscard]] std::span<const std::uint8_t> bytes() const { return {bytes_.data(), size_}; }
  [[nodiscard]] std::size_t size() const { return size_; }

 private:
  Datagram() = default;
  std::array<std::uint8_t, kMaxBytes> bytes_{};
  std::uint16_t size_ = 0;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_DATAGRAM_HPP_
