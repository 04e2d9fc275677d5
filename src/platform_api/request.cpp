// Parsing of the platform's X- headers.
#include "platform_api/request.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <string>
#include <string_view>

#include "http/message.hpp"
#include "platform_api/header_error.hpp"
#include "routing/request_classes.hpp"

namespace dispatcher::platform_api {

namespace {

// Maximum number of characters of a request id, which is stored, logged and sent to endpoints with each
// attempt.
constexpr std::size_t kMaxIdLength = 64;
// Maximum of a token count. It is far above any context length, and small enough that sums of counts don't
// overflow.
constexpr int kMaxTokens = 100'000'000;
// Maximum of X-Time-Left-Ms. It is far above any deadline, and small enough that sums with the clock don't
// overflow.
constexpr std::chrono::milliseconds kMaxTimeLeft = std::chrono::hours(24);
// Values of X-Repeat that set Request::client_retry and Request::resubmitted.
constexpr std::string_view kRetryValue = "1";
constexpr std::string_view kResubmittedValue = "again";
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

// The name of a part of X-Facts, and its name in error messages.
struct FactName {
  std::string_view key;
  std::string_view header;
};
constexpr FactName kPrefixFact{"prefix", "X-Facts prefix"};
constexpr FactName kPromptLengthFact{"prompt_len", "X-Facts prompt_len"};
constexpr FactName kPrefixLengthFact{"prefix_len", "X-Facts prefix_len"};
constexpr FactName kMaxOutputFact{"max_out", "X-Facts max_out"};

// Parses the whole text as a number. Throws HeaderError if it is not one.
template <class T>
T parse_number(std::string_view text, std::string_view header, int base = kDecimal) {
  T value{};
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, base);
  if (error != std::errc() || end != last) throw HeaderError(HeaderProblem::kNotANumber, header);
  return value;
}

int parse_tokens(std::string_view text, std::string_view header) {
  const int value = parse_number<int>(text, header);
  if (value < 0 || value > kMaxTokens) throw HeaderError(HeaderProblem::kOutOfRange, header);
  return value;
}

// Parses one NAME=VALUE part of X-Facts. Unknown names are ignored.
void parse_fact(std::string_view fact, routing::Request& request) {
  const std::size_t equals = fact.find('=');
  if (equals == std::string_view::npos) return;
  const std::string_view name = fact.substr(0, equals);
  const std::string_view value = fact.substr(equals + 1);
  if (name == kPrefixFact.key)
    request.shared_prefix = parse_number<std::uint64_t>(value, kPrefixFact.header, kHexadecimal);
  if (name == kPromptLengthFact.key) request.prompt_tokens = parse_tokens(value, kPromptLengthFact.header);
  if (name == kPrefixLengthFact.key) request.prefix_tokens = parse_tokens(value, kPrefixLengthFact.header);
  if (name == kMaxOutputFact.key) request.max_tokens = parse_tokens(value, kMaxOutputFact.header);
}

// Parses the NAME=VALUE parts of X-Facts, which are separated by commas with optional spaces after them.
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
    throw HeaderError(HeaderProblem::kNotAlphanumeric, header_names::kRequestId);
  return std::string(text);
}

const routing::RequestClass& require_class(const routing::Settings& settings, std::string_view name) {
  const routing::RequestClass* found = routing::find_class(settings, name);
  if (found == nullptr) throw HeaderError(HeaderProblem::kUnknownClass, header_names::kRequestClass);
  return *found;
}

// Returns the client's own time limit, or the class's deadline if the client states none.
engine::Duration parse_time_left(std::string_view text, const routing::RequestClass& request_class) {
  if (text.empty()) return request_class.deadline;
  const std::chrono::milliseconds left(parse_number<std::int64_t>(text, header_names::kTimeLeft));
  if (left < std::chrono::milliseconds(0) || left > kMaxTimeLeft)
    throw HeaderError(HeaderProblem::kOutOfRange, header_names::kTimeLeft);
  return left;
}

}  // namespace

routing::Request parse_request(const http::RequestReader::Message& request, const routing::Settings& settings,
                               engine::Time arrival) {
  const auto get = [&](std::string_view name) { return http::header(request, name); };
  routing::Request parsed;
  parsed.id = parse_id(get(header_names::kRequestId));
  const routing::RequestClass& request_class = require_class(settings, get(header_names::kRequestClass));
  parsed.request_class = request_class.name;
  parsed.tenant = get(header_names::kTenant);
  if (const auto key = get(header_names::kSession); !key.empty())
    parsed.session = parse_number<std::uint64_t>(key, header_names::kSession, kHexadecimal);
  parse_facts(get(header_names::kFacts), parsed);
  parsed.client_deadline = arrival + parse_time_left(get(header_names::kTimeLeft), request_class);
  const auto retry = get(header_names::kRetry);
  parsed.client_retry = retry == kRetryValue;
  parsed.resubmitted = retry == kResubmittedValue;
  return parsed;
}

}  // namespace dispatcher::platform_api
