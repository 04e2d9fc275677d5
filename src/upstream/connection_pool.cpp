#include "upstream/connection_pool.hpp"

#include <algorithm>
#include <utility>

#include "upstream/exchange.hpp"

namespace dispatcher::upstream {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxIn = 64 * 1024;
constexpr std::size_t kMaxOut = http::kMaxBodyBytes + 2 * http::kMaxHeadBytes;
constexpr double kIdlePart = 0.6;  // of the replica's idle time, after which a connection is used no more

// No first byte goes to a replica drained for so long: the rest of the grace is for the way.
Duration drain_care(Duration grace) { return grace * 3 / 5; }

// A kept connection may bring a second answer some milliseconds after the first, which would be passed off as
// the answer to the next request on it. Whatever comes while it rests closes it.
constexpr Duration kRest = milliseconds(50);

// The head of an answer comes with the first token: one that has begun and brings no event soon is spoilt.
constexpr Duration kOpening = milliseconds(1000);

// A replica that owes an answer and says nothing for so long may have vanished with its machine, whose open
// connections stay silent. A new one never comes up then, so that nothing can have run.
constexpr Duration kSuspect = milliseconds(400);

// Where connections that were kept are reset at their next request, commands are lost by it. For so long
// after such a reset new ones are worth their handshake.
constexpr Duration kDistrust = milliseconds(10000);

// The least patience with a new connection: a machine that is busy accepts late.
constexpr int kMinConnectPart = 5;  // of the longest

constexpr std::size_t kReleasePart = 4;  // of all connections, the most that the calls of releases may have

constexpr std::size_t kMaxUnread = 4096;  // of a stream that changes hands

}  // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context& io, engine::TimerQueue& timers, engine::Clock clock,
                               engine::Log log, const Options& options)
    : io_(io),
      timers_(timers),
      clock_(std::move(clock)),
      log_(std::move(log)),
      options_(options),
      leases_(*this, timers, clock_, log_, lease_bounds(options)),
      connects_(options.connect_timeout / kMinConnectPart, options.connect_timeout) {}

void ConnectionPool::endpoints(const std::vector<EndpointAddress>& addresses, bool whole) {
  if (whole) {
    for (auto& [name, endpoint] : endpoints_) {
      endpoint.listed = false;
      endpoint.gone = true;
    }
  }
  for (const EndpointAddress& a : addresses) {
    Endpoint& endpoint = endpoints_[a.endpoint];
    if (endpoint.address != a.address) drop_idle(endpoint);  // to where it listened before
    endpoint.address = a.address;
    endpoint.listed = a.ready;
    endpoint.zone = a.zone;
    endpoint.cell = a.cell;
    endpoint.gone = a.gone;
  }
  for (auto& [name, endpoint] : endpoints_) review(name, endpoint);
  forget_gone();
}

void ConnectionPool::review(const std::string& name, Endpoint& endpoint) {
  const bool ready = endpoint.listed && !offline_.contains(name);
  if (endpoint.ready && !ready) endpoint.drained = clock_();
  endpoint.ready = ready;
  if (!ready) drop_idle(endpoint);  // it would rather see them closed
}

void ConnectionPool::adopt(const Options& options) {
  options_ = options;
  leases_.bound(lease_bounds(options));
  connects_.bound(options.connect_timeout / kMinConnectPart, options.connect_timeout);
  while (lines_.size() > options_.max_connections && shed()) {
  }
}

void ConnectionPool::maintain(const std::string& name, bool offline) {
  offline ? void(offline_.insert(name)) : void(offline_.erase(name));
  Endpoint* endpoint = find(name);
  if (endpoint == nullptr) return;
  review(name, *endpoint);
  if (!offline) return;
  for (const SlotId id : lines_.ids()) {
    const PooledConnection* line = lines_.find(id);
    if (line != nullptr && line->endpoint == name && !line->connected)
      lost(id, AttemptStatus::kConnectFailed, true);
  }
}

// Replicas are replaced under new names all day: what is gone must not be kept.
void ConnectionPool::forget_gone() {
  std::erase_if(endpoints_, [](const auto& entry) { return entry.second.gone && entry.second.lines == 0; });
}

ConnectionPool::Endpoint* ConnectionPool::find(const std::string& name) {
  const auto it = endpoints_.find(name);
  return it == endpoints_.end() ? nullptr : &it->second;
}

// ---- lines ----

bool ConnectionPool::rested(SlotId id) { return clock_() - lines_.find(id)->parked_at >= kRest; }

