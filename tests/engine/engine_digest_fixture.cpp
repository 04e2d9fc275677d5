#include "engine_digest_fixture.hpp"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

#include "engine_digest_parts.hpp"

namespace dispatcher::testing {

using routing::AttemptStatus;
using routing::EndpointInfo;
using routing::EndpointState;
using routing::ListKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using routing::testing::Dice;
using routing::testing::Digest;

routing::testing::Deployment draw_site(Dice& dice) {
  routing::testing::DrawnNumbers genes;
  for (std::size_t i = 0; i < routing::testing::kDrawnNumbers; ++i) genes.values.push_back(dice.below(1000));
  return routing::testing::draw(genes);
}

template <class Table>
auto pick_in(Table& table, Dice& dice) {
  return std::next(table.begin(), dice.below(static_cast<int>(table.size())));
}

}  // namespace

EngineScript::EngineScript(std::uint64_t seed, Digest& digest, Counts& counts)
    : digest_(digest), counts_(counts), dice_(seed) {
  routing::testing::Deployment site = draw_site(dice_);
  for (routing::Settings& settings : site.settings)
    settings_.push_back(std::make_shared<const routing::Settings>(std::move(settings)));
  for (int number = 0; number < 2; ++number) {
    frontends_.push_back(std::make_unique<Frontend>(*this, number));
    processes_.push_back(std::make_unique<Process>(*this, number, seed + static_cast<std::uint64_t>(number)));
  }
  for (const EndpointInfo& endpoint : site.endpoints) endpoints_[endpoint.endpoint] = endpoint;
  send_list(ListKind::kCached, site.endpoints);
}

EngineScript::~EngineScript() = default;

void EngineScript::run(int steps) {
  for (int i = 0; i < steps; ++i) {
    deliver_peer_messages();
    step(dice_.below(100));
    record_counts();
  }
}

void EngineScript::step(int kind) {
  if (kind < 18) return submit();
  if (kind < 48) return progress();
  if (kind < 56) return fail_attempt();
  if (kind < 60) return disconnect();
  if (kind < 62) return delay_timers();
  if (kind < 78) {
    static const std::array<int, 8> times = {0, 1, 5, 20, 60, 200, 700, 5000};
    return advance(milliseconds(times[static_cast<std::size_t>(dice_.below(8))]));
  }
  if (kind < 82) return change_endpoints();
  if (kind < 84) return change_administrative_drain();
  if (kind < 85) return change_settings();
  if (kind < 88) return report_reservation();
  if (kind < 91) return confirm_release();
  if (kind < 94) return resume();
  if (kind < 96) return hand_over_streams();
  if (kind < 98) return exchange_peer_state();
  report_stale_events();
}

// Adds the results of the engines' query functions to the digest.
void EngineScript::record_counts() {
  const std::string id = "q" + std::to_string(dice_.below(static_cast<int>(submitted_) + 1));
  const std::string endpoint = "h" + std::to_string(dice_.below(13));
  for (const auto& process : processes_) {
    const engine::Engine& engine = process->engine;
    digest_.add(engine.open_request_count(), engine.unanswered_count(), engine.is_in_progress(id),
                engine.is_known_endpoint(endpoint), engine.endpoint_count());
  }
}

EngineScript::Process& EngineScript::pick_process() { return *processes_[dice_.one_in(4) ? 1 : 0]; }

EngineScript::Client* EngineScript::pick_client(bool (*matches)(const Client&)) {
  std::vector<Client*> all;
  for (auto& [number, client] : clients_) {
    if (client.at != nullptr && matches(client)) all.push_back(&client);
  }
  return all.empty() ? nullptr : *pick_in(all, dice_);
}

bool EngineScript::is_reader(const engine::EndpointId& endpoint) const {
  const auto it = endpoints_.find(endpoint);
  return it != endpoints_.end() &&
         std::ranges::any_of(settings().kinds, [&](const routing::EndpointKind& kind) {
           return kind.name == it->second.kind && kind.role == routing::Role::kReader;
         });
}

// ---- clients ----

