#ifndef DISPATCHER_TESTS_DISPATCHER_ALLOCATIONS_HPP_
#define DISPATCHER_TESTS_DISPATCHER_ALLOCATIONS_HPP_

#include <cstddef>

namespace dispatcher::testing {
extern std::size_t allocations;  // so far, by operator new
}

#endif  // DISPATCHER_TESTS_DISPATCHER_ALLOCATIONS_HPP_
