// Names of the settings in the JSON form that operators and the simulator write. The names are part of that
// format and stay as they are; each constant here maps one of them to the term that the code uses.
#ifndef DISPATCHER_SETTINGS_KEYS_HPP_
#define DISPATCHER_SETTINGS_KEYS_HPP_

#include <cstddef>
#include <string>

namespace dispatcher::settings {

// Identifies a setting by the object (or array of objects) at the top level that holds it, and by its name
// there. `object` is empty for a setting that is at the top level itself.
struct Key {
  const char* object;
  const char* name;
};

// Returns the path of a setting: "limits.mostTries".
[[nodiscard]] inline std::string path(const Key& key) {
  return *key.object == '\0' ? key.name : std::string(key.object) + "." + key.name;
}
// Returns the path of a setting in an array of objects: "categories[1].deadlineMs".
[[nodiscard]] inline std::string path_in_element(const Key& key, std::size_t index) {
  return std::string(key.object) + "[" + std::to_string(index) + "]." + key.name;
}
// Returns the path of an element of a setting that is an array: "familyInfo.tokenAimMs[1]".
[[nodiscard]] inline std::string path_of_element(const Key& key, std::size_t index) {
  return path(key) + "[" + std::to_string(index) + "]";
}

namespace keys {

// Objects and arrays of objects at the top level.
inline constexpr const char* kClasses = "categories";
inline constexpr const char* kTenants = "tenants";
inline constexpr const char* kServingGroup = "familyInfo";
inline constexpr const char* kLimits = "limits";
inline constexpr const char* kGuarantees = "guarantees";
inline constexpr const char* kPrices = "prices";
inline constexpr const char* kGoal = "goal";
inline constexpr const char* kLoadReports = "loadInfo";
inline constexpr const char* kClientBehavior = "clientHabits";

// Top level.
inline constexpr Key kRouterNumber{"", "myNumber"};
inline constexpr Key kRouterCount{"", "balancers"};
inline constexpr Key kZone{"", "myZone"};
inline constexpr Key kZones{"", "dcs"};
inline constexpr Key kEndpointKinds{"", "hostTypes"};
inline constexpr Key kEndpointListDelivery{"", "registryMode"};
inline constexpr Key kWeightMeaning{"", "weights"};
inline constexpr Key kPriorityWeightUnit{"", "worthBy"};
inline constexpr Key kOverQuotaWeight{"", "overShareWorth"};
inline constexpr Key kTick{"", "granularityMs"};

// Request classes. The last two settings are arrays in the serving group, with one element for each class.
inline constexpr Key kClassName{kClasses, "name"};
inline constexpr Key kIdempotency{kClasses, "repeat"};
inline constexpr Key kDeduplicationScope{kClasses, "group"};
inline constexpr Key kDeduplicationWindow{kClasses, "windowMs"};
inline constexpr Key kLatencyObjective{kClasses, "objectiveMs"};
inline constexpr Key kDeadline{kClasses, "deadlineMs"};
inline constexpr Key kPriorityWeight{kClasses, "worth"};
inline constexpr Key kLateWeight{kClasses, "lateValue"};
inline constexpr Key kLatencyObjectiveStretch{kClasses, "aimStretch"};
inline constexpr Key kLatencyObjectivePer1000Tokens{kServingGroup, "aimUsPer1000PromptTokens"};
inline constexpr Key kTokenLatencyObjective{kServingGroup, "tokenAimMs"};

// Tenants.
inline constexpr Key kTenantName{kTenants, "name"};
inline constexpr Key kTenantQuota{kTenants, "quotaRps"};

// The serving group. The first two settings are arrays with one element for each kind of endpoint.
inline constexpr Key kRoles{kServingGroup, "dutyByKind"};
inline constexpr Key kMemoryTokens{kServingGroup, "memoryTokens"};
inline constexpr Key kWritersCanPrefill{kServingGroup, "writersRead"};
inline constexpr Key kMayReserveSlots{kServingGroup, "earlyPairing"};
inline constexpr Key kMayMigrateStreams{kServingGroup, "resume"};
inline constexpr Key kReservationLimit{kServingGroup, "pinLimitMs"};
inline constexpr Key kRemoteTransferPrice{kServingGroup, "moveFee"};

// Load reports.
inline constexpr Key kReportSource{kLoadReports, "source"};
inline constexpr Key kReportFields{kLoadReports, "fields"};

// Behavior of clients.
inline constexpr Key kClientsMarkRetries{kClientBehavior, "marksRetry"};

// Limits and permissions.
inline constexpr Key kConnectTimeout{kLimits, "connectTimeoutMs"};
inline constexpr Key kIdleTimeout{kLimits, "idleCloseMs"};
inline constexpr Key kMayCancel{kLimits, "mayCancel"};
inline constexpr Key kMayProbe{kLimits, "mayProbe"};
inline constexpr Key kMayHedge{kLimits, "mayDuplicate"};
inline constexpr Key kMayMessagePeers{kLimits, "peers"};
inline constexpr Key kRetryAdvice{kLimits, "retryAfter"};
inline constexpr Key kMaxRetryAfter{kLimits, "maxRetryAfterMs"};
inline constexpr Key kMaxAttempts{kLimits, "mostTries"};
inline constexpr Key kMaxOpenRequests{kLimits, "openCap"};

// Times and rates that the deployment guarantees.
inline constexpr Key kPollInterval{kGuarantees, "askEveryMs"};
inline constexpr Key kAnswerSlack{kGuarantees, "answerSlackMs"};
inline constexpr Key kDrainGrace{kGuarantees, "drainGraceMs"};
inline constexpr Key kWarmupInitialShare{kGuarantees, "coldShare"};
inline constexpr Key kWarmupTime{kGuarantees, "coldMs"};
inline constexpr Key kOverloadMultiple{kGuarantees, "tipMultiple"};
inline constexpr Key kOverloadWindow{kGuarantees, "tipAfterMs"};

// Prices. The price of remote transfers belongs to the serving group.
inline constexpr Key kWastedWorkPrice{kPrices, "waste"};
inline constexpr Key kProbePrice{kPrices, "probe"};
inline constexpr Key kCrossZonePrice{kPrices, "crossZone"};
inline constexpr Key kLateFailurePrice{kPrices, "lateFail"};
inline constexpr Key kPeerMessagePrice{kPrices, "peer"};
inline constexpr Key kMigrationPrice{kPrices, "moves"};
inline constexpr Key kConnectionPrice{kPrices, "connection"};
inline constexpr Key kHandshakePrice{kPrices, "handshake"};
inline constexpr Key kEndpointListEntryPrice{kPrices, "registryMode"};

// Weights of the goal.
inline constexpr Key kGoalTotal{kGoal, "whole"};
inline constexpr Key kGoalWorstWindow{kGoal, "worstWindow"};
inline constexpr Key kGoalWorstClass{kGoal, "worstClass"};
inline constexpr Key kGoalWorstTenant{kGoal, "worstTenant"};

}  // namespace keys
}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_KEYS_HPP_
