#include "adapter/event_decoder.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "adapter/protocol_names.hpp"
#include "json/load_report.hpp"

namespace dispatcher::simulator_adapter {
namespace {

using json::optional_duration;
using json::optional_member;
using json::ParseError;
using json::ParseProblem;
using json::required_duration;
using json::required_member;
using routing::AttemptCompleted;
using routing::AttemptEvidence;
using routing::AttemptStatus;
using routing::EndpointInfo;
using routing::EndpointList;
using routing::EndpointState;
using routing::Event;
using routing::FirstToken;
using routing::ListKind;
using routing::LoadReport;
using routing::Request;
using routing::ReservationOutcome;
using routing::ReservationResult;

// Bits of a request's flags; the router uses no others.
constexpr std::uint64_t kHasLengthHintFlag = 1;
constexpr std::uint64_t kClientRetryFlag = 2;
constexpr std::uint64_t kResubmittedFlag = 16;

constexpr int kReservationHeld = 1;  // every other value means denied
constexpr int kEvidenceNote = 1;     // note of a failed attempt; every other value means no evidence

// A value of the protocol and the enumerator that it stands for.
template <class Wire, class Enum>
struct WireValue {
  Wire wire;
  Enum value;
};

constexpr WireValue<std::string_view, AttemptStatus> kAttemptStatuses[] = {
    {"S", AttemptStatus::kServed},
    {"E", AttemptStatus::kError},
    {"F", AttemptStatus::kFull},
    {"T", AttemptStatus::kTimeout},
    {"C", AttemptStatus::kConnectFailed},
    {"R", AttemptStatus::kReset},
    {"X", AttemptStatus::kCancelled},
    {"N", AttemptStatus::kNeverSent},
    {"ready_to_answer", AttemptStatus::kRead}};
constexpr WireValue<int, ListKind> kListKinds[] = {
    {0, ListKind::kFull}, {1, ListKind::kFailed}, {2, ListKind::kCached}, {3, ListKind::kDelta}};
constexpr WireValue<int, EndpointState> kEndpointStates[] = {
    {1, EndpointState::kRemoved}, {2, EndpointState::kDraining}, {3, EndpointState::kReady}};

// Returns the enumerator of a protocol value; empty if the value is unknown.
template <class Wire, class Enum, std::size_t size>
std::optional<Enum> find_enumerator(const WireValue<Wire, Enum> (&known)[size], const Wire& wire) {
  for (const WireValue<Wire, Enum>& candidate : known) {
    if (candidate.wire == wire) return candidate.value;
  }
  return std::nullopt;
}

AttemptStatus decode_attempt_status(const std::string& name) {
  const auto status = find_enumerator(kAttemptStatuses, std::string_view(name));
  if (!status) throw ParseError(ParseProblem::kInvalidValue, fields::kStatus, "unknown word '" + name + "'");
  return *status;
}

ListKind decode_list_kind(int number) {
  const auto kind = find_enumerator(kListKinds, number);
  if (!kind) json::throw_unexpected(fields::kListKind, "0 to 3");
  return *kind;
}

EndpointState decode_endpoint_state(int number) {
  const auto state = find_enumerator(kEndpointStates, number);
  if (!state) json::throw_unexpected(fields::kEndpointState, "1 to 3");
  return *state;
}

EndpointInfo decode_endpoint(const Json& source) {
  EndpointInfo endpoint;
  endpoint.endpoint = required_member<std::string>(source, fields::kEndpoint);
  endpoint.zone = optional_member<std::string>(source, fields::kZone);
  endpoint.kind = required_member<std::string>(source, fields::kEndpointKind);
  endpoint.cell = optional_member<int>(source, fields::kCell);
  endpoint.weight = optional_member<double>(source, fields::kWeight, 1.0);
  endpoint.started = optional_duration(source, fields::kStarted);
  endpoint.state = decode_endpoint_state(required_member<int>(source, fields::kEndpointState));
  return endpoint;
}

LoadReport decode_load_report(const Json& message) {
  const Json* report = json::find_member(message, fields::kLoadReport);
  if (report == nullptr) return {};
  if (!report->is_object()) json::throw_unexpected(fields::kLoadReport, "object");
  return json::parse_load_report(*report);
}

// Returns the tenant's name; empty if the member is not a string.
std::string decode_tenant(const Json& message) {
  const Json* tenant = json::find_member(message, fields::kTenant);
  return tenant != nullptr && tenant->is_string() ? tenant->get<std::string>() : std::string();
}

Request decode_request(const Json& message) {
  Request request;
  request.id = required_member<std::string>(message, fields::kRequest);
  request.request_class = required_member<std::string>(message, fields::kRequestClass);
  request.tenant = decode_tenant(message);
  request.session = optional_member<std::uint64_t>(message, fields::kSession);
  request.shared_prefix = optional_member<std::uint64_t>(message, fields::kSharedPrefix);
  request.prompt_tokens = required_member<int>(message, fields::kPromptTokens);
  request.prefix_tokens = optional_member<int>(message, fields::kPrefixTokens);
  request.max_tokens = optional_member<int>(message, fields::kMaxTokens);
  request.client_deadline = required_duration(message, fields::kClientDeadline);
  const auto flags = optional_member<std::uint64_t>(message, fields::kRequestFlags);
  if ((flags & kHasLengthHintFlag) != 0)
    request.length_hint = optional_duration(message, fields::kLengthHint);
  request.client_retry = (flags & kClientRetryFlag) != 0;
  request.resubmitted = (flags & kResubmittedFlag) != 0;
  return request;
}

// Decodes the note of a completed attempt, a number whose meaning depends on the attempt's status.
void decode_note(int note, AttemptCompleted& completed) {
  switch (completed.status) {
    case AttemptStatus::kRead:
    case AttemptStatus::kServed:
      completed.cached_prompt_tokens = note;
      return;
    case AttemptStatus::kFull:
      if (note == kEvidenceNote) completed.evidence = AttemptEvidence::kStateNotFound;
      return;
    default:
      if (note == kEvidenceNote) completed.evidence = AttemptEvidence::kEndpointRunning;
  }
}

AttemptCompleted decode_attempt_completed(const Json& message) {
  AttemptCompleted result;
  result.request = required_member<std::string>(message, fields::kRequest);
  result.endpoint = required_member<std::string>(message, fields::kEndpoint);
  result.attempt = optional_member<int>(message, fields::kAttempt);
  result.status = decode_attempt_status(required_member<std::string>(message, fields::kStatus));
  result.elapsed = optional_duration(message, fields::kElapsed);
  result.finished = optional_member<bool>(message, fields::kFinished);
  decode_note(optional_member<int>(message, fields::kNote), result);
  result.report = decode_load_report(message);
  return result;
}

FirstToken decode_first_token(const Json& message) {
  FirstToken token;
  token.request = required_member<std::string>(message, fields::kRequest);
  token.endpoint = required_member<std::string>(message, fields::kEndpoint);
  token.attempt = optional_member<int>(message, fields::kAttempt);
  token.elapsed = optional_duration(message, fields::kElapsed);
  return token;
}

ReservationResult decode_reservation_result(const Json& message) {
  ReservationResult result;
  result.request = required_member<std::string>(message, fields::kRequest);
  result.endpoint = required_member<std::string>(message, fields::kEndpoint);
  const int status = required_member<int>(message, fields::kReservationStatus);
  result.outcome = status == kReservationHeld ? ReservationOutcome::kReserved : ReservationOutcome::kDenied;
  return result;
}

}  // namespace

EndpointList decode_endpoint_list(const Json& message, const Json& page) {
  EndpointList list;
  list.kind = decode_list_kind(required_member<int>(message, fields::kListKind));
  if (list.kind == ListKind::kFailed) return list;
  if (!page.is_array()) throw ParseError(ParseProblem::kInvalidValue, fields::kPage, "no such page");
  for (const Json& entry : page) list.entries.push_back(decode_endpoint(entry));
  return list;
}

std::optional<Event> decode_event(const std::string& name, const Json& message) {
  if (name == dispatcher_messages::kRequest) return decode_request(message);
  if (name == dispatcher_messages::kAttemptCompleted) return decode_attempt_completed(message);
  if (name == dispatcher_messages::kFirstToken) return decode_first_token(message);
  if (name == dispatcher_messages::kReservationResult) return decode_reservation_result(message);
  if (name == dispatcher_messages::kClientGone)
    return routing::ClientGone{required_member<std::string>(message, fields::kRequest)};
  if (name == dispatcher_messages::kTimerExpired)
    return routing::TimerExpired{required_member<std::uint64_t>(message, fields::kTimerTag)};
  return std::nullopt;
}

}  // namespace dispatcher::simulator_adapter
