// The decision module: every decision, table and tuned value. Interface: routing/router.hpp.
#include "routing/router.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "routing/prefix_index.hpp"
#include "routing/slow_start.hpp"
#include "settings/check.hpp"

namespace dispatcher::routing {
namespace {

// ---- tuned constants ----

using Ms = std::chrono::milliseconds;
constexpr double kPrefixWeight = 3, kLoadWeight = 2, kMemoryWeight = 2;  // as in the design
constexpr std::size_t kIndexDefault = 31250;         // blocks, where the settings tell no memory
constexpr double kSpreadFloor = 0.5;                 // of the mean load: min-max stretches no smaller spread
constexpr double kSpreadMax = 2;                     // ... and no larger one: one jammed host hides no line
constexpr double kTieBand = 0.05;                    // scores this near the best are ties: see tie
constexpr double kLoadFloorTokens = 5000;            // least mean load: an idle pool's noise is no load
constexpr double kStatesFloor = 8;                   // fewer states at the fullest reader are no shortage
constexpr double kBaseTokens = 600;                  // an attempt's fixed cost, in prompt tokens
constexpr std::uint64_t kSlots = 2, kMaxSlots = 64;  // places that a shared text has: see slot
constexpr double kHomesPerShare = 4, kHeatMemory = 64;
constexpr double kMixedShare = 0.8, kTilt = 4, kWaitGain = 0.1;  // see tilt
constexpr Duration kReportFade = Ms(3000);  // half-life of what a report says of its host
constexpr double kLeaveCell = 1.2;          // multiple of the fair load at which the cell is left
constexpr double kLeaveCellStreams = 2;     // ... by own streams also this many more
constexpr double kFarShare = 0.4;           // in ties, of a reader with no writer near: see place_hosts
constexpr double kOtherZone = 0.5;          // weight of a far cell that lies in another zone
constexpr int kMinSamples = 8;              // observations before a norm is trusted
constexpr double kNormGain = 0.15, kEndpointGain = 0.25;  // of the moving averages: role slowly, host fast
constexpr double kOutlier = 3;               // multiple of the norm at which an observation is cut
constexpr double kSlowMax = 8, kAlone = 4;   // most that slowness counts; see watch
constexpr Duration kSlowFade = Ms(10000);    // half-life of what was seen of a host
constexpr double kLagFree = 4, kLagMax = 3;  // a standing line: free of weight, and most that it counts
constexpr double kDoubt = 2, kDoubtAlone = 1, kSound = 0.15;  // see note_failure
constexpr double kMaxEjected = 0.5;                           // of a role's hosts: the rest must not drown
constexpr Duration kEjectFor = Ms(1000), kEjectMax = Ms(8000);
constexpr double kOverdue = 3;                               // patience at a host that still answers others
constexpr double kOvertaken = 2, kOvertakenPatience = 0.35;  // see watch: later sends, part of the patience
constexpr double kPatience = 3, kPatienceDev = 3, kPatienceFloor = 1.0;  // see patience; of the objective
constexpr double kMoveQuiet = 0.5;        // of an objective, in silence: a hung writer's streams move
constexpr Duration kFullFor = Ms(300);    // rest of a full host
constexpr Duration kKeyRest = Ms(20000);  // ... for a class and tenant that it turned away
constexpr double kOpenTurn = 0.3;         // added to the score of a cold reader that is open to the request
constexpr Duration kTickEvery = Ms(20), kRateWindow = Ms(8000);  // of own results of warm hosts
constexpr double kPinCare = 0.7;  // of the pin limit after which a state gets no other try
constexpr Duration kLateMemory = Ms(4000), kStartWindow = Ms(3000);  // see note_lateness, hopeless
constexpr double kStuck = 2;   // of its objective: what stands for longer is no line any more
constexpr double kNoTime = 2;  // of the present first-token time: less left to the client is too little
constexpr double kLatePrior = 2, kLateMax = 1.5, kLate = 0.6;
constexpr double kQueueShare = 0.8, kOverShareQueue = 0.3;  // of the objective, that one admitted may wait
constexpr double kShareBurstS = 2, kMinBurst = 3;           // seconds of quota, or requests, used at once

std::size_t ix(Role role) { return static_cast<std::size_t>(role); }
double seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }
Duration scaled(Duration d, double by) { return Duration(std::llround(static_cast<double>(d.count()) * by)); }
std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}
double unit(std::uint64_t x) { return (static_cast<double>(mix(x) >> 11U) + 0.5) / 9007199254740992.0; }
std::uint64_t hash_text(const std::string& text) {
  std::uint64_t h = 1469598103934665603ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return h;
}

struct Norm : MovingAverage {
  void add(double x) {
    if (n >= kMinSamples) x = std::min(x, kOutlier * mean);
    const double gain = std::max(kNormGain, 1.0 / ++n);
    mean += gain * (x - mean);
    if (mean > 0) dev += gain * (std::abs(x - mean) / mean - dev);
  }
  [[nodiscard]] bool known() const { return n >= kMinSamples; }
};

// Of a host, what stays where its process is found to be another one.
struct Standing {
  std::uint64_t hash = 0;
  Role role{};
  double memory_tokens = 0;
  int reads = 0, streams = 0, waiting_states = 0;  // own: reading, writing; read states waiting there
  int begun = 0;                                   // own streams that have had their first token
  std::deque<Time> sends;                          // own sends while it is cold
  EndpointState listed{};  // as discovery has it; state also says whether operators left it out
  Time back{};             // when operators put it back: what they did to it meanwhile left it cold
  bool welcome = false;    // it is back, and got nothing from here since
};

struct Endpoint : EndpointInfo, Standing {
  double near = 1;        // part of what a reader reads that is written close to it: see place_hosts
  double reads_near = 1;  // part of all readers that is in its cell
  PrefixIndex index;
  double read_tokens = 0;  // prompt tokens of own attempts still to be read there
  LoadReport report;
  Time reported_at{};
  double tokens_since_report = 0;
  // health
  double slowness = 1;  // recent times over what they are elsewhere
  double lag = 0;       // age of the oldest attempt out over what its role's norm expects
  double doubt = 0;     // recent failures
  int ejections = 0;
  bool ejected = false, hung = false;
  Time ejected_until{}, full_until{}, last_alive{}, seen_at{};
  std::map<std::pair<std::string, std::string>, Time> rests;  // class and tenant turned away: until when
  [[nodiscard]] bool idle() const { return reads == 0 && streams == 0; }
  [[nodiscard]] bool awaited() const {
    return reads + streams > begun;
  }  // an own attempt there has shown nothing yet
};

struct Place {                      // a cell, a zone or all: what it has of each
  double readers = 0, writers = 0;  // by weight
  [[nodiscard]] double near(const Place& all) const {
    return std::min(1.0, writers * all.readers / std::max(readers * all.writers, 1e-9));
  }
};

