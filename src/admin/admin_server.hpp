// The operators' address: whether this process is ready, and which replicas are left out. Decides nothing.
#ifndef DISPATCHER_ADMIN_ADMIN_SERVER_HPP_
#define DISPATCHER_ADMIN_ADMIN_SERVER_HPP_

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "http/server.hpp"

namespace dispatcher::admin {

// Connections to this address at once. Whoever is one too many takes the place of the one that has kept
// its place longest without finishing a call.
constexpr std::size_t kMaxCallers = 12;

struct AdminCallbacks {
  std::function<bool()> ready;
  std::function<bool(const std::string& endpoint, bool offline)> maintain;  // false: nobody has this host
  std::function<nlohmann::json()> level = {}, levels = {};                  // none: there are no levels
  std::function<bool(const std::string& name)> pin = {};  // or "auto"; false: there is none such
};

class AdminServer : private http::Server::Handler {
 public:
  AdminServer(boost::asio::io_context& io, const net::tcp::endpoint& at, engine::TimerQueue& timers,
              engine::Clock clock, AdminCallbacks calls, std::function<bool()> shed);
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  void open() { server_.open(); }
  [[nodiscard]] net::tcp::endpoint local() const { return server_.local(); }

 private:
  void on_request(net::SlotId client, http::Server::Request& request, engine::Time arrived) override;
  void on_gone(net::SlotId) override {}
  void on_level(net::SlotId client, std::string_view method, std::string_view path);
  void on_room(net::SlotId) override {}
  std::string error_body(int status, std::string_view what) override;

  http::Server server_;
  AdminCallbacks calls_;
};

// What is asked for by a path such as /control/replicas/ID/offline.
struct Order {
  std::string endpoint;
  bool offline = false;
};
std::optional<Order> parse_order(std::string_view path);

}  // namespace dispatcher::admin

#endif  // DISPATCHER_ADMIN_ADMIN_SERVER_HPP_
