// Generates the traffic of a simulation: the arrival times, dispatchers and contents of requests.
#ifndef DISPATCHER_SIMULATION_TRAFFIC_HPP_
#define DISPATCHER_SIMULATION_TRAFFIC_HPP_

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>

#include "simulation/parameters.hpp"
#include "simulation/simulated_fleet.hpp"

namespace dispatcher::simulation {

// Boost's generator and distributions give the same numbers with every standard library.
using Random = boost::random::mt19937_64;

// Returns a number that is uniformly distributed in [0, 1).
[[nodiscard]] double uniform(Random& random);

// Generates requests with exponentially distributed gaps and lengths. The same parameters and seed give the
// same requests. The parameters must outlive the generator.
class TrafficGenerator {
 public:
  // A request, and the work that it causes at endpoints.
  struct Arrival {
    Job job;
    routing::Request request;
  };

  TrafficGenerator(const Parameters& parameters, std::uint64_t seed)
      : parameters_(parameters), random_(seed) {}

  // Returns the time until the next request, at `rate_factor` times the rate of the parameters.
  [[nodiscard]] Duration next_gap(double rate_factor);
  // Returns a request that arrives at `now`.
  [[nodiscard]] Arrival next_arrival(Time now);
  // Returns the number of the dispatcher that the request is sent to; numbers start at 0.
  [[nodiscard]] int next_dispatcher();

 private:
  // Returns a random length in tokens: at least one, and at most one more than eight times the mean.
  [[nodiscard]] int exponential_length(int mean);

  const Parameters& parameters_;
  Random random_;
  std::uint64_t request_count_ = 0;
};

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_TRAFFIC_HPP_
