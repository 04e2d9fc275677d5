// Identifiers of different kinds are different types, and they compare, order and hash as their text does.
#include "routing/identifiers.hpp"

#include <gtest/gtest.h>

#include <map>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>

namespace dispatcher::routing::testing {
namespace {

template <class Left, class Right>
concept Comparable = requires(const Left& left, const Right& right) {
  left == right;
};

static_assert(!std::is_constructible_v<EndpointId, RequestId>);
static_assert(!std::is_assignable_v<RequestId&, EndpointId>);
static_assert(!Comparable<EndpointId, RequestId>);
static_assert(!std::is_convertible_v<EndpointId, std::string>);
static_assert(!std::is_convertible_v<EndpointId, std::string_view>);
static_assert(std::is_convertible_v<std::string, EndpointId>);
static_assert(std::is_convertible_v<std::string_view, EndpointId>);
static_assert(std::is_convertible_v<const char*, EndpointId>);
static_assert(std::is_nothrow_move_constructible_v<EndpointId>);

TEST(Identifiers, CompareWithEachOtherAndWithText) {
  const EndpointId reader = "r1";
  EXPECT_EQ(reader, EndpointId(std::string("r1")));
  EXPECT_NE(reader, EndpointId("r2"));
  EXPECT_EQ(reader, "r1");
  EXPECT_EQ(std::string("r1"), reader);
  EXPECT_NE(reader, std::string_view("r"));
  EXPECT_LT(reader, EndpointId("r10"));
  EXPECT_GT(reader, "r");
  EXPECT_TRUE(EndpointId().empty());
  EXPECT_FALSE(reader.empty());
}

TEST(Identifiers, OrderAsTheirTextDoes) {
  const std::map<RequestId, int> numbers{{"b", 3}, {"a", 1}, {"\xff", 4}, {"aa", 2}};
  std::string order;
  for (const auto& [id, number] : numbers) order += id.value();
  EXPECT_EQ(order, "aaab\xff");
}

TEST(Identifiers, HashAsTheirTextDoes) {
  EXPECT_EQ(std::hash<RequestId>()("q7"), std::hash<std::string>()("q7"));
  std::unordered_map<RequestId, int> numbers;
  std::unordered_map<std::string, int> numbers_by_text;
  for (int i = 0; i < 1000; ++i) {
    numbers["q" + std::to_string(i)] = i;
    numbers_by_text["q" + std::to_string(i)] = i;
  }
  std::string order;
  std::string order_by_text;
  for (const auto& [id, number] : numbers) order += id.value();
  for (const auto& [text, number] : numbers_by_text) order_by_text += text;
  EXPECT_EQ(order, order_by_text);  // a hand-over lists the open requests in the table's order
}

TEST(Identifiers, AreWrittenAsTheirText) {
  std::ostringstream out;
  out << EndpointId("w1") << RequestId();
  EXPECT_EQ(out.str(), "w1");
}

}  // namespace
}  // namespace dispatcher::routing::testing
