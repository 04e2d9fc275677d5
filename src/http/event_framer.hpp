// Cuts a server-sent event stream into whole events as it comes, without changing a byte.
#ifndef DISPATCHER_HTTP_EVENT_FRAMER_HPP_
#define DISPATCHER_HTTP_EVENT_FRAMER_HPP_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dispatcher::http {

class EventFramer {
 public:
  // An event that is longer than this is no event.
  static constexpr std::size_t kMaxEvent = 256 * 1024;

  // Takes the next bytes and returns the events that they complete, each with the blank line that ends it.
  // Lines end with LF, CR LF or CR, as the format has it.
  std::vector<std::string> feed(std::string_view bytes);
  // At the stream's end: the last event, where only the end told that its CR was not half of a CR LF.
  std::string finish() { return std::exchange(complete_, false) ? std::exchange(held_, {}) : std::string(); }
  // What stands after the last whole event: an event that was cut, where the stream has ended.
  [[nodiscard]] const std::string& rest() const { return held_; }
  [[nodiscard]] bool too_long() const { return held_.size() > kMaxEvent; }

 private:
  std::string held_;
  std::size_t line_ = 0;   // length of the line being read
  bool after_cr_ = false;  // the last byte was CR: an LF now belongs to it
  bool complete_ = false;  // a blank line has ended the event, but for an LF that may follow its CR
};

// The values of an event's lines of one field ("data"), joined by LF; comments are the lines of field "".
std::string event_field(std::string_view event, std::string_view field);

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_EVENT_FRAMER_HPP_
