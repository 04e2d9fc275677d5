// Retries: which requests may be sent again, where to, and how often.
#include <string>
#include <variant>
#include <vector>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

// The statuses after which it is unknown whether the request ran.
constexpr AttemptStatus kUncertainStatuses[] = {AttemptStatus::kError, AttemptStatus::kTimeout,
                                                AttemptStatus::kReset, AttemptStatus::kCancelled};

TEST(RetryPolicy, LostReadIsRetriedAtAnotherReaderEvenIfNonIdempotent) {
  for (const AttemptStatus status : kUncertainStatuses) {
    RouterHarness harness;
    harness.update_endpoints(make_endpoints());
    const EndpointId first = harness.submit("a", {.request_class = "unsafe"});
    harness.complete("a", status);
    EXPECT_NE(harness.active_endpoint("a"), "");
    EXPECT_NE(harness.active_endpoint("a"), first);
  }
}

TEST(RetryPolicy, NonIdempotentRequestThatMayHaveRunFailsAndIsReleased) {
  for (const AttemptStatus status : kUncertainStatuses) {
    RouterHarness harness;
    harness.update_endpoints(make_endpoints());
    harness.submit("a", {.request_class = "unsafe"});
    harness.complete("a", AttemptStatus::kRead);
    harness.complete("a", status);
    EXPECT_EQ(harness.failed(), std::vector<RequestId>{"a"});
    EXPECT_FALSE(harness.request("a").holds_prompt_state);
  }
}

TEST(RetryPolicy, NonIdempotentRequestThatNeverRanIsRetriedAtAnotherWriter) {
  for (const AttemptStatus status : {AttemptStatus::kFull, AttemptStatus::kConnectFailed}) {
    RouterHarness harness;
    harness.update_endpoints(make_endpoints());
    harness.submit("a", {.request_class = "unsafe"});
    harness.complete("a", AttemptStatus::kRead);
    const EndpointId first = harness.active_endpoint("a");
    harness.complete("a", status);
    EXPECT_NE(harness.active_endpoint("a"), "");
    EXPECT_NE(harness.active_endpoint("a"), first);
  }
}

TEST(RetryPolicy, PromptIsReadAgainIfTheWriterFindsNoState) {
  RouterHarness harness;
  harness.update_endpoints(make_endpoints());
  harness.submit("a", {.request_class = "unsafe"});
  harness.complete("a", AttemptStatus::kRead);
  harness.complete("a", AttemptStatus::kFull, {.evidence = AttemptEvidence::kStateNotFound});
  EXPECT_TRUE(harness.is_at(Role::kReader, "a"));
}

// Only keyed requests have a deduplication window. Guards against limiting idempotent requests by it: one
// that may have run found no writer until its prompt state had to be released.
TEST(RetryPolicy, IdempotentRequestThatMayHaveRunIsRetriedAtAnotherWriter) {
  Settings settings = make_settings();
  settings.classes[0].deduplication_window = {};  // as in the settings of an idempotent class
  RouterHarness harness(settings);
  harness.update_endpoints({reader("r1"), writer("w1"), writer("w2")});
  harness.submit("a");
  harness.complete("a", AttemptStatus::kRead);
  const EndpointId first = harness.active_endpoint("a");
  harness.advance(milliseconds(100));
  harness.complete("a", AttemptStatus::kReset);
  EXPECT_NE(harness.active_endpoint("a"), "");
  EXPECT_NE(harness.active_endpoint("a"), first);
}

// A response had begun, so its writer had already fetched the prompt state. One broken response does not
// eject an endpoint.
TEST(RetryPolicy, PromptIsReadAgainAfterABrokenResponseAndItsEndpointIsNotEjected) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), writer("w1"), writer("w2")});
  harness.submit("a");
  harness.complete("a", AttemptStatus::kRead);
  const AttemptReport broken{.evidence = AttemptEvidence::kEndpointRunning};
  EXPECT_FALSE(has_log(harness.complete("a", AttemptStatus::kError, broken), "ejected"));
  EXPECT_EQ(harness.active_endpoint("a"), "r1");
}

TEST(RetryPolicy, AttemptOvertakenByLaterOnesIsCancelledEarly) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), writer("w1")});
  warm_up(harness);
  harness.submit("lost", {.session = 9001});
  for (int i = 0; i < 3; ++i) {
    const RequestId id = "q" + std::to_string(i);
    harness.submit(id, {.session = 7000 + i});
    harness.advance(milliseconds(60));
    harness.serve(id);
  }
  EXPECT_TRUE(harness.cancelled().empty());
  harness.advance(milliseconds(300));
  EXPECT_EQ(harness.cancelled(), std::vector<RequestId>{"lost"});
}