// The idle connection used last that has rested and still stands, or a new one. Empty: none may be opened.
SlotId ConnectionPool::take(const std::string& name, Duration patience) {
  Endpoint* found = find(name);
  if (found == nullptr) return {};
  Endpoint& endpoint = *found;
  const Time now = clock_();
  const bool suspect = endpoint.asked != Time{} && now - endpoint.asked > kSuspect;
  const bool distrust = reuse_failed_ != Time{} && now - reuse_failed_ < kDistrust;
  for (std::size_t i = suspect || distrust ? 0 : endpoint.idle.size(); i-- > 0;) {
    const SlotId id = endpoint.idle[i];
    if (!rested(id)) continue;
    PooledConnection& line = *lines_.find(id);
    if (line.connection->is_stale()) {
      drop(id);
      continue;
    }
    endpoint.idle.erase(endpoint.idle.begin() + static_cast<std::ptrdiff_t>(i));
    line.parked = false;
    --idle_;
    timers_.drop(line.limit);
    return id;
  }
  if (lines_.size() >= options_.max_connections && !shed()) return {};
  const SlotId id = lines_.emplace();
  ++endpoint.lines;
  PooledConnection& line = *lines_.find(id);
  line.endpoint = name;
  line.address = endpoint.address;
  line.connection = net::Connection::connect(io_, endpoint.address, *this, id, kMaxIn, kMaxOut);
  line.opened = now;
  line.limit = timers_.add(now + patience, [this, id] {
    connects_.timed_out();
    broke(id);
  });
  return id;
}

bool ConnectionPool::shed() {
  while (!idle_order_.empty()) {
    const SlotId id = idle_order_.front();
    idle_order_.pop_front();
    const PooledConnection* line = lines_.find(id);
    if (line == nullptr || !line->parked) continue;
    drop(id);
    return true;
  }
  return false;
}

void ConnectionPool::drop_idle(Endpoint& endpoint) {
  while (!endpoint.idle.empty()) drop(SlotId(endpoint.idle.back()));
}

void ConnectionPool::start(SlotId id, Kind kind, std::string request) {
  PooledConnection& line = *lines_.find(id);
  line.kind = kind;
  line.request = std::move(request);
  line.sent = false;
  line.answers = false;
  line.reader.reset();
  line.framer = {};
  line.ending = {};
  if (kind == Kind::kAttempt) ++find(line.endpoint)->busy;
  if (line.connected) write(id, line);
}

void ConnectionPool::end_exchange(PooledConnection& line) {
  if (line.kind == Kind::kAttempt) --find(line.endpoint)->busy;
  line.kind = Kind::kNone;
}

void ConnectionPool::write(SlotId id, PooledConnection& line) {
  if (line.kind == Kind::kAttempt) {
    if (!engine_->wanted(line.attempt)) {
      fail_later(line.attempt, AttemptStatus::kNeverSent);
      return park(id);
    }
    leases_.stop(line.id);  // it may be about to leave a state
  }
  line.connection->write(line.request);
  line.request.clear();
  line.request.shrink_to_fit();
  Endpoint& endpoint = *find(line.endpoint);
  if (endpoint.asked == Time{}) endpoint.asked = clock_();
  line.connection->read();
}

void ConnectionPool::park(SlotId id) {
  PooledConnection& line = *lines_.find(id);
  end_exchange(line);
  line.reused = true;
  line.reader.reset();
  Endpoint& endpoint = *find(line.endpoint);  // which is kept while it has connections
  const bool moved = line.address != endpoint.address;
  if (endpoint.idle.size() >= options_.max_idle || !endpoint.ready || moved) return drop(id);
  if (idle_ >= options_.max_idle_all) shed();
  endpoint.idle.push_back(id);
  line.parked = true;
  line.parked_at = clock_();
  idle_order_.push_back(id);
  while (!idle_order_.empty() && idle_order_.size() > 4 * options_.max_idle_all) idle_order_.pop_front();
  ++idle_;
  const auto stay = Duration(std::llround(static_cast<double>(options_.idle_timeout.count()) * kIdlePart));
  line.limit = timers_.add(clock_() + stay, [this, id] { drop(id); });
  line.connection->read();  // to notice its end
}

void ConnectionPool::drop(SlotId id) {
  PooledConnection* line = lines_.find(id);
  if (line == nullptr) return;
  Endpoint& endpoint = *find(line->endpoint);
  auto& idle = endpoint.idle;
  if (const auto it = std::find(idle.begin(), idle.end(), id); it != idle.end()) {
    idle.erase(it);
    --idle_;
  }
  timers_.drop(line->limit);
  end_exchange(*line);
  line->connection->close();
  lines_.erase(id);
  --endpoint.lines;
}

