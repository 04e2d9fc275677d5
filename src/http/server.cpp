// Accepting, reading of requests, writing of answers and closing of connections.
#include "http/server.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace dispatcher::http {

namespace {

constexpr std::size_t kMaxInputBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxOutputBytes = std::size_t{1024} * 1024;
// Queued output above which a stream has to wait, and below which it may continue.
constexpr std::size_t kHighWatermarkBytes = std::size_t{64} * 1024;
constexpr std::size_t kLowWatermarkBytes = std::size_t{16} * 1024;
// Pause after accepting failed: descriptors that are short now may be free again by then.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);
// What a client may send after its last request, to be thrown away; TCP flow control holds back the rest.
constexpr std::size_t kMaxDiscardedBytes = kMaxBodyBytes;
// The last eighth of the client limit is reserved for orderly closes, which take a while.
constexpr std::size_t kReservedLimitDivisor = 8;

// A request with both Transfer-Encoding and Content-Length may smuggle a second request in its body, and an
// unknown coding leaves the body's end undefined (RFC 9112, section 6.1).
bool has_ambiguous_length(const Server::Request& request) {
  if (request.count(beast_http::field::transfer_encoding) == 0) return false;
  const std::string_view coding = header(request, "Transfer-Encoding");
  return request.count(beast_http::field::content_length) > 0 ||
         !boost::beast::iequals({coding.data(), coding.size()}, "chunked");
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
      reclaim_descriptor_(std::move(reclaim_descriptor)),
      listener_(io, address, *this),
      clients_(timers, clock_, options.max_body_bytes,
               [this](SlotId id, Client& client) { on_deadline(id, client); }) {}

// ---- connections ----

void Server::open(net::UniqueFd listening_socket) {
  if (!listener_.adopt(std::move(listening_socket))) listener_.open();
  listener_.accept();
}

void Server::stop_accepting() {
  listener_.accept_pending();
  listener_.close();
}

void Server::on_accepted(net::tcp::socket socket) {
  const SlotId id =
      clients_.add(std::make_shared<net::Connection>(std::move(socket), kMaxInputBytes, kMaxOutputBytes));
  Client& client = *clients_.find(id);
  client.connection->set_owner(*this, id);
  client.state_since = clock_();
  clients_.set_deadline(id, options_.first_byte_timeout);
  client.connection->read();
  enforce_client_limit(id);
}

// The process is most likely out of descriptors: further clients wait in the kernel's backlog meanwhile.
void Server::on_accept_failed(net::error_code error) {
  const bool was_aborted_by_client = error == boost::asio::error::connection_aborted;
  if (!was_aborted_by_client && !evict_client() && reclaim_descriptor_) reclaim_descriptor_();
  timers_.add(clock_() + kAcceptRetryDelay, [this] { listener_.accept(); });
}

bool Server::evict_client(SlotId newcomer) {
  const SlotId candidate = clients_.find_eviction_candidate(newcomer);
  if (!candidate) return false;
  remove_client(candidate);
  return true;
}

// A request may be on its way on the connection that is closed. So it is closed in an orderly way while the
// limit is near, and at once only where it is reached.
void Server::enforce_client_limit(SlotId newcomer) {
  const std::size_t count = clients_.size();
  if (count >= options_.max_clients) {
    if (!evict_client(newcomer)) listener_.pause_accepting();
    return;
  }
  if (count + options_.max_clients / kReservedLimitDivisor < options_.max_clients) return;
  const SlotId candidate = clients_.find_eviction_candidate(newcomer);
  const Client* client = clients_.find(candidate);
  if (client != nullptr && clients_.is_dispensable(*client)) begin_lingering_close(candidate);
}

void Server::set_limits(std::size_t max_clients, std::size_t max_body_bytes) {
  clients_.set_max_body_bytes(max_body_bytes);
  options_.max_clients = std::max<std::size_t>(1, max_clients);
  bool is_evicting = true;
  while (is_evicting && clients_.size() > options_.max_clients) is_evicting = evict_client();
  if (clients_.size() >= options_.max_clients) {
    listener_.pause_accepting();
  } else if (listener_.is_open()) {
    listener_.accept();
  }
}

void Server::on_deadline(SlotId id, Client& client) {
  if (client.state == ClientState::kAnswering) return abandon_client(id);
  if (client.state == ClientState::kLingering) return remove_client(id);
  if (client.reader.has_started()) return reject(id, client, 408, "the request did not come whole in time");
  begin_lingering_close(id);
}

void Server::abandon_client(SlotId id) {
  remove_client(id);
  handler_.on_disconnected(id);
}

void Server::remove_client(SlotId id) {
  if (!clients_.remove(id)) return;
  if (clients_.size() < options_.max_clients && listener_.is_open()) listener_.accept();
}

void Server::close_idle() {
  for (const SlotId id : clients_.ids()) {
    Client& client = *clients_.find(id);
    if (client.state != ClientState::kReading) continue;
    // A request that has begun, or that may be on its way, is still read and answered.
    if (client.reader.has_started() || client.connection->is_readable()) continue;
    if (!client.has_received_data && clients_.is_recent(client)) continue;
    begin_lingering_close(id);
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
  switch (client->state) {
    case ClientState::kReading:
      return read_request(id);
    case ClientState::kAnswering:
      return limit_early_input(id, *client);
    case ClientState::kLingering:
      return discard_input(*client);
  }
}

// Input that arrives while an answer is owed waits in the buffer. Once that is full, the end of the
// connection behind it would not be seen: from there on input is discarded, and the answer is the
// connection's last.
void Server::limit_early_input(SlotId id, Client& client) {
  if (client.connection->input().free_space() > 0) return;
  client.keep_alive = false;
  discard_input(client);
  if (client.discarded_bytes > kMaxDiscardedBytes) abandon_client(id);
}

void Server::discard_input(Client& client) {
  net::RingBuffer& input = client.connection->input();
  client.discarded_bytes += input.size();
  input.consume(input.size());
  if (client.discarded_bytes > kMaxDiscardedBytes) client.connection->pause_reading();
}

void Server::start_request(SlotId id, Client& client) {
  client.request_arrival = clock_();
  const bool is_first = !std::exchange(client.has_received_data, true);
  Duration timeout = options_.request_timeout;
  if (is_first) timeout = client.state_since + options_.request_timeout - client.request_arrival;
  clients_.set_deadline(id, timeout);
  client.state_since = client.request_arrival;
}

// Reads from the input, and hands the request to the handler once it is complete.
void Server::read_request(SlotId id) {
  Client& client = *clients_.find(id);
  RequestReader& reader = client.reader;
  if (client.connection->input().empty()) return;
  if (!reader.has_started()) start_request(id, client);
  const ReadStatus status = reader.read(client.connection->input());
  if (status == ReadStatus::kMalformed) return reject_malformed(id, client);
  if (reader.is_head_complete() && has_ambiguous_length(reader.message()))
    return reject(id, client, 400, "the request's length is ambiguous");
  if (!clients_.reserve_body_bytes(client, reader.message().body().size()))
    return reject(id, client, 503, "too much is being sent at once", {{"Retry-After", "1"}});
  if (status == ReadStatus::kNeedMore) return send_continue_if_expected(client);
  client.state = ClientState::kAnswering;
  // The answer to a HEAD must lack its body, which answers here never do: the connection's end after it keeps
  // the client from reading the body as the next answer.
  const bool is_head_request = reader.message().method() == beast_http::verb::head;
  client.keep_alive = reader.keep_alive() && !options_.is_single_request && !is_head_request;
  constexpr unsigned kHttp11 = 11;
  client.is_chunked = reader.message().version() >= kHttp11;
  clients_.cancel_deadline(client);
  handler_.on_request(id, reader.message(), client.request_arrival);
}

void Server::send_continue_if_expected(Client& client) {
  if (!client.reader.is_head_complete() || std::exchange(client.has_sent_continue, true)) return;
  if (header(client.reader.message(), "Expect") == "100-continue")
    client.connection->write("HTTP/1.1 100 Continue\r\n\r\n");
}

// Answers a request that may not have arrived completely: what follows on its connection can't be parsed.
void Server::reject(SlotId id, Client& client, int status, std::string_view message,
                    std::initializer_list<Header> more) {
  clients_.cancel_deadline(client);
  client.state = ClientState::kAnswering;
  client.keep_alive = false;
  respond_error(id, status, message, more);
}

void Server::reject_malformed(SlotId id, Client& client) {
  const auto& error = client.reader.error();
  if (error == beast_http::error::body_limit)
    return reject(id, client, 413, "the body is larger than 256 KiB");
  if (error == beast_http::error::header_limit) return reject(id, client, 431, "the head is too large");
  reject(id, client, 400, "malformed HTTP: " + error.message());
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
    abandon_client(id);
  } else {
    remove_client(id);
  }
}

// ---- answers ----

void Server::respond(SlotId id, int status, std::string_view content_type, std::string_view body,
                     std::initializer_list<Header> more) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state != ClientState::kAnswering) return;
  client->keep_alive = client->keep_alive && !is_draining_;
  client->connection->write(response(status, content_type, body, client->keep_alive, more));
  end_response(id);
}

