// Pooled connections to endpoints: opening, reuse, limits, and the table of known endpoints.
#ifndef DISPATCHER_UPSTREAM_CONNECTION_POOL_HPP_
#define DISPATCHER_UPSTREAM_CONNECTION_POOL_HPP_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "engine/timer_queue.hpp"
#include "net/connection.hpp"
#include "net/slot_table.hpp"
#include "net/unique_fd.hpp"
#include "routing/events.hpp"
#include "upstream/connect_timeout_estimator.hpp"
#include "upstream/connection_log.hpp"
#include "upstream/endpoint.hpp"
#include "upstream/exchange.hpp"
#include "upstream/options.hpp"

namespace dispatcher::upstream {

// A connection and the exchange that it carries. Owned by ConnectionPool.
struct PooledConnection {
  EndpointId endpoint;
  net::tcp::endpoint address;  // where the endpoint listened when the connection was opened
  std::shared_ptr<net::Connection> transport;
  Time opened_at{};
  Time parked_at{};
  bool is_connected = false;
  bool is_reused = false;             // has carried an exchange before
  bool is_reading_suspended = false;  // see StreamHandover
  bool is_parked = false;             // in its endpoint's idle list; only parked connections may be evicted
  Exchange exchange;
  engine::TimerId timer;  // limits the time to connect, to the first event, or in the idle list
};

// Notified of events on the pool's connections, on the event loop's thread.
class ConnectionHandler : public net::Connection::Owner {
 public:
  // Called when a new connection was not established in time. It is still in the pool.
  virtual void on_connect_timeout(SlotId id) = 0;
};

// Opens, keeps and closes the connections to endpoints. An idle connection is parked under its endpoint and
// reused. There are limits on the idle connections of one endpoint, on all idle connections and on all
// connections. Runs on the event loop's thread, never blocks, and never calls its handler from inside a call.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& io, engine::TimerQueue& timers, engine::Clock clock,
                 const Options& options);
  // Must be called before the first connection is acquired; `handler` must outlive the pool's last event.
  void set_handler(ConnectionHandler& handler) { handler_ = &handler; }
  void set_log(ConnectionLog log) { log_ = std::move(log); }
  // Applies new limits and times to what is opened from now on, and closes idle connections beyond the new
  // limit on all connections.
  void apply_options(const Options& options);

  // Applies a complete list of service discovery, or changes to it.
  void update_endpoints(const std::vector<EndpointAddress>& addresses, ListScope scope);
  // Sets the state that operators give an endpoint. The endpoint need not be listed.
  void set_administrative_state(const EndpointId& name, routing::AdministrativeState state);

  // Returns the most recently used idle connection that is fit for reuse, else a new one that fails after
  // `connect_timeout`. Returns an empty id if none may be opened or the endpoint is unknown. Some of the
  // allowed connections are set aside for releases: attempts that hang at silent endpoints must not prevent
  // the release of reservations.
  [[nodiscard]] SlotId acquire(const EndpointId& name, Duration connect_timeout, ExchangeKind purpose);
  // Takes over a connected socket to an endpoint from another process. Throws if it is not a TCP socket.
  [[nodiscard]] SlotId adopt(const EndpointId& name, net::UniqueFd socket);
  // Keeps a connection whose exchange has ended for the next exchange, or closes it if it can't be kept.
  void park(SlotId id);
  // Closes a connection at once, even during an exchange, whose handler is not called any more. Ignores
  // unknown ids.
  void close(SlotId id, CloseReason reason);
  // Closes the connection that has been idle for longest. Returns false if none is idle.
  bool evict_idle();

  // Must be called when a new connection is established. Ends its connect timeout.
  void on_connected(PooledConnection& connection);
  // Returns whether a connection that was just established must not be written to, because its endpoint has
  // been draining for too long or has changed its address since the router chose it.
  [[nodiscard]] bool is_outdated(const PooledConnection& connection);
  // Called when a reused connection broke without a response. For a while, only new connections are used.
  void quarantine_reuse() { last_reuse_failure_ = clock_(); }

  // Returns null if the connection has been closed.
  [[nodiscard]] PooledConnection* find(SlotId id) { return connections_.find(id); }
  // Returns null if the endpoint is unknown. An endpoint is known while it is listed or has connections.
  [[nodiscard]] Endpoint* find_endpoint(const EndpointId& name);
  [[nodiscard]] Endpoint& endpoint_of(const PooledConnection& connection);
  [[nodiscard]] const std::map<EndpointId, Endpoint>& endpoints() const { return endpoints_; }
  [[nodiscard]] std::vector<SlotId> ids() const { return connections_.ids(); }
  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  // Returns how long to wait for a new connection, estimated from the time that earlier ones took.
  [[nodiscard]] Duration connect_timeout() const { return connect_timeout_estimator_.timeout(); }
  // Returns whether the endpoint has an idle connection that may be reused.
  [[nodiscard]] bool has_reusable_connection(const Endpoint& endpoint);

 private:
  [[nodiscard]] SlotId acquire_idle(Endpoint& endpoint);
  [[nodiscard]] SlotId open(const EndpointId& name, Endpoint& endpoint, Time now, Duration connect_timeout);
  [[nodiscard]] std::size_t max_connections_for(ExchangeKind purpose) const;
  [[nodiscard]] bool is_past_reuse_delay(SlotId id);
  void update_readiness(const EndpointId& name, Endpoint& endpoint);
  void close_idle(Endpoint& endpoint, CloseReason reason);
  void remove_from_idle(Endpoint& endpoint, SlotId id);
  void end_exchange(PooledConnection& connection);
  void erase_removed_endpoints();

  boost::asio::io_context& io_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  Options options_;
  ConnectionLog log_;
  ConnectionHandler* handler_ = nullptr;
  net::SlotTable<PooledConnection> connections_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::set<EndpointId> administratively_drained_;
  // The connections that became idle, the oldest first. May contain connections that have been closed or
  // acquired since.
  std::deque<SlotId> idle_order_;
  std::size_t idle_count_ = 0;
  ConnectTimeoutEstimator connect_timeout_estimator_;
  Time last_reuse_failure_{};  // zero if there was none
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_CONNECTION_POOL_HPP_
