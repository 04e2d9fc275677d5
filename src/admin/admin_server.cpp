// Routes admin requests to the daemon's callbacks.
#include "admin/admin_server.hpp"

#include <chrono>
#include <optional>
#include <utility>

#include "admin/endpoint_command.hpp"

namespace dispatcher::admin {

namespace {

constexpr std::string_view kReadyPath = "/control/ready";
constexpr std::string_view kLevelPath = "/control/level";
constexpr std::string_view kLevelsPath = "/control/levels";
constexpr std::string_view kLevelPrefix = "/control/level/";  // followed by the name of a level

// Operators' tools wait for a response for one second at most, so a caller that takes longer to send its
// request no longer waits for the response.
http::ServerOptions server_options() {
  using std::chrono::milliseconds;
  constexpr milliseconds kCallerTimeout{1000};
  constexpr milliseconds kLingerTimeout{200};
  constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;  // no request needs a body: small but not 0
  http::ServerOptions options;
  options.max_clients = kMaxConnections;
  options.max_body_bytes = kMaxBodyBytes;
  options.first_byte_timeout = kCallerTimeout;
  options.request_timeout = kCallerTimeout;
  options.write_timeout = kCallerTimeout;
  options.linger_timeout = kLingerTimeout;
  options.is_single_request = true;
  return options;
}

std::string to_text(const nlohmann::json& object) {
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

}  // namespace

AdminServer::AdminServer(boost::asio::io_context& io, const net::tcp::endpoint& address,
                         engine::TimerQueue& timers, engine::Clock clock, AdminCallbacks callbacks,
                         http::DescriptorReclaimer reclaim_descriptor)
    : server_(io, address, *this, timers, std::move(clock), server_options(), std::move(reclaim_descriptor)),
      callbacks_(std::move(callbacks)) {}

void AdminServer::on_request(net::SlotId client, http::Server::Request& request, engine::Time) {
  const std::string_view method = http::to_view(request.method_string());
  const std::string_view path = http::to_view(request.target());
  if (callbacks_.level_status && path.starts_with(kLevelPath)) return handle_level(client, method, path);
  if (path == kReadyPath) {
    if (method != "GET") return respond_wrong_method(client, "GET");
    return handle_ready(client);
  }
  const auto command = parse_endpoint_command(path);
  if (!command) return respond_not_found(client, "no such call");
  if (method != "POST") return respond_wrong_method(client, "POST");
  handle_endpoint(client, command->endpoint, command->state);
}

void AdminServer::handle_ready(net::SlotId client) {
  const bool is_ready = callbacks_.is_ready();
  respond_json(client, is_ready ? 200 : 503, {{"ready", is_ready}});
}

void AdminServer::handle_endpoint(net::SlotId client, const engine::EndpointId& endpoint,
                                  engine::AdministrativeState state) {
  if (!callbacks_.set_administrative_state(endpoint, state))
    return respond_not_found(client, "no such replica");
  const bool is_drained = state == engine::AdministrativeState::kDrained;
  respond_json(client, 200, {{"replica", endpoint.value()}, {"state", is_drained ? "offline" : "online"}});
}

void AdminServer::handle_level(net::SlotId client, std::string_view method, std::string_view path) {
  if (path == kLevelPath) return handle_level_query(client, method, callbacks_.level_status);
  if (path == kLevelsPath) return handle_level_query(client, method, callbacks_.level_history);
  if (path.size() <= kLevelPrefix.size() || !path.starts_with(kLevelPrefix))
    return respond_not_found(client, "no such call");
  if (method != "POST") return respond_wrong_method(client, "POST");
  const std::string level_name(path.substr(kLevelPrefix.size()));
  if (!callbacks_.set_level_override(level_name)) return respond_not_found(client, "no such level");
  respond_json(client, 200, callbacks_.level_status());
}

void AdminServer::handle_level_query(net::SlotId client, std::string_view method,
                                     const std::function<nlohmann::json()>& query) {
  if (method != "GET") return respond_wrong_method(client, "GET");
  respond_json(client, 200, query());
}

void AdminServer::respond_json(net::SlotId client, int status, const nlohmann::json& body) {
  server_.respond(client, status, "application/json", to_text(body));
}

void AdminServer::respond_not_found(net::SlotId client, std::string_view message) {
  server_.respond_error(client, 404, message);
}

void AdminServer::respond_wrong_method(net::SlotId client, const std::string& allowed) {
  server_.respond_error(client, 405, "this call takes " + allowed, {{"Allow", allowed}});
}

std::string AdminServer::error_body(int, std::string_view message) { return to_text({{"error", message}}); }

}  // namespace dispatcher::admin
