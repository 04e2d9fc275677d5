// The whole dispatcher, put together: who is built from what, and its life from start to SIGTERM.
#ifndef DISPATCHER_DAEMON_DISPATCHER_HPP_
#define DISPATCHER_DAEMON_DISPATCHER_HPP_

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "admin/admin_server.hpp"
#include "daemon/config.hpp"
#include "daemon/loop.hpp"
#include "degradation/degradation_controller.hpp"
#include "engine/engine.hpp"
#include "hot_restart/drained_endpoint_store.hpp"
#include "hot_restart/hot_restart_peer.hpp"
#include "openai_api/frontend.hpp"
#include "platform_api/frontend.hpp"
#include "rate_limit/rate_limiter.hpp"
#include "service_discovery/endpoint_watcher.hpp"
#include "upstream/connection_pool.hpp"
#include "vrrp/vrrp_instance.hpp"

namespace dispatcher::daemon {

using Json = nlohmann::json;

// The files of our own, each as it was read; without text: there is none.
struct Texts {
  cue::File chat = {}, vrrp = {};
  std::optional<cue::File> rules = {}, levels = {};  // none: there are no rules, no levels
};

// What SIGHUP reads anew.
struct Files {
  Config config;
  Texts texts;
};

class Dispatcher : private hot_restart::HotRestartPeer::Owner {
 public:
  using ReadAgain = std::function<Files()>;  // throws where a file can't be read or is bad
  Dispatcher(Loop& loop, const Config& config, const Texts& texts, engine::Log log,
             ReadAgain read_again = {});  // throws where a file is bad
  void start();
  // From here on a line for each thing that happens to a request.
  void log_requests() { engine_.attach(engine::RequestLog(log_)); }
  void reload();  // as SIGHUP asks: all of the new files takes effect or, where one is bad, nothing
  void drain();   // as SIGTERM asks: takes what still comes for a while, finishes everything, ends the loop
  net::tcp::endpoint address() { return platform_.server().local(); }
  net::tcp::endpoint console() const { return console_->local(); }

 private:
  Json endpoint_list() override { return service_discovery::to_json(servers_); }
  std::map<std::string, int> listening_sockets() override;
  std::vector<std::string> open_request_ids() override { return engine_.open_ids(); }
  routing::LearnedState learned_state() override { return engine_.learned_state(); }
  Json degradation_level() override { return levels_.level(); }
  void on_handover(hot_restart::HandoverState state) override;
  void on_endpoint_drained(const std::string& endpoint, bool drained) override { order(endpoint, drained); }
  void on_peer_request(const std::string& id, bool is_open) override {
    engine_.request_elsewhere(id, is_open);
  }
  void on_peer_forwarded(const std::string& endpoint) override { engine_.sent_elsewhere(endpoint); }
  void on_stream(const hot_restart::StreamTransfer& stream, net::UniqueFd client_socket,
                 net::UniqueFd upstream_socket) override;
  void on_vrrp_left(bool was_active) override;
  void on_peers_changed() override;

  void apply(const service_discovery::EndpointSnapshot& servers);
  void serve(hot_restart::HandoverState state);
  void order(const std::string& endpoint, bool offline);
  void enforce(const std::string& endpoint, bool offline);
  void bound();
  void share_limits();
  void watch_levels();
  void speak(bool succeeds);
  void stop_taking();
  void hand_over_streams();
  void await_signal();
  void adopt(const Files& files);
  bool ready();
  bool maintain(const std::string& endpoint, bool offline);
  void front_chat(bool active);
  void finish_draining();
  std::vector<http::Server*> servers();

  Loop& loop_;
  Config config_;
  engine::Log log_;
  ReadAgain read_again_;
  engine::SettingsSnapshot rules_;
  std::optional<openai_api::Config> chat_config_;           // before the fronts, which share the descriptors
  std::shared_ptr<const rate_limit::RuleSet> first_rules_;  // read before anything is opened
  rate_limit::RateLimiter rate_limiter_;
  std::mt19937_64 random_;
  degradation::DegradationController levels_;
  upstream::ConnectionPool pool_;
  engine::Engine engine_;
  platform_api::Frontend platform_;
  std::optional<openai_api::Frontend> chat_;
  std::optional<admin::AdminServer> console_;
  service_discovery::EndpointWatcher watch_;
  std::optional<vrrp::VrrpInstance> vrrp_;
  bool fronting_ = false;  // this instance of the pair answers at the chat address
  hot_restart::DrainedEndpointStore drained_endpoints_;
  hot_restart::HotRestartPeer peer_;
  service_discovery::EndpointSnapshot servers_;  // the whole list as it is now
  std::optional<vrrp::Config> pair_;
  net::UniqueFd chat_socket_;  // handed over, for when this instance fronts the chat address
  bool serving_ = false;
  int handover_tries_ = 0;
  boost::asio::signal_set signals_;
  bool draining_ = false, took_last_ = false;
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_DISPATCHER_HPP_
