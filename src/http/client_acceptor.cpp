// Accepting of clients, and their eviction when connections run out.
#include "http/client_acceptor.hpp"

#include <algorithm>
#include <utility>

namespace dispatcher::http {

namespace {

// Delay before accepting is retried after a failure. If the process was out of descriptors, some may be free
// again by then.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);
// The last 1/kReservedLimitDivisor of the client limit is reserved for orderly closes, which take a while.
constexpr std::size_t kReservedLimitDivisor = 8;
constexpr SlotId kNoNewcomer{};

}  // namespace

ClientAcceptor::ClientAcceptor(boost::asio::io_context& io, const net::tcp::endpoint& address,
                               ClientTable& clients, engine::TimerQueue& timers, engine::Clock clock,
                               std::size_t max_clients, DescriptorReclaimer reclaim_descriptor, Owner& owner)
    : clients_(clients),
      timers_(timers),
      clock_(std::move(clock)),
      max_clients_(max_clients),
      reclaim_descriptor_(std::move(reclaim_descriptor)),
      owner_(owner),
      listener_(io, address, *this) {}

// ---- accepting ----

void ClientAcceptor::open(net::UniqueFd listening_socket) {
  if (!listener_.adopt(std::move(listening_socket))) listener_.open();
  listener_.accept();
}

void ClientAcceptor::stop() {
  listener_.accept_pending();
  listener_.close();
}

void ClientAcceptor::on_accepted(net::tcp::socket socket) {
  const SlotId id = owner_.add_client(std::move(socket));
  enforce_limit(id);
}

// The process is most likely out of descriptors. Further clients wait in the kernel's backlog until accepting
// is retried.
void ClientAcceptor::on_accept_failed(net::error_code error) {
  const bool was_aborted_by_client = error == boost::asio::error::connection_aborted;
  if (!was_aborted_by_client && !evict_client(kNoNewcomer) && reclaim_descriptor_) reclaim_descriptor_();
  timers_.add(clock_() + kAcceptRetryDelay, [this] { listener_.accept(); });
}

// ---- the limit ----

void ClientAcceptor::set_max_clients(std::size_t max_clients) {
  max_clients_ = std::max<std::size_t>(1, max_clients);
  bool is_evicting = true;
  while (is_evicting && clients_.size() > max_clients_) is_evicting = evict_client(kNoNewcomer);
  if (clients_.size() >= max_clients_) {
    listener_.pause_accepting();
  } else if (listener_.is_open()) {
    listener_.accept();
  }
}

void ClientAcceptor::remove(SlotId id, CloseReason reason) {
  clients_.log_close(id, reason);
  if (!clients_.remove(id)) return;
  if (clients_.size() < max_clients_ && listener_.is_open()) listener_.accept();
}

void ClientAcceptor::on_client_idle() {
  if (clients_.size() >= max_clients_) enforce_limit(kNoNewcomer);
}

bool ClientAcceptor::evict_client(SlotId newcomer) {
  const SlotId candidate = clients_.find_eviction_candidate(newcomer);
  if (!candidate) return false;
  remove(candidate, CloseReason::kEvicted);
  return true;
}

// The client may have sent a request that has not arrived yet. Near the limit a connection is therefore
// closed in an orderly way; it is closed at once only when the limit is reached.
void ClientAcceptor::enforce_limit(SlotId newcomer) {
  const std::size_t count = clients_.size();
  if (count >= max_clients_) {
    if (!evict_client(newcomer)) listener_.pause_accepting();
    return;
  }
  if (count + max_clients_ / kReservedLimitDivisor < max_clients_) return;
  const SlotId candidate = clients_.find_eviction_candidate(newcomer);
  const Client* client = clients_.find(candidate);
  if (client != nullptr && clients_.is_dispensable(*client))
    owner_.begin_lingering_close(candidate, CloseReason::kEvicted);
}

}  // namespace dispatcher::http
