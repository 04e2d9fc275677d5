#include "service_discovery/endpoint_watcher.hpp"

#include <cstddef>
#include <utility>

namespace dispatcher::service_discovery {

namespace {

// The input buffer of a connection, in bytes. JsonFramer accumulates objects that are longer.
constexpr std::size_t kMaxInputBytes = 256UL * 1024;
constexpr std::size_t kMaxOutputBytes = 4096;  // far more than a request needs
constexpr unsigned kStatusOk = 200;

bool is_blank(std::string_view text) { return text.find_first_not_of(" \t\r\n") == std::string_view::npos; }

}  // namespace

EndpointWatcher::EndpointWatcher(boost::asio::io_context& io, const net::tcp::endpoint& address,
                                 engine::TimerQueue& timers, engine::Clock clock, engine::Log log,
                                 OnChange on_change, const EndpointWatcherOptions& options)
    : io_(io),
      address_(address),
      timers_(timers),
      clock_(std::move(clock)),
      log_(std::move(log)),
      on_change_(std::move(on_change)),
      schedule_(options.delivery, options.dispatcher_count),
      random_(options.seed) {}

EndpointWatcher::~EndpointWatcher() {
  timers_.drop(timer_);
  for (const auto& [id, call] : calls_) call->connection->close();
}

void EndpointWatcher::start(std::uint64_t version) {
  version_ = version;
  execute(schedule_.restart(clock_()));
}

// The router may request a restart when it gets the configured list, before start() has opened a watch.
void EndpointWatcher::restart() {
  if (schedule_.is_started()) execute(schedule_.restart(clock_()));
}

void EndpointWatcher::set_address(const net::tcp::endpoint& address) {
  address_ = address;
  needs_complete_list_ = true;
  if (schedule_.is_started()) execute(schedule_.restart_at_new_address(clock_()));
}

void EndpointWatcher::execute(const PollSchedule::Actions& actions) {
  for (const CallId id : actions.close) close_call(id);
  if (actions.needs_complete_list) needs_complete_list_ = true;
  if (actions.open != PollSchedule::kNoCall) open_call(actions.open);
  set_timer();
}

void EndpointWatcher::close_call(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  it->second->connection->close();
  calls_.erase(it);
}

void EndpointWatcher::open_call(CallId id) {
  const auto call = std::make_shared<Call>();
  calls_.emplace(id, call);
  call->connection = net::Connection::connect(io_, address_, *this, {0, id}, kMaxInputBytes, kMaxOutputBytes);
}

void EndpointWatcher::set_timer() {
  timers_.drop(timer_);
  if (const auto deadline = schedule_.next_deadline())
    timer_ = timers_.add(*deadline, [this] { on_timer(); });
}

void EndpointWatcher::on_timer() {
  timer_ = {};
  const PollSchedule::Actions actions = schedule_.on_timer(clock_(), draw_jitter());
  if (actions.needs_complete_list) mark_unhealthy("a list was not completed in time");
  if (actions.has_timed_out) mark_unhealthy("silent");
  execute(actions);
}

void EndpointWatcher::mark_unhealthy(std::string_view reason) {
  if (std::exchange(is_healthy_, false)) log_(std::string("discovery lost: ").append(reason));
}

void EndpointWatcher::mark_healthy() {
  if (!std::exchange(is_healthy_, true)) log_("discovery back");
}

void EndpointWatcher::fail_call(CallId id, FailureKind kind) {
  const engine::Time now = clock_();
  const double jitter = draw_jitter();
  switch (kind) {
    case FailureKind::kRejected:
      return execute(schedule_.on_rejected(id, now, jitter));
    case FailureKind::kConnectionLost:
      return execute(schedule_.on_failed(id, now, jitter));
    case FailureKind::kUnreadable:
      return execute(schedule_.on_unreadable(id, now, jitter));
  }
}

void EndpointWatcher::fail_call(CallId id, FailureKind kind, std::string_view reason) {
  mark_unhealthy(reason);
  fail_call(id, kind);
}

std::shared_ptr<EndpointWatcher::Call> EndpointWatcher::find(CallId id) const {
  const auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : it->second;
}

void EndpointWatcher::on_connected(net::SlotId slot, net::error_code error) {
  const auto call = find(slot.generation);
  if (!call) return;
  if (error) return on_ended(slot, error);
  send_request(*call);
  call->connection->read();
}

void EndpointWatcher::send_request(Call& call) {
  call.requested_complete_list = needs_complete_list_;
  call.reader.emplace(std::nullopt);
  call.framer = JsonFramer();
  const std::string query = call.requested_complete_list ? "" : "?follow=1&since=" + std::to_string(version_);
  call.connection->write("GET /v1/servers" + query +
                         " HTTP/1.1\r\nHost: discovery\r\nAccept: application/json\r\n\r\n");
}

void EndpointWatcher::on_ended(net::SlotId slot, net::error_code error) {
  const CallId id = slot.generation;
  if (find(id)) fail_call(id, FailureKind::kConnectionLost, error.message());
}

void EndpointWatcher::on_data(net::SlotId slot) {
  const CallId id = slot.generation;
  const auto call = find(id);
  if (!call) return;
  const auto progress = call->reader->read(call->connection->input());
  if (progress == http::ReadStatus::kMalformed)
    return fail_call(id, FailureKind::kUnreadable, "malformed response");
  if (!call->reader->is_head_complete() || !handle_head(id, *call)) return;
  handle_body(id, *call, call->reader->take_body());
  if (progress == http::ReadStatus::kComplete && find(id)) handle_end_of_response(id, *call);
}

bool EndpointWatcher::handle_head(CallId id, Call& call) {
  const auto status = call.reader->message().result_int();
  if (status != kStatusOk) {
    fail_call(id, FailureKind::kRejected, "status " + std::to_string(status));
    return false;
  }
  last_response_at_ = clock_();
  execute(schedule_.on_answered(id, clock_()));
  return true;
}

// The callback for a list may call restart() or set_address(), which close this call. The rest of its data is
// then discarded.
void EndpointWatcher::handle_body(CallId id, Call& call, const std::string& text) {
  const bool was_inside_object = call.framer.is_inside_object();
  const auto objects = call.framer.append(text);
  for (const std::string& object : objects) {
    const bool is_list = handle_object(call, object);
    if (!find(id)) return;
    if (!is_list) return fail_call(id, FailureKind::kUnreadable);
  }
  if (call.framer.is_malformed()) {
    log_("discovery sent a malformed list: not JSON objects");
    return fail_call(id, FailureKind::kUnreadable, "unreadable");
  }
  const bool is_keep_alive = !text.empty() && is_blank(text) && !was_inside_object;
  if (!call.requested_complete_list && is_keep_alive) mark_healthy();
  update_object_timeout(id, call, objects.size());
}

// Sets the time limit for an object that has begun, or for a complete list that was requested.
void EndpointWatcher::update_object_timeout(CallId id, Call& call, std::size_t completed_objects) {
  const bool awaits_complete_list = call.requested_complete_list && !call.has_complete_list;
  if (!call.framer.is_inside_object() && !awaits_complete_list) {
    call.object_started_at.reset();
  } else if (!call.object_started_at || completed_objects > 0) {
    call.object_started_at = clock_();
  }
  schedule_.on_data_received(id, clock_(), call.object_started_at);
  set_timer();
}

bool EndpointWatcher::handle_object(Call& call, const std::string& text) {
  try {
    const EndpointSnapshot snapshot = parse_endpoint_snapshot(nlohmann::json::parse(text, nullptr, false));
    const bool is_complete = snapshot.scope == upstream::ListScope::kComplete;
    if (call.requested_complete_list && !call.has_complete_list && !is_complete)
      throw SnapshotError(SnapshotProblem::kNotComplete);
    mark_healthy();
    report(call, snapshot);
    return true;
  } catch (const SnapshotError& error) {
    log_(std::string("discovery sent a malformed list: ") + error.what());
    mark_unhealthy("unreadable");
    return false;
  }
}

void EndpointWatcher::report(Call& call, const EndpointSnapshot& snapshot) {
  if (snapshot.scope == upstream::ListScope::kComplete) {
    needs_complete_list_ = false;
    call.has_complete_list = true;
  } else if (snapshot.version < version_) {
    return;  // a later version is known already
  }
  version_ = snapshot.version;
  on_change_(snapshot);
}

void EndpointWatcher::handle_end_of_response(CallId id, Call& call) {
  if (!call.requested_complete_list) return fail_call(id, FailureKind::kConnectionLost, "the watch ended");
  if (!call.has_complete_list) return fail_call(id, FailureKind::kUnreadable, "no list");
  // Service discovery is still healthy if it closes the connection after the complete list, so no loss is
  // logged.
  if (!call.reader->keep_alive()) return fail_call(id, FailureKind::kConnectionLost);
  send_request(call);
}

}  // namespace dispatcher::service_discovery
