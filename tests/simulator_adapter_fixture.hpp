// Settings in the simulator's JSON form, for the tests of the adapter and of the parser of settings.
#ifndef DISPATCHER_TESTS_SIMULATOR_ADAPTER_FIXTURE_HPP_
#define DISPATCHER_TESTS_SIMULATOR_ADAPTER_FIXTURE_HPP_

#include <nlohmann/json.hpp>

namespace dispatcher::simulator_adapter::testing {

// Settings with one class, one kind of reader and one of writers, and some members that are unknown.
inline nlohmann::json settings_json() {
  return nlohmann::json::parse(
      R"({"balancers":2,"myNumber":0,"myZone":"east","registryMode":"push","granularityMs":4,
    "categories":[{"name":"line","repeat":"safe","objectiveMs":1000,"deadlineMs":6000,"worth":1}],
    "hostTypes":["r","w"],"familyInfo":{"dutyByKind":["read","write"],"pinLimitMs":300,"tokenAimMs":[60],
    "aimUsPer1000PromptTokens":[40000],"memoryTokens":[200000,100000],"resume":true,"news":1},
    "limits":{"mostTries":6,"mayCancel":true},"guarantees":{"answerSlackMs":16,"drainGraceMs":250,"coldShare":0.3,
    "coldMs":13000,"tipMultiple":3,"tipAfterMs":3000},"unknown key":[1,2]})");
}

}  // namespace dispatcher::simulator_adapter::testing

#endif  // DISPATCHER_TESTS_SIMULATOR_ADAPTER_FIXTURE_HPP_