// ---- attempts ----

void ConnectionPool::send(AttemptId attempt, const std::string& name,
                          std::shared_ptr<const engine::UpstreamRequest> message, Time deadline,
                          Time connect_by) {
  const Duration patience = connects_.patience();
  const Duration bound = connect_by == Time{} ? patience : connect_by - clock_();
  const SlotId id = take(name, std::clamp(bound, Duration(0), patience));
  if (!id) return fail_later(attempt, AttemptStatus::kConnectFailed);
  PooledConnection& line = *lines_.find(id);
  line.attempt = attempt;
  line.id = message->id;
  attempts_[attempt] = id;
  start(id, Kind::kAttempt, request_text(*message, deadline - clock_()));
}

// Nothing was sent; the engine must not hear of it before its own call has returned.
void ConnectionPool::fail_later(AttemptId attempt, AttemptStatus status) {
  attempts_[attempt] = SlotId{};
  timers_.add(clock_(), [this, attempt, status] {
    if (attempts_.erase(attempt) > 0) engine_->ended(attempt, {status, 0, {}});
  });
}

bool ConnectionPool::under_way(AttemptId attempt) {
  const PooledConnection* line = line_of(attempt);
  return line != nullptr && line->connected;
}

bool ConnectionPool::abandon(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return true;
  const SlotId id = it->second;
  attempts_.erase(it);
  const PooledConnection* line = lines_.find(id);
  const bool delivered = line != nullptr && line->sent;
  drop(id);
  return delivered;
}

void ConnectionPool::pause(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  if (PooledConnection* line = lines_.find(it->second)) line->connection->pause_reading();
}

void ConnectionPool::resume(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  if (PooledConnection* line = lines_.find(it->second)) line->connection->read();
}

// ---- streams that change hands ----

ConnectionPool::PooledConnection* ConnectionPool::line_of(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : lines_.find(it->second);
}

bool ConnectionPool::hush(AttemptId attempt) {
  PooledConnection* line = line_of(attempt);
  if (line == nullptr || !line->sent || !line->reader.is_head_complete()) return false;
  if (!line->reader.message().chunked() || !line->framer.incomplete_event().empty()) return false;
  if (line->connection->input().size() > kMaxUnread) return false;
  if (!std::exchange(line->hushed, true)) line->connection->cancel_reading();
  return line->connection->is_quiescent();
}

void ConnectionPool::wake(AttemptId attempt) {
  PooledConnection* line = line_of(attempt);
  if (line != nullptr && std::exchange(line->hushed, false)) line->connection->read();
}

std::pair<net::UniqueFd, ConnectionPool::Given> ConnectionPool::give(AttemptId attempt) {
  PooledConnection& line = *line_of(attempt);
  Given given;
  given.endpoint = line.endpoint;
  given.unread = line.connection->input().text();
  given.chunk_left = line.reader.chunk_bytes_left();
  given.keep_alive = line.reader.keep_alive();
  net::UniqueFd socket = line.connection->duplicate_socket();
  drop(attempts_.extract(attempt).mapped());
  return {std::move(socket), std::move(given)};
}

void ConnectionPool::adopt(AttemptId attempt, net::UniqueFd socket, const Given& given) {
  auto connection =
      std::make_shared<net::Connection>(net::adopt_socket(io_, std::move(socket)), kMaxIn, kMaxOut);
  const SlotId id = lines_.emplace();
  PooledConnection& line = *lines_.find(id);
  const auto [entry, unknown] = endpoints_.try_emplace(given.endpoint);
  Endpoint& endpoint = entry->second;
  if (unknown) endpoint.gone = true;  // it left the list meanwhile
  ++endpoint.lines;
  ++endpoint.busy;
  line.endpoint = given.endpoint;
  line.address = endpoint.address;
  line.kind = Kind::kAttempt;
  line.attempt = attempt;
  line.connected = line.sent = line.reused = line.answers = true;
  line.reader.resume_chunked(given.chunk_left, given.keep_alive);
  line.connection = std::move(connection);
  line.connection->set_owner(*this, id);
  line.connection->append_input(given.unread);
  attempts_[attempt] = id;
  // What was unread may be all that was left of it.
  timers_.add(clock_(), [this, id] {
    if (lines_.find(id) == nullptr) return;
    on_data(id);
    if (PooledConnection* still = lines_.find(id); still != nullptr && still->kind != Kind::kNone)
      still->connection->read();
  });
}

