// RapidCheck with a fixed seed, as a Catch2 check: the same verdict every time, and the smallest case that
// fails.
#ifndef DISPATCHER_TESTS_DISPATCHER_PROPERTY_HPP_
#define DISPATCHER_TESTS_DISPATCHER_PROPERTY_HPP_

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <sstream>
#include <utility>

namespace dispatcher::testing {

// Checks the property for `cases` drawn cases, whose size grows to `size`.
template <class Property>
void holds(Property&& property, int cases = 300, int size = 100) {
  rc::detail::TestParams params;
  params.seed = 20240711;
  params.maxSuccess = cases;
  params.maxSize = size;
  const auto result =
      rc::detail::checkTestable(std::forward<Property>(property), rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(text.str());
  CHECK(result.template is<rc::detail::SuccessResult>());
}

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_DISPATCHER_PROPERTY_HPP_
