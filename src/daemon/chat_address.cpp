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

void ChatAddress::serve(net::UniqueFd listening_socket) {
  listening_socket_ = std::move(listening_socket);
  if (vrrp_config_) {
    if (!components_.hot_restart_peer.has_predecessor()) join_pair(vrrp::StartMode::kNormal);
  } else if (components_.chat_frontend) {
    components_.chat_frontend->server().open(std::move(listening_socket_));
  }
  is_serving_ = true;
}

// VRRP decides which instance of the pair listens. During a hot restart, only one of the two processes of an
// instance takes part in VRRP.
void ChatAddress::join_pair(vrrp::StartMode mode) {
  if (!vrrp_config_ || vrrp_ || has_left_) return;
  try {
    start_vrrp();
  } catch (const std::exception& error) {
    if (!is_serving_) throw;
    components_.log(std::string("vrrp: can't start yet: ") + error.what());
    components_.loop.timers().add(components_.loop.now() + kRetryInterval, [this, mode] { join_pair(mode); });
    return;
  }
  vrrp_->start(mode);
}

void ChatAddress::start_vrrp() {
  vrrp_.emplace(components_.loop.io(), *vrrp_config_, components_.loop.timers(), components_.loop.clock(),
                components_.log, [this](vrrp::State state) { set_active(state == vrrp::State::kActive); });
}

void ChatAddress::leave_pair() {
  has_left_ = true;
  if (!vrrp_) return;
  if (!components_.hot_restart_peer.is_successor_serving()) return vrrp_->stop();
  const bool was_active = vrrp_->state() == vrrp::State::kActive;
  vrrp_->hand_over();
  is_active_ = false;
  using hot_restart::VrrpRole;
  components_.hot_restart_peer.notify_vrrp_left(was_active ? VrrpRole::kActive : VrrpRole::kBackup);
}

// Retries until the shared address is free, since the other instance may not have closed its listener yet.
void ChatAddress::set_active(bool is_active) {
  http::Server& server = components_.chat_frontend->server();
  is_active_ = is_active && !has_left_;
  if (!is_active_) {
    server.stop_accepting();  // accepted requests are still answered
    server.close_idle();
    return;
  }
  try {
    server.open(std::move(listening_socket_));
    components_.log("chat front on " + to_text(server.local()));
  } catch (const std::exception& error) {
    components_.log(std::string("chat frontend can't listen yet: ") + error.what());
    components_.loop.timers().add(components_.loop.now() + kRetryInterval, [this] {
      if (is_active_) set_active(true);
    });
  }
}

}  // namespace dispatcher::daemon
