// Requests and responses of the OpenAI-compatible API.
#include "openai_api/frontend.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "routing/request_classes.hpp"

namespace dispatcher::openai_api {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kCompletionsPath = "/v1/chat/completions";
constexpr std::string_view kModelsPath = "/v1/models";
constexpr std::string_view kModelPathPrefix = "/v1/models/";
constexpr std::string_view kHealthPath = "/healthz";
// The Retry-After of rejections for which the router gives no delay.
constexpr engine::Duration kDefaultRetryAfter = milliseconds(500);

// The resource that a path names.
enum class Route { kCompletion, kModels, kModel, kHealth };

std::optional<Route> find_route(std::string_view path) {
  if (path == kCompletionsPath) return Route::kCompletion;
  if (path == kModelsPath) return Route::kModels;
  if (path == kHealthPath) return Route::kHealth;
  const bool names_model = path.starts_with(kModelPathPrefix) && path.size() > kModelPathPrefix.size();
  if (names_model) return Route::kModel;
  return std::nullopt;
}

std::string allowed_method(Route route) { return route == Route::kCompletion ? "POST" : "GET"; }

// Compares two secrets in a time that does not depend on the position of their first difference.
bool equals_in_constant_time(std::string_view expected, std::string_view given) {
  std::size_t difference = expected.size() ^ given.size();
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const char other = given.empty() ? '\0' : given[i % given.size()];
    difference |= static_cast<unsigned char>(expected[i]) ^ static_cast<unsigned char>(other);
  }
  return difference == 0;
}

Json model_object(const Model& model) {
  return {{"id", model.id}, {"object", "model"}, {"created", 0}, {"owned_by", "bitternferry"}};
}

// The API's client libraries count their retries in this header.
bool is_client_retry(const http::Server::Request& request) {
  const auto retry_count = http::header(request, "X-Stainless-Retry-Count");
  return !retry_count.empty() && retry_count != "0";
}

std::shared_ptr<const engine::UpstreamRequest> upstream_request(const engine::RequestId& id,
                                                                std::string body) {
  auto message = std::make_shared<engine::UpstreamRequest>();
  message->id = id;
  message->method = "POST";
  message->target = kCompletionsPath;
  message->headers = "Content-Type: application/json\r\n";
  message->body = std::move(body);
  return message;
}

}  // namespace

Frontend::Frontend(const http::FrontendContext& context, const Config& config, std::uint64_t seed)
    : http::Frontend(context, config.listen), config_(config), request_ids_(seed) {}

// ---- requests ----

std::optional<std::string> Frontend::authenticate(const http::Server::Request& request) const {
  if (config_.keys.empty()) return config_.account;
  constexpr std::string_view kScheme = "Bearer ";
  std::string_view token = http::header(request, "Authorization");
  if (!token.starts_with(kScheme)) return std::nullopt;
  token.remove_prefix(kScheme.size());
  std::optional<std::string> account;
  for (const ApiKey& key : config_.keys) {  // all keys, so that the time does not depend on which one matches
    if (equals_in_constant_time(key.key, token)) account = key.account;
  }
  return account;
}

void Frontend::on_request(SlotId client, http::Server::Request& request, engine::Time arrival) {
  const auto [method, path] = target_of(request);
  const std::optional<Route> route = find_route(path);
  if (!route) return server_.respond_error(client, 404, "no such path: " + std::string(path));
  const std::string allowed = allowed_method(*route);
  if (method != allowed)
    return server_.respond_error(client, 405, "this path takes " + allowed, {{"Allow", allowed}});
  if (*route == Route::kHealth) return respond_health(client);
  const auto account = authenticate(request);
  if (!account) return respond_error(client, invalid_api_key(), {{"WWW-Authenticate", "Bearer"}});
  if (*route == Route::kCompletion) return handle_completion(client, request, arrival, *account);
  if (*route == Route::kModel) return handle_model(client, path.substr(kModelPathPrefix.size()));
  handle_models(client);
}

