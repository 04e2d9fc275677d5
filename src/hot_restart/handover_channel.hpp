// The connection between two processes of one dispatcher during a hot restart: JSON messages with attached
// file descriptors, over a Unix socket in $TMPDIR.
#ifndef DISPATCHER_HOT_RESTART_HANDOVER_CHANNEL_HPP_
#define DISPATCHER_HOT_RESTART_HANDOVER_CHANNEL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hot_restart/packet_socket.hpp"
#include "net/unique_fd.hpp"

namespace dispatcher::hot_restart {

using Json = nlohmann::json;

// What ended a channel.
enum class ChannelEnd {
  kClosed,      // the other side has closed it
  kReset,       // the other side has closed it without reading everything that was sent to it
  kSendFailed,  // a message could not be sent, because the other side has closed it
  kQueueFull,   // the other side has stopped reading
  kFinished,    // this side has finished it
  kBroken,      // the connection is lost for another reason
};

// Returns the name of a channel's end for the log.
[[nodiscard]] std::string_view to_text(ChannelEnd end);

// One end of the connection. Whatever ends it, all messages that the other side has sent are delivered before
// the end is reported. Used on the event loop's thread only. Pending reads and writes share ownership
// of the channel with its holder. The owner must call close() before it is destroyed.
class HandoverChannel : public std::enable_shared_from_this<HandoverChannel> {
 public:
  // Receives the channel's events. Its functions are called from the event loop only, never from inside a
  // call to the channel, and not after close().
  class Owner {
   public:
    virtual ~Owner() = default;
    // Called for each message, with the descriptors that were attached to it.
    virtual void on_message(const Json& message, Descriptors descriptors) = 0;
    // Called for a packet that is not a JSON object.
    virtual void on_unreadable_message() = 0;
    // Called when there are no descriptors for the sockets of the next message, which is then received later.
    // Closes a descriptor that this process can spare. Returns false if there is none.
    virtual bool reclaim_descriptor() = 0;
    // Called when the other side has closed the connection or has stopped reading. Called once, after all
    // other calls.
    virtual void on_channel_closed(ChannelEnd end) = 0;
  };
  HandoverChannel(boost::asio::io_context& io, net::UniqueFd socket, Owner& owner);
  // Returns null if no process listens at the path.
  [[nodiscard]] static std::shared_ptr<HandoverChannel> connect(boost::asio::io_context& io,
                                                                const std::string& path, Owner& owner);
  // Starts reading.
  void start() { wait_for_packet(); }
  // Sends the message, now or once the other side has read earlier ones. The caller keeps the descriptors,
  // and the other side gets copies. Closes the channel if too many messages are queued. Returns false and
  // doesn't send the message if it is too long for a packet, or if its descriptors can't be kept until it is
  // sent.
  bool send(const Json& message, const std::vector<int>& descriptors = {});
  // Sends the message now or not at all. Returns whether the kernel has accepted it: it then reaches the
  // other side even if this process ends.
  [[nodiscard]] bool send_immediately(const Json& message, const std::vector<int>& descriptors);
  // Returns whether the other side has received every message, or can't receive any more.
  [[nodiscard]] bool is_everything_received();
  // Ends the connection once every message that the other side has sent is delivered. What it sends later
  // fails at its end.
  void finish() { disconnect(ChannelEnd::kFinished); }
  // Disconnects, and drops what is not received yet. The owner is not called after this.
  void close();

 private:
  struct OutgoingMessage {
    std::string text;
    Descriptors descriptors;  // copies, as the caller may close its own before the message is sent
  };
  [[nodiscard]] SendStatus send_now(const std::string& text, std::span<const int> descriptors);
  [[nodiscard]] bool enqueue(std::string text, std::span<const int> descriptors, SendStatus status);
  void wait_to_send(SendStatus status);
  void wait_until_writable();
  void send_queued();
  void wait_for_packet();
  void receive_all();
  [[nodiscard]] bool make_room_for_descriptors();
  void retry_receiving();
  [[nodiscard]] bool receive_one();  // returns false if no packet is available
  void disconnect(ChannelEnd end);
  void report_end();

  boost::asio::posix::stream_descriptor socket_;
  boost::asio::steady_timer send_timer_;
  boost::asio::steady_timer receive_timer_;
  Owner* owner_;  // null once closed
  std::deque<OutgoingMessage> outgoing_;
  std::vector<char> receive_buffer_;  // allocated once, since it is large
  std::optional<ChannelEnd> end_;     // set once nothing can be sent any more
};

// Accepts connections from successors. Owned by HotRestartPeer and used on the event loop's thread only.
class HandoverListener {
 public:
  // Called from the event loop, with the connection's socket, for each process that connects.
  using OnConnected = std::function<void(net::UniqueFd)>;
  HandoverListener(boost::asio::io_context& io, std::string path, OnConnected on_connected);
  // Replaces any process that listens at the path, and an earlier socket of this one. Returns false if
  // listening fails.
  [[nodiscard]] bool open();
  void close();

 private:
  void wait_for_connection();

  std::string path_;
  OnConnected on_connected_;
  boost::asio::posix::stream_descriptor socket_;
};

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_HANDOVER_CHANNEL_HPP_