routing::Request EngineScript::draw_request(const std::string& id) {
  routing::Request request;
  request.id = id;
  const routing::RequestClass& request_class = *pick_in(settings().classes, dice_);
  request.request_class = dice_.one_in(50) ? "unknown" : request_class.name;
  if (!settings().tenants.empty()) request.tenant = pick_in(settings().tenants, dice_)->name;
  request.session = static_cast<std::uint64_t>(dice_.below(30));
  request.shared_prefix = static_cast<std::uint64_t>(dice_.below(7));
  const int size = dice_.below(1000);
  request.prompt_tokens = size * size / 30;
  request.prefix_tokens = request.shared_prefix == 0 ? 0 : request.prompt_tokens / 2;
  request.max_tokens = 100;
  request.client_deadline = now_ + request_class.deadline * (10 + dice_.below(11)) / 20;
  return request;
}

void EngineScript::submit() {
  // Sometimes the id of an earlier request is used again.
  const bool reuses_id = submitted_ > 0 && dice_.one_in(12);
  const std::string id =
      "q" + std::to_string(reuses_id ? dice_.below(static_cast<int>(submitted_)) : submitted_);
  Process& process = pick_process();
  if (process.engine.is_in_progress(id) || process.other().engine.is_in_progress(id)) return;
  auto message = std::make_shared<engine::UpstreamRequest>();
  message->id = id;
  const net::SlotId client{submitted_++, 1};
  clients_[client.index].id = id;
  const routing::Request request = draw_request(id);
  const net::SlotId slot = process.engine.submit(*frontends_[client.index % 2], client, request, message);
  clients_[client.index].at = &process;
  clients_[client.index].request = slot;
  record("submitted", slot, process.engine.is_unanswered(slot));
}

void EngineScript::disconnect() {
  Client* client = pick_client([](const Client& candidate) { return !candidate.is_over; });
  if (client == nullptr) return;
  // The disconnect may be visible to is_client_connected() before it is reported.
  client->has_disconnected = true;
  if (!dice_.one_in(3)) disconnect(*client);
}

void EngineScript::disconnect(Client& client) {
  count("client_gone");
  client.is_over = true;
  client.has_disconnected = true;
  client.at->engine.on_client_disconnected(client.request);
}

void EngineScript::resume() {
  Client* client =
      pick_client([](const Client& candidate) { return candidate.is_paused && !candidate.is_over; });
  if (client == nullptr) return;
  client->is_paused = false;
  client->at->engine.resume_stream(client->request);
}

// ---- endpoints ----

// Performs the next step of an attempt without faults: its connection is made, its read ends, or its stream
// begins, continues or ends.
void EngineScript::progress() {
  Process& process = pick_process();
  if (process.attempts.empty()) return;
  auto& [attempt, active] = *pick_in(process.attempts, dice_);
  if (!active.is_connected) return connect(process, attempt, active);
  if (is_reader(active.endpoint)) return end(process, attempt, draw_result(AttemptStatus::kRead));
  if (active.has_started && dice_.one_in(3))
    return end(process, attempt, draw_result(AttemptStatus::kServed));
  active.has_started = true;
  process.engine.on_events(engine::AttemptId(attempt), "data: " + std::to_string(dice_.below(1000)) + "\n\n");
}

void EngineScript::connect(Process& process, engine::AttemptId attempt, ActiveAttempt& active) {
  active.is_connected = true;
  active.is_delivered = !dice_.one_in(5);
  const bool is_needed = process.engine.is_still_needed(attempt);
  record("wanted", attempt, is_needed);
  if (!is_needed) end(process, attempt, {AttemptStatus::kNeverSent, 0, {}, {}});
}

engine::AttemptResult EngineScript::draw_result(AttemptStatus status) {
  engine::AttemptResult result{status, 0, {}, {}};
  if (status == AttemptStatus::kRead || status == AttemptStatus::kServed) {
    result.cached_prompt_tokens = dice_.below(3) * 100;
  } else if (dice_.below(2) == 1) {
    result.evidence = status == AttemptStatus::kFull ? routing::AttemptEvidence::kStateNotFound
                                                     : routing::AttemptEvidence::kEndpointRunning;
  }
  if (dice_.one_in(3)) result.report.in_flight = dice_.below(40);
  if (dice_.one_in(3)) result.report.memory_share = dice_.below(100) / 128.0;
  if (dice_.one_in(3)) result.report.prompt_kilotokens = dice_.below(100) / 4.0;
  return result;
}

