#include "reference_scorer.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace dispatcher::routing::conformance {
namespace {

constexpr int kBlock = 16;
constexpr std::size_t kBlocksUntold = 31250;
constexpr double kPrefix = 3, kLoad = 2, kMemory = 2;
// "Well above the mean" has no figure in the design. Up to the first no one would call it so; from the others
// on all would.
constexpr double kHardlyAbove = 0.5, kTwice = 2, kFarAbove = 3;

double clamped(double x) { return std::clamp(x, 0.0, 1.0); }

}  // namespace

int Table::tokens(const Key& key) const {
  const auto at =
      std::find_if(entries_.begin(), entries_.end(), [&](const Entry& e) { return e.key == key; });
  return at == entries_.end() ? 0 : at->tokens;
}

void Table::learn(const Key& key, int tokens, int own_tokens, std::size_t max_blocks) {
  Entry entry{key, tokens / kBlock * kBlock, static_cast<std::size_t>(own_tokens / kBlock)};
  for (const Entry& held : entries_) {
    if (held.key == key && held.tokens > entry.tokens) entry = held;  // the longer text was sent there too
  }
  std::erase_if(entries_, [&](const Entry& e) { return e.key == key; });
  entries_.push_front(entry);
  const auto used = [&] {
    return std::accumulate(entries_.begin(), entries_.end(), std::size_t{0},
                           [](std::size_t sum, const Entry& e) { return sum + e.blocks; });
  };
  while (used() > max_blocks) entries_.pop_back();
}

void ReferenceScorer::hear(Time now, const Event& event) {
  now_ = now;
  std::visit([this](const auto& e) { on(e); }, event);
}

void ReferenceScorer::on(const EndpointList& list) {
  if (list.kind == ListKind::kFailed) return;
  if (list.kind != ListKind::kDelta) {
    for (auto& [name, s] : servers_) s.entry.state = EndpointState::kRemoved;
  }
  for (const EndpointInfo& e : list.entries) {
    Server& s = servers_[e.endpoint.value()];
    const bool restarted = !s.entry.endpoint.empty() && s.entry.started != e.started;
    if (bounds_ && restarted) s = {};
    s.entry = e;
    s.role = kind(e.kind)->role;
  }
  if (bounds_)
    std::erase_if(servers_, [](const auto& s) { return s.second.entry.state == EndpointState::kRemoved; });
}

void ReferenceScorer::on(const AdministrativeDrain& m) {
  if (m.offline) {
    offline_.insert(m.endpoint.value());
    return;
  }
  offline_.erase(m.endpoint.value());
  if (const auto s = servers_.find(m.endpoint.value()); bounds_ && s != servers_.end()) {
    const EndpointInfo entry = s->second.entry;
    const Role role = s->second.role;
    s->second = {entry, role, {}, {}, {}, false, 0};
  }
}

void ReferenceScorer::on(const AttemptCompleted& o) {
  if (const auto s = servers_.find(o.endpoint.value());
      s != servers_.end() && (o.report.in_hand || o.report.memory_share || o.report.prompt_kilotokens)) {
    s->second.report = o.report;
    s->second.reported = now_;
    s->second.since = 0;
  }
  const auto at = open_.find(o.request.value());
  if (at == open_.end()) return;
  Open& open = at->second;
  open.at.clear();
  open.tokens = 0;
  if (o.status == AttemptStatus::kRead) open.state_at = o.endpoint.value();
  if (o.evidence != AttemptEvidence::kNone &&
      (o.status == AttemptStatus::kFull || o.status == AttemptStatus::kReset))
    open.state_at.clear();
  if (o.finished) open_.erase(at);
}

void ReferenceScorer::on(const FirstToken& f) {
  if (const auto at = open_.find(f.request.value()); at != open_.end()) {
    at->second.state_at.clear();
    at->second.tokens = 0;
  }
}

