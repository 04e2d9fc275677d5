#include "upstream/pool.hpp"

#include <algorithm>
#include <utility>

#include "upstream/exchange.hpp"

namespace dispatcher::upstream {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMostIn = 64 * 1024;
constexpr std::size_t kMostOut = http::kMostBody + 2 * http::kMostHead;
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
constexpr int kLeastConnectPart = 5;  // of the longest

constexpr std::size_t kReleasePart = 4;  // of all connections, the most that the calls of releases may have

constexpr std::size_t kMostUnread = 4096;  // of a stream that changes hands

}  // namespace

Pool::Pool(boost::asio::io_context& io, engine::Deadlines& deadlines, engine::Clock clock, engine::Log log,
           const Options& options)
    : io_(io),
      deadlines_(deadlines),
      clock_(std::move(clock)),
      log_(std::move(log)),
      options_(options),
      leases_(*this, deadlines, clock_, log_, lease_bounds(options)),
      connects_(options.connect_timeout / kLeastConnectPart, options.connect_timeout) {}

void Pool::hosts(const std::vector<Address>& addresses, bool whole) {
  if (whole) {
    for (auto& [name, host] : hosts_) {
      host.listed = false;
      host.gone = true;
    }
  }
  for (const Address& a : addresses) {
    Host& host = hosts_[a.host];
    if (host.endpoint != a.endpoint) drop_idle(host);  // to where it listened before
    host.endpoint = a.endpoint;
    host.listed = a.ready;
    host.zone = a.zone;
    host.cell = a.cell;
    host.gone = a.gone;
  }
  for (auto& [name, host] : hosts_) review(name, host);
  forget_gone();
}

void Pool::review(const std::string& name, Host& host) {
  const bool ready = host.listed && !offline_.contains(name);
  if (host.ready && !ready) host.drained = clock_();
  host.ready = ready;
  if (!ready) drop_idle(host);  // it would rather see them closed
}

void Pool::adopt(const Options& options) {
  options_ = options;
  leases_.bound(lease_bounds(options));
  connects_.bound(options.connect_timeout / kLeastConnectPart, options.connect_timeout);
  while (lines_.size() > options_.most_open && shed()) {
  }
}

void Pool::maintain(const std::string& name, bool offline) {
  offline ? void(offline_.insert(name)) : void(offline_.erase(name));
  Host* host = find(name);
  if (host == nullptr) return;
  review(name, *host);
  if (!offline) return;
  for (const SlotId id : lines_.ids()) {
    const Line* line = lines_.find(id);
    if (line != nullptr && line->host == name && !line->connected) lost(id, Verdict::kConnectFailed, true);
  }
}

// Replicas are replaced under new names all day: what is gone must not be kept.
void Pool::forget_gone() {
  std::erase_if(hosts_, [](const auto& entry) { return entry.second.gone && entry.second.lines == 0; });
}

Pool::Host* Pool::find(const std::string& name) {
  const auto it = hosts_.find(name);
  return it == hosts_.end() ? nullptr : &it->second;
}

// ---- lines ----

bool Pool::rested(SlotId id) { return clock_() - lines_.find(id)->parked_at >= kRest; }

// The idle connection used last that has rested and still stands, or a new one. Empty: none may be opened.
SlotId Pool::take(const std::string& name, Duration patience) {
  Host* found = find(name);
  if (found == nullptr) return {};
  Host& host = *found;
  const Time now = clock_();
  const bool suspect = host.asked != Time{} && now - host.asked > kSuspect;
  const bool distrust = reuse_failed_ != Time{} && now - reuse_failed_ < kDistrust;
  for (std::size_t i = suspect || distrust ? 0 : host.idle.size(); i-- > 0;) {
    const SlotId id = host.idle[i];
    if (!rested(id)) continue;
    Line& line = *lines_.find(id);
    if (line.connection->stale()) {
      drop(id);
      continue;
    }
    host.idle.erase(host.idle.begin() + static_cast<std::ptrdiff_t>(i));
    line.parked = false;
    --idle_;
    deadlines_.drop(line.limit);
    return id;
  }
  if (lines_.size() >= options_.most_open && !shed()) return {};
  const SlotId id = lines_.emplace();
  ++host.lines;
  Line& line = *lines_.find(id);
  line.host = name;
  line.endpoint = host.endpoint;
  line.connection = net::Connection::connect(io_, host.endpoint, *this, id, kMostIn, kMostOut);
  line.opened = now;
  line.limit = deadlines_.add(now + patience, [this, id] {
    connects_.timed_out();
    broke(id);
  });
  return id;
}

