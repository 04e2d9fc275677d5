#include "settings_draw.hpp"

#include <array>
#include <chrono>
#include <initializer_list>
#include <string>

namespace dispatcher::routing::testing {
namespace {

using std::chrono::milliseconds;

// Draws values from the genes in turn.
class GeneReader {
 public:
  explicit GeneReader(const Genes& genes) : genes_(genes) {}
  int gene() { return genes_.values[at_++ % genes_.values.size()]; }
  double between(double minimum, double maximum) { return minimum + (maximum - minimum) * gene() / 999.0; }
  Duration time(Duration minimum, Duration maximum) {
    const int drawn = gene();
    if (!genes_.range.extreme) return minimum + (maximum - minimum) * drawn / 999;
    return std::array{minimum, maximum, minimum + Duration(1), Duration(std::chrono::hours(24))}[drawn % 4];
  }
  [[nodiscard]] const Range& range() const { return genes_.range; }
  int integer(int minimum, int maximum) { return minimum + (maximum - minimum) * gene() / 999; }
  bool maybe() { return gene() % 2 == 1; }
  template <class T>
  T one_of(std::initializer_list<T> all) {
    return *(all.begin() + gene() % static_cast<int>(all.size()));
  }

 private:
  const Genes& genes_;
  std::size_t at_ = 0;
};

// The module checks waiting requests every 20 ms, rounded up to whole ticks, and releases a state when 0.7 of
// the limit is over: the remaining 0.3 must cover one check.
Duration min_reservation_limit(Duration tick) {
  const Duration check_interval = (Duration(milliseconds(20)) + tick - Duration(1)) / tick * tick;
  return check_interval * 10 / 3 + Duration(1);
}

RequestClass draw_class(GeneReader& draw, int number) {
  RequestClass request_class;
  request_class.name = "c" + std::to_string(number);
  request_class.idempotency =
      draw.one_of({Idempotency::kIdempotent, Idempotency::kNonIdempotent, Idempotency::kKeyed});
  request_class.deduplication_scope =
      draw.one_of({DeduplicationScope::kAll, DeduplicationScope::kZone, DeduplicationScope::kCell});
  request_class.deduplication_window = draw.time(milliseconds(0), milliseconds(8000));
  request_class.latency_objective = draw.time(milliseconds(50), milliseconds(4000));
  request_class.latency_objective_per_1000_tokens = draw.time(milliseconds(0), milliseconds(100));
  request_class.deadline = draw.time(milliseconds(60), milliseconds(15000));
  request_class.token_latency_objective = draw.time(milliseconds(1), milliseconds(100));
  request_class.priority_weight = draw.between(0, 10);
  request_class.late_weight = draw.between(0, 1);
  return request_class;
}

// Kinds always have the same names, so that one endpoint list fits all settings.
void draw_kinds(GeneReader& draw, Settings& settings) {
  using enum Role;
  static const std::vector<std::vector<Role>> role_sets = {
      {kReader, kWriter, kWriter}, {kReader, kWriter, kMixed}, {kMixed, kMixed, kMixed},
      {kReader, kReader, kWriter}, {kReader, kMixed, kMixed},  {kWriter, kWriter, kWriter},
      {kWriter, kMixed, kMixed}};
  const auto& roles = role_sets[static_cast<std::size_t>(draw.gene()) % role_sets.size()];
  settings.writers_can_prefill = draw.maybe() || roles[0] == kWriter;
  for (std::size_t i = 0; i < roles.size(); ++i)
    settings.kinds.push_back({"k" + std::to_string(i), roles[i], draw.between(0, 400000)});
}

Settings draw_settings(GeneReader& draw, Duration tick) {
  Settings settings;
  settings.tick = tick;
  settings.router_count = draw.integer(1, 300);
  settings.router_number = draw.integer(0, settings.router_count - 1);
  settings.zone = "z0";
  for (int i = draw.integer(0, 3); i >= 0; --i) settings.classes.push_back(draw_class(draw, i));
  for (int i = draw.integer(0, 4); i > 0; --i)
    settings.tenants.push_back({"t" + std::to_string(i), draw.between(0, 30)});
  draw_kinds(draw, settings);
  const bool has_single_stage_kind = settings.writers_can_prefill || settings.kinds[2].role == Role::kMixed;
  settings.max_attempts = draw.integer(has_single_stage_kind ? 1 : 2, 8);
  settings.free_connect_failures = draw.maybe() ? 4 * settings.max_attempts : 0;
  settings.reservation_expires_while_connecting =
      settings.free_connect_failures > 0;  // both only for dispatchers on sockets
  settings.polls_endpoint_list = draw.maybe();
  settings.may_reserve_slots = draw.maybe();
  settings.may_migrate_streams = draw.maybe();
  settings.may_cancel = !draw.maybe();
  settings.may_hedge = draw.maybe();
  settings.may_probe = draw.maybe();
  settings.may_message_peers = draw.maybe();
  settings.retry_advice = draw.maybe();
  settings.max_retry_after = draw.time(milliseconds(0), milliseconds(3000));
  settings.report_source =
      draw.one_of({ReportSource::kInAnswers, ReportSource::kNone, ReportSource::kInProbes});
  settings.report_fields = {LoadField::kMemoryShare, LoadField::kPromptKilotokens};
  settings.over_quota_weight = draw.between(0, 1);
  settings.answer_slack = draw.time(draw.range().slack_under_tick ? Duration(0) : tick, milliseconds(200));
  settings.drain_grace = draw.time(milliseconds(0), milliseconds(2000));
  settings.reservation_limit =
      draw.time(draw.range().short_pins ? milliseconds(1) : min_reservation_limit(tick), milliseconds(1000));
  settings.warmup_initial_share = draw.between(0, 1);
  settings.warmup_time = draw.time(milliseconds(0), milliseconds(30000));
  settings.overload_multiple = draw.between(0, 6);
  settings.overload_window = draw.time(milliseconds(0), milliseconds(5000));
  settings.prices.wasted_work = draw.between(0, 0.3);
  return settings;
}

std::vector<EndpointInfo> draw_endpoints(GeneReader& draw) {
  const int count = draw.integer(2, draw.gene() % 8 == 7 ? 100 : 12);
  const int zones = draw.integer(1, 4);
  const int cells = draw.integer(1, 5);
  std::vector<EndpointInfo> endpoints;
  endpoints.reserve(static_cast<std::size_t>(count));
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
  GeneReader reader(genes);
  Site site;
  site.endpoints = draw_endpoints(reader);
  const Duration tick = milliseconds(reader.integer(1, 20));
  site.settings.push_back(draw_settings(reader, tick));
  if (reader.maybe()) site.settings.push_back(draw_settings(reader, tick));
  return site;
}

}  // namespace dispatcher::routing::testing