// ---- leases ----

void ConnectionPool::hold(AttemptId attempt, const std::string& name, const std::string& request) {
  const SlotId id = take(name, connects_.patience());
  if (!id) return;
  PooledConnection& line = *lines_.find(id);
  line.attempt = attempt;
  line.id = request;
  start(id, Kind::kHold, lease_text("POST", request));
}

// A call to hold a place that still waits for its connection would come after this one.
void ConnectionPool::release(const std::string& id, Time until) {
  for (const SlotId waiting : lines_.ids()) {
    const PooledConnection& line = *lines_.find(waiting);
    if (line.kind == Kind::kHold && !line.connected && line.id == id) drop(waiting);
  }
  leases_.release(id, until);
}

ReservationReleaser::Bounds ConnectionPool::lease_bounds(const Options& options) {
  return {options.lease_patience, options.release_again,
          std::max<std::size_t>(1, options.max_connections / kReleasePart)};
}

SlotId ConnectionPool::call_release(const std::string& endpoint, const std::string& id) {
  const SlotId line_id = take(endpoint, options_.lease_patience);
  if (!line_id) return {};
  PooledConnection& line = *lines_.find(line_id);
  line.id = id;
  start(line_id, Kind::kRelease, lease_text("DELETE", id));
  timers_.drop(line.limit);  // it may still be heard while the next ones are asked
  return line_id;
}

std::vector<upstream::Listener> ConnectionPool::listeners() {
  std::vector<upstream::Listener> all;
  const Time now = clock_();
  for (const auto& [name, endpoint] : endpoints_) {
    if (!endpoint.ready) continue;
    const bool silent = endpoint.asked != Time{} && now - endpoint.asked > options_.lease_patience;
    all.push_back({name, endpoint.zone, endpoint.cell,
                   !endpoint.idle.empty() && rested(endpoint.idle.front()), silent, endpoint.heard});
  }
  return all;
}

// ---- what the connections tell ----

void ConnectionPool::on_connected(SlotId id, net::error_code error) {
  PooledConnection* line = lines_.find(id);
  if (line == nullptr) return;
  if (error) return broke(id);
  line->connected = true;
  connects_.came_up(clock_() - line->opened);
  timers_.drop(line->limit);
  if (too_late(*line)) return broke(id);
  write(id, *line);
}

// The router chose this replica before it was told of the drain or of another address. Its first byte must
// not go out late. A release is welcome anywhere.
bool ConnectionPool::too_late(const PooledConnection& line) {
  if (line.kind != Kind::kAttempt && line.kind != Kind::kHold) return false;
  const Endpoint& endpoint = *find(line.endpoint);
  if (line.address != endpoint.address) return true;
  return !endpoint.ready && clock_() > endpoint.drained + drain_care(options_.drain_grace);
}

void ConnectionPool::on_sent(SlotId id) {
  PooledConnection* line = lines_.find(id);
  if (line != nullptr && line->connection->output().empty()) line->sent = true;
}

void ConnectionPool::on_data(SlotId id) {
  if (PooledConnection* line = lines_.find(id)) read(id, *line);
}

void ConnectionPool::on_ended(SlotId id, net::error_code error) {
  PooledConnection* line = lines_.find(id);
  if (line == nullptr) return;
  if (line->kind != Kind::kNone && error == boost::asio::error::eof && line->reader.has_started() &&
      line->reader.end() == http::ReadStatus::kComplete) {
    if (line->kind == Kind::kAttempt && line->reader.message().result_int() == 200)
      pass_events(id, line->reader.take_body());
    if ((line = lines_.find(id)) != nullptr && line->kind != Kind::kNone) complete(id);
    return;
  }
  broke(id);
}

void ConnectionPool::read(SlotId id, PooledConnection& first) {
  if (first.kind == Kind::kNone) return drop(id);  // an idle connection has nothing to say
  Endpoint& endpoint = *find(first.endpoint);
  endpoint.heard = clock_();
  endpoint.asked = endpoint.busy > 0 ? endpoint.heard : Time{};  // what is under way owes the next
  if (!first.sent) {                                             // no answer to what was not written yet
    log_("host " + first.endpoint + " answered before it was asked");
    return broke(id);
  }
  const http::ReadStatus progress = read_answer(id, first);
  if (progress == http::ReadStatus::kMalformed) return spoilt(id, first.reader.error().message());
  if (first.reader.is_head_complete() && first.kind == Kind::kAttempt &&
      first.reader.message().result_int() == 200)
    pass_events(id, first.reader.take_body());
  PooledConnection* line = lines_.find(id);
  if (line == nullptr || line->kind == Kind::kNone) return;
  if (line->reader.message().body().size() > http::kMaxBodyBytes || line->framer.is_too_long())
    return spoilt(id, "no end of an event or a body");
  if (progress == http::ReadStatus::kComplete) complete(id);
}

