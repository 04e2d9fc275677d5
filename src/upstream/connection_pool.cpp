#include "upstream/connection_pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dispatcher::upstream {

using std::chrono::milliseconds;

namespace {

// The maximum size of a connection's input buffer, in bytes. It need not hold a whole response, as a response
// is read as fast as its client accepts it.
constexpr std::size_t kMaxInputBytes = std::size_t{64} * 1024;
// The maximum size of a connection's output buffer, in bytes. It holds a complete request, which is queued at
// once.
constexpr std::size_t kMaxOutputBytes = http::kMaxBodyBytes + 2 * http::kMaxHeadBytes;

// The fraction of the endpoint's idle timeout after which an idle connection is closed, so that no request is
// sent while the endpoint closes the connection.
constexpr double kIdleTimeoutFraction = 0.6;

// For how long a connection is not reused after it became idle. A second response may arrive some
// milliseconds after the first and would be read as the response to the next request. Any bytes that arrive
// while the connection is idle close it.
constexpr Duration kReuseDelay = milliseconds(50);

// An endpoint that has a response due and sends nothing for longer than this may have lost its machine, so
// that its open connections stay silent. Only new connections to it are used: if the machine is lost, they
// are never established, which proves that no request has run.
constexpr Duration kUnresponsiveAfter = milliseconds(400);

// For how long only new connections are used after a reused one was reset at its next request. Such resets
// lose non-idempotent requests; new connections avoid them at the cost of a handshake each.
constexpr Duration kReuseQuarantine = milliseconds(10000);

// The longest connect timeout divided by this is the shortest one. A shorter timeout would fail connections
// to a busy machine, which accepts late.
constexpr int kMinConnectTimeoutDivisor = 5;

// The maximum of open connections divided by this is the number that is set aside for releases.
constexpr std::size_t kReleaseReserveDivisor = 16;

// The maximum size of the order of idle connections, as a multiple of the maximum of idle connections.
constexpr std::size_t kIdleOrderFactor = 4;

Duration min_connect_timeout(const Options& options) {
  return options.connect_timeout / kMinConnectTimeoutDivisor;
}

// Returns how long after the start of a drain a first byte may be sent. The rest of the grace period covers
// its way to the endpoint.
Duration last_first_byte(Duration drain_grace) { return drain_grace * 3 / 5; }

}  // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context& io, engine::TimerQueue& timers, engine::Clock clock,
                               const Options& options)
    : io_(io),
      timers_(timers),
      clock_(std::move(clock)),
      options_(options),
      connect_timeout_estimator_(min_connect_timeout(options), options.connect_timeout) {}

void ConnectionPool::apply_options(const Options& options) {
  options_ = options;
  connect_timeout_estimator_.set_bounds(min_connect_timeout(options), options.connect_timeout);
  while (connections_.size() > options_.max_connections) {
    if (!evict_idle()) return;
  }
}

// ---- endpoints ----

void ConnectionPool::update_endpoints(const std::vector<EndpointAddress>& addresses, ListScope scope) {
  if (scope == ListScope::kComplete) {
    for (auto& [name, endpoint] : endpoints_) {
      endpoint.is_listed = false;
      endpoint.is_removed = true;
    }
  }
  for (const EndpointAddress& listed : addresses) {
    Endpoint& endpoint = endpoints_[listed.endpoint];
    if (endpoint.address != listed.address)
      close_idle(endpoint, CloseReason::kEndpointMoved);  // they lead to its previous address
    endpoint.address = listed.address;
    endpoint.is_listed = listed.is_ready;
    endpoint.zone = listed.zone;
    endpoint.cell = listed.cell;
    endpoint.is_removed = listed.is_removed;
  }
  for (auto& [name, endpoint] : endpoints_) update_readiness(name, endpoint);
  erase_removed_endpoints();
}

void ConnectionPool::set_administrative_state(const EndpointId& name, routing::AdministrativeState state) {
  if (state == routing::AdministrativeState::kDrained) {
    administratively_drained_.insert(name);
  } else {
    administratively_drained_.erase(name);
  }
  if (Endpoint* endpoint = find_endpoint(name)) update_readiness(name, *endpoint);
}

