// Runs routers for the simulator. One process serves any number of simulated dispatchers; messages and
// replies are lines of JSON. The session makes no decision itself.
#ifndef DISPATCHER_ADAPTER_SIMULATOR_SESSION_HPP_
#define DISPATCHER_ADAPTER_SIMULATOR_SESSION_HPP_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "json/members.hpp"
#include "routing/router.hpp"

namespace dispatcher::simulator_adapter {

using json::Json;

// The state of one connection to the simulator, from its first line to its last. Used by one thread; calls no
// callbacks. The same input gives the same output, byte for byte.
class SimulatorSession {
 public:
  // Handles one line of input, without its line break. After the last line of a batch, returns the replies to
  // the batch, each with its line break. Ignores blank lines. Throws json::ParseError if the line is
  // malformed; the session must not be used afterwards.
  [[nodiscard]] std::optional<std::string> handle_line(std::string_view input);

 private:
  static constexpr std::size_t kMaxPages = 16;  // the protocol numbers them from 0 to 15

  void handle_dispatcher_message(const std::string& name, const Json& message);
  void start(const std::string& dispatcher, const Json& message);
  void deliver(const std::string& dispatcher, const routing::Event& event);
  // Returns the page of endpoint list entries that a message refers to by its number. Throws
  // json::ParseError.
  [[nodiscard]] Json& page_of(const Json& message);
  [[nodiscard]] std::string take_replies();

  routing::Time now_{};
  std::array<Json, kMaxPages> pages_;               // endpoint list entries that later messages refer to
  std::map<std::string, routing::Router> routers_;  // by dispatcher name; a stopped dispatcher has none
  std::string replies_;                             // replies to the current batch so far
};

}  // namespace dispatcher::simulator_adapter

#endif  // DISPATCHER_ADAPTER_SIMULATOR_SESSION_HPP_
