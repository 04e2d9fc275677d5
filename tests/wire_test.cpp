// The adapter: every event and action, malformed lines, instances apart, same input same bytes.
#include "wire.hpp"

#include <gtest/gtest.h>

#include <string>

namespace dispatcher::wire {

using namespace routing;
namespace {

Json env() {
  return Json::parse(R"({"balancers":2,"myNumber":0,"myZone":"east","registryMode":"push","granularityMs":4,
    "categories":[{"name":"line","repeat":"safe","objectiveMs":1000,"deadlineMs":6000,"worth":1}],
    "hostTypes":["r","w"],"familyInfo":{"dutyByKind":["read","write"],"pinLimitMs":300,"tokenAimMs":[60],
    "aimUsPer1000PromptTokens":[40000],"memoryTokens":[200000,100000],"resume":true,"news":1},
    "limits":{"mostTries":6,"mayCancel":true},"guarantees":{"answerSlackMs":16,"drainGraceMs":250,"coldShare":0.3,
    "coldMs":13000,"tipMultiple":3,"tipAfterMs":3000},"unknown key":[1,2]})");
}
std::string boot(const std::string& who) {
  return Json{{"boot", {{"dispatcher", who}, {"seed", 5}, {"env", env()}}}}.dump();
}
const char* const kPage =
    R"({"page":{"ref":0,"membersList":[{"host":"h.r","campus":"east","sku":"r","block":0,
  "condition":3,"heft":1},{"host":"h.w","campus":"east","sku":"w","block":0,"condition":3,"heft":1.5,"bornMs":100.5}]}})";
std::string list(const std::string& who) {
  return R"({"topology":{"dispatcher":")" + who + R"(","version":1,"how":2,"ref":0}})";
}
std::string item(const std::string& who, const std::string& id) {
  return R"({"workItem":{"dispatcher":")" + who + R"(","req":")" + id +
         R"(","service":"line","chat":5,"inputLen":900,"clientDeadlineMs":59000.25,"flags":1,"hintMs":12.5}})";
}
std::string turn(double ms) { return Json{{"turn", {{"tMs", ms}}}}.dump(); }
std::string play(Session& s, const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& l : lines) {
    if (const auto reply = s.feed(l)) all += *reply;
  }
  return all;
}
std::string error_of(const std::vector<std::string>& lines) {
  Session s;
  try {
    play(s, lines);
  } catch (const WireError& e) {
    return e.what();
  }
  return "";
}
const std::string kFlush = R"({"flush":{}})";

TEST(Wire, AnEmptyBatchGetsAnEmptyReply) {
  Session s;
  EXPECT_EQ(play(s, {turn(1), kFlush}), "{\"eor\":{}}\n");
}

TEST(Wire, ARequestGoesThroughBothStages) {
  Session s;
  std::string reply = play(s, {turn(50000), boot("dispatcher/0"), kPage, list("dispatcher/0"),
                               item("dispatcher/0", "a1"), kFlush});
  EXPECT_NE(
      reply.find(R"({"attempt":{"dispatcher":"dispatcher/0","host":"h.r","notPastMs":59000.25,"req":"a1"}})"),
      std::string::npos)
      << reply;
  reply = play(
      s, {turn(50100), R"({"closedAttempt":{"dispatcher":"dispatcher/0","req":"a1","trial":0,"host":"h.r",
    "verdict":"ready_to_answer","delaySeenMs":18.5,"note":100,"pressure":{"x0":0.5,"x1":2,"zz":1}}})",
          kFlush});
  EXPECT_NE(reply.find(R"("host":"h.w")"), std::string::npos) << reply;
  reply = play(
      s,
      {turn(50200),
       R"({"underWay":{"dispatcher":"dispatcher/0","req":"a1","trial":1,"host":"h.w","delaySeenMs":9}})",
       R"({"closedAttempt":{"dispatcher":"dispatcher/0","req":"a1","trial":1,"host":"h.w","verdict":"S","doneFlag":true}})",
       kFlush});
  EXPECT_EQ(reply.find("attempt"), std::string::npos) << reply;
}

