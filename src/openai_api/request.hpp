// A chat completion request: checked, and turned into what the router decides by and a replica is sent.
#ifndef DISPATCHER_OPENAI_API_REQUEST_HPP_
#define DISPATCHER_OPENAI_API_REQUEST_HPP_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "openai_api/config.hpp"
#include "routing/router.hpp"

namespace dispatcher::openai_api {

// An answer that is an error in the standard's form.
struct ApiError {
  int status = 400;
  std::string message, type = "invalid_request_error";
  std::optional<std::string> param, code;
};
std::string to_body(const ApiError& error);
ApiError no_such_model(std::string_view id);

struct ChatRequest {
  routing::Request routing;  // without its id and deadline
  const Model* model = nullptr;
  std::string body;  // as a replica gets it: always streamed, with the usage at the end
  bool stream = false, include_usage = false;
};

// Parses JSON no deeper than a request or event needs to be: what is nested without end must not use up the
// stack. Discarded where it is malformed.
nlohmann::json parse_json(std::string_view text);

// Throws ApiError.
ChatRequest parse_request(std::string_view body, const Config& config, const std::string& account);
// The time that the client is taken to wait for its first token.
routing::Duration time_to_first_token(const ChatRequest& request, const routing::RequestClass& cls);

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_REQUEST_HPP_
