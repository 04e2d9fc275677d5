#include "daemon/chat_address.hpp"

#include <exception>
#include <string>
#include <utility>

#include "daemon/address_text.hpp"

namespace dispatcher::daemon {

namespace {

// Time between attempts to bind an address that another process has not released yet.
constexpr engine::Duration kRetryInterval = std::chrono::milliseconds(250);

// Returns nullopt if this instance is not part of a VRRP pair.
std::optional<vrrp::Config> parse_vrrp_config(const cue::File& file) {
  if (file.text.empty()) return std::nullopt;
  return vrrp::parse_config(file);
}

}  // namespace

ChatAddress::ChatAddress(Components& components, const cue::File& vrrp_file)
    : components_(components), vrrp_config_(parse_vrrp_config(vrrp_file)) {
  if (vrrp_config_ && !components_.chat_frontend)
    throw ConfigError("vrrp: field 'listen': set, but the chat front that it is for is off");
}

// A process that keeps a listening socket must accept from it: the kernel completes the connections of its
// clients, who would wait for an answer. Of a pair, the predecessor therefore hands it over only as it
// leaves.
void ChatAddress::serve(net::UniqueFd listening_socket) {
  if (vrrp_config_) {
    if (!components_.hot_restart_peer.has_predecessor()) join_pair({});
  } else if (components_.chat_frontend) {
    components_.chat_frontend->server().open(std::move(listening_socket));
  }
  is_serving_ = true;
}

// VRRP decides which instance of the pair listens. During a hot restart, only one of the two processes of an
// instance takes part in VRRP.
void ChatAddress::join_pair(const vrrp::Start& start) {
  if (!vrrp_config_ || vrrp_ || has_left_) return;
  try {
    start_vrrp();
  } catch (const std::exception& error) {
    if (!is_serving_) throw;
    components_.log(std::string("vrrp: can't start yet: ") + error.what());
    components_.loop.timers().add(components_.loop.now() + kRetryInterval,
                                  [this, start] { join_pair(start); });
    return;
  }
  vrrp_->start(start);
}

void ChatAddress::start_vrrp() {
  vrrp_.emplace(components_.loop.io(), *vrrp_config_, components_.loop.timers(), components_.loop.clock(),
                components_.log, [this](vrrp::State state) { set_active(state == vrrp::State::kActive); });
}

void ChatAddress::leave_pair() {
  has_left_ = true;
  const bool has_listener = is_paired() && components_.chat_frontend->server().is_open();
  if (!vrrp_ && !has_listener) return;
  if (!components_.hot_restart_peer.is_successor_serving()) {
    if (vrrp_) vrrp_->stop();
    return;
  }
  // A process that has taken the listener over may still wait for the VRRP address.
  const bool was_active = vrrp_ ? vrrp_->state() == vrrp::State::kActive : has_listener;
  using hot_restart::VrrpRole;
  hot_restart::VrrpLeft left{was_active ? VrrpRole::kActive : VrrpRole::kBackup};
  if (vrrp_ && vrrp_->active_down_at())
    left.active_down_at = components_.loop.to_monotonic(*vrrp_->active_down_at());
  if (vrrp_) vrrp_->hand_over();
  is_active_ = false;
  std::optional<int> listening_socket;
  if (was_active && has_listener) listening_socket = components_.chat_frontend->server().listening_socket();
  components_.hot_restart_peer.notify_vrrp_left(left, listening_socket);
}

// The listener opens before VRRP starts, which may have to wait for the address: its clients must not.
void ChatAddress::take_over(const hot_restart::VrrpLeft& predecessor, net::UniqueFd listening_socket) {
  if (!vrrp_config_) return;
  if (has_left_) {
    const std::optional<int> socket = listening_socket ? std::optional(listening_socket.get()) : std::nullopt;
    return components_.hot_restart_peer.notify_vrrp_left(predecessor, socket);
  }
  if (vrrp_) return;
  if (predecessor.role == hot_restart::VrrpRole::kActive) {
    open_listener(std::move(listening_socket));
    return join_pair({vrrp::StartMode::kResumeActive});
  }
  vrrp::Start start;
  if (predecessor.active_down_at)
    start.active_down_at = components_.loop.from_monotonic(*predecessor.active_down_at);
  join_pair(start);
}

void ChatAddress::set_active(bool is_active) {
  http::Server& server = components_.chat_frontend->server();
  is_active_ = is_active && !has_left_;
  if (!is_active_) {
    server.stop_accepting();  // accepted requests are still answered
    server.close_idle();
    return;
  }
  open_listener({});
}

// Retries until the shared address is free, since the other instance may not have closed its listener yet.
void ChatAddress::open_listener(net::UniqueFd listening_socket) {
  http::Server& server = components_.chat_frontend->server();
  if (server.is_open()) return;
  try {
    server.open(std::move(listening_socket));
    components_.log("chat front on " + to_text(server.local()));
  } catch (const std::exception& error) {
    components_.log(std::string("chat frontend can't listen yet: ") + error.what());
    components_.loop.timers().add(components_.loop.now() + kRetryInterval, [this] {
      if (is_active_) open_listener({});
    });
  }
}

}  // namespace dispatcher::daemon
