#include "http/message.hpp"

#include <chrono>
#include <cstdio>

namespace bitternferry::http {

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

}  // namespace bitternferry::http
