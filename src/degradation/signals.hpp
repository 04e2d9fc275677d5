// The signals that conditions of degradation levels are evaluated on: how this dispatcher served requests
// over the last seconds, and how much of the fleet is ready. No I/O; the clock is passed in. A signal without
// a current value is absent.
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

// Collects events of requests and endpoint lists, and computes the signals from them. Owned by the
// DegradationController and used on its event loop only.
class Signals {
 public:
  // The fields, in the order of values():
  //   ready.readers, ready.writers     endpoints that are ready over those that were lately, 0 to 1
  //   ready.least_zone_readers, ready.least_zone_writers     the same, of the zone that has fewest
  //   refused                          the fraction of requests that were rejected
  //   open                             requests in progress
  //   late.CLASS, for each class       the fraction of first tokens past the class's latency objective
  [[nodiscard]] static expression::Environment fields(const routing::Settings& settings);

  explicit Signals(const routing::Settings& settings) { apply_settings(settings); }

  // Drops classes, accounts and endpoint kinds that the settings no longer define.
  void apply_settings(const routing::Settings& settings);

  // Takes a complete endpoint list or a change to the last one.
  void update_endpoints(const routing::EndpointList& list, Time now);
  // A request got its first token. Classes that the settings don't define are ignored here and below.
  void first_token(const std::string& request_class, FirstTokenTiming timing, Time now);
  // A request ended without a first token.
  void request_not_served(const std::string& request_class, engine::NotServedReason reason, Time now);
  // A request of the account arrived, whether it is served or not.
  void request_arrived(const std::string& account, Time now);

  // `in_progress`: requests. `endpoints_updated_at`: when service discovery last confirmed the endpoint list;
  // readiness is absent once that is too long ago.
  [[nodiscard]] std::vector<expression::Value> values(std::size_t in_progress,
                                                      std::optional<Time> endpoints_updated_at, Time now);
  // The account's request rate over this dispatcher's part of its quota; absent where it has no quota.
  [[nodiscard]] expression::Value quota_usage(const std::string& account, Time now) const;

 private:
  struct Endpoint {
    std::string zone;
    routing::Role role{};
    bool ready = false;
  };
  // The endpoints of a role in a zone. kAllZones: of the complete fleet.
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
  std::map<std::string, double> quotas_;  // requests a second that this dispatcher's part allows, by account
  std::vector<std::string> classes_;
  std::map<routing::EndpointId, Endpoint> endpoints_;
  std::map<ZoneRole, RecentMaximum> ready_maxima_;
  std::map<std::string, WindowedRatio> late_;      // by class
  std::map<std::string, WindowedRatio> arrivals_;  // by account
  WindowedRatio rejected_;
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_SIGNALS_HPP_
