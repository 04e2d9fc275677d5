// Settings of the router: the properties of a deployment, its service-level objectives and what it permits.
//
// Plain values without behaviour. settings/check.hpp defines which values are valid; the constructor of
// Router rejects the others. All durations are in microseconds.
#ifndef DISPATCHER_ROUTING_SETTINGS_HPP_
#define DISPATCHER_ROUTING_SETTINGS_HPP_

#include <chrono>
#include <string>
#include <vector>

namespace dispatcher::routing {

using Duration = std::chrono::microseconds;
using Time = std::chrono::microseconds;  // since the origin of the dispatcher's steady clock

// What an endpoint does: readers process prompts (prefill), writers generate tokens from a prompt's state
// (decode), mixed ones do both.
enum class Role { kReader, kWriter, kMixed };

// Whether a request may be executed more than once. Endpoints discard repeats of a keyed request for a while.
enum class Idempotency { kIdempotent, kKeyed, kNonIdempotent };

// The endpoints that discard each other's repeats of a keyed request.
enum class DeduplicationScope { kAll, kZone, kCell };

// The messages in which endpoints send load reports.
enum class ReportSource {
  kNone,
  kInAnswers,  // in answers and in health checks
  kInProbes    // in health checks only
};

// The fields that load reports may have; LoadReport has those that the router uses.
enum class LoadField {
  kInFlight,
  kQueued,
  kBusy,
  kLatency,
  kRate,
  kFailRate,
  kMemoryShare,
  kPromptKilotokens
};

// How EndpointInfo::weight relates to an endpoint's capacity.
enum class WeightMeaning {
  kNothing,  // not at all
  kNominal,  // the capacity that it should have
  kRough,    // an estimate
  kLive      // measured, and updated with the list
};

// A class of requests and its service-level objectives.
struct RequestClass {
  std::string name;  // unique among the classes
  Idempotency idempotency{};
  DeduplicationScope deduplication_scope{};
  Duration deduplication_window{};  // for keyed requests: how long after the first send repeats are discarded
  Duration latency_objective{};     // a first token within this time has its full value
  Duration latency_objective_per_1000_tokens{};  // added to it for each 1,000 prompt tokens
  Duration deadline{};                           // time from arrival within which a request must be answered
  Duration token_latency_objective{};            // wanted mean time between tokens
  double priority_weight{};                      // value of a request that is answered in time
  double late_weight{};                          // value of one that is answered after its objective
  double latency_objective_stretch{};  // the objective grows by this multiple of the request's own work
};

// A customer with a request quota.
struct Tenant {
  std::string name;
  double quota_rps{};  // requests per second, over all routers together
};

// A hardware and model variant of endpoints.
struct EndpointKind {
  std::string name;
  Role role{};
  double memory_tokens{};  // size of the prefix cache; 0 if unknown
};

// Costs that are subtracted from the score by which a deployment is judged, each multiplied by a share or
// rate; 0 if not priced. They are parsed and checked, but no decision of the router depends on them.
struct Prices {
  double wasted_work{};          // endpoint work that served no answer, as a share of the work asked for
  double probe{};                // health checks and reservations, per first attempt
  double cross_zone{};           // attempts that cross zones, per first attempt
  double late_failure{};         // weight of requests that failed after their objective
  double peer_message{};         // full messages (256 bytes) delivered to other routers, per first attempt
  double remote_transfer{};      // prompt tokens moved out of their cell, as a share of all
  double migration{};            // migrated streams, per first attempt
  double connection{};           // mean number of open connections / (100 x endpoints)
  double handshake{};            // new connections, per first attempt
  double endpoint_list_entry{};  // lines of endpoint lists sent / (100 x first attempts)
};

// Weights of the parts of that score: over all requests, in the worst time window, of the worst request class
// and of the worst tenant. They are parsed and checked, but no decision of the router depends on them.
struct Goal {
  double total{}, worst_window{}, worst_class{}, worst_tenant{};
};

// All settings of one router.
struct Settings {
  int router_number{};             // number of this router in its fleet, from 0 to router_count - 1
  int router_count{};              // number of routers in the fleet, which share endpoints and quotas
  std::string zone;                // the router's own zone
  std::vector<std::string> zones;  // the zones that `zone` is one of; may be empty
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;  // may be empty
  std::vector<EndpointKind> kinds;
  bool polls_endpoint_list{};  // endpoint lists are delivered only after Subscribe
  Duration poll_interval{};    // interval of these polls; a list older than this counts as delivered
  WeightMeaning weight_meaning{};
  ReportSource report_source{};
  std::vector<LoadField> report_fields;
  bool writers_can_prefill{};   // a writer that gets no state processes the prompt itself
  bool may_reserve_slots{};     // ReserveSlot is allowed
  bool may_migrate_streams{};   // MigrateStream is allowed; clients resend requests whose stream broke
  bool may_cancel{};            // CancelAttempt is allowed
  bool may_probe{};             // endpoints may be sent health checks
  bool may_hedge{};             // two attempts of one request may be in flight together (hedging)
  bool may_message_peers{};     // routers may send each other messages
  bool clients_mark_retries{};  // clients mark their retries; see Request::client_retry
  bool retry_advice{};          // Reject may carry retry_after
  Duration max_retry_after{};   // upper bound of retry_after
  int max_attempts{};           // attempts of one request, at least 1
  // The first attempts of a request, up to this number, do not count against max_attempts if they end as
  // kConnectFailed.
  int free_connect_failures{};
  // Whether the reservation limit of a prompt's state runs on until an attempt is known to have reached a
  // writer, so that neither a failed connection nor a request that was merely written extends it.
  bool reservation_expires_until_delivery{};
  int max_open_requests{};     // requests that are received and not answered yet; 0 if unlimited
  bool weight_by_work{};       // priority weight counts by work, otherwise by request
  double over_quota_weight{};  // factor on the priority weight of over-quota requests
  Prices prices;
  Goal goal;
  Duration tick{};               // shortest time between two batches of events
  Duration answer_slack{};       // an answer that is this late still keeps the client's deadline
  Duration drain_grace{};        // time for which a draining endpoint completes its running attempts
  Duration reservation_limit{};  // how long a prompt's state may wait at its reader
  Duration connect_timeout{};    // for dispatchers on sockets: time limit for making a connection
  Duration idle_timeout{};  // for dispatchers on sockets: endpoints close connections that are idle this long
  double warmup_initial_share{};  // least share of its capacity that a started endpoint has
  Duration warmup_time{};         // time after its start from which it has all of its capacity
  // An endpoint is overloaded if it is sent overload_multiple times its capacity within overload_window.
  double overload_multiple{};
  Duration overload_window{};
};

}  // namespace dispatcher::routing

#endif  // DISPATCHER_ROUTING_SETTINGS_HPP_
