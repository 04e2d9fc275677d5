#include "daemon/chat_address.hpp"

#include <exception>
#include <string>
#include <utility>

#include "daemon/address_text.hpp"

namespace dispatcher::daemon {

namespace {

// Between attempts to bind an address that another process has not released yet.
constexpr engine::Duration kRetryInterval = std::chrono::milliseconds(250);

// Nullopt: this instance is not part of a VRRP pair.
std::optional<vrrp::Config> parse_pair(const cue::File& file) {
  if (file.text.empty()) return std::nullopt;
  return vrrp::parse_config(file);
}

}  // namespace

ChatAddress::ChatAddress(Components& parts, const cue::File& vrrp_file)
    : parts_(parts), pair_(parse_pair(vrrp_file)) {
  if (pair_ && !parts_.chat_frontend)
    throw ConfigError("vrrp: field 'listen': set, but the chat front that it is for is off");
}

void ChatAddress::serve(net::UniqueFd listening_socket) {
  listening_socket_ = std::move(listening_socket);
  if (pair_) {
    if (!parts_.hot_restart_peer.has_predecessor()) join_pair(vrrp::StartMode::kNormal);
  } else if (parts_.chat_frontend) {
    parts_.chat_frontend->server().open(std::move(listening_socket_));
  }
  is_serving_ = true;
}

// VRRP decides which instance of the pair listens. Of two processes of one instance only one takes part.
void ChatAddress::join_pair(vrrp::StartMode mode) {
  if (!pair_ || vrrp_ || has_left_) return;
  try {
    start_vrrp();
  } catch (const std::exception& error) {
    if (!is_serving_) throw;
    parts_.log(std::string("vrrp: can't start yet: ") + error.what());
    parts_.loop.timers().add(parts_.loop.now() + kRetryInterval, [this, mode] { join_pair(mode); });
    return;
  }
  vrrp_->start(mode);
}

void ChatAddress::start_vrrp() {
  vrrp_.emplace(parts_.loop.io(), *pair_, parts_.loop.timers(), parts_.loop.clock(), parts_.log,
                [this](vrrp::State state) { set_active(state == vrrp::State::kActive); });
}

void ChatAddress::leave_pair() {
  has_left_ = true;
  if (!vrrp_) return;
  if (!parts_.hot_restart_peer.is_successor_serving()) return vrrp_->stop();
  const bool was_active = vrrp_->state() == vrrp::State::kActive;
  vrrp_->hand_over();
  is_active_ = false;
  using hot_restart::VrrpRole;
  parts_.hot_restart_peer.notify_vrrp_left(was_active ? VrrpRole::kActive : VrrpRole::kBackup);
}

// The other instance may not have closed its listener at the shared address yet: retried until that is free.
void ChatAddress::set_active(bool is_active) {
  http::Server& server = parts_.chat_frontend->server();
  is_active_ = is_active && !has_left_;
  if (!is_active_) {
    server.stop_accepting();  // accepted requests are still answered
    server.close_idle();
    return;
  }
  try {
    server.open(std::move(listening_socket_));
    parts_.log("chat front on " + to_text(server.local()));
  } catch (const std::exception& error) {
    parts_.log(std::string("chat front can't listen yet: ") + error.what());
    parts_.loop.timers().add(parts_.loop.now() + kRetryInterval, [this] {
      if (is_active_) set_active(true);
    });
  }
}

}  // namespace dispatcher::daemon
