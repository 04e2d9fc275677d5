// Degradation levels in a running dispatcher: collects the signals, drives the state machine, and decides
// whether a request is shed. No I/O; its owner calls tick() and passes the clock in.
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

// One for all front ends of a process. Owned by the daemon and used on its event loop only; the engine calls
// the RequestObserver part from within its own handlers on that loop.
class DegradationController : public engine::RequestObserver {
 public:
  // How often tick() is due: a fifth of the shortest times that the file of levels has by default, or less.
  static constexpr Duration kTick = std::chrono::milliseconds(500);

  // `random`: numbers from 0 to 1.
  DegradationController(const routing::Settings& settings, std::shared_ptr<const LevelSet> levels,
                        engine::Clock clock, engine::Log log, std::function<double()> random);

  // Parses a file of levels for these settings. Throws cue::Errors with all problems; to check a file it is
  // enough to call this.
  static std::shared_ptr<const LevelSet> read(const cue::File& file, const routing::Settings& settings);

  // Whether there are levels. Without them no request is shed and no signal collected.
  [[nodiscard]] bool active() const { return !machine_.levels().levels().empty(); }
  // The level in force stays where the new set has it (StateMachine::replace_levels).
  void apply_settings(const routing::Settings& settings, std::shared_ptr<const LevelSet> levels);
  // Evaluates the signals and changes the level where due. `in_progress`: open requests.
  // `endpoints_updated_at`: when service discovery last confirmed the endpoint list, if it has.
  void tick(std::size_t in_progress, std::optional<Time> endpoints_updated_at);
  // Takes a complete endpoint list or a change to the last one.
  void update_endpoints(const routing::EndpointList& list) { signals_.update_endpoints(list, clock_()); }

  // Decides whether the request is shed: returns its Retry-After then, else nullopt. Also counts the
  // request's arrival. `request`: after the rate limiting rules; its class, account and session replace those
  // of `attributes`.
  [[nodiscard]] std::optional<Duration> shed(const routing::Request& request,
                                             rate_limit::RequestAttributes attributes);

  // The level in force with its signals, for operators and for the process that takes over (restore()).
  [[nodiscard]] nlohmann::json status() const;
  // The names of the levels and the last changes, for operators.
  [[nodiscard]] nlohmann::json history() const;
  // An operator's override: the name of a level, or "auto" to clear it. False: there is no such level.
  [[nodiscard]] bool set_override(const std::string& name);
  // Adopts the level of the predecessor's status(). A malformed status is ignored.
  void restore(const nlohmann::json& status);

  // The level in force, its history and the levels.
  [[nodiscard]] const StateMachine& machine() const { return machine_; }

  // Events of the engine (RequestObserver).
  void on_first_token(const std::string& request_class, FirstTokenTiming timing) override;
  void on_request_not_served(const std::string& request_class, engine::NotServedReason reason) override;

 private:
  void log_change(const LevelChange& change);

  engine::Clock clock_;
  engine::Log log_;
  std::function<double()> random_;
  expression::Environment fields_;  // of the signals
  Signals signals_;
  StateMachine machine_;
  std::vector<expression::Value> last_signals_;  // as of the last tick
  std::uint64_t shed_count_ = 0;                 // since the level in force was entered
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_DEGRADATION_CONTROLLER_HPP_
