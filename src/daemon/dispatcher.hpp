// The life of a dispatcher process: start (or take-over from the process before it), serving, reload, drain,
// end.
#ifndef DISPATCHER_DAEMON_DISPATCHER_HPP_
#define DISPATCHER_DAEMON_DISPATCHER_HPP_

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "daemon/chat_address.hpp"
#include "daemon/components.hpp"
#include "daemon/configuration_reloader.hpp"
#include "daemon/stream_handover.hpp"

namespace dispatcher::daemon {

// Everything runs on the thread that runs the loop; the loop outlives the dispatcher.
class Dispatcher : private hot_restart::HotRestartPeer::Owner {
 public:
  // `read_files`: what SIGHUP reads anew. Throws ConfigError or cue::Errors where a file is bad.
  Dispatcher(Loop& loop, const Config& config, const FeatureFiles& files, const engine::Log& log,
             ConfigurationReloader::ReadFiles read_files = {});

  // Looks for a process to take over from, then serves. Throws where the admin address can't be listened at.
  void start();
  // From here on a log line for each thing that happens to a request.
  void log_requests() { parts_.engine.set_request_log(engine::RequestLog(parts_.log)); }
  // As SIGHUP asks: all of the new files takes effect or, where one is bad, nothing.
  void reload() { reloader_.reload(); }
  // As SIGTERM asks: accepts what still comes for a while, finishes everything, ends the loop.
  void drain();
  [[nodiscard]] net::tcp::endpoint address() { return parts_.platform_frontend.server().local(); }
  // Only where the configuration has an admin address.
  [[nodiscard]] net::tcp::endpoint admin_address() const { return parts_.admin_server->local(); }

 private:
  // hot_restart::HotRestartPeer::Owner
  hot_restart::Json endpoint_list() override { return service_discovery::to_json(parts_.endpoints); }
  std::map<std::string, int> listening_sockets() override;
  std::vector<routing::RequestId> open_request_ids() override { return parts_.engine.open_request_ids(); }
  routing::LearnedState learned_state() override { return parts_.engine.learned_state(); }
  hot_restart::Json degradation_level() override { return parts_.degradation_controller.status(); }
  void on_handover(hot_restart::HandoverState handover) override;
  void on_endpoint_drained(const routing::EndpointId& endpoint, bool offline) override {
    change_drain(endpoint, offline);
  }
  void on_peer_request(const routing::RequestId& id, bool open) override {
    parts_.engine.on_peer_request_progress(
        id, open ? engine::RequestProgress::kInProgress : engine::RequestProgress::kCompleted);
  }
  void on_peer_forwarded(const routing::EndpointId& endpoint) override {
    parts_.engine.on_peer_attempt_started(endpoint);
  }
  void on_stream(const hot_restart::StreamTransfer& stream, net::UniqueFd client_socket,
                 net::UniqueFd upstream_socket) override;
  void on_vrrp_left(bool was_active) override;
  void on_peers_changed() override;

  ComponentCallbacks callbacks();
  void await_signal();
  void serve(hot_restart::HandoverState handover);
  void restore_drained_endpoints();
  void restore_endpoint_list(const hot_restart::Json& handed_over);
  void tick_levels();
  [[nodiscard]] bool is_ready();
  [[nodiscard]] bool drain_endpoint(const routing::EndpointId& endpoint, bool offline);
  void change_drain(const routing::EndpointId& endpoint, bool offline);
  void apply_drain(const routing::EndpointId& endpoint, bool offline);
  void stop_accepting();
  void finish_draining();
  [[nodiscard]] bool is_work_left();

  Components parts_;
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
