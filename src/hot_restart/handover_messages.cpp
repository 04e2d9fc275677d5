#include "hot_restart/handover_messages.hpp"

#include <algorithm>
#include <cstddef>
#include <exception>
#include <utility>

namespace dispatcher::hot_restart {

using engine::RequestProgress;
using routing::AdministrativeState;
using routing::LearnedState;
using routing::MovingAverage;

namespace {

// The names of JSON members. They must never change, since processes of other releases read and write them.
namespace key {
// The members that identify each kind of message.
constexpr const char* kHandover = "estate";
constexpr const char* kServing = "serving";
constexpr const char* kReplaced = "replaced";
constexpr const char* kDrainedEndpoint = "ban";
constexpr const char* kRequest = "request";
constexpr const char* kForwardedTo = "sent";
constexpr const char* kStream = "stream";
constexpr const char* kVrrp = "vrrp";
constexpr const char* kConnections = "connections";
// Further members of Handover.
constexpr const char* kListenerNames = "listening";
constexpr const char* kEndpointList = "list";
constexpr const char* kOpenRequestIds = "ids";
constexpr const char* kLearnedState = "knowledge";
constexpr const char* kDegradationLevel = "level";
// Further members of AdministrativeStateChanged and RequestStatusChanged.
constexpr const char* kIsDrained = "offline";
constexpr const char* kIsOpen = "open";
// Members of the object in a StreamTransfer.
constexpr const char* kRequestId = "id";
constexpr const char* kEndpoint = "host";
constexpr const char* kUnread = "unread";
constexpr const char* kChunkLeft = "chunk_left";
constexpr const char* kKeepAlive = "keep_alive";
constexpr const char* kSilentSince = "silent_since_us";
// A further member of VrrpLeft.
constexpr const char* kActiveDownAt = "active_down_at_us";
// Members of the object in a ConnectionsInUse.
constexpr const char* kClients = "clients";
constexpr const char* kUpstream = "endpoints";
// Members of LearnedState and its endpoint histories, which use kEndpoint too.
constexpr const char* kStartCosts = "starts";
constexpr const char* kFarCost = "far";
constexpr const char* kServedCounts = "served";
constexpr const char* kCountedSince = "since";
constexpr const char* kEndpoints = "hosts";
constexpr const char* kSendTimes = "sends";
constexpr const char* kBackSince = "back";
constexpr const char* kClockOffset = "clock_offset_us";
}  // namespace key

// Bounds of plausible statistics from another process. Other values are ignored or clamped.
constexpr int kMaxServed = 20000;        // bound of the results that are counted over a few seconds
constexpr double kMaxMean = 1e12;        // bound of MovingAverage::mean, in microseconds
constexpr double kMaxDeviation = 1e6;    // bound of MovingAverage::dev
constexpr double kMaxSampleCount = 1e9;  // bound of MovingAverage::n, which fits in an int

// Returns the member's value, or null if there is none.
const Json& member(const Json& object, const char* name) {
  static const Json none;
  const auto it = object.find(name);
  return object.is_object() && it != object.end() ? *it : none;
}

std::string text_member(const Json& object, const char* name) {
  const Json& value = member(object, name);
  return value.is_string() ? value.get<std::string>() : std::string();
}

bool flag_member(const Json& object, const char* name) {
  const Json& value = member(object, name);
  return value.is_boolean() && value.get<bool>();
}

std::vector<routing::RequestId> request_ids_member(const Json& object, const char* name) {
  std::vector<routing::RequestId> request_ids;
  const Json& values = member(object, name);
  if (!values.is_array()) return request_ids;
  for (const Json& value : values) {
    if (value.is_string()) request_ids.emplace_back(value.get<std::string>());
  }
  return request_ids;
}

routing::Time decode_time(const Json& value) {
  return routing::Time(value.is_number_integer() ? value.get<std::int64_t>() : 0);
}

Json encode_average(const MovingAverage& average) {
  return Json::array({average.mean, average.dev, average.n});
}

MovingAverage decode_average(const Json& value) {
  if (!value.is_array() || value.size() != 3) return {};
  const bool all_numbers =
      std::all_of(value.begin(), value.end(), [](const Json& part) { return part.is_number(); });
  if (!all_numbers) return {};
  const auto mean = value[0].get<double>();
  const auto deviation = value[1].get<double>();
  const auto count = value[2].get<double>();
  const bool is_plausible = mean >= 0 && mean < kMaxMean && deviation >= 0 && deviation < kMaxDeviation &&
                            count >= 0 && count < kMaxSampleCount;
  if (!is_plausible) return {};
  return {mean, deviation, static_cast<int>(count)};
}

Json encode_history(const LearnedState::EndpointHistory& history) {
  Json send_times = Json::array();
  for (const routing::Time sent_at : history.sends) send_times.push_back(sent_at.count());
  return {{key::kEndpoint, history.endpoint.value()},
          {key::kSendTimes, send_times},
          {key::kBackSince, history.returned_at.count()}};
}

std::vector<LearnedState::EndpointHistory> decode_histories(const Json& values) {
  std::vector<LearnedState::EndpointHistory> histories;
  if (!values.is_array()) return histories;
  for (const Json& value : values) {
    LearnedState::EndpointHistory history{
        text_member(value, key::kEndpoint), {}, decode_time(member(value, key::kBackSince))};
    const Json& send_times = member(value, key::kSendTimes);
    if (history.endpoint.empty() || !send_times.is_array()) continue;
    for (const Json& sent_at : send_times) history.sends.push_back(decode_time(sent_at));
    histories.push_back(std::move(history));
  }
  return histories;
}

Handover decode_handover(const Json& object) {
  Handover handover;
  handover.endpoint_list = member(object, key::kEndpointList);
  handover.open_request_ids = request_ids_member(object, key::kOpenRequestIds);
  handover.learned_state = decode_learned_state(member(object, key::kLearnedState));
  handover.degradation_level = member(object, key::kDegradationLevel);
  const Json& clock_offset = member(member(object, key::kLearnedState), key::kClockOffset);
  if (clock_offset.is_number_integer()) handover.clock_offset = decode_time(clock_offset);
  const Json& names = member(object, key::kListenerNames);
  if (!names.is_array()) return handover;
  // A name that is not a string becomes an empty name, since names and descriptors are matched by position.
  for (const Json& name : names)
    handover.listener_names.push_back(name.is_string() ? name.get<std::string>() : std::string());
  return handover;
}

Message decode_administrative_state(const Json& object) {
  const bool is_drained = flag_member(object, key::kIsDrained);
  return AdministrativeStateChanged{
      text_member(object, key::kDrainedEndpoint),
      is_drained ? AdministrativeState::kDrained : AdministrativeState::kInService};
}

Message decode_request_status(const Json& object) {
  const bool is_open = flag_member(object, key::kIsOpen);
  return RequestStatusChanged{text_member(object, key::kRequest),
                              is_open ? RequestProgress::kInProgress : RequestProgress::kCompleted};
}

Message decode_vrrp_left(const Json& object) {
  const bool was_active = flag_member(object, key::kVrrp);
  VrrpLeft left{was_active ? VrrpRole::kActive : VrrpRole::kBackup};
  const Json& active_down_at = member(object, key::kActiveDownAt);
  if (active_down_at.is_number_integer()) left.active_down_at = decode_time(active_down_at);
  return left;
}

std::size_t count_member(const Json& object, const char* name) {
  const Json& value = member(object, name);
  return value.is_number_unsigned() ? value.get<std::size_t>() : 0;
}

Message decode_stream(const Json& object) {
  try {
    StreamTransfer stream;
    const auto unread = object.at(key::kUnread).get<std::vector<unsigned char>>();
    stream.unread.assign(unread.begin(), unread.end());
    stream.endpoint = object.at(key::kEndpoint).get<std::string>();
    stream.chunk_left = object.at(key::kChunkLeft).get<std::uint64_t>();
    stream.keep_alive = object.at(key::kKeepAlive).get<bool>();
    stream.request_id = object.at(key::kRequestId).get<std::string>();
    const Json& silent_since = member(object, key::kSilentSince);
    if (silent_since.is_number_integer()) stream.silent_since = decode_time(silent_since);
    return stream;
  } catch (const std::exception& e) {
    return InvalidStreamTransfer{e.what()};
  }
}

}  // namespace

Json encode(const LearnedState& learned_state) {
  Json endpoints = Json::array();
  for (const LearnedState::EndpointHistory& history : learned_state.endpoints)
    endpoints.push_back(encode_history(history));
  Json start_costs = Json::array();
  for (const MovingAverage& average : learned_state.starts) start_costs.push_back(encode_average(average));
  return {{key::kStartCosts, start_costs},
          {key::kFarCost, encode_average(learned_state.remote_starts)},
          {key::kServedCounts, learned_state.served},
          {key::kCountedSince, learned_state.since.count()},
          {key::kEndpoints, endpoints}};
}

LearnedState decode_learned_state(const Json& object) {
  LearnedState learned_state;
  const Json& start_costs = member(object, key::kStartCosts);
  const Json& served = member(object, key::kServedCounts);
  for (std::size_t role = 0; role < learned_state.starts.size(); ++role) {
    if (start_costs.is_array() && role < start_costs.size())
      learned_state.starts[role] = decode_average(start_costs[role]);
    if (served.is_array() && role < served.size() && served[role].is_number_integer())
      learned_state.served[role] = std::clamp(served[role].get<int>(), 0, kMaxServed);
  }
  learned_state.remote_starts = decode_average(member(object, key::kFarCost));
  learned_state.since = decode_time(member(object, key::kCountedSince));
  learned_state.endpoints = decode_histories(member(object, key::kEndpoints));
  return learned_state;
}

Json encode_without_learned_state(const Handover& message) {
  return {{key::kHandover, true},
          {key::kListenerNames, message.listener_names},
          {key::kDegradationLevel, message.degradation_level}};
}

Json encode_without_lists(const Handover& message) {
  Json object = encode_without_learned_state(message);
  object[key::kLearnedState] = encode(message.learned_state);
  if (message.clock_offset) object[key::kLearnedState][key::kClockOffset] = message.clock_offset->count();
  return object;
}

Json encode(const Handover& message) {
  Json object = encode_without_lists(message);
  object[key::kEndpointList] = message.endpoint_list;
  Json request_ids = Json::array();
  for (const routing::RequestId& id : message.open_request_ids) request_ids.push_back(id.value());
  object[key::kOpenRequestIds] = std::move(request_ids);
  return object;
}

Json encode(const SuccessorServing& /*message*/) { return {{key::kServing, true}}; }

Json encode(const SuccessorReplaced& /*message*/) { return {{key::kReplaced, true}}; }

Json encode(const AdministrativeStateChanged& message) {
  const bool is_drained = message.state == AdministrativeState::kDrained;
  return {{key::kDrainedEndpoint, message.endpoint.value()}, {key::kIsDrained, is_drained}};
}

Json encode(const RequestStatusChanged& message) {
  const bool is_open = message.progress == RequestProgress::kInProgress;
  return {{key::kRequest, message.id.value()}, {key::kIsOpen, is_open}};
}

Json encode(const RequestForwarded& message) { return {{key::kForwardedTo, message.endpoint.value()}}; }

Json encode(const StreamTransfer& message) {
  const std::vector<unsigned char> unread(message.unread.begin(), message.unread.end());
  Json stream = {{key::kRequestId, message.request_id.value()},
                 {key::kEndpoint, message.endpoint.value()},
                 {key::kUnread, unread},
                 {key::kChunkLeft, message.chunk_left},
                 {key::kKeepAlive, message.keep_alive}};
  if (message.silent_since) stream[key::kSilentSince] = message.silent_since->count();
  return {{key::kStream, std::move(stream)}};
}

Json encode(const VrrpLeft& message) {
  Json object = {{key::kVrrp, message.role == VrrpRole::kActive}};
  if (message.active_down_at) object[key::kActiveDownAt] = message.active_down_at->count();
  return object;
}

Json encode(const ConnectionsInUse& message) {
  return {{key::kConnections, {{key::kClients, message.clients}, {key::kUpstream, message.endpoints}}}};
}

std::vector<Message> decode(const Json& object, PeerRole sender) {
  if (sender == PeerRole::kPredecessor && object.contains(key::kHandover)) return {decode_handover(object)};
  if (sender == PeerRole::kSuccessor && object.contains(key::kServing)) return {SuccessorServing{}};
  if (sender == PeerRole::kSuccessor && object.contains(key::kReplaced)) return {SuccessorReplaced{}};
  std::vector<Message> messages;
  if (object.contains(key::kDrainedEndpoint)) messages.push_back(decode_administrative_state(object));
  if (object.contains(key::kRequest)) messages.push_back(decode_request_status(object));
  if (object.contains(key::kForwardedTo))
    messages.emplace_back(RequestForwarded{text_member(object, key::kForwardedTo)});
  if (object.contains(key::kStream)) messages.push_back(decode_stream(object.at(key::kStream)));
  if (object.contains(key::kVrrp)) messages.push_back(decode_vrrp_left(object));
  if (sender == PeerRole::kPredecessor && object.contains(key::kConnections)) {
    const Json& connections = object.at(key::kConnections);
    messages.emplace_back(ConnectionsInUse{count_member(connections, key::kClients),
                                           count_member(connections, key::kUpstream)});
  }
  return messages;
}

}  // namespace dispatcher::hot_restart