// Ends an attempt with any status at any time, including statuses that are unlikely in practice.
void EngineScript::fail_attempt() {
  Process& process = pick_process();
  if (process.attempts.empty()) return;
  const engine::AttemptId attempt = pick_in(process.attempts, dice_)->first;
  engine::AttemptResult result = draw_result(static_cast<AttemptStatus>(dice_.below(9)));
  result.invalid_request = dice_.one_in(12);
  end(process, attempt, result);
}

void EngineScript::end(Process& process, engine::AttemptId attempt, const engine::AttemptResult& result) {
  static const std::array<const char*, 9> names = {"ended served",    "ended error",          "ended full",
                                                   "ended timeout",   "ended connect failed", "ended reset",
                                                   "ended cancelled", "ended never sent",     "ended read"};
  count(names[static_cast<std::size_t>(result.status)]);
  process.attempts.erase(attempt);
  process.engine.on_attempt_completed(attempt, result);
}

// The router does not reserve slots yet, so this result answers no request; it must do no harm.
void EngineScript::report_reservation() {
  Process& process = pick_process();
  if (process.attempts.empty()) return;
  const auto& [attempt, active] = *pick_in(process.attempts, dice_);
  count("hold_answer");
  const auto outcome =
      dice_.one_in(3) ? engine::ReservationOutcome::kDenied : engine::ReservationOutcome::kReserved;
  process.engine.on_reservation_result(engine::AttemptId(attempt), engine::EndpointId(active.endpoint),
                                       outcome);
}

void EngineScript::confirm_release() {
  Process& process = pick_process();
  if (process.releases.empty()) return;
  const auto it = pick_in(process.releases, dice_);
  const engine::RequestId id = *it;
  process.releases.erase(it);
  process.engine.on_reservation_released(id, {});
}

// Reports events that come too late or concern no attempt or request.
void EngineScript::report_stale_events() {
  Process& process = pick_process();
  const auto number = static_cast<std::uint32_t>(dice_.below(8));
  const engine::AttemptId attempt{{number, 1 + number % 3}, dice_.below(4)};
  if (process.attempts.contains(attempt)) return;
  process.engine.on_events(attempt, "data: late\n\n");
  process.engine.on_attempt_completed(attempt, draw_result(static_cast<AttemptStatus>(dice_.below(9))));
  process.engine.on_reservation_result(attempt, "h0", engine::ReservationOutcome::kReserved);
  record("wanted", attempt, process.engine.is_still_needed(attempt));
  process.engine.on_reservation_released("nobody", {});
  if (const Client* client = pick_client([](const Client& candidate) { return candidate.is_over; })) {
    client->at->engine.on_client_disconnected(client->request);
    client->at->engine.resume_stream(client->request);
  }
}

// ---- endpoint lists, operators, settings ----

void EngineScript::send_list(ListKind kind, std::vector<EndpointInfo> entries) {
  const routing::EndpointList list{kind, std::move(entries)};
  for (const auto& process : processes_) process->engine.update_endpoints(list);
}

// Replaces the endpoint by one with a name that no endpoint had before.
void EngineScript::rename_replacement(EndpointInfo& endpoint) {
  std::ostringstream name;
  name << endpoint.endpoint << "n" << replaced_endpoints_;
  ++replaced_endpoints_;
  endpoint.endpoint = name.str();
}

void EngineScript::change_endpoints() {
  const int change = dice_.below(10);
  if (change == 0) return send_list(ListKind::kFailed, {});
  if (change == 1) {
    std::vector<EndpointInfo> entries;
    for (const auto& [name, endpoint] : endpoints_) {
      if (!dice_.one_in(4)) entries.push_back(endpoint);
    }
    return send_list(ListKind::kFull, std::move(entries));
  }
  EndpointInfo endpoint = pick_in(endpoints_, dice_)->second;
  if (change < 4) {
    endpoint.state = EndpointState::kDraining;
  } else if (change == 4) {
    endpoint.state = EndpointState::kRemoved;
  } else {
    endpoint.state = EndpointState::kReady;
  }
  if (change == 5 || change == 6 || change == 7) endpoint.started = now_;
  if (change == 7) rename_replacement(endpoint);
  endpoints_[endpoint.endpoint] = endpoint;
  send_list(ListKind::kDelta, {endpoint});
}

