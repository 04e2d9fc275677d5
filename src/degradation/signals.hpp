// The signals on which the conditions of degradation levels are evaluated: how this dispatcher served
// requests during the last seconds, and how much of the fleet is ready. A signal without a current value is
// absent. No I/O; the clock is passed in.
#ifndef DISPATCHER_DEGRADATION_SIGNALS_HPP_
#define DISPATCHER_DEGRADATION_SIGNALS_HPP_

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "degradation/sliding_window.hpp"
#include "engine/interfaces.hpp"
#include "expression/value.hpp"
#include "routing/router.hpp"

namespace dispatcher::degradation {

using engine::FirstTokenTiming;

// Collects request events and endpoint lists and computes the signals from them. Owned by the
// DegradationController and used on its event loop only.
class Signals {
 public:
  // Returns the signals as fields, in the order of values():
  //   ready.readers, ready.writers     ready endpoints as a fraction of their recent maximum, 0 to 1
  //   ready.least_zone_readers, ready.least_zone_writers     the same for the zone with the smallest fraction
  //   refused                          the fraction of requests that were rejected
  //   open                             requests in progress
  //   late.CLASS, for each class       the fraction of requests whose first token missed the class's latency
  //                                    objective, including requests without a first token
  [[nodiscard]] static expression::Environment fields(const routing::Settings& settings);

  explicit Signals(const routing::Settings& settings) { apply_settings(settings); }

  // Replaces the settings. Drops classes, accounts and endpoint kinds that they no longer define.
  void apply_settings(const routing::Settings& settings);

  // Applies a complete endpoint list or a change to the last one.
  void update_endpoints(const routing::EndpointList& list, Time now);
  // Records that a request got its first token. Requests of classes that the settings don't define are
  // ignored here and in request_not_served().
  void first_token(const std::string& request_class, FirstTokenTiming timing, Time now);
  // Records that a request ended without a first token.
  void request_not_served(const std::string& request_class, engine::NotServedReason reason, Time now);
  // Records that a request of the account arrived, whether or not it is served.
  void request_arrived(const std::string& account, Time now);

  // Returns the signals at `now`. `in_progress`: number of requests in progress. `endpoints_updated_at`: when
  // service discovery last confirmed the endpoint list. If that was never or too long ago, the signals on
  // ready endpoints are absent.
  [[nodiscard]] std::vector<expression::Value> values(std::size_t in_progress,
                                                      std::optional<Time> endpoints_updated_at, Time now);
  // Returns the account's request rate divided by this dispatcher's part of the account's quota, or absent if
  // the account has no quota.
  [[nodiscard]] expression::Value quota_usage(const std::string& account, Time now) const;

 private:
  struct Endpoint {
    std::string zone;
    routing::Role role{};
    bool ready = false;
  };
  // Identifies the endpoints of a role in a zone, or in the whole fleet if the zone is kAllZones.
  struct ZoneRole {
    std::string zone;
    routing::Role role{};
    auto operator<=>(const ZoneRole&) const = default;
  };

  [[nodiscard]] bool has_class(const std::string& request_class) const;
  [[nodiscard]] std::size_t count_ready(const ZoneRole& group) const;
  expression::Value ready_fraction(const ZoneRole& group, Time now);
  expression::Value min_zone_ready_fraction(routing::Role role, Time now);

  std::map<std::string, routing::Role> roles_by_kind_;
  std::map<std::string, double> quotas_;  // this dispatcher's part, in requests per second, by account
  std::vector<std::string> classes_;
  std::map<routing::EndpointId, Endpoint> endpoints_;
  std::map<ZoneRole, RecentMaximum> ready_maxima_;
  std::map<std::string, WindowedRatio> late_;      // by class
  std::map<std::string, WindowedRatio> arrivals_;  // by account
  WindowedRatio rejected_;
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_SIGNALS_HPP_
