// Tests the parser of settings: every member, missing members and unknown names.
#include <gtest/gtest.h>

#include <vector>

#include "settings/parse.hpp"
#include "tests/fixtures/simulator_adapter_fixture.hpp"

namespace dispatcher::settings {
namespace {

using namespace routing;
using json::Json;
using simulator_adapter::testing::settings_json;

TEST(SettingsParser, ReadsPermissionsPricesAndTheGoal) {
  Json source = settings_json();
  source["dcs"] = {"east", "west"};
  source["weights"] = "rough";
  source["worthBy"] = "work";
  source["goal"] = {{"whole", 0.3}, {"worstWindow", 0.4}, {"worstClass", 0.2}, {"worstTenant", 0.1}};
  source["clientHabits"] = {{"marksRetry", true}};
  source["loadInfo"] = {{"source", "piggyback"}, {"fields", {"x1", "something new", "rif"}}};
  source["prices"] = {{"waste", 0.22}, {"probe", 0.5},      {"crossZone", 0.028}, {"lateFail", 0.08},
                      {"peer", 0.003}, {"moves", 0.01},     {"connection", 0.02}, {"handshake", 0.04},
                      {"new", "x"},    {"registryMode", 1}, {"origin", 9}};
  source["familyInfo"]["moveFee"] = 0.04;
  source["categories"][0]["aimStretch"] = 1.5;
  source["guarantees"]["askEveryMs"] = 10000;
  source["limits"].update({{"mayProbe", true}, {"mayDuplicate", true}, {"peers", true}, {"openCap", 27264}});
  const Settings settings = parse_settings(source).settings;
  EXPECT_TRUE(settings.may_probe && settings.may_hedge && settings.may_message_peers &&
              settings.clients_mark_retries && settings.weight_by_work);
  EXPECT_EQ(settings.report_source, ReportSource::kInAnswers);
  EXPECT_EQ(settings.report_fields,
            (std::vector<LoadField>{LoadField::kPromptKilotokens, LoadField::kInFlight}));
  EXPECT_EQ(settings.weight_meaning, WeightMeaning::kRough);
  EXPECT_EQ(settings.zones, (std::vector<std::string>{"east", "west"}));
  EXPECT_EQ(settings.poll_interval, std::chrono::seconds(10));
  EXPECT_EQ(settings.max_open_requests, 27264);
  EXPECT_EQ(settings.classes[0].latency_objective_stretch, 1.5);
  const Prices& prices = settings.prices;
  EXPECT_EQ((std::vector<double>{prices.wasted_work, prices.probe, prices.cross_zone, prices.late_failure,
                                 prices.peer_message, prices.remote_transfer, prices.migration,
                                 prices.connection, prices.handshake, prices.endpoint_list_entry}),
            (std::vector<double>{0.22, 0.5, 0.028, 0.08, 0.003, 0.04, 0.01, 0.02, 0.04, 1}));
  EXPECT_EQ((std::vector<double>{settings.goal.total, settings.goal.worst_window, settings.goal.worst_class,
                                 settings.goal.worst_tenant}),
            (std::vector<double>{0.3, 0.4, 0.2, 0.1}));
  source["loadInfo"]["source"] = "pull";
  EXPECT_EQ(parse_settings(source).settings.report_source, ReportSource::kInProbes);
}

TEST(SettingsParser, MissingOrNullPermissionsAreFalseAndMissingOrNullPricesAreZero) {
  for (const Json& absent : {Json(), Json::object()}) {  // if null, the objects are missing; else empty
    Json source = settings_json();
    if (absent.is_object())
      source["prices"] = source["goal"] = source["loadInfo"] = source["clientHabits"] = absent;
    source["weights"] = source["worthBy"] = source["dcs"] = nullptr;
    const Settings settings = parse_settings(source).settings;
    EXPECT_FALSE(settings.may_probe || settings.may_hedge || settings.may_message_peers ||
                 settings.clients_mark_retries || settings.weight_by_work);
    EXPECT_EQ(settings.report_source, ReportSource::kNone);
    EXPECT_EQ(settings.weight_meaning, WeightMeaning::kNothing);
    EXPECT_TRUE(settings.report_fields.empty() && settings.zones.empty());
    EXPECT_EQ(settings.prices.wasted_work + settings.prices.probe + settings.prices.remote_transfer +
                  settings.goal.total + settings.max_open_requests,
              0);
  }
}

TEST(SettingsParser, UnknownNamesOfInformativeSettingsGetTheDefault) {
  Json source = settings_json();
  source["weights"] = source["worthBy"] = "new";
  source["loadInfo"] = {{"source", "new"}};
  const Settings settings = parse_settings(source).settings;
  EXPECT_EQ(settings.weight_meaning, WeightMeaning::kNothing);
  EXPECT_EQ(settings.report_source, ReportSource::kNone);
  EXPECT_FALSE(settings.weight_by_work);
}

}  // namespace
}  // namespace dispatcher::settings