void ReferenceScorer::see(const Action& action) {
  if (const auto* release = std::get_if<ReleaseReservation>(&action)) {
    if (const auto at = open_.find(release->request.value()); at != open_.end()) at->second.state_at.clear();
  }
  const auto* send = std::get_if<StartAttempt>(&action);
  if (send == nullptr) return;
  Open& open = open_.at(send->request.value());
  Server& s = servers_.at(send->endpoint.value());
  const Request& r = open.request;
  open.at = send->endpoint.value();
  open.writes = s.role != Role::kReader;
  s.used = true;
  if (s.role == Role::kWriter || !open.state_at.empty()) return;
  open.tokens = std::max(0, r.prompt_tokens - covered(s, r));
  s.since += open.tokens;
  const double tokens = kind(s.entry.kind)->memory_tokens;
  const std::size_t maximum = tokens > 0 ? static_cast<std::size_t>(tokens) / kBlock : kBlocksUntold;
  const int shared = r.shared_prefix != 0 ? r.prefix_tokens : 0;
  if (r.session != 0)
    s.table.learn({r.shared_prefix, r.session}, r.prompt_tokens, r.prompt_tokens - shared, maximum);
  if (shared != 0) s.table.learn({r.shared_prefix, 0}, shared, shared, maximum);
}

const EndpointKind* ReferenceScorer::kind(const std::string& name) const {
  const auto is = [&](const EndpointKind& k) { return k.name == name; };
  return &*std::find_if(settings_.kinds.begin(), settings_.kinds.end(), is);
}

int ReferenceScorer::covered(const Server& s, const Request& r) const {
  const int session = r.session != 0 ? s.table.tokens({r.shared_prefix, r.session}) : 0;
  const int shared =
      r.shared_prefix != 0 ? std::min(s.table.tokens({r.shared_prefix, 0}), r.prefix_tokens) : 0;
  return std::min(std::max(session, shared), r.prompt_tokens);
}

double ReferenceScorer::out(const std::string& endpoint) const {
  return std::accumulate(open_.begin(), open_.end(), 0.0, [&](double sum, const auto& o) {
    return sum + (o.second.at == endpoint ? o.second.tokens : 0);
  });
}

int ReferenceScorer::waiting(const std::string& endpoint) const {
  return static_cast<int>(std::count_if(open_.begin(), open_.end(),
                                        [&](const auto& o) { return o.second.state_at == endpoint; }));
}

int ReferenceScorer::own_streams(const std::string& endpoint) const {
  return static_cast<int>(std::count_if(
      open_.begin(), open_.end(), [&](const auto& o) { return o.second.at == endpoint && o.second.writes; }));
}

// Over the ready servers of a role that say it.
template <typename Of>
std::optional<double> ReferenceScorer::mean_heard(Role role, Of of) const {
  double sum = 0, count = 0;
  for (const auto& [name, s] : servers_) {
    const std::optional<double> said = s.role == role && ready(s) ? of(s) : std::nullopt;
    sum += said.value_or(0);
    count += said ? 1 : 0;
  }
  return count > 0 ? std::optional(sum / count) : std::nullopt;
}

double ReferenceScorer::aged(double value, double mean, const Server& s) const {
  if (!bounds_) return value;
  const double halves =
      static_cast<double>((now_ - s.reported).count()) / static_cast<double>(bounds_->half_life.count());
  return mean + (value - mean) * std::exp2(-halves);
}

// Last reported work and our sends since, else our sends out; one never heard of nor used counts as the
// average.
double ReferenceScorer::load(const Server& s) const {
  const auto reported = [](const Server& of) { return of.report.prompt_kilotokens; };
  const auto known = [](const Server& of) -> std::optional<double> {
    if (!of.report.prompt_kilotokens) return std::nullopt;
    return 1000 * *of.report.prompt_kilotokens + of.since;
  };
  if (s.report.prompt_kilotokens)
    return 1000 * aged(*s.report.prompt_kilotokens, mean_heard(s.role, reported).value_or(0), s) + s.since;
  const auto average = mean_heard(s.role, known);
  return !s.used && s.reported == Time{} && average ? *average : out(s.entry.endpoint.value());
}

