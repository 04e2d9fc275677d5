// What the digest tests share: one hash over everything that is added to it in order, and a generator whose
// numbers are the same everywhere. Neither hangs on a library's version, on the build or on the clock.
#ifndef DISPATCHER_TESTS_DIGEST_HPP_
#define DISPATCHER_TESTS_DIGEST_HPP_

#include <bit>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <type_traits>

#include "routing/identifiers.hpp"

namespace dispatcher::routing::testing {

// FNV-1a with 64 bits. Each value is added as eight bytes, the lowest first; a text with its length before
// it.
class Digest {
 public:
  template <class T>
  requires std::is_integral_v<T> || std::is_enum_v<T>
  void add(T value) {
    const auto bits = static_cast<std::uint64_t>(value);
    for (int shift = 0; shift < 64; shift += 8) add_byte((bits >> shift) & 0xFFU);
  }
  void add(double value) { add(std::bit_cast<std::uint64_t>(value)); }
  void add(std::chrono::microseconds time) { add(time.count()); }
  void add(std::string_view text) {
    add(text.size());
    for (const char byte : text) add_byte(static_cast<unsigned char>(byte));
  }
  template <class Tag>
  void add(const Identifier<Tag>& id) {
    add(std::string_view(id.value()));
  }
  template <class T>
  void add(const std::optional<T>& value) {
    add(value.has_value());
    if (value) add(*value);
  }
  template <class First, class Second, class... Others>
  void add(const First& first, const Second& second, const Others&... others) {
    add(first);
    add(second);
    (add(others), ...);
  }
  [[nodiscard]] std::uint64_t value() const { return hash_; }

 private:
  void add_byte(std::uint64_t byte) { hash_ = (hash_ ^ byte) * 0x100000001B3U; }

  std::uint64_t hash_ = 0xCBF29CE484222325U;
};

// The standard fixes the engine's numbers, but not how its distributions draw from them.
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : engine_(seed) {}
  int below(int bound) { return static_cast<int>(engine_() % static_cast<std::uint64_t>(bound)); }
  bool one_in(int many) { return below(many) == 0; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_DIGEST_HPP_
