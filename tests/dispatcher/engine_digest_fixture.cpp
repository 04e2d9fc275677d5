#include "engine_digest_fixture.hpp"

#include <algorithm>
#include <iterator>
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

dispatcher::routing::testing::Site draw_site(dispatcher::routing::testing::Dice& dice) {
  dispatcher::routing::testing::Genes genes;
  for (std::size_t i = 0; i < dispatcher::routing::testing::kGenes; ++i)
    genes.values.push_back(dice.below(1000));
  return dispatcher::routing::testing::draw(genes);
}

template <class Table>
auto pick_in(Table& table, dispatcher::routing::testing::Dice& dice) {
  return std::next(table.begin(), dice.below(static_cast<int>(table.size())));
}

}  // namespace

EngineWorld::EngineWorld(std::uint64_t seed, dispatcher::routing::testing::Digest& digest, Counts& counts)
    : digest_(digest), counts_(counts), dice_(seed) {
  dispatcher::routing::testing::Site site = draw_site(dice_);
  for (routing::Settings& settings : site.settings)
    settings_.push_back(std::make_shared<const routing::Settings>(std::move(settings)));
  for (int number = 0; number < 2; ++number) {
    fronts_.push_back(std::make_unique<Frontend>(*this, number));
    processes_.push_back(std::make_unique<Process>(*this, number, seed + static_cast<std::uint64_t>(number)));
  }
  for (const EndpointInfo& endpoint : site.endpoints) endpoints_[endpoint.endpoint] = endpoint;
  send_list(ListKind::kCached, site.endpoints);
}

EngineWorld::~EngineWorld() = default;

void EngineWorld::play(int steps) {
  for (int i = 0; i < steps; ++i) {
    deliver_mail();
    step(dice_.below(100));
    look();
  }
}

void EngineWorld::step(int kind) {
  if (kind < 18) return submit();
  if (kind < 48) return progress();
  if (kind < 56) return fail_attempt();
  if (kind < 60) return leave();
  if (kind < 62) return oversleep();
  if (kind < 78) {
    static const std::array<int, 8> times = {0, 1, 5, 20, 60, 200, 700, 5000};
    return let_pass(milliseconds(times[static_cast<std::size_t>(dice_.below(8))]));
  }
  if (kind < 82) return change_endpoints();
  if (kind < 84) return maintain();
  if (kind < 85) return change_settings();
  if (kind < 88) return answer_hold();
  if (kind < 91) return answer_release();
  if (kind < 94) return go_on();
  if (kind < 96) return hand_over();
  if (kind < 98) return exchange();
  disturb();
}

// What the core tells when it is asked.
void EngineWorld::look() {
  const std::string id = "q" + std::to_string(dice_.below(static_cast<int>(asked_) + 1));
  const std::string endpoint = "h" + std::to_string(dice_.below(13));
  for (const auto& process : processes_) {
    const engine::Engine& engine = process->engine;
    digest_.add(engine.open(), engine.unanswered(), engine.in_progress(id), engine.knows(endpoint),
                engine.endpoints_known());
  }
}

EngineWorld::Process& EngineWorld::pick_process() { return *processes_[dice_.one_in(4) ? 1 : 0]; }

EngineWorld::Client* EngineWorld::pick_client(bool (*fits)(const Client&)) {
  std::vector<Client*> all;
  for (auto& [number, client] : clients_) {
    if (client.at != nullptr && fits(client)) all.push_back(&client);
  }
  return all.empty() ? nullptr : *pick_in(all, dice_);
}

bool EngineWorld::reads(const std::string& endpoint) const {
  const auto it = endpoints_.find(endpoint);
  return it != endpoints_.end() && std::ranges::any_of(rules().kinds, [&](const routing::EndpointKind& kind) {
           return kind.name == it->second.kind && kind.role == routing::Role::kReader;
         });
}

// ---- clients ----

routing::Request EngineWorld::draw_request(const std::string& id) {
  routing::Request request;
  request.id = id;
  const routing::RequestClass& request_class = *pick_in(rules().classes, dice_);
  request.request_class = dice_.one_in(50) ? "unknown" : request_class.name;
  if (!rules().tenants.empty()) request.tenant = pick_in(rules().tenants, dice_)->name;
  request.session = static_cast<std::uint64_t>(dice_.below(30));
  request.shared_prefix = static_cast<std::uint64_t>(dice_.below(7));
  const int size = dice_.below(1000);
  request.prompt_tokens = size * size / 30;
  request.prefix_tokens = request.shared_prefix == 0 ? 0 : request.prompt_tokens / 2;
  request.max_tokens = 100;
  request.client_deadline = now_ + request_class.deadline * (10 + dice_.below(11)) / 20;
  return request;
}

