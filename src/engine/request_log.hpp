// A line for each thing that happens to a request, for those who must find out afterwards why it went as it
// did, or count over a fleet. Off unless the command line asks for it: it costs a line or two an attempt.
#ifndef DISPATCHER_ENGINE_REQUEST_LOG_HPP_
#define DISPATCHER_ENGINE_REQUEST_LOG_HPP_

#include <functional>
#include <string>
#include <string_view>

#include "routing/router.hpp"

namespace dispatcher::engine {

class RequestLog {
 public:
  using Sink = std::function<void(std::string_view)>;
  RequestLog() = default;  // off
  explicit RequestLog(Sink sink) : sink_(std::move(sink)) {}

  // Each line begins `request ID` and goes on with key=value. Times are milliseconds.
  void taken(const routing::Request& request, routing::Time now) const;
  void sent(const std::string& id, const std::string& endpoint, int attempt) const;
  void first(const std::string& id, const std::string& endpoint, int attempt, routing::Duration after) const;
  void ended(const routing::AttemptCompleted& outcome) const;
  void answered(const std::string& id, std::string_view how) const;

 private:
  void line(const std::string& id, const std::string& rest) const { sink_("request " + id + " " + rest); }

  Sink sink_;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_REQUEST_LOG_HPP_
