// Levels in a running dispatcher: signals in, the state machine, and whether a request is shed. No I/O;
// whoever owns it calls tick() and passes the clock in.
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
#include "rate_limit/facts.hpp"

namespace dispatcher::degradation {

class DegradationController : public engine::RequestObserver {
 public:
  static constexpr Duration kTick = std::chrono::milliseconds(500);

  // `random`: numbers from 0 to 1.
  DegradationController(const routing::Settings& settings, std::shared_ptr<const LevelSet> levels,
                        engine::Clock clock, engine::Log log, std::function<double()> random);
  static std::shared_ptr<const LevelSet> read(const cue::File& file, const routing::Settings& settings);

  // Where the file names no level nothing is shed and nothing counted.
  [[nodiscard]] bool active() const { return !machine_.levels().levels().empty(); }
  void adopt(const routing::Settings& settings, std::shared_ptr<const LevelSet> levels);
  void tick(std::size_t open, std::optional<Time> heard);
  void endpoints(const routing::EndpointList& list) { signals_.endpoints(list, clock_()); }

  // None: it passes. Else it is refused at once, to come again after this. `request`: as the rules left it.
  std::optional<Duration> shed(const routing::Request& request, rate_limit::Facts facts);

  // For operators, and for the process that takes over.
  [[nodiscard]] nlohmann::json level() const;
  [[nodiscard]] nlohmann::json changes() const;
  bool order(const std::string& name);       // a level to pin, or "auto"; false: there is none such
  void resume(const nlohmann::json& level);  // as another process's level() told it

  [[nodiscard]] const StateMachine& machine() const { return machine_; }

  void on_first_token(const std::string& request_class, bool late) override;
  void on_request_not_served(const std::string& request_class, engine::NotServedReason reason) override;

 private:
  void tell(const Change& change);

  engine::Clock clock_;
  engine::Log log_;
  std::function<double()> random_;
  expression::Environment fields_;
  Signals signals_;
  StateMachine machine_;
  std::vector<expression::Value> last_;  // signals, as they were at the last tick
  std::uint64_t shed_ = 0;               // since the level in force was entered
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_DEGRADATION_CONTROLLER_HPP_
