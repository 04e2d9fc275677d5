#include "http/server.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::http {

namespace {
constexpr std::size_t kMaxIn = 64 * 1024;
constexpr std::size_t kMaxOut = 1024 * 1024;
constexpr std::size_t kHigh = 64 * 1024, kLow = 16 * 1024;  // queued output at which a stream waits, goes on
constexpr Duration kAcceptRest = std::chrono::milliseconds(20);
// So young, a connection may have its request on the way still.
constexpr Duration kGrace = std::chrono::milliseconds(250);
// What a client may still send after its last answer, to be thrown away. TCP holds back what is beyond.
constexpr std::size_t kMaxDiscarded = kMaxBody;
// Room that is made before a table is full, a part of it: an orderly close takes a while.
constexpr std::size_t kEarlyRoom = 8;
constexpr int kResting = 2;  // the use of a connection between two requests: see use()

// Two lengths may hide a second request in the body of the first, and a coding that isn't known here leaves
// the body's end open (RFC 9112, 6.1).
bool ambiguous_length(const Server::Request& request) {
  const auto coding = header(request, "Transfer-Encoding");
  if (request.count(beast_http::field::transfer_encoding) == 0) return false;
  return request.count(beast_http::field::content_length) > 0 ||
         !boost::beast::iequals({coding.data(), coding.size()}, "chunked");
}
}  // namespace

Server::Server(boost::asio::io_context& io, const net::tcp::endpoint& at, Handler& handler,
               engine::TimerQueue& timers, engine::Clock clock, const ServerOptions& options,
               std::function<bool()> shed)
    : io_(io),
      handler_(handler),
      timers_(timers),
      clock_(std::move(clock)),
      options_(options),
      shed_elsewhere_(std::move(shed)),
      listener_(io, at, *this) {}

// ---- connections ----

void Server::on_accepted(net::tcp::socket socket) {
  const SlotId id = clients_.emplace();
  Client& client = *clients_.find(id);
  client.connection = std::make_shared<net::Connection>(std::move(socket), kMaxIn, kMaxOut);
  client.connection->own(*this, id);
  client.since = clock_();
  wait(id, options_.greeting);
  client.connection->read();
  make_room(id);
}

// Out of descriptors, most likely: the backlog keeps the client until some are free again.
void Server::on_accept_failed(net::error_code error) {
  const bool aborted = error == boost::asio::error::connection_aborted;  // by the client: nothing is short
  if (!aborted && !shed() && shed_elsewhere_) shed_elsewhere_();
  timers_.add(clock_() + kAcceptRest, [this] { listener_.accept(); });
}

// How much a connection is still good for. None of those asked about has a request that came whole.
int Server::use(const Client& client, Time now) {
  if (client.state == State::kLingering) return 0;
  if (client.spoke && !client.reader.started()) return kResting;
  if (now < client.since + kGrace) return 4;  // its request may be on its way
  return client.spoke ? 3 : 1;
}

// Room for a new client is made by the connection that is of least use, and among these by the oldest.
// Hundreds that say nothing or never finish must not keep out those with something to ask.
SlotId Server::min_useful(SlotId newcomer) {
  SlotId minimum;
  std::pair<int, Time> rank{5, Time{}};
  for (const SlotId id : clients_.ids()) {
    const Client& client = *clients_.find(id);
    if (id == newcomer || client.state == State::kAnswering || !client.connection->output().empty()) continue;
    const std::pair<int, Time> here{use(client, clock_()), client.since};
    if (here >= rank) continue;
    const bool more_is_here = client.state == State::kReading && client.connection->readable();
    if (!more_is_here) minimum = id, rank = here;
  }
  return minimum;
}

bool Server::shed(SlotId newcomer) {
  const SlotId minimum = min_useful(newcomer);
  if (minimum) drop(minimum);
  return static_cast<bool>(minimum);
}

// A request may be on its way on the connection that has to go. So it is closed in good order while there is
// some room left, and at once only where there is none.
void Server::make_room(SlotId newcomer) {
  const std::size_t maximum = options_.max_clients, here = clients_.size();
  if (here >= maximum) {
    if (!shed(newcomer)) listener_.rest();
  } else if (here + maximum / kEarlyRoom >= maximum) {
    const SlotId minimum = min_useful(newcomer);
    const Client* client = clients_.find(minimum);
    if (client != nullptr && client->state == State::kReading && use(*client, clock_()) <= kResting)
      cut(minimum);
  }
}

// Keeps count of the bodies that wait here or behind the handler. False: with this one they are too much.
bool Server::hold(Client& client, std::size_t bytes) {
  held_ += bytes - client.held;
  client.held = bytes;
  return bytes == 0 || held_ <= options_.max_held;
}

