// Deadlines, body memory and the selection of clients to evict.
#include "http/client_table.hpp"

#include <optional>
#include <string>
#include <utility>

namespace dispatcher::http {

namespace {
// A client that connected less than this ago may have a request that is still on its way.
constexpr Duration kRequestGrace = std::chrono::milliseconds(250);
}  // namespace

ClientTable::ClientTable(engine::TimerQueue& timers, engine::Clock clock, ClientCapacity& capacity,
                         DeadlineHandler on_deadline)
    : timers_(timers), clock_(std::move(clock)), capacity_(capacity), on_deadline_(std::move(on_deadline)) {}

SlotId ClientTable::add(std::shared_ptr<net::Connection> connection) {
  const SlotId id = clients_.emplace();
  clients_.find(id)->connection = std::move(connection);
  return id;
}

bool ClientTable::remove(SlotId id) {
  Client* client = clients_.find(id);
  if (client == nullptr) return false;
  cancel_deadline(*client);
  release_body_bytes(*client);
  client->connection->close();
  clients_.erase(id);
  return true;
}

void ClientTable::log_close(SlotId id, CloseReason reason) {
  Client* client = clients_.find(id);
  if (!log_ || client == nullptr || client->state == ClientState::kLingering) return;
  std::string text = "client " + std::to_string(id.index) + "." + std::to_string(id.generation) +
                     " closed reason=" + std::string(name_of(reason));
  const bool is_answering = client->state == ClientState::kAnswering;
  const std::string_view request =
      is_answering ? header(client->reader.message(), "X-Correlation-Id") : std::string_view();
  if (!request.empty()) text.append(" request=").append(request);
  log_(text);
}

void ClientTable::set_deadline(SlotId id, Duration timeout) {
  Client& client = *clients_.find(id);
  cancel_deadline(client);
  client.deadline = timers_.add(clock_() + timeout, [this, id] {
    Client* late_client = clients_.find(id);
    if (late_client == nullptr) return;
    late_client->deadline = {};
    on_deadline_(id, *late_client);
  });
}

bool ClientTable::reserve_body_bytes(Client& client, std::size_t bytes) {
  return capacity_.reserve_body_bytes(client.reserved_body_bytes, bytes);
}

void ClientTable::release_body_bytes(Client& client) {
  static_cast<void>(capacity_.reserve_body_bytes(client.reserved_body_bytes, 0));
}

bool ClientTable::is_recent(const Client& client) const {
  return clock_() < client.state_since + kRequestGrace;
}

RetentionValue ClientTable::retention_value(const Client& client) const {
  if (client.state == ClientState::kLingering) return RetentionValue::kLingering;
  if (client.has_received_data && !client.reader.has_started()) return RetentionValue::kIdle;
  if (is_recent(client)) return RetentionValue::kRecent;
  return client.has_received_data ? RetentionValue::kPartialRequest : RetentionValue::kSilent;
}

std::size_t ClientTable::answering_count() const {
  return clients_.count_if([](const Client& client) { return client.state == ClientState::kAnswering; });
}

std::optional<EvictionCandidate> ClientTable::find_eviction_candidate(SlotId newcomer) {
  std::optional<EvictionCandidate> candidate;
  for (const SlotId id : clients_.ids()) {
    const Client& client = *clients_.find(id);
    if (id == newcomer || client.state == ClientState::kAnswering) continue;
    if (!client.connection->output().empty()) continue;
    const RetentionValue value = retention_value(client);
    if (candidate && std::pair(value, client.state_since) >= std::pair(candidate->value, candidate->since))
      continue;
    const bool is_reading = client.state == ClientState::kReading;
    if (is_reading && (client.connection->is_readable() || client.has_waiting_request())) continue;
    const bool is_dispensable = is_reading && value <= RetentionValue::kIdle;
    candidate = EvictionCandidate{id, value, client.state_since, is_dispensable};
  }
  return candidate;
}

}  // namespace dispatcher::http
