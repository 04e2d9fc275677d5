// Checks of a request's syntax and length.
#include "http/request_checks.hpp"

#include <boost/beast/core/string.hpp>
#include <string_view>

#include "http/message.hpp"

namespace dispatcher::http {

namespace {

// A request with both Transfer-Encoding and Content-Length may smuggle a second request in its body, and an
// unknown coding leaves the body's end undefined (RFC 9112, section 6.1).
bool has_ambiguous_length(const RequestReader::Message& request) {
  if (request.count(beast_http::field::transfer_encoding) == 0) return false;
  const std::string_view coding = header(request, "Transfer-Encoding");
  return request.count(beast_http::field::content_length) > 0 ||
         !boost::beast::iequals({coding.data(), coding.size()}, "chunked");
}

RequestRejection malformed_request(const boost::system::error_code& error) {
  if (error == beast_http::error::body_limit) return {413, "the body is larger than 256 KiB"};
  if (error == beast_http::error::header_limit) return {431, "the head is too large"};
  return {400, "malformed HTTP: " + error.message()};
}

}  // namespace

std::optional<RequestRejection> check_request(RequestReader& reader, ReadStatus read_status) {
  if (read_status == ReadStatus::kMalformed) return malformed_request(reader.error());
  if (reader.is_head_complete() && has_ambiguous_length(reader.message()))
    return RequestRejection{400, "the request's length is ambiguous"};
  return std::nullopt;
}

bool expects_continue(RequestReader& reader) { return header(reader.message(), "Expect") == "100-continue"; }

}  // namespace dispatcher::http
