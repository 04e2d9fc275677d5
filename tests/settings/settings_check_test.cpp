// Tests the checks of settings: each finding by itself, which settings are rejected and which only cause a
// warning.
#include <iterator>
#include <limits>
#include <ostream>
#include <stdexcept>
#include <type_traits>

#include "settings/check.hpp"
#include "tests/routing/router_harness.hpp"

namespace dispatcher::settings {

using namespace routing;

// Compares the severity and the field, which the cases below state. docs/settings.md documents the texts of
// findings.
bool operator==(const Finding& left, const Finding& right) {
  return left.severity == right.severity && left.field == right.field;
}
std::ostream& operator<<(std::ostream& out, const Finding& finding) {
  return out << (finding.severity == Severity::kError ? "error: " : "warning: ") << describe(finding);
}

namespace {

using routing::testing::make_endpoint;
using routing::testing::reader;
using routing::testing::RouterHarness;
using routing::testing::writer;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns settings that cause no finding.
Settings valid_settings() {
  Settings settings = routing::testing::make_settings();
  settings.zones = {"east", "west"};
  settings.tenants = {{"one", 12.5}, {"two", 7.5}};
  settings.may_reserve_slots = true;
  settings.may_hedge = true;
  settings.report_source = ReportSource::kInAnswers;
  settings.report_fields = {LoadField::kMemoryShare};
  settings.connect_timeout = milliseconds(250);
  settings.idle_timeout = seconds(15);
  settings.prices.wasted_work = 0.2;
  settings.goal = {0.3, 0.4, 0.2, 0.1};
  return settings;
}

// The public contract of Router names only the base class.
static_assert(std::is_base_of_v<std::invalid_argument, InvalidSettingsError>);

// A change to valid settings, and the field of the one finding that it causes.
struct Case {
  const char* field;
  void (*change)(Settings& settings);
};

constexpr double kNan = std::numeric_limits<double>::quiet_NaN();

constexpr Case kRejectedCases[] = {
    {"hostTypes",
     [](Settings& settings) {
       settings.kinds.clear();
       settings.may_reserve_slots = false;
     }},
    {"categories", [](Settings& settings) { settings.classes.clear(); }},
    {"balancers", [](Settings& settings) { settings.router_count = 0; }},
    {"myNumber", [](Settings& settings) { settings.router_number = -1; }},
    {"myNumber", [](Settings& settings) { settings.router_number = settings.router_count; }},
    {"limits.mostTries", [](Settings& settings) { settings.max_attempts = 0; }},
    {"granularityMs", [](Settings& settings) { settings.tick = milliseconds(-1); }},
    {"granularityMs",
     [](Settings& settings) {
       settings.tick = settings.answer_slack = settings.drain_grace = hours(2);
       settings.reservation_limit = hours(7);
       for (RequestClass& request_class : settings.classes) request_class.deadline = hours(24);
     }},
    {"guarantees.coldMs", [](Settings& settings) { settings.warmup_time = hours(25); }},
    {"categories[1].deadlineMs", [](Settings& settings) { settings.classes[1].deadline = hours(25); }},
    {"familyInfo.aimUsPer1000PromptTokens[1]",
     [](Settings& settings) { settings.classes[1].latency_objective_per_1000_tokens = hours(25); }},
    {"familyInfo.pinLimitMs", [](Settings& settings) { settings.reservation_limit = milliseconds(-1); }},
    {"guarantees.answerSlackMs", [](Settings& settings) { settings.answer_slack = milliseconds(-1); }},
    {"guarantees.askEveryMs", [](Settings& settings) { settings.poll_interval = milliseconds(-1); }},
    {"guarantees.coldMs", [](Settings& settings) { settings.warmup_time = milliseconds(-1); }},
    {"guarantees.drainGraceMs", [](Settings& settings) { settings.drain_grace = milliseconds(-1); }},
    {"guarantees.tipAfterMs", [](Settings& settings) { settings.overload_window = milliseconds(-1); }},
    {"limits.connectTimeoutMs", [](Settings& settings) { settings.connect_timeout = milliseconds(-1); }},
    {"limits.idleCloseMs", [](Settings& settings) { settings.idle_timeout = milliseconds(-1); }},
    {"limits.maxRetryAfterMs", [](Settings& settings) { settings.max_retry_after = milliseconds(-1); }},
    {"guarantees.tipMultiple", [](Settings& settings) { settings.overload_multiple = -1; }},
    {"guarantees.tipMultiple", [](Settings& settings) { settings.overload_multiple = kNan; }},
    {"guarantees.coldShare", [](Settings& settings) { settings.warmup_initial_share = -0.1; }},
    {"guarantees.coldShare", [](Settings& settings) { settings.warmup_initial_share = 1.1; }},
    {"tenants[1].quotaRps", [](Settings& settings) { settings.tenants[1].quota_rps = -1; }},
    {"categories[1].objectiveMs", [](Settings& settings) { settings.classes[1].latency_objective = {}; }},
    {"categories[1].deadlineMs", [](Settings& settings) { settings.classes[1].deadline = {}; }},
    {"categories[2].windowMs",
     [](Settings& settings) { settings.classes[2].deduplication_window = seconds(-1); }},
    {"familyInfo.aimUsPer1000PromptTokens[1]",
     [](Settings& settings) { settings.classes[1].latency_objective_per_1000_tokens = seconds(-1); }},
    {"familyInfo.tokenAimMs[1]",
     [](Settings& settings) { settings.classes[1].token_latency_objective = seconds(-1); }},
    {"categories[0].aimStretch",
     [](Settings& settings) { settings.classes[0].latency_objective_stretch = -1; }},
    {"categories[3].name", [](Settings& settings) { settings.classes[3].name = "unsafe"; }},
    {"hostTypes[2]", [](Settings& settings) { settings.kinds[2].name = "r"; }},
    {"tenants[1].name", [](Settings& settings) { settings.tenants[1].name = "one"; }},
    {"familyInfo.dutyByKind",  // no kind reads
     [](Settings& settings) {
       settings.kinds = {{"w", Role::kWriter, 1}};
       settings.may_reserve_slots = false;
     }},
    {"familyInfo.dutyByKind",  // no kind writes
     [](Settings& settings) {
       settings.kinds = {{"r", Role::kReader, 1}};
       settings.may_reserve_slots = false;
     }},
    {"limits.mostTries",
     [](Settings& settings) {
       settings.kinds.pop_back();
       settings.max_attempts = 1;
       settings.may_hedge = false;
     }},
};

constexpr Case kWarningCases[] = {
    {"overShareWorth", [](Settings& settings) { settings.over_quota_weight = 1.5; }},
    {"prices.waste", [](Settings& settings) { settings.prices.wasted_work = -1; }},
    {"familyInfo.moveFee", [](Settings& settings) { settings.prices.remote_transfer = kNan; }},
    {"goal.worstWindow", [](Settings& settings) { settings.goal.worst_window = -1; }},
    {"familyInfo.memoryTokens[0]", [](Settings& settings) { settings.kinds[0].memory_tokens = -1; }},
    {"categories[0].worth", [](Settings& settings) { settings.classes[0].priority_weight = -1; }},
    {"categories[0].lateValue", [](Settings& settings) { settings.classes[0].late_weight = 1.5; }},
    {"familyInfo.writersRead",
     [](Settings& settings) {
       settings.kinds = {{"r", Role::kReader, 1}, {"m", Role::kMixed, 1}};
       settings.writers_can_prefill = true;
     }},
    {"familyInfo.earlyPairing",
     [](Settings& settings) {
       settings.kinds = {{"m", Role::kMixed, 1}};
     }},
    {"limits.mayDuplicate", [](Settings& settings) { settings.max_attempts = 1; }},
    {"familyInfo.resume",
     [](Settings& settings) {
       for (RequestClass& request_class : settings.classes)
         request_class.idempotency = Idempotency::kNonIdempotent;
     }},
    {"categories[2].windowMs", [](Settings& settings) { settings.classes[2].deduplication_window = {}; }},
    {"categories[1].deadlineMs", [](Settings& settings) { settings.classes[1].deadline = seconds(2); }},
    {"guarantees.answerSlackMs", [](Settings& settings) { settings.answer_slack = seconds(6); }},
    {"guarantees.answerSlackMs", [](Settings& settings) { settings.answer_slack = milliseconds(3); }},
    {"familyInfo.pinLimitMs", [](Settings& settings) { settings.reservation_limit = seconds(7); }},
    {"familyInfo.pinLimitMs", [](Settings& settings) { settings.reservation_limit = milliseconds(66); }},
    {"familyInfo.pinLimitMs",
     [](Settings& settings) {
       settings.tick = milliseconds(15);
       settings.reservation_limit = milliseconds(99);
     }},
    {"guarantees.drainGraceMs", [](Settings& settings) { settings.drain_grace = milliseconds(3); }},
    {"guarantees.tipMultiple", [](Settings& settings) { settings.overload_multiple = 0; }},
    {"guarantees.tipMultiple", [](Settings& settings) { settings.overload_multiple = 0.9; }},
    {"guarantees.coldShare", [](Settings& settings) { settings.warmup_initial_share = 0; }},
    {"guarantees.tipAfterMs", [](Settings& settings) { settings.overload_window = {}; }},
    {"guarantees.tipAfterMs", [](Settings& settings) { settings.overload_window = milliseconds(50); }},
    {"loadInfo.source", [](Settings& settings) { settings.report_source = ReportSource::kInProbes; }},
    {"loadInfo.fields", [](Settings& settings) { settings.report_fields.clear(); }},
    {"myZone", [](Settings& settings) { settings.zone = "north"; }},
    {"tenants",
     [](Settings& settings) { settings.tenants[0].quota_rps = settings.tenants[1].quota_rps = 0; }},
    {"limits.maxRetryAfterMs", [](Settings& settings) { settings.max_retry_after = {}; }},
};

TEST(Check, FindsNothingInValidSettings) {
  EXPECT_EQ(check(valid_settings()), std::vector<Finding>{});
  EXPECT_EQ(check_socket_settings(valid_settings()), std::vector<Finding>{});
}

// Each of these changes seems to lack another setting that belongs to it, but none causes a contradiction.
constexpr void (*kUnusualChanges[])(Settings& settings) = {
    [](Settings& settings) { settings.prices.probe = 0.5; },  // probes have a price but are not allowed
    [](Settings& settings) {
      settings.may_probe = true;
      settings.report_source = ReportSource::kNone;
      settings.report_fields = {};
    },
    [](Settings& settings) {
      settings.may_probe = true;
      settings.report_source = ReportSource::kInProbes;
    },
    [](Settings& settings) {
      settings.may_message_peers = true;
      settings.router_count = 1;
    },
    [](Settings& settings) {
      settings.kinds = {{"m", Role::kMixed, 0}};
      settings.may_reserve_slots = false;
      settings.max_attempts = 1;
      settings.may_hedge = false;
    },
    [](Settings& settings) {
      settings.kinds = {{"w", Role::kWriter, 0}};
      settings.writers_can_prefill = true;
      settings.may_reserve_slots = false;
    },
    [](Settings& settings) {
      settings.tenants.clear();
      settings.over_quota_weight = 1;
    },
    [](Settings& settings) { settings.tenants[0].quota_rps = 0; },
    [](Settings& settings) {
      settings.warmup_time = {};
      settings.overload_multiple = 0;
    },
    [](Settings& settings) {
      settings.overload_multiple = 1e9;
      settings.warmup_initial_share = 1;
    },
    [](Settings& settings) {
      settings.zones.clear();
      settings.zone = "";
    },
    [](Settings& settings) {
      settings.goal = {};
      settings.prices = {};
    },
    [](Settings& settings) {
      settings.retry_advice = false;
      settings.max_retry_after = {};
    },
    [](Settings& settings) { settings.tick = settings.answer_slack = settings.drain_grace = {}; },
    [](Settings& settings) {
      settings.tick = milliseconds(15);
      settings.reservation_limit = milliseconds(100);
    },
    [](Settings& settings) {
      settings.connect_timeout = settings.idle_timeout = {};
    },  // valid for a user of the module without sockets
};

TEST(Check, AcceptsUnusualSettingsWithoutAFinding) {
  for (std::size_t i = 0; i < std::size(kUnusualChanges); ++i) {
    Settings settings = valid_settings();
    kUnusualChanges[i](settings);
    EXPECT_EQ(check(settings), std::vector<Finding>{}) << "change " << i;
  }
}

TEST(Check, RejectsSettingsThatAreMeaninglessOrContradictoryOrServeNoRequest) {
  for (const Case& test_case : kRejectedCases) {
    Settings settings = valid_settings();
    test_case.change(settings);
    EXPECT_EQ(check(settings), (std::vector<Finding>{{Severity::kError, test_case.field, "", ""}}));
    try {
      const Router router(settings, 1);
      ADD_FAILURE() << test_case.field << " was accepted";
    } catch (const InvalidSettingsError& error) {
      EXPECT_NE(std::string(error.what()).find(test_case.field), std::string::npos) << error.what();
    }
  }
}

// A router accepts each of these settings: every request gets exactly one answer, in time, and leaves no
// state.
TEST(Check, WarnsAboutUnreasonableSettingsThatARouterAccepts) {
  for (const Case& test_case : kWarningCases) {
    Settings settings = valid_settings();
    test_case.change(settings);
    EXPECT_EQ(check(settings), (std::vector<Finding>{{Severity::kWarning, test_case.field, "", ""}}));
    RouterHarness harness(settings);
    std::vector<EndpointInfo> endpoints;
    for (const EndpointKind& kind : settings.kinds)
      endpoints.push_back(make_endpoint(kind.name + "1", kind.name));
    harness.update_endpoints(endpoints);
    for (const RequestClass& request_class : settings.classes) {
      Request request = harness.make_request(request_class.name, {.request_class = request_class.name});
      request.client_deadline = harness.now() + request_class.deadline;
      harness.submit(request);
      if (harness.active_endpoint(request_class.name) == "r1")
        harness.complete(request_class.name, AttemptStatus::kRead);
      if (!harness.active_endpoint(request_class.name).empty()) {
        harness.send_first_token(request_class.name);
        harness.complete(request_class.name, AttemptStatus::kServed);
      }
      harness.advance(request_class.deadline);
      EXPECT_TRUE(harness.request(request_class.name).is_over)
          << test_case.field << ", class " << request_class.name;
    }
    EXPECT_EQ(harness.table_sizes().requests, 0U) << test_case.field;
  }
}

// The second warning is about the reservation limit, which is longer than this deadline: the deadline is also
// too short for a reserved prompt state to wait.
TEST(Check, RequestsWithADeadlineWithinTwoTicksAreRejectedAtOnce) {
  Settings settings = valid_settings();
  settings.classes.resize(1);
  settings.classes[0].latency_objective = milliseconds(500);
  settings.classes[0].deadline = milliseconds(600);
  settings.tick = settings.answer_slack = milliseconds(300);
  settings.drain_grace = settings.reservation_limit = milliseconds(1000);
  EXPECT_EQ(check(settings), (std::vector<Finding>{{Severity::kWarning, "categories[0].deadlineMs", "", ""},
                                                   {Severity::kWarning, "familyInfo.pinLimitMs", "", ""}}));
  RouterHarness harness(settings);
  harness.update_endpoints({reader("r1"), writer("w1")});
  Request request = harness.make_request("a");
  request.client_deadline = harness.now() + settings.classes[0].deadline;
  harness.submit(request);
  EXPECT_EQ(harness.rejected(), std::vector<routing::RequestId>{"a"});
}

TEST(Check, ReportsAllErrorsAtOnce) {
  Settings settings = valid_settings();
  settings.router_number = 7;
  settings.classes[1].name = "safe";
  settings.overload_multiple = 0;
  settings.max_attempts = 0;
  EXPECT_EQ(check(settings).size(), 4U);
  try {
    const Router router(settings, 1);
    ADD_FAILURE();
  } catch (const InvalidSettingsError& error) {
    EXPECT_EQ(error.findings, check(settings));
    EXPECT_STREQ(
        error.what(),
        "routing: bad settings: field 'myNumber': 7 among 2 dispatchers; wanted: 0 to 1; field "
        "'limits.mostTries': 0; wanted: at least 1; field 'categories[1].name': 'safe' is not unique; "
        "wanted: another name");
  }
}

TEST(Check, SocketSettingsMustAllowConnectionsToBeMadeAndReused) {
  const auto found = [](auto change) {
    Settings settings = valid_settings();
    change(settings);
    return check_socket_settings(settings);
  };
  using All = std::vector<Finding>;
  EXPECT_EQ(found([](Settings& settings) { settings.connect_timeout = {}; }),
            (All{{Severity::kError, "limits.connectTimeoutMs", "", ""}}));
  EXPECT_EQ(found([](Settings& settings) { settings.idle_timeout = {}; }),
            (All{{Severity::kError, "limits.idleCloseMs", "", ""}}));
  EXPECT_EQ(found([](Settings& settings) { settings.connect_timeout = milliseconds(1001); }),
            (All{{Severity::kWarning, "limits.connectTimeoutMs", "", ""}}));
}

// Only an upper bound of the budget is known: its value if one endpoint served all quotas.
TEST(Check, WarnsIfTheQuotasAllowAnOverloadBudgetOfLessThanOneRequest) {
  Settings settings = valid_settings();
  settings.overload_multiple = 2;
  settings.warmup_initial_share = 0.5;
  settings.overload_window = milliseconds(100);
  settings.tenants = {{"one", 9.9}};
  ASSERT_EQ(check(settings).size(), 1U);
  EXPECT_EQ(check(settings)[0].expected, "at least 101.01 ms");
  settings.tenants[0].quota_rps = 10;
  EXPECT_EQ(check(settings), std::vector<Finding>{});
}

}  // namespace
}  // namespace dispatcher::settings