TEST(RetryPolicy, KeyedRequestIsRetriedInItsScopeAndWindow) {
  RouterHarness harness;
  harness.update_endpoints(make_endpoints());
  harness.update_endpoints({writer("w4", {.cell = 4})}, ListKind::kDelta);
  harness.submit("a", {.request_class = "keyed"});
  harness.complete("a", AttemptStatus::kRead);
  EXPECT_NE(harness.active_endpoint("a"), "w3");
  harness.complete("a", AttemptStatus::kError);
  const EndpointId second = harness.active_endpoint("a");
  EXPECT_TRUE(second == "w1" || second == "w2" || second == "w4") << second;
  harness.skip(seconds(5) + milliseconds(1));  // past the window: neither sent again nor rejected
  harness.complete("a", AttemptStatus::kError);
  harness.advance(milliseconds(300));
  EXPECT_EQ(harness.active_endpoint("a"), "");
  EXPECT_EQ(harness.failed(), std::vector<RequestId>{"a"});
}

// Guards against retries that are decided on inside the deduplication window but sent after it, because their
// connections take time (found on the bench, scenario split+brink). A retry therefore carries the time by
// which its connection must be made.
TEST(RetryPolicy, KeyedRetryDoesNotWaitForAConnectionPastItsWindow) {
  for (const char* request_class : {"keyed", "keyed-all"}) {
    RouterHarness harness;
    harness.update_endpoints(make_endpoints());
    harness.submit("a", {.request_class = request_class});
    harness.complete("a", AttemptStatus::kRead);
    const Time first = harness.now();
    harness.skip(milliseconds(4900));  // the reservation limit alone would allow 300 ms more
    harness.complete("a", AttemptStatus::kReset);
    ASSERT_TRUE(harness.is_at(Role::kWriter, "a"));
    EXPECT_NE(harness.started().back().connect_by, Time{});
    EXPECT_LE(harness.started().back().connect_by, first + seconds(5));
    harness.skip(milliseconds(100));  // a connection that is made now is too late
    harness.complete("a", AttemptStatus::kConnectFailed);
    harness.advance(milliseconds(300));
    EXPECT_EQ(harness.active_endpoint("a"), "");
    EXPECT_EQ(harness.failed().size() + harness.rejected().size(), 1U);
  }
}

// Guards against reading a prompt again after the request's deduplication window (found on the bench,
// scenario split+brink, seed 1): the first attempt, at a mixed endpoint, was reset, and the prompt was read
// again 57 ms after the window. The window limits a further read like any other attempt.
TEST(RetryPolicy, KeyedRequestIsNotReadAgainPastItsWindowOrOutsideItsScope) {
  struct Case {
    const char* request_class;
    const char* retried_at;  // inside the window, when another zone has a reader
    const std::vector<RequestId>& (RouterHarness::*answered)() const;
  };
  for (const Case& each :
       {Case{"keyed", "m1", &RouterHarness::failed}, Case{"keyed-all", "r9", &RouterHarness::rejected}}) {
    RouterHarness harness;
    harness.update_endpoints({mixed("m1")});
    ASSERT_EQ(harness.submit("a", {.request_class = each.request_class}), "m1");
    ASSERT_EQ(harness.submit("b", {.request_class = each.request_class}), "m1");
    harness.update_endpoints({reader("r9", {.zone = "west"}), writer("w9", {.zone = "west"})},
                             ListKind::kDelta);
    harness.complete("b", AttemptStatus::kReset);
    EXPECT_EQ(harness.active_endpoint("b"), each.retried_at);
    harness.update_endpoints({reader("r1"), writer("w1")}, ListKind::kDelta);
    harness.skip(seconds(5));
    harness.complete("a", AttemptStatus::kReset);
    EXPECT_EQ(harness.active_endpoint("a"), "");
    EXPECT_EQ((harness.*each.answered)(), std::vector<RequestId>{"a"})
        << "answered at once, because nothing can be sent any more";
  }
}

