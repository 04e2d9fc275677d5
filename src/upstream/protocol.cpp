#include "upstream/protocol.hpp"

#include <nlohmann/json.hpp>
#include <optional>

#include "json/load_report.hpp"

namespace dispatcher::upstream {

using routing::AttemptEvidence;
using routing::AttemptStatus;
using Json = nlohmann::json;

namespace {

// The start of an event-stream comment that carries a load report, like the response header of that name.
constexpr std::string_view kLoadComment = ": X-Backend-Load:";

// A load report that contains a number of this size or larger is ignored as an error of the endpoint.
constexpr double kMaxReportedValue = 1e6;

std::string request_head(std::string_view method, std::string_view target) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: backend.local\r\n");
  return text;
}

std::string reservation_text(std::string_view method, const engine::RequestId& request_id) {
  return request_head(method, "/kv/leases/" + request_id.value()) + "Content-Length: 0\r\n\r\n";
}

// Returns whether the status says that the request itself is invalid, at any endpoint, time and load.
bool rejects_request(int status) {
  const bool is_temporary =
      status == kHttpRequestTimeout || status == kHttpTooEarly || status == kHttpTooManyRequests;
  return status / 100 == 4 && !is_temporary;
}

int cached_tokens(const Json& object) {
  if (!object.is_object()) return 0;
  const auto it = object.find("cached_tokens");
  return it != object.end() && it->is_number_integer() ? it->get<int>() : 0;
}

bool is_plausible(const std::optional<double>& value) {
  return !value || (*value >= 0 && *value < kMaxReportedValue);
}

// Returns an empty report if the text is not a valid report; the response stays valid.
routing::LoadReport parse_report(std::string_view text) {
  const Json fields = Json::parse(text, nullptr, false);
  if (!fields.is_object()) return {};
  try {
    const routing::LoadReport report = json::parse_load_report(fields);
    const bool are_plausible = is_plausible(report.in_flight) && is_plausible(report.memory_share) &&
                               is_plausible(report.prompt_kilotokens);
    return are_plausible ? report : routing::LoadReport{};
  } catch (const json::ParseError&) {
    return {};
  }
}

// Interprets the end of a stream, which is complete or truncated within an event. A comment at the end of the
// stream needs no blank line after it.
void interpret_stream_end(std::string_view unfinished_event, engine::AttemptResult& result) {
  if (unfinished_event.starts_with(kLoadComment)) {
    result.report = parse_report(unfinished_event.substr(kLoadComment.size()));
  }
  if (unfinished_event.empty() || unfinished_event.front() == ':') {
    result.status = AttemptStatus::kServed;
    return;
  }
  result.status = AttemptStatus::kReset;
  result.evidence = AttemptEvidence::kEndpointRunning;
}

}  // namespace

std::string request_text(const engine::UpstreamRequest& request, engine::Duration time_left) {
  std::string text = request_head(request.method, request.target);
  text += "X-Correlation-Id: " + request.id.value() + "\r\n";
  text += "X-Time-Left-Ms: " + std::to_string(time_left.count() / 1000) + "\r\n";
  text += request.headers;
  text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
  return text + request.body;
}

std::string reserve_text(const engine::RequestId& request_id) { return reservation_text("POST", request_id); }

std::string release_text(const engine::RequestId& request_id) {
  return reservation_text("DELETE", request_id);
}

void record_event_metadata(const std::string& event, engine::AttemptResult& result) {
  if (event.starts_with(kLoadComment)) {
    result.report = parse_report(std::string_view(event).substr(kLoadComment.size()));
    return;
  }
  if (event.find("\"cached_tokens\"") == std::string::npos) return;
  const Json usage = Json::parse(http::event_field(event, "data"), nullptr, false);
  const auto path = Json::json_pointer("/usage/prompt_tokens_details");
  if (usage.is_object() && usage.contains(path)) result.cached_prompt_tokens = cached_tokens(usage.at(path));
}

engine::AttemptResult interpret_response(const http::ResponseReader::Message& response,
                                         std::string_view unfinished_event, engine::AttemptResult result) {
  const auto load = http::header(response, "X-Backend-Load");
  if (!load.empty()) result.report = parse_report(load);
  const bool is_unprocessed = http::header(response, "X-Unprocessed") == "1";
  const int status = static_cast<int>(response.result_int());
  switch (status) {
    case kHttpOk:
      interpret_stream_end(unfinished_event, result);
      break;
    case kHttpAccepted:
      result.status = AttemptStatus::kRead;
      result.cached_prompt_tokens = cached_tokens(Json::parse(response.body(), nullptr, false));
      break;
    case kHttpGone:
      result.status = is_unprocessed ? AttemptStatus::kFull : AttemptStatus::kError;
      if (is_unprocessed) result.evidence = AttemptEvidence::kStateNotFound;
      break;
    case kHttpServiceUnavailable:
    case kHttpGatewayTimeout:
      result.status = is_unprocessed ? AttemptStatus::kFull : AttemptStatus::kError;
      break;
    default:
      result.invalid_request = rejects_request(status);
      // A request that is invalid at every endpoint says nothing about this endpoint's health.
      result.status = result.invalid_request ? AttemptStatus::kNeverSent : AttemptStatus::kError;
  }
  return result;
}

bool is_expected_status(int status) {
  switch (status) {
    case kHttpOk:
    case kHttpAccepted:
    case kHttpGone:
    case kHttpInternalServerError:
    case kHttpServiceUnavailable:
    case kHttpGatewayTimeout:
      return true;
    default:
      return false;
  }
}

}  // namespace dispatcher::upstream
