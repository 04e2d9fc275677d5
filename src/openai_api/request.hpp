// Chat completion requests: checked, and turned into what the router decides by and what a replica is sent.
#ifndef DISPATCHER_OPENAI_API_REQUEST_HPP_
#define DISPATCHER_OPENAI_API_REQUEST_HPP_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "openai_api/config.hpp"
#include "routing/router.hpp"

namespace dispatcher::openai_api {

/// An answer that is an error, in the form of the OpenAI API.
struct ApiError {
  int status = 400;
  std::string message;
  std::string type = "invalid_request_error";
  /// The request's field that is wrong.
  std::optional<std::string> param;
  std::optional<std::string> code;
};

[[nodiscard]] std::string to_body(const ApiError& error);
[[nodiscard]] ApiError model_not_found(std::string_view id);

/// A valid chat completion request.
struct ChatRequest {
  /// Without its id and deadline.
  routing::Request routing;
  const Model* model = nullptr;
  /// What a replica is sent: always streamed, with the usage at the end.
  std::string body;
  /// What the client asked for.
  bool is_stream = false;
  bool include_usage = false;
};

/// Parses JSON up to the nesting depth that a request or event needs: unbounded nesting must not exhaust the
/// stack. Returns a discarded value where the text is malformed or nested deeper.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

/// Throws ApiError.
[[nodiscard]] ChatRequest parse_request(std::string_view body, const Config& config,
                                        const std::string& account);

/// How long the client is assumed to wait for its first token.
[[nodiscard]] routing::Duration time_to_first_token(const ChatRequest& request,
                                                    const routing::RequestClass& request_class);

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_REQUEST_HPP_