TEST(RetryPolicy, KeyedRequestThatAllEndpointsDeduplicateMayBeRejected) {
  Settings settings = make_settings();
  settings.max_attempts = 2;
  RouterHarness harness(settings);
  harness.update_endpoints(make_endpoints());
  harness.submit("a", {.request_class = "keyed-all"});
  harness.complete("a", AttemptStatus::kRead);
  harness.complete("a", AttemptStatus::kError);
  EXPECT_EQ(harness.rejected(), std::vector<RequestId>{"a"});
}

std::vector<EndpointInfo> eight_readers_and_eight_writers() {
  constexpr std::size_t kOfEachRole = 8;
  std::vector<EndpointInfo> endpoints;
  endpoints.reserve(2 * kOfEachRole);
  for (std::size_t i = 0; i < kOfEachRole; ++i) endpoints.push_back(reader("r" + std::to_string(i)));
  for (std::size_t i = 0; i < kOfEachRole; ++i) endpoints.push_back(writer("w" + std::to_string(i)));
  return endpoints;
}

// The endpoints at which connections fail: all readers, or five of them and all writers.
struct ConnectFailures {
  enum class At { kAllReaders, kFiveReadersAndAllWriters };
  At at{};
  int free_connect_failures = 0;
  milliseconds writer_failure_time{50};
};

// Returns the number of attempts that a request gets before it is given up.
int attempts_with(const ConnectFailures& failures) {
  Settings settings = make_settings();
  settings.max_attempts = 4;
  settings.free_connect_failures = failures.free_connect_failures;
  settings.reservation_expires_until_delivery = true;
  RouterHarness harness(settings);
  harness.update_endpoints(eight_readers_and_eight_writers());
  harness.submit("a", {.request_class = "unsafe"});
  const bool has_healthy_reader = failures.at == ConnectFailures::At::kFiveReadersAndAllWriters;
  int failed_at_readers = 0;
  while (!harness.request("a").is_over && harness.is_at(Role::kReader, "a") &&
         (failed_at_readers < 5 || !has_healthy_reader)) {
    harness.complete("a", AttemptStatus::kConnectFailed, {.elapsed = milliseconds(1)});
    ++failed_at_readers;
  }
  if (!has_healthy_reader) return failed_at_readers;
  EXPECT_FALSE(harness.request("a").is_over);
  harness.complete("a", AttemptStatus::kRead);
  while (!harness.request("a").is_over && harness.request("a").attempt_count < 20) {
    harness.skip(failures.writer_failure_time);
    harness.complete("a", AttemptStatus::kConnectFailed, {.elapsed = failures.writer_failure_time});
  }
  EXPECT_EQ(harness.released().size(), 1U) << "the prompt state is released in time";
  return harness.request("a").attempt_count;
}

// On sockets a failed connection costs a millisecond and reaches no endpoint. Half of an endpoint list can be
// out of date, so that many connections fail in a row.
TEST(RetryPolicy, FailedConnectionsDoNotCountAsAttempts) {
  using At = ConnectFailures::At;
  EXPECT_EQ(attempts_with({.at = At::kFiveReadersAndAllWriters, .free_connect_failures = 16}), 5 + 1 + 5)
      << "writers are tried until 0.7 of the reservation limit of 300 ms has passed";
  EXPECT_EQ(attempts_with({.at = At::kFiveReadersAndAllWriters,
                           .free_connect_failures = 16,
                           .writer_failure_time = milliseconds(250)}),
            5 + 1 + 1)
      << "the reservation limit keeps running while a connection fails slowly";
  EXPECT_EQ(attempts_with({.at = At::kAllReaders}), 3)
      << "in the simulator they count as attempts, and one is kept for the write";
  EXPECT_LE(attempts_with({.at = At::kAllReaders, .free_connect_failures = 16}), 16 + 4)
      << "retries end if no reader is healthy";
}

Settings socket_settings() {
  Settings settings = make_settings();
  settings.max_attempts = 4;
  settings.reservation_expires_until_delivery = true;
  return settings;
}

// A harness whose request "a" has been sent to a writer that has not answered.
struct UnansweredWrite {
  explicit UnansweredWrite(const Settings& settings, const std::string& request_class = "safe")
      : harness(settings) {
    harness.update_endpoints(eight_readers_and_eight_writers());
    harness.submit("a", {.request_class = request_class});
    harness.complete("a", AttemptStatus::kRead);
  }
  RouterHarness harness;
};

