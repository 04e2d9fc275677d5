// An endpoint's address as service discovery lists it, and the connection pool's state of an endpoint.
#ifndef DISPATCHER_UPSTREAM_ENDPOINT_HPP_
#define DISPATCHER_UPSTREAM_ENDPOINT_HPP_

#include <cstddef>
#include <deque>
#include <string>

#include "net/connection.hpp"
#include "net/slot_table.hpp"
#include "routing/identifiers.hpp"
#include "upstream/options.hpp"

namespace dispatcher::upstream {

using net::SlotId;
using routing::EndpointId;

// The address at which an endpoint listens, as service discovery lists it.
struct EndpointAddress {
  EndpointId endpoint;
  net::tcp::endpoint address;
  bool is_ready = false;    // accepts new requests
  bool is_removed = false;  // is no longer listed
  std::string zone = {};
  int cell = 0;  // the endpoint's failure domain within the zone
};

// Whether a list of addresses covers all endpoints, so that an endpoint that it does not name has been
// removed, or only the endpoints that changed.
enum class ListScope { kComplete, kChanges };

// The pool's state of one endpoint. Owned by ConnectionPool, which keeps it for as long as the endpoint is
// listed or has open connections.
struct Endpoint {
  net::tcp::endpoint address;
  std::string zone;
  int cell = 0;
  bool is_listed = false;   // service discovery lists it as ready
  bool is_ready = false;    // listed, and not drained by the operators
  bool is_removed = false;  // is no longer in service discovery's list
  std::size_t connection_count = 0;
  std::size_t running_attempts = 0;
  Time drain_started{};     // when it last stopped being ready
  Time last_received{};     // when bytes last arrived from it; zero if none have
  Time awaiting_since{};    // since when its next bytes are due; zero if none are due
  std::deque<SlotId> idle;  // parked connections, the most recently used at the back

  // Returns whether bytes have been due from it for longer than `limit`.
  [[nodiscard]] bool is_unresponsive(Time now, Duration limit) const {
    return awaiting_since != Time{} && now - awaiting_since > limit;
  }
  // Called when a request was written to one of its connections.
  void on_request_written(Time now) {
    if (awaiting_since == Time{}) awaiting_since = now;
  }
  // Called when bytes of a response have arrived from it.
  void on_bytes_received(Time now) {
    last_received = now;
    awaiting_since = running_attempts > 0 ? now : Time{};  // each running attempt has its next bytes due
  }
  // Called when an exchange has ended with a complete response.
  void on_exchange_completed() {
    if (running_attempts == 0) awaiting_since = {};
  }
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_ENDPOINT_HPP_
