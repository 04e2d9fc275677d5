#include "tables.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>

namespace dispatcher::routing::conformance {
namespace {

namespace fs = std::filesystem;

// The fields that `many` may vary between the runs of a row.
constexpr std::array<const char*, 5> kVariedFields = {"session", "id", "router", "router+session", "seed"};

Json parse_file(const fs::path& path) {
  std::ifstream file(path);
  if (!file) fail("can't be read: " + path.string());
  try {
    return Json::parse(file);
  } catch (const Json::exception& error) {
    fail(path.string() + ": " + error.what());
  }
}

void check_form(const Json& row) {
  require_known_fields(row, {"case", "sentence", "deviation", "settings", "state", "request", "read_at",
                             "many", "expected", "scores", "here", "streams"});
  require_known_fields(row.at("expected"), {"pick", "any_of", "path", "share", "distinct", "index_keys"});
  if (row.at("expected").empty()) fail("nothing expected");
  if (!row.contains("many")) return;
  const Json& many = row.at("many");
  require_known_fields(many, {"vary", "count"});
  const bool is_known =
      std::ranges::any_of(kVariedFields, [&many](const char* field) { return many["vary"] == field; });
  if (!is_known) fail("many: vary: unknown");
}

Bounds parse_bounds(const Json& json) {
  require_known_fields(json, {"spread_floor", "spread_most", "least_mean_tokens", "fixed_tokens",
                              "least_states", "half_life_ms", "tie_band"});
  Bounds bounds;
  bounds.spread_floor = json.at("spread_floor");
  bounds.spread_max = json.at("spread_most");
  bounds.min_mean_tokens = json.at("least_mean_tokens");
  bounds.fixed_tokens = json.at("fixed_tokens");
  bounds.min_states = json.at("least_states");
  bounds.half_life = std::chrono::milliseconds(json.at("half_life_ms"));
  bounds.tie_band = json.at("tie_band");
  return bounds;
}

std::vector<Json> load_rows(const fs::path& path) {
  auto rows = parse_file(path).get<std::vector<Json>>();
  for (const Json& row : rows) {
    try {
      check_form(row);
    } catch (const std::exception& error) {
      fail(path.filename().string() + ": " + row.value("case", "?") + ": " + error.what());
    }
  }
  return rows;
}

}  // namespace

Tables load_tables(const std::string& folder) {
  const fs::path root(folder);
  Tables tables;
  tables.base = parse_file(root / "base.json");
  tables.sentences = parse_file(root / "sentences.json");
  tables.deviations = parse_file(root / "deviations.json");
  tables.bounds = parse_bounds(tables.deviations.at("bounds"));
  tables.deviations.erase("bounds");
  for (const auto& file : fs::directory_iterator(root / "tables"))
    tables.topics[file.path().stem().string()] = load_rows(file.path());
  return tables;
}

}  // namespace dispatcher::routing::conformance
