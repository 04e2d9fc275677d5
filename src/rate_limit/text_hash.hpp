// The hash that identifies limits and their keys (XXH3, https://xxhash.com).
#ifndef DISPATCHER_RATE_LIMIT_TEXT_HASH_HPP_
#define DISPATCHER_RATE_LIMIT_TEXT_HASH_HPP_

#include <cstdint>
#include <string_view>

namespace dispatcher::rate_limit {

// Returns the hash of a text, which is the same in every process for the same text and seed.
[[nodiscard]] std::uint64_t text_hash(std::string_view text, std::uint64_t seed);

}  // namespace dispatcher::rate_limit

#endif  // DISPATCHER_RATE_LIMIT_TEXT_HASH_HPP_
