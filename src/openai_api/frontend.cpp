#include "openai_api/frontend.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace dispatcher::openai_api {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kCompletions = "/v1/chat/completions", kModels = "/v1/models",
                           kHealth = "/healthz";
constexpr engine::Duration kComeLater = milliseconds(500);  // where the module gives no advice

// All of both is compared, so that the time taken tells nothing of where they differ.
bool same_secret(std::string_view a, std::string_view b) {
  std::size_t differ = a.size() ^ b.size();
  for (std::size_t i = 0; i < a.size(); ++i)
    differ |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b.empty() ? 0 : b[i % b.size()]);
  return differ == 0;
}

ApiError server_error(int status, const char* message, const char* code) {
  return {status, message, "server_error", std::nullopt, code};
}

}  // namespace

Frontend::Frontend(boost::asio::io_context& io, const Config& config, engine::Engine& engine,
                   engine::TimerQueue& timers, engine::Clock clock, std::uint64_t seed,
                   const http::ServerOptions& options, std::function<bool()> shed)
    : http::Frontend(io, config.listen, engine, timers, std::move(clock), options, std::move(shed)),
      config_(config),
      seed_(seed) {}

// ---- requests ----

std::optional<std::string> Frontend::account(const http::Server::Request& request) const {
  if (config_.keys.empty()) return config_.account;
  std::string_view given = http::header(request, "Authorization");
  constexpr std::string_view kScheme = "Bearer ";
  if (!given.starts_with(kScheme)) return std::nullopt;
  given.remove_prefix(kScheme.size());
  std::optional<std::string> found;
  for (const Key& k : config_.keys) {
    if (same_secret(k.key, given)) found = k.account;
  }
  return found;
}

void Frontend::on_request(SlotId client, http::Server::Request& request, engine::Time arrived) {
  const auto [method, path] = route(request);
  const bool one_model =
      path.starts_with(kModels) && path.size() > kModels.size() + 1 && path[kModels.size()] == '/';
  if (path != kCompletions && path != kModels && path != kHealth && !one_model)
    return server_.error(client, 404, "no such path: " + std::string(path));
  const std::string wanted = path == kCompletions ? "POST" : "GET";
  if (method != wanted) return server_.error(client, 405, "this path takes " + wanted, {{"Allow", wanted}});
  if (path == kHealth) return answer_health(client);
  const auto who = account(request);
  if (!who) {
    return reply(client, {401, "no valid API key was given", "invalid_request_error", {}, "invalid_api_key"},
                 {{"WWW-Authenticate", "Bearer"}});
  }
  if (path == kCompletions) return complete(client, request, arrived, *who);
  models(client, one_model ? path.substr(kModels.size() + 1) : std::string_view());
}

void Frontend::models(SlotId client, std::string_view id) {
  Json list = Json::array();
  for (const Model& m : config_.models) {
    Json model{{"id", m.id}, {"object", "model"}, {"created", 0}, {"owned_by", "bitternferry"}};
    if (m.id == id) return server_.answer(client, 200, "application/json", model.dump());
    list.push_back(std::move(model));
  }
  if (!id.empty()) return reply(client, no_such_model(id));
  server_.answer(client, 200, "application/json", Json{{"object", "list"}, {"data", list}}.dump());
}

void Frontend::complete(SlotId client, http::Server::Request& request, engine::Time arrived,
                        const std::string& who) {
  if (exchanges_.size() >= config_.max_open) {
    return come_later(client,
                      {429, "too many requests in progress", "rate_limit_error", {}, "rate_limit_exceeded"},
                      kComeLater);
  }
  ChatRequest chat;
  try {
    chat = parse_request(request.body(), config_, who);
  } catch (const ApiError& error) {
    return reply(client, error);
  }
  routing::Request r = chat.routing;
  r.id = new_id();
  r.client_deadline = arrived + time_to_first_token(chat, *chat.model->cls);
  // The standard's client libraries count their retries in this header.
  const auto retry = http::header(request, "X-Stainless-Retry-Count");
  r.client_retry = !retry.empty() && retry != "0";
  rate_limit::RequestAttributes facts;
  facts.is_openai_api = true;
  facts.model = chat.model->id;
  if (!admit(client, request, r, facts, *config_.rules)) return;
  const routing::RequestClass& cls = class_of(r, *chat.model);
  if (&cls != chat.model->cls) r.client_deadline = arrived + time_to_first_token(chat, cls);
  auto message = std::make_shared<engine::UpstreamRequest>();
  message->id = r.id;
  message->method = "POST";
  message->target = kCompletions;
  message->headers = "Content-Type: application/json\r\n";
  message->body = std::move(chat.body);
  const std::int64_t created = clock_().count() / 1'000'000;
  exchanges_.emplace(
      client, Exchange{Answer("chatcmpl-" + r.id, chat.model->id, created, chat.stream, chat.include_usage),
                       cls.idempotency == routing::Idempotency::kIdempotent});
  submit(client, r, std::move(message));
}

