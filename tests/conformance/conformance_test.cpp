// Runs the tables in this folder, which express the sentences of the design as rows. docs/conformance.md
// describes how to read the tables and how to add rows.
#define CATCH_CONFIG_RUNNER
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "row_check.hpp"

namespace dispatcher::routing::conformance {
namespace {

const Tables& tables() {
  static const Tables all = load_tables(CONFORMANCE_FOLDER);
  return all;
}

// Calls the function with the topic and the row, for each row.
template <typename Function>
void for_each_row(Function function) {
  for (const auto& [topic, rows] : tables().topics) {
    for (const Json& row : rows) function(topic, row);
  }
}

std::string to_text(const Failures& failures) {
  std::string text;
  for (const std::string& failure : failures) text += "\n    " + failure;
  return text;
}

// The test of one row. Each row is a test of its own, so that the name of a failed test identifies the row.
class RowTest : public Catch::ITestInvoker {
 public:
  RowTest(std::string topic, Json row) : topic_(std::move(topic)), row_(std::move(row)) {}
  void invoke() const override {
    const std::string sentence = row_.at("sentence");
    INFO("row " << topic_ << ": " << row_.at("case").get<std::string>() << "\nsentence " << sentence << ": "
                << tables().sentences.at(sentence).at("says").get<std::string>());
    const Failures failures = check_row(row_, tables());
    INFO(to_text(failures));
    CHECK(failures.empty());
  }

 private:
  std::string topic_;
  Json row_;
};

void register_rows() {
  for_each_row([](const std::string& topic, const Json& row) {
    const std::string name = "Conformance row: " + row.at("case").get<std::string>();
    // Catch takes ownership of the invoker.
    Catch::AutoReg(new RowTest(topic, row), CATCH_INTERNAL_LINEINFO, Catch::StringRef(),
                   Catch::NameAndTags(name, "[conformance][row]"));
  });
}

TEST_CASE("Conformance: a falsified row fails", "[conformance]") {
  for_each_row([](const std::string& topic, const Json& row) {
    for (const Json& falsified : falsified_rows(row, tables())) {
      INFO(topic << ": " << row.at("case").get<std::string>() << "\nas " << falsified.at("expected").dump());
      CHECK(!check_row(falsified, tables()).empty());
    }
  });
}

TEST_CASE("Conformance: every sentence of the design has a row or a reason for having none",
          "[conformance]") {
  std::map<std::string, int> rows;
  std::set<std::string> cases;
  for_each_row([&](const std::string& topic, const Json& row) {
    ++rows[row.at("sentence")];
    INFO(topic << ": " << row.at("case").get<std::string>());
    CHECK(tables().sentences.contains(row.at("sentence").get<std::string>()));
    CHECK(cases.insert(row.at("case")).second);
  });
  for (const auto& [key, sentence] : tables().sentences.items()) {
    INFO(key);
    require_known_fields(sentence, {"says", "no_row"});
    CHECK(sentence.value("says", "") != "");
    CHECK((rows[key] > 0) != (sentence.value("no_row", "") != ""));
  }
}

TEST_CASE("Conformance: every deviation has a statement, a reason and a row", "[conformance]") {
  std::set<std::string> used;
  for_each_row([&](const std::string& topic, const Json& row) {
    INFO(topic << ": " << row.at("case").get<std::string>());
    if (!row.contains("deviation")) return;
    CHECK(tables().deviations.contains(row["deviation"].get<std::string>()));
    used.insert(row["deviation"]);
  });
  for (const auto& [key, deviation] : tables().deviations.items()) {
    INFO(key);
    require_known_fields(deviation, {"does", "reason"});
    CHECK(deviation.value("does", "") != "");
    CHECK(deviation.value("reason", "") != "");
    CHECK(used.contains(key));
  }
}

TEST_CASE("Conformance: a malformed row is rejected", "[conformance]") {
  Json row = tables().topics.begin()->second.front();
  CHECK(check_row(row, tables()).empty());
  SECTION("unknown step") { row["state"].push_back({{"nap", 5}}); }
  SECTION("misspelt field of a step") { row["state"].push_back({{"wait_ms", 5}, {"wait_s", 5}}); }
  SECTION("misspelt field of the request") { row["request"]["sesion"] = 7; }
  SECTION("unlisted endpoint") { row["state"].push_back({{"teach", "r99"}, {"session", 1}}); }
  SECTION("unknown setting") { row["settings"]["cells"] = 7; }
  CHECK(!check_row(row, tables()).empty());
}

}  // namespace

int run(int argument_count, char** arguments) {
  Catch::Session session;
  register_rows();
  return session.run(argument_count, arguments);
}

}  // namespace dispatcher::routing::conformance

int main(int argument_count, char** arguments) {
  return dispatcher::routing::conformance::run(argument_count, arguments);
}