// Informational answers may come ahead of the one that counts.
http::ReadStatus ConnectionPool::read_answer(SlotId id, PooledConnection& line) {
  http::ReadStatus progress = line.reader.read(line.connection->input());
  while (progress == http::ReadStatus::kComplete && line.reader.message().result_int() / 100 == 1) {
    line.reader.reset();
    progress = line.reader.read(line.connection->input());
  }
  if (line.reader.has_started() && !std::exchange(line.answers, true) && line.kind == Kind::kAttempt)
    line.limit = timers_.add(clock_() + kOpening, [this, id] { spoilt(id, "no event"); });
  return progress;
}

// Whole events go on at once; a load report and the count of tokens found kept are noted on the way.
void ConnectionPool::pass_events(SlotId id, std::string_view bytes) {
  PooledConnection* line = lines_.find(id);
  std::string whole;
  for (const std::string& event : line->framer.append(bytes)) {
    note_event(event, line->ending);
    whole += event;
  }
  if (whole.empty()) return;
  timers_.drop(line->limit);
  engine_->events(line->attempt, whole);
}

// The connection failed, or was never made.
void ConnectionPool::broke(SlotId id) {
  const PooledConnection* line = lines_.find(id);
  if (line != nullptr) lost(id, line->sent ? AttemptStatus::kReset : AttemptStatus::kConnectFailed);
}

// The replica runs, and what it says can't be read: it may have done what was asked for.
void ConnectionPool::spoilt(SlotId id, std::string_view why) {
  const PooledConnection* line = lines_.find(id);
  if (line == nullptr) return;
  log_("host " + line->endpoint + " spoilt an answer: " + std::string(why));
  lost(id, AttemptStatus::kError);
}

// The exchange ended without an answer.
void ConnectionPool::lost(SlotId id, AttemptStatus status, bool blameless) {
  PooledConnection* line = lines_.find(id);
  if (line == nullptr) return;
  const Kind kind = line->kind;
  const AttemptId attempt = line->attempt;
  const std::string lease = line->id;
  engine::AttemptResult ending = line->ending;
  ending.status = status;
  const bool made = status == AttemptStatus::kConnectFailed && line->connected;
  ending.note = line->answers || made || blameless ? 1 : 0;
  if (line->reused && !line->answers) reuse_failed_ = clock_();
  drop(id);
  if (kind == Kind::kAttempt && attempts_.erase(attempt) > 0) return engine_->ended(attempt, ending);
  if (kind == Kind::kRelease) leases_.failed(lease, id);
}

void ConnectionPool::complete(SlotId id) {
  const std::string last = lines_.find(id)->framer.finish();
  if (!last.empty()) engine_->events(lines_.find(id)->attempt, last);
  PooledConnection* found = lines_.find(id);
  if (found == nullptr || found->kind == Kind::kNone) return;
  PooledConnection& line = *found;
  timers_.drop(line.limit);
  const Kind kind = line.kind;
  const AttemptId attempt = line.attempt;
  const std::string lease = line.id;
  const std::string endpoint = line.endpoint;
  const int status = static_cast<int>(line.reader.message().result_int());
  const engine::AttemptResult ending =
      judge(line.reader.message(), line.framer.incomplete_event(), line.ending);
  if (kind == Kind::kAttempt && !is_usual(status))
    log_("host " + endpoint + " answered " + std::to_string(status));
  // Bytes past the answer are nobody's, and a connection that would be closed is not kept.
  if (line.reader.keep_alive() && line.connection->input().empty() && line.sent) {
    park(id);
  } else {
    drop(id);
  }
  if (Endpoint* h = find(endpoint); h != nullptr && h->busy == 0) h->asked = {};
  if (kind == Kind::kAttempt && attempts_.erase(attempt) > 0) return engine_->ended(attempt, ending);
  if (kind == Kind::kHold && (status == 200 || status == 409))
    return engine_->hold_answer(attempt, endpoint, status == 200);
  if (kind != Kind::kRelease) return;
  leases_.answered(lease, id);
  if (engine_ != nullptr) engine_->released(lease);
}

}  // namespace dispatcher::upstream
