// Incremental reading of HTTP/1.1 messages from a connection's ring buffer with Beast's parsers.
#ifndef DISPATCHER_HTTP_MESSAGE_READER_HPP_
#define DISPATCHER_HTTP_MESSAGE_READER_HPP_

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>

#include "http/message.hpp"
#include "net/ring_buffer.hpp"

namespace dispatcher::http {

/// Maximum size in bytes of a request's body, and of an endpoint's response that is not a stream.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{256} * 1024;
/// Maximum size in bytes of a message's head (start line and fields).
inline constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;
/// Maximum size in bytes of a chunk. A chunk that declares more is malformed and need not be read to its end.
inline constexpr std::uint64_t kMaxChunkBytes = std::size_t{16} * 1024 * 1024;

/// How far a message has been read.
enum class ReadStatus {
  kNeedMore,   // all bytes that have arrived were read, and the message is incomplete
  kComplete,   // the message was read, including its body
  kMalformed,  // the message breaks the protocol or a limit; nothing more can be read from the connection
};

/// Reads successive HTTP/1.1 messages (RFC 9112) from a connection's input. Owned by the connection's owner
/// and used on its event loop only.
template <bool kIsRequest>
class MessageReader {
 public:
  using Message = beast_http::message<kIsRequest, beast_http::string_body>;

  /// `max_body_bytes` is nullopt if the caller takes the body in parts and it may have any length.
  explicit MessageReader(std::optional<std::size_t> max_body_bytes) : max_body_bytes_(max_body_bytes) {
    reset();
  }
  MessageReader(const MessageReader&) = delete;  // the parser refers to this object
  MessageReader& operator=(const MessageReader&) = delete;

  /// Prepares for the next message.
  void reset() {
    has_started_ = false;
    make_parser();
  }

  /// Consumes the bytes that belong to this message. Bytes after its end stay in the buffer.
  ///
  /// An incomplete head is parsed again from its first byte each time more of it arrives. Once Beast's parser
  /// has reported need_more, it only searches for the end of the head; whether a malformed head is rejected
  /// would then depend on how the network split it.
  ReadStatus read(net::RingBuffer& input) {
    has_started_ = has_started_ || !input.empty();
    while (!parser_->is_done() && !input.empty()) {
      error_.clear();
      const std::size_t used = parser_->put(input.data(), error_);
      update_chunk_bytes_left();
      if (error_ == beast_http::error::need_more && !parser_->is_header_done()) {
        make_parser();
        return ReadStatus::kNeedMore;
      }
      input.consume(used);
      if (error_ == beast_http::error::need_more) return ReadStatus::kNeedMore;
      if (error_) return ReadStatus::kMalformed;
      if (used == 0) break;
    }
    return parser_->is_done() ? ReadStatus::kComplete : ReadStatus::kNeedMore;
  }

  /// Must be called at the connection's end, which completes a body with neither length nor chunks. Returns
  /// kMalformed for any other message, as it was truncated.
  ReadStatus end() {
    error_.clear();
    if (!parser_->is_header_done()) return ReadStatus::kMalformed;
    parser_->put_eof(error_);
    return !error_ && parser_->is_done() ? ReadStatus::kComplete : ReadStatus::kMalformed;
  }

  /// Whether the start line and all header fields have arrived.
  [[nodiscard]] bool is_head_complete() const { return parser_->is_header_done(); }
  /// Whether any byte of the message has arrived.
  [[nodiscard]] bool has_started() const { return has_started_; }
  /// Whether the connection may carry another message after this one (RFC 9112, section 9.3). The head must
  /// be complete.
  [[nodiscard]] bool keep_alive() const { return parser_->keep_alive(); }
  /// Returns why the last read() returned kMalformed.
  [[nodiscard]] const boost::system::error_code& error() const { return error_; }
  /// Returns the message as far as it has been read. Valid until reset().
  [[nodiscard]] Message& message() { return parser_->get(); }

  /// Returns the part of the body that has arrived since the last call, and removes it from the message.
  [[nodiscard]] std::string take_body() {
    std::string part = std::move(parser_->get().body());
    parser_->get().body().clear();
    counted_body_bytes_ = 0;
    return part;
  }

  /// Returns the number of bytes of the current chunk's data that have not arrived yet. It is 0 between
  /// chunks and when only the line end after the data is missing.
  [[nodiscard]] std::uint64_t chunk_bytes_left() const { return chunk_bytes_left_; }

  /// Continues a chunked response that another reader began, at the byte where that one stopped. To do so, it
  /// parses an equivalent head and the start of a chunk of which `chunk_bytes_left` bytes are missing; with
  /// 0, only the chunk's line end is missing.
  void resume_chunked(std::uint64_t chunk_bytes_left, Persistence persistence) {
    constexpr std::size_t kMaxPreambleBytes = 1024;
    reset();
    net::RingBuffer preamble(kMaxPreambleBytes);
    preamble.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
    if (persistence == Persistence::kClose) preamble.append("Connection: close\r\n");
    preamble.append("\r\n");
    if (chunk_bytes_left > 0) {
      char chunk_header[24];
      std::snprintf(chunk_header, sizeof chunk_header, "%llx\r\n",
                    static_cast<unsigned long long>(chunk_bytes_left));
      preamble.append(chunk_header);
    } else {
      preamble.append("1\r\n.");  // a chunk of one byte whose line end is missing
    }
    read(preamble);
    static_cast<void>(take_body());
  }

 private:
  void make_parser() {
    parser_.emplace();
    parser_->header_limit(kMaxHeadBytes);
    if (max_body_bytes_) {
      parser_->body_limit(*max_body_bytes_);
    } else {
      parser_->body_limit(boost::none);
    }
    parser_->eager(true);
    parser_->on_chunk_header(on_chunk_header_);
    chunk_bytes_left_ = 0;
    counted_body_bytes_ = 0;
  }

  void update_chunk_bytes_left() {
    const std::size_t body_bytes = parser_->get().body().size();
    const std::size_t new_bytes = body_bytes - std::min(counted_body_bytes_, body_bytes);
    chunk_bytes_left_ -= std::min<std::uint64_t>(chunk_bytes_left_, new_bytes);
    counted_body_bytes_ = body_bytes;
  }

  // Called by the parser at the start of each chunk.
  struct ChunkHeaderHandler {
    void operator()(std::uint64_t size, boost::beast::string_view, boost::system::error_code& error) const {
      if (size > kMaxChunkBytes) error = beast_http::error::body_limit;
      reader->counted_body_bytes_ = reader->parser_->get().body().size();
      reader->chunk_bytes_left_ = size;
    }
    MessageReader* reader;
  };

  ChunkHeaderHandler on_chunk_header_{this};  // the parser keeps a reference to it
  std::uint64_t chunk_bytes_left_ = 0;
  std::size_t counted_body_bytes_ = 0;  // body bytes already subtracted from chunk_bytes_left_
  std::optional<std::size_t> max_body_bytes_;
  bool has_started_ = false;
  std::optional<beast_http::parser<kIsRequest, beast_http::string_body>> parser_;
  boost::system::error_code error_;
};

/// Reads the requests of a client.
using RequestReader = MessageReader<true>;
/// Reads the responses of an endpoint.
using ResponseReader = MessageReader<false>;

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_MESSAGE_READER_HPP_
