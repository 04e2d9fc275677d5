#include "hot_restart/hot_restart_peer.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>
#include <variant>

namespace dispatcher::hot_restart {

namespace {

// How long this process waits for the predecessor's Handover. A predecessor that is overloaded or hangs must
// not prevent this process from serving.
constexpr engine::Duration kHandoverTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t kStreamDescriptors = 2;  // the sockets of the client and of the endpoint

// Moves a time by `offset`, unless it is zero, which means that there is none.
void shift(routing::Time& time, routing::Duration offset) {
  if (time != routing::Time{}) time += offset;
}

// Converts the times of a learned state to a clock that is `offset` ahead of the one that they are in.
void shift_times(routing::LearnedState& learned_state, routing::Duration offset) {
  shift(learned_state.since, offset);
  for (routing::LearnedState::EndpointHistory& history : learned_state.endpoints) {
    for (routing::Time& sent_at : history.sends) shift(sent_at, offset);
    shift(history.returned_at, offset);
  }
}

}  // namespace

HotRestartPeer::HotRestartPeer(boost::asio::io_context& io, const std::string& path,
                               engine::TimerQueue& timers, engine::Clock clock, engine::Log log, Owner& owner)
    : io_(io),
      path_(path),
      timers_(timers),
      clock_(std::move(clock)),
      log_(std::move(log)),
      owner_(owner),
      listener_(io, path, [this](net::UniqueFd socket) { on_successor_connected(std::move(socket)); }) {}

void HotRestartPeer::start() {
  if (!path_.empty()) predecessor_.channel = HandoverChannel::connect(io_, path_, predecessor_);
  if (!has_predecessor()) return start_without_handover();
  handover_timer_ = timers_.add(clock_() + kHandoverTimeout, [this] {
    log_("upgrade: the serving process sent no hand-over in time: starting without it");
    start_without_handover();
  });
  owner_.on_peers_changed();
}

void HotRestartPeer::start_without_handover() {
  timers_.drop(handover_timer_);
  if (!std::exchange(has_state_, true)) owner_.on_handover({});
}

void HotRestartPeer::on_serving() {
  if (has_predecessor()) predecessor_.channel->send(encode(SuccessorServing{}));
  listen();
}

void HotRestartPeer::listen() {
  if (!path_.empty() && !listener_.open())
    log_("upgrade: can't listen at '" + path_ + "': no successor can connect to this process");
}

void HotRestartPeer::close() {
  listener_.close();
  for (Connection* connection : {&predecessor_, &successor_}) {
    if (connection->channel != nullptr) std::exchange(connection->channel, nullptr)->close();
  }
}

void HotRestartPeer::on_successor_connected(net::UniqueFd socket) {
  if (successor_.channel != nullptr) successor_.channel->close();  // that one failed and was started again
  is_successor_serving_ = false;
  is_successor_replaced_ = false;
  notified_connections_.reset();
  successor_.channel = std::make_shared<HandoverChannel>(io_, std::move(socket), successor_);
  successor_.channel->start();
  send_handover();
  log_("upgrade: another process takes over");
  owner_.on_peers_changed();
}

void HotRestartPeer::send_handover() {
  Handover handover;
  std::vector<int> descriptors;
  for (const auto& [name, fd] : owner_.listening_sockets()) {
    handover.listener_names.push_back(name);
    descriptors.push_back(fd);
  }
  handover.endpoint_list = owner_.endpoint_list();
  handover.open_request_ids = owner_.open_request_ids();
  handover.learned_state = owner_.learned_state();
  handover.degradation_level = owner_.degradation_level();
  handover.clock_offset = owner_.clock_offset();
  if (successor_.channel->send(encode(handover), descriptors)) return;
  send_short_handover(handover, descriptors);
}

// Sends what fits into one packet, and the open requests in messages of their own: the successor must reject
// them, as they run here.
void HotRestartPeer::send_short_handover(const Handover& handover, const std::vector<int>& descriptors) {
  HandoverChannel& channel = *successor_.channel;
  const bool is_sent = channel.send(encode_without_lists(handover), descriptors) ||
                       channel.send(encode_without_learned_state(handover), descriptors);
  if (!is_sent) log_("upgrade: the hand-over can't be sent: the successor starts without it");
  for (const routing::RequestId& id : handover.open_request_ids)
    channel.send(encode(RequestStatusChanged{id, engine::RequestProgress::kInProgress}));
}

void HotRestartPeer::on_message(PeerRole sender, const Json& object, Descriptors descriptors) {
  for (Message& message : decode(object, sender))
    std::visit([&](auto& decoded) { handle(decoded, descriptors); }, message);
}

void HotRestartPeer::handle(Handover& message, Descriptors& descriptors) {
  if (std::exchange(has_state_, true)) return;  // it is too late, as this process started without a hand-over
  timers_.drop(handover_timer_);
  HandoverState state;
  state.endpoint_list = std::move(message.endpoint_list);
  state.open_request_ids = std::move(message.open_request_ids);
  state.learned_state = std::move(message.learned_state);
  const std::optional<engine::Duration> clock_offset = owner_.clock_offset();
  if (clock_offset && message.clock_offset)
    shift_times(state.learned_state, *clock_offset - *message.clock_offset);
  state.degradation_level = std::move(message.degradation_level);
  const std::size_t sockets = std::min(message.listener_names.size(), descriptors.size());
  for (std::size_t i = 0; i < sockets; ++i) {
    const std::string& name = message.listener_names[i];
    if (!name.empty()) state.listening_sockets.emplace(name, std::move(descriptors[i]));
  }
  log_("upgrade: taking over from the serving process");
  owner_.on_handover(std::move(state));
}

void HotRestartPeer::handle(const SuccessorServing& /*message*/, Descriptors& /*descriptors*/) {
  is_successor_serving_ = true;
  owner_.on_peers_changed();
}

void HotRestartPeer::handle(const SuccessorReplaced& /*message*/, Descriptors& /*descriptors*/) {
  is_successor_replaced_ = true;
}

void HotRestartPeer::handle(const AdministrativeStateChanged& message, Descriptors& /*descriptors*/) {
  owner_.on_administrative_state(message.endpoint, message.state);
}

void HotRestartPeer::handle(const RequestStatusChanged& message, Descriptors& /*descriptors*/) {
  owner_.on_peer_request_progress(message.id, message.progress);
}

void HotRestartPeer::handle(const RequestForwarded& message, Descriptors& /*descriptors*/) {
  owner_.on_peer_forwarded(message.endpoint);
}

void HotRestartPeer::handle(const StreamTransfer& message, Descriptors& descriptors) {
  if (descriptors.size() != kStreamDescriptors) return log_("upgrade: can't continue a stream: no sockets");
  ++received_streams_;
  owner_.on_stream(message, std::move(descriptors[0]), std::move(descriptors[1]));
}

void HotRestartPeer::handle(const InvalidStreamTransfer& message, Descriptors& /*descriptors*/) {
  log_("upgrade: can't continue a stream: " + message.problem);
}

void HotRestartPeer::handle(const VrrpLeft& message, Descriptors& descriptors) {
  net::UniqueFd listening_socket;
  if (!descriptors.empty()) listening_socket = std::move(descriptors.front());
  owner_.on_vrrp_left(message, std::move(listening_socket));
}

void HotRestartPeer::handle(const ConnectionsInUse& message, Descriptors& /*descriptors*/) {
  predecessor_connections_ = message;
  owner_.on_predecessor_connections();
}

void HotRestartPeer::on_channel_closed(Connection& connection, ChannelEnd end) {
  connection.channel.reset();
  const std::string end_text = " (channel " + std::string(to_text(end)) + ")";
  if (connection.role == PeerRole::kSuccessor) {
    // A successor that served has replaced the socket at which this process was found.
    if (std::exchange(is_successor_serving_, false) && !is_successor_replaced_) listen();
    log_("upgrade: the successor has ended" + end_text);
  } else {
    predecessor_connections_.reset();
    log_("upgrade: the predecessor has ended" + end_text + ", " + std::to_string(received_streams_) +
         " streams taken over");
  }
  start_without_handover();
  owner_.on_peers_changed();
}

bool HotRestartPeer::has_successor_received_everything() const {
  return successor_.channel == nullptr || successor_.channel->is_everything_received();
}

bool HotRestartPeer::leave_predecessor() {
  if (!has_predecessor()) return true;
  if (received_streams_ > 0) return false;
  if (is_successor_serving()) predecessor_.channel->send(encode(SuccessorReplaced{}));
  predecessor_.channel->finish();
  return false;
}

void HotRestartPeer::broadcast(const Json& message) {
  for (const Connection* connection : {&predecessor_, &successor_}) {
    if (connection->channel != nullptr) connection->channel->send(message);
  }
}

void HotRestartPeer::notify_administrative_state(const routing::EndpointId& endpoint,
                                                 routing::AdministrativeState state) {
  broadcast(encode(AdministrativeStateChanged{endpoint, state}));
}

void HotRestartPeer::notify_vrrp_left(const VrrpLeft& left, std::optional<int> listening_socket) {
  if (successor_.channel == nullptr) return;
  const Json message = encode(left);
  const bool is_sent = listening_socket && successor_.channel->send(message, {*listening_socket});
  if (!is_sent) successor_.channel->send(message);  // the successor then opens a socket of its own
}

void HotRestartPeer::notify_connections(const ConnectionsInUse& connections) {
  if (!is_successor_serving() || notified_connections_ == connections) return;
  notified_connections_ = connections;
  successor_.channel->send(encode(connections));
}

bool HotRestartPeer::transfer_stream(const StreamTransfer& stream, int client, int upstream) {
  if (!is_successor_serving()) return false;
  if (!successor_.channel->send_immediately(encode(stream), {client, upstream})) return false;
  ++transferred_streams_;
  return true;
}

void HotRestartPeer::on_request_progress(const routing::RequestId& id, engine::RequestProgress progress) {
  if (has_peer()) broadcast(encode(RequestStatusChanged{id, progress}));
}

void HotRestartPeer::on_attempt_started(const routing::EndpointId& endpoint) {
  if (has_peer()) broadcast(encode(RequestForwarded{endpoint}));
}

}  // namespace dispatcher::hot_restart