bool Pool::shed() {
  while (!idle_order_.empty()) {
    const SlotId id = idle_order_.front();
    idle_order_.pop_front();
    const Line* line = lines_.find(id);
    if (line == nullptr || !line->parked) continue;
    drop(id);
    return true;
  }
  return false;
}

void Pool::drop_idle(Host& host) {
  while (!host.idle.empty()) drop(SlotId(host.idle.back()));
}

void Pool::start(SlotId id, Kind kind, std::string request) {
  Line& line = *lines_.find(id);
  line.kind = kind;
  line.request = std::move(request);
  line.sent = false;
  line.answers = false;
  line.reader.reset();
  line.framer = {};
  line.ending = {};
  if (kind == Kind::kAttempt) ++find(line.host)->busy;
  if (line.connected) write(id, line);
}

void Pool::end_exchange(Line& line) {
  if (line.kind == Kind::kAttempt) --find(line.host)->busy;
  line.kind = Kind::kNone;
}

void Pool::write(SlotId id, Line& line) {
  if (line.kind == Kind::kAttempt) {
    if (!engine_->wanted(line.attempt)) {
      fail_later(line.attempt, Verdict::kNeverSent);
      return park(id);
    }
    leases_.stop(line.id);  // it may be about to leave a state
  }
  line.connection->write(line.request);
  line.request.clear();
  line.request.shrink_to_fit();
  Host& host = *find(line.host);
  if (host.asked == Time{}) host.asked = clock_();
  line.connection->read();
}

void Pool::park(SlotId id) {
  Line& line = *lines_.find(id);
  end_exchange(line);
  line.reused = true;
  line.reader.reset();
  Host& host = *find(line.host);  // which is kept while it has connections
  const bool moved = line.endpoint != host.endpoint;
  if (host.idle.size() >= options_.most_idle || !host.ready || moved) return drop(id);
  if (idle_ >= options_.most_idle_all) shed();
  host.idle.push_back(id);
  line.parked = true;
  line.parked_at = clock_();
  idle_order_.push_back(id);
  while (!idle_order_.empty() && idle_order_.size() > 4 * options_.most_idle_all) idle_order_.pop_front();
  ++idle_;
  const auto stay = Duration(std::llround(static_cast<double>(options_.idle_close.count()) * kIdlePart));
  line.limit = deadlines_.add(clock_() + stay, [this, id] { drop(id); });
  line.connection->read();  // to notice its end
}

void Pool::drop(SlotId id) {
  Line* line = lines_.find(id);
  if (line == nullptr) return;
  Host& host = *find(line->host);
  auto& idle = host.idle;
  if (const auto it = std::find(idle.begin(), idle.end(), id); it != idle.end()) {
    idle.erase(it);
    --idle_;
  }
  deadlines_.drop(line->limit);
  end_exchange(*line);
  line->connection->close();
  lines_.erase(id);
  --host.lines;
}

// ---- attempts ----

void Pool::send(AttemptId attempt, const std::string& name, std::shared_ptr<const engine::Message> message,
                Time not_past, Time connect_by) {
  const Duration patience = connects_.patience();
  const Duration bound = connect_by == Time{} ? patience : connect_by - clock_();
  const SlotId id = take(name, std::clamp(bound, Duration(0), patience));
  if (!id) return fail_later(attempt, Verdict::kConnectFailed);
  Line& line = *lines_.find(id);
  line.attempt = attempt;
  line.id = message->id;
  attempts_[attempt] = id;
  start(id, Kind::kAttempt, request_text(*message, not_past - clock_()));
}

