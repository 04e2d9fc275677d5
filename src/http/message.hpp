// Header fields of received HTTP/1.1 messages, and formatting of the messages that are sent.
#ifndef DISPATCHER_HTTP_MESSAGE_HPP_
#define DISPATCHER_HTTP_MESSAGE_HPP_

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>

namespace dispatcher::http {

namespace beast_http = boost::beast::http;

/// Converts Beast's own string_view type to the standard one.
[[nodiscard]] inline std::string_view to_view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Returns the value of a header field, or an empty view if it is absent. `FieldMap` is any Beast message or
/// fields container.
template <class FieldMap>
[[nodiscard]] std::string_view header(const FieldMap& fields, std::string_view name) {
  const auto field = fields.find(boost::beast::string_view(name.data(), name.size()));
  return field == fields.end() ? std::string_view() : to_view(field->value());
}

/// A header field of a message to send.
struct Header {
  std::string_view name;
  std::string value;
};

/// Returns the request fields that a proxy must forward (RFC 9110, section 7.6.1), as header lines with their
/// line ends. Leaves out hop-by-hop fields, fields that frame the body, and `own_fields`, which the caller
/// writes itself.
[[nodiscard]] std::string forwarded_headers(const beast_http::fields& fields,
                                            std::initializer_list<std::string_view> own_fields);

/// Whether the connection stays open after this message (RFC 9112, section 9.3).
enum class Persistence { kKeepAlive, kClose };

/// How the recipient of a stream detects its end.
enum class StreamFraming {
  kChunked,     // by the last chunk of the chunked transfer coding (RFC 9112, section 7.1)
  kUntilClose,  // by the end of the connection, for HTTP/1.0, which has no chunked coding
};

/// Returns the reason phrase of a status (RFC 9110, section 15.1).
[[nodiscard]] std::string_view reason_phrase(int status);

/// Returns a complete response with a Content-Length, and with a Content-Type if the body is not empty.
[[nodiscard]] std::string response(int status, std::string_view content_type, std::string_view body,
                                   Persistence persistence, std::initializer_list<Header> extra_headers = {});

/// Returns the head of a response that is a server-sent event stream (WHATWG HTML, section 9.2).
[[nodiscard]] std::string stream_head(Persistence persistence, StreamFraming framing);
/// Returns one chunk of the chunked transfer coding (RFC 9112, section 7.1). `data` must not be empty,
/// because an empty chunk ends the coding.
[[nodiscard]] std::string chunk(std::string_view data);
/// The chunk that ends the chunked transfer coding, without trailer fields.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Returns a duration in seconds with three decimals, for the value of a Retry-After field.
[[nodiscard]] std::string seconds_text(std::chrono::microseconds time);

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_MESSAGE_HPP_
