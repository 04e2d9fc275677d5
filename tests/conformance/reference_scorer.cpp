#include "reference_scorer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace dispatcher::routing::conformance {
namespace {

constexpr std::size_t kDefaultBlocks = 31250;  // cache size of an endpoint kind whose memory is unknown
constexpr double kPrefixWeight = 3, kLoadWeight = 2, kMemoryWeight = 2;
// The design says "well above the mean" without a number. A count of at most kSlightExcess above the mean is
// surely not well above it. A count of at least kDouble times the mean and at least kLargeExcess above it
// surely is.
constexpr double kSlightExcess = 0.5, kDouble = 2, kLargeExcess = 3;

double clamp_to_unit(double x) { return std::clamp(x, 0.0, 1.0); }

bool has_load(const LoadReport& report) {
  return report.in_flight || report.memory_share || report.prompt_kilotokens;
}

std::set<EndpointId> endpoints_with_minimum(const std::map<EndpointId, double>& counts) {
  double minimum = std::numeric_limits<double>::max();
  for (const auto& [id, count] : counts) minimum = std::min(minimum, count);
  std::set<EndpointId> result;
  for (const auto& [id, count] : counts) {
    if (count == minimum) result.insert(id);
  }
  return result;
}

}  // namespace

// ---- events ----

void ReferenceScorer::observe(Time now, const Event& event) {
  now_ = now;
  std::visit([this](const auto& alternative) { apply(alternative); }, event);
}

void ReferenceScorer::apply(const EndpointList& list) {
  if (list.kind == ListKind::kFailed) return;
  if (list.kind != ListKind::kDelta) {
    for (auto& [id, endpoint] : endpoints_) endpoint.info.state = EndpointState::kRemoved;
  }
  for (const EndpointInfo& info : list.entries) {
    Endpoint& endpoint = endpoints_[info.endpoint];
    const bool was_known = !endpoint.info.endpoint.empty();
    const bool is_restarted = was_known && endpoint.info.started != info.started;
    if (bounds_ && is_restarted) endpoint = {};
    endpoint.info = info;
    endpoint.role = kind_of(info).role;
  }
  if (!bounds_) return;
  std::erase_if(endpoints_,
                [](const auto& entry) { return entry.second.info.state == EndpointState::kRemoved; });
}

void ReferenceScorer::apply(const AdministrativeDrain& drain) {
  if (drain.state == AdministrativeState::kDrained) {
    offline_.insert(drain.endpoint);
    return;
  }
  offline_.erase(drain.endpoint);
  const auto it = endpoints_.find(drain.endpoint);
  if (!bounds_ || it == endpoints_.end()) return;
  Endpoint returned;  // everything known about the endpoint is forgotten
  returned.info = it->second.info;
  returned.role = it->second.role;
  it->second = returned;
}

void ReferenceScorer::apply(const AttemptCompleted& completed) {
  const auto endpoint = endpoints_.find(completed.endpoint);
  if (endpoint != endpoints_.end() && has_load(completed.report)) {
    endpoint->second.report = completed.report;
    endpoint->second.reported_at = now_;
    endpoint->second.tokens_since_report = 0;
  }
  const auto it = open_.find(completed.request);
  if (it == open_.end()) return;
  OpenRequest& open = it->second;
  open.active_endpoint = EndpointId();
  open.unread_tokens = 0;
  if (completed.status == AttemptStatus::kRead) open.prompt_state_at = completed.endpoint;
  const bool is_state_lost =
      completed.evidence != AttemptEvidence::kNone &&
      (completed.status == AttemptStatus::kFull || completed.status == AttemptStatus::kReset);
  if (is_state_lost) open.prompt_state_at = EndpointId();
  if (completed.finished) open_.erase(it);
}

void ReferenceScorer::apply(const FirstToken& token) {
  const auto it = open_.find(token.request);
  if (it == open_.end()) return;
  it->second.prompt_state_at = EndpointId();
  it->second.unread_tokens = 0;
}

// ---- actions ----

void ReferenceScorer::observe(const Action& action) {
  if (const auto* release = std::get_if<ReleaseReservation>(&action)) {
    const auto it = open_.find(release->request);
    if (it != open_.end()) it->second.prompt_state_at = EndpointId();
  } else if (const auto* start = std::get_if<StartAttempt>(&action)) {
    record_attempt(*start);
  }
}