TEST(Wire, EveryEventIsRead) {
  const auto read = [](const char* name, const char* text) { return parse_event(name, Json::parse(text)); };
  const auto r =
      std::get<Request>(*read("workItem", R"({"req":"a","service":"s","userGroup":"t","chat":9007199254740991,
    "sharedPrefix":7,"inputLen":3,"prefixTokens":2,"nMax":4,"clientDeadlineMs":1.5,"flags":19,"hintMs":2})"));
  EXPECT_EQ(r.session, 9007199254740991U);
  EXPECT_EQ(r.client_deadline, Time(1500));
  EXPECT_EQ(r.length_hint, Duration(2000));
  EXPECT_TRUE(r.client_retry && r.resubmitted);
  EXPECT_EQ(r.tenant, "t");
  const std::pair<const char*, AttemptStatus> verdicts[] = {{"S", AttemptStatus::kServed},
                                                            {"E", AttemptStatus::kError},
                                                            {"F", AttemptStatus::kFull},
                                                            {"T", AttemptStatus::kTimeout},
                                                            {"C", AttemptStatus::kConnectFailed},
                                                            {"R", AttemptStatus::kReset},
                                                            {"X", AttemptStatus::kCancelled},
                                                            {"N", AttemptStatus::kNeverSent},
                                                            {"ready_to_answer", AttemptStatus::kRead}};
  for (const auto& [word, status] : verdicts) {
    const Json f{{"req", "a"}, {"host", "h"}, {"verdict", word}, {"trial", 2}, {"note", 1}};
    EXPECT_EQ(std::get<AttemptCompleted>(*parse_event("closedAttempt", f)).status, status);
  }
  EXPECT_TRUE(std::get<ReservationResult>(*read("answerAhead", R"({"req":"a","host":"h","what":1})")).held);
  EXPECT_FALSE(std::get<ReservationResult>(*read("answerAhead", R"({"req":"a","host":"h","what":2})")).held);
  EXPECT_EQ(std::get<ClientGone>(*read("clientLeft", R"({"req":"a"})")).request, "a");
  EXPECT_EQ(std::get<TimerExpired>(*read("tickDue", R"({"tag":77})")).tag, 77U);
  EXPECT_FALSE(read("somethingNew", "{}"));
}

TEST(Wire, EveryActionIsWritten) {
  const auto put = [](const Action& a) { return format_action("d", a); };
  EXPECT_EQ(put(StartAttempt{"a", "h", Time(1500)}),
            R"({"attempt":{"dispatcher":"d","host":"h","notPastMs":1.5,"req":"a"}})");
  EXPECT_EQ(put(CancelAttempt{"a", 2}), R"({"retract":{"dispatcher":"d","req":"a","trial":2}})");
  EXPECT_EQ(put(Reject{"a", Duration(250000)}),
            R"({"sayNo":{"dispatcher":"d","req":"a","retryInMs":250.0}})");
  EXPECT_EQ(put(Reject{"a", std::nullopt}), R"({"sayNo":{"dispatcher":"d","req":"a"}})");
  EXPECT_EQ(put(Fail{"a"}), R"({"lose":{"dispatcher":"d","req":"a"}})");
  EXPECT_EQ(put(MigrateStream{"a"}), R"({"bounce":{"dispatcher":"d","req":"a"}})");
  EXPECT_EQ(put(ReserveSlot{"a", "h"}), R"({"ahead":{"dispatcher":"d","host":"h","req":"a"}})");
  EXPECT_EQ(put(ReleaseReservation{"a"}), R"({"dropState":{"dispatcher":"d","req":"a"}})");
  EXPECT_EQ(put(SetTimer{Duration(500), 7}), R"({"setAlarm":{"dispatcher":"d","fromNowMs":0.5,"tag":7}})");
  EXPECT_EQ(put(Subscribe{}), R"({"tail":{"dispatcher":"d","on":true}})");
  EXPECT_EQ(put(LogMessage{"x"}), R"({"remark":{"dispatcher":"d","msg":"x"}})");
}

