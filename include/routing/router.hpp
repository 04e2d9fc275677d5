// Interface of the router: settings, events, actions and the class itself. Types only; every
// decision and tuned value lives in src/router.cpp.
//
// A dispatcher builds one Router, passes each thing that happens to handle() in order and carries out the
// returned actions in order, at once. One Router is used by one thread at a time; instances share nothing.
// Times are microseconds on the dispatcher's own steady clock, from any origin. `now` must not go back (an
// earlier value is taken as the latest seen). Only the constructor throws.
#ifndef DISPATCHER_ROUTING_ROUTER_HPP_
#define DISPATCHER_ROUTING_ROUTER_HPP_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dispatcher::routing {

using Duration = std::chrono::microseconds;
using Time = std::chrono::microseconds;  // since the origin of the dispatcher's clock

enum class Role { kReader, kWriter, kMixed };
enum class Idempotency { kIdempotent, kKeyed, kNonIdempotent };
enum class DeduplicationScope {
  kAll,
  kZone,
  kCell
};  // the hosts that discard each other's repeats of a keyed request
enum class EndpointState { kRemoved, kDraining, kReady };
enum class ReportSource { kNone, kInAnswers, kInProbes };  // where load reports come; kInAnswers: in both
enum class LoadField { kInHand, kQueued, kBusy, kLatency, kRate, kFailRate, kMemoryShare, kPromptKilotokens };
enum class WeightMeaning { kNothing, kNominal, kRough, kLive };  // what EndpointInfo::weight stands for
enum class ListKind { kFull, kFailed, kCached, kDelta };
enum class AttemptStatus {
  kServed,
  kError,
  kFull,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNeverSent,
  kRead
};

struct RequestClass {
  std::string name;
  Idempotency idempotency{};
  DeduplicationScope deduplication_scope{};
  Duration deduplication_window{};               // keyed: how long repeats are discarded, from the first send
  Duration latency_objective{};                  // full worth for a first token within this time ...
  Duration latency_objective_per_1000_tokens{};  // ... plus this for each 1,000 prompt tokens
  Duration deadline{};
  Duration token_latency_objective{};  // wanted mean gap between tokens
  double priority_weight{};
  double late_weight{};
  double latency_objective_stretch{};  // the objective grows by this multiple of the request's own work
};

struct Tenant {
  std::string name;
  double quota_rps{};  // over all routers together
};

struct EndpointKind {
  std::string name;
  Role role{};
  double memory_tokens{};
};

// Points off the result, each times its share or rate; 0: not priced.
struct Prices {
  double waste{};       // host work that served no answer, as a share of the work asked for
  double probe{};       // probes and holds, by first try
  double cross_zone{};  // attempts that cross zones, by first try
  double late_fail{};   // worth that ended unserved after its objective
  double peer{};        // full messages (256 bytes) delivered to routers, by first try
  double far{};         // prompt tokens moved out of their cell, as a share of all
  double move{};        // Move, by first try
  double connection{};  // mean of open connections / (100 x hosts)
  double handshake{};   // new connections, by first try
  double list_line{};   // lines of lists sent / (100 x first tries)
};

// How the parts of the result are weighted.
struct Goal {
  double whole{}, worst_window{}, worst_class{}, worst_tenant{};
};

struct Settings {
  int router_number{};
  int router_count{};
  std::string zone;                // its own ...
  std::vector<std::string> zones;  // ... among these; may be empty
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;  // may be empty
  std::vector<EndpointKind> kinds;
  bool polls_endpoint_list{};  // host lists come only after Subscribe or FetchList
  Duration poll_interval{};    // ... and one that has not asked for so long counts as told
  WeightMeaning weights{};
  ReportSource report_source{};
  std::vector<LoadField> report_fields;
  bool writers_read{};   // a writer without a state reads the prompt itself
  bool early_pairing{};  // Hold is allowed
  bool resume{};         // Move is allowed; a broken stream comes again
  bool may_cancel{};
  bool may_probe{};
  bool may_duplicate{};         // two attempts of one request may be out together
  bool peers{};                 // routers may send each other messages
  bool clients_mark_retries{};  // clients mark their repeats: see Request::client_retry
  bool retry_advice{};          // Refuse may carry retry_after
  Duration max_retry_after{};
  int max_attempts{};
  int free_connect_failures{};  // among so many sends, one that ends as kConnectFailed is none of those
  bool reservation_expires_while_connecting{};  // the pin limit runs on while connections to hosts fail to
                                                // come up
  int max_open_requests{};  // requests that reach a router and are not answered yet; 0: not told
  bool weight_by_work{};    // worth counts by work; else by request
  double over_quota_weight{};
  Prices prices;
  Goal goal;
  Duration tick{};  // least time between two batches of events
  Duration answer_slack{};
  Duration drain_grace{};
  Duration reservation_limit{};
  Duration connect_timeout{};  // for dispatchers on sockets: a connection that is not made by then has failed
  Duration idle_timeout{};     // ... and one that has stood idle for so long is closed by the host
  double warmup_initial_share{};  // a started host has at least this share of its capacity ...
  Duration warmup_time{};         // ... and all of it after this time
  double overload_multiple{};
  Duration overload_window{};
};