// Nothing was sent; the engine must not hear of it before its own call has returned.
void Pool::fail_later(AttemptId attempt, Verdict verdict) {
  attempts_[attempt] = SlotId{};
  deadlines_.add(clock_(), [this, attempt, verdict] {
    if (attempts_.erase(attempt) > 0) engine_->ended(attempt, {verdict, 0, {}});
  });
}

bool Pool::under_way(AttemptId attempt) {
  const Line* line = line_of(attempt);
  return line != nullptr && line->connected;
}

bool Pool::abandon(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return true;
  const SlotId id = it->second;
  attempts_.erase(it);
  const Line* line = lines_.find(id);
  const bool delivered = line != nullptr && line->sent;
  drop(id);
  return delivered;
}

void Pool::pause(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  if (Line* line = lines_.find(it->second)) line->connection->pause();
}

void Pool::resume(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  if (Line* line = lines_.find(it->second)) line->connection->read();
}

// ---- streams that change hands ----

Pool::Line* Pool::line_of(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : lines_.find(it->second);
}

bool Pool::hush(AttemptId attempt) {
  Line* line = line_of(attempt);
  if (line == nullptr || !line->sent || !line->reader.head_done()) return false;
  if (!line->reader.message().chunked() || !line->framer.rest().empty()) return false;
  if (line->connection->input().size() > kMostUnread) return false;
  if (!std::exchange(line->hushed, true)) line->connection->hush();
  return line->connection->still();
}

void Pool::wake(AttemptId attempt) {
  Line* line = line_of(attempt);
  if (line != nullptr && std::exchange(line->hushed, false)) line->connection->read();
}

std::pair<net::UniqueFd, Pool::Given> Pool::give(AttemptId attempt) {
  Line& line = *line_of(attempt);
  Given given;
  given.host = line.host;
  given.unread = line.connection->input().text();
  given.chunk_left = line.reader.chunk_left();
  given.keep_alive = line.reader.keep_alive();
  net::UniqueFd socket = line.connection->copy();
  drop(attempts_.extract(attempt).mapped());
  return {std::move(socket), std::move(given)};
}

void Pool::adopt(AttemptId attempt, net::UniqueFd socket, const Given& given) {
  auto connection =
      std::make_shared<net::Connection>(net::adopt_socket(io_, std::move(socket)), kMostIn, kMostOut);
  const SlotId id = lines_.emplace();
  Line& line = *lines_.find(id);
  const auto [entry, unknown] = hosts_.try_emplace(given.host);
  Host& host = entry->second;
  if (unknown) host.gone = true;  // it left the list meanwhile
  ++host.lines;
  ++host.busy;
  line.host = given.host;
  line.endpoint = host.endpoint;
  line.kind = Kind::kAttempt;
  line.attempt = attempt;
  line.connected = line.sent = line.reused = line.answers = true;
  line.reader.resume_chunks(given.chunk_left, given.keep_alive);
  line.connection = std::move(connection);
  line.connection->own(*this, id);
  line.connection->take_in(given.unread);
  attempts_[attempt] = id;
  // What was unread may be all that was left of it.
  deadlines_.add(clock_(), [this, id] {
    if (lines_.find(id) == nullptr) return;
    on_data(id);
    if (Line* still = lines_.find(id); still != nullptr && still->kind != Kind::kNone)
      still->connection->read();
  });
}

// ---- leases ----

void Pool::hold(AttemptId attempt, const std::string& name, const std::string& request) {
  const SlotId id = take(name, connects_.patience());
  if (!id) return;
  Line& line = *lines_.find(id);
  line.attempt = attempt;
  line.id = request;
  start(id, Kind::kHold, lease_text("POST", request));
}

