// The line between two processes of one dispatcher during an upgrade: JSON messages, and descriptors with
// them, over a Unix socket in $TMPDIR.
#ifndef DISPATCHER_HOT_RESTART_HANDOVER_CHANNEL_HPP_
#define DISPATCHER_HOT_RESTART_HANDOVER_CHANNEL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/unique_fd.hpp"

namespace dispatcher::hot_restart {

using Json = nlohmann::json;
using Fds = std::vector<net::UniqueFd>;

// One end. Both messages and the end come from the event loop, never from inside a call.
class HandoverChannel : public std::enable_shared_from_this<HandoverChannel> {
 public:
  struct Owner {
    virtual ~Owner() = default;
    virtual void on_message(const Json& message, Fds fds) = 0;
    virtual void on_link_ended() = 0;
  };
  HandoverChannel(boost::asio::io_context& io, net::UniqueFd socket, Owner& owner);
  // Empty where nobody listens at the path.
  static std::shared_ptr<HandoverChannel> connect(boost::asio::io_context& io, const std::string& path,
                                                  Owner& owner);
  void start() { read(); }
  // The descriptors stay the caller's; the other side gets copies. Where the other side takes no more, the
  // link ends. False: this message is too long to be sent.
  bool send(const Json& message, const std::vector<int>& fds = {});
  bool sent() const { return queue_.empty(); }  // nothing waits here for the other side to read
  void close();

 private:
  struct Outgoing {
    std::string text;
    Fds fds;
  };
  enum class Sent { kYes, kLater, kTooLong, kBroken };
  Sent put(const Outgoing& message);
  void flush();
  void read();
  bool take();  // false: there is no more for now
  void end();

  boost::asio::posix::stream_descriptor socket_;
  Owner* owner_;
  std::deque<Outgoing> queue_;
  std::vector<char> room_;  // for a message that comes, made once
  bool waiting_ = false;
};

// Waits for the process that is to take over. Opening it takes the path over from whoever had it.
class HandoverListener {
 public:
  using OnVisitor = std::function<void(net::UniqueFd)>;
  HandoverListener(boost::asio::io_context& io, std::string path, OnVisitor on_visitor);
  bool open();  // false: the path can't be had
  void close();

 private:
  void wait();
  std::string path_;
  OnVisitor on_visitor_;
  boost::asio::posix::stream_descriptor socket_;
};

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_HANDOVER_CHANNEL_HPP_
