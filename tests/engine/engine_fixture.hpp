// The fixture of the tests of the engine alone: an engine whose upstream client and sink only record calls.
#ifndef DISPATCHER_TESTS_ENGINE_ENGINE_FIXTURE_HPP_
#define DISPATCHER_TESTS_ENGINE_ENGINE_FIXTURE_HPP_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {

// An engine with two readers and two writers, a clock that the test advances, and a record of the engine's
// calls. `calls` names them as follows: "send r" and "send w" start an attempt at a reader or writer,
// "abandon" cancels one, "release" releases reservations, "begin" starts a stream, "finish" completes it,
// "cut" aborts it, "refuse" rejects a request ("with advice" if a retry time is given), and "fail" fails it
// ("late" at its deadline).
struct EngineFixture : engine::UpstreamClient, engine::ResponseSink {
  EngineFixture()
      : engine(
            std::make_shared<const routing::Settings>(make_settings()), 1, *this, timers,
            [this] { return now; }, [](std::string_view) {}) {
    routing::EndpointList list{routing::ListKind::kFull, {}};
    for (const std::string endpoint : {"r1", "r2", "w1", "w2"})
      list.entries.push_back(make_endpoint(endpoint));
    engine.update_endpoints(list);
  }
  net::SlotId submit(const std::string& id, const std::string& request_class = "command") {
    auto message = std::make_shared<engine::UpstreamRequest>();
    message->id = id;
    routing::Request request;
    request.id = id;
    request.request_class = request_class;
    request.prompt_tokens = 1000;
    request.client_deadline = now + seconds(3);
    return engine.submit(*this, {1, 1}, request, message);
  }
  void advance(engine::Duration time) {
    for (const engine::Time end = now + time; now < end;) {
      now += milliseconds(5);
      timers.run(now);
    }
  }
  // Submits a non-idempotent request, completes its read and advances to the tick of its deadline, without
  // running that tick's timers.
  void submit_and_reach_deadline() {
    submit("a");
    complete_read(0);
    advance(seconds(3) - milliseconds(5));
    now += milliseconds(5);
  }
  void complete_read(int attempt) {
    engine.on_attempt_completed(started[static_cast<std::size_t>(attempt)],
                                {routing::AttemptStatus::kRead, 0, {}, {}});
  }

  void start_attempt(engine::AttemptId attempt, const engine::EndpointId& endpoint,
                     std::shared_ptr<const engine::UpstreamRequest>, engine::Time, engine::Time) override {
    started.push_back(attempt);
    calls.push_back("send " + endpoint.value().substr(0, 1));
  }
  bool cancel_attempt(engine::AttemptId) override {
    calls.push_back("abandon");
    return delivered;
  }
  void pause_reading(engine::AttemptId) override { calls.push_back("pause"); }
  void resume_reading(engine::AttemptId) override { calls.push_back("resume"); }
  void reserve_slot(engine::AttemptId, const engine::EndpointId&, const engine::RequestId&) override {}
  bool is_endpoint_silent(engine::AttemptId) override { return endpoint_silent; }
  void cancel_release(const engine::RequestId&) override { ++cancelled_releases; }
  void release_reservation(const engine::RequestId& id, const engine::LateReads& late_reads) override {
    calls.push_back("release");
    late_reads_of_release = late_reads;
    if (confirms_releases) timers.add(now, [this, id] { engine.on_reservation_released(id, {}); });
  }
  bool is_client_connected(SlotId) override { return client_connected; }
  bool has_unread_response(engine::AttemptId) override { return false; }
  bool has_connection(engine::AttemptId) override { return connected; }
  void start_stream(SlotId) override { calls.push_back("begin"); }
  bool write_events(SlotId, std::string_view) override { return has_capacity; }
  void finish_stream(SlotId) override { calls.push_back("finish"); }
  void abort_stream(SlotId) override { calls.push_back("cut"); }
  void reject(SlotId, std::optional<engine::Duration> retry_after) override {
    calls.push_back(retry_after ? "refuse with advice" : "refuse");
  }
  void fail(SlotId, engine::Failure failure) override {
    calls.push_back(failure == engine::Failure::kDeadlineExceeded ? "fail late" : "fail");
  }
  using Calls = std::vector<std::string>;
  engine::Time now = seconds(1'800'000'000);
  engine::TimerQueue timers;
  bool delivered = true;          // cancelled attempts had been written in full
  bool has_capacity = true;       // the client has capacity for further events
  bool connected = true;          // attempts have established connections
  bool confirms_releases = true;  // releases are confirmed when timers run next
  bool client_connected = true;
  bool endpoint_silent = false;  // nothing was received since the attempt was written
  int cancelled_releases = 0;
  engine::LateReads late_reads_of_release;
  std::vector<engine::AttemptId> started;
  Calls calls;
  engine::Engine engine;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_ENGINE_ENGINE_FIXTURE_HPP_
