// Events and actions as text, for the transcript that a broken invariant is reported with.
#ifndef DISPATCHER_TESTS_ROUTING_TRANSCRIPT_HPP_
#define DISPATCHER_TESTS_ROUTING_TRANSCRIPT_HPP_

#include <string>

#include "routing/router.hpp"

namespace dispatcher::routing::testing {

// Milliseconds with their unit, to the microsecond.
[[nodiscard]] std::string format_time(Duration time);

[[nodiscard]] std::string describe(const Event& event);

[[nodiscard]] std::string describe(const Action& action);

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_ROUTING_TRANSCRIPT_HPP_
