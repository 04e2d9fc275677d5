// HTTP/1.1 on ring buffers: Beast's parsers fed from them, and the few messages that are written.
#ifndef DISPATCHER_HTTP_MESSAGE_HPP_
#define DISPATCHER_HTTP_MESSAGE_HPP_

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

#include "net/ring_buffer.hpp"

namespace dispatcher::http {

namespace beast_http = boost::beast::http;

constexpr std::size_t kMaxBody = 256 * 1024;
constexpr std::size_t kMaxHead = 16 * 1024;
constexpr std::uint64_t kMaxChunk = 16 * 1024 * 1024;

enum class Progress { kMore, kDone, kBad };

// Reads one message after another from a connection's input.
template <bool kRequest>
class Reader {
 public:
  using Message = beast_http::message<kRequest, beast_http::string_body>;
  explicit Reader(std::optional<std::size_t> max_body) : max_body_(max_body) { reset(); }
  Reader(const Reader&) = delete;  // the parser refers to this object
  Reader& operator=(const Reader&) = delete;

  void reset() {
    started_ = false;
    make_parser();
  }
  // Takes as much as belongs to this message. What follows its end stays in the buffer. A head is parsed
  // from its start each time more of it comes: Beast's parser, once told to wait, looks for nothing but the
  // head's end, and a malformed one would be refused or not by how it was cut on the way.
  Progress read(net::RingBuffer& input) {
    started_ = started_ || !input.empty();
    while (!parser_->is_done() && !input.empty()) {
      error_.clear();
      const std::size_t used = parser_->put(input.data(), error_);
      count_chunk();
      if (error_ == beast_http::error::need_more && !parser_->is_header_done()) {
        make_parser();
        return Progress::kMore;
      }
      input.consume(used);
      if (error_ == beast_http::error::need_more) return Progress::kMore;
      if (error_) return Progress::kBad;
      if (used == 0) break;
    }
    return parser_->is_done() ? Progress::kDone : Progress::kMore;
  }
  // The connection's end: that of a body with neither length nor chunks, else of a message cut short.
  Progress end() {
    error_.clear();
    if (!parser_->is_header_done()) return Progress::kBad;
    parser_->put_eof(error_);
    return !error_ && parser_->is_done() ? Progress::kDone : Progress::kBad;
  }
  [[nodiscard]] bool head_done() const { return parser_->is_header_done(); }
  [[nodiscard]] bool started() const { return started_; }
  [[nodiscard]] bool keep_alive() const { return parser_->keep_alive(); }
  [[nodiscard]] const boost::system::error_code& error() const { return error_; }
  Message& message() { return parser_->get(); }
  // The part of the body that has come since the last call.
  std::string take_body() {
    std::string part = std::move(parser_->get().body());
    parser_->get().body().clear();
    mark_ = 0;
    return part;
  }
  // Bytes that the chunk being read still lacks. Its line end, where that is all, is left in the input.
  [[nodiscard]] std::uint64_t chunk_left() const { return chunk_left_; }
  // Goes on with an answer in chunks that another reader began, at the byte where that one stopped.
  void resume_chunks(std::uint64_t left, bool keep_alive) {
    reset();
    net::RingBuffer begun(1024);
    begun.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
    begun.append(keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
    char size[24];
    std::snprintf(size, sizeof size, "%llx\r\n", static_cast<unsigned long long>(left));
    begun.append(left > 0 ? size : "1\r\n.");  // a chunk that lacks its line end, or `left` bytes
    read(begun);
    take_body();
  }

 private:
  void make_parser() {
    parser_.emplace();
    parser_->header_limit(kMaxHead);
    if (max_body_) {
      parser_->body_limit(*max_body_);
    } else {
      parser_->body_limit(boost::none);
    }
    parser_->eager(true);
    parser_->on_chunk_header(check_chunk_);
    chunk_left_ = mark_ = 0;
  }
  void count_chunk() {
    const std::size_t held = parser_->get().body().size();
    chunk_left_ -= std::min<std::uint64_t>(chunk_left_, held - std::min(mark_, held));
    mark_ = held;
  }

  // A chunk that claims to hold gigabytes ends the message at once; it must not be read to its end first.
  struct ChunkCheck {
    void operator()(std::uint64_t size, boost::beast::string_view, boost::system::error_code& error) const {
      if (size > kMaxChunk) error = beast_http::error::body_limit;
      reader->mark_ = reader->parser_->get().body().size();
      reader->chunk_left_ = size;
    }
    Reader* reader;
  };
  ChunkCheck check_chunk_{this};  // the parser keeps a reference to it
  std::uint64_t chunk_left_ = 0;
  std::size_t mark_ = 0;  // of the body, what chunk_left_ knows of

  std::optional<std::size_t> max_body_;
  bool started_ = false;
  std::optional<beast_http::parser<kRequest, beast_http::string_body>> parser_;
  boost::system::error_code error_;
};

using RequestReader = Reader<true>;
using ResponseReader = Reader<false>;

template <class Fields>
std::string_view header(const Fields& fields, std::string_view name) {
  const auto it = fields.find(boost::beast::string_view(name.data(), name.size()));
  if (it == fields.end()) return {};
  return {it->value().data(), it->value().size()};
}

struct Header {
  std::string_view name;
  std::string value;
};
// The lines of a request's fields that belong to the whole way to the server, as RFC 9110 (7.6.1) has a proxy
// forward them: all but those of one connection, those of the body's framing and `ours`, which this side
// writes.
std::string end_to_end(const beast_http::fields& fields, std::initializer_list<std::string_view> ours);
std::string_view reason(int status);
// A whole answer with a length.
std::string response(int status, std::string_view content_type, std::string_view body, bool keep_alive,
                     std::initializer_list<Header> more = {});
// The head of an answer in chunks, a chunk, and the last one.
std::string stream_head(bool keep_alive, bool chunked);
std::string chunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";
// A Retry-After value in seconds, with decimals where they are needed.
std::string seconds_text(std::chrono::microseconds time);

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_MESSAGE_HPP_
