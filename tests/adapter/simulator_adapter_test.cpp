// Tests the simulator's adapter: every event and action, malformed lines, independence of dispatchers, and
// the same output for the same input.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "adapter/action_encoder.hpp"
#include "adapter/event_decoder.hpp"
#include "adapter/simulator_session.hpp"
#include "tests/fixtures/simulator_adapter_fixture.hpp"

namespace dispatcher::simulator_adapter {
namespace {

using namespace routing;
using testing::settings_json;

std::string start_message(const std::string& dispatcher) {
  return Json{{"boot", {{"dispatcher", dispatcher}, {"seed", 5}, {"env", settings_json()}}}}.dump();
}
constexpr const char* kPageMessage =
    R"({"page":{"ref":0,"membersList":[{"host":"h.r","campus":"east","sku":"r","block":0,
  "condition":3,"heft":1},{"host":"h.w","campus":"east","sku":"w","block":0,"condition":3,"heft":1.5,"bornMs":100.5}]}})";
std::string list_message(const std::string& dispatcher) {
  return R"({"topology":{"dispatcher":")" + dispatcher + R"(","version":1,"how":2,"ref":0}})";
}
std::string request_message(const std::string& dispatcher, const std::string& id) {
  return R"({"workItem":{"dispatcher":")" + dispatcher + R"(","req":")" + id +
         R"(","service":"line","chat":5,"inputLen":900,"clientDeadlineMs":59000.25,"flags":1,"hintMs":12.5}})";
}
std::string time_message(double milliseconds) { return Json{{"turn", {{"tMs", milliseconds}}}}.dump(); }

// Returns the replies to all messages, which may form several batches.
std::string replies_to(SimulatorSession& session, const std::vector<std::string>& input) {
  std::string all;
  for (const std::string& message : input) {
    if (const auto replies = session.handle_line(message)) all += *replies;
  }
  return all;
}

// Returns the error of the first malformed line; empty if there is none.
std::string error_of(const std::vector<std::string>& input) {
  SimulatorSession session;
  try {
    replies_to(session, input);
  } catch (const json::ParseError& error) {
    return error.what();
  }
  return "";
}

constexpr const char* kEndOfBatch = R"({"flush":{}})";

TEST(SimulatorAdapter, AnEmptyBatchGetsAnEmptyReply) {
  SimulatorSession session;
  EXPECT_EQ(replies_to(session, {time_message(1), kEndOfBatch}), "{\"eor\":{}}\n");
}

TEST(SimulatorAdapter, ARequestIsReadAndThenWritten) {
  SimulatorSession session;
  std::string reply =
      replies_to(session, {time_message(50000), start_message("dispatcher/0"), kPageMessage,
                           list_message("dispatcher/0"), request_message("dispatcher/0", "a1"), kEndOfBatch});
  EXPECT_NE(
      reply.find(R"({"attempt":{"dispatcher":"dispatcher/0","host":"h.r","notPastMs":59000.25,"req":"a1"}})"),
      std::string::npos)
      << reply;
  reply =
      replies_to(session, {time_message(50100),
                           R"({"closedAttempt":{"dispatcher":"dispatcher/0","req":"a1","trial":0,"host":"h.r",
    "verdict":"ready_to_answer","delaySeenMs":18.5,"note":100,"pressure":{"x0":0.5,"x1":2,"zz":1}}})",
                           kEndOfBatch});
  EXPECT_NE(reply.find(R"("host":"h.w")"), std::string::npos) << reply;
  reply = replies_to(
      session,
      {time_message(50200),
       R"({"underWay":{"dispatcher":"dispatcher/0","req":"a1","trial":1,"host":"h.w","delaySeenMs":9}})",
       R"({"closedAttempt":{"dispatcher":"dispatcher/0","req":"a1","trial":1,"host":"h.w","verdict":"S","doneFlag":true}})",
       kEndOfBatch});
  EXPECT_EQ(reply.find("attempt"), std::string::npos) << reply;
}

