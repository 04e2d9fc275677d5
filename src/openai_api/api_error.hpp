// Error responses in the form of the OpenAI API.
#ifndef DISPATCHER_OPENAI_API_API_ERROR_HPP_
#define DISPATCHER_OPENAI_API_API_ERROR_HPP_

#include <optional>
#include <string>
#include <string_view>

namespace dispatcher::openai_api {

/// The kind of an error, as the API's clients distinguish it.
enum class ErrorType { kInvalidRequest, kRateLimit, kServer };

/// Errors that have a code of their own in the API.
enum class ErrorCode {
  kInvalidApiKey,
  kModelNotFound,
  kRateLimitExceeded,
  kOverloaded,
  kTimeout,
  kUpstreamFailed,
  kStreamBroken,
  kAnswerTooLong,
};

/// The names in the API's JSON, such as "invalid_request_error" and "model_not_found".
[[nodiscard]] std::string_view to_text(ErrorType type);
[[nodiscard]] std::string_view to_text(ErrorCode code);

/// An error response. Created by the functions below; parse_request() throws it.
struct ApiError {
  /// The HTTP status.
  int status = 400;
  ErrorType type = ErrorType::kInvalidRequest;
  std::string message;
  /// The request's invalid field, if it is about one.
  std::optional<std::string> param = std::nullopt;
  std::optional<ErrorCode> code = std::nullopt;
};

/// An invalid request, for a reason that is not about one of its fields.
[[nodiscard]] ApiError invalid_request(std::string message, int status = 400);
/// A request with one invalid field. Its status is 400.
[[nodiscard]] ApiError invalid_field(std::string_view field, std::string message);
/// A request for a model that is not configured. Its status is 404.
[[nodiscard]] ApiError model_not_found(std::string_view id);
/// A request without a key that is configured. Its status is 401.
[[nodiscard]] ApiError invalid_api_key();
/// A request above a limit. Its status is 429.
[[nodiscard]] ApiError rate_limit_exceeded(std::string message);
/// A failure of the dispatcher or its endpoints.
[[nodiscard]] ApiError server_error(int status, ErrorCode code, std::string message);
/// An error of the HTTP server, with the type that its status implies.
[[nodiscard]] ApiError http_error(int status, std::string message);

/// The JSON of the response's body. Invalid UTF-8 is replaced.
[[nodiscard]] std::string to_body(const ApiError& error);

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_API_ERROR_HPP_
