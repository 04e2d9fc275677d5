#include "daemon/dispatcher.hpp"

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <exception>
#include <utility>

#include "daemon/address_text.hpp"

namespace dispatcher::daemon {

using std::chrono::milliseconds;

namespace {

// How long a draining process without a successor still accepts connections. The platform directs new
// connections to it for up to 0.4 s after SIGTERM, and may lose those that are accepted more than 0.7 s after
// it.
constexpr engine::Duration kAcceptAfterTerm = milliseconds(550);
// Names of the listening sockets in a hand-over. They must stay the same, since processes of other releases
// use them too.
constexpr const char* kPlatformListener = "platform";
constexpr const char* kChatListener = "chat";
// Interval at which a draining process checks whether its work is done. Short compared with the time that
// draining takes.
constexpr engine::Duration kDrainCheckInterval = milliseconds(20);

}  // namespace

Dispatcher::Dispatcher(Loop& loop, const Config& config, const FeatureFiles& files, const engine::Log& log,
                       ConfigurationReloader::ReadFiles read_files)
    : components_(loop, config, files, log, callbacks()),
      chat_address_(components_, files.vrrp),
      reloader_(components_, std::move(read_files)),
      stream_handover_(components_),
      signals_(loop.io(), SIGTERM, SIGINT, SIGHUP) {
  components_.apply_rate_limit_share();
}

ComponentCallbacks Dispatcher::callbacks() {
  return {
      [this](const service_discovery::EndpointSnapshot& snapshot) { components_.update_endpoints(snapshot); },
      [this] { return is_ready(); },
      [this](const routing::EndpointId& endpoint, routing::AdministrativeState state) {
        return set_administrative_state(endpoint, state);
      },
      *this};
}

void Dispatcher::log_requests() {
  components_.engine.set_request_log(engine::RequestLog(components_.log));
  components_.replica_client.set_connection_log(upstream::ConnectionLog(components_.log));
  for (http::Server* server : components_.client_servers()) server->set_connection_log(components_.log);
}

void Dispatcher::start() {
  await_signal();
  if (components_.admin_server) {
    components_.admin_server->open();
    components_.log("console on " + to_text(components_.admin_server->local()));
  }
  components_.hot_restart_peer.start();
}

void Dispatcher::await_signal() {
  signals_.async_wait([this](boost::system::error_code error, int number) {
    if (error) return;
    if (number != SIGHUP) return drain();  // no signal is handled after this one
    reload();
    await_signal();
  });
}

// ---- start of service ----

void Dispatcher::on_handover(hot_restart::HandoverState handover) {
  if (is_draining_) return;  // SIGTERM arrived before this process began to serve
  serve(std::move(handover));
}

void Dispatcher::serve(hot_restart::HandoverState handover) {
  restore_drained_endpoints();  // first, so that no drained endpoint of a list is used
  restore_endpoint_list(handover.endpoint_list);
  components_.engine.restore_learned_state(handover.learned_state);
  components_.degradation_controller.restore(handover.degradation_level);
  for (const routing::RequestId& id : handover.open_request_ids)
    components_.engine.on_peer_request_progress(id, engine::RequestProgress::kInProgress);
  components_.endpoint_watcher.start(components_.endpoints.version);
  components_.platform_frontend.server().open(std::move(handover.listening_sockets[kPlatformListener]));
  chat_address_.serve(std::move(handover.listening_sockets[kChatListener]));
  components_.log("serving on " + to_text(components_.config.listen) + " as " + components_.config.name);
  if (components_.chat_frontend && !chat_address_.is_paired())
    components_.log("chat front on " + to_text(components_.chat_frontend->server().local()));
  is_serving_ = true;
  tick_levels();
  components_.hot_restart_peer.on_serving();
}

void Dispatcher::restore_drained_endpoints() {
  components_.drained_endpoints.load();
  for (const routing::EndpointId& endpoint : components_.drained_endpoints.endpoints()) {
    components_.log("operators: endpoint " + endpoint.value() + " still offline");
    apply_administrative_state(endpoint, routing::AdministrativeState::kDrained);
  }
}

// Service discovery may take long to answer. Until it does, the predecessor's list is used or, if there is
// none, the one in the configuration.
void Dispatcher::restore_endpoint_list(const hot_restart::Json& handed_over) {
  components_.update_endpoints(components_.config.initial_endpoints);
  if (handed_over.is_null()) return;
  try {
    components_.update_endpoints(service_discovery::parse_endpoint_snapshot(handed_over));
  } catch (const std::exception& error) {
    components_.log(std::string("upgrade: the endpoint list can't be parsed: ") + error.what());
  }
}

void Dispatcher::tick_levels() {
  components_.degradation_controller.tick(components_.engine.open_request_count(),
                                          components_.endpoint_watcher.last_response_at());
  components_.loop.timers().add(components_.loop.now() + degradation::DegradationController::kTick,
                                [this] { tick_levels(); });
}

// ---- the other process of a hot restart ----

std::map<std::string, int> Dispatcher::listening_sockets() {
  std::map<std::string, int> sockets;
  http::Server& platform = components_.platform_frontend.server();
  if (platform.is_open()) sockets[kPlatformListener] = platform.listening_socket();
  if (chat_address_.is_paired() || !components_.chat_frontend) return sockets;
  http::Server& chat = components_.chat_frontend->server();
  if (chat.is_open()) sockets[kChatListener] = chat.listening_socket();
  return sockets;
}

void Dispatcher::on_stream(const hot_restart::StreamTransfer& stream, net::UniqueFd client_socket,
                           net::UniqueFd upstream_socket) {
  stream_handover_.adopt(stream, std::move(client_socket), std::move(upstream_socket));
}

void Dispatcher::on_vrrp_left(const hot_restart::VrrpLeft& left, net::UniqueFd listening_socket) {
  if (is_serving_) chat_address_.take_over(left, std::move(listening_socket));
}

void Dispatcher::on_peers_changed() {
  components_.apply_resource_limits();
  if (!components_.hot_restart_peer.has_peer()) components_.engine.on_peer_disconnected();
  if (!components_.hot_restart_peer.has_predecessor() && is_serving_) chat_address_.join_pair({});
  if (is_draining_ && components_.hot_restart_peer.is_successor_serving()) stop_accepting();
}

// ---- admin interface ----

bool Dispatcher::is_ready() {
  return components_.platform_frontend.server().is_open() && !is_draining_ &&
         components_.engine.endpoint_count() > 0;
}

bool Dispatcher::set_administrative_state(const routing::EndpointId& endpoint,
                                          routing::AdministrativeState state) {
  if (!components_.engine.is_known_endpoint(endpoint) && !components_.drained_endpoints.contains(endpoint))
    return false;
  change_administrative_state(endpoint, state);
  return true;
}

void Dispatcher::change_administrative_state(const routing::EndpointId& endpoint,
                                             routing::AdministrativeState state) {
  if (!components_.drained_endpoints.set_administrative_state(endpoint, state)) return;
  const bool is_drained = state == routing::AdministrativeState::kDrained;
  components_.log("operators: endpoint " + endpoint.value() + (is_drained ? " offline" : " online"));
  apply_administrative_state(endpoint, state);
  components_.hot_restart_peer.notify_administrative_state(endpoint, state);
}

// The router is notified first, so that attempts that the replica client then fails are retried at other
// endpoints.
void Dispatcher::apply_administrative_state(const routing::EndpointId& endpoint,
                                            routing::AdministrativeState state) {
  components_.engine.set_administrative_state(endpoint, state);
  components_.replica_client.set_administrative_state(endpoint, state);
}

// ---- graceful shutdown ----

void Dispatcher::drain() {
  if (is_draining_) return;
  is_draining_ = true;
  components_.log("draining: " + std::to_string(components_.engine.unanswered_count()) +
                  " requests unanswered");
  for (http::Server* server : components_.client_servers()) server->drain();
  chat_address_.leave_pair();
  if (components_.hot_restart_peer.is_successor_serving()) {
    stop_accepting();
  } else {
    components_.loop.timers().add(components_.loop.now() + kAcceptAfterTerm, [this] { stop_accepting(); });
  }
  finish_draining();
}

// From here on new connections are accepted by the successor or, without one, refused. Closing idle
// connections makes their clients reconnect.
void Dispatcher::stop_accepting() {
  has_stopped_accepting_ = true;
  for (http::Server* server : components_.client_servers()) {
    server->stop_accepting();
    server->close_idle();
  }
}

// Stops the loop once every accepted request is answered, every stream is received by the successor or
// complete, every reservation is released, and the predecessor can't hand over any more streams. Until then
// checks again after kDrainCheckInterval.
void Dispatcher::finish_draining() {
  stream_handover_.hand_over();
  components_.give_up_connections();
  if (has_stopped_accepting_) {
    for (http::Server* server : components_.client_servers()) server->close_idle();
  }
  if (is_work_left() || !components_.hot_restart_peer.leave_predecessor()) {
    components_.loop.timers().add(components_.loop.now() + kDrainCheckInterval,
                                  [this] { finish_draining(); });
    return;
  }
  if (const std::size_t streams = components_.hot_restart_peer.transferred_streams(); streams > 0)
    components_.log("upgrade: " + std::to_string(streams) + " streams handed over");
  components_.log("drained");
  components_.hot_restart_peer.close();
  components_.loop.stop();
}

bool Dispatcher::is_work_left() {
  if (!has_stopped_accepting_) return true;
  if (!components_.hot_restart_peer.has_successor_received_everything()) return true;
  if (components_.engine.open_request_count() > 0) return true;
  if (components_.replica_client.releases_blocking_shutdown() > 0) return true;
  const std::vector<http::Server*> servers = components_.client_servers();
  return std::any_of(servers.begin(), servers.end(),
                     [](const http::Server* server) { return server->client_count() > 0; });
}

}  // namespace dispatcher::daemon