void Frontend::handle_models(SlotId client) {
  Json list = Json::array();
  for (const Model& model : config_.models) list.push_back(model_object(model));
  server_.respond(client, 200, "application/json", Json{{"object", "list"}, {"data", list}}.dump());
}

void Frontend::handle_model(SlotId client, std::string_view id) {
  const auto found = std::find_if(config_.models.begin(), config_.models.end(),
                                  [&](const Model& model) { return model.id == id; });
  if (found == config_.models.end()) return respond_error(client, model_not_found(id));
  server_.respond(client, 200, "application/json", model_object(*found).dump());
}

void Frontend::handle_completion(SlotId client, http::Server::Request& request, engine::Time arrival,
                                 const std::string& account) {
  if (pending_responses_.size() >= config_.max_concurrent_requests)
    return respond_retry_later(client, rate_limit_exceeded("too many requests in progress"),
                               kDefaultRetryAfter);
  ChatRequest chat;
  try {
    chat = parse_request(request.body(), config_, account);
  } catch (const ApiError& error) {
    return respond_error(client, error);
  }
  const Model& model = *chat.model;
  routing::Request routing = chat.routing;
  routing.id = request_ids_.next();
  routing.client_deadline = arrival + time_to_first_token(chat, *model.request_class);
  routing.client_retry = is_client_retry(request);
  rate_limit::RequestAttributes attributes;
  attributes.is_openai_api = true;
  attributes.model = model.id;
  if (!admit(client, request, routing, attributes, *config_.settings)) return;
  const routing::RequestClass& request_class = admitted_class(routing, model);
  if (&request_class != model.request_class)
    routing.client_deadline = arrival + time_to_first_token(chat, request_class);
  ResponseTranslator translator(response_format(chat, routing));
  pending_responses_.emplace(client, PendingResponse{std::move(translator), request_class.idempotency});
  submit(client, routing, upstream_request(routing.id, std::move(chat.body)));
}

ResponseFormat Frontend::response_format(const ChatRequest& chat, const routing::Request& request) const {
  const auto unix_time = std::chrono::duration_cast<std::chrono::seconds>(clock_());
  return {.id = "chatcmpl-" + request.id.value(),
          .model = chat.model->id,
          .created = unix_time.count(),
          .is_stream = chat.is_stream,
          .include_usage = chat.include_usage};
}

// Returns the class of an admitted request. The rate limiter's rules may have changed it from the model's
// class.
const routing::RequestClass& Frontend::admitted_class(const routing::Request& request,
                                                      const Model& model) const {
  const routing::RequestClass* admitted = routing::find_class(*config_.settings, request.request_class);
  return admitted != nullptr ? *admitted : *model.request_class;
}

// ---- responses of the engine ----

void Frontend::forget_request(SlotId client) {
  pending_responses_.erase(client);
  http::Frontend::forget_request(client);
}

void Frontend::start_stream(SlotId client) {
  const auto pending = pending_responses_.find(client);
  if (pending != pending_responses_.end() && pending->second.translator.is_stream())
    server_.begin_stream(client);
}

bool Frontend::write_events(SlotId client, std::string_view events) {
  const auto pending = pending_responses_.find(client);
  if (pending == pending_responses_.end()) return true;
  auto& [translator, idempotency] = pending->second;
  const std::string translated = translator.translate(events);
  if (translator.is_too_long()) {
    const routing::Idempotency request_idempotency = idempotency;  // cancelling erases the entry
    cancel_request(client);
    respond_possibly_executed(client, server_error(502, ErrorCode::kAnswerTooLong, "the answer is too long"),
                              request_idempotency);
    return true;
  }
  return translated.empty() || server_.write_events(client, translated);
}