double ReferenceScorer::memory(const Server& s) const {
  const auto reported = [](const Server& of) { return of.report.memory_share; };
  if (s.report.memory_share) return aged(*s.report.memory_share, mean_heard(s.role, reported).value_or(0), s);
  double maximum = bounds_ ? bounds_->min_states : 1;
  for (const auto& [name, of] : servers_) {
    if (ready(of)) maximum = std::max(maximum, static_cast<double>(waiting(name)));
  }
  return waiting(s.entry.endpoint.value()) / maximum;
}

std::map<std::string, Score> ReferenceScorer::scores(const Request& request) const {
  std::map<std::string, double> loads;
  std::map<std::string, Score> result;
  std::map<Role, std::pair<double, double>> of_role;  // sum of loads, servers
  for (const auto& [name, s] : servers_) {
    if (!ready(s) || s.role == Role::kWriter) continue;
    double tokens = load(s);
    if (bounds_) tokens += bounds_->fixed_tokens * (1 + (s.role == Role::kMixed ? own_streams(name) : 0));
    loads[name] = tokens;
    of_role[s.role].first += tokens;
    of_role[s.role].second += 1;
  }
  double minimum = 1e300, maximum = 0;
  for (auto& [name, l] : loads) {
    const auto& [sum, count] = of_role[servers_.at(name).role];
    const double mean = std::max(sum / count, bounds_ ? bounds_->min_mean_tokens : 0);
    l = mean > 0 ? l / mean : 0;
    minimum = std::min(minimum, l);
    maximum = std::max(maximum, l);
  }
  double spread = maximum - minimum;
  if (bounds_) spread = std::clamp(spread, bounds_->spread_floor, bounds_->spread_max);
  const double total = kPrefix + kLoad + kMemory;
  for (const auto& [name, l] : loads) {
    const Server& s = servers_.at(name);
    Score score;
    if (request.prompt_tokens > 0)
      score.prefix = clamped(covered(s, request) / double(request.prompt_tokens));
    score.load = spread > 0 ? clamped(1 - (l - minimum) / spread) : 1;
    score.memory = clamped(1 - memory(s));
    score.sum = (kPrefix * score.prefix + kLoad * score.load + kMemory * score.memory) / total;
    result[name] = score;
  }
  return result;
}

int ReferenceScorer::kept(const std::string& request) const {
  const Open& open = open_.at(request);
  return open.request.prompt_tokens - static_cast<int>(open.tokens);
}

std::map<std::string, double> ReferenceScorer::streams() const {
  std::map<std::string, double> result;
  for (const auto& [name, s] : servers_) {
    if (s.role == Role::kWriter && ready(s)) result[name] = s.report.in_hand.value_or(own_streams(name));
  }
  return result;
}

std::set<std::string> ReferenceScorer::writers_for(const std::string& reader) const {
  const std::map<std::string, double> all = streams();
  std::map<std::string, double> near;
  double sum = 0;
  const EndpointInfo& at = servers_.at(reader).entry;
  for (const auto& [name, count] : all) {
    const EndpointInfo& e = servers_.at(name).entry;
    if (e.zone == at.zone && e.cell == at.cell) near[name] = count;
    sum += count;
  }
  const auto fewest = [](const std::map<std::string, double>& of) {
    double minimum = 1e300;
    for (const auto& [name, count] : of) minimum = std::min(minimum, count);
    std::set<std::string> result;
    for (const auto& [name, count] : of) {
      if (count == minimum) result.insert(name);
    }
    return result;
  };
  if (near.empty()) return fewest(all);
  const double mean = sum / static_cast<double>(all.size());
  const double best = near.at(*fewest(near).begin());
  if (best <= mean + kHardlyAbove) return fewest(near);
  if (best >= kTwice * mean && best >= mean + kFarAbove) return fewest(all);
  return {};
}

}  // namespace dispatcher::routing::conformance
