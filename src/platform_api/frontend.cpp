#include "platform_api/frontend.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace dispatcher::platform_api {

namespace {

template <class T>
T parse_number(std::string_view text, const char* name, int base = 10) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc() || end != text.data() + text.size())
    throw std::invalid_argument(std::string(name) + ": not a number");
  return value;
}

constexpr std::size_t kMaxId = 64;
constexpr int kMaxTokens = 100'000'000;

int parse_tokens(std::string_view text, const char* name) {
  const int value = parse_number<int>(text, name);
  if (value < 0 || value > kMaxTokens) throw std::invalid_argument(std::string(name) + ": out of range");
  return value;
}

void parse_facts(std::string_view facts, routing::Request& r) {
  while (!facts.empty()) {
    const std::size_t comma = facts.find(',');
    std::string_view fact = facts.substr(0, comma);
    facts.remove_prefix(comma == std::string_view::npos ? facts.size() : comma + 1);
    while (fact.starts_with(' ')) fact.remove_prefix(1);
    const std::size_t equals = fact.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = fact.substr(0, equals), value = fact.substr(equals + 1);
    if (name == "prefix") r.shared_prefix = parse_number<std::uint64_t>(value, "X-Facts prefix", 16);
    if (name == "prompt_len") r.prompt_tokens = parse_tokens(value, "X-Facts prompt_len");
    if (name == "prefix_len") r.prefix_tokens = parse_tokens(value, "X-Facts prefix_len");
    if (name == "max_out") r.max_tokens = parse_tokens(value, "X-Facts max_out");
  }
}

}  // namespace

routing::Request parse_request(const http::Server::Request& request, const routing::Settings& settings,
                               engine::Time arrived) {
  const auto get = [&](std::string_view name) { return http::header(request, name); };
  routing::Request r;
  r.id = get("X-Correlation-Id");
  const bool word =
      std::all_of(r.id.begin(), r.id.end(), [](unsigned char c) { return std::isalnum(c) != 0; });
  if (r.id.empty() || r.id.size() > kMaxId || !word)
    throw std::invalid_argument("X-Correlation-Id: letters and digits expected");
  r.request_class = get("X-Service-Class");
  const auto cls = std::find_if(settings.classes.begin(), settings.classes.end(),
                                [&](const auto& c) { return c.name == r.request_class; });
  if (cls == settings.classes.end()) throw std::invalid_argument("X-Service-Class: unknown class");
  r.tenant = get("X-Account");
  if (const auto key = get("X-Session-Key"); !key.empty())
    r.session = parse_number<std::uint64_t>(key, "X-Session-Key", 16);
  parse_facts(get("X-Facts"), r);
  engine::Duration left = cls->deadline;
  if (const auto text = get("X-Time-Left-Ms"); !text.empty()) {
    const auto ms = parse_number<std::int64_t>(text, "X-Time-Left-Ms");
    if (ms < 0 || ms > 86'400'000) throw std::invalid_argument("X-Time-Left-Ms: out of range");
    left = std::chrono::milliseconds(ms);
  }
  r.client_deadline = arrived + left;
  const auto repeat = get("X-Repeat");
  r.client_retry = repeat == "1";
  r.resubmitted = repeat == "again";
  return r;
}

Frontend::Frontend(boost::asio::io_context& io, const net::tcp::endpoint& at, engine::Engine& engine,
                   engine::SettingsSnapshot rules, engine::TimerQueue& timers, engine::Clock clock,
                   const http::ServerOptions& options, std::function<bool()> shed)
    : http::Frontend(io, at, engine, timers, std::move(clock), options, std::move(shed)),
      rules_(std::move(rules)) {}

void Frontend::on_request(SlotId client, http::Server::Request& request, engine::Time arrived) {
  const auto [method, path] = route(request);
  const bool health = path == "/healthz", chat = path == "/v1/chat/completions";
  if (!health && !chat) return server_.error(client, 404, "no such path");
  const std::string_view wanted = health ? "GET" : "POST";
  if (method != wanted) return server_.error(client, 405, "wrong method", {{"Allow", std::string(wanted)}});
  if (chat) return take(client, request, arrived);
  answer_health(client);
}

void Frontend::take(SlotId client, http::Server::Request& request, engine::Time arrived) {
  routing::Request r;
  try {
    r = parse_request(request, *rules_, arrived);
  } catch (const std::invalid_argument& e) {
    return server_.error(client, 400, e.what());
  }
  if (engine_.is_in_progress(r.id))
    return server_.error(client, 409, "X-Correlation-Id: already in progress");
  if (!admit(client, request, r, {}, *rules_)) return;
  auto message = std::make_shared<engine::UpstreamRequest>();
  message->id = r.id;
  message->method.assign(request.method_string().data(), request.method_string().size());
  message->target.assign(request.target().data(), request.target().size());
  message->headers = http::end_to_end(request, {"X-Correlation-Id", "X-Time-Left-Ms"});
  message->body = std::move(request.body());
  submit(client, r, std::move(message));
}

std::string Frontend::error_body(int, std::string_view what) {
  return nlohmann::json{{"error", {{"message", what}}}}.dump(-1, ' ', false,
                                                             nlohmann::json::error_handler_t::replace);
}

void Frontend::finish_stream(SlotId client) {
  forget(client);
  server_.end(client);
}

void Frontend::abort_stream(SlotId client) {
  forget(client);
  server_.cut(client);
}

void Frontend::reject(SlotId client, std::optional<engine::Duration> retry_after) {
  forget(client);
  if (!retry_after) return server_.error(client, 503, "try again");
  server_.error(client, 503, "try again", {{"Retry-After", http::seconds_text(*retry_after)}});
}

void Frontend::limited(SlotId client, engine::Duration retry_after) {
  come_later(client, 429, "over a limit: nothing was done, try again later", retry_after);
}

void Frontend::busy(SlotId client, engine::Duration retry_after) {
  come_later(client, 503, "reduced service: nothing was done, try again later", retry_after);
}

void Frontend::come_later(SlotId client, int status, std::string_view what, engine::Duration retry_after) {
  if (!rules_->retry_advice) return server_.error(client, status, what);
  server_.error(client, status, what,
                {{"Retry-After", http::seconds_text(std::min(retry_after, rules_->max_retry_after))}});
}

void Frontend::fail(SlotId client, engine::Failure why) {
  forget(client);
  if (why == engine::Failure::kInvalidRequest)
    return server_.error(client, 400, "the replicas can't use this request");
  const bool late = why == engine::Failure::kDeadlineExceeded;
  server_.error(client, late ? 504 : 502, late ? "no answer in time" : "the attempt failed");
}

}  // namespace dispatcher::platform_api
