#include "upstream/exchange.hpp"

#include <nlohmann/json.hpp>

#include "json/load_report.hpp"

namespace dispatcher::upstream {

using routing::AttemptStatus;
using Json = nlohmann::json;

namespace {

constexpr std::string_view kLoadComment = ": X-Backend-Load:";

std::string request_head(std::string_view method, std::string_view target) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: backend.local\r\n");
  return text;
}

// What is wrong is the request, whoever it is sent to: not the time or the load.
bool rejects_request(unsigned status) {
  return status / 100 == 4 && status != 408 && status != 425 && status != 429;
}

int cached_tokens(const Json& object) {
  if (!object.is_object()) return 0;
  const auto it = object.find("cached_tokens");
  return it != object.end() && it->is_number_integer() ? it->get<int>() : 0;
}

routing::LoadReport parse_report(std::string_view text) {
  const Json fields = Json::parse(text, nullptr, false);
  if (!fields.is_object()) return {};
  try {
    const routing::LoadReport report = json::parse_load_report(fields);
    const auto sound = [](const std::optional<double>& value) {
      return !value || (*value >= 0 && *value < 1e6);
    };
    const bool all = sound(report.in_hand) && sound(report.memory_share) && sound(report.prompt_kilotokens);
    return all ? report : routing::LoadReport{};
  } catch (const json::ParseError&) {
    return {};  // the answer is good all the same
  }
}

}  // namespace

std::string request_text(const engine::UpstreamRequest& m, engine::Duration left) {
  std::string text = request_head(m.method, m.target);
  text += "X-Correlation-Id: " + m.id + "\r\nX-Time-Left-Ms: " + std::to_string(left.count() / 1000) + "\r\n";
  text += m.headers;
  text += "Content-Length: " + std::to_string(m.body.size()) + "\r\n\r\n";
  return text + m.body;
}

std::string lease_text(std::string_view method, const std::string& id) {
  return request_head(method, "/kv/leases/" + id) + "Content-Length: 0\r\n\r\n";
}

void note_event(const std::string& event, engine::AttemptResult& ending) {
  if (event.starts_with(kLoadComment)) {
    ending.report = parse_report(std::string_view(event).substr(kLoadComment.size()));
  } else if (event.find("\"cached_tokens\"") != std::string::npos) {
    const Json usage = Json::parse(http::event_field(event, "data"), nullptr, false);
    const auto path = Json::json_pointer("/usage/prompt_tokens_details");
    if (usage.is_object() && usage.contains(path)) ending.note = cached_tokens(usage.at(path));
  }
}

engine::AttemptResult judge(const http::ResponseReader::Message& message, std::string_view rest,
                            engine::AttemptResult ending) {
  const auto load = http::header(message, "X-Backend-Load");
  if (!load.empty()) ending.report = parse_report(load);
  const bool never_ran = http::header(message, "X-Unprocessed") == "1";
  switch (message.result_int()) {
    case 200:  // a comment needs no blank line at the very end; anything else there is an event cut short
      if (rest.starts_with(kLoadComment)) ending.report = parse_report(rest.substr(kLoadComment.size()));
      if (rest.empty() || rest.front() == ':') {
        ending.status = AttemptStatus::kServed;
      } else {
        ending.status = AttemptStatus::kReset;
        ending.note = 1;
      }
      break;
    case 202:
      ending.status = AttemptStatus::kRead;
      ending.note = cached_tokens(Json::parse(message.body(), nullptr, false));
      break;
    case 410:
      ending.status = never_ran ? AttemptStatus::kFull : AttemptStatus::kError;
      ending.note = never_ran ? 1 : 0;
      break;
    case 503:
    case 504:
      ending.status = never_ran ? AttemptStatus::kFull : AttemptStatus::kError;
      break;
    default:
      ending.status = AttemptStatus::kError;
      ending.unusable = rejects_request(message.result_int());
      if (ending.unusable) ending.status = AttemptStatus::kNeverSent;  // no sign of the replica's health
  }
  return ending;
}

bool is_usual(int status) {
  return status == 200 || status == 202 || status == 410 || status == 500 || status == 503 || status == 504;
}

}  // namespace dispatcher::upstream