void Frontend::finish_stream(SlotId client) {
  const auto pending = pending_responses_.find(client);
  if (pending == pending_responses_.end()) return;
  // A stream without its own end marker was truncated and must not be presented as complete.
  if (!pending->second.translator.is_complete()) return abort_stream(client);
  const ResponseTranslator translator = std::move(pending->second.translator);
  forget_request(client);
  if (translator.is_stream()) return server_.end_response(client);
  server_.respond(client, 200, "application/json", translator.completion());
}

// Nothing is retried after the first token, and the response must not look complete. A streaming client gets
// an error event and its connection is closed; any other client gets an error status.
void Frontend::abort_stream(SlotId client) {
  const auto pending = pending_responses_.find(client);
  if (pending == pending_responses_.end()) return;
  const bool is_stream = pending->second.translator.is_stream();
  const routing::Idempotency idempotency = pending->second.idempotency;
  const ApiError error = server_error(502, ErrorCode::kStreamBroken, "the answer broke off");
  forget_request(client);
  if (!is_stream) return respond_possibly_executed(client, error, idempotency);
  server_.write_events(client, "data: " + to_body(error) + "\n\n");
  server_.abort(client);
}

void Frontend::reject(SlotId client, std::optional<engine::Duration> retry_after) {
  forget_request(client);
  respond_retry_later(
      client,
      server_error(503, ErrorCode::kOverloaded, "the service is busy: nothing was done, try again later"),
      retry_after.value_or(kDefaultRetryAfter));
}

void Frontend::fail(SlotId client, engine::Failure failure) {
  const auto pending = pending_responses_.find(client);
  const bool is_known = pending != pending_responses_.end();
  const auto idempotency = is_known ? pending->second.idempotency : routing::Idempotency::kNonIdempotent;
  forget_request(client);
  switch (failure) {
    case engine::Failure::kInvalidRequest:
      return respond_error(client, invalid_request("the model can't use this request"));
    case engine::Failure::kDeadlineExceeded:
      return respond_possibly_executed(
          client, server_error(504, ErrorCode::kTimeout, "no answer came in time; it may have run"),
          idempotency);
    case engine::Failure::kUpstream:
      return respond_possibly_executed(
          client, server_error(502, ErrorCode::kUpstreamFailed, "the attempt failed; it may have run"),
          idempotency);
  }
}

// ---- the frontend's own responses ----

void Frontend::reject_rate_limited(SlotId client, engine::Duration retry_after) {
  respond_retry_later(client, rate_limit_exceeded("a limit is reached: nothing was done, try again later"),
                      retry_after);
}

void Frontend::reject_overloaded(SlotId client, engine::Duration retry_after) {
  respond_retry_later(
      client, server_error(503, ErrorCode::kOverloaded, "reduced service: nothing was done, try again later"),
      retry_after);
}

// The API's client libraries retry these statuses unless X-Should-Retry is "false". A non-idempotent request
// that may have been executed must not be executed twice.
void Frontend::respond_possibly_executed(SlotId client, const ApiError& error,
                                         routing::Idempotency idempotency) {
  if (idempotency == routing::Idempotency::kIdempotent) return respond_error(client, error);
  respond_error(client, error, {{"X-Should-Retry", "false"}});
}

void Frontend::respond_retry_later(SlotId client, const ApiError& error, engine::Duration retry_after) {
  const milliseconds delay = std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(retry_after));
  const auto delay_seconds = std::chrono::ceil<std::chrono::seconds>(delay);
  respond_error(client, error,
                {{"Retry-After", std::to_string(delay_seconds.count())},
                 {"Retry-After-Ms", std::to_string(delay.count())},
                 {"X-Should-Retry", "true"}});
}

void Frontend::respond_error(SlotId client, const ApiError& error,
                             std::initializer_list<http::Header> extra_headers) {
  server_.respond(client, error.status, "application/json", to_body(error), extra_headers);
}

std::string Frontend::error_body(int status, std::string_view message) {
  return to_body(http_error(status, std::string(message)));
}

}  // namespace dispatcher::openai_api