// ---- events ----

struct EndpointInfo {
  std::string endpoint, zone, kind;
  int cell{};
  EndpointState state{};
  double weight{};
  Time started{};  // zero: long ago
};
// The list of hosts, or a change of it. Full and cached lists replace all that was known.
struct EndpointList {
  ListKind kind{};
  std::vector<EndpointInfo> entries;
};
// A request that the router now owes exactly one final answer. A known id is ignored; an unknown class is
// answered with Fail at once. The answer comes by client_deadline if timers are delivered on time.
struct Request {
  std::string id, request_class, tenant;
  std::uint64_t session{}, shared_prefix{};  // zero: none
  int prompt_tokens{}, prefix_tokens{}, max_tokens{};
  Time client_deadline{};
  std::optional<Duration> length_hint;  // guessed answer tokens times the class's token objective
  bool client_retry{}, resubmitted{};
};
struct LoadReport {
  std::optional<double> in_hand, memory_share, prompt_kilotokens;
};
// Exactly one for each Send. `finished`: the request got its final answer with or before this outcome.
struct AttemptCompleted {
  std::string request, endpoint;
  int attempt{};
  AttemptStatus status{};
  Duration elapsed{};
  bool finished{};
  int note{};  // kRead, kServed: prompt tokens found cached. kFull: 1 if there was no state to fetch. kError,
               // kReset: 1 if an answer had begun, so that its state was fetched and the endpoint does run.
               // kConnectFailed: 1 if the connection had been made
  LoadReport report;
};
struct FirstToken {
  std::string request, endpoint;
  int attempt{};
  Duration elapsed{};
};
struct ReservationResult {
  std::string request, endpoint;
  bool held{};
};
struct ClientGone {
  std::string request;
};
struct TimerExpired {
  std::uint64_t tag{};
};
// The operators' word on a host, which goes before every list: offline, it gets nothing new until it is
// online again, also where it leaves and returns meanwhile. Repeats change nothing.
struct AdministrativeDrain {
  std::string endpoint;
  bool offline{};
};
// Two processes of one dispatcher, the one taking over from the other, share its part of every budget. What
// one has learned, for the other to go on with ...
struct MovingAverage {
  double mean = 0, dev = 0.5;
  int n = 0;
};
struct LearnedState {
  struct EndpointHistory {
    std::string endpoint;
    std::vector<Time> sends;  // lately, while it is cold
    Time back{};              // when operators put it back
  };
  std::array<MovingAverage, 3> starts;  // microseconds for a token of start work, by role
  MovingAverage far;                    // ... and for a state fetched from another cell
  std::array<int, 3> served{};          // results of the last seconds, by role
  Time since{};                         // when it began to count them
  std::vector<EndpointHistory> endpoints;
};
// ... and a request that the other one sent.
struct PeerForwarded {
  std::string endpoint;
};
// Other settings, for the requests from now on; each open one keeps those that it came in under. They must be
// such that a router can be made of them.
struct SettingsChanged {
  std::shared_ptr<const Settings> settings;
};
using Event = std::variant<EndpointList, Request, AttemptCompleted, FirstToken, ReservationResult, ClientGone,
                           TimerExpired, AdministrativeDrain, LearnedState, PeerForwarded, SettingsChanged>;

// ---- actions ----

// Attempts of a request are numbered from 0 in the order sent; the dispatcher ends one at deadline
// (kTimeout).
struct StartAttempt {
  std::string request, endpoint;
  Time deadline{};
  Time connect_by{};  // for dispatchers on sockets: a connection that is not made by then has failed; zero:
                      // any
};
struct CancelAttempt {
  std::string request;
  int attempt{};
};
struct Reject {  // final; retrying is harmless
  std::string request;
  std::optional<Duration> retry_after;
};
struct Fail {  // final; says nothing of effects
  std::string request;
};
struct MigrateStream {  // ends a running stream in good order; its client comes again
  std::string request;
};
struct ReserveSlot {  // a place for the request at a writer, while it is being read
  std::string request, endpoint;
};
struct ReleaseReservation {  // lets go of all that is held for the request
  std::string request;
};
struct SetTimer {  // Timer{tag} is due at the first batch after this time
  Duration after{};
  std::uint64_t tag{};
};
struct Subscribe {};
struct LogMessage {  // a change of state, for the operators
  std::string text;
};
using Action = std::variant<StartAttempt, CancelAttempt, Reject, Fail, MigrateStream, ReserveSlot,
                            ReleaseReservation, SetTimer, Subscribe, LogMessage>;

// Sizes of the tables, for watching long uptimes.
struct TableSizes {
  std::size_t requests{}, endpoints{}, index_keys{};
};

class Router {
 public:
  Router(const Settings& settings, std::uint64_t seed);  // throws std::invalid_argument naming the setting
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  std::vector<Action> handle(Time now, const Event& event);
  [[nodiscard]] TableSizes table_sizes() const;
  [[nodiscard]] LearnedState learned_state() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_ROUTER_HPP_
