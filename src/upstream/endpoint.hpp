// A replica's address as service discovery lists it, and what the connection pool knows of a replica.
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

// Where a replica listens, as service discovery lists it.
struct EndpointAddress {
  EndpointId endpoint;
  net::tcp::endpoint address;
  bool is_ready = false;    // takes new requests
  bool is_removed = false;  // has left the list
  std::string zone = {};
  int cell = 0;  // its failure domain within the zone
};

// What a list of addresses covers: all replicas, so that those it does not name have left, or only those that
// changed.
enum class ListScope { kComplete, kChanges };

// The pool's state of one replica. Owned by ConnectionPool, which keeps it for as long as the replica is
// listed or has open connections.
struct Endpoint {
  net::tcp::endpoint address;
  std::string zone;
  int cell = 0;
  bool is_listed = false;   // service discovery lists it as ready
  bool is_ready = false;    // listed, and not drained by the operators
  bool is_removed = false;  // has left service discovery's list
  std::size_t connection_count = 0;
  std::size_t running_attempts = 0;
  Time drain_started{};     // when it last ceased to be ready
  Time last_received{};     // when bytes last came from it; zero: never
  Time awaiting_since{};    // since when the next bytes from it are due; zero: none are
  std::deque<SlotId> idle;  // parked connections, the last used at the back

  // Whether bytes that are due from it have not come for longer than `limit`.
  [[nodiscard]] bool is_unresponsive(Time now, Duration limit) const {
    return awaiting_since != Time{} && now - awaiting_since > limit;
  }
  void on_request_written(Time now) {
    if (awaiting_since == Time{}) awaiting_since = now;
  }
  void on_bytes_received(Time now) {
    last_received = now;
    awaiting_since = running_attempts > 0 ? now : Time{};  // a running attempt has its next bytes due
  }
  void on_exchange_completed() {
    if (running_attempts == 0) awaiting_since = {};
  }
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_ENDPOINT_HPP_
