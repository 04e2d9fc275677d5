#include "fixture.hpp"

#include <sys/socket.h>

#include <algorithm>

namespace dispatcher::testing {

using routing::EndpointState;
using routing::Idempotency;

routing::Settings make_settings() {
  routing::Settings s;
  s.router_count = 1;
  s.zone = "here";
  s.classes.resize(2);
  s.classes[0].name = "ask";
  s.classes[0].idempotency = Idempotency::kIdempotent;
  s.classes[0].latency_objective = milliseconds(1200);
  s.classes[0].deadline = seconds(6);
  s.classes[1] = s.classes[0];
  s.classes[1].name = "command";
  s.classes[1].idempotency = Idempotency::kNonIdempotent;
  s.classes[1].deadline = seconds(3);
  s.tenants = {{"acme", 1000}};
  s.kinds = {{"reader", routing::Role::kReader, 200000}, {"writer", routing::Role::kWriter, 100000}};
  s.may_cancel = s.retry_advice = true;
  s.max_retry_after = milliseconds(500);
  s.max_attempts = 4;
  s.tick = milliseconds(4);
  s.answer_slack = milliseconds(16);
  s.drain_grace = milliseconds(250);
  s.reservation_limit = milliseconds(300);
  s.connect_timeout = milliseconds(250);
  s.idle_timeout = seconds(15);
  s.warmup_initial_share = 0.3;
  s.warmup_time = seconds(14);
  s.overload_multiple = 4;
  s.overload_window = seconds(2);
  return s;
}

void StandInReplica::on_request(SlotId client, http::Server::Request& request, engine::Time) {
  const auto text = [](const auto& view) { return std::string(view.data(), view.size()); };
  seen.push_back({text(request.method_string()), text(request.target()),
                  std::string(http::header(request, "X-Correlation-Id")), request.body(), request});
  const std::string left = text(http::header(request, "X-Time-Left-Ms"));
  if (!left.empty()) seen.back().left = milliseconds(std::stoll(left));
  const Seen now = seen.back();
  if (now.method == "DELETE") return server.respond(client, 204, {}, {});
  waiting.push_back(client);
  script_(*this, client, now);
}

void StandInReplica::stream(SlotId client, const std::vector<std::string>& words, bool last) {
  server.begin_stream(client);
  for (const std::string& word : words) {
    server.write_events(client, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + word +
                                    "\"},\"finish_reason\":null}]}\n\n");
  }
  if (!last) return;
  server.write_events(client,
                      "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
                      "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2}}\n\n"
                      "data: [DONE]\n\n: X-Backend-Load: {\"x0\":0.25,\"x1\":1.5}\n\n");
  server.end_response(client);
}

int StandInReplica::count(std::string_view method, std::string_view id) const {
  return static_cast<int>(std::count_if(seen.begin(), seen.end(), [&](const Seen& s) {
    return s.method == method && (id.empty() || s.id == id || s.target.ends_with(id));
  }));
}

RawReplica::~RawReplica() {
  for (const SlotId id : peers_.ids()) peers_.find(id)->connection->close();
}

void RawReplica::on_accepted(net::tcp::socket socket) {
  const SlotId id = peers_.emplace();
  Peer& peer = *peers_.find(id);
  peer.connection = std::make_shared<net::Connection>(std::move(socket), 1U << 20U, 1U << 20U);
  peer.connection->set_owner(*this, id);
  peer.connection->read();
}

void RawReplica::go_on() {
  for (const SlotId id : peers_.ids()) peers_.find(id)->connection->write(more_);
}

void RawReplica::on_data(SlotId id) {
  Peer& peer = *peers_.find(id);
  if (peer.reader.read(peer.connection->input()) != http::ReadStatus::kComplete) return;
  peer.reader.reset();
  ++requests;
  peer.connection->write(bytes_);
}

void StandInClient::post(const std::string& more, const std::string& text, const std::string& path) {
  send("POST " + path + " HTTP/1.1\r\nHost: x\r\n" + more + "Content-Length: " + std::to_string(text.size()) +
       "\r\n\r\n" + text);
}

void StandInClient::reset() {
  const linger at_once{1, 0};
  ::setsockopt(connection_->duplicate_socket().get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  connection_->close();
}

void StandInClient::on_connected(SlotId, net::error_code error) {
  if (error) return void(ended = true);
  connected_ = true;
  connection_->write(std::exchange(pending_, {}));
  if (!held_back_) connection_->read();
}

void StandInClient::on_data(SlotId) {
  while (!connection_->input().empty()) {
    const auto progress = reader_.read(connection_->input());
    if (reader_.is_head_complete()) {
      status = static_cast<int>(reader_.message().result_int());
      for (const auto& f : reader_.message()) headers[std::string(f.name_string())] = std::string(f.value());
      body += reader_.take_body();
    }
    if (progress != http::ReadStatus::kComplete) return;
    whole = true;
    reader_.reset();
  }
}

Fixture::Fixture(Script reader_script, Script writer_script, std::string chat_config)
    : pool(io, timers, clock(), [this](std::string_view line) { logs.emplace_back(line); },
           {settings.connect_timeout, settings.idle_timeout, milliseconds(100), 4, 8, 64}),
      engine(std::make_shared<const routing::Settings>(settings), 7, pool, timers, clock(),
             [this](std::string_view line) { logs.emplace_back(line); }),
      platform(http::FrontendContext{io, engine, timers, clock()}, loopback(),
               std::make_shared<const routing::Settings>(settings)) {
  pool.attach(engine);
  routing::EndpointList list{routing::ListKind::kFull, {}};
  std::vector<upstream::EndpointAddress> addresses;
  for (const std::string name : {"r1", "r2", "w1", "w2"}) {
    const bool reads = name[0] == 'r';
    replicas.push_back(std::make_unique<StandInReplica>(*this, reads ? reader_script : writer_script));
    list.entries.push_back({name, "here", reads ? "reader" : "writer", 0, EndpointState::kReady, 1, {}});
    addresses.push_back({name, replicas.back()->server.local(), true});
  }
  pool.endpoints(addresses, true);
  engine.endpoints(list);
  platform.server().open();
  if (chat_config.empty()) return;
  chat = std::make_unique<openai_api::Frontend>(
      http::FrontendContext{io, engine, timers, clock()},
      *openai_api::parse_config({"chat.json", chat_config}, settings), 7);
  chat->server().open();
}

int Fixture::total(std::string_view method, bool writers, std::string_view id) const {
  const std::size_t first = writers ? 2 : 0;
  return replicas[first]->count(method, id) + replicas[first + 1]->count(method, id);
}

const StandInReplica::Seen& Fixture::only(std::string_view method, bool writers) const {
  const StandInReplica::Seen* found = nullptr;
  for (std::size_t i = 0; i < 2; ++i) {
    for (const auto& seen : replicas[(writers ? 2 : 0) + i]->seen) {
      if (seen.method == method) found = &seen;
    }
  }
  if (found == nullptr) throw std::logic_error("no such request");
  return *found;
}

std::string facts(const std::string& id, const std::string& cls, int left_ms) {
  return "X-Correlation-Id: " + id + "\r\nX-Service-Class: " + cls +
         "\r\nX-Account: acme\r\nX-Session-Key: 7f\r\nX-Time-Left-Ms: " + std::to_string(left_ms) +
         "\r\nX-Facts: prefix=5c,prompt_len=1000,prefix_len=200,max_out=100\r\n";
}

void read_well(StandInReplica& replica, SlotId client, const StandInReplica::Seen&) {
  replica.say(client, 202, R"({"cached_tokens":0})");
}
void write_well(StandInReplica& replica, SlotId client, const StandInReplica::Seen&) {
  replica.stream(client, {"yes", "it"});
}

std::string chat_body(const std::string& model, bool stream, const std::string& text) {
  return R"({"model":")" + model + R"(","stream":)" + (stream ? "true" : "false") +
         R"(,"messages":[{"role":"system","content":"You help technicians."},{"role":"user","content":")" +
         text + R"("}]})";
}

}  // namespace dispatcher::testing
