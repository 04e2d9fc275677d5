// The HTTP protocol spoken to endpoints: the texts of requests and the interpretation of responses. No I/O
// and no state: all functions may be called from any thread.
#ifndef DISPATCHER_UPSTREAM_PROTOCOL_HPP_
#define DISPATCHER_UPSTREAM_PROTOCOL_HPP_

#include <string>
#include <string_view>

#include "engine/engine.hpp"
#include "http/event_framer.hpp"
#include "http/message.hpp"
#include "http/message_reader.hpp"

namespace dispatcher::upstream {

// Status codes (RFC 9110, section 15) of responses from endpoints.
constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
constexpr int kHttpRequestTimeout = 408;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;
constexpr int kHttpTooEarly = 425;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpInternalServerError = 500;
constexpr int kHttpServiceUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

// Returns the request of an attempt. `time_left` is the time until the deadline of the client's request.
[[nodiscard]] std::string request_text(const engine::UpstreamRequest& request, engine::Duration time_left);
// Returns the call that reserves a slot for a client's request.
[[nodiscard]] std::string reserve_text(const engine::RequestId& request_id);
// Returns the call that releases what is reserved for a client's request.
[[nodiscard]] std::string release_text(const engine::RequestId& request_id);

// Adds to `result` what a complete event reports besides its text: a load report or a count of cached tokens.
void record_event_metadata(const std::string& event, engine::AttemptResult& result);
// Interprets a complete response. `unfinished_event` is the text after its last complete event; `result`
// holds what its events have reported.
[[nodiscard]] engine::AttemptResult interpret_response(const http::ResponseReader::Message& response,
                                                       std::string_view unfinished_event,
                                                       engine::AttemptResult result);
// Returns whether the protocol defines this status code for responses of endpoints.
[[nodiscard]] bool is_expected_status(int status);

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_PROTOCOL_HPP_