void EngineWorld::submit() {
  // At times one that was here before comes again.
  const bool again = asked_ > 0 && dice_.one_in(12);
  const std::string id = "q" + std::to_string(again ? dice_.below(static_cast<int>(asked_)) : asked_);
  Process& process = pick_process();
  if (process.engine.in_progress(id) || process.other().engine.in_progress(id)) return;
  auto message = std::make_shared<engine::UpstreamRequest>();
  message->id = id;
  const net::SlotId client{asked_++, 1};
  clients_[client.index].id = id;
  const routing::Request request = draw_request(id);
  const net::SlotId slot = process.engine.submit(*fronts_[client.index % 2], client, request, message);
  clients_[client.index].at = &process;
  clients_[client.index].request = slot;
  tell("submitted", slot, process.engine.waits(slot));
}

void EngineWorld::leave() {
  Client* client = pick_client([](const Client& c) { return !c.over; });
  if (client == nullptr) return;
  // The end of its connection may show before it is told.
  client->left = true;
  if (!dice_.one_in(3)) leave(*client);
}

void EngineWorld::leave(Client& client) {
  count("client_gone");
  client.over = client.left = true;
  client.at->engine.client_gone(client.request);
}

void EngineWorld::go_on() {
  Client* client = pick_client([](const Client& c) { return c.paused && !c.over; });
  if (client == nullptr) return;
  client->paused = false;
  client->at->engine.resume(client->request);
}

// ---- replicas ----

// What goes well: a connection is made, a read ends, a stream begins, goes on and ends.
void EngineWorld::progress() {
  Process& process = pick_process();
  if (process.out.empty()) return;
  auto& [attempt, out] = *pick_in(process.out, dice_);
  if (!out.connected) return connect(process, attempt, out);
  if (reads(out.endpoint)) return end(process, attempt, draw_ending(AttemptStatus::kRead));
  if (out.begun && dice_.one_in(3)) return end(process, attempt, draw_ending(AttemptStatus::kServed));
  out.begun = true;
  process.engine.events(engine::AttemptId(attempt), "data: " + std::to_string(dice_.below(1000)) + "\n\n");
}

void EngineWorld::connect(Process& process, engine::AttemptId attempt, Out& out) {
  out.connected = true;
  out.whole = !dice_.one_in(5);
  const bool wanted = process.engine.wanted(attempt);
  tell("wanted", attempt, wanted);
  if (!wanted) end(process, attempt, {AttemptStatus::kNeverSent, 0, {}});
}

engine::AttemptResult EngineWorld::draw_ending(AttemptStatus status) {
  engine::AttemptResult ending{status, 0, {}};
  if (status == AttemptStatus::kRead || status == AttemptStatus::kServed)
    ending.note = dice_.below(3) * 100;
  else
    ending.note = dice_.below(2);
  if (dice_.one_in(3)) ending.report.in_hand = dice_.below(40);
  if (dice_.one_in(3)) ending.report.memory_share = dice_.below(100) / 128.0;
  if (dice_.one_in(3)) ending.report.prompt_kilotokens = dice_.below(100) / 4.0;
  return ending;
}

// Any verdict at any time, also those that a replica would hardly bring about.
void EngineWorld::fail_attempt() {
  Process& process = pick_process();
  if (process.out.empty()) return;
  const engine::AttemptId attempt = pick_in(process.out, dice_)->first;
  engine::AttemptResult ending = draw_ending(static_cast<AttemptStatus>(dice_.below(9)));
  ending.unusable = dice_.one_in(12);
  end(process, attempt, ending);
}

void EngineWorld::end(Process& process, engine::AttemptId attempt, const engine::AttemptResult& ending) {
  static const std::array<const char*, 9> names = {"ended served",    "ended error",          "ended full",
                                                   "ended timeout",   "ended connect failed", "ended reset",
                                                   "ended cancelled", "ended never sent",     "ended read"};
  count(names[static_cast<std::size_t>(ending.status)]);
  process.out.erase(attempt);
  process.engine.ended(attempt, ending);
}

// The decision module asks for no places as yet; the answer to a question never asked must do no harm.
void EngineWorld::answer_hold() {
  Process& process = pick_process();
  if (process.out.empty()) return;
  const auto& [attempt, out] = *pick_in(process.out, dice_);
  count("hold_answer");
  process.engine.hold_answer(engine::AttemptId(attempt), std::string(out.endpoint), !dice_.one_in(3));
}

void EngineWorld::answer_release() {
  Process& process = pick_process();
  if (process.releases.empty()) return;
  const auto it = pick_in(process.releases, dice_);
  const std::string id = *it;
  process.releases.erase(it);
  process.engine.released(id);
}

// What comes too late, or for nobody.
void EngineWorld::disturb() {
  Process& process = pick_process();
  const auto number = static_cast<std::uint32_t>(dice_.below(8));
  const engine::AttemptId attempt{{number, 1 + number % 3}, dice_.below(4)};
  if (process.out.contains(attempt)) return;
  process.engine.events(attempt, "data: late\n\n");
  process.engine.ended(attempt, draw_ending(static_cast<AttemptStatus>(dice_.below(9))));
  process.engine.hold_answer(attempt, "h0", true);
  tell("wanted", attempt, process.engine.wanted(attempt));
  process.engine.released("nobody");
  if (const Client* client = pick_client([](const Client& c) { return c.over; })) {
    client->at->engine.client_gone(client->request);
    client->at->engine.resume(client->request);
  }
}

