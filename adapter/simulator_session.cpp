#include "adapter/simulator_session.hpp"

#include <cstdint>
#include <utility>

#include "adapter/action_encoder.hpp"
#include "adapter/event_decoder.hpp"
#include "adapter/protocol_names.hpp"
#include "settings/check.hpp"
#include "settings/parse.hpp"

namespace dispatcher::simulator_adapter {
namespace {

using json::ParseError;
using json::ParseProblem;
using json::required_member;

constexpr std::string_view kWhiteSpace = " \t\r";

}  // namespace

std::optional<std::string> SimulatorSession::handle_line(std::string_view input) {
  if (input.find_first_not_of(kWhiteSpace) == std::string_view::npos) return std::nullopt;
  const Json envelope = Json::parse(input, nullptr, false);
  if (envelope.is_discarded()) throw ParseError(ParseProblem::kInvalidDocument, {}, "not JSON");
  if (!envelope.is_object() || envelope.size() != 1 || !envelope.begin().value().is_object())
    throw ParseError(ParseProblem::kInvalidDocument, {}, "an object with one named object expected");
  const std::string& name = envelope.begin().key();
  const Json& message = envelope.begin().value();
  if (name == control_messages::kEndOfBatch) return take_replies();
  if (name == control_messages::kSetTime) {
    now_ = json::required_duration(message, fields::kNow);
  } else if (name == control_messages::kEndpointListPage) {
    page_of(message) = json::required_value(message, fields::kEntries, Json::value_t::array);
  } else {
    handle_dispatcher_message(name, message);
  }
  return std::nullopt;
}

void SimulatorSession::handle_dispatcher_message(const std::string& name, const Json& message) {
  if (name == dispatcher_messages::kStart) {
    start(required_member<std::string>(message, fields::kDispatcher), message);
  } else if (name == dispatcher_messages::kStop) {
    routers_.erase(required_member<std::string>(message, fields::kDispatcher));
  } else if (name == dispatcher_messages::kEndpointList) {
    const routing::Event event = decode_endpoint_list(message, page_of(message));
    deliver(required_member<std::string>(message, fields::kDispatcher), event);
  } else if (const auto event = decode_event(name, message)) {
    deliver(required_member<std::string>(message, fields::kDispatcher), *event);
  }
}

void SimulatorSession::start(const std::string& dispatcher, const Json& message) {
  const Json& source = json::required_value(message, fields::kSettings, Json::value_t::object);
  const routing::Settings settings = settings::parse_settings(source).settings;
  const auto seed = required_member<std::uint64_t>(message, fields::kSeed);
  try {
    routers_.insert_or_assign(dispatcher, routing::Router(settings, seed));
  } catch (const settings::InvalidSettingsError& error) {
    routers_.erase(dispatcher);
    replies_ += encode_start_failure(dispatcher, error.what()) + "\n";
  }
}

// A message to a dispatcher that has stopped, or never started, is ignored.
void SimulatorSession::deliver(const std::string& dispatcher, const routing::Event& event) {
  const auto it = routers_.find(dispatcher);
  if (it == routers_.end()) return;
  for (const routing::Action& action : it->second.handle(now_, event))
    replies_ += encode_action(dispatcher, action) + "\n";
}

Json& SimulatorSession::page_of(const Json& message) {
  const auto number = json::optional_member<std::uint64_t>(message, fields::kPage);
  if (number >= pages_.size()) json::throw_unexpected(fields::kPage, "0 to " + std::to_string(kMaxPages - 1));
  return pages_.at(number);
}

std::string SimulatorSession::take_replies() {
  return std::exchange(replies_, {}) + encode_end_of_batch() + "\n";
}

}  // namespace dispatcher::simulator_adapter
