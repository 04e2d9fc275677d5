#include "http/message.hpp"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <chrono>
#include <cstdio>

namespace dispatcher::http {

namespace {
bool same(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}
constexpr std::string_view kOfOneConnection[] = {
    "Connection",         "Proxy-Connection",    "Keep-Alive", "TE",   "Trailer", "Transfer-Encoding",
    "Proxy-Authenticate", "Proxy-Authorization", "Upgrade",    "Host", "Expect",  "Content-Length"};
}  // namespace

std::string end_to_end(const beast_http::fields& fields, std::initializer_list<std::string_view> ours) {
  const auto connection = fields[beast_http::field::connection];
  const beast_http::token_list named(connection);
  std::string lines;
  for (const auto& field : fields) {
    const std::string_view name{field.name_string().data(), field.name_string().size()};
    const auto is_name = [&](const auto& other) { return same(name, {other.data(), other.size()}); };
    if (std::any_of(std::begin(kOfOneConnection), std::end(kOfOneConnection), is_name)) continue;
    if (std::any_of(ours.begin(), ours.end(), is_name)) continue;
    if (std::any_of(named.begin(), named.end(), is_name)) continue;
    lines.append(name).append(": ").append(field.value().data(), field.value().size()).append("\r\n");
  }
  return lines;
}

std::string_view reason(int status) {
  const auto text = beast_http::obsolete_reason(static_cast<beast_http::status>(status));
  return {text.data(), text.size()};
}

namespace {
std::string head(int status, bool keep_alive) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text += reason(status);
  text += keep_alive ? "\r\n" : "\r\nConnection: close\r\n";
  return text;
}
}  // namespace

std::string response(int status, std::string_view content_type, std::string_view body, bool keep_alive,
                     std::initializer_list<Header> more) {
  std::string text = head(status, keep_alive);
  if (!body.empty()) text.append("Content-Type: ").append(content_type).append("\r\n");
  for (const Header& h : more) text.append(h.name).append(": ").append(h.value).append("\r\n");
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  return text;
}

std::string stream_head(bool keep_alive, bool chunked) {
  return head(200, keep_alive) + "Content-Type: text/event-stream\r\nCache-Control: no-cache\r\n" +
         (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
}

std::string chunk(std::string_view data) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  std::string text = size;
  text += data;
  text += "\r\n";
  return text;
}

std::string seconds_text(std::chrono::microseconds time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(time.count()) / 1e6);
  return text;
}

}  // namespace dispatcher::http