// The rules may have put the request into another class than its model's.
const routing::RequestClass& Frontend::class_of(const routing::Request& request, const Model& model) const {
  const auto& classes = config_.rules->classes;
  const auto it = std::find_if(classes.begin(), classes.end(),
                               [&](const auto& c) { return c.name == request.request_class; });
  return it == classes.end() ? *model.cls : *it;
}

// Sixteen hexadecimal digits, as the replicas know them. No two of one instance's life are the same.
std::string Frontend::new_id() {
  std::uint64_t x = seed_ + 0x9e3779b97f4a7c15ULL * ++made_;  // splitmix64: one to one in the counter
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  x ^= x >> 31U;
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(x));
  return text;
}

// ---- answers ----

void Frontend::forget(SlotId client) {
  exchanges_.erase(client);
  http::Frontend::forget(client);
}

void Frontend::start_stream(SlotId client) {
  const auto it = exchanges_.find(client);
  if (it != exchanges_.end() && it->second.answer.stream()) server_.begin(client);
}

bool Frontend::write_events(SlotId client, std::string_view events) {
  const auto it = exchanges_.find(client);
  if (it == exchanges_.end()) return true;
  const std::string out = it->second.answer.take(events);
  if (it->second.answer.too_long()) {
    const bool repeatable = it->second.repeatable;
    leave(client);
    may_have_run(client, server_error(502, "the answer is too long", "answer_too_long"), repeatable);
    return true;
  }
  return out.empty() || server_.pass(client, out);
}

void Frontend::finish_stream(SlotId client) {
  const auto it = exchanges_.find(client);
  if (it == exchanges_.end()) return;
  if (!it->second.answer.complete()) return abort_stream(client);  // no end that the replica did not give
  const Answer answer = std::move(it->second.answer);
  forget(client);
  if (answer.stream()) return server_.end(client);
  server_.answer(client, 200, "application/json", answer.completion());
}

// After the first token nothing is sent again, and nothing may look like an end: a streaming client is told
// by an error event and by its connection, any other by its status.
void Frontend::abort_stream(SlotId client) {
  const auto it = exchanges_.find(client);
  if (it == exchanges_.end()) return;
  const bool stream = it->second.answer.stream(), repeatable = it->second.repeatable;
  const ApiError error = server_error(502, "the answer broke off", "stream_broken");
  forget(client);
  if (!stream) return may_have_run(client, error, repeatable);
  server_.pass(client, "data: " + to_body(error) + "\n\n");
  server_.cut(client);
}

void Frontend::reject(SlotId client, std::optional<engine::Duration> retry_after) {
  forget(client);
  come_later(client,
             server_error(503, "the service is busy: nothing was done, try again later", "overloaded"),
             retry_after.value_or(kComeLater));
}

void Frontend::limited(SlotId client, engine::Duration retry_after) {
  come_later(client,
             {429,
              "a limit is reached: nothing was done, try again later",
              "rate_limit_error",
              {},
              "rate_limit_exceeded"},
             retry_after);
}

void Frontend::busy(SlotId client, engine::Duration retry_after) {
  come_later(client, server_error(503, "reduced service: nothing was done, try again later", "overloaded"),
             retry_after);
}

void Frontend::fail(SlotId client, engine::Failure why) {
  const auto it = exchanges_.find(client);
  const bool repeatable = it != exchanges_.end() && it->second.repeatable;
  forget(client);
  if (why == engine::Failure::kInvalidRequest)
    return reply(client, {400, "the model can't use this request", "invalid_request_error", {}, {}});
  const ApiError error = why == engine::Failure::kDeadlineExceeded
                             ? server_error(504, "no answer came in time; it may have run", "timeout")
                             : server_error(502, "the attempt failed; it may have run", "upstream_failed");
  may_have_run(client, error, repeatable);
}

// Client libraries try again by themselves on these statuses; what must not run twice they are told to leave.
void Frontend::may_have_run(SlotId client, const ApiError& error, bool repeatable) {
  if (repeatable) return reply(client, error);
  reply(client, error, {{"X-Should-Retry", "false"}});
}

void Frontend::come_later(SlotId client, const ApiError& error, engine::Duration wait) {
  const auto ms = std::max<std::int64_t>(1, wait.count() / 1000);
  reply(client, error,
        {{"Retry-After", std::to_string((ms + 999) / 1000)},
         {"Retry-After-Ms", std::to_string(ms)},
         {"X-Should-Retry", "true"}});
}

void Frontend::reply(SlotId client, const ApiError& error, std::initializer_list<http::Header> more) {
  server_.answer(client, error.status, "application/json", to_body(error), more);
}

std::string Frontend::error_body(int status, std::string_view what) {
  const bool ours = status >= 500;
  return to_body({status, std::string(what), ours ? "server_error" : "invalid_request_error", {}, {}});
}

}  // namespace dispatcher::openai_api
