// Listening at the address of the chat frontend (openai_api): by this instance alone, or by whichever
// instance of a VRRP pair is active.
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
  // Throws ConfigError where the file configures a pair but the chat frontend is off, and cue::Errors where
  // the file is invalid.
  ChatAddress(Components& parts, const cue::File& vrrp_file);
  ChatAddress(const ChatAddress&) = delete;
  ChatAddress& operator=(const ChatAddress&) = delete;

  // To be called when the process begins to serve. `listening_socket`: the one that the predecessor handed
  // over, if any. Throws boost::system::system_error where an address can't be bound.
  void serve(net::UniqueFd listening_socket);
  [[nodiscard]] bool is_paired() const { return pair_.has_value(); }
  // Joins the pair, if there is one and this process has not joined or left it yet. Once serve() has returned
  // this is retried until the VRRP address can be bound.
  void join_pair(vrrp::StartMode mode);
  // To be called when the process shuts down: its successor or, without one, the other instance of the pair
  // takes over at once.
  void leave_pair();

 private:
  void start_vrrp();
  void set_active(bool is_active);

  Components& parts_;
  std::optional<vrrp::Config> pair_;
  std::optional<vrrp::VrrpInstance> vrrp_;
  net::UniqueFd listening_socket_;  // handed over by the predecessor, until the listener opens
  bool is_serving_ = false;
  bool is_active_ = false;  // this instance of the pair is to listen at the chat address
  bool has_left_ = false;
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_CHAT_ADDRESS_HPP_
