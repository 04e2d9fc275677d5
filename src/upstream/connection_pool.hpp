// Pooled connections to replicas: opening, reuse, limits, and the table of known endpoints.
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

// A connection and what it carries. Owned by ConnectionPool.
struct PooledConnection {
  EndpointId endpoint;
  net::tcp::endpoint address;  // where the endpoint listened when the connection was opened
  std::shared_ptr<net::Connection> transport;
  Time opened_at{};
  Time parked_at{};
  bool is_connected = false;
  bool is_reused = false;             // has served an exchange before
  bool is_reading_suspended = false;  // see StreamHandover
  bool is_parked = false;             // in its endpoint's idle list; only such a connection may be evicted
  Exchange exchange;
  engine::TimerId timer;  // limits connecting, the wait for a first event, or idleness
};

// Who is notified of what happens on the pool's connections; called from the event loop's thread.
class ConnectionHandler : public net::Connection::Owner {
 public:
  // A new connection was not established in time. It is still in the pool.
  virtual void on_connect_timeout(SlotId id) = 0;
};

// Opens, keeps and closes the connections to replicas. An idle connection is parked under its endpoint and
// used again; limits hold for one endpoint, for all idle connections and for all connections. Runs on the
// event loop's thread, never blocks, and never calls its handler from inside a call.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& io, engine::TimerQueue& timers, engine::Clock clock,
                 const Options& options);
  // Must be called before the first connection is acquired; `handler` must outlive the pool's last event.
  void set_handler(ConnectionHandler& handler) { handler_ = &handler; }
  void set_log(ConnectionLog log) { log_ = std::move(log); }
  // Limits and times for what is opened from now on; idle connections past the new limit are closed.
  void apply_options(const Options& options);

  // Takes a complete list of service discovery, or a change of it.
  void update_endpoints(const std::vector<EndpointAddress>& addresses, ListScope scope);
  // As operators set it, whether the endpoint is listed or not.
  void set_administrative_state(const EndpointId& name, routing::AdministrativeState state);

  // The connection last used that is fit for reuse, else a new one that fails after `connect_timeout`.
  // Empty: none may be opened, or the endpoint is unknown. Some are kept for releases: attempts that hang at
  // silent endpoints must not keep reservations from being released.
  [[nodiscard]] SlotId acquire(const EndpointId& name, Duration connect_timeout, ExchangeKind purpose);
  // Takes over a connected socket to an endpoint from another process; throws where it is no TCP socket.
  [[nodiscard]] SlotId adopt(const EndpointId& name, net::UniqueFd socket);
  // Keeps a connection whose exchange has ended for the next one, or closes it where it can't be kept.
  void park(SlotId id);
  // Closes a connection at once, whatever it carries; its handler is not called any more. Unknown ids are
  // ignored.
  void close(SlotId id, CloseReason reason);
  // Closes the connection that has been idle for longest. False: none is idle.
  bool evict_idle();

  // To be called when a new connection is established: ends its connect timeout.
  void on_connected(PooledConnection& connection);
  // Whether a connection that was just established must not be written to: its endpoint has been draining for
  // too long or has another address by now, and the router chose it before it was notified of that.
  [[nodiscard]] bool is_outdated(const PooledConnection& connection);
  // A reused connection broke without a response: for a while, only new connections are used.
  void quarantine_reuse() { last_reuse_failure_ = clock_(); }

  // nullptr: the connection has been closed.
  [[nodiscard]] PooledConnection* find(SlotId id) { return connections_.find(id); }
  // nullptr: unknown. An endpoint is known while it has connections.
  [[nodiscard]] Endpoint* find_endpoint(const EndpointId& name);
  [[nodiscard]] Endpoint& endpoint_of(const PooledConnection& connection);
  [[nodiscard]] const std::map<EndpointId, Endpoint>& endpoints() const { return endpoints_; }
  [[nodiscard]] std::vector<SlotId> ids() const { return connections_.ids(); }
  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  // How long to wait for a new connection, by how long others took.
  [[nodiscard]] Duration connect_timeout() const { return connect_timeout_estimator_.timeout(); }
  // Whether the endpoint has an idle connection that may be used again.
  [[nodiscard]] bool has_reusable_connection(const Endpoint& endpoint);

 private:
  [[nodiscard]] SlotId acquire_idle(Endpoint& endpoint);
  [[nodiscard]] SlotId open(const EndpointId& name, Endpoint& endpoint, Time now, Duration connect_timeout);
  [[nodiscard]] std::size_t max_connections_for(ExchangeKind purpose) const;
  [[nodiscard]] bool has_settled(SlotId id);
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
  // All connections that became idle, oldest first; may name some that were closed or acquired since.
  std::deque<SlotId> idle_order_;
  std::size_t idle_count_ = 0;
  ConnectTimeoutEstimator connect_timeout_estimator_;
  Time last_reuse_failure_{};  // zero: never
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_CONNECTION_POOL_HPP_
