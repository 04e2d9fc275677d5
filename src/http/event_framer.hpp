// Splits a server-sent event stream into events as it arrives, without changing a byte.
#ifndef DISPATCHER_HTTP_EVENT_FRAMER_HPP_
#define DISPATCHER_HTTP_EVENT_FRAMER_HPP_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dispatcher::http {

/// Frames the events of the text/event-stream format (WHATWG HTML, section 9.2), whose lines end with LF,
/// CR LF or CR and whose events end with a blank line. Owned by the reader of one stream; not thread-safe.
class EventFramer {
 public:
  /// An event longer than this is malformed.
  static constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

  /// Appends the next bytes of the stream. Returns the events that they complete, each including its final
  /// blank line.
  [[nodiscard]] std::vector<std::string> append(std::string_view bytes);

  /// Must be called at the stream's end. Returns the last event if it ended with a CR, which could have been
  /// the first half of a CR LF until now. Returns an empty string otherwise.
  [[nodiscard]] std::string finish() {
    return std::exchange(is_complete_, false) ? std::exchange(buffer_, {}) : std::string();
  }

  /// Returns the bytes after the last complete event. At the stream's end they are a truncated event.
  [[nodiscard]] const std::string& incomplete_event() const { return buffer_; }
  /// Whether the incomplete event exceeds kMaxEventBytes, in which case the stream must be abandoned.
  [[nodiscard]] bool is_too_long() const { return buffer_.size() > kMaxEventBytes; }

 private:
  std::string take_event();

  std::string buffer_;
  std::size_t line_length_ = 0;  // bytes of the current line so far
  bool is_after_cr_ = false;     // the last byte was CR, so that an LF would end the same line
  bool is_complete_ = false;     // a blank line with CR ended the event, but an LF may follow
};

/// Returns the values of all lines of one field of an event, such as "data", joined by LF (WHATWG HTML,
/// section 9.2.6). Comments are lines of the field "".
[[nodiscard]] std::string event_field(std::string_view event, std::string_view field);

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_EVENT_FRAMER_HPP_
