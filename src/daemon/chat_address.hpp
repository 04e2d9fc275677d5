// Decides whether this instance listens at the address of the chat frontend (openai_api). Without VRRP it
// always does; of a VRRP pair, only the active instance does.
#ifndef DISPATCHER_DAEMON_CHAT_ADDRESS_HPP_
#define DISPATCHER_DAEMON_CHAT_ADDRESS_HPP_

#include <optional>

#include "daemon/components.hpp"
#include "net/unique_fd.hpp"
#include "vrrp/vrrp_instance.hpp"

namespace dispatcher::daemon {

// Opens and closes the chat frontend's listener. Owned by the Dispatcher and used on its event loop only; the
// components outlive it.
class ChatAddress {
 public:
  // Throws ConfigError if `vrrp_file` configures a pair but the chat frontend is off, and cue::Errors if the
  // file is invalid.
  ChatAddress(Components& components, const cue::File& vrrp_file);
  ChatAddress(const ChatAddress&) = delete;
  ChatAddress& operator=(const ChatAddress&) = delete;

  // Must be called when the process begins to serve. `listening_socket` is the one that the predecessor
  // handed over, if any; it is closed unless this process begins to accept from it. Throws
  // boost::system::system_error if an address can't be bound.
  void serve(net::UniqueFd listening_socket);
  [[nodiscard]] bool is_paired() const { return vrrp_config_.has_value(); }
  // Joins the pair, if there is one and this process has not joined or left it yet. After serve() has
  // returned, a failure to bind the VRRP address is logged and the call is retried until it succeeds.
  void join_pair(const vrrp::Start& start);
  // Continues in the role that the predecessor had. `listening_socket` is the one that it listened with, if
  // it was active. A process that has left the pair already passes both on to its own successor.
  void take_over(const hot_restart::VrrpLeft& predecessor, net::UniqueFd listening_socket);
  // Leaves the pair. Must be called when the process shuts down, so that its successor or, without one, the
  // other instance of the pair takes over at once.
  void leave_pair();

 private:
  void start_vrrp();
  void set_active(bool is_active);
  void open_listener(net::UniqueFd listening_socket);

  Components& components_;
  std::optional<vrrp::Config> vrrp_config_;
  std::optional<vrrp::VrrpInstance> vrrp_;
  bool is_serving_ = false;
  bool is_active_ = false;  // this instance is the one of the pair that should listen at the chat address
  bool has_left_ = false;
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_CHAT_ADDRESS_HPP_
