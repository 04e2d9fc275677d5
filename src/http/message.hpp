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

/// The standard reason phrase of a status.
[[nodiscard]] std::string_view reason_phrase(int status);

/// A complete response with a Content-Length.
[[nodiscard]] std::string response(int status, std::string_view content_type, std::string_view body,
                                   bool keep_alive, std::initializer_list<Header> more = {});

/// The head of a server-sent event stream, in chunks or (for HTTP/1.0) up to the connection's end.
[[nodiscard]] std::string stream_head(bool keep_alive, bool chunked);
/// One chunk of the chunked transfer coding (RFC 9112, section 7.1).
[[nodiscard]] std::string chunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// A duration in seconds with three decimals, for the value of a Retry-After field.
[[nodiscard]] std::string seconds_text(std::chrono::microseconds time);

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_MESSAGE_HPP_
