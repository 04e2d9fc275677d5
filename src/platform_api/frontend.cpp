// Requests and responses of the platform's API.
#include "platform_api/frontend.hpp"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform_api/request.hpp"

namespace dispatcher::platform_api {

namespace {

constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kCompletionsPath = "/v1/chat/completions";

}  // namespace

Frontend::Frontend(const http::FrontendContext& context, const net::tcp::endpoint& address,
                   engine::SettingsSnapshot settings)
    : http::Frontend(context, address), settings_(std::move(settings)) {}

// ---- requests ----

void Frontend::on_request(SlotId client, http::Server::Request& request, engine::Time arrival) {
  const auto [method, path] = target_of(request);
  const bool is_health = path == kHealthPath;
  if (!is_health && path != kCompletionsPath) return server_.respond_error(client, 404, "no such path");
  const std::string allowed = is_health ? "GET" : "POST";
  if (method != allowed) return server_.respond_error(client, 405, "wrong method", {{"Allow", allowed}});
  if (is_health) return respond_health(client);
  handle_completion(client, request, arrival);
}

void Frontend::handle_completion(SlotId client, http::Server::Request& request, engine::Time arrival) {
  routing::Request parsed;
  try {
    parsed = parse_request(request, *settings_, arrival);
  } catch (const HeaderError& error) {
    return server_.respond_error(client, 400, error.what());
  }
  if (engine_.is_in_progress(parsed.id))
    return server_.respond_error(client, 409,
                                 describe(HeaderProblem::kIdInProgress, header_names::kRequestId));
  if (!admit(client, request, parsed, {}, *settings_)) return;
  auto message = std::make_shared<engine::UpstreamRequest>();
  message->id = parsed.id;
  message->method = http::to_view(request.method_string());
  message->target = http::to_view(request.target());
  message->headers = http::forwarded_headers(request, {header_names::kRequestId, header_names::kTimeLeft});
  message->body = std::move(request.body());
  submit(client, parsed, std::move(message));
}

// ---- responses ----

std::string Frontend::error_body(int, std::string_view message) {
  return nlohmann::json{{"error", {{"message", message}}}}.dump(-1, ' ', false,
                                                                nlohmann::json::error_handler_t::replace);
}

void Frontend::finish_stream(SlotId client) {
  forget_request(client);
  server_.end_response(client);
}

void Frontend::abort_stream(SlotId client) {
  forget_request(client);
  server_.abort(client);
}

void Frontend::reject(SlotId client, std::optional<engine::Duration> retry_after) {
  forget_request(client);
  if (!retry_after) return server_.respond_error(client, 503, "try again");
  server_.respond_error(client, 503, "try again", {{"Retry-After", http::seconds_text(*retry_after)}});
}

void Frontend::reject_rate_limited(SlotId client, engine::Duration retry_after) {
  respond_retry_later(client, 429, "over a limit: nothing was done, try again later", retry_after);
}

void Frontend::reject_overloaded(SlotId client, engine::Duration retry_after) {
  respond_retry_later(client, 503, "reduced service: nothing was done, try again later", retry_after);
}

void Frontend::respond_retry_later(SlotId client, int status, std::string_view message,
                                   engine::Duration retry_after) {
  if (!settings_->retry_advice) return server_.respond_error(client, status, message);
  const engine::Duration advice = std::min(retry_after, settings_->max_retry_after);
  server_.respond_error(client, status, message, {{"Retry-After", http::seconds_text(advice)}});
}

void Frontend::fail(SlotId client, engine::Failure failure) {
  forget_request(client);
  switch (failure) {
    case engine::Failure::kInvalidRequest:
      return server_.respond_error(client, 400, "the replicas can't use this request");
    case engine::Failure::kDeadlineExceeded:
      return server_.respond_error(client, 504, "no answer in time");
    case engine::Failure::kUpstream:
      return server_.respond_error(client, 502, "the attempt failed");
  }
}

}  // namespace dispatcher::platform_api
