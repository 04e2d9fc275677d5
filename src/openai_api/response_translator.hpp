// Translation of an endpoint's event stream into the OpenAI API's chunks or into a single completion object.
#ifndef DISPATCHER_OPENAI_API_RESPONSE_TRANSLATOR_HPP_
#define DISPATCHER_OPENAI_API_RESPONSE_TRANSLATOR_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "http/event_framer.hpp"

namespace dispatcher::openai_api {

/// The format of a client's response and the values of its fixed fields.
struct ResponseFormat {
  /// The completion's id, which is "chatcmpl-" followed by the request's id.
  std::string id;
  /// The model's name as the client gave it.
  std::string model;
  /// When the request was submitted, in seconds since the Unix epoch.
  std::int64_t created = 0;
  /// Whether the response consists of server-sent events (WHATWG HTML, section 9.2) instead of a single
  /// completion object.
  bool is_stream = false;
  /// Whether a stream ends with an event that contains the usage.
  bool include_usage = false;
};

/// Translates one response. Forwards the chunks of the OpenAI API and adds the fields that the endpoint left
/// out. Owned by the frontend's record of the request; not thread-safe.
class ResponseTranslator {
 public:
  explicit ResponseTranslator(ResponseFormat format);

  /// Translates complete events. Returns the events to send to a streaming client, or an empty string for any
  /// other client, whose completion is collected.
  [[nodiscard]] std::string translate(std::string_view events);
  /// Whether the stream's end marker has arrived. A stream that ends without it was truncated.
  [[nodiscard]] bool is_complete() const { return is_complete_; }
  /// Returns the completion object for a client that does not stream.
  [[nodiscard]] std::string completion() const;
  /// Whether the client requested a stream.
  [[nodiscard]] bool is_stream() const { return format_.is_stream; }
  /// Whether the collected text is longer than any token limit allows. An endpoint that does not stop must
  /// not exhaust the dispatcher's memory.
  [[nodiscard]] bool is_too_long() const { return collected_bytes_ > kMaxCollectedBytes; }

 private:
  // 4 MiB hold about a million tokens.
  static constexpr std::size_t kMaxCollectedBytes = std::size_t{4} * 1024 * 1024;

  std::string translate_event(std::string_view event);
  void collect(const nlohmann::json& chunk);
  std::string complete_chunk(nlohmann::json chunk);

  ResponseFormat format_;
  bool has_role_ = false;  // whether the first choice was sent, which includes the role
  bool is_complete_ = false;
  std::size_t collected_bytes_ = 0;
  http::EventFramer framer_;
  // Parts of the completion object that were collected so far.
  nlohmann::json message_;
  nlohmann::json finish_reason_;
  nlohmann::json usage_;
};

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_RESPONSE_TRANSLATOR_HPP_
