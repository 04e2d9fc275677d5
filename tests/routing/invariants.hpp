// The invariants that every action of a router keeps, under any valid settings. Each function throws
// InvariantViolation, which names the broken rule, and changes nothing.
#ifndef DISPATCHER_TESTS_ROUTING_INVARIANTS_HPP_
#define DISPATCHER_TESTS_ROUTING_INVARIANTS_HPP_

#include <stdexcept>
#include <string>

#include "dispatcher_state.hpp"
#include "routing/router.hpp"

namespace dispatcher::routing::testing {

// A rule that a router's action, or the lack of one, broke.
struct InvariantViolation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws InvariantViolation with this rule unless it holds.
void require(bool holds, const std::string& rule);

// The request that an action names; it must have been submitted. `action` is the action's name in the
// message.
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

// Each request is answered in time, and each prompt state released in time. To be called as time goes on.
void check_time_limits(const DispatcherState& state);

// No prompt state is held and the router's tables are empty. To be called once all requests are over.
void check_nothing_left(const DispatcherState& state, const TableSizes& sizes);

// The router forgot the endpoints that its last list does not name, and did not invent prefixes.
void check_bounded_tables(const DispatcherState& state, const TableSizes& sizes);

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_ROUTING_INVARIANTS_HPP_