enum class Phase { kNeedsRead, kReading, kNeedsWriter, kWriting, kStreaming };

struct Pending {
  Request r;
  std::shared_ptr<const Settings> rules;  // those that it came in under
  const RequestClass* cls = nullptr;      // among them
  Time sent{}, idle_since{}, ran_sent{};
  Phase phase = Phase::kNeedsRead;
  bool late = false;  // counted as late before its first token
  bool out = false, ended = false, cancelled = false, state_held = false, maybe_ran = false;
  bool over_share = false, far = false;        // far: the attempt that is out fetches from another cell
  int attempts = 0, spent = 0, overtaken = 0;  // overtaken: later sends to the same host that it has answered
  std::string endpoint, reader;                // of the attempt that is out; where the read state waits
  std::string ran_zone;
  int ran_cell = 0;
  std::vector<std::string> tried;  // hosts where an attempt of this request failed
  std::uint64_t slot = 0;          // the place of its text: see Impl::slot
  std::uint64_t text = 0;          // its session's, which is another one after another beginning
  double work = 0;                 // expected start work of the attempt that is out, in tokens
  double to_read = 0;              // prompt tokens that it still has to read
  int predicted = 0;               // prompt tokens that the index credits the reader with
  Duration read_time{};
  Time started{};  // of the stream
  [[nodiscard]] Duration latency_objective() const {
    return cls->latency_objective + scaled(cls->latency_objective_per_1000_tokens, r.prompt_tokens / 1000.0);
  }
};

}  // namespace

