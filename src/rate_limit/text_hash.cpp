#include "rate_limit/text_hash.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace dispatcher::rate_limit {

std::uint64_t text_hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace dispatcher::rate_limit
