// Names of the simulator's JSON protocol. They are part of that format and stay as they are; each constant
// maps one of them to the term that the code uses. The names of load report members are in
// json/load_report.hpp, those of settings in settings/keys.hpp.
#ifndef DISPATCHER_ADAPTER_PROTOCOL_NAMES_HPP_
#define DISPATCHER_ADAPTER_PROTOCOL_NAMES_HPP_

namespace dispatcher::simulator_adapter {

// Messages from the simulator that concern the whole process.
namespace control_messages {
inline constexpr const char* kSetTime = "turn";
inline constexpr const char* kEndOfBatch = "flush";
inline constexpr const char* kEndpointListPage = "page";
}  // namespace control_messages

// Messages from the simulator to one dispatcher.
namespace dispatcher_messages {
inline constexpr const char* kStart = "boot";
inline constexpr const char* kStop = "crashNow";
inline constexpr const char* kEndpointList = "topology";
inline constexpr const char* kRequest = "workItem";
inline constexpr const char* kAttemptCompleted = "closedAttempt";
inline constexpr const char* kFirstToken = "underWay";
inline constexpr const char* kReservationResult = "answerAhead";
inline constexpr const char* kClientGone = "clientLeft";
inline constexpr const char* kTimerExpired = "tickDue";
}  // namespace dispatcher_messages

// Replies to the simulator.
namespace replies {
inline constexpr const char* kStartAttempt = "attempt";
inline constexpr const char* kCancelAttempt = "retract";
inline constexpr const char* kReject = "sayNo";
inline constexpr const char* kFail = "lose";
inline constexpr const char* kMigrateStream = "bounce";
inline constexpr const char* kReserveSlot = "ahead";
inline constexpr const char* kReleaseReservation = "dropState";
inline constexpr const char* kSetTimer = "setAlarm";
inline constexpr const char* kSubscribe = "tail";
inline constexpr const char* kLogMessage = "remark";
inline constexpr const char* kStartFailed = "exception";
inline constexpr const char* kEndOfBatch = "eor";
}  // namespace replies

// Members of messages and replies. Names that end in Ms are numbers of milliseconds.
namespace fields {
inline constexpr const char* kDispatcher = "dispatcher";
inline constexpr const char* kRequest = "req";
inline constexpr const char* kEndpoint = "host";
inline constexpr const char* kAttempt = "trial";

// The clock of the process, and the start of a dispatcher.
inline constexpr const char* kNow = "tMs";
inline constexpr const char* kSettings = "env";
inline constexpr const char* kSeed = "seed";

// Endpoint lists and their pages.
inline constexpr const char* kPage = "ref";
inline constexpr const char* kEntries = "membersList";
inline constexpr const char* kListKind = "how";
inline constexpr const char* kZone = "campus";
inline constexpr const char* kEndpointKind = "sku";
inline constexpr const char* kCell = "block";
inline constexpr const char* kWeight = "heft";
inline constexpr const char* kStarted = "bornMs";
inline constexpr const char* kEndpointState = "condition";

// Requests.
inline constexpr const char* kRequestClass = "service";
inline constexpr const char* kTenant = "userGroup";
inline constexpr const char* kSession = "chat";
inline constexpr const char* kSharedPrefix = "sharedPrefix";
inline constexpr const char* kPromptTokens = "inputLen";
inline constexpr const char* kPrefixTokens = "prefixTokens";
inline constexpr const char* kMaxTokens = "nMax";
inline constexpr const char* kClientDeadline = "clientDeadlineMs";
inline constexpr const char* kRequestFlags = "flags";
inline constexpr const char* kLengthHint = "hintMs";

// Attempts and reservations.
inline constexpr const char* kStatus = "verdict";
inline constexpr const char* kElapsed = "delaySeenMs";
inline constexpr const char* kFinished = "doneFlag";
inline constexpr const char* kNote = "note";
inline constexpr const char* kLoadReport = "pressure";
inline constexpr const char* kReservationStatus = "what";
inline constexpr const char* kDeadline = "notPastMs";
inline constexpr const char* kRetryAfter = "retryInMs";

// Timers, subscriptions and logs.
inline constexpr const char* kTimerTag = "tag";
inline constexpr const char* kTimerDelay = "fromNowMs";
inline constexpr const char* kSubscribed = "on";
inline constexpr const char* kText = "msg";
}  // namespace fields

}  // namespace dispatcher::simulator_adapter

#endif  // DISPATCHER_ADAPTER_PROTOCOL_NAMES_HPP_
