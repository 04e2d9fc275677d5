#include "hot_restart/handover_channel.hpp"

#include <fcntl.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <cstddef>
#include <utility>

namespace dispatcher::hot_restart {

namespace asio = boost::asio;

namespace {

// The most messages that are queued for a process that doesn't read. A working process leaves far fewer
// unread; the limit bounds memory.
constexpr std::size_t kMaxQueuedMessages = 10000;
// Time until the next try where descriptors or the kernel's memory are short.
constexpr std::chrono::milliseconds kRetryInterval{10};

// Returns whether the same packet can be sent later.
bool is_temporary(SendStatus status) {
  return status == SendStatus::kWouldBlock || status == SendStatus::kNoResources;
}

std::string to_packet(const Json& message) {
  return message.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<int> numbers_of(const Descriptors& descriptors) {
  std::vector<int> numbers;
  for (const net::UniqueFd& descriptor : descriptors) numbers.push_back(descriptor.get());
  return numbers;
}

}  // namespace

std::string_view to_text(ChannelEnd end) {
  switch (end) {
    case ChannelEnd::kClosed:
      return "closed";
    case ChannelEnd::kReset:
      return "reset";
    case ChannelEnd::kSendFailed:
      return "send failed";
    case ChannelEnd::kQueueFull:
      return "queue full";
    case ChannelEnd::kFinished:
      return "finished";
    case ChannelEnd::kBroken:
      return "broken";
  }
  return "";
}

HandoverChannel::HandoverChannel(asio::io_context& io, net::UniqueFd socket, Owner& owner)
    : socket_(io, socket.release()), send_timer_(io), receive_timer_(io), owner_(&owner) {}

std::shared_ptr<HandoverChannel> HandoverChannel::connect(asio::io_context& io, const std::string& path,
                                                          Owner& owner) {
  net::UniqueFd socket = connect_packet_socket(path);
  if (!socket) return nullptr;
  auto channel = std::make_shared<HandoverChannel>(io, std::move(socket), owner);
  channel->start();
  return channel;
}

bool HandoverChannel::send(const Json& message, const std::vector<int>& descriptors) {
  if (end_) return true;
  std::string text = to_packet(message);
  if (text.size() > kMaxPacketBytes || descriptors.size() > kMaxPacketDescriptors) return false;
  SendStatus status = SendStatus::kWouldBlock;
  if (outgoing_.empty()) status = send_now(text, descriptors);
  if (is_temporary(status)) return enqueue(std::move(text), descriptors, status);
  return status != SendStatus::kTooLong;
}

bool HandoverChannel::send_immediately(const Json& message, const std::vector<int>& descriptors) {
  if (end_ || !outgoing_.empty()) return false;
  return send_now(to_packet(message), descriptors) == SendStatus::kSent;
}

bool HandoverChannel::is_everything_received() {
  if (end_) return true;
  return outgoing_.empty() && hot_restart::is_everything_received(socket_.native_handle());
}

SendStatus HandoverChannel::send_now(const std::string& text, std::span<const int> descriptors) {
  const SendStatus status = send_packet(socket_.native_handle(), text, descriptors);
  if (status == SendStatus::kBroken) disconnect(ChannelEnd::kSendFailed);
  return status;
}

bool HandoverChannel::enqueue(std::string text, std::span<const int> descriptors, SendStatus status) {
  OutgoingMessage message{std::move(text), {}};
  for (const int descriptor : descriptors) {
    message.descriptors.emplace_back(::fcntl(descriptor, F_DUPFD_CLOEXEC, 0));
    if (!message.descriptors.back()) return false;
  }
  const bool is_first = outgoing_.empty();
  outgoing_.push_back(std::move(message));
  if (is_first) wait_to_send(status);
  if (outgoing_.size() > kMaxQueuedMessages) disconnect(ChannelEnd::kQueueFull);
  return true;
}

void HandoverChannel::wait_to_send(SendStatus status) {
  if (status == SendStatus::kWouldBlock) return wait_until_writable();
  send_timer_.expires_after(kRetryInterval);  // the socket counts as writable
  send_timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (!error && !self->end_) self->send_queued();
  });
}

