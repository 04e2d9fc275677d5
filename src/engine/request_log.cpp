#include "engine/request_log.hpp"

#include <array>
#include <cstdio>

namespace dispatcher::engine {

namespace {

constexpr std::array<std::string_view, 9> kAttemptStatusNames = {
    "served", "error", "full", "timeout", "connect-failed", "reset", "cancelled", "never-sent", "read"};

std::string_view name_of(AttemptEndReason reason) {
  constexpr std::array<std::string_view, 18> kNames = {
      "unspecified",     "response-complete", "invalid-request",   "no-connection-allowed", "connect-timeout",
      "connect-refused", "endpoint-changed",  "connection-closed", "early-response",        "malformed",
      "no-time-left",    "deadline",          "cancelled",         "client-gone",           "stream-idle",
      "stream-migrated", "answered",          "not-started"};
  return kNames.at(static_cast<std::size_t>(reason));
}

std::string_view name_of(routing::GiveUpReason reason) {
  constexpr std::array<std::string_view, 9> kNames = {"unknown-class",       "load-shed",     "no-endpoint",
                                                      "attempts-used-up",    "deadline-near", "window-over",
                                                      "reservation-expired", "may-have-run",  "never-sent"};
  return kNames.at(static_cast<std::size_t>(reason));
}

std::string_view name_of(ReleaseReason reason) {
  return reason == ReleaseReason::kRouter ? "router" : "possibly-left";
}

std::string milliseconds_text(routing::Duration duration) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", static_cast<double>(duration.count()) / 1000);
  return text.data();
}

std::string attempt_fields(const routing::EndpointId& endpoint, int attempt) {
  return " attempt=" + std::to_string(attempt) + " host=" + endpoint.value();
}

// Returns the value of the log's field `note`: the cached prompt tokens if the attempt succeeded, otherwise 1
// if its end gave evidence and 0 if not.
int logged_note(const routing::AttemptCompleted& outcome) {
  const bool succeeded =
      outcome.status == routing::AttemptStatus::kServed || outcome.status == routing::AttemptStatus::kRead;
  if (succeeded) return outcome.cached_prompt_tokens;
  return outcome.evidence == routing::AttemptEvidence::kNone ? 0 : 1;
}

}  // namespace

void RequestLog::log_received(const routing::Request& request, routing::Time now) const {
  if (!sink_) return;
  write(request.id, "taken class=" + request.request_class + " account=" + request.tenant +
                        " left=" + milliseconds_text(request.client_deadline - now) +
                        " prompt=" + std::to_string(request.prompt_tokens) + " opening=" +
                        std::to_string(request.shared_prefix) + ":" + std::to_string(request.prefix_tokens) +
                        " session=" + std::to_string(request.session) +
                        " repeat=" + (request.client_retry ? "1" : "0"));
}

void RequestLog::log_attempt_started(const routing::RequestId& id, const routing::EndpointId& endpoint,
                                     int attempt, routing::Duration time_left) const {
  if (!sink_) return;
  write(id, "sent" + attempt_fields(endpoint, attempt) + " left=" + milliseconds_text(time_left));
}

void RequestLog::log_attempt_written(const routing::RequestId& id, const routing::EndpointId& endpoint,
                                     int attempt, ConnectionUse use) const {
  if (!sink_) return;
  const bool is_reused = use == ConnectionUse::kReused;
  write(id, "written" + attempt_fields(endpoint, attempt) + " connection=" + (is_reused ? "reused" : "new"));
}

void RequestLog::log_first_token(const routing::RequestId& id, const routing::EndpointId& endpoint,
                                 int attempt, routing::Duration elapsed) const {
  if (!sink_) return;
  write(id, "first" + attempt_fields(endpoint, attempt) + " ms=" + milliseconds_text(elapsed));
}

void RequestLog::log_attempt_completed(const routing::AttemptCompleted& outcome,
                                       AttemptEndReason reason) const {
  if (!sink_) return;
  const std::string_view status = kAttemptStatusNames.at(static_cast<std::size_t>(outcome.status));
  std::string text = "ended" + attempt_fields(outcome.endpoint, outcome.attempt) +
                     " verdict=" + std::string(status) + " ms=" + milliseconds_text(outcome.elapsed) +
                     " note=" + std::to_string(logged_note(outcome)) +
                     " reason=" + std::string(name_of(reason));
  const routing::LoadReport& report = outcome.report;
  if (report.memory_share) text += " memory=" + std::to_string(*report.memory_share);
  if (report.prompt_kilotokens) text += " waiting=" + std::to_string(*report.prompt_kilotokens);
  write(outcome.request, text);
}

void RequestLog::log_rejected(const routing::RequestId& id, routing::GiveUpReason reason) const {
  if (sink_) write(id, "answered refused reason=" + std::string(name_of(reason)));
}

void RequestLog::log_failed(const routing::RequestId& id, routing::GiveUpReason reason) const {
  if (sink_) write(id, "answered failed reason=" + std::string(name_of(reason)));
}

void RequestLog::log_answered(const routing::RequestId& id, std::string_view how) const {
  if (sink_) write(id, "answered " + std::string(how));
}

void RequestLog::log_release_requested(const routing::RequestId& id, ReleaseReason reason) const {
  if (sink_) write(id, "release reason=" + std::string(name_of(reason)));
}

void RequestLog::log_release_confirmed(const routing::RequestId& id,
                                       const ReleaseConfirmation& confirmation) const {
  if (!sink_) return;
  write(id, "released host=" + confirmation.endpoint.value() + " calls=" +
                std::to_string(confirmation.calls) + " ms=" + milliseconds_text(confirmation.elapsed));
}

}  // namespace dispatcher::engine