void ReferenceScorer::record_attempt(const StartAttempt& start) {
  OpenRequest& open = open_.at(start.request);
  Endpoint& endpoint = endpoints_.at(start.endpoint);
  open.active_endpoint = start.endpoint;
  open.is_at_writer = endpoint.role != Role::kReader;
  endpoint.was_used = true;
  const bool is_read = endpoint.role != Role::kWriter && open.prompt_state_at.empty();
  if (!is_read) return;
  open.unread_tokens = std::max(0, open.request.prompt_tokens - tokens_cached_at(endpoint, open.request));
  endpoint.tokens_since_report += open.unread_tokens;
  record_prefixes(endpoint, open.request);
}

void ReferenceScorer::record_prefixes(Endpoint& endpoint, const Request& request) const {
  const double memory_tokens = kind_of(endpoint.info).memory_tokens;
  const std::size_t max_blocks =
      memory_tokens > 0 ? static_cast<std::size_t>(memory_tokens) / kBlockTokens : kDefaultBlocks;
  const int shared_tokens = request.shared_prefix != 0 ? request.prefix_tokens : 0;
  if (request.session != 0) {
    endpoint.prefixes.record({request.shared_prefix, request.session}, request.prompt_tokens,
                             request.prompt_tokens - shared_tokens, max_blocks);
  }
  if (shared_tokens != 0)
    endpoint.prefixes.record({request.shared_prefix, 0}, shared_tokens, shared_tokens, max_blocks);
}

// ---- properties of endpoints ----

bool ReferenceScorer::is_ready(const Endpoint& endpoint) const {
  return endpoint.info.state == EndpointState::kReady && !offline_.contains(endpoint.info.endpoint);
}

const EndpointKind& ReferenceScorer::kind_of(const EndpointInfo& info) const {
  return *std::ranges::find(settings_.kinds, info.kind, &EndpointKind::name);
}

int ReferenceScorer::tokens_cached_at(const Endpoint& endpoint, const Request& request) const {
  int session_tokens = 0, shared_prefix_tokens = 0;
  if (request.session != 0)
    session_tokens = endpoint.prefixes.tokens({request.shared_prefix, request.session});
  if (request.shared_prefix != 0) {
    shared_prefix_tokens =
        std::min(endpoint.prefixes.tokens({request.shared_prefix, 0}), request.prefix_tokens);
  }
  return std::min(std::max(session_tokens, shared_prefix_tokens), request.prompt_tokens);
}

int ReferenceScorer::cached_tokens(const RequestId& request) const {
  const OpenRequest& open = open_.at(request);
  return open.request.prompt_tokens - static_cast<int>(open.unread_tokens);
}

double ReferenceScorer::unread_tokens_at(const EndpointId& endpoint) const {
  return std::accumulate(open_.begin(), open_.end(), 0.0, [&endpoint](double sum, const auto& entry) {
    const OpenRequest& open = entry.second;
    return sum + (open.active_endpoint == endpoint ? open.unread_tokens : 0);
  });
}

int ReferenceScorer::waiting_states(const EndpointId& endpoint) const {
  return static_cast<int>(std::ranges::count_if(
      open_, [&endpoint](const auto& entry) { return entry.second.prompt_state_at == endpoint; }));
}

int ReferenceScorer::own_streams(const EndpointId& endpoint) const {
  return static_cast<int>(std::ranges::count_if(open_, [&endpoint](const auto& entry) {
    return entry.second.active_endpoint == endpoint && entry.second.is_at_writer;
  }));
}

// Returns the mean over the ready endpoints of a role that have a value; empty if none has one.
template <typename ValueOf>
std::optional<double> ReferenceScorer::mean_over_ready(Role role, ValueOf value_of) const {
  double sum = 0, count = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.role != role || !is_ready(endpoint)) continue;
    const std::optional<double> value = value_of(endpoint);
    if (!value) continue;
    sum += *value;
    count += 1;
  }
  if (count == 0) return std::nullopt;
  return sum / count;
}

// ---- parts of the score ----

// Returns the reported value. With bounds, it decays to the mean of the role's reports as it ages.
double ReferenceScorer::aged_report(const Endpoint& endpoint, LoadField field) const {
  const double value = (endpoint.report.*field).value_or(0);
  if (!bounds_) return value;
  const auto reported = [field](const Endpoint& other) { return other.report.*field; };
  const double mean = mean_over_ready(endpoint.role, reported).value_or(0);
  const double age = static_cast<double>((now_ - endpoint.reported_at).count());
  const double half_lives = age / static_cast<double>(bounds_->half_life.count());
  return mean + (value - mean) * std::exp2(-half_lives);
}

std::optional<double> ReferenceScorer::known_load(const Endpoint& endpoint) const {
  if (!endpoint.report.prompt_kilotokens) return std::nullopt;
  return 1000 * *endpoint.report.prompt_kilotokens + endpoint.tokens_since_report;
}