void EngineScript::change_administrative_drain() {
  const engine::EndpointId endpoint = pick_in(endpoints_, dice_)->first;
  const auto state =
      dice_.one_in(2) ? engine::AdministrativeState::kDrained : engine::AdministrativeState::kInService;
  for (const auto& process : processes_) process->engine.set_administrative_state(endpoint, state);
}

void EngineScript::change_settings() {
  if (settings_.size() < 2) return;
  count("adopt settings");
  current_ = (current_ + 1) % settings_.size();
  for (const auto& process : processes_) process->engine.apply_settings(settings_[current_]);
  std::vector<EndpointInfo> entries;
  for (const auto& [name, endpoint] : endpoints_) entries.push_back(endpoint);
  send_list(ListKind::kFull, std::move(entries));
}

// ---- the two processes ----

void EngineScript::hand_over_streams() {
  Process& from = pick_process();
  const int number = dice_.below(2);
  const std::vector<engine::RunningStream> streams =
      from.engine.running_streams(*frontends_[static_cast<std::size_t>(number)]);
  record("streams", streams.size());
  for (const engine::RunningStream& stream : streams) {
    if (dice_.one_in(4)) continue;
    const engine::AttemptId attempt{stream.request, stream.attempt};
    record("give_away", attempt, stream.client, stream.id, stream.endpoint);
    const ActiveAttempt active = from.attempts.at(attempt);
    from.attempts.erase(attempt);
    from.engine.release_stream(stream.request);
    Client& moved = client(stream.client);
    moved.at = &from.other();
    moved.request =
        moved.at->engine.adopt_stream(*frontends_[static_cast<std::size_t>(number)], stream.client,
                                      {stream.id, active.endpoint, stream.silent_since});
    moved.at->attempts[{moved.request, 0}] = active;
  }
}

void EngineScript::exchange_peer_state() {
  Process& process = pick_process();
  std::vector<engine::RequestId> open = process.engine.open_request_ids();
  std::ranges::sort(open);
  for (const engine::RequestId& id : open) {
    digest_.add(id);
    if (dice_.one_in(2))
      process.other().engine.on_peer_request_progress(id, engine::RequestProgress::kInProgress);
  }
  if (dice_.one_in(2)) process.other().engine.restore_learned_state(process.engine.learned_state());
  if (dice_.one_in(3)) process.engine.on_peer_disconnected();
}

void EngineScript::deliver_peer_messages() {
  for (const auto& deliver : std::exchange(peer_messages_, {})) deliver();
}

// ---- time ----

void EngineScript::advance(engine::Duration time) {
  const engine::Duration tick = std::max<engine::Duration>(settings_[0]->tick, milliseconds(1));
  for (const engine::Time until = now_ + time;;) {
    for (const auto& process : processes_) process->timers.run(now_);
    deliver_peer_messages();
    if (now_ >= until) return;
    engine::Time next = until;
    for (const auto& process : processes_) next = std::min(next, process->timers.next().value_or(until));
    now_ = std::min(until, std::max(now_ + tick, (next + tick - engine::Duration(1)) / tick * tick));
  }
}

// Simulates a busy machine: timers that are due run only after the next step.
void EngineScript::delay_timers() {
  count("timers delayed");
  now_ += milliseconds(dice_.below(2000));
}

bool EngineScript::finish() {
  for (auto& [number, client] : clients_) {
    if (!client.is_over) disconnect(client);
  }
  for (const auto& process : processes_) {
    while (!process->attempts.empty())
      end(*process, process->attempts.begin()->first, {AttemptStatus::kReset, 0, {}, {}});
  }
  advance(seconds(60));
  record_counts();
  return std::ranges::all_of(processes_, [](const auto& process) {
    return process->engine.open_request_count() == 0 && process->engine.unanswered_count() == 0 &&
           process->attempts.empty();
  });
}

}  // namespace dispatcher::testing
