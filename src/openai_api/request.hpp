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
  /// What the router decides by, without id and deadline.
  routing::Request routing;
  /// The model that the client named; points into the Config.
  const Model* model = nullptr;
  /// The body for an endpoint: the client's, always streamed, with the usage at the end.
  std::string body;
  /// The client requested an event stream.
  bool is_stream = false;
  /// The client requested an event with the usage at the stream's end.
  bool include_usage = false;
};

/// Parses JSON up to the nesting depth that a request or event needs: unbounded nesting must not exhaust the
/// stack. Returns a discarded value where the text is malformed or nested deeper.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

/// Parses and checks the body of a completion request. `account`: the one that it is charged to. Throws
/// ApiError at the first invalid field.
[[nodiscard]] ChatRequest parse_request(std::string_view body, const Config& config,
                                        const std::string& account);

/// How long the client is assumed to wait for its first token: the deadline of the model or class, and an
/// allowance for the prompt's length.
[[nodiscard]] routing::Duration time_to_first_token(const ChatRequest& request,
                                                    const routing::RequestClass& request_class);

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_REQUEST_HPP_