// Returns the last reported work plus what was sent since, or what is in flight if no work was reported. An
// endpoint that has neither reported nor been used counts as the average.
double ReferenceScorer::load(const Endpoint& endpoint) const {
  if (endpoint.report.prompt_kilotokens)
    return 1000 * aged_report(endpoint, &LoadReport::prompt_kilotokens) + endpoint.tokens_since_report;
  const auto average =
      mean_over_ready(endpoint.role, [this](const Endpoint& other) { return known_load(other); });
  const bool is_unknown = !endpoint.was_used && endpoint.reported_at == Time{};
  if (is_unknown && average) return *average;
  return unread_tokens_at(endpoint.info.endpoint);
}

double ReferenceScorer::memory(const Endpoint& endpoint) const {
  if (endpoint.report.memory_share) return aged_report(endpoint, &LoadReport::memory_share);
  double maximum = bounds_ ? bounds_->min_states : 1;
  for (const auto& [id, other] : endpoints_) {
    if (is_ready(other)) maximum = std::max(maximum, static_cast<double>(waiting_states(id)));
  }
  return waiting_states(endpoint.info.endpoint) / maximum;
}

ReferenceScorer::RelativeLoads ReferenceScorer::relative_loads() const {
  struct Sum {
    double load = 0, count = 0;
  };
  RelativeLoads result;
  std::map<Role, Sum> sums;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!is_ready(endpoint) || endpoint.role == Role::kWriter) continue;
    double tokens = load(endpoint);
    if (bounds_) {
      const int streams = endpoint.role == Role::kMixed ? own_streams(id) : 0;
      tokens += bounds_->fixed_tokens * (1 + streams);
    }
    result.loads[id] = tokens;
    sums[endpoint.role].load += tokens;
    sums[endpoint.role].count += 1;
  }
  result.minimum = std::numeric_limits<double>::max();
  for (auto& [id, relative_load] : result.loads) {
    const Sum& sum = sums[endpoints_.at(id).role];
    const double mean = std::max(sum.load / sum.count, bounds_ ? bounds_->min_mean_tokens : 0);
    relative_load = mean > 0 ? relative_load / mean : 0;
    result.minimum = std::min(result.minimum, relative_load);
    result.maximum = std::max(result.maximum, relative_load);
  }
  return result;
}

std::map<EndpointId, Score> ReferenceScorer::scores(const Request& request) const {
  constexpr double kTotalWeight = kPrefixWeight + kLoadWeight + kMemoryWeight;
  const RelativeLoads relative = relative_loads();
  double spread = relative.maximum - relative.minimum;
  if (bounds_) spread = std::clamp(spread, bounds_->spread_floor, bounds_->spread_max);
  std::map<EndpointId, Score> result;
  for (const auto& [id, relative_load] : relative.loads) {
    const Endpoint& endpoint = endpoints_.at(id);
    Score score;
    if (request.prompt_tokens > 0)
      score.prefix = clamp_to_unit(tokens_cached_at(endpoint, request) / double(request.prompt_tokens));
    score.load = spread > 0 ? clamp_to_unit(1 - (relative_load - relative.minimum) / spread) : 1;
    score.memory = clamp_to_unit(1 - memory(endpoint));
    const double sum = kPrefixWeight * score.prefix + kLoadWeight * score.load + kMemoryWeight * score.memory;
    score.sum = sum / kTotalWeight;
    result[id] = score;
  }
  return result;
}

// ---- writers ----

std::map<EndpointId, double> ReferenceScorer::streams() const {
  std::map<EndpointId, double> result;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.role == Role::kWriter && is_ready(endpoint))
      result[id] = endpoint.report.in_flight.value_or(own_streams(id));
  }
  return result;
}

std::set<EndpointId> ReferenceScorer::writers_for(const EndpointId& reader) const {
  const EndpointInfo& read_at = endpoints_.at(reader).info;
  const std::map<EndpointId, double> all = streams();
  std::map<EndpointId, double> in_cell;  // in the reader's cell
  double sum = 0;
  for (const auto& [id, count] : all) {
    const EndpointInfo& writer = endpoints_.at(id).info;
    if (writer.zone == read_at.zone && writer.cell == read_at.cell) in_cell[id] = count;
    sum += count;
  }
  if (in_cell.empty()) return endpoints_with_minimum(all);
  const double mean = sum / static_cast<double>(all.size());
  const double best = in_cell.at(*endpoints_with_minimum(in_cell).begin());
  if (best <= mean + kSlightExcess) return endpoints_with_minimum(in_cell);
  if (best >= kDouble * mean && best >= mean + kLargeExcess) return endpoints_with_minimum(all);
  return {};
}

}  // namespace dispatcher::routing::conformance