void ConnectionPool::update_readiness(const EndpointId& name, Endpoint& endpoint) {
  const bool is_ready = endpoint.is_listed && !administratively_drained_.contains(name);
  if (endpoint.is_ready && !is_ready) endpoint.drain_started = clock_();
  endpoint.is_ready = is_ready;
  // An endpoint that shuts down waits for its connections to close.
  if (!is_ready) close_idle(endpoint, CloseReason::kEndpointDrained);
}

// Endpoints are regularly replaced under new names; without this, the state of removed ones would accumulate.
void ConnectionPool::erase_removed_endpoints() {
  std::erase_if(endpoints_, [](const auto& entry) {
    const Endpoint& endpoint = entry.second;
    return endpoint.is_removed && endpoint.connection_count == 0;
  });
}

Endpoint* ConnectionPool::find_endpoint(const EndpointId& name) {
  const auto it = endpoints_.find(name);
  return it == endpoints_.end() ? nullptr : &it->second;
}

Endpoint& ConnectionPool::endpoint_of(const PooledConnection& connection) {
  return *find_endpoint(connection.endpoint);
}

bool ConnectionPool::is_outdated(const PooledConnection& connection) {
  const Endpoint& endpoint = endpoint_of(connection);
  if (connection.address != endpoint.address) return true;
  return !endpoint.is_ready && clock_() > endpoint.drain_started + last_first_byte(options_.drain_grace);
}

// ---- opening and reuse ----

SlotId ConnectionPool::acquire(const EndpointId& name, Duration connect_timeout, ExchangeKind purpose) {
  Endpoint* endpoint = find_endpoint(name);
  if (endpoint == nullptr) return {};
  const Time now = clock_();
  const bool is_quarantined = last_reuse_failure_ != Time{} && now - last_reuse_failure_ < kReuseQuarantine;
  if (!endpoint->is_unresponsive(now, kUnresponsiveAfter) && !is_quarantined) {
    if (const SlotId id = acquire_idle(*endpoint)) return id;
  }
  if (connections_.size() >= max_connections_for(purpose) && !evict_idle()) return {};
  return open(name, *endpoint, now, connect_timeout);
}

std::size_t ConnectionPool::max_connections_for(ExchangeKind purpose) const {
  const std::size_t all = options_.max_connections;
  return purpose == ExchangeKind::kRelease ? all : all - all / kReleaseReserveDivisor;
}

SlotId ConnectionPool::acquire_idle(Endpoint& endpoint) {
  for (std::size_t i = endpoint.idle.size(); i-- > 0;) {
    const SlotId id = endpoint.idle[i];
    if (!is_past_reuse_delay(id)) continue;
    PooledConnection& connection = *connections_.find(id);
    if (connection.transport->is_stale()) {
      close(id, CloseReason::kStale);
      continue;
    }
    endpoint.idle.erase(endpoint.idle.begin() + static_cast<std::ptrdiff_t>(i));
    connection.is_parked = false;
    --idle_count_;
    timers_.drop(connection.timer);
    return id;
  }
  return {};
}

SlotId ConnectionPool::open(const EndpointId& name, Endpoint& endpoint, Time now, Duration connect_timeout) {
  const SlotId id = connections_.emplace();
  ++endpoint.connection_count;
  PooledConnection& connection = *connections_.find(id);
  connection.endpoint = name;
  connection.address = endpoint.address;
  connection.transport =
      net::Connection::connect(io_, endpoint.address, *handler_, id, kMaxInputBytes, kMaxOutputBytes);
  connection.opened_at = now;
  connection.timer = timers_.add(now + connect_timeout, [this, id] {
    connect_timeout_estimator_.on_timeout();
    handler_->on_connect_timeout(id);
  });
  return id;
}

SlotId ConnectionPool::adopt(const EndpointId& name, net::UniqueFd socket) {
  auto transport = std::make_shared<net::Connection>(net::adopt_socket(io_, std::move(socket)),
                                                     kMaxInputBytes, kMaxOutputBytes);
  const SlotId id = connections_.emplace();
  PooledConnection& connection = *connections_.find(id);
  const auto [entry, is_new] = endpoints_.try_emplace(name);
  Endpoint& endpoint = entry->second;
  if (is_new) endpoint.is_removed = true;  // it was removed from the list after the other process connected
  ++endpoint.connection_count;
  connection.endpoint = name;
  connection.address = endpoint.address;
  connection.is_connected = true;
  connection.is_reused = true;
  connection.transport = std::move(transport);
  connection.transport->set_owner(*handler_, id);
  return id;
}