void Server::respond_error(SlotId id, int status, std::string_view message,
                           std::initializer_list<Header> more) {
  respond(id, status, "application/json", handler_.error_body(status, message), more);
}

void Server::begin_stream(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state != ClientState::kAnswering) return;
  client->is_streaming = true;
  clients_.release_body_bytes(*client);
  client->keep_alive = client->keep_alive && !is_draining_ && client->is_chunked;
  client->connection->write(stream_head(client->keep_alive, client->is_chunked));
}

bool Server::write_events(SlotId id, std::string_view events) {
  Client* client = clients_.find(id);
  if (client == nullptr || !client->is_streaming) return true;
  client->connection->write(client->is_chunked ? chunk(events) : std::string(events));
  if (client->connection->output().size() < kHighWatermarkBytes) return true;
  client->is_backpressured = true;
  clients_.set_deadline(id, options_.write_timeout);
  return false;
}

void Server::end_response(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state != ClientState::kAnswering) return;
  const bool was_streaming = std::exchange(client->is_streaming, false);
  if (was_streaming && client->is_chunked) client->connection->write(kLastChunk);
  client->is_backpressured = false;
  client->has_sent_continue = false;
  // A stream whose head promised to keep the connection may end during a drain: nobody might be left to
  // answer a further request.
  if (!client->keep_alive || is_draining_) return begin_lingering_close(id);
  client->state = ClientState::kReading;
  client->reader.reset();
  clients_.set_deadline(id, options_.idle_timeout);
  client->state_since = clock_();
  clients_.release_body_bytes(*client);
  if (client->connection->input().empty()) {
    // The connection has become idle: others may be waiting to take its place.
    if (clients_.size() >= options_.max_clients) enforce_client_limit();
    return;
  }
  client->connection->read();  // reading stops at a full buffer
  // A pipelined request is read from the event loop: a long series of them must not nest on the stack.
  timers_.add(clock_(), [this, id] {
    const Client* pipelining_client = clients_.find(id);
    if (pipelining_client != nullptr && pipelining_client->state == ClientState::kReading) read_request(id);
  });
}

