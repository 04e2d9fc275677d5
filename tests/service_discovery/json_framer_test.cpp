// Tests how JsonFramer splits a stream of bytes into JSON objects.
#include "service_discovery/json_framer.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace dispatcher::testing {
namespace {

using service_discovery::JsonFramer;
using Json = nlohmann::json;

std::vector<std::string> append_in_cuts(JsonFramer& framer, const std::string& text,
                                        std::mt19937_64& random) {
  std::vector<std::string> all;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t maximum = random() % 3 == 0 ? 1 : 40;
    const std::size_t length = std::min<std::size_t>(1 + random() % maximum, text.size() - at);
    for (auto& object : framer.append(std::string_view(text).substr(at, length)))
      all.push_back(std::move(object));
    at += length;
  }
  return all;
}

Json drawn_object(std::mt19937_64& random) {
  static const std::vector<std::string> texts{"", "{", "}}{", "\"", "\\", "\\\"}", "a\nb{", "[{\"", "\r\n\t"};
  const auto text = [&] { return texts[random() % texts.size()]; };
  Json object{{"seq", random() % 100}, {text() + "k", text()}, {"hosts", Json::array()}};
  for (std::size_t i = random() % 4; i > 0; --i)
    object["hosts"].push_back({{"host", text()}, {text(), {{"deep", Json::object()}}}});
  return object;
}

TEST_CASE("objects are framed correctly with any indentation, separators and splits", "[discovery][framer]") {
  std::mt19937_64 random(11);
  const std::vector<std::string> between{"", "\n", "\r\n", "\n\n", " \t\r\n\r\n", "\n \n"};
  for (int round = 0; round < 300; ++round) {
    JsonFramer framer;
    std::vector<Json> sent;
    std::string text = between[random() % between.size()];
    for (std::size_t i = 1 + random() % 5; i > 0; --i) {
      sent.push_back(drawn_object(random));
      std::string one = sent.back().dump(static_cast<int>(random() % 6) - 1);
      if (random() % 3 == 0) {  // uses CRLF line ends; strings hold no raw line ends
        std::string other;
        for (const char byte : one) {
          if (byte == '\n') other += '\r';
          other += byte;
        }
        one = other;
      }
      text += one + between[random() % between.size()];
    }
    std::vector<Json> got;
    for (const std::string& object : append_in_cuts(framer, text, random)) got.push_back(Json::parse(object));
    REQUIRE(got == sent);
    REQUIRE_FALSE(framer.is_malformed());
    REQUIRE_FALSE(framer.is_inside_object());
  }
}

TEST_CASE("input that is not an object is malformed, and the objects before it are returned",
          "[discovery][framer]") {
  for (const std::string& noise :
       std::vector<std::string>{"x", "}", "]", "[1]", "null", "\"{}\"", ",", std::string(1, '\0')}) {
    JsonFramer framer;
    CHECK(framer.append("{} \n{\"a\":{}}" + noise + "{}") == std::vector<std::string>{"{}", "{\"a\":{}}"});
    CHECK(framer.is_malformed());
    CHECK(framer.append("{}").empty());  // the start of the next object is unknown
  }
}

TEST_CASE("the length of each object is limited, but not that of the stream", "[discovery][framer]") {
  JsonFramer framer(32);
  for (int i = 0; i < 100; ++i)
    REQUIRE(framer
                .append(R"({"a":"0123456789012345678901"})"
                        "\n")
                .size() == 1);
  CHECK_FALSE(framer.is_malformed());
  CHECK(framer.append("{" + std::string(30, ' ')).empty());
  CHECK_FALSE(framer.is_malformed());
  CHECK(framer.is_inside_object());
  CHECK(framer.append("  ").empty());
  CHECK(framer.is_malformed());
}

}  // namespace
}  // namespace dispatcher::testing
