// Compares the automata of patterns with RE2.
#include <re2/re2.h>

#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "expression/automaton.hpp"

namespace dispatcher::testing {
namespace {

using namespace expression;

// Returns the parts that patterns are made from.
const std::vector<std::string>& pattern_parts() {
  static const std::vector<std::string> all = {"a",
                                               "b",
                                               "\xC3\xA9",
                                               ".",
                                               "[ab]",
                                               "[^a]",
                                               "\\d",
                                               "\\W",
                                               "\\s",
                                               "^",
                                               "$",
                                               "(a|b)",
                                               "(?:ab)",
                                               "[a-f0]",
                                               "[[:alpha:]]",
                                               "k",
                                               "(?i:k)",
                                               "S",
                                               "",
                                               "x{0}",
                                               "\\.",
                                               "[^\\n]",
                                               "[\xC3\xA9-\xE2\x82\xAC]",
                                               "\\x{20ac}",
                                               "(?s:.)",
                                               "(|a)",
                                               "\\pN"};
  return all;
}

// Returns the parts that texts are made from.
const std::vector<std::string>& text_parts() {
  static const std::vector<std::string> all = {"a",
                                               "b",
                                               "k",
                                               "K",
                                               "s",
                                               "\xC3\xA9",
                                               "\xE2\x82\xAC",
                                               "\xF0\x9F\x98\x80",
                                               "0",
                                               " ",
                                               "\n",
                                               ".",
                                               "\xE2\x84\xAA",
                                               "\xC5\xBF"};
  return all;
}

TEST_CASE("an automaton matches what RE2 matches", "[match]") {
  std::mt19937 random(7);
  const auto any = [&](const std::vector<std::string>& choices) {
    return choices[random() % choices.size()];
  };
  std::size_t compiled = 0;
  std::size_t matched = 0;
  for (int i = 0; i < 4000; ++i) {
    std::string pattern = random() % 4 == 0 ? "(?i)" : "";
    for (unsigned count = random() % 5; count > 0; --count) {
      pattern += any(pattern_parts());
      if (random() % 3 == 0) pattern += any({"*", "+", "?", "{2}", "{1,3}", "{2,}", "*?", "|"});
    }
    std::optional<Automaton> automaton;
    try {
      automaton.emplace(pattern);
    } catch (const PatternError&) {
      continue;
    }
    ++compiled;
    const re2::RE2 reference(pattern);
    for (int j = 0; j < 12; ++j) {
      std::string text;
      for (unsigned count = random() % 6; count > 0; --count) text += any(text_parts());
      INFO(pattern << " on " << text);
      const bool found = re2::RE2::PartialMatch(text, reference);
      CHECK(automaton->matches(text) == found);
      matched += found ? 1 : 0;
    }
  }
  CHECK(compiled > 2500);
  CHECK(matched > 8000);
}

}  // namespace
}  // namespace dispatcher::testing