// ---- the end of a connection ----

// Every connection that is closed from this side in an orderly way gets a lingering close (RFC 9112, section
// 9.6): queued output is sent, then FIN; input is discarded, never answered, until the client closes too. A
// close over unread input would reset the connection and destroy the answer in transit.
void Server::begin_lingering_close(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state == ClientState::kLingering) return;
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

// The time of a lingering close runs from the last byte sent: a slow reader gets all of its answer.
void Server::restart_linger_deadline(SlotId id, Client& client) {
  client.state_since = clock_();
  const bool is_sent = client.connection->output().empty();
  clients_.set_deadline(id, is_sent ? options_.linger_timeout : options_.write_timeout);
}

// ---- migration of streams ----

bool Server::suspend_reading(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr || !client->is_streaming || !client->is_chunked || client->is_backpressured)
    return false;
  if (!client->connection->output().empty()) return false;
  if (!std::exchange(client->is_reading_suspended, true)) client->connection->cancel_reading();
  return client->connection->is_quiescent() && client->connection->input().empty();
}

void Server::resume_reading(SlotId id) {
  Client* client = clients_.find(id);
  if (client != nullptr && std::exchange(client->is_reading_suspended, false)) client->connection->read();
}

net::UniqueFd Server::detach(SlotId id) {
  net::UniqueFd socket = clients_.find(id)->connection->duplicate_socket();
  remove_client(id);
  return socket;
}

SlotId Server::adopt_stream(net::UniqueFd socket) {
  const SlotId id = clients_.add(std::make_shared<net::Connection>(net::adopt_socket(io_, std::move(socket)),
                                                                   kMaxInputBytes, kMaxOutputBytes));
  Client& client = *clients_.find(id);
  client.connection->set_owner(*this, id);
  client.state = ClientState::kAnswering;
  client.is_streaming = true;
  client.has_received_data = true;
  client.request_arrival = clock_();
  client.state_since = client.request_arrival;
  client.connection->read();
  return id;
}

}  // namespace dispatcher::http
