#include "table_rows.hpp"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>

namespace dispatcher::routing::conformance {
namespace {

namespace fs = std::filesystem;

constexpr double kScoreError = 0.002;   // what rounding in the row may be off by
constexpr double kBandError = 0.009;    // a score so near the edge of the tie band decides nothing
constexpr double kSame = 1e-6;          // scores so near are equal
constexpr double kNoDeviation = 0.012;  // scores that differ by more do so by a deviation
const char* const kVaried[] = {"session", "id", "router", "router+session", "seed"};

using Failures = std::vector<std::string>;
using Scores = std::map<std::string, Score>;
using Counts = std::map<std::string, double>;

Json parse(const fs::path& file) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error("can't be read: " + file.string());
  try {
    return Json::parse(in);
  } catch (const Json::exception& e) {
    throw std::runtime_error(file.string() + ": " + e.what());
  }
}

void check_form(const Json& row) {
  only(row, {"case", "sentence", "deviation", "settings", "state", "request", "read_at", "many", "expected",
             "scores", "here", "streams"});
  only(row.at("expected"), {"pick", "any_of", "path", "share", "distinct", "index_keys"});
  if (row.at("expected").empty()) throw std::runtime_error("nothing expected");
  if (!row.contains("many")) return;
  only(row.at("many"), {"vary", "count"});
  if (std::none_of(std::begin(kVaried), std::end(kVaried),
                   [&](const char* v) { return row["many"]["vary"] == v; }))
    throw std::runtime_error("many: vary: unknown");
}

// What one play of a row showed.
struct Seen {
  std::vector<std::string> path;  // the hosts that the request was sent to
  std::string pick;               // the one that the row is about
  std::size_t index_keys = 0;
  Scores design, module;
  Counts streams;
  std::set<std::string> writers;  // that the design leaves to choose from
};

Seen watch(const Json& row, const Tables& tables, int number) {
  const std::string vary = row.contains("many") ? row["many"]["vary"].get<std::string>() : "";
  Json settings = tables.base;
  settings.merge_patch(row.value("settings", Json::object()));
  if (vary.starts_with("router")) {
    settings["router_number"] = number;
    settings["router_count"] = row["many"]["count"];
  }
  Json request = row.value("request", Json::object());
  if (vary.ends_with("session")) request["session"] = 70000 + number;
  if (vary == "id") request["id"] = "asked " + std::to_string(number);

  std::map<int, TableRunner> players;  // by number; the first one is asked
  const std::uint64_t seed = vary == "seed" ? 100 + number : 1;
  const int first = settings["router_number"];
  const auto runner = [&](int of) -> TableRunner& {
    Json own = settings;
    own["router_number"] = first + of;
    return players.try_emplace(of, settings_of(own), seed, tables.bounds).first->second;
  };
  for (Json step : row.at("state")) {
    const int of = step.value("router", 0);
    step.erase("router");
    runner(of).step(step);
  }
  Seen seen;
  TableRunner& asked = runner(0);
  const Request r = asked.request(request);
  seen.design = asked.design().scores(r);
  seen.module = asked.module().scores(r);
  seen.streams = asked.design().streams();
  std::string at = asked.ask(r, row.value("read_at", ""));
  if (row.contains("read_at")) seen.writers = asked.design().writers_for(at);
  seen.pick = at;
  while (!at.empty()) {
    seen.path.push_back(at);
    if (asked.role(at) == Role::kReader) {
      at = asked.read(r.id.value());
      if (row.contains("read_at")) seen.pick = at;
    } else {
      asked.first(r.id.value());
      asked.serve(r.id.value());
      break;
    }
  }
  seen.index_keys = asked.table_sizes().index_keys;
  return seen;
}

// As rows hold them.
Json shown(const Score& s) { return Json::array({s.prefix, s.load, s.memory, s.sum}); }
Json shown(double count) { return Json::array({count}); }
template <typename Figure>
std::string text(const std::map<std::string, Figure>& figures) {
  std::ostringstream out;
  out.precision(3);
  for (const auto& [endpoint, figure] : figures) {
    out << " " << endpoint;
    for (const Json& number : shown(figure)) out << " " << number.get<double>();
  }
  return out.str();
}

std::set<std::string> names(const Json& json) { return json.get<std::set<std::string>>(); }

// Those that the row's expectation lets win.
std::set<std::string> winners(const Json& expected) {
  if (expected.contains("pick")) return {expected["pick"].get<std::string>()};
  if (expected.contains("any_of")) return names(expected["any_of"]);
  if (expected.contains("path")) return {expected["path"].back().get<std::string>()};
  std::set<std::string> result;
  if (expected.contains("share")) {
    for (const auto& [endpoint, range] : expected["share"].items()) {
      if (range.at(1) > 0) result.insert(endpoint);
    }
  }
  return result;
}

template <typename Figure>
Failures check_figures(const char* field, const Json& row, const std::map<std::string, Figure>& worked_out) {
  const auto same = [&](const auto& server) {
    Json told = row[field].value(server.first, Json());
    if (told.is_number()) told = Json::array({told});
    const Json mine = shown(server.second);
    if (told.size() != mine.size()) return false;
    for (std::size_t i = 0; i < mine.size(); ++i) {
      if (std::abs(told[i].get<double>() - mine[i].get<double>()) > kScoreError) return false;
    }
    return true;
  };
  if (row[field].size() == worked_out.size() && std::all_of(worked_out.begin(), worked_out.end(), same))
    return {};
  return {std::string(field) + " of the row: " + row[field].dump() + ", worked out:" + text(worked_out)};
}

// The row's own figures are what its state comes to, and its expectation follows from them.
Failures check_scores(const Json& row, const Seen& seen, const Bounds& bounds) {
  Failures failures = check_figures("scores", row, seen.design);
  Scores decide = seen.design;
  const bool deviates = std::any_of(seen.design.begin(), seen.design.end(), [&](const auto& s) {
    return std::abs(s.second.sum - seen.module.at(s.first).sum) > kNoDeviation;
  });
  if (row.contains("here")) {
    const Failures more = check_figures("here", row, seen.module);
    failures.insert(failures.end(), more.begin(), more.end());
    if (!row.contains("deviation")) failures.push_back("`here` without a deviation");
    decide = seen.module;
  } else if (deviates) {
    failures.push_back("without `here`, but the module's own bounds make it" + text(seen.module));
  }
  double top = 0;
  for (const auto& [endpoint, score] : decide) top = std::max(top, score.sum);
  std::set<std::string> may_win;
  bool near = false;  // only the band makes it a tie
  for (const auto& [endpoint, score] : decide) {
    const double below = top - score.sum;
    if (below <= bounds.tie_band) may_win.insert(endpoint);
    near = near || (below <= bounds.tie_band && below > kSame);
    if (std::abs(below - bounds.tie_band) < kBandError)
      failures.push_back(endpoint + " lies on the edge of the tie band:" + text(decide));
  }
  const std::set<std::string> told = winners(row.at("expected"));
  if (!told.empty() && told != may_win)
    failures.push_back("the expected pick does not follow from" + text(decide));
  if (near && row.value("deviation", "") != "tie-band")
    failures.push_back("a tie by the band alone, which is not said:" + text(decide));
  return failures;
}

Failures check_streams(const Json& row, const Seen& seen) {
  Failures failures = check_figures("streams", row, seen.streams);
  const std::set<std::string> told = winners(row.at("expected"));
  if (!row.contains("deviation") && told != seen.writers)
    failures.push_back("the expected writer does not follow from" + text(seen.streams));
  return failures;
}

Failures check_expected(const Json& expected, const std::vector<Seen>& all) {
  Failures failures;
  const Seen& seen = all.front();
  if (expected.contains("pick") || expected.contains("any_of")) {
    if (!winners(expected).contains(seen.pick))
      failures.push_back("router picked '" + seen.pick + "', expected " + expected.dump());
  }
  if (expected.contains("path") && expected["path"] != Json(seen.path))
    failures.push_back("router sent to " + Json(seen.path).dump() + ", expected " + expected.dump());
  if (expected.contains("index_keys") && expected["index_keys"] != seen.index_keys)
    failures.push_back(std::to_string(seen.index_keys) + " keys are held, expected " + expected.dump());
  std::map<std::string, int> picks;
  for (const Seen& s : all) ++picks[s.pick];
  if (expected.contains("share")) {
    for (const auto& [endpoint, range] : expected["share"].items()) {
      const double share = picks[endpoint] / static_cast<double>(all.size());
      if (share < range.at(0) || share > range.at(1))
        failures.push_back(endpoint + " got a share of " + std::to_string(share) + ", expected " +
                           range.dump());
    }
  }
  std::erase_if(picks, [](const auto& p) { return p.second == 0; });
  if (expected.contains("distinct")) {
    const Json& range = expected["distinct"];
    if (picks.size() < range.at(0) || picks.size() > range.at(1))
      failures.push_back(std::to_string(picks.size()) + " hosts were picked, expected " + expected.dump());
  }
  return failures;
}

std::vector<Seen> watch_all(const Json& row, const Tables& tables) {
  std::vector<Seen> all;
  const int count = row.contains("many") ? row["many"]["count"].get<int>() : 1;
  for (int i = 0; i < count; ++i) all.push_back(watch(row, tables, i));
  return all;
}

}  // namespace

