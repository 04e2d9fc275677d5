// Hash functions that are the same in all routers, so that routers that share nothing choose alike.
// Support: no threshold and no choice.
#ifndef DISPATCHER_ROUTING_HASHING_HPP_
#define DISPATCHER_ROUTING_HASHING_HPP_

#include <cmath>
#include <cstdint>
#include <string>

namespace dispatcher::routing {

// SplitMix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number Generators", 2014).
[[nodiscard]] inline std::uint64_t mix_bits(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}

// A number in the open interval (0, 1), evenly spread over all x.
[[nodiscard]] inline double unit_interval(std::uint64_t x) {
  return (static_cast<double>(mix_bits(x) >> 11U) + 0.5) / 9007199254740992.0;  // 2^53
}

// FNV-1a, 64 bits.
[[nodiscard]] inline std::uint64_t hash_text(const std::string& text) {
  std::uint64_t hash = 1469598103934665603ULL;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
  }
  return hash;
}

// How strongly `key` is drawn to the node with this hash: of several nodes the highest has the key, each with
// a probability in proportion to its weight (weighted rendezvous hashing: Schindelhauer, Schomaker, 2005).
[[nodiscard]] inline double weighted_rendezvous(std::uint64_t key, std::uint64_t node_hash, double weight) {
  return std::log(unit_interval(key ^ node_hash)) / weight;
}

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_HASHING_HPP_
