#include "settings_draw.hpp"

#include <array>
#include <chrono>
#include <initializer_list>
#include <string>

namespace dispatcher::routing::testing {
namespace {

using std::chrono::milliseconds;

// Picks from the genes in turn.
class Pick {
 public:
  explicit Pick(const Genes& genes) : genes_(genes) {}
  int gene() { return genes_.values[at_++ % genes_.values.size()]; }
  double between(double minimum, double maximum) { return minimum + (maximum - minimum) * gene() / 999.0; }
  Duration time(Duration minimum, Duration maximum) {
    const int drawn = gene();
    if (!genes_.range.extreme) return minimum + (maximum - minimum) * drawn / 999;
    return std::array{minimum, maximum, minimum + Duration(1), Duration(std::chrono::hours(24))}[drawn % 4];
  }
  [[nodiscard]] const Range& range() const { return genes_.range; }
  int whole(int minimum, int maximum) { return minimum + (maximum - minimum) * gene() / 999; }
  bool maybe() { return gene() % 2 == 1; }
  template <class T>
  T of(std::initializer_list<T> all) {
    return *(all.begin() + gene() % static_cast<int>(all.size()));
  }

 private:
  const Genes& genes_;
  std::size_t at_ = 0;
};

// The module looks at what waits every 20 ms, that is at the first tick then, and lets go of a state once 0.7
// of the limit is over: what is left must be as long as it takes to look.
Duration shortest_pin(Duration tick) {
  const Duration look = (Duration(milliseconds(20)) + tick - Duration(1)) / tick * tick;
  return look * 10 / 3 + Duration(1);
}

RequestClass draw_class(Pick& pick, int number) {
  RequestClass c;
  c.name = "c" + std::to_string(number);
  c.idempotency = pick.of({Idempotency::kIdempotent, Idempotency::kNonIdempotent, Idempotency::kKeyed});
  c.deduplication_scope =
      pick.of({DeduplicationScope::kAll, DeduplicationScope::kZone, DeduplicationScope::kCell});
  c.deduplication_window = pick.time(milliseconds(0), milliseconds(8000));
  c.latency_objective = pick.time(milliseconds(50), milliseconds(4000));
  c.latency_objective_per_1000_tokens = pick.time(milliseconds(0), milliseconds(100));
  c.deadline = pick.time(milliseconds(60), milliseconds(15000));
  c.token_latency_objective = pick.time(milliseconds(1), milliseconds(100));
  c.priority_weight = pick.between(0, 10);
  c.late_weight = pick.between(0, 1);
  return c;
}

// Kinds always have the same names, so that one list can be read by any of the settings.
std::vector<EndpointKind> draw_kinds(Pick& pick, bool& writers_can_prefill) {
  const auto r = Role::kReader, w = Role::kWriter, m = Role::kMixed;
  static const std::vector<std::vector<Role>> sets = {{r, w, w}, {r, w, m}, {m, m, m}, {r, r, w},
                                                      {r, m, m}, {w, w, w}, {w, m, m}};
  const auto& roles = sets[static_cast<std::size_t>(pick.gene()) % sets.size()];
  writers_can_prefill = pick.maybe() || roles[0] == w;
  std::vector<EndpointKind> kinds;
  for (std::size_t i = 0; i < roles.size(); ++i)
    kinds.push_back({"k" + std::to_string(i), roles[i], pick.between(0, 400000)});
  return kinds;
}

Settings draw_settings(Pick& pick, Duration tick) {
  Settings s;
  s.tick = tick;
  s.router_count = pick.whole(1, 300);
  s.router_number = pick.whole(0, s.router_count - 1);
  s.zone = "z0";
  for (int i = pick.whole(0, 3); i >= 0; --i) s.classes.push_back(draw_class(pick, i));
  for (int i = pick.whole(0, 4); i > 0; --i)
    s.tenants.push_back({"t" + std::to_string(i), pick.between(0, 30)});
  s.kinds = draw_kinds(pick, s.writers_can_prefill);
  const bool whole = s.writers_can_prefill || s.kinds[2].role == Role::kMixed;
  s.max_attempts = pick.whole(whole ? 1 : 2, 8);
  s.free_connect_failures = pick.maybe() ? 4 * s.max_attempts : 0;
  s.reservation_expires_while_connecting = s.free_connect_failures > 0;  // both on sockets alone
  s.polls_endpoint_list = pick.maybe();
  s.may_reserve_slots = pick.maybe();
  s.may_migrate_streams = pick.maybe();
  s.may_cancel = !pick.maybe();
  s.may_hedge = pick.maybe();
  s.may_probe = pick.maybe();
  s.may_message_peers = pick.maybe();
  s.retry_advice = pick.maybe();
  s.max_retry_after = pick.time(milliseconds(0), milliseconds(3000));
  s.report_source = pick.of({ReportSource::kInAnswers, ReportSource::kNone, ReportSource::kInProbes});
  s.report_fields = {LoadField::kMemoryShare, LoadField::kPromptKilotokens};
  s.over_quota_weight = pick.between(0, 1);
  s.answer_slack = pick.time(pick.range().slack_under_tick ? Duration(0) : tick, milliseconds(200));
  s.drain_grace = pick.time(milliseconds(0), milliseconds(2000));
  s.reservation_limit =
      pick.time(pick.range().short_pins ? milliseconds(1) : shortest_pin(tick), milliseconds(1000));
  s.warmup_initial_share = pick.between(0, 1);
  s.warmup_time = pick.time(milliseconds(0), milliseconds(30000));
  s.overload_multiple = pick.between(0, 6);
  s.overload_window = pick.time(milliseconds(0), milliseconds(5000));
  s.prices.wasted_work = pick.between(0, 0.3);
  return s;
}

std::vector<EndpointInfo> draw_endpoints(Pick& pick) {
  const int count = pick.whole(2, pick.gene() % 8 == 7 ? 100 : 12);
  const int zones = pick.whole(1, 4), cells = pick.whole(1, 5);
  std::vector<EndpointInfo> endpoints;
  for (int i = 0; i < count; ++i)
    endpoints.push_back({"h" + std::to_string(i),
                         "z" + std::to_string(i / 3 % zones),
                         "k" + std::to_string(i % 3),
                         i / 6 % cells,
                         EndpointState::kReady,
                         0.5 + i % 3,
                         {}});
  return endpoints;
}

}  // namespace

Site draw(const Genes& genes) {
  Pick pick(genes);
  Site site;
  site.endpoints = draw_endpoints(pick);
  const Duration tick = milliseconds(pick.whole(1, 20));
  site.settings.push_back(draw_settings(pick, tick));
  if (pick.maybe()) site.settings.push_back(draw_settings(pick, tick));
  return site;
}

}  // namespace dispatcher::routing::testing
