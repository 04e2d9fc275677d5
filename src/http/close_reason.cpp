#include "http/close_reason.hpp"

#include <array>
#include <cstddef>

namespace dispatcher::http {

std::string_view name_of(CloseReason reason) {
  constexpr std::array<std::string_view, 9> kNames = {"client-closed",  "no-request",    "write-timeout",
                                                      "too-much-input", "last-response", "stream-aborted",
                                                      "draining",       "evicted",       "handed-over"};
  return kNames.at(static_cast<std::size_t>(reason));
}

}  // namespace dispatcher::http
