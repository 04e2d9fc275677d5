// Chat completion requests: checked, and turned into what the router decides by and what a replica is sent.
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
  /// Without its id and deadline.
  routing::Request routing;
  /// The model that the client named; points into the Config.
  const Model* model = nullptr;
  /// What a replica is sent: always streamed, with the usage at the end.
  std::string body;
  /// The client asked for an event stream.
  bool is_stream = false;
  /// The client asked for an event with the usage at the stream's end.
  bool include_usage = false;
};

/// Parses JSON up to the nesting depth that a request or event needs: unbounded nesting must not exhaust the
/// stack. Returns a discarded value where the text is malformed or nested deeper.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

/// Parses and checks the body of a completion request. `account`: whom it is charged to. Throws ApiError at
/// the first field that can't be used.
[[nodiscard]] ChatRequest parse_request(std::string_view body, const Config& config,
                                        const std::string& account);

/// How long the client is assumed to wait for its first token.
[[nodiscard]] routing::Duration time_to_first_token(const ChatRequest& request,
                                                    const routing::RequestClass& request_class);

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_REQUEST_HPP_
