// Reading of requests, writing of responses and closing of connections.
#include "http/server.hpp"

#include <memory>
#include <utility>

#include "http/request_checks.hpp"

namespace dispatcher::http {

namespace {

// Limits of a connection's input and output buffers.
constexpr std::size_t kMaxInputBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxOutputBytes = std::size_t{1024} * 1024;
// Bytes of queued output at which a stream must wait, and down to which the output must drain before the
// stream continues.
constexpr std::size_t kHighWatermarkBytes = std::size_t{64} * 1024;
constexpr std::size_t kLowWatermarkBytes = std::size_t{16} * 1024;
// Maximum bytes that are read and discarded after a client's last request. TCP flow control holds back the
// rest.
constexpr std::size_t kMaxDiscardedBytes = kMaxBodyBytes;
constexpr int kServiceUnavailable = 503;  // RFC 9110, section 15.6.4
// The error message for a request that exceeds ServerOptions::max_body_bytes.
constexpr std::string_view kBodyMemoryExhausted = "too much is being sent at once";
// The error message for a request beyond ClientLimits::max_answers.
constexpr std::string_view kTooManyRequests = "too many requests are in progress";
// Time in seconds after which a client may retry a request that such a limit has rejected.
constexpr std::string_view kRetryAfterSeconds = "1";

std::shared_ptr<ClientCapacity> capacity_for(const ServerOptions& options) {
  if (options.shared_capacity) return options.shared_capacity;
  return std::make_shared<ClientCapacity>(ClientLimits::of(options.max_clients, options.max_body_bytes));
}

}  // namespace

Server::Server(boost::asio::io_context& io, const net::tcp::endpoint& address, Handler& handler,
               engine::TimerQueue& timers, engine::Clock clock, const ServerOptions& options,
               DescriptorReclaimer reclaim_descriptor)
    : io_(io),
      handler_(handler),
      timers_(timers),
      clock_(std::move(clock)),
      options_(options),
      capacity_(capacity_for(options)),
      clients_(timers, clock_, *capacity_, [this](SlotId id, Client& client) { on_deadline(id, client); }),
      acceptor_(io, address, clients_, *capacity_, timers, clock_, std::move(reclaim_descriptor), *this) {}

// ---- connections ----

SlotId Server::create_client(net::tcp::socket socket) {
  const SlotId id =
      clients_.add(std::make_shared<net::Connection>(std::move(socket), kMaxInputBytes, kMaxOutputBytes));
  Client& client = *clients_.find(id);
  client.connection->set_owner(*this, id);
  client.state_since = clock_();
  return id;
}

SlotId Server::add_client(net::tcp::socket socket) {
  const SlotId id = create_client(std::move(socket));
  clients_.set_deadline(id, options_.first_byte_timeout);
  clients_.find(id)->connection->read();
  return id;
}

void Server::on_deadline(SlotId id, Client& client) {
  if (client.state == ClientState::kAnswering) return disconnect_client(id, CloseReason::kWriteTimeout);
  if (client.state == ClientState::kLingering) return acceptor_.remove(id, CloseReason::kLastResponse);
  if (client.reader.has_started()) return reject(id, client, {408, "the request did not come whole in time"});
  begin_lingering_close(id, CloseReason::kNoRequest);
}

void Server::disconnect_client(SlotId id, CloseReason reason) {
  acceptor_.remove(id, reason);
  handler_.on_disconnected(id);
}

void Server::close_idle() {
  for (const SlotId id : clients_.ids()) {
    Client& client = *clients_.find(id);
    if (client.state != ClientState::kReading) continue;
    // A request that has begun to arrive, or that may be on its way, is still read and answered.
    if (client.reader.has_started() || client.has_waiting_request()) continue;
    if (!client.has_received_data && clients_.is_recent(client)) continue;
    begin_lingering_close(id, CloseReason::kDraining);
  }
}

bool Server::is_connected(SlotId id) {
  Client* client = clients_.find(id);
  return client != nullptr && client->state == ClientState::kAnswering &&
         !client->connection->has_peer_closed();
}

// ---- requests ----

void Server::on_data(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr) return;
  client->arrival_times.update(client->connection->input().size(), clock_());
  switch (client->state) {
    case ClientState::kReading:
      return read_request(id);
    case ClientState::kAnswering:
      return limit_early_input(id, *client);
    case ClientState::kLingering:
      return discard_input(*client);
  }
}

// Input that arrives while an answer is owed waits in the buffer. With a full buffer nothing more is read,
// and a close by the client would go undetected. From then on input is therefore discarded, and the answer is
// the connection's last.
void Server::limit_early_input(SlotId id, Client& client) {
  if (client.connection->input().free_space() > 0) return;
  client.keep_alive = false;
  discard_input(client);
  if (client.discarded_bytes > kMaxDiscardedBytes) disconnect_client(id, CloseReason::kTooMuchInput);
}

