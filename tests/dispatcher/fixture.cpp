// The fake clients and replicas, and the fixture that connects them to a dispatcher.
#include "fixture.hpp"

#include <sys/socket.h>

#include <algorithm>

#include "../base_settings.hpp"

namespace dispatcher::testing {

using routing::EndpointState;
using routing::Idempotency;

routing::Settings make_settings() {
  routing::RequestClass ask;
  ask.name = "ask";
  ask.idempotency = Idempotency::kIdempotent;
  ask.latency_objective = milliseconds(1200);
  ask.deadline = seconds(6);
  routing::RequestClass command = ask;
  command.name = "command";
  command.idempotency = Idempotency::kNonIdempotent;
  command.deadline = seconds(3);
  routing::Settings settings = routing::testing::base_settings(
      "here", {ask, command}, {{"reader", Role::kReader, 200000}, {"writer", Role::kWriter, 100000}});
  settings.router_count = 1;
  settings.tenants = {{"acme", 1000}};
  settings.connect_timeout = milliseconds(250);
  settings.idle_timeout = seconds(15);
  return settings;
}

routing::EndpointInfo make_endpoint(const std::string& name, EndpointState state) {
  return {name, "here", name[0] == 'r' ? "reader" : "writer", 0, state, 1, {}};
}

void FakeReplica::on_request(SlotId client, http::Server::Request& request, engine::Time) {
  ReceivedRequest current{std::string(http::to_view(request.method_string())),
                          std::string(http::to_view(request.target())),
                          std::string(http::header(request, "X-Correlation-Id")), request.body(), request};
  const std::string time_left(http::header(request, "X-Time-Left-Ms"));
  if (!time_left.empty()) current.time_left = milliseconds(std::stoll(time_left));
  received.push_back(current);
  if (current.method == "DELETE") return server.respond(client, 204, {}, {});
  pending_clients.push_back(client);
  behavior_(*this, client, current);
}

void FakeReplica::stream_words(SlotId client, const std::vector<std::string>& words, StreamEnd end) {
  server.begin_stream(client);
  for (const std::string& word : words) {
    server.write_events(client, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + word +
                                    "\"},\"finish_reason\":null}]}\n\n");
  }
  if (end == StreamEnd::kOpen) return;
  server.write_events(client,
                      "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
                      "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2}}\n\n"
                      "data: [DONE]\n\n: X-Backend-Load: {\"x0\":0.25,\"x1\":1.5}\n\n");
  server.end_response(client);
}

int FakeReplica::count(std::string_view method, std::string_view id) const {
  return static_cast<int>(
      std::count_if(received.begin(), received.end(), [&](const ReceivedRequest& request) {
        return request.method == method && (id.empty() || request.id == id || request.target.ends_with(id));
      }));
}

RawBytesReplica::~RawBytesReplica() {
  for (const SlotId id : peers_.ids()) peers_.find(id)->connection->close();
}

void RawBytesReplica::on_accepted(net::tcp::socket socket) {
  const SlotId id = peers_.emplace();
  Peer& peer = *peers_.find(id);
  peer.connection = std::make_shared<net::Connection>(std::move(socket), 1U << 20U, 1U << 20U);
  peer.connection->set_owner(*this, id);
  peer.connection->read();
}

void RawBytesReplica::send_more() {
  for (const SlotId id : peers_.ids()) peers_.find(id)->connection->write(more_);
}

void RawBytesReplica::on_data(SlotId id) {
  Peer& peer = *peers_.find(id);
  if (peer.reader.read(peer.connection->input()) != http::ReadStatus::kComplete) return;
  peer.reader.reset();
  ++requests;
  peer.connection->write(bytes_);
}

void FakeClient::post(const std::string& more, const std::string& text, const std::string& path) {
  send("POST " + path + " HTTP/1.1\r\nHost: x\r\n" + more + "Content-Length: " + std::to_string(text.size()) +
       "\r\n\r\n" + text);
}

void FakeClient::reset() {
  const linger at_once{1, 0};
  ::setsockopt(connection_->duplicate_socket().get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  connection_->close();
}

void FakeClient::on_connected(SlotId, net::error_code error) {
  if (error) {
    is_closed = true;
    return;
  }
  is_connected_ = true;
  connection_->write(std::exchange(unsent_, {}));
  if (!is_reading_paused_) connection_->read();
}

void FakeClient::on_data(SlotId) {
  while (!connection_->input().empty()) {
    const http::ReadStatus status_of_read = reader_.read(connection_->input());
    if (reader_.is_head_complete()) {
      status = static_cast<int>(reader_.message().result_int());
      for (const auto& field : reader_.message())
        headers[std::string(field.name_string())] = std::string(field.value());
      body += reader_.take_body();
    }
    if (status_of_read != http::ReadStatus::kComplete) return;
    is_complete = true;
    reader_.reset();
  }
}

Fixture::Fixture(const Behavior& reader_behavior, const Behavior& writer_behavior,
                 const std::string& chat_config)
    : pool(io, timers, clock(), [this](std::string_view entry) { logs.emplace_back(entry); },
           {settings.connect_timeout, settings.idle_timeout, milliseconds(100), 4, 8, 64}),
      engine(std::make_shared<const routing::Settings>(settings), 7, pool, timers, clock(),
             [this](std::string_view entry) { logs.emplace_back(entry); }),
      platform(frontend_context(), loopback(), std::make_shared<const routing::Settings>(settings)) {
  pool.attach(engine);
  routing::EndpointList list{routing::ListKind::kFull, {}};
  std::vector<upstream::EndpointAddress> addresses;
  for (const std::string name : {"r1", "r2", "w1", "w2"}) {
    const bool is_reader = name[0] == 'r';
    replicas.push_back(std::make_unique<FakeReplica>(*this, is_reader ? reader_behavior : writer_behavior));
    list.entries.push_back(make_endpoint(name));
    addresses.push_back({name, replicas.back()->server.local(), true});
  }
  pool.update_endpoints(addresses, true);
  engine.update_endpoints(list);
  platform.server().open();
  if (chat_config.empty()) return;
  chat = std::make_unique<openai_api::Frontend>(
      frontend_context(), *openai_api::parse_config({"chat.json", chat_config}, settings), 7);
  chat->server().open();
}

std::unique_ptr<FakeClient> Fixture::post(const std::string& id, const std::string& request_class) {
  auto client = platform_client();
  client->post(platform_headers(id, request_class), kPlatformBody);
  return client;
}

namespace {
// Where a role's two replicas begin in Fixture::replicas.
std::size_t first_of(Role role) { return role == Role::kReader ? 0 : Fixture::kFirstWriter; }
}  // namespace

int Fixture::request_count(std::string_view method, Role role, std::string_view id) const {
  const std::size_t first = first_of(role);
  return replicas[first]->count(method, id) + replicas[first + 1]->count(method, id);
}

const FakeReplica::ReceivedRequest& Fixture::only_request(std::string_view method, Role role) const {
  const FakeReplica::ReceivedRequest* found = nullptr;
  for (std::size_t i = 0; i < 2; ++i) {
    for (const auto& request : replicas[first_of(role) + i]->received) {
      if (request.method == method) found = &request;
    }
  }
  if (found == nullptr) throw std::logic_error("no such request");
  return *found;
}

std::string platform_headers(const std::string& id, const std::string& request_class, int time_left_ms) {
  return "X-Correlation-Id: " + id + "\r\nX-Service-Class: " + request_class +
         "\r\nX-Account: acme\r\nX-Session-Key: 7f\r\nX-Time-Left-Ms: " + std::to_string(time_left_ms) +
         "\r\nX-Facts: prefix=5c,prompt_len=1000,prefix_len=200,max_out=100\r\n";
}

void healthy_reader(FakeReplica& replica, SlotId client, const FakeReplica::ReceivedRequest&) {
  replica.respond(client, 202, R"({"cached_tokens":0})");
}
void healthy_writer(FakeReplica& replica, SlotId client, const FakeReplica::ReceivedRequest&) {
  replica.stream_words(client, {"yes", "it"});
}

void silent_replica(FakeReplica&, SlotId, const FakeReplica::ReceivedRequest&) {}

std::string chat_body(const std::string& model, ResponseMode mode, const std::string& text) {
  const std::string is_stream = mode == ResponseMode::kStream ? "true" : "false";
  return R"({"model":")" + model + R"(","stream":)" + is_stream +
         R"(,"messages":[{"role":"system","content":"You help technicians."},{"role":"user","content":")" +
         text + R"("}]})";
}

}  // namespace dispatcher::testing
