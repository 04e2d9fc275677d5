#include "service_discovery/endpoint_watcher.hpp"

#include <utility>

namespace dispatcher::service_discovery {

namespace {
constexpr std::size_t kMaxIn = 256 * 1024, kMaxOut = 4096;

bool blank(std::string_view text) { return text.find_first_not_of(" \t\r\n") == std::string_view::npos; }
}  // namespace

EndpointWatcher::EndpointWatcher(boost::asio::io_context& io, const net::tcp::endpoint& at,
                                 engine::TimerQueue& timers, engine::Clock clock, engine::Log log,
                                 OnChange on_change, int fleet, std::uint64_t seed, Lists lists)
    : io_(io),
      at_(at),
      timers_(timers),
      clock_(std::move(clock)),
      log_(std::move(log)),
      on_change_(std::move(on_change)),
      plan_(lists, fleet),
      random_(seed) {}

EndpointWatcher::~EndpointWatcher() {
  timers_.drop(next_);
  for (const auto& [id, call] : calls_) call->connection->close();
}

void EndpointWatcher::start(std::uint64_t seq) {
  seq_ = seq;
  obey(plan_.restart(clock_()));
}

// Before start() the first lists, read from files, may lead here already: there is no watch yet.
void EndpointWatcher::restart() {
  if (plan_.started()) obey(plan_.restart(clock_()));
}

void EndpointWatcher::move(const net::tcp::endpoint& at) {
  at_ = at;
  whole_ = true;
  if (plan_.started()) obey(plan_.move(clock_()));
}

void EndpointWatcher::obey(const PollSchedule::Orders& orders) {
  for (const CallId id : orders.close) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) continue;
    it->second->connection->close();
    calls_.erase(it);
  }
  if (orders.unreadable) whole_ = true;
  if (orders.open != 0) {
    const auto call = std::make_shared<Call>();
    calls_.emplace(orders.open, call);
    call->connection = net::Connection::connect(io_, at_, *this, {0, orders.open}, kMaxIn, kMaxOut);
  }
  timers_.drop(next_);
  if (const auto at = plan_.next()) {
    next_ = timers_.add(*at, [this] {
      next_ = {};
      const PollSchedule::Orders due = plan_.tick(clock_(), draw());
      if (due.unreadable) lost("an object did not end");
      if (due.silent) lost("silent");
      obey(due);
    });
  }
}

void EndpointWatcher::lost(std::string_view why) {
  if (std::exchange(healthy_, false)) log_(std::string("discovery lost: ").append(why));
}

void EndpointWatcher::back() {
  if (!std::exchange(healthy_, true)) log_("discovery back");
}

std::shared_ptr<EndpointWatcher::Call> EndpointWatcher::find(CallId id) const {
  const auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : it->second;
}

void EndpointWatcher::on_connected(net::SlotId id, net::error_code error) {
  const auto call = find(id.generation);
  if (!call) return;
  if (error) return on_ended(id, error);
  ask(*call);
  call->connection->read();
}

void EndpointWatcher::ask(Call& call) {
  call.whole = whole_;
  call.reader.emplace(std::nullopt);
  call.framer = JsonFramer();
  const std::string follow = call.whole ? "" : "?follow=1&since=" + std::to_string(seq_);
  call.connection->write("GET /v1/servers" + follow +
                         " HTTP/1.1\r\nHost: discovery\r\nAccept: application/json\r\n\r\n");
}

void EndpointWatcher::on_ended(net::SlotId id, net::error_code error) {
  if (!find(id.generation)) return;
  lost(error.message());
  obey(plan_.failed(id.generation, clock_(), draw()));
}

void EndpointWatcher::on_data(net::SlotId slot) {
  const CallId id = slot.generation;
  const auto call = find(id);
  if (!call) return;
  const auto progress = call->reader->read(call->connection->input());
  if (progress == http::ReadStatus::kMalformed) {
    lost("malformed answer");
    return obey(plan_.unreadable(id, clock_(), draw()));
  }
  if (!call->reader->is_head_complete() || !take_head(id, *call)) return;
  take(id, *call, call->reader->take_body());
  if (progress == http::ReadStatus::kComplete && find(id)) finish(id, *call);
}

bool EndpointWatcher::take_head(CallId id, Call& call) {
  const auto status = call.reader->message().result_int();
  if (status != 200) {
    lost("status " + std::to_string(status));
    obey(plan_.rejected(id, clock_(), draw()));
    return false;
  }
  heard_ = clock_();
  obey(plan_.answered(id, clock_()));
  return true;
}

// Hearing a list may lead to a restart or a move, which ends this call: what it has brought beyond is not
// read.
void EndpointWatcher::take(CallId id, Call& call, const std::string& text) {
  const bool was_inside = call.framer.inside();
  const auto objects = call.framer.feed(text);
  for (const std::string& object : objects) {
    const bool valid = take_object(call, object);
    if (!find(id)) return;
    if (!valid) return obey(plan_.unreadable(id, clock_(), draw()));
  }
  if (call.framer.bad()) {
    log_("discovery sent a bad line: no list of objects");
    lost("unreadable");
    return obey(plan_.unreadable(id, clock_(), draw()));
  }
  if (!call.whole && !text.empty() && blank(text) && !was_inside) back();
  const bool waits = call.framer.inside() || (call.whole && !call.has_list);
  if (!waits) {
    call.object_since.reset();
  } else if (!call.object_since || !objects.empty()) {
    call.object_since = clock_();
  }
  plan_.heard(id, clock_(), call.object_since);
  obey({});
}

bool EndpointWatcher::take_object(Call& call, const std::string& text) {
  try {
    const EndpointSnapshot servers = parse_servers(nlohmann::json::parse(text, nullptr, false));
    if (call.whole && !call.has_list && !servers.whole) throw std::invalid_argument("no whole list");
    back();
    if (servers.whole) {
      whole_ = false;
      call.has_list = true;
    } else if (servers.seq < seq_) {
      return true;  // what it changes has been told already
    }
    seq_ = servers.seq;
    on_change_(servers);
    return true;
  } catch (const std::invalid_argument& e) {
    log_(std::string("discovery sent a bad line: ") + e.what());
    lost("unreadable");
    return false;
  }
}

void EndpointWatcher::finish(CallId id, Call& call) {
  if (!call.whole) {
    lost("the watch ended");
    return obey(plan_.failed(id, clock_(), draw()));
  }
  if (!call.has_list) {
    lost("no list");
    return obey(plan_.unreadable(id, clock_(), draw()));
  }
  // Not a loss: the connection was good for the list alone.
  if (!call.reader->keep_alive()) return obey(plan_.failed(id, clock_(), draw()));
  ask(call);
}

}  // namespace dispatcher::service_discovery