Tables load_tables(const std::string& folder) {
  const fs::path root(folder);
  Tables tables;
  tables.base = parse(root / "base.json");
  tables.sentences = parse(root / "sentences.json");
  tables.deviations = parse(root / "deviations.json");
  const Json bounds = tables.deviations.at("bounds");
  only(bounds, {"spread_floor", "spread_most", "least_mean_tokens", "fixed_tokens", "least_states",
                "half_life_ms", "tie_band"});
  tables.deviations.erase("bounds");
  tables.bounds = {bounds.at("spread_floor"),      bounds.at("spread_most"),
                   bounds.at("least_mean_tokens"), bounds.at("fixed_tokens"),
                   bounds.at("least_states"),      std::chrono::milliseconds(bounds.at("half_life_ms")),
                   bounds.at("tie_band")};
  for (const auto& file : fs::directory_iterator(root / "tables")) {
    std::vector<Json>& rows = tables.topics[file.path().stem().string()];
    rows = parse(file.path()).get<std::vector<Json>>();
    for (const Json& row : rows) {
      try {
        check_form(row);
      } catch (const std::exception& e) {
        throw std::runtime_error(file.path().filename().string() + ": " + row.value("case", "?") + ": " +
                                 e.what());
      }
    }
  }
  return tables;
}