// A request that was written to a connection may never arrive. Guards against holding its prompt state until
// the request's deadline, which happened ten times.
TEST(RetryPolicy, PromptStateOfAnUnansweredWriteIsReleasedWithinItsLimit) {
  for (const char* request_class : {"safe", "unsafe"}) {
    SCOPED_TRACE(request_class);
    UnansweredWrite written(socket_settings(), request_class);
    written.harness.advance(milliseconds(200));
    EXPECT_TRUE(written.harness.released().empty());
    written.harness.advance(milliseconds(40));
    EXPECT_EQ(written.harness.released().size(), 1U);
    EXPECT_FALSE(written.harness.request("a").is_over) << "its writer may have received it";
    written.harness.advance(milliseconds(1000));
    EXPECT_EQ(written.harness.released().size(), 1U);
  }
}

// The simulator reports the end of every attempt, and its reservation limit does not run while one is in
// flight.
TEST(RetryPolicy, PromptStateOfAWriteIsKeptIfEveryAttemptArrives) {
  Settings settings = socket_settings();
  settings.reservation_expires_until_delivery = false;
  UnansweredWrite written(settings);
  written.harness.advance(milliseconds(1000));
  EXPECT_TRUE(written.harness.released().empty());
}

TEST(RetryPolicy, PromptStateOfAnUnansweredWriteIsReleasedAfterItsClientDisconnects) {
  Settings settings = socket_settings();
  settings.may_cancel = false;
  UnansweredWrite written(settings);
  written.harness.disconnect_client("a");
  written.harness.advance(milliseconds(240));
  EXPECT_EQ(written.harness.released().size(), 1U);
}

// The write arrives late and finds no prompt state, so that it has not run and is sent again, whatever its
// class.
TEST(RetryPolicy, PromptIsReadAgainIfItsWriteArrivesAfterTheRelease) {
  UnansweredWrite written(socket_settings(), "unsafe");
  written.harness.advance(milliseconds(240));
  written.harness.complete("a", AttemptStatus::kFull, {.evidence = AttemptEvidence::kStateNotFound});
  EXPECT_FALSE(written.harness.request("a").is_over);
  EXPECT_TRUE(written.harness.is_at(Role::kReader, "a"));
  written.harness.complete("a", AttemptStatus::kRead);
  EXPECT_TRUE(written.harness.is_at(Role::kWriter, "a"));
}

// After an early reset, another writer may fetch the prompt state for the rest of the reservation limit. A
// reset when too little of the limit is left releases the state.
TEST(RetryPolicy, ResetWithoutAResponseDoesNotRenewTheReservation) {
  UnansweredWrite written(socket_settings());
  const Time read_at = written.harness.now();
  written.harness.skip(milliseconds(100));
  written.harness.complete("a", AttemptStatus::kReset);
  ASSERT_TRUE(written.harness.is_at(Role::kWriter, "a"));
  EXPECT_EQ(written.harness.started().back().connect_by, read_at + milliseconds(300));
  written.harness.skip(milliseconds(115));  // no timer has expired since
  written.harness.complete("a", AttemptStatus::kReset);
  EXPECT_EQ(written.harness.released().size(), 1U);
  EXPECT_FALSE(written.harness.request("a").holds_prompt_state);
}

TEST(RetryPolicy, ResponseOfAWriterRenewsTheReservation) {
  UnansweredWrite written(socket_settings());
  written.harness.skip(milliseconds(100));
  written.harness.complete("a", AttemptStatus::kFull);
  ASSERT_TRUE(written.harness.is_at(Role::kWriter, "a"));
  EXPECT_EQ(written.harness.started().back().connect_by, written.harness.now() + milliseconds(300));
}

TEST(RetryPolicy, RejectionsCarryARetryTimeWithinTheLimit) {
  Settings settings = make_settings();
  settings.max_attempts = 1;
  RouterHarness harness(settings);
  harness.update_endpoints({mixed("m1")});
  harness.submit("a");
  bool is_rejected = false;
  for (const Action& action : harness.complete("a", AttemptStatus::kConnectFailed, {.elapsed = {}})) {
    const auto* reject = std::get_if<Reject>(&action);
    if (reject == nullptr) continue;
    is_rejected = true;
    ASSERT_TRUE(reject->retry_after);
    EXPECT_LE(*reject->retry_after, settings.max_retry_after);
  }
  EXPECT_TRUE(is_rejected);
}

}  // namespace
}  // namespace dispatcher::routing::testing
