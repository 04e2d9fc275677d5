#include "simulation/traffic.hpp"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace dispatcher::simulation {

namespace {

// Keys of shared prefixes start above those of sessions, because both are keys of the same caches.
constexpr std::uint64_t kFirstPrefixKey = 1ULL << 40U;
constexpr int kMaxTokensFactor = 4;       // max_tokens of requests, as a multiple of the mean answer length
constexpr double kMaxLengthFactor = 8.0;  // the maximum random length, as a multiple of the mean length
constexpr double kMicrosecondsPerSecond = 1e6;

// Returns a uniformly distributed number from 0 to `limit` - 1.
int uniform_below(Random& random, int limit) {
  return boost::random::uniform_int_distribution<int>(0, limit - 1)(random);
}

double exponential(Random& random, double rate) {
  return boost::random::exponential_distribution<double>(rate)(random);
}

}  // namespace

double uniform(Random& random) { return boost::random::uniform_real_distribution<double>(0, 1)(random); }

Duration TrafficGenerator::next_gap(double rate_factor) {
  const double gap_seconds = exponential(random_, parameters_.request_rate * rate_factor);
  return Duration(1 + static_cast<std::int64_t>(gap_seconds * kMicrosecondsPerSecond));
}

int TrafficGenerator::next_dispatcher() { return uniform_below(random_, parameters_.dispatchers); }

int TrafficGenerator::exponential_length(int mean) {
  const double length = exponential(random_, 1.0 / mean);
  return 1 + static_cast<int>(std::min(length, kMaxLengthFactor * mean));
}

// The result of a scenario depends on the order in which random numbers are drawn here.
TrafficGenerator::Arrival TrafficGenerator::next_arrival(Time now) {
  const routing::Settings& settings = parameters_.settings;
  routing::Request request;
  request.id = std::to_string(++request_count_);
  const bool is_non_idempotent = uniform(random_) < parameters_.non_idempotent_fraction;
  const routing::RequestClass& request_class = settings.classes[is_non_idempotent ? 1 : 0];
  request.request_class = request_class.name;
  request.tenant = settings.tenants[static_cast<std::size_t>(uniform_below(random_, 2))].name;
  request.session = 1 + static_cast<std::uint64_t>(uniform_below(random_, parameters_.sessions));
  request.shared_prefix =
      kFirstPrefixKey + static_cast<std::uint64_t>(uniform_below(random_, parameters_.prefixes));
  request.prefix_tokens = parameters_.shared_prefix;
  request.prompt_tokens =
      parameters_.shared_prefix +
      exponential_length(std::max(1, parameters_.mean_prompt - parameters_.shared_prefix));
  request.max_tokens = kMaxTokensFactor * parameters_.mean_answer;
  request.client_deadline =
      now + request_class.deadline +
      2 * request_class.latency_objective_per_1000_tokens * request.prompt_tokens / 1000;
  Job job;
  job.id = request.id;
  job.session = request.session;
  job.prefix = request.shared_prefix;
  job.prompt_tokens = request.prompt_tokens;
  job.prefix_tokens = request.prefix_tokens;
  job.answer_tokens = std::min(request.max_tokens, exponential_length(parameters_.mean_answer));
  return {job, request};
}

}  // namespace dispatcher::simulation