void Server::wait(SlotId id, Duration limit) {
  Client& client = *clients_.find(id);
  timers_.drop(client.limit);
  client.limit = timers_.add(clock_() + limit, [this, id] {
    Client* late = clients_.find(id);
    if (late == nullptr) return;
    late->limit = {};
    if (late->state == State::kAnswering) return gone(id);
    if (late->state == State::kLingering) return drop(id);
    if (late->reader.started()) return reject(id, *late, 408, "the request did not come whole in time");
    cut(id);
  });
}

void Server::gone(SlotId id) {
  drop(id);
  handler_.on_gone(id);
}

void Server::drop(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr) return;
  timers_.drop(client->limit);
  hold(*client, 0);
  client->connection->close();
  clients_.erase(id);
  if (clients_.size() < options_.max_clients && listener_.is_open()) listener_.accept();
}

void Server::bound(std::size_t max_clients, std::size_t max_held) {
  options_.max_held = max_held;
  options_.max_clients = std::max<std::size_t>(1, max_clients);
  while (clients_.size() > options_.max_clients && shed()) {
  }
  if (clients_.size() >= options_.max_clients) return listener_.rest();
  if (listener_.is_open()) listener_.accept();
}

void Server::close_idle() {
  for (const SlotId id : clients_.ids()) {
    Client& client = *clients_.find(id);
    // A request that is already here, or on its way behind its connection, is still read and answered.
    if (client.state != State::kReading || client.reader.started() || client.connection->readable()) continue;
    if (!client.spoke && clock_() < client.since + kGrace) continue;
    cut(id);
  }
}

void Server::stop_accepting() {
  listener_.accept_pending();
  listener_.close();
}

bool Server::present(SlotId id) {
  Client* client = clients_.find(id);
  return client != nullptr && client->state == State::kAnswering && !client->connection->ended();
}

// ---- requests ----

void Server::on_data(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr) return;
  if (client->state == State::kLingering) return discard(*client);
  if (client->state == State::kReading) return next(id);
  on_early(id, *client);
}

// What comes while an answer is owed waits in the buffer. Once that is full, the connection's end behind it
// would not be seen: so it is thrown away from there on, and the answer is the connection's last.
void Server::on_early(SlotId id, Client& client) {
  if (client.connection->input().room() > 0) return;
  client.keep = false;
  discard(client);
  if (client.discarded > kMaxDiscarded) gone(id);
}

void Server::discard(Client& client) {
  client.discarded += client.connection->input().size();
  client.connection->input().consume(client.connection->input().size());
  if (client.discarded > kMaxDiscarded) client.connection->pause();
}

// Reads the next request, if it is there whole.
void Server::next(SlotId id) {
  Client& client = *clients_.find(id);
  if (client.connection->input().empty()) return;
  if (!client.reader.started()) {
    client.arrived = clock_();
    const bool first = !std::exchange(client.spoke, true);
    wait(id, first ? client.since + options_.arrival - client.arrived : options_.arrival);
    client.since = client.arrived;
  }
  const Progress progress = client.reader.read(client.connection->input());
  if (progress != Progress::kBad && client.reader.head_done() && ambiguous_length(client.reader.message()))
    return reject(id, client, 400, "the request's length is ambiguous");
  if (progress == Progress::kMore) {
    if (!hold(client, client.reader.message().body().size())) return too_much(id, client);
    if (client.reader.head_done() && !std::exchange(client.told_continue, true) &&
        header(client.reader.message(), "Expect") == "100-continue") {
      client.connection->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  }
  if (progress == Progress::kDone && !hold(client, client.reader.message().body().size()))
    return too_much(id, client);
  client.state = State::kAnswering;
  // The answer to a HEAD would have to lack its body; closing after it keeps the client in step.
  client.keep = progress == Progress::kDone && client.reader.keep_alive() && !options_.one_request &&
                client.reader.message().method() != beast_http::verb::head;
  client.chunked = client.reader.message().version() >= 11;
  timers_.drop(client.limit);
  if (progress == Progress::kBad) return reject(id, client);
  handler_.on_request(id, client.reader.message(), client.arrived);
}

// Answers a request that may not have come whole: what follows on its connection is of no use.
void Server::reject(SlotId id, Client& client, int status, std::string_view what,
                    std::initializer_list<Header> more) {
  timers_.drop(client.limit);
  client.state = State::kAnswering;
  client.keep = false;
  error(id, status, what, more);
}

void Server::too_much(SlotId id, Client& client) {
  reject(id, client, 503, "too much is being sent at once", {{"Retry-After", "1"}});
}

void Server::reject(SlotId id, Client& client) {
  if (client.reader.error() == beast_http::error::body_limit)
    return error(id, 413, "the body is larger than 256 KiB");
  if (client.reader.error() == beast_http::error::header_limit)
    return error(id, 431, "the head is too large");
  error(id, 400, "malformed HTTP: " + client.reader.error().message());
}

void Server::on_sent(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr) return;
  if (client->state == State::kLingering) return linger(id);
  if (!client->waiting) return;
  if (client->connection->output().size() > kLow) return wait(id, options_.stall);
  client->waiting = false;
  timers_.drop(client->limit);
  handler_.on_room(id);
}