TEST(SimulatorAdapter, DecodesEveryEvent) {
  const auto decode = [](const char* name, const char* text) {
    return decode_event(name, Json::parse(text));
  };
  const auto request = std::get<Request>(
      *decode("workItem", R"({"req":"a","service":"s","userGroup":"t","chat":9007199254740991,
    "sharedPrefix":7,"inputLen":3,"prefixTokens":2,"nMax":4,"clientDeadlineMs":1.5,"flags":19,"hintMs":2})"));
  EXPECT_EQ(request.session, 9007199254740991U);
  EXPECT_EQ(request.client_deadline, Time(1500));
  EXPECT_EQ(request.length_hint, Duration(2000));
  EXPECT_TRUE(request.client_retry && request.resubmitted);
  EXPECT_EQ(request.tenant, "t");
  const std::pair<const char*, AttemptStatus> statuses[] = {{"S", AttemptStatus::kServed},
                                                            {"E", AttemptStatus::kError},
                                                            {"F", AttemptStatus::kFull},
                                                            {"T", AttemptStatus::kTimeout},
                                                            {"C", AttemptStatus::kConnectFailed},
                                                            {"R", AttemptStatus::kReset},
                                                            {"X", AttemptStatus::kCancelled},
                                                            {"N", AttemptStatus::kNeverSent},
                                                            {"ready_to_answer", AttemptStatus::kRead}};
  for (const auto& [name, status] : statuses) {
    const Json message{{"req", "a"}, {"host", "h"}, {"verdict", name}, {"trial", 2}, {"note", 1}};
    EXPECT_EQ(std::get<AttemptCompleted>(*decode_event("closedAttempt", message)).status, status);
  }
  const auto reserved = decode("answerAhead", R"({"req":"a","host":"h","what":1})");
  EXPECT_EQ(std::get<ReservationResult>(*reserved).outcome, ReservationOutcome::kReserved);
  const auto denied = decode("answerAhead", R"({"req":"a","host":"h","what":2})");
  EXPECT_EQ(std::get<ReservationResult>(*denied).outcome, ReservationOutcome::kDenied);
  EXPECT_EQ(std::get<ClientGone>(*decode("clientLeft", R"({"req":"a"})")).request, "a");
  EXPECT_EQ(std::get<TimerExpired>(*decode("tickDue", R"({"tag":77})")).tag, 77U);
  EXPECT_FALSE(decode("somethingNew", "{}"));
}

TEST(SimulatorAdapter, EncodesEveryAction) {
  const auto encode = [](const Action& action) { return encode_action("d", action); };
  EXPECT_EQ(encode(StartAttempt{"a", "h", Time(1500)}),
            R"({"attempt":{"dispatcher":"d","host":"h","notPastMs":1.5,"req":"a"}})");
  EXPECT_EQ(encode(CancelAttempt{"a", 2}), R"({"retract":{"dispatcher":"d","req":"a","trial":2}})");
  EXPECT_EQ(encode(Reject{"a", Duration(250000)}),
            R"({"sayNo":{"dispatcher":"d","req":"a","retryInMs":250.0}})");
  EXPECT_EQ(encode(Reject{"a", std::nullopt}), R"({"sayNo":{"dispatcher":"d","req":"a"}})");
  EXPECT_EQ(encode(Fail{"a"}), R"({"lose":{"dispatcher":"d","req":"a"}})");
  EXPECT_EQ(encode(MigrateStream{"a"}), R"({"bounce":{"dispatcher":"d","req":"a"}})");
  EXPECT_EQ(encode(ReserveSlot{"a", "h"}), R"({"ahead":{"dispatcher":"d","host":"h","req":"a"}})");
  EXPECT_EQ(encode(ReleaseReservation{"a"}), R"({"dropState":{"dispatcher":"d","req":"a"}})");
  EXPECT_EQ(encode(SetTimer{Duration(500), 7}), R"({"setAlarm":{"dispatcher":"d","fromNowMs":0.5,"tag":7}})");
  EXPECT_EQ(encode(Subscribe{}), R"({"tail":{"dispatcher":"d","on":true}})");
  EXPECT_EQ(encode(LogMessage{"x"}), R"({"remark":{"dispatcher":"d","msg":"x"}})");
}