// A call to hold a place that still waits for its connection would come after this one.
void Pool::release(const std::string& id, Time until) {
  for (const SlotId waiting : lines_.ids()) {
    const Line& line = *lines_.find(waiting);
    if (line.kind == Kind::kHold && !line.connected && line.id == id) drop(waiting);
  }
  leases_.release(id, until);
}

Leases::Bounds Pool::lease_bounds(const Options& options) {
  return {options.lease_patience, options.release_again,
          std::max<std::size_t>(1, options.most_open / kReleasePart)};
}

SlotId Pool::call_release(const std::string& host, const std::string& id) {
  const SlotId line_id = take(host, options_.lease_patience);
  if (!line_id) return {};
  Line& line = *lines_.find(line_id);
  line.id = id;
  start(line_id, Kind::kRelease, lease_text("DELETE", id));
  deadlines_.drop(line.limit);  // it may still be heard while the next ones are asked
  return line_id;
}

std::vector<upstream::Listener> Pool::listeners() {
  std::vector<upstream::Listener> all;
  const Time now = clock_();
  for (const auto& [name, host] : hosts_) {
    if (!host.ready) continue;
    const bool silent = host.asked != Time{} && now - host.asked > options_.lease_patience;
    all.push_back(
        {name, host.zone, host.cell, !host.idle.empty() && rested(host.idle.front()), silent, host.heard});
  }
  return all;
}

// ---- what the connections tell ----

void Pool::on_connected(SlotId id, net::error_code error) {
  Line* line = lines_.find(id);
  if (line == nullptr) return;
  if (error) return broke(id);
  line->connected = true;
  connects_.came_up(clock_() - line->opened);
  deadlines_.drop(line->limit);
  if (too_late(*line)) return broke(id);
  write(id, *line);
}

// The router chose this replica before it was told of the drain or of another address. Its first byte must
// not go out late. A release is welcome anywhere.
bool Pool::too_late(const Line& line) {
  if (line.kind != Kind::kAttempt && line.kind != Kind::kHold) return false;
  const Host& host = *find(line.host);
  if (line.endpoint != host.endpoint) return true;
  return !host.ready && clock_() > host.drained + drain_care(options_.drain_grace);
}

void Pool::on_sent(SlotId id) {
  Line* line = lines_.find(id);
  if (line != nullptr && line->connection->output().empty()) line->sent = true;
}

void Pool::on_data(SlotId id) {
  if (Line* line = lines_.find(id)) read(id, *line);
}

void Pool::on_ended(SlotId id, net::error_code error) {
  Line* line = lines_.find(id);
  if (line == nullptr) return;
  if (line->kind != Kind::kNone && error == boost::asio::error::eof && line->reader.started() &&
      line->reader.end() == http::Progress::kDone) {
    if (line->kind == Kind::kAttempt && line->reader.message().result_int() == 200)
      pass_events(id, line->reader.take_body());
    if ((line = lines_.find(id)) != nullptr && line->kind != Kind::kNone) complete(id);
    return;
  }
  broke(id);
}

void Pool::read(SlotId id, Line& first) {
  if (first.kind == Kind::kNone) return drop(id);  // an idle connection has nothing to say
  Host& host = *find(first.host);
  host.heard = clock_();
  host.asked = host.busy > 0 ? host.heard : Time{};  // what is under way owes the next
  if (!first.sent) {                                 // no answer to what was not written yet
    log_("host " + first.host + " answered before it was asked");
    return broke(id);
  }
  const http::Progress progress = read_answer(id, first);
  if (progress == http::Progress::kBad) return spoilt(id, first.reader.error().message());
  if (first.reader.head_done() && first.kind == Kind::kAttempt && first.reader.message().result_int() == 200)
    pass_events(id, first.reader.take_body());
  Line* line = lines_.find(id);
  if (line == nullptr || line->kind == Kind::kNone) return;
  if (line->reader.message().body().size() > http::kMostBody || line->framer.too_long())
    return spoilt(id, "no end of an event or a body");
  if (progress == http::Progress::kDone) complete(id);
}