void HandoverChannel::wait_until_writable() {
  socket_.async_wait(asio::posix::descriptor_base::wait_write,
                     [self = shared_from_this()](boost::system::error_code error) {
                       if (!error && !self->end_) self->send_queued();
                     });
}

void HandoverChannel::send_queued() {
  while (!outgoing_.empty()) {
    const OutgoingMessage& message = outgoing_.front();
    const SendStatus status = send_now(message.text, numbers_of(message.descriptors));
    if (is_temporary(status)) return wait_to_send(status);
    if (status == SendStatus::kBroken) return;  // the queue has been cleared
    outgoing_.pop_front();
  }
}

void HandoverChannel::wait_for_packet() {
  socket_.async_wait(asio::posix::descriptor_base::wait_read,
                     [self = shared_from_this()](boost::system::error_code error) {
                       if (!error) self->receive_all();
                     });
}

void HandoverChannel::receive_all() {
  while (owner_ != nullptr) {
    if (!make_room_for_descriptors()) return retry_receiving();
    if (!receive_one()) break;
  }
  if (owner_ != nullptr) wait_for_packet();
}

bool HandoverChannel::make_room_for_descriptors() {
  while (!has_room_for_descriptors(socket_.native_handle())) {
    if (!owner_->reclaim_descriptor()) return false;
  }
  return true;
}

void HandoverChannel::retry_receiving() {
  receive_timer_.expires_after(kRetryInterval);
  receive_timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (!error) self->receive_all();
  });
}

bool HandoverChannel::receive_one() {
  ReceivedPacket packet = receive_packet(socket_.native_handle(), receive_buffer_);
  if (packet.status == ReceiveStatus::kWouldBlock) return false;
  if (packet.status == ReceiveStatus::kReset) {
    if (!end_) end_ = ChannelEnd::kReset;
    return true;
  }
  if (packet.status != ReceiveStatus::kReceived) {
    if (!end_) end_ = packet.status == ReceiveStatus::kClosed ? ChannelEnd::kClosed : ChannelEnd::kBroken;
    report_end();
    return false;
  }
  const char* text = receive_buffer_.data();
  const Json message = Json::parse(text, text + packet.size, nullptr, false);
  if (message.is_object()) {
    owner_->on_message(message, std::move(packet.descriptors));
  } else {
    owner_->on_unreadable_message();
  }
  return true;
}

// Receives what still waits before the end is reported. The other side may have sent streams, and then ended.
void HandoverChannel::disconnect(ChannelEnd end) {
  if (end_) return;
  end_ = end;
  outgoing_.clear();
  shut_down_packet_socket(socket_.native_handle());
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->receive_all(); });
}

void HandoverChannel::report_end() {
  Owner* owner = owner_;
  close();
  owner->on_channel_closed(*end_);
}

void HandoverChannel::close() {
  owner_ = nullptr;
  send_timer_.cancel();
  receive_timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

HandoverListener::HandoverListener(asio::io_context& io, std::string path, OnConnected on_connected)
    : path_(std::move(path)), on_connected_(std::move(on_connected)), socket_(io) {}

bool HandoverListener::open() {
  net::UniqueFd socket = listen_packet_socket(path_);
  if (!socket) return false;
  close();
  socket_.assign(socket.release());
  wait_for_connection();
  return true;
}

void HandoverListener::wait_for_connection() {
  socket_.async_wait(asio::posix::descriptor_base::wait_read, [this](boost::system::error_code error) {
    if (error) return;
    net::UniqueFd connection = accept_packet_socket(socket_.native_handle());
    if (connection) on_connected_(std::move(connection));
    wait_for_connection();
  });
}

void HandoverListener::close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace dispatcher::hot_restart
