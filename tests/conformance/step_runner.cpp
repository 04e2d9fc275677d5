#include "step_runner.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

namespace dispatcher::routing::conformance {

void StepRunner::run(const Json& step) {
  struct Kind {
    const char* field;
    void (StepRunner::*run)(const Json&);
  };
  static constexpr std::array kKinds = {Kind{"list", &StepRunner::run_list},
                                        Kind{"ask", &StepRunner::run_request},
                                        Kind{"teach", &StepRunner::run_cached_prefixes},
                                        Kind{"reports", &StepRunner::run_reports},
                                        Kind{"read", &StepRunner::run_read},
                                        Kind{"first", &StepRunner::run_first_token},
                                        Kind{"serve", &StepRunner::run_serve},
                                        Kind{"gone", &StepRunner::run_disconnect},
                                        Kind{"end", &StepRunner::run_failure},
                                        Kind{"states", &StepRunner::run_states},
                                        Kind{"streams", &StepRunner::run_streams},
                                        Kind{"wait_ms", &StepRunner::run_wait},
                                        Kind{"maintenance", &StepRunner::run_maintenance}};
  const auto kind =
      std::ranges::find_if(kKinds, [&step](const Kind& each) { return step.contains(each.field); });
  if (kind == kKinds.end()) fail("unknown step: " + step.dump());
  (this->*kind->run)(step);
}

void StepRunner::run_list(const Json& step) {
  require_known_fields(step, {"list", "delta"});
  EndpointList list{step.value("delta", false) ? ListKind::kDelta : ListKind::kFull, {}};
  for (const Json& json : step.at("list")) list.entries.push_back(parse_endpoint(json));
  runner_.update_endpoints(list);
}

void StepRunner::run_request(const Json& step) {
  require_known_fields(step, {"ask", "at", "refused"});
  const Request request = runner_.make_request(step.at("ask"));
  std::optional<EndpointId> only_at;
  if (step.contains("at")) only_at = step.at("at").get<std::string>();
  runner_.submit(request, only_at);
  const bool is_rejection_expected = step.value("refused", false);
  if (runner_.is_over(request.id) != is_rejection_expected)
    fail((is_rejection_expected ? "not rejected: " : "rejected: ") + step.dump());
}

// Runs complete reads that leave nothing behind but cached prefixes, for one session after the other.
void StepRunner::run_cached_prefixes(const Json& step) {
  require_known_fields(step, {"teach", "session", "shared", "prompt", "prefix", "times"});
  const EndpointId endpoint = step.at("teach").get<std::string>();
  Json fields = step;
  fields.erase("teach");
  fields.erase("times");
  for (int i = 0; i < step.value("times", 1); ++i) {
    Request request = runner_.make_request(fields);
    request.id = runner_.make_unnamed_request().id;
    if (request.session != 0) request.session += static_cast<std::uint64_t>(i);
    runner_.submit(request, endpoint);
    if (runner_.role(endpoint) == Role::kMixed) {
      runner_.disconnect_client(request.id);
    } else {
      runner_.complete(request.id, AttemptStatus::kRead, {.is_finished = true});
    }
  }
}

void StepRunner::run_reports(const Json& step) {
  require_known_fields(step, {"reports"});
  for (const auto& item : step.at("reports").items()) report_load(item.key(), parse_report(item.value()));
}

// Reports the load at the end of a request that has no session or shared prefix. The request is read at a
// reader, written at a writer, or cancelled at a mixed endpoint.
void StepRunner::report_load(const EndpointId& endpoint, const LoadReport& report) {
  const Request request = runner_.make_unnamed_request();
  switch (runner_.role(endpoint)) {
    case Role::kWriter:
      runner_.submit(request);
      runner_.complete_read(request.id, endpoint);
      runner_.send_first_token(request.id);
      return runner_.serve(request.id, report);
    case Role::kMixed:
      runner_.submit(request, endpoint);
      return runner_.disconnect_client(request.id, report);
    case Role::kReader:
      runner_.submit(request, endpoint);
      return runner_.complete(request.id, AttemptStatus::kRead, {.report = report, .is_finished = true});
  }
}

void StepRunner::run_read(const Json& step) {
  require_known_fields(step, {"read", "report", "note", "finished"});
  TableRunner::AttemptEnd end;
  end.report = parse_report(step.value("report", Json::object()));
  if (step.contains("note")) end.cached_tokens = step.at("note").get<int>();
  end.is_finished = step.value("finished", false);
  runner_.complete(step.at("read").get<std::string>(), AttemptStatus::kRead, end);
}

void StepRunner::run_first_token(const Json& step) {
  require_known_fields(step, {"first", "took_ms"});
  runner_.send_first_token(step.at("first").get<std::string>(), parse_milliseconds(step, "took_ms", 20));
}

void StepRunner::run_serve(const Json& step) {
  require_known_fields(step, {"serve"});
  runner_.serve(step.at("serve").get<std::string>());
}

void StepRunner::run_disconnect(const Json& step) {
  require_known_fields(step, {"gone"});
  runner_.disconnect_client(step.at("gone").get<std::string>());
}

// A note of 1 means that there is evidence.
void StepRunner::run_failure(const Json& step) {
  require_known_fields(step, {"end", "verdict", "note"});
  const AttemptStatus status = parse_failure(step.at("verdict"));
  runner_.complete(step.at("end").get<std::string>(), status, {.has_evidence = step.value("note", 0) == 1});
}

StepRunner::StateEnd StepRunner::parse_state_end(const std::string& word) {
  if (word == "read") return StateEnd::kRead;
  if (word == "fetched") return StateEnd::kFetched;
  if (word == "gone") return StateEnd::kDisconnected;
  fail("unknown word: " + word);
}

StepRunner::StreamEnd StepRunner::parse_stream_end(const std::string& word) {
  if (word == "sent") return StreamEnd::kSent;
  if (word == "begun") return StreamEnd::kBegun;
  if (word == "served") return StreamEnd::kServed;
  fail("unknown word: " + word);
}

void StepRunner::run_states(const Json& step) {
  require_known_fields(step, {"states", "count", "until"});
  create_prompt_states(step.at("states").get<std::string>(), step.value("count", 1),
                       parse_state_end(step.value("until", "read")));
}

// Creates requests that are read at the reader and whose prompt states wait there for a writer, until `end`.
void StepRunner::create_prompt_states(const EndpointId& reader, int count, StateEnd end) {
  std::vector<RequestId> ids;
  for (int i = 0; i < count; ++i) {
    const Request request = runner_.make_unnamed_request();
    runner_.submit(request, reader);
    runner_.complete_read(request.id);
    ids.push_back(request.id);
  }
  for (const RequestId& id : ids) {
    if (end == StateEnd::kDisconnected) runner_.disconnect_client(id);
    if (end == StateEnd::kFetched) runner_.send_first_token(id);
  }
}

void StepRunner::run_streams(const Json& step) {
  require_known_fields(step, {"streams", "count", "until"});
  const StreamEnd end = parse_stream_end(step.value("until", "begun"));
  for (int i = 0; i < step.value("count", 1); ++i) open_stream(step.at("streams").get<std::string>(), end);
}

void StepRunner::open_stream(const EndpointId& endpoint, StreamEnd end) {
  const Request request = runner_.make_unnamed_request();
  if (runner_.role(endpoint) == Role::kWriter) {
    runner_.submit(request);
    runner_.complete_read(request.id, endpoint);
  } else {
    runner_.submit(request, endpoint);
  }
  if (end == StreamEnd::kSent) return;
  runner_.send_first_token(request.id);
  if (end == StreamEnd::kServed) runner_.serve(request.id);
}

void StepRunner::run_wait(const Json& step) {
  require_known_fields(step, {"wait_ms"});
  runner_.advance(parse_milliseconds(step, "wait_ms"));
}

void StepRunner::run_maintenance(const Json& step) {
  require_known_fields(step, {"maintenance", "offline"});
  const bool is_drained = step.at("offline");
  const auto state = is_drained ? AdministrativeState::kDrained : AdministrativeState::kInService;
  runner_.set_administrative_state(step.at("maintenance").get<std::string>(), state);
}

}  // namespace dispatcher::routing::conformance
