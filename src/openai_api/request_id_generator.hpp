// Generation of request ids for an API whose requests have none.
#ifndef DISPATCHER_OPENAI_API_REQUEST_ID_GENERATOR_HPP_
#define DISPATCHER_OPENAI_API_REQUEST_ID_GENERATOR_HPP_

#include <cstdint>
#include <cstdio>
#include <string>

namespace dispatcher::openai_api {

/// Generates request ids of sixteen hexadecimal digits, the format that endpoints expect. No two ids of one
/// generator are equal, because splitmix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number
/// Generators", 2014) is a bijection of its counter. Not thread-safe.
class RequestIdGenerator {
 public:
  /// Generators with different seeds produce different sequences, which share ids only by chance.
  explicit RequestIdGenerator(std::uint64_t seed) : seed_(seed) {}

  /// Returns an id that this generator has not returned before.
  [[nodiscard]] std::string next() {
    std::uint64_t bits = seed_ + 0x9e3779b97f4a7c15ULL * ++count_;
    bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebULL;
    bits ^= bits >> 31U;
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(bits));
    return text;
  }

 private:
  std::uint64_t seed_;
  std::uint64_t count_ = 0;
};

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_REQUEST_ID_GENERATOR_HPP_
