#include "admin/admin_server.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <utility>

namespace dispatcher::admin {

namespace {

constexpr std::string_view kReady = "/control/ready", kReplicas = "/control/replicas/",
                           kLevel = "/control/level", kLevels = "/control/levels";
constexpr std::size_t kMaxId = 128;

// Callers wait a second at most. One that takes longer to finish its call has no use for the answer.
http::ServerOptions options() {
  using std::chrono::milliseconds;
  http::ServerOptions o;
  o.max_clients = kMaxCallers;
  o.max_held = 64 * 1024;  // no call has a body; what is sent all the same must cost little
  o.greeting = o.arrival = o.stall = milliseconds(1000);
  o.linger = milliseconds(200);
  o.one_request = true;
  return o;
}

bool id_character(unsigned char c) {
  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':' || c == '~';
}

std::string text(const nlohmann::json& object) {
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

}  // namespace

std::optional<Order> parse_order(std::string_view path) {
  if (!path.starts_with(kReplicas)) return std::nullopt;
  path.remove_prefix(kReplicas.size());
  const std::size_t slash = path.find('/');
  if (slash == std::string_view::npos || slash == 0 || slash > kMaxId) return std::nullopt;
  const std::string_view endpoint = path.substr(0, slash), word = path.substr(slash + 1);
  if (!std::all_of(endpoint.begin(), endpoint.end(), id_character)) return std::nullopt;
  if (word != "offline" && word != "online") return std::nullopt;
  return Order{std::string(endpoint), word == "offline"};
}

AdminServer::AdminServer(boost::asio::io_context& io, const net::tcp::endpoint& at,
                         engine::TimerQueue& timers, engine::Clock clock, AdminCallbacks calls,
                         std::function<bool()> shed)
    : server_(io, at, *this, timers, std::move(clock), options(), std::move(shed)),
      calls_(std::move(calls)) {}

void AdminServer::on_request(net::SlotId client, http::Server::Request& request, engine::Time) {
  const auto method = request.method_string(), target = request.target();
  const std::string_view path = std::string_view(target.data(), target.size());
  if (calls_.level && path.starts_with(kLevel)) return on_level(client, {method.data(), method.size()}, path);
  const auto order = parse_order(path);
  if (path != kReady && !order) return server_.error(client, 404, "no such call");
  const std::string wanted = order ? "POST" : "GET";
  if (std::string_view(method.data(), method.size()) != wanted)
    return server_.error(client, 405, "this call takes " + wanted, {{"Allow", wanted}});
  if (!order) {
    const bool ready = calls_.ready();
    return server_.answer(client, ready ? 200 : 503, "application/json", text({{"ready", ready}}));
  }
  if (!calls_.maintain(order->endpoint, order->offline)) return server_.error(client, 404, "no such replica");
  server_.answer(client, 200, "application/json",
                 text({{"replica", order->endpoint}, {"state", order->offline ? "offline" : "online"}}));
}

void AdminServer::on_level(net::SlotId client, std::string_view method, std::string_view path) {
  const bool asks = path == kLevel || path == kLevels;
  const std::string name(path.substr(std::min(path.size(), kLevel.size() + 1)));
  const bool orders = !asks && path[kLevel.size()] == '/' && !name.empty();
  if (!asks && !orders) return server_.error(client, 404, "no such call");
  const std::string wanted = asks ? "GET" : "POST";
  if (method != wanted) return server_.error(client, 405, "this call takes " + wanted, {{"Allow", wanted}});
  if (orders && !calls_.pin(name)) return server_.error(client, 404, "no such level");
  server_.answer(client, 200, "application/json", text(path == kLevels ? calls_.levels() : calls_.level()));
}

std::string AdminServer::error_body(int, std::string_view what) { return text({{"error", what}}); }

}  // namespace dispatcher::admin
