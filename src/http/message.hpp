// Header fields of received HTTP/1.1 messages, and the text of those that are sent.
#ifndef DISPATCHER_HTTP_MESSAGE_HPP_
#define DISPATCHER_HTTP_MESSAGE_HPP_

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>

namespace dispatcher::http {

namespace beast_http = boost::beast::http;

/// A standard view of Beast's own string_view type.
[[nodiscard]] inline std::string_view to_view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// The value of a header field, empty where it is absent. `FieldMap` is any Beast message or fields
/// container.
template <class FieldMap>
[[nodiscard]] std::string_view header(const FieldMap& fields, std::string_view name) {
  const auto field = fields.find(boost::beast::string_view(name.data(), name.size()));
  return field == fields.end() ? std::string_view() : to_view(field->value());
}

/// A header field to send.
struct Header {
  std::string_view name;
  std::string value;
};

/// The request fields that a proxy has to forward (RFC 9110, section 7.6.1), as header lines with their line
/// ends: all but hop-by-hop fields, those that frame the body, and `own_fields`, which the caller writes.
[[nodiscard]] std::string forwarded_headers(const beast_http::fields& fields,
                                            std::initializer_list<std::string_view> own_fields);

/// Whether a connection carries another message after this one (RFC 9112, section 9.3).
enum class Persistence { kKeepAlive, kClose };

/// How the recipient of a stream finds its end.
enum class StreamFraming {
  kChunked,     // the chunked transfer coding (RFC 9112, section 7.1)
  kUntilClose,  // the connection's end, for HTTP/1.0, which has no chunks
};

/// The reason phrase of a status (RFC 9110, section 15.1).
[[nodiscard]] std::string_view reason_phrase(int status);

/// A complete response with a Content-Length, and with a Content-Type where the body is not empty.
[[nodiscard]] std::string response(int status, std::string_view content_type, std::string_view body,
                                   Persistence persistence, std::initializer_list<Header> more = {});

/// The head of a response that is a server-sent event stream (WHATWG HTML, section 9.2).
[[nodiscard]] std::string stream_head(Persistence persistence, StreamFraming framing);
/// One chunk of the chunked transfer coding (RFC 9112, section 7.1). `data` must not be empty, as an empty
/// chunk is the last one.
[[nodiscard]] std::string chunk(std::string_view data);
/// The chunk that ends the chunked transfer coding, without trailer fields.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// A duration in seconds with three decimals, for the value of a Retry-After field.
[[nodiscard]] std::string seconds_text(std::chrono::microseconds time);

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_MESSAGE_HPP_