// ---- lists, operators, settings ----

void EngineWorld::send_list(ListKind kind, std::vector<EndpointInfo> entries) {
  const routing::EndpointList list{kind, std::move(entries)};
  for (const auto& process : processes_) process->engine.endpoints(list);
}

void EngineWorld::change_endpoints() {
  const int how = dice_.below(10);
  if (how == 0) return send_list(ListKind::kFailed, {});
  if (how == 1) {
    std::vector<EndpointInfo> entries;
    for (const auto& [name, endpoint] : endpoints_) {
      if (!dice_.one_in(4)) entries.push_back(endpoint);
    }
    return send_list(ListKind::kFull, std::move(entries));
  }
  EndpointInfo endpoint = pick_in(endpoints_, dice_)->second;
  endpoint.state = how < 4    ? EndpointState::kDraining
                   : how == 4 ? EndpointState::kRemoved
                              : EndpointState::kReady;
  if (how == 5 || how == 6 || how == 7) endpoint.started = now_;
  if (how == 7) endpoint.endpoint += "n" + std::to_string(machines_++);
  endpoints_[endpoint.endpoint] = endpoint;
  send_list(ListKind::kDelta, {endpoint});
}

void EngineWorld::maintain() {
  const std::string endpoint = pick_in(endpoints_, dice_)->first;
  const bool offline = dice_.one_in(2);
  for (const auto& process : processes_) process->engine.maintain(endpoint, offline);
}

void EngineWorld::change_settings() {
  if (settings_.size() < 2) return;
  count("adopt settings");
  current_ = (current_ + 1) % settings_.size();
  for (const auto& process : processes_) process->engine.adopt(settings_[current_]);
  std::vector<EndpointInfo> entries;
  for (const auto& [name, endpoint] : endpoints_) entries.push_back(endpoint);
  send_list(ListKind::kFull, std::move(entries));
}

// ---- the two processes ----

void EngineWorld::hand_over() {
  Process& from = pick_process();
  const int number = dice_.below(2);
  const std::vector<engine::Engine::Stream> streams =
      from.engine.streams(*fronts_[static_cast<std::size_t>(number)]);
  tell("streams", streams.size());
  for (const engine::Engine::Stream& stream : streams) {
    if (dice_.one_in(4)) continue;
    const engine::AttemptId attempt{stream.request, stream.attempt};
    tell("give_away", attempt, stream.client, stream.id, stream.endpoint);
    const Out out = from.out.at(attempt);
    from.out.erase(attempt);
    from.engine.give_away(stream.request);
    Client& moved = client(stream.client);
    moved.at = &from.other();
    moved.request = moved.at->engine.adopt(*fronts_[static_cast<std::size_t>(number)], stream.client,
                                           stream.id, out.endpoint);
    moved.at->out[{moved.request, 0}] = out;
  }
}

void EngineWorld::exchange() {
  Process& process = pick_process();
  std::vector<std::string> open = process.engine.open_ids();
  std::ranges::sort(open);
  for (const std::string& id : open) {
    digest_.add(std::string_view(id));
    if (dice_.one_in(2)) process.other().engine.request_elsewhere(id, true);
  }
  if (dice_.one_in(2)) process.other().engine.learn(process.engine.learned_state());
  if (dice_.one_in(3)) process.engine.alone();
}

void EngineWorld::deliver_mail() {
  for (const auto& letter : std::exchange(mail_, {})) letter();
}

// ---- time ----

void EngineWorld::let_pass(engine::Duration time) {
  const engine::Duration tick = std::max<engine::Duration>(settings_[0]->tick, milliseconds(1));
  for (const engine::Time until = now_ + time;;) {
    for (const auto& process : processes_) process->timers.run(now_);
    deliver_mail();
    if (now_ >= until) return;
    engine::Time next = until;
    for (const auto& process : processes_) next = std::min(next, process->timers.next().value_or(until));
    now_ = std::min(until, std::max(now_ + tick, (next + tick - engine::Duration(1)) / tick * tick));
  }
}

// A busy machine: what is due comes after whatever happens next.
void EngineWorld::oversleep() {
  count("overslept");
  now_ += milliseconds(dice_.below(2000));
}

bool EngineWorld::finish() {
  for (auto& [number, client] : clients_) {
    if (!client.over) leave(client);
  }
  for (const auto& process : processes_) {
    while (!process->out.empty()) end(*process, process->out.begin()->first, {AttemptStatus::kReset, 0, {}});
  }
  let_pass(seconds(60));
  look();
  return std::ranges::all_of(processes_, [](const auto& process) {
    return process->engine.open() == 0 && process->engine.unanswered() == 0 && process->out.empty();
  });
}

}  // namespace dispatcher::testing
