// The life cycle of a dispatcher process: start or hot restart, service, reload and graceful shutdown.
#ifndef DISPATCHER_DAEMON_DISPATCHER_HPP_
#define DISPATCHER_DAEMON_DISPATCHER_HPP_

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "daemon/chat_address.hpp"
#include "daemon/components.hpp"
#include "daemon/configuration_reloader.hpp"
#include "daemon/stream_handover.hpp"

namespace dispatcher::daemon {

// One dispatcher process. Owned by main(); runs on the thread that runs the loop, which outlives it.
class Dispatcher : private hot_restart::HotRestartPeer::Owner {
 public:
  // `read_files` reads the files again on SIGHUP; it may be empty. Throws ConfigError or cue::Errors if a
  // file is invalid.
  Dispatcher(Loop& loop, const Config& config, const FeatureFiles& files, const engine::Log& log,
             ConfigurationReloader::ReadFiles read_files = {});

  // Takes over from a running process, if there is one, then serves. Throws boost::system::system_error if an
  // address can't be bound.
  void start();
  // Enables logging of each event of each request and of the end of each connection; see docs/on-call.md.
  void log_requests();
  // Reads all files again, as on SIGHUP. If one of them is invalid, nothing changes.
  void reload() { reloader_.reload(); }
  // Shuts down gracefully, as on SIGTERM: accepts connections for a while longer, finishes all work, then
  // stops the loop.
  void drain();
  // Returns the bound address of the platform's frontend.
  [[nodiscard]] net::tcp::endpoint address() { return components_.platform_frontend.server().local(); }
  // Returns the bound admin address. Must be called only if the configuration has one.
  [[nodiscard]] net::tcp::endpoint admin_address() const { return components_.admin_server->local(); }

 private:
  // hot_restart::HotRestartPeer::Owner
  hot_restart::Json endpoint_list() override { return service_discovery::to_json(components_.endpoints); }
  std::map<std::string, int> listening_sockets() override;
  std::vector<routing::RequestId> open_request_ids() override {
    return components_.engine.open_request_ids();
  }
  routing::LearnedState learned_state() override { return components_.engine.learned_state(); }
  std::optional<engine::Duration> clock_offset() override { return components_.loop.clock_offset(); }
  hot_restart::Json degradation_level() override { return components_.degradation_controller.status(); }
  void on_handover(hot_restart::HandoverState handover) override;
  void on_administrative_state(const routing::EndpointId& endpoint,
                               routing::AdministrativeState state) override {
    change_administrative_state(endpoint, state);
  }
  void on_peer_request_progress(const routing::RequestId& id, engine::RequestProgress progress) override {
    components_.engine.on_peer_request_progress(id, progress);
  }
  void on_peer_forwarded(const routing::EndpointId& endpoint) override {
    components_.engine.on_peer_attempt_started(endpoint);
  }
  void on_stream(const hot_restart::StreamTransfer& stream, net::UniqueFd client_socket,
                 net::UniqueFd upstream_socket) override;
  bool reclaim_descriptor() override { return components_.replica_client.evict_idle(); }
  void on_vrrp_left(const hot_restart::VrrpLeft& left, net::UniqueFd listening_socket) override;
  void on_peers_changed() override;
  void on_predecessor_connections() override { components_.apply_resource_limits(); }

  ComponentCallbacks callbacks();
  void await_signal();
  void serve(hot_restart::HandoverState handover);
  void restore_drained_endpoints();
  void restore_endpoint_list(const hot_restart::Json& handed_over);
  void tick_levels();
  [[nodiscard]] bool is_ready();
  [[nodiscard]] bool set_administrative_state(const routing::EndpointId& endpoint,
                                              routing::AdministrativeState state);
  void change_administrative_state(const routing::EndpointId& endpoint, routing::AdministrativeState state);
  void apply_administrative_state(const routing::EndpointId& endpoint, routing::AdministrativeState state);
  void stop_accepting();
  void finish_draining();
  [[nodiscard]] bool is_work_left();

  Components components_;
  ChatAddress chat_address_;
  ConfigurationReloader reloader_;
  StreamHandover stream_handover_;
  boost::asio::signal_set signals_;
  bool is_serving_ = false;
  bool is_draining_ = false;
  bool has_stopped_accepting_ = false;
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_DISPATCHER_HPP_
