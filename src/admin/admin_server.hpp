// The admin HTTP interface for operators: readiness, draining of endpoints and the degradation level.
#ifndef DISPATCHER_ADMIN_ADMIN_SERVER_HPP_
#define DISPATCHER_ADMIN_ADMIN_SERVER_HPP_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "engine/interfaces.hpp"
#include "http/server.hpp"

namespace dispatcher::admin {

/// Maximum of concurrent connections. A further one replaces the connection that has been open longest
/// without finishing a request.
inline constexpr std::size_t kMaxConnections = 12;

/// The daemon's functions that handle admin requests. Called on the event loop, from inside a request.
struct AdminCallbacks {
  /// Returns whether this process accepts clients and knows at least one endpoint.
  std::function<bool()> is_ready;
  /// Drains an endpoint or returns it to service. Returns false if the endpoint is unknown.
  std::function<bool(const engine::EndpointId& endpoint, engine::AdministrativeState state)>
      set_administrative_state;
  /// Return the degradation level in force, and its latest changes. If level_status is empty, there are no
  /// levels and their paths are not served.
  std::function<nlohmann::json()> level_status = {};
  std::function<nlohmann::json()> level_history = {};
  /// Overrides the degradation level by its name, or clears the override ("auto"). Returns false if there
  /// is no such level.
  std::function<bool(const std::string& name)> set_level_override = {};
};

/// Serves GET /control/ready, POST /control/replicas/ID/offline and .../online, GET /control/level and
/// /control/levels, and POST /control/level/NAME. Makes no decisions. Owned by the daemon and used on its
/// event loop only.
class AdminServer : private http::Server::Handler {
 public:
  /// Listens at `address` once open() is called. The referenced objects must outlive the server.
  AdminServer(boost::asio::io_context& io, const net::tcp::endpoint& address, engine::TimerQueue& timers,
              engine::Clock clock, AdminCallbacks callbacks, http::DescriptorReclaimer reclaim_descriptor);
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Begins to listen. Throws boost::system::system_error if the address can't be bound.
  void open() { server_.open(); }
  /// Returns the bound address, with the port that the system chose if the configured one is 0.
  [[nodiscard]] net::tcp::endpoint local() const { return server_.local(); }

 private:
  void on_request(net::SlotId client, http::Server::Request& request, engine::Time arrival) override;
  void on_disconnected(net::SlotId) override {}
  void on_writable(net::SlotId) override {}
  std::string error_body(int status, std::string_view message) override;

  void handle_ready(net::SlotId client);
  void handle_endpoint(net::SlotId client, const engine::EndpointId& endpoint,
                       engine::AdministrativeState state);
  void handle_level(net::SlotId client, std::string_view method, std::string_view path);
  void handle_level_query(net::SlotId client, std::string_view method,
                          const std::function<nlohmann::json()>& query);
  void respond_json(net::SlotId client, int status, const nlohmann::json& body);
  void respond_not_found(net::SlotId client, std::string_view message);
  void respond_wrong_method(net::SlotId client, const std::string& allowed);

  http::Server server_;
  AdminCallbacks callbacks_;
};

}  // namespace dispatcher::admin

#endif  // DISPATCHER_ADMIN_ADMIN_SERVER_HPP_
