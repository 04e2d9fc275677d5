// Parsing of the platform's X- headers.
#include "platform_api/request.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace dispatcher::platform_api {

namespace {

constexpr std::size_t kMaxIdLength = 64;
// Far above any context length, and far enough from overflow for sums of counts.
constexpr int kMaxTokens = 100'000'000;
constexpr std::chrono::milliseconds kMaxTimeLeft = std::chrono::hours(24);
constexpr int kHexadecimal = 16;

template <class T>
T parse_number(std::string_view text, const char* name, int base = 10) {
  T value{};
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, base);
  if (error != std::errc() || end != last) throw std::invalid_argument(std::string(name) + ": not a number");
  return value;
}

int parse_tokens(std::string_view text, const char* name) {
  const int value = parse_number<int>(text, name);
  if (value < 0 || value > kMaxTokens) throw std::invalid_argument(std::string(name) + ": out of range");
  return value;
}

// One NAME=VALUE of X-Facts; unknown names are ignored.
void parse_fact(std::string_view fact, routing::Request& request) {
  const std::size_t equals = fact.find('=');
  if (equals == std::string_view::npos) return;
  const std::string_view name = fact.substr(0, equals);
  const std::string_view value = fact.substr(equals + 1);
  if (name == "prefix")
    request.shared_prefix = parse_number<std::uint64_t>(value, "X-Facts prefix", kHexadecimal);
  if (name == "prompt_len") request.prompt_tokens = parse_tokens(value, "X-Facts prompt_len");
  if (name == "prefix_len") request.prefix_tokens = parse_tokens(value, "X-Facts prefix_len");
  if (name == "max_out") request.max_tokens = parse_tokens(value, "X-Facts max_out");
}

void parse_facts(std::string_view facts, routing::Request& request) {
  while (!facts.empty()) {
    const std::size_t comma = facts.find(',');
    std::string_view fact = facts.substr(0, comma);
    facts.remove_prefix(comma == std::string_view::npos ? facts.size() : comma + 1);
    while (fact.starts_with(' ')) fact.remove_prefix(1);
    parse_fact(fact, request);
  }
}

std::string parse_id(std::string_view text) {
  const bool is_alphanumeric =
      std::all_of(text.begin(), text.end(), [](unsigned char byte) { return std::isalnum(byte) != 0; });
  if (text.empty() || text.size() > kMaxIdLength || !is_alphanumeric)
    throw std::invalid_argument("X-Correlation-Id: letters and digits expected");
  return std::string(text);
}

const routing::RequestClass& find_class(const routing::Settings& settings, std::string_view name) {
  const auto found = std::find_if(settings.classes.begin(), settings.classes.end(),
                                  [&](const auto& candidate) { return candidate.name == name; });
  if (found == settings.classes.end()) throw std::invalid_argument("X-Service-Class: unknown class");
  return *found;
}

// The client's own time limit; without one, the class's.
engine::Duration parse_time_left(std::string_view text, const routing::RequestClass& request_class) {
  if (text.empty()) return request_class.deadline;
  const std::chrono::milliseconds left(parse_number<std::int64_t>(text, "X-Time-Left-Ms"));
  if (left < std::chrono::milliseconds(0) || left > kMaxTimeLeft)
    throw std::invalid_argument("X-Time-Left-Ms: out of range");
  return left;
}

}  // namespace

routing::Request parse_request(const http::RequestReader::Message& request, const routing::Settings& settings,
                               engine::Time arrival) {
  const auto get = [&](std::string_view name) { return http::header(request, name); };
  routing::Request parsed;
  parsed.id = parse_id(get("X-Correlation-Id"));
  const routing::RequestClass& request_class = find_class(settings, get("X-Service-Class"));
  parsed.request_class = request_class.name;
  parsed.tenant = get("X-Account");
  if (const auto key = get("X-Session-Key"); !key.empty())
    parsed.session = parse_number<std::uint64_t>(key, "X-Session-Key", kHexadecimal);
  parse_facts(get("X-Facts"), parsed);
  parsed.client_deadline = arrival + parse_time_left(get("X-Time-Left-Ms"), request_class);
  const auto repeat = get("X-Repeat");
  parsed.client_retry = repeat == "1";
  parsed.resubmitted = repeat == "again";
  return parsed;
}

}  // namespace dispatcher::platform_api
