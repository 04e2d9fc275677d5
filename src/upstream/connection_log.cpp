#include "upstream/connection_log.hpp"

#include <array>
#include <cstddef>
#include <string>

namespace dispatcher::upstream {

namespace {

std::string_view name_of(CloseReason reason) {
  constexpr std::array<std::string_view, 12> kNames = {
      "idle-timeout",     "evicted",        "stale",         "unsolicited-bytes",
      "endpoint-drained", "endpoint-moved", "not-kept",      "response-ended",
      "exchange-failed",  "attempt-ended",  "release-ended", "handed-over"};
  return kNames.at(static_cast<std::size_t>(reason));
}

}  // namespace

void ConnectionLog::log_closed(const routing::EndpointId& endpoint, const routing::RequestId& request,
                               CloseReason reason) const {
  if (!sink_) return;
  std::string text = "connection to " + endpoint.value() + " closed reason=" + std::string(name_of(reason));
  if (!request.empty()) text += " request=" + request.value();
  sink_(text);
}

}  // namespace dispatcher::upstream