class Router::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : s_(std::make_shared<const Settings>(settings)), seed_(seed) {
    settings::require_valid(*s_);
  }

  std::vector<Action> handle(Time now, const Event& event) {
    now_ = std::max(now_, now);
    if (!begun_) {
      begun_ = true;
      born_ = now;
      tune();
      if (s_->polls_endpoint_list) act(Subscribe{});
    }
    std::visit([this](const auto& e) { on(e); }, event);
    if (!tick_set_ && (!requests_.empty() || resubscribe_)) {
      tick_set_ = true;
      act(SetTimer{std::max(kTickEvery, s_->tick), 0});
    }
    return std::exchange(actions_, {});
  }

  [[nodiscard]] TableSizes table_sizes() const {
    TableSizes sizes{requests_.size(), endpoints_.size(), 0};
    for (const auto& [name, h] : endpoints_) sizes.index_keys += h.index.where.size();
    return sizes;
  }

  [[nodiscard]] LearnedState learned_state() const {
    LearnedState k{{}, far_norm_, {}, born_, {}};
    for (std::size_t role = 0; role < served_.size(); ++role) {
      k.starts[role] = start_norms_[role];
      k.served[role] = static_cast<int>(served_[role].size());
    }
    for (const auto& [name, h] : endpoints_)
      if (cold(h)) k.endpoints.push_back({name, {h.sends.begin(), h.sends.end()}, h.back});
    return k;
  }

 private:
  void act(Action action) { actions_.push_back(std::move(action)); }
  Endpoint* find_endpoint(const std::string& name) {
    const auto it = endpoints_.find(name);
    return it == endpoints_.end() ? nullptr : &it->second;
  }
  static bool same_cell(const Endpoint& a, const Endpoint& b) { return a.zone == b.zone && a.cell == b.cell; }

  // ---- host health ----

  // By role, and states fetched over a cell's link apart: a slow link must not look like a slow writer.
  Norm& start_norm(const Endpoint& h, const Pending& q) {
    return q.far ? far_norm_ : start_norms_[ix(h.role)];
  }

  // How slow a host is now, by what was seen of it lately and by own attempts that stand in its line.
  [[nodiscard]] double slow(const Endpoint& h) const {
    const double faded = 1 + (h.slowness - 1) * std::exp2(-seconds(now_ - h.seen_at) / seconds(kSlowFade));
    return std::max(1.0, faded) * std::clamp(h.lag / kLagFree, 1.0, kLagMax);
  }

  // What a role's hosts show together: one router sees too little of each.
  struct RoleStatistics {
    double ready = 0, ejected = 0, warm = 0, lag = 0, busy = 0, tokens = 0, memory = 0, reports = 0;
  };
  [[nodiscard]] RoleStatistics pool(Role role) const {
    RoleStatistics p;
    for (const auto& [name, h] : endpoints_) {
      if (h.role != role || h.state != EndpointState::kReady) continue;
      p.ready += 1;
      p.ejected += h.ejected ? 1 : 0;
      p.warm += cold(h) ? 0 : 1;
      p.lag += h.lag;
      p.busy += h.lag > 0 ? 1 : 0;
      p.tokens += 1000 * h.report.prompt_kilotokens.value_or(0);
      p.memory += h.report.memory_share.value_or(0);
      p.reports += h.report.prompt_kilotokens || h.report.memory_share ? 1 : 0;
    }
    for (double* sum : {&p.tokens, &p.memory}) *sum /= std::max(1.0, p.reports);
    return p;
  }

  // Takes a host out of the choice for a while. It returns by single safe requests (see usable).
  void eject(Endpoint& h, const char* why, bool hung) {
    const RoleStatistics p = pool(h.role);
    if (!h.ejected && (p.ready < 2 || p.ejected + 1 > std::max(1.0, p.ready * kMaxEjected))) return;
    if (!h.ejected) act(LogMessage{"host " + h.endpoint + " ejected: " + why});
    h.ejected = true;
    h.hung = hung;
    h.ejected_until = now_ + std::min(kEjectMax, kEjectFor * (1 << std::min(h.ejections, 4)));
    ++h.ejections;
    h.doubt = 0;
  }

  void note_time(Endpoint& h, double ratio) {
    h.slowness = 1 + (h.slowness - 1) * std::exp2(-seconds(now_ - h.seen_at) / seconds(kSlowFade));
    h.slowness += kEndpointGain * (std::min(ratio, kSlowMax) - h.slowness);
    h.seen_at = now_;
  }

  void note_success(Endpoint& h, double ratio) {
    const auto role = ix(h.role);
    h.last_alive = now_;
    if (!cold(h)) served_[role].emplace_back(now_, 1 / std::max(1.0, warm_[role]));
    fails_[role] *= 1 - kNormGain;
    h.doubt /= 2;
    h.hung = false;
    note_time(h, ratio);
    if (!h.ejected) return;
    h.ejected = false;
    h.ejections = 0;
    act(LogMessage{"host " + h.endpoint + " returned"});
  }

  // Two failures in a row eject; while the role's hosts fail hardly ever, the first one tells enough, and so
  // does a new connection that never comes up. `lives`: the host runs, or did a moment ago, and one
  // connection or answer broke: leaving such hosts out had half of the fleet out, and a jam at the rest.
  void note_failure(Endpoint& h, AttemptStatus status, bool lives = false) {
    double& fails = fails_[ix(h.role)];
    h.doubt += 1;
    const bool broken = status == AttemptStatus::kConnectFailed || status == AttemptStatus::kReset;
    const bool late = status == AttemptStatus::kTimeout;
    const double enough = (fails < kSound ? kDoubtAlone : kDoubt) + (lives ? 1 : 0);
    if ((broken && !lives) || h.ejected || h.doubt >= enough)
      eject(h, broken ? "unreachable" : late ? "silent" : "errors", late);
    fails += kNormGain * (1 - fails);
  }

  Duration patience(const Pending& q, const Endpoint& h) {
    const Norm& norm = start_norm(h, q);
    if (!norm.known()) return scaled(q.latency_objective(), kOverdue);
    const double expected = norm.mean * q.work * (kPatience + kPatienceDev * norm.dev);
    return std::max(Duration(std::llround(expected)), scaled(q.latency_objective(), kPatienceFloor));
  }
  // May an effect have taken place, whose repeats are discarded for a while only, from the first send?
  [[nodiscard]] bool bound_to_window(const Pending& q) const {
    return q.maybe_ran && q.cls->idempotency == Idempotency::kKeyed;
  }
  [[nodiscard]] Time window_end(const Pending& q) const { return q.ran_sent + q.cls->deduplication_window; }
  [[nodiscard]] bool may_repeat(const Pending& q, const Endpoint& h) const {
    return q.spent < q.rules->max_attempts &&
           (h.role == Role::kReader || q.cls->idempotency == Idempotency::kIdempotent);
  }

  // ---- cold hosts ----

  static Time since(const Endpoint& h) { return std::max(h.started, h.back); }
  [[nodiscard]] bool cold(const Endpoint& h) const {
    return since(h) != Time{} && now_ < since(h) + s_->warmup_time;
  }
  [[nodiscard]] double warmth(const Endpoint& h) const {
    return cold(h) ? slow_start::warmth(*s_, now_ - since(h)) : 1;
  }
  [[nodiscard]] double power(const Endpoint& h) const { return std::max(0.1, warmth(h)); }
  [[nodiscard]] double budget(const Endpoint& h) const {
    return slow_start::budget(*s_, warmth(h), warm_rate_[ix(h.role)]);
  }
  [[nodiscard]] bool by_turns(const Endpoint& h) const { return cold(h) && budget(h) < 1; }
  [[nodiscard]] bool cold_allows(const Endpoint& h, const Pending& q) const {
    if (!cold(h)) return true;
    const auto used =
        std::count_if(h.sends.begin(), h.sends.end(), [&](Time t) { return t > now_ - s_->overload_window; });
    if (!by_turns(h)) return static_cast<double>(used) < std::round(budget(h));
    double open = slow_start::draw(*s_, warmth(h), ready_[ix(h.role)]);
    const auto reader = h.role == Role::kWriter ? endpoints_.find(q.reader) : endpoints_.end();
    if (reader != endpoints_.end())
      open *= slow_start::draw_by_cell(same_cell(h, reader->second), h.reads_near);
    const auto window = static_cast<std::uint64_t>(now_ / std::max(s_->overload_window, Duration(1)));
    return used < 1 && unit(mix(h.hash ^ mix(window)) ^ hash_text(q.r.id)) < open;
  }

  // Results a second that a warm host of each role gives us: each over as many as there were then.
  void count_warm() {
    for (std::size_t role = 0; role < served_.size(); ++role) {
      auto& served = served_[role];
      while (!served.empty() && served.front().first < now_ - kRateWindow) served.pop_front();
      const RoleStatistics p = pool(static_cast<Role>(role));
      ready_[role] = p.ready;
      if (p.warm <= 0) continue;  // what the last ones gave
      warm_[role] = p.warm;
      warm_rate_[role] = 0;
      const Duration span = std::max(s_->overload_window, std::min(kRateWindow, now_ - born_));
      for (const auto& [at, part] : served) warm_rate_[role] += part / std::max(seconds(span), 1.0);
    }
  }

  // ---- scoring ----
  // May this request go to this host now? `whole`: it would be served there, so an effect is possible.
  [[nodiscard]] bool usable(const Endpoint& h, const Pending& q, bool whole) const {
    if (h.state != EndpointState::kReady || now_ < h.full_until || !cold_allows(h, q)) return false;
    const auto rest = h.rests.find({q.cls->name, q.r.tenant});
    if (rest != h.rests.end() && now_ < rest->second) return false;
    if (std::find(q.tried.begin(), q.tried.end(), h.endpoint) != q.tried.end()) return false;
    if (h.ejected) {
      if (now_ < h.ejected_until || h.awaited()) return false;
      if (whole && q.cls->idempotency != Idempotency::kIdempotent) return false;
    }
    // Keyed: only where repeats are discarded. A read counts as well (kestrel-dispatch, split+brink).
    if (bound_to_window(q)) {
      if (q.cls->deduplication_scope == DeduplicationScope::kZone && h.zone != q.ran_zone) return false;
      if (q.cls->deduplication_scope == DeduplicationScope::kCell &&
          (h.zone != q.ran_zone || h.cell != q.ran_cell))
        return false;
    }
    return true;
  }

  // A shared text is kept in several places, more the hotter it is, and a session has one of them. So routers
  // that share nothing send a session and its text to the same reader, and a hot text finds enough of them.
  // What a count of one is worth is told by how many texts were seen once and twice (absolute discounting):
  // where most are rare, a single request is no heat, and copies of rare texts push all else out (L2048df).
  [[nodiscard]] std::uint64_t slot(const Pending& q) const {
    const auto number = static_cast<std::uint64_t>(s_->router_number);  // without a key routers go apart
    if (q.r.shared_prefix == 0) return mix(q.r.session != 0 ? q.r.session : hash_text(q.r.id) ^ mix(number));
    const auto heat = heat_.find(q.r.shared_prefix);
    const double seen = heat == heat_.end() ? 0 : heat->second - heat_discount_;
    const double share = seen / std::max(heat_total_, kHeatMemory / 2);
    std::uint64_t slots = kSlots;
    while (slots < kMaxSlots && static_cast<double>(slots) < share * kHomesPerShare * readers_) slots *= 2;
    return mix(q.r.shared_prefix ^ mix(mix(q.r.session) % slots));
  }
  void warm_text(std::uint64_t text) {
    if (text == 0) return;
    heat_[text] += 1;
    heat_total_ += 1;
    double once = 0, twice = 0;
    for (const auto& [key, heat] : heat_) (heat < 1.5 ? once : twice) += heat < 2.5 ? 1 : 0;
    heat_discount_ = once / std::max(once + 2 * twice, 1.0);
    if (heat_total_ < kHeatMemory) return;
    for (auto& [key, heat] : heat_) heat /= 2;
    std::erase_if(heat_, [](const auto& e) { return e.second < 0.5; });
    heat_total_ /= 2;
  }

  [[nodiscard]] int covered(const Endpoint& h, const Pending& q) const {
    const int session = q.r.session != 0 ? h.index.covered({false, q.text}) : 0;
    const int shared = q.r.shared_prefix != 0 ? h.index.covered({true, q.slot}) : 0;
    return std::min(std::max(session, std::min(shared, q.r.prefix_tokens)), q.r.prompt_tokens);
  }

  // Ever less of what was reported counts the older it is; the mean of all reports says more by then.
  [[nodiscard]] double reported(double value, double mean, const Endpoint& h) const {
    return mean + (value - mean) * std::exp2(-seconds(now_ - h.reported_at) / seconds(kReportFade));
  }

  // Reported work plus our sends since, else our sends out. A slow or cold host has less to do it with. One
  // that was never heard of counts as idle: as the average, 300 routers that hear little found out less.
  [[nodiscard]] double load(const Endpoint& h, const RoleStatistics& p) const {
    double tokens = h.read_tokens;
    if (const auto& told = h.report.prompt_kilotokens; told)
      tokens = reported(1000 * *told, p.tokens, h) + h.tokens_since_report;
    if (h.role == Role::kMixed) tokens += h.streams * kBaseTokens;
    return (tokens / power(h) + kBaseTokens) * slow(h);
  }

  // Means hide that a whole role is late: what the mixed servers' first tokens take against the others'.
  [[nodiscard]] double tilt() const {
    return wait_mixed_ > 0 && wait_pair_ > 0 ? std::clamp(wait_mixed_ / wait_pair_, 1 / kTilt, kTilt) : 1;
  }

  // Ties go to the highest of a weighted hash of key and host, the same for all routers.
  [[nodiscard]] double tie(const Endpoint& h, std::uint64_t key) const {
    const double share = h.role == Role::kMixed ? kMixedShare / tilt() : kFarShare + (1 - kFarShare) * h.near;
    return std::log(unit(key ^ h.hash)) / (h.weight * (by_turns(h) ? 1 : power(h)) * share);
  }

  struct Scored {
    Endpoint* endpoint;
    double load, memory, score;
  };

  // The design's choice: normalized weighted sum of prefix match, min-max load and free memory; argmax wins.
  Endpoint* choose_reader(const Pending& q) {
    std::vector<Scored> candidates;
    const std::array<RoleStatistics, 3> pools = {pool(Role::kReader), pool(Role::kWriter),
                                                 pool(Role::kMixed)};
    std::array<double, 3> load_sum{}, count{};
    double max_states = kStatesFloor;
    for (auto& [name, h] : endpoints_) {
      if (h.state != EndpointState::kReady || h.role == Role::kWriter) continue;
      const auto role = ix(h.role);
      max_states = std::max(max_states, static_cast<double>(h.waiting_states));
      const double here = load(h, pools[role]);
      load_sum[role] += here;
      count[role] += 1;
      const bool whole = h.role == Role::kMixed;
      if (!whole && q.spent + 2 > q.rules->max_attempts) continue;
      if (usable(h, q, whole)) candidates.push_back({&h, here, 0, 0});
    }
    const bool none = s_->writers_read && candidates.empty();
    for (auto& [name, h] : endpoints_)
      if (none && h.role == Role::kWriter && usable(h, q, true)) candidates.push_back({&h, 0, 0, 0});
    if (candidates.empty()) return nullptr;
    double minimum = 1e300, maximum = 0;
    for (Scored& c : candidates) {
      const auto role = ix(c.endpoint->role);
      const double mean = count[role] > 0 ? load_sum[role] / count[role] : 0;
      c.load /= std::max(mean, kLoadFloorTokens);  // judged against its own role's mean
      if (c.endpoint->role == Role::kMixed) c.load *= tilt();
      minimum = std::min(minimum, c.load);
      maximum = std::max(maximum, c.load);
      c.memory = c.endpoint->report.memory_share
                     ? reported(*c.endpoint->report.memory_share, pools[role].memory, *c.endpoint)
                     : c.endpoint->waiting_states / max_states;
    }
    const double spread = std::clamp(maximum - minimum, kSpreadFloor, kSpreadMax);
    const double total = kPrefixWeight + kLoadWeight + kMemoryWeight;
    double top = 0;
    for (Scored& c : candidates) {
      const double prefix = q.r.prompt_tokens > 0 ? covered(*c.endpoint, q) / double(q.r.prompt_tokens) : 0;
      const double free_load = std::clamp(1 - (c.load - minimum) / spread, 0.0, 1.0);
      const double free_memory = std::clamp(1 - c.memory, 0.0, 1.0);
      c.score = (kPrefixWeight * prefix + kLoadWeight * free_load + kMemoryWeight * free_memory) / total;
      if (by_turns(*c.endpoint)) c.score += kOpenTurn;
      top = std::max(top, c.score);
    }
    Endpoint* best = nullptr;
    for (const Scored& c : candidates) {
      if (c.endpoint->welcome)
        return c.endpoint;  // nothing is known to be kept there: no score would find it soon
      if (c.score < top - kTieBand) continue;
      if (best == nullptr || tie(*c.endpoint, q.slot) > tie(*best, q.slot)) best = c.endpoint;
    }
    return best;
  }

  // ---- writer choice ----

  [[nodiscard]] double stream_load(const Endpoint& h) const {
    const double streams = h.report.in_hand ? *h.report.in_hand : h.streams;
    return (streams + 1) * slow(h) / power(h);
  }

  // Fewest streams, in the reader's cell unless its best stands well above the mean of all writers. What many
  // routers together bring a cell, none counts: only as much stays as its part of all writing can take.
  Endpoint* choose_writer(const Pending& q, Role role) {
    const Endpoint* reader = find_endpoint(q.reader);
    std::map<std::pair<std::string, int>, Place> cells;
    Place all;
    double sum = 0;
    std::vector<Endpoint*> candidates;
    for (auto& [name, h] : endpoints_) {
      if (h.state != EndpointState::kReady || h.ejected) continue;
      const double weight = h.weight / slow(h) * power(h);
      if (h.role == Role::kReader) cells[{h.zone, h.cell}].readers += weight, all.readers += weight;
      if (h.role == role) cells[{h.zone, h.cell}].writers += weight, all.writers += weight;
    }
    for (auto& [name, h] : endpoints_) {
      if (h.role != role || !usable(h, q, true)) continue;
      candidates.push_back(&h);
      sum += stream_load(h);
    }
    const std::uint64_t salt = hash_text(q.r.id) ^ mix(static_cast<std::uint64_t>(s_->router_number));
    const auto minimum = [&](const auto& share) {  // by streams, each weighed by the part that it should get
      Endpoint* best = nullptr;
      double min_load = 0, best_tie = 0;
      for (Endpoint* h : candidates) {
        const double part = share(*h);
        if (part <= 0) continue;
        const double here = stream_load(*h), by_hash = std::log(unit(salt ^ h->hash)) / (h->weight * part);
        if (best != nullptr && (here > min_load || (here == min_load && by_hash <= best_tie))) continue;
        best = h, min_load = here, best_tie = by_hash;
      }
      return best;
    };
    const auto in_cell = [&](const Endpoint& h) { return reader != nullptr && same_cell(h, *reader); };
    Endpoint* best =
        minimum([&](const Endpoint& h) { return h.welcome || (by_turns(h) && in_cell(h)) ? 1.0 : 0.0; });
    if (best != nullptr) return best;
    best = minimum([](const Endpoint&) { return 1.0; });
    Endpoint* near = minimum([&](const Endpoint& h) { return in_cell(h) ? 1.0 : 0.0; });
    if (near == nullptr) return best;
    const double leave = kLeaveCell + 1.0 / s_->router_count;  // few routers: own counts see the rest
    const double mean = sum / static_cast<double>(candidates.size());
    if (stream_load(*near) > std::max(leave * mean, mean + kLeaveCellStreams)) return best;
    const auto part = [](double of, double total) { return of / std::max(total, 1e-9); };
    const Place& cell = cells[{reader->zone, reader->cell}];
    const double stay = leave * part(cell.writers, all.writers) / part(cell.readers, all.readers);
    if (cell.readers <= 0 || unit(mix(salt)) < stay) return near;
    Endpoint* far =
        minimum([&](const Endpoint& h) {  // what writers elsewhere can take beyond their own cell's readers
          const Place& c = cells[{h.zone, h.cell}];
          const double room = 1 - part(part(c.readers, all.readers), part(c.writers, all.writers));
          return in_cell(h) ? 0 : std::max(0.0, room) * (h.zone == reader->zone ? 1.0 : kOtherZone);
        });
    return far != nullptr ? far : near;
  }

  // ---- request life cycle and guards ----

  void send(Pending& q, Endpoint& h, Phase phase) {
    const bool reads = phase == Phase::kReading || !q.state_held;
    q.phase = phase;
    q.out = true;
    q.cancelled = false;
    q.overtaken = 0;
    q.endpoint = h.endpoint;
    q.sent = now_;
    q.predicted = reads && h.role != Role::kWriter ? covered(h, q) : 0;
    q.to_read = reads ? std::max(0, q.r.prompt_tokens - q.predicted) : 0;
    const Endpoint* source = q.state_held ? find_endpoint(q.reader) : nullptr;
    q.far = source != nullptr && !same_cell(*source, h);
    q.work = kBaseTokens + (h.role == Role::kWriter ? 0 : h.read_tokens + q.to_read);
    ++q.attempts;
    ++q.spent;                                             // of the attempts that it may have
    const bool cut = !s_->may_cancel && may_repeat(q, h);  // else watch() cancels, knowing more by then
    const Time until = cut ? now_ + patience(q, h) : q.r.client_deadline;
    Time connect_by = q.state_held ? q.idle_since + q.rules->reservation_limit : Time{};
    // A repeat counts when it comes, not when it is decided on: one whose connection is late came outside.
    if (bound_to_window(q))
      connect_by = connect_by == Time{} ? window_end(q) : std::min(connect_by, window_end(q));
    // That it timed out is heard up to a tick later, and is still to be answered within the slack then.
    const Time latest = q.r.client_deadline - std::max(Duration(0), s_->tick - q.rules->answer_slack);
    act(StartAttempt{q.r.id, h.endpoint, std::min(latest, until), connect_by});
    h.read_tokens += q.to_read;
    h.tokens_since_report += q.to_read;
    (phase == Phase::kReading ? h.reads : h.streams) += 1;
    if (cold(h)) h.sends.push_back(now_);
    h.welcome = false;
    if (reads && h.role != Role::kWriter) learn_texts(h, q);
  }

  void learn_texts(Endpoint& h, const Pending& q) {
    const std::size_t maximum =
        h.memory_tokens > 0 ? static_cast<std::size_t>(h.memory_tokens / kBlockTokens) : kIndexDefault;
    const bool shared = q.r.shared_prefix != 0;
    const int own = q.r.prompt_tokens - (shared ? q.r.prefix_tokens : 0);
    if (q.r.session != 0) h.index.learn({false, q.text}, q.r.prompt_tokens, own, maximum);
    if (shared) h.index.learn({true, q.slot}, q.r.prefix_tokens, q.r.prefix_tokens, maximum);
  }

  void detach(Pending& q, AttemptStatus v) {
    if (Endpoint* h = find_endpoint(q.endpoint); h != nullptr) {
      int& count = q.phase == Phase::kReading ? h->reads : h->streams;
      count = std::max(0, count - 1);
      if (q.phase == Phase::kStreaming) h->begun = std::max(0, h->begun - 1);
      h->read_tokens = std::max(0.0, h->read_tokens - q.to_read);
      h->lag = 0;  // the tick finds the next oldest
    }
    q.to_read = 0;
    q.out = false;
    // Three writers that never came up, 250 ms each, had states outlive their limit (zone+mass, split+mass).
    if (v != AttemptStatus::kConnectFailed || !q.rules->reservation_expires_while_connecting)
      q.idle_since = now_;
  }
  [[nodiscard]] bool pinned_too_long(const Pending& q) const {
    return q.state_held && now_ >= q.idle_since + scaled(q.rules->reservation_limit, kPinCare);
  }

  void state_gone(Pending& q) {
    if (!q.state_held) return;
    q.state_held = false;
    if (Endpoint* h = find_endpoint(q.reader); h != nullptr)
      h->waiting_states = std::max(0, h->waiting_states - 1);
  }

  void release(Pending& q) {
    if (q.state_held) act(ReleaseReservation{q.r.id});
    state_gone(q);
  }

  void give_up(Pending& q) {
    release(q);
    q.ended = true;
    const bool harmless =
        q.cls->idempotency == Idempotency::kIdempotent || !q.maybe_ran ||
        (q.cls->idempotency == Idempotency::kKeyed && q.cls->deduplication_scope == DeduplicationScope::kAll);
    if (!harmless) return act(Fail{q.r.id});
    std::optional<Duration> advice;
    if (q.rules->retry_advice) advice = std::min(q.rules->max_retry_after, q.latency_objective());
    act(Reject{q.r.id, advice});
  }

  void route(Pending& q) {
    // An answer that is not given now may have to wait for the next tick, past the client's deadline.
    // A repeat after its window is no repeat: the effect would take place anew.
    const bool forgotten = bound_to_window(q) && now_ >= window_end(q);
    if (q.spent >= q.rules->max_attempts || now_ + lead() >= q.r.client_deadline || forgotten)
      return give_up(q);
    if (q.phase == Phase::kNeedsWriter) {
      Endpoint* writer = choose_writer(q, Role::kWriter);
      if (writer == nullptr) writer = choose_writer(q, Role::kMixed);  // better than no answer
      if (writer != nullptr) return send(q, *writer, Phase::kWriting);
      // Else the tick tries again, unless it would come too late for what is held.
      return now_ + look() > q.idle_since + q.rules->reservation_limit ? give_up(q) : void();
    }
    Endpoint* reader = choose_reader(q);
    if (reader == nullptr && !q.tried.empty()) {  // all were tried once: a second try is better than none
      q.tried.clear();
      reader = choose_reader(q);
    }
    if (reader != nullptr)
      send(q, *reader, reader->role == Role::kReader ? Phase::kReading : Phase::kWriting);
    else if (q.spent + 2 > q.rules->max_attempts && !serves_whole())
      give_up(q);  // no read and write are left: nothing to wait for
  }
  [[nodiscard]] bool serves_whole() const {
    return s_->writers_read || std::any_of(endpoints_.begin(), endpoints_.end(),
                                           [](const auto& e) { return e.second.role == Role::kMixed; });
  }

  // How long the tick may be in coming.
  [[nodiscard]] Duration look() const {
    const Duration tick = std::max(s_->tick, Duration(1));
    return (kTickEvery + tick - Duration(1)) / tick * tick;
  }
  [[nodiscard]] Duration lead() const { return 2 * std::max(kTickEvery, s_->tick); }

  // How late first tokens come, as a share of their objectives: a mean over the last seconds that starts from
  // a few that were in time, so that one late answer is not taken for overload.
  void note_lateness(double ratio, double weight = 1) {
    const double fade = std::exp(-seconds(now_ - late_at_) / seconds(kLateMemory));
    late_sum_ = late_sum_ * fade + weight * std::min(ratio, kLateMax);
    late_count_ = late_count_ * fade + weight;
    late_at_ = now_;
  }

  [[nodiscard]] double lateness() const { return late_sum_ / (late_count_ + kLatePrior); }

  // Is this age more than what first tokens take everywhere now? While all are late, being late tells nothing
  // of a host: in a jam that ejected good ones and had reads run twice (L2048df, i0ea1d7, i2d69a7).
  [[nodiscard]] bool stands_out(const Pending& q, Duration age) const {
    return age > scaled(q.latency_objective(), kAlone * lateness());
  }

  // Overload: lines that grow past the objective serve nobody in time, and never drain while clients retry.
  // So while first tokens are late, only what should start within the shortest objective at their present
  // rate is taken; over-share work needs a shorter line. A hash settles the fractions that many routers have.
  // What stands at silent hosts is no line: two of them kept all others out (i9a2e8d). A try whose client
  // leaves before first tokens come now is work for nobody: such had half of all reads cut (iacc812).
  bool hopeless(const Pending& q) {
    note_lateness(0, 0);
    const double late = lateness();  // by the line: a long prompt's own part takes no longer for it
    const Duration line = scaled(q.cls->latency_objective, late),
                   own = q.latency_objective() - q.cls->latency_objective;
    while (!starts_.empty() && starts_.front() < now_ - kStartWindow) starts_.pop_front();
    if (q.r.client_deadline - now_ < scaled(line + scaled(own, std::min(1.0, late)), kNoTime)) return true;
    if (late < kLate) return false;
    double waiting = -1;  // q is among them, and no line of its own
    for (const auto& [id, o] : requests_) {
      const bool stuck =
          o.overtaken >= kOvertaken || (o.out && now_ > o.sent + scaled(o.latency_objective(), kStuck));
      waiting += !o.ended && o.phase != Phase::kStreaming && !stuck ? 1 : 0;
    }
    const double rate = static_cast<double>(starts_.size() + 1) / seconds(kStartWindow);
    const double room = rate * seconds(shortest_) * (q.over_share ? kOverShareQueue : kQueueShare);
    return unit(hash_text(q.r.id) ^ mix(seed_)) < waiting - room;
  }

  // Over-share work gives way first, and only under pressure (see hopeless).
  bool over_share(const std::string& tenant) {
    const auto it = shares_.find(tenant);
    if (it == shares_.end()) return false;
    Share& t = it->second;
    t.left = std::min(std::max(t.rate * kShareBurstS, kMinBurst), t.left + seconds(now_ - t.at) * t.rate);
    t.at = now_;
    if (t.left < 1) return true;
    t.left -= 1;
    return false;
  }

  // ---- event dispatch ----

  void on(const EndpointList& list) {
    resubscribe_ = list.kind == ListKind::kFailed;
    if (resubscribe_) return;
    if (list.kind != ListKind::kDelta) {
      for (auto& [name, h] : endpoints_) h.state = h.listed = EndpointState::kRemoved;
    }
    for (const EndpointInfo& e : list.entries) {
      const auto kind =
          std::find_if(s_->kinds.begin(), s_->kinds.end(), [&](const auto& k) { return k.name == e.kind; });
      if (kind == s_->kinds.end()) continue;
      Endpoint& h = endpoints_[e.endpoint];
      if (!h.endpoint.empty() && h.started != e.started) {  // restarted: its texts and states are gone
        act(LogMessage{"host " + e.endpoint + " restarted"});
        renew(h);
      }
      if (h.endpoint.empty()) h.last_alive = now_;
      static_cast<EndpointInfo&>(h) = e;
      h.listed = e.state;
      h.state = allowed(h);
      if (h.weight <= 0) h.weight = 1;
      h.hash = hash_text(h.endpoint);
      h.role = kind->role;
      h.memory_tokens = kind->memory_tokens;
    }
    std::erase_if(endpoints_, [](const auto& entry) {
      const Endpoint& h = entry.second;
      return h.state == EndpointState::kRemoved && h.idle() && h.waiting_states == 0;
    });
    place_endpoints();
  }

  // Its process is another one, so that all else that was known of it is void.
  void renew(Endpoint& h) const {
    Endpoint fresh;
    static_cast<EndpointInfo&>(fresh) = h;
    static_cast<Standing&>(fresh) = h;
    fresh.last_alive = now_;
    h = std::move(fresh);
  }

  [[nodiscard]] EndpointState allowed(const Endpoint& h) const {
    return h.listed == EndpointState::kReady && offline_.contains(h.endpoint) ? EndpointState::kDraining
                                                                              : h.listed;
  }

  void on(const LearnedState& k) {
    static_cast<MovingAverage&>(far_norm_) = k.far;
    for (std::size_t role = 0; role < served_.size(); ++role) {
      static_cast<MovingAverage&>(start_norms_[role]) = k.starts[role];
      for (int i = k.served[role]; i > 0; --i)
        served_[role].emplace_front(now_ - scaled(kRateWindow, double(k.served[role] - i) / k.served[role]),
                                    1 / std::max(1.0, warm_[role]));
    }
    born_ = std::min(born_, k.since);
    for (const LearnedState::EndpointHistory& of : k.endpoints) {
      Endpoint* h = find_endpoint(of.endpoint);
      if (h != nullptr) h->sends.assign(of.sends.begin(), of.sends.end()), h->back = of.back;
    }
    count_warm();
  }

  void on(const PeerForwarded& s) {
    if (Endpoint* h = find_endpoint(s.endpoint); h != nullptr && cold(*h)) h->sends.push_back(now_);
  }

  void tune() {
    const auto sooner = [](const auto& a, const auto& b) {
      return a.latency_objective < b.latency_objective;
    };
    shortest_ = std::min_element(s_->classes.begin(), s_->classes.end(), sooner)->latency_objective;
    std::map<std::string, Share> shares;
    for (const Tenant& t : s_->tenants) {
      const double left = shares_.contains(t.name) ? shares_[t.name].left : kMinBurst;
      shares[t.name] = {t.quota_rps / s_->router_count, left, now_};
    }
    shares_ = std::move(shares);
  }

  void on(const SettingsChanged& n) {
    s_ = n.settings;
    tune();
  }

  void on(const AdministrativeDrain& m) {
    if (m.offline == offline_.contains(m.endpoint)) return;
    m.offline ? void(offline_.insert(m.endpoint)) : void(offline_.erase(m.endpoint));
    Endpoint* h = find_endpoint(m.endpoint);
    if (h == nullptr) return;
    if (!m.offline) {
      renew(*h);
      h->back = now_;
      h->welcome = true;
    }
    h->state = allowed(*h);
    place_endpoints();
  }

  // All that a reader's cell can't write crosses its one link, slower to another zone: cells without writers
  // kept states waiting for 2 s, others 40 ms (leuven-later big-1). No router sees a link often enough to
  // measure it, so the list tells: such a reader wins fewer ties, which costs balance where links are wide.
  void place_endpoints() {
    std::map<std::pair<std::string, int>, Place> cells;
    std::map<std::string, Place> zones;
    Place all;
    for (const auto& [name, h] : endpoints_) {
      if (h.state != EndpointState::kReady || h.role == Role::kMixed) continue;
      for (Place* p : {&cells[{h.zone, h.cell}], &zones[h.zone], &all})
        (h.role == Role::kReader ? p->readers : p->writers) += h.weight;
    }
    for (auto& [name, h] : endpoints_) {
      const double cell = cells[{h.zone, h.cell}].near(all);
      h.reads_near = cells[{h.zone, h.cell}].readers / std::max(all.readers, 1e-9);
      h.near = cell + (1 - cell) * kOtherZone * zones[h.zone].near(all);
    }
    readers_ = pool(Role::kReader).ready + pool(Role::kMixed).ready;
    count_warm();
  }

  void on(const Request& r) {
    if (requests_.contains(r.id)) return;
    const auto cls = std::find_if(s_->classes.begin(), s_->classes.end(),
                                  [&](const auto& c) { return c.name == r.request_class; });
    if (cls == s_->classes.end()) return act(Fail{r.id});
    Pending& q = requests_[r.id];
    q.r = r;
    q.rules = s_;
    q.cls = &*cls;
    q.idle_since = now_;
    q.over_share = over_share(r.tenant);
    warm_text(r.shared_prefix);
    q.slot = slot(q);
    q.text = mix(r.session) ^ mix(mix(r.shared_prefix));
    hopeless(q) ? give_up(q) : route(q);
    settle(q);
  }

  void settle(const Pending& q) {
    if (q.ended && !q.out) requests_.erase(q.r.id);
  }

  void on(const FirstToken& f) {
    const auto it = requests_.find(f.request);
    if (it == requests_.end() || !it->second.out || it->second.attempts - 1 != f.attempt) return;
    Pending& q = it->second;
    state_gone(q);
    q.phase = Phase::kStreaming;
    q.started = now_;
    const double took = seconds(q.read_time + f.elapsed);  // lost attempts are no queue
    const double part = took / seconds(q.latency_objective());
    starts_.push_back(now_);
    note_lateness(part);
    double& wait = q.read_time > Duration(0) ? wait_pair_ : wait_mixed_;
    wait += (wait > 0 ? kWaitGain : 1) * (part - wait);
    if (Endpoint* h = find_endpoint(q.endpoint); h != nullptr) {
      h->read_tokens = std::max(0.0, h->read_tokens - q.to_read);
      q.to_read = 0;
      ++h->begun;
      observe_start(*h, q, f.elapsed);
    }
  }

  void observe_start(Endpoint& h, const Pending& q, Duration elapsed) {
    for (auto& [id, o] : requests_) {  // in order: what later sends have passed is lost (i68b309)
      const bool behind =
          o.out && o.phase != Phase::kStreaming && o.endpoint == h.endpoint && (q.far || !o.far);
      o.overtaken += behind && o.sent < q.sent ? 1 : 0;
    }
    Norm& norm = start_norm(h, q);
    const double per_work = static_cast<double>(elapsed.count()) / q.work;
    const double ratio = norm.known() ? per_work / norm.mean : 1;
    if (!cold(h)) norm.add(per_work);
    note_success(h, q.far || cold(h) ? std::min(1.0, ratio) : ratio);
  }

  void on(const AttemptCompleted& o) {
    Endpoint* h = find_endpoint(o.endpoint);
    if (h != nullptr && (o.report.in_hand || o.report.memory_share || o.report.prompt_kilotokens)) {
      h->report = o.report;
      h->reported_at = now_;
      h->tokens_since_report = 0;
    }
    const auto it = requests_.find(o.request);
    if (it == requests_.end() || !it->second.out || it->second.attempts - 1 != o.attempt) return;
    Pending& q = it->second;
    const Phase phase = q.phase;
    detach(q, o.status);
    if (h != nullptr) observe_end(*h, q, o, phase);
    if (o.status == AttemptStatus::kRead) {
      q.state_held = true;
      q.reader = o.endpoint;
      q.read_time = o.elapsed;
      if (h != nullptr) ++h->waiting_states;
    }
    if (o.finished || q.ended) {  // nothing is owed any more; what was read is let go
      q.ended = true;
      release(q);
      return settle(q);
    }
    const AttemptStatus v = o.status;
    if (v == AttemptStatus::kConnectFailed && q.attempts <= q.rules->free_connect_failures) --q.spent;
    const bool proves_idle = v == AttemptStatus::kFull || v == AttemptStatus::kConnectFailed ||
                             v == AttemptStatus::kNeverSent || phase == Phase::kReading;
    if (!proves_idle && !q.maybe_ran) {
      q.maybe_ran = true;
      q.ran_sent = q.sent;
      q.ran_zone = h != nullptr ? h->zone : "";
      q.ran_cell = h != nullptr ? h->cell : -1;
    }
    if (v != AttemptStatus::kRead && v != AttemptStatus::kFull) q.tried.push_back(o.endpoint);
    const bool lost = v == AttemptStatus::kFull || v == AttemptStatus::kError || v == AttemptStatus::kReset;
    if (lost && o.note == 1) state_gone(q);  // read anew
    q.phase = q.state_held ? Phase::kNeedsWriter : Phase::kNeedsRead;
    const bool unsafe = q.cls->idempotency == Idempotency::kNonIdempotent && q.maybe_ran;
    unsafe || v == AttemptStatus::kNeverSent || pinned_too_long(q) ? give_up(q) : route(q);
    settle(q);
  }

  void observe_end(Endpoint& h, const Pending& q, const AttemptCompleted& o, Phase phase) {
    const AttemptStatus v = o.status;
    if (v == AttemptStatus::kRead) {
      observe_start(h, q, o.elapsed);
      // Logged only: a clear index measured as worse, for it is kept again (leuven rough-1 0.87 -> 0.28).
      if (o.note + kBlockTokens < q.predicted) act(LogMessage{"host " + h.endpoint + " lost texts"});
    } else if (v == AttemptStatus::kServed) {
      h.last_alive = now_;
      if (phase == Phase::kStreaming) observe_stream(h, q);
    } else if (v == AttemptStatus::kFull && o.note != 1) {
      note_full(h, q);
    } else if (v == AttemptStatus::kError || v == AttemptStatus::kConnectFailed ||
               v == AttemptStatus::kReset) {
      note_failure(h, v, v == AttemptStatus::kReset || o.note == 1);
    } else if ((v == AttemptStatus::kTimeout && phase != Phase::kStreaming) ||
               (v == AttemptStatus::kCancelled && !q.ended)) {
      if (stands_out(q, o.elapsed)) note_failure(h, AttemptStatus::kTimeout, h.last_alive > q.sent);
    }
  }

  // A full host rests for all only when it turned away others too: else it may concern one tenant or class.
  void note_full(Endpoint& h, const Pending& q) {
    std::erase_if(h.rests, [&](const auto& rest) { return rest.second <= now_; });
    h.rests[{q.cls->name, q.r.tenant}] = now_ + kKeyRest;
    if (h.rests.size() < 2) return;
    h.full_until = now_ + kFullFor;
    h.rests.clear();
  }

  // A slow writer still starts streams fast: its streams' times tell it.
  void observe_stream(Endpoint& h, const Pending& q) {
    Norm& norm = stream_norms_[q.cls->name];
    const double time = seconds(now_ - q.started);
    if (norm.known()) note_time(h, std::min(time / norm.mean, kOutlier));
    norm.add(time);
  }

  void on(const ReservationResult&) {}

  void on(const ClientGone& g) {
    const auto it = requests_.find(g.request);
    if (it == requests_.end()) return;
    Pending& q = it->second;
    q.ended = true;
    if (q.out && q.phase != Phase::kStreaming && s_->may_cancel && !q.cancelled) {
      q.cancelled = true;
      act(CancelAttempt{q.r.id, q.attempts - 1});
    }
    if (!q.out) release(q);
    settle(q);
  }

  void on(const TimerExpired& t) {
    if (t.tag != 0 || !tick_set_) return;
    tick_set_ = false;
    if (resubscribe_ && s_->polls_endpoint_list) act(Subscribe{});
    resubscribe_ = false;

    count_warm();
    for (auto it = requests_.begin(); it != requests_.end();) {
      Pending& q = it->second;
      ++it;  // settle may erase q
      if (q.ended) continue;
      if (!q.late && q.overtaken == 0 && q.phase != Phase::kStreaming &&
          now_ > q.sent + q.latency_objective() && q.out) {
        q.late = true;
        note_lateness(kLateMax);
      }
      q.out ? watch(q) : pinned_too_long(q) ? give_up(q) : route(q);
      settle(q);
    }
  }

  // The age of what is out: a host that answers nobody while its role's norm has long passed hangs.
  void watch(Pending& q) {
    Endpoint* h = find_endpoint(q.endpoint);
    if (h == nullptr) return;
    if (q.phase == Phase::kStreaming) {
      const bool quiet = now_ - h->last_alive > scaled(q.latency_objective(), kMoveQuiet);
      if (h->ejected && h->hung && quiet && s_->resume) {
        q.ended = true;
        act(MigrateStream{q.r.id});
      }
      return;
    }
    const Duration age = now_ - q.sent, limit = patience(q, *h);
    if (const Norm& norm = start_norm(*h, q); norm.known())
      h->lag = std::max(h->lag, static_cast<double>(age.count()) / (norm.mean * q.work));
    const bool lost = q.overtaken >= kOvertaken && age > scaled(limit, kOvertakenPatience);
    if (age <= limit && !lost) return;
    const bool silent = h->last_alive < q.sent;  // it has answered nobody since
    const RoleStatistics p = pool(h->role);      // in a jam, moving on would only make it worse
    const bool alone = h->lag > kAlone * (p.lag - h->lag) / std::max(1.0, p.busy - 1) && stands_out(q, age);
    if (!lost && (!alone || age <= (silent ? limit : scaled(limit, kOverdue)))) return;
    if (s_->may_cancel && !q.cancelled && may_repeat(q, *h) && now_ + limit < q.r.client_deadline) {
      q.cancelled = true;
      act(CancelAttempt{q.r.id, q.attempts - 1});
    }
  }

  std::shared_ptr<const Settings> s_;
  std::uint64_t seed_;
  Time now_{}, born_{};
  bool begun_ = false, tick_set_ = false, resubscribe_ = false;
  std::map<std::string, Endpoint> endpoints_;
  std::set<std::string> offline_;  // by the operators' word, whether listed or not
  std::map<std::string, Pending> requests_;
  struct Share {
    double rate = 0, left = 0;  // requests a second, and requests that may come at once
    Time at{};
  };
  std::map<std::string, Share> shares_;
  std::map<std::string, Norm> stream_norms_;  // seconds that streams take, by class
  std::map<std::uint64_t, double> heat_;      // recent requests by shared text
  double heat_total_ = 0, heat_discount_ = 0, readers_ = 0;
  double wait_pair_ = 0, wait_mixed_ = 0;  // recent first tokens over their objectives: two stages, one
  Norm far_norm_;                          // the same for states fetched from another cell
  std::array<Norm, 3> start_norms_;        // microseconds for a token of start work, by role
  std::array<std::deque<std::pair<Time, double>>, 3> served_;  // recent results of warm hosts: see count_warm
  std::array<double, 3> fails_{}, warm_{}, warm_rate_{}, ready_{};
  double late_sum_ = 0, late_count_ = 0;  // see note_lateness
  Time late_at_{};
  Duration shortest_{};  // objective of any class: the patient must not fill the line for the others
  std::deque<Time> starts_;
  std::vector<Action> actions_;
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
std::vector<Action> Router::handle(Time now, const Event& event) { return impl_->handle(now, event); }
TableSizes Router::table_sizes() const { return impl_->table_sizes(); }
LearnedState Router::learned_state() const { return impl_->learned_state(); }

}  // namespace dispatcher::routing
