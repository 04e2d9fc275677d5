// The HTTP protocol spoken to replicas: the texts of requests, and the meaning of responses. No I/O and no
// state: all functions may be called from any thread.
#ifndef DISPATCHER_UPSTREAM_PROTOCOL_HPP_
#define DISPATCHER_UPSTREAM_PROTOCOL_HPP_

#include <string>
#include <string_view>

#include "engine/engine.hpp"
#include "http/event_framer.hpp"
#include "http/message.hpp"
#include "http/message_reader.hpp"

namespace dispatcher::upstream {

// Status codes (RFC 9110, section 15) by which replicas answer.
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

// The request of an attempt. `time_left`: until the deadline of the client's request.
[[nodiscard]] std::string request_text(const engine::UpstreamRequest& request, engine::Duration time_left);
// The calls that reserve a slot for a request, and that release what is reserved for it.
[[nodiscard]] std::string reserve_text(const engine::RequestId& request_id);
[[nodiscard]] std::string release_text(const engine::RequestId& request_id);

// Adds to `result` what a complete event reports besides its text: a load report, the count of cached tokens.
void note_event(const std::string& event, engine::AttemptResult& result);
// What a complete response means. `unfinished_event`: what follows its last complete event; `result`: what
// its events reported.
[[nodiscard]] engine::AttemptResult interpret_response(const http::ResponseReader::Message& response,
                                                       std::string_view unfinished_event,
                                                       engine::AttemptResult result);
// Whether the protocol defines this status code for responses of replicas.
[[nodiscard]] bool is_expected_status(int status);

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_PROTOCOL_HPP_