TEST(SimulatorAdapter, TheErrorOfAMalformedLineNamesTheField) {
  EXPECT_EQ(error_of({"nonsense"}), "not JSON");
  EXPECT_NE(error_of({R"({"turn":{}})"}).find("tMs"), std::string::npos);
  EXPECT_NE(error_of({R"({"turn":{"tMs":"x"}})"}).find("tMs"), std::string::npos);
  EXPECT_NE(error_of({R"({"workItem":{"dispatcher":"d"}})"}).find("req"), std::string::npos);
  EXPECT_NE(error_of({R"({"closedAttempt":{"req":"a","host":"h","verdict":"Q"}})"}).find("verdict"),
            std::string::npos);
  EXPECT_NE(error_of({R"({"topology":{"dispatcher":"d","how":9,"ref":0}})"}).find("how"), std::string::npos);
  EXPECT_NE(error_of({R"({"topology":{"dispatcher":"d","how":0,"ref":16}})"}).find("ref"), std::string::npos);
  EXPECT_NE(error_of({R"({"boot":{"dispatcher":"d","seed":1}})"}).find("env"), std::string::npos);
  EXPECT_NE(error_of({R"({"tickDue":{"tag":1}})"}).find("dispatcher"), std::string::npos);
}

TEST(SimulatorAdapter, RepliesToInvalidSettingsWithAnException) {
  Json bad = settings_json();
  bad["limits"]["mostTries"] = 0;
  SimulatorSession session;
  const std::string reply = replies_to(
      session, {time_message(1), Json{{"boot", {{"dispatcher", "d"}, {"seed", 1}, {"env", bad}}}}.dump(),
                kEndOfBatch});
  EXPECT_NE(reply.find("exception"), std::string::npos);
  EXPECT_NE(reply.find("limits.mostTries"), std::string::npos);
}

TEST(SimulatorAdapter, DispatchersOfOneProcessShareNothing) {
  const auto traffic = [](const std::string& dispatcher) {
    return std::vector<std::string>{start_message(dispatcher), kPageMessage, list_message(dispatcher),
                                    request_message(dispatcher, "a"), request_message(dispatcher, "b")};
  };
  SimulatorSession alone;
  SimulatorSession both;
  std::vector<std::string> one = traffic("d/1");
  one.insert(one.begin(), time_message(1));
  one.push_back(kEndOfBatch);
  std::vector<std::string> two = traffic("d/0");
  two.insert(two.begin(), time_message(1));
  for (const std::string& message : traffic("d/1")) two.push_back(message);
  two.push_back(kEndOfBatch);
  const std::string single = replies_to(alone, one);
  const std::string pair = replies_to(both, two);
  EXPECT_NE(single, "{\"eor\":{}}\n");
  EXPECT_NE(pair.find(single), std::string::npos);
}

TEST(SimulatorAdapter, IgnoresEventsOfADispatcherThatHasRestartedOrStopped) {
  SimulatorSession session;
  replies_to(session, {time_message(1), start_message("d"), kPageMessage, list_message("d"),
                       request_message("d", "a"), kEndOfBatch});
  const std::string reply = replies_to(
      session,
      {time_message(2), R"({"crashNow":{"dispatcher":"d"}})", start_message("d"), kPageMessage,
       list_message("d"),
       R"({"closedAttempt":{"dispatcher":"d","req":"a","trial":0,"host":"h.r","verdict":"ready_to_answer"}})",
       R"({"tickDue":{"dispatcher":"gone","tag":0}})", kEndOfBatch});
  EXPECT_EQ(reply, "{\"eor\":{}}\n");
}

}  // namespace
}  // namespace dispatcher::simulator_adapter
