// The check of settings: each finding alone, what it refuses and what it lets pass with a warning.
#include <functional>
#include <limits>
#include <ostream>

#include "routing/router_harness.hpp"
#include "settings/check.hpp"

namespace dispatcher::settings {

using namespace routing;

bool operator==(const Finding& a, const Finding& b) { return a.severity == b.severity && a.field == b.field; }
std::ostream& operator<<(std::ostream& out, const Finding& f) {
  return out << (f.severity == Severity::kError ? "refused: " : "warned of: ") << describe(f);
}

namespace {

using routing::testing::make_endpoint;
using routing::testing::reader;
using routing::testing::RouterHarness;
using routing::testing::writer;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// As an operator has them who made no mistake.
Settings sound() {
  Settings s = routing::testing::make_settings();
  s.zones = {"east", "west"};
  s.tenants = {{"one", 12.5}, {"two", 7.5}};
  s.early_pairing = true;
  s.may_duplicate = true;
  s.report_source = ReportSource::kInAnswers;
  s.report_fields = {LoadField::kMemoryShare};
  s.connect_timeout = milliseconds(250);
  s.idle_timeout = seconds(15);
  s.prices.waste = 0.2;
  s.goal = {0.3, 0.4, 0.2, 0.1};
  return s;
}

struct Case {
  const char* field;
  std::function<void(Settings&)> change;
};

constexpr double kNoNumber = std::numeric_limits<double>::quiet_NaN();

const std::vector<Case>& rejected() {
  static const std::vector<Case> cases = {
      {"hostTypes", [](Settings& s) { s.kinds.clear(), s.early_pairing = false; }},
      {"categories", [](Settings& s) { s.classes.clear(); }},
      {"balancers", [](Settings& s) { s.router_count = 0; }},
      {"myNumber", [](Settings& s) { s.router_number = -1; }},
      {"myNumber", [](Settings& s) { s.router_number = s.router_count; }},
      {"limits.mostTries", [](Settings& s) { s.max_attempts = 0; }},
      {"granularityMs", [](Settings& s) { s.tick = milliseconds(-1); }},
      {"granularityMs",
       [](Settings& s) {
         s.tick = s.answer_slack = s.drain_grace = hours(2);
         s.reservation_limit = hours(7);
         for (RequestClass& c : s.classes) c.deadline = hours(24);
       }},
      {"guarantees.coldMs", [](Settings& s) { s.warmup_time = hours(25); }},
      {"categories[1].deadlineMs", [](Settings& s) { s.classes[1].deadline = hours(25); }},
      {"familyInfo.aimUsPer1000PromptTokens[1]",
       [](Settings& s) { s.classes[1].latency_objective_per_1000_tokens = hours(25); }},
      {"familyInfo.pinLimitMs", [](Settings& s) { s.reservation_limit = milliseconds(-1); }},
      {"guarantees.answerSlackMs", [](Settings& s) { s.answer_slack = milliseconds(-1); }},
      {"guarantees.askEveryMs", [](Settings& s) { s.poll_interval = milliseconds(-1); }},
      {"guarantees.coldMs", [](Settings& s) { s.warmup_time = milliseconds(-1); }},
      {"guarantees.drainGraceMs", [](Settings& s) { s.drain_grace = milliseconds(-1); }},
      {"guarantees.tipAfterMs", [](Settings& s) { s.overload_window = milliseconds(-1); }},
      {"limits.connectTimeoutMs", [](Settings& s) { s.connect_timeout = milliseconds(-1); }},
      {"limits.idleCloseMs", [](Settings& s) { s.idle_timeout = milliseconds(-1); }},
      {"limits.maxRetryAfterMs", [](Settings& s) { s.max_retry_after = milliseconds(-1); }},
      {"guarantees.tipMultiple", [](Settings& s) { s.overload_multiple = -1; }},
      {"guarantees.tipMultiple", [](Settings& s) { s.overload_multiple = kNoNumber; }},
      {"guarantees.coldShare", [](Settings& s) { s.warmup_initial_share = -0.1; }},
      {"guarantees.coldShare", [](Settings& s) { s.warmup_initial_share = 1.1; }},
      {"tenants[1].quotaRps", [](Settings& s) { s.tenants[1].quota_rps = -1; }},
      {"categories[1].objectiveMs", [](Settings& s) { s.classes[1].latency_objective = {}; }},
      {"categories[1].deadlineMs", [](Settings& s) { s.classes[1].deadline = {}; }},
      {"categories[2].windowMs", [](Settings& s) { s.classes[2].deduplication_window = seconds(-1); }},
      {"familyInfo.aimUsPer1000PromptTokens[1]",
       [](Settings& s) { s.classes[1].latency_objective_per_1000_tokens = seconds(-1); }},
      {"familyInfo.tokenAimMs[1]", [](Settings& s) { s.classes[1].token_latency_objective = seconds(-1); }},
      {"categories[0].aimStretch", [](Settings& s) { s.classes[0].latency_objective_stretch = -1; }},
      {"categories[3].name", [](Settings& s) { s.classes[3].name = "unsafe"; }},
      {"hostTypes[2]", [](Settings& s) { s.kinds[2].name = "r"; }},
      {"tenants[1].name", [](Settings& s) { s.tenants[1].name = "one"; }},
      {"familyInfo.dutyByKind",  // nobody reads
       [](Settings& s) {
         s.kinds = {{"w", Role::kWriter, 1}}, s.early_pairing = false;
       }},
      {"familyInfo.dutyByKind",  // nobody writes
       [](Settings& s) {
         s.kinds = {{"r", Role::kReader, 1}}, s.early_pairing = false;
       }},
      {"limits.mostTries",
       [](Settings& s) { s.kinds.pop_back(), s.max_attempts = 1, s.may_duplicate = false; }},
  };
  return cases;
}

const std::vector<Case>& warned() {
  static const std::vector<Case> cases = {
      {"overShareWorth", [](Settings& s) { s.over_quota_weight = 1.5; }},
      {"prices.waste", [](Settings& s) { s.prices.waste = -1; }},
      {"familyInfo.moveFee", [](Settings& s) { s.prices.far = kNoNumber; }},
      {"goal.worstWindow", [](Settings& s) { s.goal.worst_window = -1; }},
      {"familyInfo.memoryTokens[0]", [](Settings& s) { s.kinds[0].memory_tokens = -1; }},
      {"categories[0].worth", [](Settings& s) { s.classes[0].priority_weight = -1; }},
      {"categories[0].lateValue", [](Settings& s) { s.classes[0].late_weight = 1.5; }},
      {"familyInfo.writersRead",
       [](Settings& s) {
         s.kinds = {{"r", Role::kReader, 1}, {"m", Role::kMixed, 1}};
         s.writers_read = true;
       }},
      {"familyInfo.earlyPairing",
       [](Settings& s) {
         s.kinds = {{"m", Role::kMixed, 1}};
       }},
      {"limits.mayDuplicate", [](Settings& s) { s.max_attempts = 1; }},
      {"familyInfo.resume",
       [](Settings& s) {
         for (RequestClass& c : s.classes) c.idempotency = Idempotency::kNonIdempotent;
       }},
      {"categories[2].windowMs", [](Settings& s) { s.classes[2].deduplication_window = {}; }},
      {"categories[1].deadlineMs", [](Settings& s) { s.classes[1].deadline = seconds(2); }},
      {"guarantees.answerSlackMs", [](Settings& s) { s.answer_slack = seconds(6); }},
      {"guarantees.answerSlackMs", [](Settings& s) { s.answer_slack = milliseconds(3); }},
      {"familyInfo.pinLimitMs", [](Settings& s) { s.reservation_limit = seconds(7); }},
      {"familyInfo.pinLimitMs", [](Settings& s) { s.reservation_limit = milliseconds(66); }},
      {"familyInfo.pinLimitMs",
       [](Settings& s) { s.tick = milliseconds(15), s.reservation_limit = milliseconds(99); }},
      {"guarantees.drainGraceMs", [](Settings& s) { s.drain_grace = milliseconds(3); }},
      {"guarantees.tipMultiple", [](Settings& s) { s.overload_multiple = 0; }},
      {"guarantees.tipMultiple", [](Settings& s) { s.overload_multiple = 0.9; }},
      {"guarantees.coldShare", [](Settings& s) { s.warmup_initial_share = 0; }},
      {"guarantees.tipAfterMs", [](Settings& s) { s.overload_window = {}; }},
      {"guarantees.tipAfterMs", [](Settings& s) { s.overload_window = milliseconds(50); }},
      {"loadInfo.source", [](Settings& s) { s.report_source = ReportSource::kInProbes; }},
      {"loadInfo.fields", [](Settings& s) { s.report_fields.clear(); }},
      {"myZone", [](Settings& s) { s.zone = "north"; }},
      {"tenants", [](Settings& s) { s.tenants[0].quota_rps = s.tenants[1].quota_rps = 0; }},
      {"limits.maxRetryAfterMs", [](Settings& s) { s.max_retry_after = {}; }},
  };
  return cases;
}

TEST(Check, FindsNothingInSoundSettings) {
  EXPECT_EQ(check(sound()), std::vector<Finding>{});
  EXPECT_EQ(check_socket_settings(sound()), std::vector<Finding>{});
}

// None of these contradicts itself, though each looks as if it lacked its other half.
TEST(Check, LetsWhatIsOnlyUnusualPass) {
  const std::vector<std::function<void(Settings&)>> changes = {
      [](Settings& s) { s.prices.probe = 0.5; },  // priced, not allowed
      [](Settings& s) { s.may_probe = true, s.report_source = ReportSource::kNone, s.report_fields = {}; },
      [](Settings& s) { s.may_probe = true, s.report_source = ReportSource::kInProbes; },
      [](Settings& s) { s.peers = true, s.router_count = 1; },
      [](Settings& s) {
        s.kinds = {{"m", Role::kMixed, 0}}, s.early_pairing = false, s.max_attempts = 1,
        s.may_duplicate = false;
      },
      [](Settings& s) {
        s.kinds = {{"w", Role::kWriter, 0}}, s.writers_read = true, s.early_pairing = false;
      },
      [](Settings& s) { s.tenants.clear(), s.over_quota_weight = 1; },
      [](Settings& s) { s.tenants[0].quota_rps = 0; },
      [](Settings& s) { s.warmup_time = {}, s.overload_multiple = 0; },
      [](Settings& s) { s.overload_multiple = 1e9, s.warmup_initial_share = 1; },
      [](Settings& s) { s.zones.clear(), s.zone = ""; },
      [](Settings& s) { s.goal = {}, s.prices = {}; },
      [](Settings& s) { s.retry_advice = false, s.max_retry_after = {}; },
      [](Settings& s) { s.tick = s.answer_slack = s.drain_grace = {}; },
      [](Settings& s) { s.tick = milliseconds(15), s.reservation_limit = milliseconds(100); },
      [](Settings& s) { s.connect_timeout = s.idle_timeout = {}; },  // a host of the module without sockets
  };
  for (std::size_t i = 0; i < changes.size(); ++i) {
    Settings s = sound();
    changes[i](s);
    EXPECT_EQ(check(s), std::vector<Finding>{}) << "change " << i;
  }
}

TEST(Check, RefusesWhatMeansNothingContradictsItselfOrServesNobody) {
  for (const Case& c : rejected()) {
    Settings s = sound();
    c.change(s);
    EXPECT_EQ(check(s), (std::vector<Finding>{{Severity::kError, c.field, "", ""}}));
    try {
      Router(s, 1);
      ADD_FAILURE() << c.field << " was taken";
    } catch (const std::invalid_argument& e) {
      EXPECT_NE(std::string(e.what()).find(c.field), std::string::npos) << e.what();
    }
  }
}

// Each is served by: a request gets its one answer, in time, and nothing is left behind.
TEST(Check, WarnsOfWhatIsAbsurdAndServesByItAllTheSame) {
  for (const Case& c : warned()) {
    Settings s = sound();
    c.change(s);
    EXPECT_EQ(check(s), (std::vector<Finding>{{Severity::kWarning, c.field, "", ""}}));
    RouterHarness harness(s);
    std::vector<EndpointInfo> endpoints;
    for (const EndpointKind& kind : s.kinds) endpoints.push_back(make_endpoint(kind.name + "1", kind.name));
    harness.update_endpoints(endpoints);
    for (const RequestClass& k : s.classes) {
      Request r = harness.make_request(k.name, {.request_class = k.name});
      r.client_deadline = harness.now() + k.deadline;
      harness.submit(r);
      if (harness.active_endpoint(k.name) == "r1") harness.complete(k.name, AttemptStatus::kRead);
      if (!harness.active_endpoint(k.name).empty()) {
        harness.send_first_token(k.name);
        harness.complete(k.name, AttemptStatus::kServed);
      }
      harness.advance(k.deadline);
      EXPECT_TRUE(harness.request(k.name).is_over) << c.field << ", class " << k.name;
    }
    EXPECT_EQ(harness.table_sizes().requests, 0U) << c.field;
  }
}

// Its deadline is too short for a state to wait as well.
TEST(Check, ADeadlineWithinTwoTicksHasEachOfItsRequestsRejectedAtOnce) {
  Settings s = sound();
  s.classes.resize(1);
  s.classes[0].latency_objective = milliseconds(500);
  s.classes[0].deadline = milliseconds(600);
  s.tick = s.answer_slack = milliseconds(300);
  s.drain_grace = s.reservation_limit = milliseconds(1000);
  EXPECT_EQ(check(s), (std::vector<Finding>{{Severity::kWarning, "categories[0].deadlineMs", "", ""},
                                            {Severity::kWarning, "familyInfo.pinLimitMs", "", ""}}));
  RouterHarness harness(s);
  harness.update_endpoints({reader("r1"), writer("w1")});
  Request r = harness.make_request("a");
  r.client_deadline = harness.now() + s.classes[0].deadline;
  harness.submit(r);
  EXPECT_EQ(harness.rejected(), std::vector<routing::testing::RequestId>{"a"});
}

TEST(Check, TellsAllThatIsWrongAtOnce) {
  Settings s = sound();
  s.router_number = 7;
  s.classes[1].name = "safe";
  s.overload_multiple = 0;
  s.max_attempts = 0;
  EXPECT_EQ(check(s).size(), 4U);
  try {
    Router(s, 1);
    ADD_FAILURE();
  } catch (const std::invalid_argument& e) {
    EXPECT_STREQ(
        e.what(),
        "routing: bad settings: field 'myNumber': 7 among 2 dispatchers; wanted: 0 to 1; field "
        "'limits.mostTries': 0; wanted: at least 1; field 'categories[1].name': 'safe' a second time; "
        "wanted: another name");
  }
}

TEST(Check, OnSocketsConnectionsMustBeMadeAndKept) {
  const auto found = [](auto change) {
    Settings s = sound();
    change(s);
    return check_socket_settings(s);
  };
  using All = std::vector<Finding>;
  EXPECT_EQ(found([](Settings& s) { s.connect_timeout = {}; }),
            (All{{Severity::kError, "limits.connectTimeoutMs", "", ""}}));
  EXPECT_EQ(found([](Settings& s) { s.idle_timeout = {}; }),
            (All{{Severity::kError, "limits.idleCloseMs", "", ""}}));
  EXPECT_EQ(found([](Settings& s) { s.connect_timeout = milliseconds(1001); }),
            (All{{Severity::kWarning, "limits.connectTimeoutMs", "", ""}}));
}

// Of the budget only what the whole fleet could bring is known: two requests of ten a second would not do.
TEST(Check, ABudgetUnderOneRequestIsSeenByTheQuotas) {
  Settings s = sound();
  s.overload_multiple = 2;
  s.warmup_initial_share = 0.5;
  s.overload_window = milliseconds(100);
  s.tenants = {{"one", 9.9}};
  ASSERT_EQ(check(s).size(), 1U);
  EXPECT_EQ(check(s)[0].expected, "at least 101.01 ms");
  s.tenants[0].quota_rps = 10;
  EXPECT_EQ(check(s), std::vector<Finding>{});
}

}  // namespace
}  // namespace dispatcher::settings
