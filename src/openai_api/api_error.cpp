// Names and JSON of error responses.
#include "openai_api/api_error.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace dispatcher::openai_api {

using Json = nlohmann::json;

namespace {

constexpr int kFirstServerErrorStatus = 500;

}  // namespace

std::string_view to_text(ErrorType type) {
  switch (type) {
    case ErrorType::kInvalidRequest:
      return "invalid_request_error";
    case ErrorType::kRateLimit:
      return "rate_limit_error";
    case ErrorType::kServer:
      return "server_error";
  }
  return {};
}

std::string_view to_text(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidApiKey:
      return "invalid_api_key";
    case ErrorCode::kModelNotFound:
      return "model_not_found";
    case ErrorCode::kRateLimitExceeded:
      return "rate_limit_exceeded";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kUpstreamFailed:
      return "upstream_failed";
    case ErrorCode::kStreamBroken:
      return "stream_broken";
    case ErrorCode::kAnswerTooLong:
      return "answer_too_long";
  }
  return {};
}

ApiError invalid_request(std::string message, int status) {
  return {.status = status, .type = ErrorType::kInvalidRequest, .message = std::move(message)};
}

ApiError invalid_field(std::string_view field, std::string message) {
  ApiError error = invalid_request(std::move(message));
  error.param = field;
  return error;
}

ApiError model_not_found(std::string_view id) {
  ApiError error = invalid_field("model", "the model '" + std::string(id) + "' does not exist");
  error.status = 404;
  error.code = ErrorCode::kModelNotFound;
  return error;
}

ApiError invalid_api_key() {
  ApiError error = invalid_request("no valid API key was given", 401);
  error.code = ErrorCode::kInvalidApiKey;
  return error;
}

ApiError rate_limit_exceeded(std::string message) {
  return {.status = 429,
          .type = ErrorType::kRateLimit,
          .message = std::move(message),
          .code = ErrorCode::kRateLimitExceeded};
}

ApiError server_error(int status, ErrorCode code, std::string message) {
  return {.status = status, .type = ErrorType::kServer, .message = std::move(message), .code = code};
}

ApiError http_error(int status, std::string message) {
  ApiError error = invalid_request(std::move(message), status);
  if (status >= kFirstServerErrorStatus) error.type = ErrorType::kServer;
  return error;
}

std::string to_body(const ApiError& error) {
  Json object{
      {"message", error.message}, {"type", to_text(error.type)}, {"param", nullptr}, {"code", nullptr}};
  if (error.param) object["param"] = *error.param;
  if (error.code) object["code"] = to_text(*error.code);
  return Json{{"error", object}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace dispatcher::openai_api
