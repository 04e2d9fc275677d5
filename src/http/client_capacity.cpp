// The division of connections between servers.
#include "http/client_capacity.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::http {

namespace {

// The last 1/kReserveDivisor of the connections is reserved for clients that are owed no answer.
constexpr std::size_t kReserveDivisor = 8;
// 1/kShareDivisor of the answers is reserved for each server, however many the others have in progress.
constexpr std::size_t kShareDivisor = 8;

std::size_t reserve_of(std::size_t max_clients) { return max_clients / kReserveDivisor; }

}  // namespace

ClientLimits ClientLimits::of(std::size_t max_clients, std::size_t max_body_bytes) {
  const std::size_t connections = std::max<std::size_t>(1, max_clients);
  return {connections, connections - reserve_of(connections), max_body_bytes};
}

std::size_t ClientCapacity::client_count() const {
  std::size_t count = 0;
  for (const Server* server : servers_) count += server->client_count();
  return count;
}

void ClientCapacity::set_limits(const ClientLimits& limits) {
  limits_ = limits;
  bool is_evicting = true;
  while (is_evicting && client_count() > limits_.max_clients) is_evicting = evict_candidate(std::nullopt);
  on_client_freed();
}

// A client may have sent a request that has not arrived yet. Near the limit a connection is therefore closed
// in an orderly way; it is closed at once only when the limit is reached.
bool ClientCapacity::on_client_accepted(const Server& server, net::SlotId newcomer) {
  const std::size_t count = client_count();
  if (count >= limits_.max_clients) return evict_one(server, newcomer);
  if (count + reserve_of(limits_.max_clients) < limits_.max_clients) return true;
  const std::optional<Choice> choice = choose(Newcomer{&server, newcomer});
  if (choice && choice->candidate.is_dispensable) choice->server->close_gracefully(choice->candidate.client);
  return true;
}

void ClientCapacity::on_client_freed() {
  for (Server* server : servers_) {
    if (!is_full()) server->resume_accepting();
  }
}

bool ClientCapacity::may_answer(const Server& server) const {
  const std::size_t share = limits_.max_answers / kShareDivisor;
  const bool is_lightly_used = client_count() + share * servers_.size() < limits_.max_answers;
  if (is_lightly_used) return true;  // most calls end here, without a look at each client
  std::size_t used_by_others = 0;
  for (const Server* other : servers_) {
    if (other != &server) used_by_others += std::max(share, other->answering_count());
  }
  return server.answering_count() + used_by_others < limits_.max_answers;
}

bool ClientCapacity::reserve_body_bytes(std::size_t& reservation, std::size_t bytes) {
  reserved_body_bytes_ += bytes - reservation;
  reservation = bytes;
  return bytes == 0 || reserved_body_bytes_ <= limits_.max_body_bytes;
}

std::optional<ClientCapacity::Choice> ClientCapacity::choose(const std::optional<Newcomer>& newcomer) const {
  const auto rank_of = [](const EvictionCandidate& candidate) {
    return std::pair(candidate.value, candidate.since);
  };
  std::optional<Choice> choice;
  for (Server* server : servers_) {
    const bool has_newcomer = newcomer && newcomer->server == server;
    const net::SlotId excluded = has_newcomer ? newcomer->client : net::SlotId{};
    const std::optional<EvictionCandidate> candidate = server->eviction_candidate(excluded);
    if (!candidate) continue;
    if (!choice || rank_of(*candidate) < rank_of(choice->candidate)) choice = Choice{server, *candidate};
  }
  return choice;
}

bool ClientCapacity::evict_candidate(const std::optional<Newcomer>& newcomer) {
  const std::optional<Choice> choice = choose(newcomer);
  if (choice) choice->server->evict(choice->candidate.client);
  return choice.has_value();
}

}  // namespace dispatcher::http
