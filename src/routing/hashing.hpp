// Hash functions that are the same in all routers, so that routers that share no state make the same choices.
// Contains no thresholds and no decisions.
#ifndef DISPATCHER_ROUTING_HASHING_HPP_
#define DISPATCHER_ROUTING_HASHING_HPP_

#include <cmath>
#include <cstdint>
#include <string>

namespace dispatcher::routing {

// Hashes a number with SplitMix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number Generators",
// 2014).
[[nodiscard]] inline std::uint64_t mix_bits(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}

// Returns a number in the open interval (0, 1), uniformly distributed over all x.
[[nodiscard]] inline double unit_interval(std::uint64_t x) {
  constexpr double kDoublePrecision = 9007199254740992.0;  // 2^53: a double has 53 bits of precision
  return (static_cast<double>(mix_bits(x) >> 11U) + 0.5) / kDoublePrecision;
}

// Hashes text with 64-bit FNV-1a (Fowler, Noll, Vo). The offset basis lacks the last digit of the standard
// one, 14695981039346656037. It must not change, because all routers of a fleet must make the same choices.
[[nodiscard]] inline std::uint64_t hash_text(const std::string& text) {
  constexpr std::uint64_t kOffsetBasis = 1469598103934665603ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffsetBasis;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kPrime;
  }
  return hash;
}

// Returns the score of a node for `key`. The node with the highest score gets the key, so that each node gets
// it with a probability in proportion to its weight (weighted rendezvous hashing: Schindelhauer, Schomaker,
// "Weighted distributed hash tables", SPAA 2005). The weight must be positive.
[[nodiscard]] inline double weighted_rendezvous(std::uint64_t key, std::uint64_t node_hash, double weight) {
  return std::log(unit_interval(key ^ node_hash)) / weight;
}

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_HASHING_HPP_
