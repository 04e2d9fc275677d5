// A day in virtual time: any number of instances of the real engine and module before a model fleet.
#ifndef DISPATCHER_SIMULATION_SCENARIO_HPP_
#define DISPATCHER_SIMULATION_SCENARIO_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "degradation/levels.hpp"
#include "simulation/statistics.hpp"

namespace dispatcher::simulation {

struct RequestOutcome {
  std::string request_class;
  enum class End { kServed, kCut, kRejected, kShed, kFailed, kOpen } end = End::kOpen;
  Time asked{};
  Duration aim{};    // of its class, for its prompt
  Duration first{};  // of kServed, kCut: until the first token
  bool in_time = false;
};
const char* name(RequestOutcome::End end);

struct Result {
  std::vector<RequestOutcome> outcomes;  // in the order asked
  double served_weight = 0, total_weight = 0;
  std::size_t twice = 0;    // requests that must not run twice and did
  std::size_t pinned = 0;   // read states left at the end
  std::size_t changes = 0;  // of levels, over all instances
  [[nodiscard]] double in_time(const std::string& request_class) const;  // the part of the class's requests
  [[nodiscard]] std::string csv()
      const;  // a line a second: asked, served in time, late, refused, shed, failed by class
};

// The same figures and seed give the same result. `levels`: what each instance is reduced by; none.
Result play(const Statistics& figures, std::uint64_t seed,
            std::shared_ptr<const degradation::LevelSet> levels = nullptr);

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_SCENARIO_HPP_
