// Computes the scores of the design page independently of the routing module: only from the events that a
// router received and the actions that it returned.
#ifndef DISPATCHER_TESTS_CONFORMANCE_REFERENCE_SCORER_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_REFERENCE_SCORER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "prefix_table.hpp"
#include "routing/router.hpp"

namespace dispatcher::routing::conformance {

// Parameters of the module's deliberate deviations from the design: the figures of deviations.json.
struct Bounds {
  double spread_floor{}, spread_max{};  // bounds of the range of loads that min-max normalization stretches,
                                        // as multiples of the mean load
  double min_mean_tokens{}, fixed_tokens{};
  double min_states{};
  Duration half_life{};  // time in which a load report moves halfway to the mean
  double tie_band{};
};

// An endpoint's parts of the score, each from 0 to 1, and their weighted sum.
struct Score {
  double prefix{}, load{}, memory{}, sum{};
};

// Computes the scores for one router. A value type that shares nothing with the router.
class ReferenceScorer {
 public:
  // Without bounds, follows the design page alone; with bounds, also the module's deliberate deviations.
  ReferenceScorer(const Settings& settings, std::optional<Bounds> bounds)
      : settings_(settings), bounds_(bounds) {}

  void observe(Time now, const Event& event);
  void observe(const Action& action);  // must be called in the order in which the router returns actions
  void set_time(Time now) { now_ = now; }

  // Returns the score of each ready reader and mixed endpoint for this request.
  [[nodiscard]] std::map<EndpointId, Score> scores(const Request& request) const;
  // Returns how many prompt tokens the endpoint of a read in flight should have cached.
  [[nodiscard]] int cached_tokens(const RequestId& request) const;
  // Returns the number of streams of each ready writer: the reported number, or else that of this router's
  // own.
  [[nodiscard]] std::map<EndpointId, double> streams() const;
  // Returns the writers to which the design allows a prompt state at this reader to go. Empty if the design
  // does not determine them, as it gives no number for "well above".
  [[nodiscard]] std::set<EndpointId> writers_for(const EndpointId& reader) const;

 private:
  struct Endpoint {
    EndpointInfo info;
    Role role{};
    PrefixTable prefixes{};
    LoadReport report{};
    Time reported_at{};
    bool was_used = false;           // an attempt was sent to it by this router, at any time
    double tokens_since_report = 0;  // prompt tokens sent to it since its last report
  };
  struct OpenRequest {
    Request request;
    EndpointId active_endpoint;  // where an attempt is in flight, if any
    EndpointId prompt_state_at;  // where a prompt state waits, if any
    double unread_tokens = 0;    // prompt tokens that the attempt in flight still has to process
    bool is_at_writer = false;   // the attempt in flight is at a writer or mixed endpoint
  };
  // Loads of the endpoints that can read, divided by the mean load of their role.
  struct RelativeLoads {
    std::map<EndpointId, double> loads;
    double minimum{}, maximum{};
  };
  using LoadField = std::optional<double> LoadReport::*;

  [[nodiscard]] bool is_ready(const Endpoint& endpoint) const;
  [[nodiscard]] const EndpointKind& kind_of(const EndpointInfo& info) const;
  [[nodiscard]] int tokens_cached_at(const Endpoint& endpoint, const Request& request) const;
  [[nodiscard]] double load(const Endpoint& endpoint) const;
  [[nodiscard]] double memory(const Endpoint& endpoint) const;
  [[nodiscard]] std::optional<double> known_load(const Endpoint& endpoint) const;
  [[nodiscard]] double aged_report(const Endpoint& endpoint, LoadField field) const;
  [[nodiscard]] double unread_tokens_at(const EndpointId& endpoint) const;
  [[nodiscard]] int waiting_states(const EndpointId& endpoint) const;
  [[nodiscard]] int own_streams(const EndpointId& endpoint) const;
  [[nodiscard]] RelativeLoads relative_loads() const;
  template <typename ValueOf>
  std::optional<double> mean_over_ready(Role role, ValueOf value_of) const;

  void apply(const EndpointList& list);
  void apply(const Request& request) { open_[request.id].request = request; }
  void apply(const AttemptCompleted& completed);
  void apply(const FirstToken& token);
  void apply(const AdministrativeDrain& drain);
  template <typename Other>
  void apply(const Other&) {}
  void record_attempt(const StartAttempt& start);
  void record_prefixes(Endpoint& endpoint, const Request& request) const;

  Settings settings_;
  std::optional<Bounds> bounds_;
  Time now_{};
  std::map<EndpointId, Endpoint> endpoints_;
  std::set<EndpointId> offline_;
  std::map<RequestId, OpenRequest> open_;
};

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_REFERENCE_SCORER_HPP_
