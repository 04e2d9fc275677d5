// Applies degradation levels in a running dispatcher: collects the signals, drives the state machine and
// decides whether a request is shed. No I/O; the owner calls tick() and passes the clock in.
#ifndef DISPATCHER_DEGRADATION_DEGRADATION_CONTROLLER_HPP_
#define DISPATCHER_DEGRADATION_DEGRADATION_CONTROLLER_HPP_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "degradation/signals.hpp"
#include "degradation/state_machine.hpp"
#include "engine/engine.hpp"
#include "rate_limit/request_attributes.hpp"

namespace dispatcher::degradation {

// Shared by all frontends of a process. Owned by the daemon and used on its event loop only. The engine calls
// the RequestObserver functions from within its own handlers on that loop.
class DegradationController : public engine::RequestObserver {
 public:
  // Interval at which tick() must be called: at most a fifth of the shortest default time in a levels file.
  static constexpr Duration kTick = std::chrono::milliseconds(500);

  // `random` returns numbers from 0 to 1.
  DegradationController(const routing::Settings& settings, std::shared_ptr<const LevelSet> levels,
                        engine::Clock clock, engine::Log log, std::function<double()> random);

  // Parses a levels file for these settings. Throws cue::Errors with all problems, so that calling this
  // function is enough to check a file.
  static std::shared_ptr<const LevelSet> read(const cue::File& file, const routing::Settings& settings);

  // Returns whether there are levels. Without levels, no request is shed and no signal is collected.
  [[nodiscard]] bool active() const { return !machine_.levels().levels().empty(); }
  // Replaces the settings and the levels. The level in force stays if the new set contains it (see
  // StateMachine::replace_levels).
  void apply_settings(const routing::Settings& settings, std::shared_ptr<const LevelSet> levels);
  // Evaluates the signals and changes the level if required. `in_progress`: number of open requests.
  // `endpoints_updated_at`: when service discovery last confirmed the endpoint list, or nullopt if it never
  // has.
  void tick(std::size_t in_progress, std::optional<Time> endpoints_updated_at);
  // Applies a complete endpoint list or a change to the last one.
  void update_endpoints(const routing::EndpointList& list) { signals_.update_endpoints(list, clock_()); }

  // Decides whether the request is shed. Returns its Retry-After if it is shed, else nullopt. Also counts the
  // request's arrival. `request` is the request as changed by the rate limiting rules; its class, account and
  // session replace those of `attributes`.
  [[nodiscard]] std::optional<Duration> shed(const routing::Request& request,
                                             rate_limit::RequestAttributes attributes);

  // Returns the level in force and the last signals, for operators and for the successor in a hot restart
  // (see restore()).
  [[nodiscard]] nlohmann::json status() const;
  // Returns the names of the levels and the latest changes, for operators.
  [[nodiscard]] nlohmann::json history() const;
  // Sets an operator's override to the level called `name`, or clears it if `name` is "auto". Returns false
  // if there is no such level.
  [[nodiscard]] bool set_override(const std::string& name);
  // Restores the level from the status() of the predecessor in a hot restart. Ignores a malformed status.
  void restore(const nlohmann::json& status);

  // Returns the state machine, which holds the level in force, its history and the levels.
  [[nodiscard]] const StateMachine& machine() const { return machine_; }

  // RequestObserver, called by the engine:
  void on_first_token(const std::string& request_class, FirstTokenTiming timing) override;
  void on_request_not_served(const std::string& request_class, engine::NotServedReason reason) override;

 private:
  void log_change(const LevelChange& change);

  engine::Clock clock_;
  engine::Log log_;
  std::function<double()> random_;
  expression::Environment fields_;  // the signals' fields
  Signals signals_;
  StateMachine machine_;
  std::vector<expression::Value> last_signals_;  // the signals at the last tick()
  std::uint64_t shed_count_ = 0;                 // requests shed since the level in force was entered
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_DEGRADATION_CONTROLLER_HPP_
