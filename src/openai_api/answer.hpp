// A replica's stream of events, turned into the standard's chunks or into one whole completion.
#ifndef DISPATCHER_OPENAI_API_ANSWER_HPP_
#define DISPATCHER_OPENAI_API_ANSWER_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "http/event_framer.hpp"

namespace dispatcher::openai_api {

class Answer {
 public:
  Answer(std::string id, std::string model, std::int64_t created, bool stream, bool include_usage);

  // Takes whole events. Returns the events for a streaming client, empty for one that waits for the whole.
  std::string take(std::string_view events);
  // Did the stream say itself that it is complete? Its mere end proves nothing.
  [[nodiscard]] bool complete() const { return done_; }
  // The whole completion, for a client that does not stream.
  [[nodiscard]] std::string completion() const;
  [[nodiscard]] bool stream() const { return stream_; }
  // More than any limit on tokens allows: a replica that does not stop must not fill the memory.
  [[nodiscard]] bool too_long() const { return collected_ > kMaxCollected; }

 private:
  static constexpr std::size_t kMaxCollected = 4 * 1024 * 1024;
  std::string take_event(std::string_view event);
  void collect(const nlohmann::json& chunk);
  std::string translate(nlohmann::json chunk);

  std::string id_, model_;
  std::int64_t created_;
  bool stream_, include_usage_;
  bool begun_ = false, done_ = false;
  std::size_t collected_ = 0;
  http::EventFramer framer_;
  nlohmann::json message_, finish_reason_, usage_;
};

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_ANSWER_HPP_