void Server::on_ended(SlotId id, net::error_code) {
  const Client* client = clients_.find(id);
  if (client == nullptr) return;
  client->state == State::kAnswering ? gone(id) : drop(id);
}

// ---- streams that change hands ----

bool Server::hush(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr || !client->streaming || !client->chunked || client->waiting) return false;
  if (!client->connection->output().empty()) return false;
  if (!std::exchange(client->hushed, true)) client->connection->hush();
  return client->connection->still() && client->connection->input().empty();
}

void Server::wake(SlotId id) {
  Client* client = clients_.find(id);
  if (client != nullptr && std::exchange(client->hushed, false)) client->connection->read();
}

net::UniqueFd Server::give(SlotId id) {
  net::UniqueFd socket = clients_.find(id)->connection->copy();
  drop(id);
  return socket;
}

SlotId Server::adopt(net::UniqueFd socket) {
  auto connection =
      std::make_shared<net::Connection>(net::adopt_socket(io_, std::move(socket)), kMaxIn, kMaxOut);
  const SlotId id = clients_.emplace();
  Client& client = *clients_.find(id);
  client.connection = std::move(connection);
  client.connection->own(*this, id);
  client.state = State::kAnswering;
  client.streaming = client.spoke = true;
  client.since = client.arrived = clock_();
  client.connection->read();
  return id;
}

// ---- answers ----

void Server::answer(SlotId id, int status, std::string_view type, std::string_view body,
                    std::initializer_list<Header> more) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state != State::kAnswering) return;
  client->keep = client->keep && !draining_;
  client->connection->write(response(status, type, body, client->keep, more));
  end(id);
}

void Server::error(SlotId id, int status, std::string_view what, std::initializer_list<Header> more) {
  answer(id, status, "application/json", handler_.error_body(status, what), more);
}

void Server::begin(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state != State::kAnswering) return;
  client->streaming = true;
  hold(*client, 0);
  client->keep = client->keep && !draining_ && client->chunked;
  client->connection->write(stream_head(client->keep, client->chunked));
}

bool Server::pass(SlotId id, std::string_view events) {
  Client* client = clients_.find(id);
  if (client == nullptr || !client->streaming) return true;
  client->connection->write(client->chunked ? chunk(events) : std::string(events));
  if (client->connection->output().size() < kHigh) return true;
  client->waiting = true;
  wait(id, options_.stall);
  return false;
}

void Server::end(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state != State::kAnswering) return;
  if (std::exchange(client->streaming, false) && client->chunked) client->connection->write(kLastChunk);
  client->waiting = false;
  client->told_continue = false;
  // A stream that began before the drain promised to keep the connection; what came on it now might find
  // nobody to finish it.
  if (!client->keep || draining_) return cut(id);
  client->state = State::kReading;
  client->reader.reset();
  wait(id, options_.idle);
  client->since = clock_();
  hold(*client, 0);
  if (client->connection->input().empty()) {
    if (clients_.size() >= options_.max_clients) make_room();  // others may have been waiting for it
    return;
  }
  client->connection->read();  // it may have stopped at a full buffer
  // A request that came early is taken from the event loop: many of them must not nest in each other.
  timers_.add(clock_(), [this, id] {
    const Client* early = clients_.find(id);
    if (early != nullptr && early->state == State::kReading) next(id);
  });
}

// The one way in which a connection ends from here, but for one whose peer is gone already: a lingering
// close. What is queued is sent, then the end; what comes after is read and thrown away, never answered or
// passed on, until the client closes too. A close over unread bytes would reset the connection and destroy
// the answer on its way.
void Server::cut(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr || client->state == State::kLingering) return;
  client->state = State::kLingering;
  client->streaming = client->waiting = false;
  client->connection->finish();
  hold(*client, 0);
  client->reader.reset();
  discard(*client);
  client->connection->read();
  linger(id);
}

// The time of a lingering close runs from the last byte that was sent: a slow reader gets all of its answer.
void Server::linger(SlotId id) {
  Client& client = *clients_.find(id);
  client.since = clock_();
  wait(id, client.connection->output().empty() ? options_.linger : options_.stall);
}

}  // namespace dispatcher::http