Failures play(const Json& row, const Tables& tables) {
  try {
    const std::vector<Seen> all = watch_all(row, tables);
    Failures failures = check_expected(row.at("expected"), all);
    const auto add = [&](const Failures& more) { failures.insert(failures.end(), more.begin(), more.end()); };
    if (row.contains("scores")) add(check_scores(row, all.front(), tables.bounds));
    if (row.contains("streams")) add(check_streams(row, all.front()));
    return failures;
  } catch (const std::exception& e) {
    return {e.what()};
  }
}

std::vector<Json> told_wrongly(const Json& row, const Tables& tables) {
  std::vector<Json> wrong;
  const auto falsely = [](Json expected) {
    if (expected.contains("pick")) expected["pick"] = "another " + expected["pick"].get<std::string>();
    if (expected.contains("any_of")) expected["any_of"] = Json::array({"nobody"});
    if (expected.contains("path")) expected["path"].push_back("one more");
    if (expected.contains("index_keys")) expected["index_keys"] = expected["index_keys"].get<int>() + 1;
    if (expected.contains("share")) {
      for (auto& [endpoint, range] : expected["share"].items()) range = Json::array({1.1, 2});
    }
    if (expected.contains("distinct")) expected["distinct"] = Json::array({1000, 1001});
    return expected;
  };
  // The router alone is to find these out, so that the row's figures are left off.
  const auto tell = [&](const char* name, const Json& value) {
    Json told = row;
    for (const char* figures : {"scores", "here", "streams"}) told.erase(figures);
    told["expected"][name] = value;
    wrong.push_back(told);
  };
  for (const auto& [name, value] : row.at("expected").items())  // one untruth at a time
    tell(name.c_str(), falsely(Json{{name, value}})[name]);
  // Another server of the same row in the place of the right one: what a wrong module would give.
  if (row.at("expected").contains("pick")) {
    const Seen seen = watch(row, tables, 0);
    std::set<std::string> others;
    for (const auto& [endpoint, score] : seen.design) others.insert(endpoint);
    for (const auto& [endpoint, count] : seen.streams) others.insert(endpoint);
    others.erase(seen.pick);
    for (const std::string& endpoint : others) tell("pick", endpoint);
    // The router's pick is among these, but they don't follow from the figures.
    if (row.contains("scores") && !others.empty()) {
      Json told = row;
      others.insert(row["expected"]["pick"].get<std::string>());
      told["expected"] = {{"any_of", others}};
      wrong.push_back(told);
    }
  }
  for (const char* figures : {"scores", "here", "streams"}) {
    if (!row.contains(figures)) continue;
    Json told = row;
    if (told[figures].empty()) continue;
    Json& first = *told[figures].begin();
    Json& figure = first.is_array() ? first.back() : first;
    figure = figure.get<double>() + 0.1;
    wrong.push_back(told);
  }
  return wrong;
}

}  // namespace dispatcher::routing::conformance