void Server::discard_input(Client& client) {
  net::RingBuffer& input = client.connection->input();
  client.discarded_bytes += input.size();
  input.consume(input.size());
  if (client.discarded_bytes > kMaxDiscardedBytes) client.connection->pause_reading();
}

// A pipelined request may have arrived while an earlier one was being answered. The request's arrival time is
// that of its first byte, while the timeout for the rest of it begins now.
void Server::start_request(SlotId id, Client& client) {
  const Time now = clock_();
  client.request_arrival = client.arrival_times.first().value_or(now);
  const bool is_first = !std::exchange(client.has_received_data, true);
  Duration timeout = options_.request_timeout;
  if (is_first) timeout = client.state_since + options_.request_timeout - now;
  clients_.set_deadline(id, timeout);
  client.state_since = now;
}

// Reads from the input and passes the request to the handler once it is complete.
void Server::read_request(SlotId id) {
  Client& client = *clients_.find(id);
  RequestReader& reader = client.reader;
  if (client.connection->input().empty()) return;
  if (!reader.has_started()) start_request(id, client);
  const ReadStatus status = reader.read(client.connection->input());
  client.arrival_times.update(client.connection->input().size(), clock_());
  if (const auto rejection = check_request(reader, status)) return reject(id, client, *rejection);
  if (!clients_.reserve_body_bytes(client, reader.message().body().size()))
    return reject(id, client, {kServiceUnavailable, std::string(kBodyMemoryExhausted)},
                  {{"Retry-After", std::string(kRetryAfterSeconds)}});
  if (status == ReadStatus::kNeedMore) return send_continue_if_expected(client);
  deliver_request(id, client);
}

void Server::deliver_request(SlotId id, Client& client) {
  RequestReader& reader = client.reader;
  const bool may_answer = acceptor_.may_answer();
  client.state = ClientState::kAnswering;
  // The answer to a HEAD request must not have a body, but answers are always sent with theirs. Closing the
  // connection afterwards keeps the client from reading the body as the next answer.
  const bool is_head_request = reader.message().method() == beast_http::verb::head;
  client.keep_alive = reader.keep_alive() && !options_.is_single_request && !is_head_request;
  constexpr unsigned kHttp11 = 11;
  const bool understands_chunks = reader.message().version() >= kHttp11;
  client.framing = understands_chunks ? StreamFraming::kChunked : StreamFraming::kUntilClose;
  clients_.cancel_deadline(client);
  if (!may_answer) return reject_busy(id, client);
  handler_.on_request(id, reader.message(), client.request_arrival);
}

// The connection is closed, so that it can be used for another client, unless further requests wait behind.
void Server::reject_busy(SlotId id, Client& client) {
  client.keep_alive = client.keep_alive && client.has_waiting_request();
  respond_error(id, kServiceUnavailable, kTooManyRequests,
                {{"Retry-After", std::string(kRetryAfterSeconds)}});
}

void Server::send_continue_if_expected(Client& client) {
  if (!client.reader.is_head_complete() || std::exchange(client.has_checked_expect, true)) return;
  if (expects_continue(client.reader)) client.connection->write("HTTP/1.1 100 Continue\r\n\r\n");
}

// Answers a request that may be incomplete. The connection is closed afterwards, because the bytes that
// follow can't be parsed.
void Server::reject(SlotId id, Client& client, const RequestRejection& rejection,
                    std::initializer_list<Header> extra_headers) {
  clients_.cancel_deadline(client);
  client.state = ClientState::kAnswering;
  client.keep_alive = false;
  respond_error(id, rejection.status, rejection.message, extra_headers);
}

void Server::on_sent(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr) return;
  if (client->state == ClientState::kLingering) return restart_linger_deadline(id, *client);
  if (!client->is_backpressured) return;
  if (client->connection->output().size() > kLowWatermarkBytes)
    return clients_.set_deadline(id, options_.write_timeout);
  client->is_backpressured = false;
  clients_.cancel_deadline(*client);
  handler_.on_writable(id);
}

void Server::on_ended(SlotId id, net::error_code) {
  const Client* client = clients_.find(id);
  if (client == nullptr) return;
  if (client->state == ClientState::kAnswering) {
    disconnect_client(id, CloseReason::kClientClosed);
  } else {
    acceptor_.remove(id, CloseReason::kClientClosed);
  }
}

// ---- responses ----

void Server::respond(SlotId id, int status, std::string_view content_type, std::string_view body,
                     std::initializer_list<Header> extra_headers) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state != ClientState::kAnswering) return;
  client->keep_alive = client->keep_alive && may_continue(*client);
  client->connection->write(response(status, content_type, body, client->persistence(), extra_headers));
  end_response(id);
}

