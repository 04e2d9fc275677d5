// The invariants that hold for every action of a router, under any valid settings. Each function throws
// InvariantViolation, which names the violated rule, and modifies nothing.
#ifndef DISPATCHER_TESTS_ROUTING_INVARIANTS_HPP_
#define DISPATCHER_TESTS_ROUTING_INVARIANTS_HPP_

#include <stdexcept>
#include <string>

#include "dispatcher_state.hpp"
#include "routing/router.hpp"

namespace dispatcher::routing::testing {

// Names the rule that an action of the router, or a missing action, has violated.
struct InvariantViolation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws InvariantViolation with the text `rule` if `holds` is false.
void require(bool holds, const std::string& rule);

// Returns the request that an action names. Throws InvariantViolation if it was never submitted; `action` is
// the action's name in the message.
const ModelRequest& expect_submitted(const DispatcherState& state, const RequestId& id, const char* action);

void check_start_attempt(const DispatcherState& state, const StartAttempt& start);
void check_cancel_attempt(const DispatcherState& state, const CancelAttempt& cancel);
void check_reject(const DispatcherState& state, const Reject& reject);
void check_fail(const DispatcherState& state, const Fail& fail);
void check_migrate_stream(const DispatcherState& state, const MigrateStream& migrate);
void check_reserve_slot(const DispatcherState& state, const ReserveSlot& reserve);
void check_release_reservation(const DispatcherState& state, const ReleaseReservation& release);
void check_set_timer(const SetTimer& timer);
void check_subscribe(const DispatcherState& state);

// Checks that each request is answered in time and each prompt state released in time. Must be called each
// time that the clock has advanced.
void check_time_limits(const DispatcherState& state);

// Checks that no prompt state is held and that the router has no request left in its table. Must be called
// after all requests are over.
void check_nothing_left(const DispatcherState& state, const TableSizes& sizes);

// Checks that the router has erased the endpoints that its last list does not name, and that it indexes no
// more prefixes than the requests can have brought. That last list must name at most one endpoint.
void check_bounded_tables(const DispatcherState& state, const TableSizes& sizes);

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_ROUTING_INVARIANTS_HPP_