// Informational answers may come ahead of the one that counts.
http::Progress Pool::read_answer(SlotId id, Line& line) {
  http::Progress progress = line.reader.read(line.connection->input());
  while (progress == http::Progress::kDone && line.reader.message().result_int() / 100 == 1) {
    line.reader.reset();
    progress = line.reader.read(line.connection->input());
  }
  if (line.reader.started() && !std::exchange(line.answers, true) && line.kind == Kind::kAttempt)
    line.limit = deadlines_.add(clock_() + kOpening, [this, id] { spoilt(id, "no event"); });
  return progress;
}

// Whole events go on at once; a load report and the count of tokens found kept are noted on the way.
void Pool::pass_events(SlotId id, std::string_view bytes) {
  Line* line = lines_.find(id);
  std::string whole;
  for (const std::string& event : line->framer.feed(bytes)) {
    note_event(event, line->ending);
    whole += event;
  }
  if (whole.empty()) return;
  deadlines_.drop(line->limit);
  engine_->events(line->attempt, whole);
}

// The connection failed, or was never made.
void Pool::broke(SlotId id) {
  const Line* line = lines_.find(id);
  if (line != nullptr) lost(id, line->sent ? Verdict::kReset : Verdict::kConnectFailed);
}

// The replica runs, and what it says can't be read: it may have done what was asked for.
void Pool::spoilt(SlotId id, std::string_view why) {
  const Line* line = lines_.find(id);
  if (line == nullptr) return;
  log_("host " + line->host + " spoilt an answer: " + std::string(why));
  lost(id, Verdict::kError);
}

// The exchange ended without an answer.
void Pool::lost(SlotId id, Verdict verdict, bool blameless) {
  Line* line = lines_.find(id);
  if (line == nullptr) return;
  const Kind kind = line->kind;
  const AttemptId attempt = line->attempt;
  const std::string lease = line->id;
  engine::Ending ending = line->ending;
  ending.verdict = verdict;
  const bool made = verdict == Verdict::kConnectFailed && line->connected;
  ending.note = line->answers || made || blameless ? 1 : 0;
  if (line->reused && !line->answers) reuse_failed_ = clock_();
  drop(id);
  if (kind == Kind::kAttempt && attempts_.erase(attempt) > 0) return engine_->ended(attempt, ending);
  if (kind == Kind::kRelease) leases_.failed(lease, id);
}

void Pool::complete(SlotId id) {
  const std::string last = lines_.find(id)->framer.finish();
  if (!last.empty()) engine_->events(lines_.find(id)->attempt, last);
  Line* found = lines_.find(id);
  if (found == nullptr || found->kind == Kind::kNone) return;
  Line& line = *found;
  deadlines_.drop(line.limit);
  const Kind kind = line.kind;
  const AttemptId attempt = line.attempt;
  const std::string lease = line.id;
  const std::string host = line.host;
  const int status = static_cast<int>(line.reader.message().result_int());
  const engine::Ending ending = judge(line.reader.message(), line.framer.rest(), line.ending);
  if (kind == Kind::kAttempt && !is_usual(status))
    log_("host " + host + " answered " + std::to_string(status));
  // Bytes past the answer are nobody's, and a connection that would be closed is not kept.
  if (line.reader.keep_alive() && line.connection->input().empty() && line.sent) {
    park(id);
  } else {
    drop(id);
  }
  if (Host* h = find(host); h != nullptr && h->busy == 0) h->asked = {};
  if (kind == Kind::kAttempt && attempts_.erase(attempt) > 0) return engine_->ended(attempt, ending);
  if (kind == Kind::kHold && (status == 200 || status == 409))
    return engine_->hold_answer(attempt, host, status == 200);
  if (kind != Kind::kRelease) return;
  leases_.answered(lease, id);
  if (engine_ != nullptr) engine_->released(lease);
}

}  // namespace dispatcher::upstream