void Server::respond_error(SlotId id, int status, std::string_view message,
                           std::initializer_list<Header> extra_headers) {
  respond(id, status, "application/json", handler_.error_body(status, message), extra_headers);
}

void Server::begin_stream(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state != ClientState::kAnswering) return;
  client->is_streaming = true;
  clients_.release_body_bytes(*client);
  client->keep_alive = client->keep_alive && client->is_chunked() && may_continue(*client);
  client->connection->write(stream_head(client->persistence(), client->framing));
}

bool Server::write_events(SlotId id, std::string_view events) {
  Client* client = clients_.find(id);
  if (client == nullptr || !client->is_streaming) return true;
  if (client->is_chunked()) {
    client->connection->write(chunk(events));
  } else {
    client->connection->write(events);
  }
  if (client->connection->output().size() < kHighWatermarkBytes) return true;
  client->is_backpressured = true;
  clients_.set_deadline(id, options_.write_timeout);
  return false;
}

void Server::end_response(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state != ClientState::kAnswering) return;
  const bool was_streaming = std::exchange(client->is_streaming, false);
  if (was_streaming && client->is_chunked()) client->connection->write(kLastChunk);
  client->is_backpressured = false;
  client->has_checked_expect = false;
  if (!client->keep_alive || !may_continue(*client))
    return begin_lingering_close(id, CloseReason::kLastResponse);
  await_next_request(id, *client);
}

// Whether the connection may stay open for another request. During a drain the process may end before a later
// request arrives, so only a pipelined request that has already arrived is still answered.
bool Server::may_continue(const Client& client) const {
  return !is_draining_ || client.has_waiting_request();
}

void Server::await_next_request(SlotId id, Client& client) {
  client.state = ClientState::kReading;
  client.reader.reset();
  clients_.set_deadline(id, options_.idle_timeout);
  client.state_since = clock_();
  clients_.release_body_bytes(client);
  if (client.connection->input().empty()) return acceptor_.on_client_idle();
  client.connection->read();  // reading may have stopped because the buffer was full
  // A pipelined request is read from a timer, because a long series of them must not nest on the stack.
  timers_.add(clock_(), [this, id] {
    const Client* pipelining_client = clients_.find(id);
    if (pipelining_client != nullptr && pipelining_client->state == ClientState::kReading) read_request(id);
  });
}

// ---- the end of a connection ----

// Every connection that this side closes in an orderly way gets a lingering close (RFC 9112, section 9.6):
// queued output is sent, followed by FIN, and input is discarded without an answer until the client closes
// too. Closing a socket with unread input would reset the connection and destroy the answer in transit.
void Server::begin_lingering_close(SlotId id, CloseReason reason) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state == ClientState::kLingering) return;
  clients_.log_close(id, reason);
  client->state = ClientState::kLingering;
  client->is_streaming = false;
  client->is_backpressured = false;
  client->connection->finish();
  clients_.release_body_bytes(*client);
  client->reader.reset();
  discard_input(*client);
  client->connection->read();
  restart_linger_deadline(id, *client);
}

// The timeout of a lingering close runs from the last byte sent, so that a slow client receives all of its
// answer.
void Server::restart_linger_deadline(SlotId id, Client& client) {
  client.state_since = clock_();
  const bool is_sent = client.connection->output().empty();
  clients_.set_deadline(id, is_sent ? options_.linger_timeout : options_.write_timeout);
}

// ---- migration of streams ----

bool Server::suspend_reading(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr || !client->is_streaming || !client->is_chunked() || client->is_backpressured)
    return false;
  if (!client->connection->output().empty()) return false;
  if (!std::exchange(client->is_reading_suspended, true)) client->connection->cancel_reading();
  return client->connection->is_quiescent() && client->connection->input().empty();
}

void Server::resume_reading(SlotId id) {
  Client* client = clients_.find(id);
  if (client != nullptr && std::exchange(client->is_reading_suspended, false)) client->connection->read();
}

int Server::client_socket(SlotId id) { return clients_.find(id)->connection->native_handle(); }

void Server::detach(SlotId id) { acceptor_.remove(id, CloseReason::kHandedOver); }

SlotId Server::adopt_stream(net::UniqueFd socket) {
  const SlotId id = create_client(net::adopt_socket(io_, std::move(socket)));
  Client& client = *clients_.find(id);
  client.state = ClientState::kAnswering;
  client.is_streaming = true;
  client.has_received_data = true;
  client.request_arrival = client.state_since;
  client.connection->read();
  return id;
}

}  // namespace dispatcher::http
