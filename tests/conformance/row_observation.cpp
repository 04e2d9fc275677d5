#include "row_observation.hpp"

#include <cstdint>
#include <optional>
#include <sstream>

#include "step_runner.hpp"
#include "table_runner.hpp"

namespace dispatcher::routing::conformance {
namespace {

std::string to_text(const EndpointId& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

template <typename Value>
std::map<std::string, Value> by_name(const std::map<EndpointId, Value>& values) {
  std::map<std::string, Value> result;
  for (const auto& [endpoint, value] : values) result[to_text(endpoint)] = value;
  return result;
}

// What varies between the runs of a row.
struct Variation {
  std::string varied;  // empty if nothing varies
  int number = 0, count = 1;
};

Variation variation_of(const Json& row, int number) {
  if (!row.contains("many")) return {};
  return {row["many"]["vary"].get<std::string>(), number, row["many"]["count"].get<int>()};
}

Json settings_of(const Json& row, const Json& base, const Variation& variation) {
  Json settings = base;
  settings.merge_patch(row.value("settings", Json::object()));
  if (variation.varied.starts_with("router")) {
    settings["router_number"] = variation.number;
    settings["router_count"] = variation.count;
  }
  return settings;
}

Json request_of(const Json& row, const Variation& variation) {
  Json request = row.value("request", Json::object());
  if (variation.varied.ends_with("session")) request["session"] = 70000 + variation.number;
  if (variation.varied == "id") request["id"] = "asked " + std::to_string(variation.number);
  return request;
}

// The routers of one run, by their offset from the first one, which gets the row's request.
class Runners {
 public:
  Runners(Json settings, std::uint64_t seed, const Bounds& bounds)
      : settings_(std::move(settings)), seed_(seed), bounds_(bounds) {}

  TableRunner& at(int offset) {
    const auto it = runners_.find(offset);
    if (it != runners_.end()) return it->second;
    Json settings = settings_;
    settings["router_number"] = settings_["router_number"].get<int>() + offset;
    return runners_.try_emplace(offset, parse_settings(settings), seed_, bounds_).first->second;
  }

 private:
  Json settings_;
  std::uint64_t seed_;
  const Bounds& bounds_;
  std::map<int, TableRunner> runners_;
};

// Submits the request and runs it through both stages.
void observe_path(TableRunner& runner, const Request& request, const std::optional<EndpointId>& read_at,
                  RowObservation& observation) {
  EndpointId endpoint = runner.submit(request, read_at);
  if (read_at) {
    for (const EndpointId& writer : runner.design().writers_for(endpoint))
      observation.writers.insert(to_text(writer));
  }
  observation.pick = to_text(endpoint);
  while (!endpoint.empty()) {
    observation.path.push_back(to_text(endpoint));
    if (runner.role(endpoint) != Role::kReader) {
      runner.send_first_token(request.id);
      runner.serve(request.id);
      return;
    }
    endpoint = runner.complete_read(request.id);
    if (read_at) observation.pick = to_text(endpoint);
  }
}

}  // namespace

RowObservation observe_row(const Json& row, const Tables& tables, int number) {
  const Variation variation = variation_of(row, number);
  const std::uint64_t seed = variation.varied == "seed" ? 100 + static_cast<std::uint64_t>(number) : 1;
  Runners runners(settings_of(row, tables.base, variation), seed, tables.bounds);
  for (Json step : row.at("state")) {
    const int offset = step.value("router", 0);
    step.erase("router");
    StepRunner(runners.at(offset)).run(step);
  }
  TableRunner& runner = runners.at(0);
  const Request request = runner.make_request(request_of(row, variation));
  RowObservation observation;
  observation.design_scores = by_name(runner.design().scores(request));
  observation.module_scores = by_name(runner.module().scores(request));
  observation.streams = by_name(runner.design().streams());
  std::optional<EndpointId> read_at;
  if (row.contains("read_at")) read_at = row["read_at"].get<std::string>();
  observe_path(runner, request, read_at, observation);
  observation.index_keys = runner.table_sizes().index_keys;
  return observation;
}

std::vector<RowObservation> observe_all_runs(const Json& row, const Tables& tables) {
  std::vector<RowObservation> observations;
  const int count = variation_of(row, 0).count;
  observations.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) observations.push_back(observe_row(row, tables, number));
  return observations;
}

}  // namespace dispatcher::routing::conformance
