// Plays the tables in this folder, which hold the design's sentences as rows. docs/conformance.md tells how
// to read and add to them.
#define CATCH_CONFIG_RUNNER
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "table_rows.hpp"

namespace dispatcher::routing::conformance {
namespace {

const Tables& tables() {
  static const Tables all = load_tables(CONFORMANCE_FOLDER);
  return all;
}

template <typename Do>
void each_row(Do act) {
  for (const auto& [topic, rows] : tables().topics) {
    for (const Json& row : rows) act(topic, row);
  }
}

std::string text(const std::vector<std::string>& failures) {
  std::string lines;
  for (const std::string& f : failures) lines += "\n    " + f;
  return lines;
}

// Each row is a test of its own, so that one that fails is known by its name.
class Row : public Catch::ITestInvoker {
 public:
  Row(std::string topic, Json row) : topic_(std::move(topic)), row_(std::move(row)) {}
  void invoke() const override {
    const std::string sentence = row_.at("sentence");
    INFO("row " << topic_ << ": " << row_.at("case").get<std::string>() << "\nsentence " << sentence << ": "
                << tables().sentences.at(sentence).at("says").get<std::string>());
    const std::vector<std::string> failures = play(row_, tables());
    INFO(text(failures));
    CHECK(failures.empty());
  }

 private:
  std::string topic_;
  Json row_;
};

void enter_rows() {
  each_row([](const std::string& topic, const Json& row) {
    const std::string name = "Conformance row: " + row.at("case").get<std::string>();
    // Catch takes over the invoker.
    Catch::AutoReg(new Row(topic, row), CATCH_INTERNAL_LINEINFO, Catch::StringRef(),
                   Catch::NameAndTags(name, "[conformance][row]"));
  });
}

TEST_CASE("Conformance: a row that is told wrongly fails", "[conformance]") {
  each_row([](const std::string& topic, const Json& row) {
    for (const Json& wrong : told_wrongly(row, tables())) {
      INFO(topic << ": " << row.at("case").get<std::string>() << "\nas " << wrong.at("expected").dump());
      CHECK(!play(wrong, tables()).empty());
    }
  });
}

TEST_CASE("Conformance: every sentence of the design has a row or a reason why not", "[conformance]") {
  std::map<std::string, int> rows;
  std::set<std::string> cases;
  each_row([&](const std::string& topic, const Json& row) {
    ++rows[row.at("sentence")];
    INFO(topic << ": " << row.at("case").get<std::string>());
    CHECK(tables().sentences.contains(row.at("sentence").get<std::string>()));
    CHECK(cases.insert(row.at("case")).second);
  });
  for (const auto& [key, sentence] : tables().sentences.items()) {
    INFO(key);
    only(sentence, {"says", "no_row"});
    CHECK(sentence.value("says", "") != "");
    CHECK((rows[key] > 0) != (sentence.value("no_row", "") != ""));
  }
}

TEST_CASE("Conformance: every deviation is stated with its reason and has a row", "[conformance]") {
  std::set<std::string> used;
  each_row([&](const std::string& topic, const Json& row) {
    INFO(topic << ": " << row.at("case").get<std::string>());
    if (!row.contains("deviation")) return;
    CHECK(tables().deviations.contains(row["deviation"].get<std::string>()));
    used.insert(row["deviation"]);
  });
  for (const auto& [key, deviation] : tables().deviations.items()) {
    INFO(key);
    only(deviation, {"does", "reason"});
    CHECK(deviation.value("does", "") != "");
    CHECK(deviation.value("reason", "") != "");
    CHECK(used.contains(key));
  }
}

TEST_CASE("Conformance: a malformed row is turned down", "[conformance]") {
  Json row = tables().topics.begin()->second.front();
  CHECK(play(row, tables()).empty());
  SECTION("unknown step") { row["state"].push_back({{"nap", 5}}); }
  SECTION("misspelt field of a step") { row["state"].push_back({{"wait_ms", 5}, {"wait_s", 5}}); }
  SECTION("misspelt field of the request") { row["request"]["sesion"] = 7; }
  SECTION("unlisted host") { row["state"].push_back({{"teach", "r99"}, {"session", 1}}); }
  SECTION("unknown setting") { row["settings"]["cells"] = 7; }
  CHECK(!play(row, tables()).empty());
}

}  // namespace

int run(int count, char** words) {
  Catch::Session session;
  enter_rows();
  return session.run(count, words);
}

}  // namespace dispatcher::routing::conformance

int main(int count, char** words) { return dispatcher::routing::conformance::run(count, words); }
