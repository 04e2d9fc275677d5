#include "daemon/dispatcher.hpp"

#include <algorithm>
#include <csignal>
#include <exception>
#include <utility>

#include "daemon/address_text.hpp"

namespace dispatcher::daemon {

using std::chrono::milliseconds;

namespace {

// How long a draining process without a successor still accepts connections. The platform directs new ones to
// it for up to 0.4 s after SIGTERM, and may lose what is accepted more than 0.7 s after it.
constexpr engine::Duration kAcceptAfterTerm = milliseconds(550);
// Names of listening sockets in a hand-over: processes of other releases use the same ones.
constexpr const char* kPlatformListener = "platform";
constexpr const char* kChatListener = "chat";
// How often a draining process checks whether its work is done: short beside the time that it takes.
constexpr engine::Duration kDrainCheckInterval = milliseconds(20);

}  // namespace

Dispatcher::Dispatcher(Loop& loop, const Config& config, const FeatureFiles& files, const engine::Log& log,
                       ConfigurationReloader::ReadFiles read_files)
    : parts_(loop, config, files, log, callbacks()),
      chat_address_(parts_, files.vrrp),
      reloader_(parts_, std::move(read_files)),
      stream_handover_(parts_),
      signals_(loop.io(), SIGTERM, SIGINT, SIGHUP) {
  parts_.apply_rate_limit_share();
}

ComponentCallbacks Dispatcher::callbacks() {
  return {[this](const service_discovery::EndpointSnapshot& snapshot) { parts_.update_endpoints(snapshot); },
          [this] { return is_ready(); },
          [this](const routing::EndpointId& endpoint, routing::AdministrativeState state) {
            return set_administrative_state(endpoint, state);
          },
          *this};
}

void Dispatcher::log_requests() {
  parts_.engine.set_request_log(engine::RequestLog(parts_.log));
  parts_.replica_client.set_connection_log(upstream::ConnectionLog(parts_.log));
  for (http::Server* server : parts_.client_servers()) server->set_connection_log(parts_.log);
}

void Dispatcher::start() {
  await_signal();
  if (parts_.admin_server) {
    parts_.admin_server->open();
    parts_.log("console on " + to_text(parts_.admin_server->local()));
  }
  parts_.hot_restart_peer.start();
}

void Dispatcher::await_signal() {
  signals_.async_wait([this](boost::system::error_code error, int number) {
    if (error) return;
    if (number != SIGHUP) return drain();  // no signal is handled from here on
    reload();
    await_signal();
  });
}

// ---- take-over and start of service ----

void Dispatcher::on_handover(hot_restart::HandoverState handover) {
  if (is_draining_) return;  // SIGTERM came before this process served
  serve(std::move(handover));
}

void Dispatcher::serve(hot_restart::HandoverState handover) {
  restore_drained_endpoints();  // first: no endpoint of a list may be used before its drain is known
  restore_endpoint_list(handover.endpoint_list);
  parts_.engine.restore_learned_state(handover.learned_state);
  parts_.degradation_controller.restore(handover.degradation_level);
  for (const routing::RequestId& id : handover.open_request_ids)
    parts_.engine.on_peer_request_progress(id, engine::RequestProgress::kInProgress);
  parts_.endpoint_watcher.start(parts_.endpoints.version);
  parts_.platform_frontend.server().open(std::move(handover.listening_sockets[kPlatformListener]));
  chat_address_.serve(std::move(handover.listening_sockets[kChatListener]));
  parts_.log("serving on " + to_text(parts_.config.listen) + " as " + parts_.config.name);
  if (parts_.chat_frontend && !chat_address_.is_paired())
    parts_.log("chat front on " + to_text(parts_.chat_frontend->server().local()));
  is_serving_ = true;
  tick_levels();
  parts_.hot_restart_peer.on_serving();
}

void Dispatcher::restore_drained_endpoints() {
  parts_.drained_endpoints.load();
  for (const routing::EndpointId& endpoint : parts_.drained_endpoints.endpoints()) {
    parts_.log("operators: endpoint " + endpoint.value() + " still offline");
    apply_administrative_state(endpoint, routing::AdministrativeState::kDrained);
  }
}

// Service discovery may not answer for long: until then the predecessor's list is in use, or else the
// configuration's.
void Dispatcher::restore_endpoint_list(const hot_restart::Json& handed_over) {
  parts_.update_endpoints(parts_.config.initial_endpoints);
  if (handed_over.is_null()) return;
  try {
    parts_.update_endpoints(service_discovery::parse_endpoint_snapshot(handed_over));
  } catch (const std::exception& error) {
    parts_.log(std::string("upgrade: the endpoint list can't be parsed: ") + error.what());
  }
}

void Dispatcher::tick_levels() {
  parts_.degradation_controller.tick(parts_.engine.open_request_count(),
                                     parts_.endpoint_watcher.last_response_at());
  parts_.loop.timers().add(parts_.loop.now() + degradation::DegradationController::kTick,
                           [this] { tick_levels(); });
}

// ---- the other process of a hot restart ----

std::map<std::string, int> Dispatcher::listening_sockets() {
  std::map<std::string, int> sockets;
  http::Server& platform = parts_.platform_frontend.server();
  if (platform.is_open()) sockets[kPlatformListener] = platform.listening_socket();
  if (parts_.chat_frontend && parts_.chat_frontend->server().is_open())
    sockets[kChatListener] = parts_.chat_frontend->server().listening_socket();
  return sockets;
}

void Dispatcher::on_stream(const hot_restart::StreamTransfer& stream, net::UniqueFd client_socket,
                           net::UniqueFd upstream_socket) {
  stream_handover_.adopt(stream, std::move(client_socket), std::move(upstream_socket));
}

void Dispatcher::on_vrrp_left(hot_restart::VrrpRole role) {
  if (!is_serving_) return;
  const bool was_active = role == hot_restart::VrrpRole::kActive;
  chat_address_.join_pair(was_active ? vrrp::StartMode::kResumeActive : vrrp::StartMode::kNormal);
}

void Dispatcher::on_peers_changed() {
  parts_.apply_resource_limits();
  if (!parts_.hot_restart_peer.has_peer()) parts_.engine.on_peer_disconnected();
  if (!parts_.hot_restart_peer.has_predecessor() && is_serving_)
    chat_address_.join_pair(vrrp::StartMode::kNormal);
  if (is_draining_ && parts_.hot_restart_peer.is_successor_serving()) stop_accepting();
}

// ---- operators ----

bool Dispatcher::is_ready() {
  return parts_.platform_frontend.server().is_open() && !is_draining_ && parts_.engine.endpoint_count() > 0;
}

bool Dispatcher::set_administrative_state(const routing::EndpointId& endpoint,
                                          routing::AdministrativeState state) {
  if (!parts_.engine.is_known_endpoint(endpoint) && !parts_.drained_endpoints.contains(endpoint))
    return false;
  change_administrative_state(endpoint, state);
  return true;
}

void Dispatcher::change_administrative_state(const routing::EndpointId& endpoint,
                                             routing::AdministrativeState state) {
  if (!parts_.drained_endpoints.set_administrative_state(endpoint, state)) return;
  const bool is_drained = state == routing::AdministrativeState::kDrained;
  parts_.log("operators: endpoint " + endpoint.value() + (is_drained ? " offline" : " online"));
  apply_administrative_state(endpoint, state);
  parts_.hot_restart_peer.notify_administrative_state(endpoint, state);
}

// The router is notified first: attempts that the replica client then fails are retried at other endpoints.
void Dispatcher::apply_administrative_state(const routing::EndpointId& endpoint,
                                            routing::AdministrativeState state) {
  parts_.engine.set_administrative_state(endpoint, state);
  parts_.replica_client.set_administrative_state(endpoint, state);
}

// ---- graceful shutdown ----

void Dispatcher::drain() {
  if (is_draining_) return;
  is_draining_ = true;
  parts_.log("draining: " + std::to_string(parts_.engine.unanswered_count()) + " requests unanswered");
  for (http::Server* server : parts_.client_servers()) server->drain();
  chat_address_.leave_pair();
  if (parts_.hot_restart_peer.is_successor_serving()) {
    stop_accepting();
  } else {
    parts_.loop.timers().add(parts_.loop.now() + kAcceptAfterTerm, [this] { stop_accepting(); });
  }
  finish_draining();
}

// New connections are the successor's or, without one, are refused. Closing idle connections makes their
// clients reconnect.
void Dispatcher::stop_accepting() {
  has_stopped_accepting_ = true;
  for (http::Server* server : parts_.client_servers()) {
    server->stop_accepting();
    server->close_idle();
  }
}

// Ends the loop once every accepted request is answered, every stream handed over or complete, and every
// reservation released; until then checks again after kDrainCheckInterval.
void Dispatcher::finish_draining() {
  stream_handover_.hand_over();
  if (has_stopped_accepting_) {
    for (http::Server* server : parts_.client_servers()) server->close_idle();
  }
  if (is_work_left()) {
    parts_.loop.timers().add(parts_.loop.now() + kDrainCheckInterval, [this] { finish_draining(); });
    return;
  }
  parts_.log("drained");
  parts_.hot_restart_peer.close();
  parts_.loop.stop();
}

bool Dispatcher::is_work_left() {
  if (!has_stopped_accepting_) return true;
  if (!parts_.hot_restart_peer.is_all_sent()) return true;
  if (parts_.engine.open_request_count() > 0) return true;
  if (parts_.replica_client.releases_blocking_shutdown() > 0) return true;
  const std::vector<http::Server*> servers = parts_.client_servers();
  return std::any_of(servers.begin(), servers.end(),
                     [](const http::Server* server) { return server->client_count() > 0; });
}

}  // namespace dispatcher::daemon
