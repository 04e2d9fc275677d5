// How many allocations the test program has made, for tests of code that must make none.
#ifndef DISPATCHER_TESTS_DISPATCHER_ALLOCATIONS_HPP_
#define DISPATCHER_TESTS_DISPATCHER_ALLOCATIONS_HPP_

#include <cstddef>

namespace dispatcher::testing {
extern std::size_t allocations;  // so far, by operator new; for tests on one thread
}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_DISPATCHER_ALLOCATIONS_HPP_
