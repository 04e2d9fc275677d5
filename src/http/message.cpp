// Filtering of forwarded header fields and formatting of responses.
#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace dispatcher::http {

namespace {

// Fields that concern one connection (RFC 9110, section 7.6.1) or the body's framing; each hop writes its
// own.
constexpr std::array<std::string_view, 12> kHopByHopFields = {
    "Connection",         "Proxy-Connection",    "Keep-Alive", "TE",   "Trailer", "Transfer-Encoding",
    "Proxy-Authenticate", "Proxy-Authorization", "Upgrade",    "Host", "Expect",  "Content-Length"};

bool equals_ignoring_case(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::string head(int status, Persistence persistence) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text += reason_phrase(status);
  text += "\r\n";
  if (persistence == Persistence::kClose) text += "Connection: close\r\n";
  return text;
}

}  // namespace

std::string forwarded_headers(const beast_http::fields& fields,
                              std::initializer_list<std::string_view> own_fields) {
  const auto connection = fields[beast_http::field::connection];
  const beast_http::token_list connection_options(connection);
  std::string forwarded;
  for (const auto& field : fields) {
    const std::string_view name = to_view(field.name_string());
    const auto is_name = [&](const auto& other) {
      return equals_ignoring_case(name, {other.data(), other.size()});
    };
    if (std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(), is_name)) continue;
    if (std::any_of(own_fields.begin(), own_fields.end(), is_name)) continue;
    if (std::any_of(connection_options.begin(), connection_options.end(), is_name)) continue;
    forwarded.append(name).append(": ").append(to_view(field.value())).append("\r\n");
  }
  return forwarded;
}

std::string_view reason_phrase(int status) {
  return to_view(beast_http::obsolete_reason(static_cast<beast_http::status>(status)));
}

std::string response(int status, std::string_view content_type, std::string_view body,
                     Persistence persistence, std::initializer_list<Header> extra_headers) {
  std::string text = head(status, persistence);
  if (!body.empty()) text.append("Content-Type: ").append(content_type).append("\r\n");
  for (const Header& field : extra_headers)
    text.append(field.name).append(": ").append(field.value).append("\r\n");
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  return text;
}

std::string stream_head(Persistence persistence, StreamFraming framing) {
  constexpr int kOk = 200;
  std::string text = head(kOk, persistence);
  text += "Content-Type: text/event-stream\r\nCache-Control: no-cache\r\n";
  if (framing == StreamFraming::kChunked) text += "Transfer-Encoding: chunked\r\n";
  text += "\r\n";
  return text;
}

std::string chunk(std::string_view data) {
  char chunk_header[20];
  std::snprintf(chunk_header, sizeof chunk_header, "%zx\r\n", data.size());
  std::string text = chunk_header;
  text += data;
  text += "\r\n";
  return text;
}

std::string seconds_text(std::chrono::microseconds time) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(time.count()) / kMicrosecondsPerSecond);
  return text;
}

}  // namespace dispatcher::http
