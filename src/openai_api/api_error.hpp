// Error responses in the form of the OpenAI API.
#ifndef DISPATCHER_OPENAI_API_API_ERROR_HPP_
#define DISPATCHER_OPENAI_API_API_ERROR_HPP_

#include <optional>
#include <string>
#include <string_view>

namespace dispatcher::openai_api {

/// The type of an error in the API, by which clients distinguish errors.
enum class ErrorType { kInvalidRequest, kRateLimit, kServer };

/// The errors that have their own code in the API.
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

/// Return the names in the API's JSON, such as "invalid_request_error" and "model_not_found".
[[nodiscard]] std::string_view to_text(ErrorType type);
[[nodiscard]] std::string_view to_text(ErrorCode code);

/// An error response. Created by the functions below, and thrown by parse_request().
struct ApiError {
  /// The HTTP status.
  int status = 400;
  ErrorType type = ErrorType::kInvalidRequest;
  std::string message;
  /// The request's invalid field, if the error concerns one.
  std::optional<std::string> param = std::nullopt;
  std::optional<ErrorCode> code = std::nullopt;
};

/// Returns the error of a request that is invalid for a reason that concerns none of its fields.
[[nodiscard]] ApiError invalid_request(std::string message, int status = 400);
/// Returns the error of a request with an invalid field. Its status is 400.
[[nodiscard]] ApiError invalid_field(std::string_view field, std::string message);
/// Returns the error of a request for a model that is not configured. Its status is 404.
[[nodiscard]] ApiError model_not_found(std::string_view id);
/// Returns the error of a request without a configured API key. Its status is 401.
[[nodiscard]] ApiError invalid_api_key();
/// Returns the error of a request above a limit. Its status is 429.
[[nodiscard]] ApiError rate_limit_exceeded(std::string message);
/// Returns the error of a failure of the dispatcher or its endpoints.
[[nodiscard]] ApiError server_error(int status, ErrorCode code, std::string message);
/// Returns the error of the HTTP server with this status, which determines the error's type.
[[nodiscard]] ApiError http_error(int status, std::string message);

/// Returns the response's body in JSON. Invalid UTF-8 is replaced.
[[nodiscard]] std::string to_body(const ApiError& error);

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_API_ERROR_HPP_
