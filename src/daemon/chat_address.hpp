// Who listens at the address of the OpenAI-style front: this instance alone, or the active one of a VRRP
// pair.
#ifndef DISPATCHER_DAEMON_CHAT_ADDRESS_HPP_
#define DISPATCHER_DAEMON_CHAT_ADDRESS_HPP_

#include <optional>

#include "daemon/components.hpp"
#include "net/unique_fd.hpp"
#include "vrrp/vrrp_instance.hpp"

namespace dispatcher::daemon {

// Used on the event loop thread only; refers to the components, which outlive it.
class ChatAddress {
 public:
  // Throws ConfigError where `pair` is set and the chat front is off, cue::Errors where the file is bad.
  ChatAddress(Components& parts, const cue::File& vrrp_file);
  ChatAddress(const ChatAddress&) = delete;
  ChatAddress& operator=(const ChatAddress&) = delete;

  // The process begins to serve. `listening`: the chat socket that the process before this one handed over,
  // if any. Throws where VRRP can't start.
  void serve(net::UniqueFd listening);
  [[nodiscard]] bool is_paired() const { return pair_.has_value(); }
  // Joins the pair, if there is one and this process has not yet. Tried again where the socket is still
  // taken.
  void join_pair(vrrp::StartMode mode);
  // The process ends: the other of the pair takes over at once, or the process that replaces this one does.
  void leave_pair();

 private:
  void start_vrrp();
  void set_active(bool is_active);

  Components& parts_;
  std::optional<vrrp::Config> pair_;
  std::optional<vrrp::VrrpInstance> vrrp_;
  net::UniqueFd listening_;  // handed over, for when this instance is the active one
  bool is_serving_ = false;
  bool is_active_ = false;  // this instance of the pair listens at the chat address
  bool has_left_ = false;
};

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_CHAT_ADDRESS_HPP_
