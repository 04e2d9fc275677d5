#include "adapter/action_encoder.hpp"

#include <nlohmann/json.hpp>

#include "adapter/protocol_names.hpp"
#include "json/typed_value.hpp"

namespace dispatcher::simulator_adapter {
namespace {

using json::Json;

// Converts a time or duration to milliseconds, the unit of the protocol.
double to_milliseconds(routing::Duration time) {
  return static_cast<double>(time.count()) / json::kMicrosecondsPerMillisecond;
}

// Visitor that sets the members of an action's reply, other than the dispatcher's name, and returns the name
// of the reply.
class ReplyWriter {
 public:
  explicit ReplyWriter(Json& reply) : reply_(reply) {}

  const char* operator()(const routing::StartAttempt& action) const {
    reply_[fields::kRequest] = action.request.value();
    reply_[fields::kEndpoint] = action.endpoint.value();
    if (action.deadline != routing::Time{}) reply_[fields::kDeadline] = to_milliseconds(action.deadline);
    return replies::kStartAttempt;
  }
  const char* operator()(const routing::CancelAttempt& action) const {
    reply_[fields::kRequest] = action.request.value();
    reply_[fields::kAttempt] = action.attempt;
    return replies::kCancelAttempt;
  }
  const char* operator()(const routing::Reject& action) const {
    reply_[fields::kRequest] = action.request.value();
    if (action.retry_after) reply_[fields::kRetryAfter] = to_milliseconds(*action.retry_after);
    return replies::kReject;
  }
  const char* operator()(const routing::Fail& action) const {
    reply_[fields::kRequest] = action.request.value();
    return replies::kFail;
  }
  const char* operator()(const routing::MigrateStream& action) const {
    reply_[fields::kRequest] = action.request.value();
    return replies::kMigrateStream;
  }
  const char* operator()(const routing::ReserveSlot& action) const {
    reply_[fields::kRequest] = action.request.value();
    reply_[fields::kEndpoint] = action.endpoint.value();
    return replies::kReserveSlot;
  }
  const char* operator()(const routing::ReleaseReservation& action) const {
    reply_[fields::kRequest] = action.request.value();
    return replies::kReleaseReservation;
  }
  const char* operator()(const routing::SetTimer& action) const {
    reply_[fields::kTimerDelay] = to_milliseconds(action.after);
    reply_[fields::kTimerTag] = action.tag;
    return replies::kSetTimer;
  }
  const char* operator()(const routing::Subscribe&) const {
    reply_[fields::kSubscribed] = true;
    return replies::kSubscribe;
  }
  const char* operator()(const routing::LogMessage& action) const {
    reply_[fields::kText] = action.text;
    return replies::kLogMessage;
  }

 private:
  Json& reply_;
};

}  // namespace

std::string encode_action(const std::string& dispatcher, const routing::Action& action) {
  Json reply{{fields::kDispatcher, dispatcher}};
  const char* const name = std::visit(ReplyWriter(reply), action);
  return Json{{name, reply}}.dump();
}

std::string encode_start_failure(const std::string& dispatcher, const std::string& reason) {
  return Json{{replies::kStartFailed, {{fields::kDispatcher, dispatcher}, {fields::kText, reason}}}}.dump();
}

std::string encode_end_of_batch() { return Json{{replies::kEndOfBatch, Json::object()}}.dump(); }

}  // namespace dispatcher::simulator_adapter