TEST(Wire, MalformedLinesNameTheField) {
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

TEST(Wire, WhatTheSettingsAllowAndPriceIsRead) {
  Json told = env();
  told["dcs"] = {"east", "west"};
  told["weights"] = "rough";
  told["worthBy"] = "work";
  told["goal"] = {{"whole", 0.3}, {"worstWindow", 0.4}, {"worstClass", 0.2}, {"worstTenant", 0.1}};
  told["clientHabits"] = {{"marksRetry", true}};
  told["loadInfo"] = {{"source", "piggyback"}, {"fields", {"x1", "something new", "rif"}}};
  told["prices"] = {{"waste", 0.22}, {"probe", 0.5},      {"crossZone", 0.028}, {"lateFail", 0.08},
                    {"peer", 0.003}, {"moves", 0.01},     {"connection", 0.02}, {"handshake", 0.04},
                    {"new", "x"},    {"registryMode", 1}, {"origin", 9}};
  told["familyInfo"]["moveFee"] = 0.04;
  told["categories"][0]["aimStretch"] = 1.5;
  told["guarantees"]["askEveryMs"] = 10000;
  told["limits"].update({{"mayProbe", true}, {"mayDuplicate", true}, {"peers", true}, {"openCap", 27264}});
  const Settings s = parse_settings(told);
  EXPECT_TRUE(s.may_probe && s.may_duplicate && s.peers && s.clients_mark_retries && s.weight_by_work);
  EXPECT_EQ(s.report_source, ReportSource::kInAnswers);
  EXPECT_EQ(s.report_fields, (std::vector<LoadField>{LoadField::kPromptKilotokens, LoadField::kInHand}));
  EXPECT_EQ(s.weights, WeightMeaning::kRough);
  EXPECT_EQ(s.zones, (std::vector<std::string>{"east", "west"}));
  EXPECT_EQ(s.poll_interval, std::chrono::seconds(10));
  EXPECT_EQ(s.max_open_requests, 27264);
  EXPECT_EQ(s.classes[0].latency_objective_stretch, 1.5);
  const Prices& p = s.prices;
  EXPECT_EQ((std::vector<double>{p.waste, p.probe, p.cross_zone, p.late_fail, p.peer, p.far, p.move,
                                 p.connection, p.handshake, p.list_line}),
            (std::vector<double>{0.22, 0.5, 0.028, 0.08, 0.003, 0.04, 0.01, 0.02, 0.04, 1}));
  EXPECT_EQ((std::vector<double>{s.goal.whole, s.goal.worst_window, s.goal.worst_class, s.goal.worst_tenant}),
            (std::vector<double>{0.3, 0.4, 0.2, 0.1}));
  told["loadInfo"]["source"] = "pull";
  EXPECT_EQ(parse_settings(told).report_source, ReportSource::kInProbes);
}

TEST(Wire, WhatTheSettingsDoNotTellIsNotAllowedAndNotPriced) {
  for (const Json& absent : {Json(), Json::object()}) {  // null, or without the keys; else missing
    Json told = env();
    if (absent.is_object()) told["prices"] = told["goal"] = told["loadInfo"] = told["clientHabits"] = absent;
    told["weights"] = told["worthBy"] = told["dcs"] = nullptr;
    const Settings s = parse_settings(told);
    EXPECT_FALSE(s.may_probe || s.may_duplicate || s.peers || s.clients_mark_retries || s.weight_by_work);
    EXPECT_EQ(s.report_source, ReportSource::kNone);
    EXPECT_EQ(s.weights, WeightMeaning::kNothing);
    EXPECT_TRUE(s.report_fields.empty() && s.zones.empty());
    EXPECT_EQ(s.prices.waste + s.prices.probe + s.prices.far + s.goal.whole + s.max_open_requests, 0);
  }
}

TEST(Wire, WordsThatOnlyInformMayBeNew) {
  Json told = env();
  told["weights"] = told["worthBy"] = "new";
  told["loadInfo"] = {{"source", "new"}};
  const Settings s = parse_settings(told);
  EXPECT_EQ(s.weights, WeightMeaning::kNothing);
  EXPECT_EQ(s.report_source, ReportSource::kNone);
  EXPECT_FALSE(s.weight_by_work);
}

TEST(Wire, SettingsThatCannotWorkAreTheFaultAction) {
  Json bad = env();
  bad["limits"]["mostTries"] = 0;
  Session s;
  const std::string reply =
      play(s, {turn(1), Json{{"boot", {{"dispatcher", "d"}, {"seed", 1}, {"env", bad}}}}.dump(), kFlush});
  EXPECT_NE(reply.find("exception"), std::string::npos);
  EXPECT_NE(reply.find("limits.mostTries"), std::string::npos);
}

TEST(Wire, InstancesShareNothing) {
  const auto traffic = [](const std::string& who) {
    return std::vector<std::string>{boot(who), kPage, list(who), item(who, "a"), item(who, "b")};
  };
  Session alone, both;
  std::vector<std::string> one = traffic("d/1");
  one.insert(one.begin(), turn(1));
  one.push_back(kFlush);
  std::vector<std::string> two = traffic("d/0");
  two.insert(two.begin(), turn(1));
  for (const std::string& l : traffic("d/1")) two.push_back(l);
  two.push_back(kFlush);
  const std::string single = play(alone, one), pair = play(both, two);
  EXPECT_NE(single, "{\"eor\":{}}\n");
  EXPECT_NE(pair.find(single), std::string::npos);
}

TEST(Wire, StopAndStartInOneBatchAndLateEventsAreHarmless) {
  Session s;
  play(s, {turn(1), boot("d"), kPage, list("d"), item("d", "a"), kFlush});
  const std::string reply = play(
      s,
      {turn(2), R"({"crashNow":{"dispatcher":"d"}})", boot("d"), kPage, list("d"),
       R"({"closedAttempt":{"dispatcher":"d","req":"a","trial":0,"host":"h.r","verdict":"ready_to_answer"}})",
       R"({"tickDue":{"dispatcher":"gone","tag":0}})", kFlush});
  EXPECT_EQ(reply, "{\"eor\":{}}\n");
}

}  // namespace
}  // namespace dispatcher::wire
