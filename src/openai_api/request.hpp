// Chat completion requests: their validation and translation into a routing request and an endpoint's request
// body.
#ifndef DISPATCHER_OPENAI_API_REQUEST_HPP_
#define DISPATCHER_OPENAI_API_REQUEST_HPP_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "openai_api/api_error.hpp"
#include "openai_api/config.hpp"
#include "routing/router.hpp"

namespace dispatcher::openai_api {

/// A valid chat completion request.
struct ChatRequest {
  /// The request's attributes for the router, except for id and deadline.
  routing::Request routing;
  /// The model that the client requested. Points into the Config.
  const Model* model = nullptr;
  /// The request body for an endpoint. It is the client's body, changed to always stream the response and to
  /// include the usage at its end.
  std::string body;
  /// Whether the client requested an event stream.
  bool is_stream = false;
  /// Whether the client requested an event with the usage at the stream's end.
  bool include_usage = false;
};

/// Parses JSON with a limited nesting depth, because unbounded nesting could exhaust the stack. The limit is
/// above what requests and events need. Returns a discarded value if the text is malformed or nested deeper.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

/// Parses and checks the body of a completion request, which is charged to `account`. Throws ApiError at the
/// first invalid field.
[[nodiscard]] ChatRequest parse_request(std::string_view body, const Config& config,
                                        const std::string& account);

/// Returns how long the client is assumed to wait for its first token: the deadline of the model or class
/// plus an allowance for the prompt's length.
[[nodiscard]] routing::Duration time_to_first_token(const ChatRequest& request,
                                                    const routing::RequestClass& request_class);

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_REQUEST_HPP_