void ConnectionPool::on_connected(PooledConnection& connection) {
  connection.is_connected = true;
  connect_timeout_estimator_.on_connected(clock_() - connection.opened_at);
  timers_.drop(connection.timer);
}

bool ConnectionPool::is_past_reuse_delay(SlotId id) {
  return clock_() - connections_.find(id)->parked_at >= kReuseDelay;
}

bool ConnectionPool::has_reusable_connection(const Endpoint& endpoint) {
  return !endpoint.idle.empty() && is_past_reuse_delay(endpoint.idle.front());
}

// ---- parking and closing ----

void ConnectionPool::park(SlotId id) {
  PooledConnection& connection = *connections_.find(id);
  end_exchange(connection);
  connection.is_reused = true;
  connection.exchange.reader.reset();
  Endpoint& endpoint = endpoint_of(connection);
  if (connection.address != endpoint.address) return close(id, CloseReason::kEndpointMoved);
  if (!endpoint.is_ready) return close(id, CloseReason::kEndpointDrained);
  if (endpoint.idle.size() >= options_.max_idle_per_endpoint) return close(id, CloseReason::kNotKept);
  if (idle_count_ >= options_.max_idle_total) evict_idle();
  endpoint.idle.push_back(id);
  connection.is_parked = true;
  connection.parked_at = clock_();
  idle_order_.push_back(id);
  const std::size_t max_order = kIdleOrderFactor * options_.max_idle_total;
  while (!idle_order_.empty() && idle_order_.size() > max_order) idle_order_.pop_front();
  ++idle_count_;
  const auto idle_timeout = static_cast<double>(options_.idle_timeout.count());
  const auto max_idle_time = Duration(std::llround(idle_timeout * kIdleTimeoutFraction));
  connection.timer =
      timers_.add(clock_() + max_idle_time, [this, id] { close(id, CloseReason::kIdleTimeout); });
  connection.transport->read();  // to notice when the endpoint closes it
}

void ConnectionPool::close(SlotId id, CloseReason reason) {
  PooledConnection* connection = connections_.find(id);
  if (connection == nullptr) return;
  const bool is_in_use = connection->exchange.is_active();
  log_.log_closed(connection->endpoint, is_in_use ? connection->exchange.request.request_id : RequestId{},
                  reason);
  Endpoint& endpoint = endpoint_of(*connection);
  remove_from_idle(endpoint, id);
  timers_.drop(connection->timer);
  end_exchange(*connection);
  connection->transport->close();
  connections_.erase(id);
  --endpoint.connection_count;
}

void ConnectionPool::remove_from_idle(Endpoint& endpoint, SlotId id) {
  const auto it = std::find(endpoint.idle.begin(), endpoint.idle.end(), id);
  if (it == endpoint.idle.end()) return;
  endpoint.idle.erase(it);
  --idle_count_;
}

void ConnectionPool::end_exchange(PooledConnection& connection) {
  ExchangeKind& kind = connection.exchange.request.kind;
  if (kind == ExchangeKind::kAttempt) --endpoint_of(connection).running_attempts;
  kind = ExchangeKind::kNone;
  connection.exchange.handler = nullptr;
}

bool ConnectionPool::evict_idle() {
  while (!idle_order_.empty()) {
    const SlotId id = idle_order_.front();
    idle_order_.pop_front();
    const PooledConnection* connection = connections_.find(id);
    if (connection == nullptr || !connection->is_parked) continue;
    close(id, CloseReason::kEvicted);
    return true;
  }
  return false;
}

void ConnectionPool::close_idle(Endpoint& endpoint, CloseReason reason) {
  while (!endpoint.idle.empty()) {
    const SlotId id = endpoint.idle.back();
    close(id, reason);
  }
}

}  // namespace dispatcher::upstream
