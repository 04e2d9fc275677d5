// Configuration files: which files are valid, which problems are reported for invalid ones, and the limits on
// work.
#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <random>
#include <sstream>

#include "cue/schema.hpp"
#include "openai_api/config.hpp"
#include "tests/fixtures/cue_problems.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"
#include "vrrp/vrrp_instance.hpp"

namespace dispatcher::testing {
namespace {

using cue::Data;

Data read(const std::string& text, const std::string& schema) {
  return cue::Schema(schema, "#File").read({"f.cue", text});
}

constexpr const char* kSchema = R"cue(
#File: {
	name:   string & =~"^[a-z]+$"
	size:   *10 | (int & >0 & <=100)
	share?: number & >=0 & <=1
	mode:   *"fast" | "slow" | null
	tags:   *[] | [...string]
	limits: {[string]: #Limit}
	one?:   #Limit | string
}
#Limit: {rate: int & >0, burst: *1 | int}
)cue";

std::vector<std::string> problems(const std::string& text, const std::string& schema = kSchema) {
  return problems_of("f", [&] { read(text, schema); });
}
using Lines = std::vector<std::string>;

TEST_CASE("data has the file's values and the schema's defaults", "[record]") {
  const Data data = read(
      "name: \"abc\" // the name\nlimits: a: {rate: 5}, limits: \"b c\": {rate: 1_0, burst: 0x1F}\n"
      "tags: [\n\t\"x\",\n\t\"y\",\n]\nshare: 1\n",
      kSchema);
  CHECK(data["name"].text() == "abc");
  CHECK(data["size"].integer() == 10);
  CHECK(data["mode"].text() == "fast");
  CHECK(data["share"].real() == 1.0);
  CHECK(data["tags"].items().size() == 2);
  CHECK(data["limits"]["b c"]["rate"].integer() == 10);
  CHECK(data["limits"]["b c"]["burst"].integer() == 31);
  CHECK(data["limits"]["a"]["burst"].integer() == 1);
  CHECK_FALSE(data.has("one"));
  CHECK(data["limits"]["a"]["rate"].where().line == 2);
  CHECK(data["tags"].items()[1].path() == "tags[1]");
  CHECK_FALSE(data["size"].where().in_file());
}

TEST_CASE("a file may have its own definitions, references and conjunctions", "[record]") {
  const Data data = read(
      "#Small: {rate: <10, ...}\n_name: \"abc\"\nname: _name\n"
      "limits: {a: #Small & {rate: 3}\n b: #Small & {rate: 4, burst: 2}}\n",
      kSchema);
  CHECK(data["name"].text() == "abc");
  CHECK(data["limits"]["b"]["burst"].integer() == 2);
  CHECK(problems("#Small: {rate: <10, ...}\nname: \"a\"\nlimits: a: #Small & {rate: 30}\n") ==
        Lines{"f:3:28: limits.a.rate: expected <10, found 30 (the other value is at 1:16)"});
  // A definition is closed. It rejects fields that it does not name, whether the file or the schema has them.
  CHECK(problems("#Small: rate: <10\nname: \"a\"\nlimits: a: #Small & {rate: 3, burst: 1}\n") ==
        Lines{"f:3:31: limits.a.burst: unknown field"});
  CHECK(problems("#Small: rate: <10\nname: \"a\"\nlimits: a: #Small & {rate: 3}\n") ==
        Lines{"f:3:21: limits.a.burst: a definition that does not end in '...' leaves out the field"});
}

TEST_CASE("string and number literals are parsed to the values that they denote", "[record]") {
  const std::string schema = "#File: {t: string, n: *0 | number}";
  const auto text = [&](const std::string& literal) { return read("t: " + literal, schema)["t"].text(); };
  CHECK(text(R"("a\"\\\/\n\t\u00e9\U0001F600")") == "a\"\\/\n\t\xC3\xA9\xF0\x9F\x98\x80");
  CHECK(text(R"("\ud83d\ude00")") == "\xF0\x9F\x98\x80");
  CHECK(text(R"(#"a\d"b"#)") == "a\\d\"b");
  CHECK(text("\"\"\"\n\t  one\n\n\t    two \\\\ \n\t  \"\"\"") == "one\n\n  two \\ ");
  CHECK(text("#\"\"\"\n  a\\b \"x\"\n  \"\"\"#") == "a\\b \"x\"");
  const auto number = [&](const std::string& literal) {
    return read("t: \"\", n: " + literal, schema)["n"].real();
  };
  CHECK(number("-1_000") == -1000);
  CHECK(number("4Ki") == 4096);
  CHECK(number("2M") == 2e6);
  CHECK(number("1.5e-3") == 0.0015);
  CHECK(number(".5") == 0.5);
  CHECK(number("-9223372036854775808") == -9223372036854775808.0);
  const auto bad = [&](const std::string& literal) { return problems("t: \"\", n: " + literal, schema); };
  CHECK(bad("9223372036854775808") ==
        Lines{"f:1:11: the number does not fit into 64 bits, found '9223372036854775808'"});
  CHECK(bad("9T") == Lines{});
  CHECK(bad("9999999999T").front().find("64 bits") != std::string::npos);
  CHECK(bad("012").front().find("may not begin with 0") != std::string::npos);
  CHECK(bad("1e999").front().find("out of range") != std::string::npos);
  CHECK(bad("12ab").size() == 1);
  CHECK(problems("t: \"\\(n)\"", schema) == Lines{"f:1:5: interpolation is not supported, found '\\(n)\"'"});
  CHECK(problems("t: \"\\ud800\"", schema).front().find("not a valid Unicode character") !=
        std::string::npos);
  CHECK(problems("t: \"\"\"\n\ta\\\n\t\"\"\"", schema).front().find("unknown escape") != std::string::npos);
  CHECK(problems("t: \"\"\"\n\t a\n  b\n\t \"\"\"", schema).front().find("indented less") !=
        std::string::npos);
}

TEST_CASE("every problem is reported with its position, the expected and the found value", "[record]") {
  CHECK(problems("name: \"A1\"\nsize: 101\nshare: 2\nmode: \"swift\"\ntags: [1, \"x\", null]\nnmae: 1\n"
                 "limits: {a: {}, b: {rate: \"1\"}, c: {rate: 1, brust: 2}}\n") ==
        Lines{"f:1:7: name: expected =~\"^[a-z]+$\", found \"A1\"",
              "f:2:7: size: expected 10 | int & >0 & <=100, found 101",
              "f:3:8: share: expected >=0 & <=1, found 2",
              "f:4:7: mode: expected \"fast\" | \"slow\" | null, found \"swift\"",
              "f:5:8: tags[0]: expected string, found 1", "f:5:16: tags[2]: expected string, found null",
              "f:6:1: nmae: unknown field; 'name' is known",
              "f:7:27: limits.b.rate: expected int & >0, found \"1\"",
              "f:7:46: limits.c.brust: unknown field; 'burst' is known"});
  // Missing fields are reported only if there is no other problem.
  CHECK(problems("limits: {a: {}, b: {}}\n") == Lines{"f:1:1: name: missing: expected =~\"^[a-z]+$\"",
                                                      "f:1:13: limits.a.rate: missing: expected int & >0",
                                                      "f:1:20: limits.b.rate: missing: expected int & >0"});
  CHECK(problems("name: string\n") == Lines{"f:1:7: name: incomplete value: =~\"^[a-z]+$\""});
  CHECK(problems("name: \"a\"\none: {rate: 0}\n") == Lines{"f:2:13: one.rate: expected int & >0, found 0"});
  CHECK(problems("name: \"a\"\nname: \"b\"\n") ==
        Lines{"f:2:7: name: expected \"a\", found \"b\" (the other value is at 1:7)"});
}

TEST_CASE("after a syntax error, parsing continues at the next field", "[record]") {
  const Lines lines =
      problems("name: \nsize: 4 5\ntags: [1 2]\nlimits: {a: {rate: 1}\nshare: )\nmode: \"x\n");
  REQUIRE(lines.size() == 6);
  CHECK(lines[0] == "f:2:9: a comma or the line's end expected, found '5'");
}

TEST_CASE("text after the closing brace of a file in braces is an error at its position", "[record]") {
  const std::string schema = "#File: {...}";
  CHECK(problems("{a: 1}\nb: 2\n", schema) == Lines{"f:2:1: expected end of file, found 'b:'"});
  CHECK(problems("{\"a\": 1}}", schema) == Lines{"f:1:9: expected end of file, found '}'"});
  CHECK(problems("{a: 1} // a comment\n\n", schema) == Lines{});
}

TEST_CASE("files that CUE rejects are rejected", "[record]") {
  const std::string schema = "#File: {...}";
  for (const char* good :
       {"a: 1, b: 2", "a: 1\nb: 2", "{a: 1}", "a: [1,\n2]", "a: [1\n2\n]", "a: {b: 1\n}\n", "a: b: c: 1",
        "\"a b\": 1", "a?: int", "a: 1 |\n2 | *3", "a: (1)", "a: 1 & int", "#A: int\na: #A & 3",
        "a: >=1 & <3 & 2", "a: !=null & 3", "// nothing\n", "", "a: {...}"})
    CHECK(problems(good, schema) == Lines{});
  for (const char* bad :
       {"a: 1 b: 2",  "a: [1 2]",     "a: 1\n| 2",   "a: [,]",           "a: {,}",      "a: 1,,b: 2",
        "a",          "a: ",          ": 1",         "a: '1'",           "a: \"x\ny\"", "a: 1 +2",
        "a: b",       "a: 01",        "a: +\"x\"",   "a: >null",         "a: =~1",      "a: =~\"(\"",
        "a: *1",      "[int]: 1",     "a: [..., 1]", "a: 1 // \n, b: 2", "\xff: 1",     "a: \"\xc0\"",
        "x: {#A: 1}", "#A: 1\n#A: 2", "a: #B",       "#A?: 1",           "a: _|_"}) {
    INFO(bad);
    CHECK(problems(bad, schema).size() >= 1);
  }
  // JSON is accepted unchanged, even if a line begins with a comma.
  CHECK(problems("{\"a\" : 1\n , \"b\"\n:\n [1\n,2]\n}\n", schema) == Lines{});
}

TEST_CASE("a definition that refers to itself is rejected at the reference", "[record]") {
  const std::string schema = "#File: {...}";
  CHECK(problems("#A: {b: #A}\na: #A", schema) == Lines{"f:1:9: #A.b: '#A' refers to itself"});
  CHECK(problems("#A: #B\n#B: [#C]\n#C: 1 | #A", schema).size() == 1);
  std::string chain = "#A0: 1\n";
  for (int i = 1; i < 5000; ++i) chain += "#A" + std::to_string(i) + ": #A" + std::to_string(i - 1) + "\n";
  CHECK(problems("a: #A4999\n" + chain, schema).front().find("definitions refer to one another") !=
        std::string::npos);
}

TEST_CASE("a chain of definitions nested in fields is rejected beyond the length limit", "[record]") {
  std::string chain;
  for (int i = 1; i < 200; ++i)
    chain += "#A" + std::to_string(i) + ": x: y: z: #A" + std::to_string(i + 1) + "\n";
  CHECK(problems(chain + "#A200: 1\n", "#File: {...}") ==
        Lines{"f:64:16: #A64.x.y.z: more than 64 definitions refer to one another"});
}

TEST_CASE("depth, size and work of every file are bounded", "[record]") {
  const std::string schema = "#File: {...}";
  for (const auto& [open, close] : std::vector<std::pair<std::string, std::string>>{
           {"[", "]"}, {"{a:", "}"}, {"(", ")"}, {"-", ""}, {"a:", ""}, {">", ""}}) {
    std::string deep = "a: ";
    for (int i = 0; i < 100'000; ++i) deep += open;
    deep += "1";
    for (int i = 0; i < 100'000; ++i) deep += close;
    INFO(open);
    CHECK(problems(deep, schema).size() == 1);
  }
  // Each definition contains the previous one twice, so that thirty lines stand for about a billion values.
  std::string doubles = "#A0: {x: 1}\n";
  for (int i = 1; i < 30; ++i) {
    const std::string before = "#A" + std::to_string(i - 1);
    doubles.append("#A").append(std::to_string(i)).append(": {a: ").append(before);
    doubles.append(", b: ").append(before).append("}\n");
  }
  CHECK(problems(doubles + "a: #A29\n", schema).back().find("values") != std::string::npos);
  CHECK(problems(doubles + "a: #A29 & {...}\n", schema).size() == 1);
  std::string choices;
  for (int i = 0; i < 40; ++i)
    choices += std::string(i == 0 ? "" : " & ") + "({a" + std::to_string(i) + ": 1} | {b" +
               std::to_string(i) + ": 1})";
  CHECK(problems("a: " + choices, schema).front().find("alternatives") != std::string::npos);
  CHECK(problems(std::string(cue::kMaxBytes + 1, ' '), schema).front().find("larger than") !=
        std::string::npos);
  CHECK(problems("a: \"" + std::string(cue::kMaxBytes / 2, 'x') + "\"", schema) == Lines{});
  // The fields of two large structs that are unified, and of a definition that is unified with a larger
  // struct.
  std::string wide;
  for (int i = 0; i < 60'000; ++i) wide += "x" + std::to_string(i) + ": 1, ";
  CHECK(problems("a: {" + wide + "} & {" + wide + "y: 1}", schema) == Lines{});
  CHECK(problems("#A: {" + wide + "}\n_b: {" + wide + "z1: 1, z2: 1}\na: #A & _b", schema).size() == 2);
  const std::string many = [] {
    std::string text;
    for (int i = 0; i < 500; ++i) text += "x" + std::to_string(i) + ": 1\n";
    return text;
  }();
  // 100 problems and the message that further ones are not reported.
  CHECK(problems(many, "#File: {}").size() == 101);
}

TEST_CASE("repeated definitions beyond the problem limit are reported as Errors", "[record]") {
  std::string repeated;
  for (int i = 0; i < 150; ++i) repeated += "#A: 1\n";
  const Lines lines = problems(repeated, "#File: {...}");
  REQUIRE(lines.size() == 101);
  CHECK(lines.front() == "f:2:1: #A: defined twice");
  CHECK(lines.back() == "f:102:1: more than 100 problems; further ones are not reported");
  CHECK_THROWS_AS(cue::Schema(repeated + "#File: {...}", "#File"), cue::Errors);
}

TEST_CASE("files truncated and changed at random are read or rejected", "[record]") {
  std::mt19937 random(29);
  const std::string good =
      "#L: {rate: <10, ...} // small\nname: \"abc\"\nsize: 5 & int\nlimits: {a: #L & {rate: 3}, \"b\": rate: "
      "0x4}\n"
      "tags: [\"x\", #\"y\"#, \"\"\"\n\tz\n\t\"\"\"]\nmode: null\nshare: 1.5e-1\n";
  CHECK(problems(good) == Lines{});
  const std::string marks = "{}[]()\":,|&*<>=!~#_.?-+\\\n\t 1a\xff\xc3";
  for (int i = 0; i < 4000; ++i) {
    std::string text = good.substr(0, random() % (good.size() + 1));
    for (unsigned edits = random() % 4; edits > 0 && !text.empty(); --edits) {
      const std::size_t at = random() % text.size();
      const bool replaces = random() % 2 == 0;
      const char mark = marks[random() % marks.size()];
      if (replaces) {
        text[at] = mark;
      } else {
        text.insert(at, 1, mark);
      }
    }
    for (const std::string& line : problems(text)) CHECK(line.starts_with("f:"));
  }
}

TEST_CASE("the files under deploy/ are valid", "[record][deploy]") {
  const auto file = [](const std::string& name) {
    std::ifstream input(std::string(DISPATCHER_SOURCE) + "/deploy/" + name, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    return cue::File{name, text.str()};
  };
  CHECK_FALSE(openai_api::parse_config(file("chat.json"), make_settings()).has_value());
  CHECK_FALSE(vrrp::parse_config(file("vrrp.json")).has_value());
}

}  // namespace
}  // namespace dispatcher::testing
