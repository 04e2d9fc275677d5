// The traffic of a simulation: the times, dispatchers and contents of requests.
#ifndef DISPATCHER_SIMULATION_TRAFFIC_HPP_
#define DISPATCHER_SIMULATION_TRAFFIC_HPP_

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>

#include "simulation/parameters.hpp"
#include "simulation/simulated_fleet.hpp"

namespace dispatcher::simulation {

// Boost's generator and distributions give the same numbers with every standard library.
using Random = boost::random::mt19937_64;

// A number that is uniformly distributed in [0, 1).
[[nodiscard]] double uniform(Random& random);

// Requests with exponential gaps and lengths. The parameters must outlive it. The same parameters and seed
// give the same requests.
class TrafficGenerator {
 public:
  // A request, and the work that it is to the replicas.
  struct Arrival {
    Job job;
    routing::Request request;
  };

  TrafficGenerator(const Parameters& parameters, std::uint64_t seed)
      : parameters_(parameters), random_(seed) {}

  // The time until the next request, at `rate_factor` times the rate of the parameters.
  [[nodiscard]] Duration next_gap(double rate_factor);
  // A request that arrives at `now`.
  [[nodiscard]] Arrival next_arrival(Time now);
  // The dispatcher that the request goes to, from 0.
  [[nodiscard]] int next_dispatcher();

 private:
  // A length of at least one token, at most eight times the mean.
  [[nodiscard]] int exponential_length(int mean);

  const Parameters& parameters_;
  Random random_;
  std::uint64_t request_count_ = 0;
};

}  // namespace dispatcher::simulation

#endif  // DISPATCHER_SIMULATION_TRAFFIC_HPP_
