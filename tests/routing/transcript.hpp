// Formats events and actions as text, for the transcript that is reported with a violated invariant.
#ifndef DISPATCHER_TESTS_ROUTING_TRANSCRIPT_HPP_
#define DISPATCHER_TESTS_ROUTING_TRANSCRIPT_HPP_

#include <string>

#include "routing/router.hpp"

namespace dispatcher::routing::testing {

// Formats the time in milliseconds with the unit, to the microsecond.
[[nodiscard]] std::string format_time(Duration time);

[[nodiscard]] std::string describe(const Event& event);

[[nodiscard]] std::string describe(const Action& action);

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_ROUTING_TRANSCRIPT_HPP_
