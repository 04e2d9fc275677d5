#include "http/server.hpp"

#include <utility>

namespace bitternferry::http {

namespace {
constexpr std::size_t kMostIn = 64 * 1024;
constexpr std::size_t kMostOut = 1024 * 1024;
constexpr std::size_t kHigh = 64 * 1024, kLow = 16 * 1024;  // queued output at which a stream waits, goes on
constexpr Duration kAcceptRest = std::chrono::milliseconds(20);
}  // namespace

Server::Server(boost::asio::io_context& io, const net::tcp::endpoint& at, Handler& handler,
               core::Deadlines& deadlines, core::Clock clock, const ServerOptions& options,
               std::function<bool()> shed)
    : handler_(handler),
      deadlines_(deadlines),
      clock_(std::move(clock)),
      options_(options),
      shed_(std::move(shed)),
      listener_(io, at, *this) {}

// ---- connections ----

void Server::on_accepted(net::tcp::socket socket) {
  const SlotId id = clients_.emplace();
  Client& client = *clients_.find(id);
  client.connection = std::make_shared<net::Connection>(std::move(socket), kMostIn, kMostOut);
  client.connection->own(*this, id);
  wait(id, options_.idle);
  client.connection->read();
  if (clients_.size() >= options_.most_clients && !shed_idle()) listener_.rest();
}

// Out of descriptors, most likely: the backlog keeps the client until some are free again.
void Server::on_accept_failed(net::error_code) {
  if (!shed_idle() && shed_) shed_();
  deadlines_.add(clock_() + kAcceptRest, [this] { listener_.accept(); });
}

// Room for a new client is made by the connection that has stood idle longest.
bool Server::shed_idle() {
  SlotId oldest;
  Time since = Time::max();
  for (const SlotId id : clients_.ids()) {
    const Client& client = *clients_.find(id);
    const bool idle = client.state == State::kReading && !client.reader.started() && client.arrived != Time{};
    if (idle && client.arrived < since) oldest = id, since = client.arrived;
  }
  if (oldest) drop(oldest);
  return static_cast<bool>(oldest);
}

void Server::wait(SlotId id, Duration limit) {
  Client& client = *clients_.find(id);
  deadlines_.drop(client.limit);
  client.limit = deadlines_.add(clock_() + limit, [this, id] {
    Client* late = clients_.find(id);
    if (late == nullptr) return;
    late->limit = {};
    if (late->state == State::kAnswering) return gone(id);
    if (late->state == State::kReading && late->reader.started()) {
      late->state = State::kAnswering;
      late->keep = false;
      return error(id, 408, "the request did not come whole in time");
    }
    drop(id);
  });
}

void Server::gone(SlotId id) {
  drop(id);
  handler_.on_gone(id);
}

void Server::drop(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr) return;
  deadlines_.drop(client->limit);
  client->connection->close();
  clients_.erase(id);
  if (clients_.size() < options_.most_clients && listener_.is_open()) listener_.accept();
}

void Server::close_idle() {
  for (const SlotId id : clients_.ids()) {
    Client& client = *clients_.find(id);
    // A request that is already here is still read and answered.
    if (client.state == State::kReading && !client.reader.started() && !client.connection->stale()) drop(id);
  }
}

// ---- requests ----

void Server::on_data(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr) return;
  if (client->state == State::kLingering) {
    client->connection->input().consume(client->connection->input().size());
    return;
  }
  if (client->state == State::kReading) next(id);
}

// Reads the next request, if it is there whole.
void Server::next(SlotId id) {
  Client& client = *clients_.find(id);
  if (client.connection->input().empty()) return;
  if (!client.reader.started()) {
    client.arrived = clock_();
    wait(id, options_.arrival);
  }
  const Progress progress = client.reader.read(client.connection->input());
  if (progress == Progress::kMore) {
    if (client.reader.head_done() && !std::exchange(client.told_continue, true) &&
        header(client.reader.message(), "Expect") == "100-continue") {
      client.connection->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  }
  client.state = State::kAnswering;
  // The answer to a HEAD would have to lack its body; closing after it keeps the client in step.
  client.keep = progress == Progress::kDone && client.reader.keep_alive() &&
                client.reader.message().method() != beast_http::verb::head;
  client.chunked = client.reader.message().version() >= 11;
  deadlines_.drop(client.limit);
  if (progress == Progress::kBad) return reject(id, client);
  handler_.on_request(id, client.reader.message(), client.arrived);
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
  if (client == nullptr || !client->waiting) return;
  if (client->connection->output().size() > kLow) return wait(id, options_.stall);
  client->waiting = false;
  deadlines_.drop(client->limit);
  handler_.on_room(id);
}

void Server::on_ended(SlotId id, net::error_code) {
  const Client* client = clients_.find(id);
  if (client == nullptr) return;
  client->state == State::kAnswering ? gone(id) : drop(id);
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
  if (!client->keep) return cut(id);
  client->state = State::kReading;
  client->reader.reset();
  wait(id, options_.idle);
  client->arrived = clock_();
  if (client->connection->input().empty()) return;
  client->connection->read();  // it may have stopped at a full buffer
  // A request that came early is taken from the event loop: many of them must not nest in each other.
  deadlines_.add(clock_(), [this, id] {
    const Client* early = clients_.find(id);
    if (early != nullptr && early->state == State::kReading) next(id);
  });
}

void Server::cut(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr) return;
  client->state = State::kLingering;
  client->streaming = client->waiting = false;
  // The client is given time to read what was sent: closing on unread input would destroy it on the way.
  client->connection->finish();
  client->connection->input().consume(client->connection->input().size());
  client->connection->read();
  wait(id, options_.linger);
}

}  // namespace bitternferry::http
