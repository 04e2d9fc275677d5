// Accepting of clients while there are connections for them.
#include "http/client_acceptor.hpp"

#include <utility>

namespace dispatcher::http {

namespace {

// Delay before accepting is retried after a failure. If the process was out of descriptors, some may be free
// again by then.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr SlotId kNoNewcomer{};

}  // namespace

ClientAcceptor::ClientAcceptor(boost::asio::io_context& io, const net::tcp::endpoint& address,
                               ClientTable& clients, ClientCapacity& capacity, engine::TimerQueue& timers,
                               engine::Clock clock, DescriptorReclaimer reclaim_descriptor, Owner& owner)
    : clients_(clients),
      capacity_(capacity),
      timers_(timers),
      clock_(std::move(clock)),
      reclaim_descriptor_(std::move(reclaim_descriptor)),
      owner_(owner),
      listener_(io, address, *this) {
  capacity_.add(*this);
}

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
  if (!capacity_.on_client_accepted(*this, id)) listener_.pause_accepting();
}

// The process is most likely out of descriptors. Further clients wait in the kernel's backlog until accepting
// is retried.
void ClientAcceptor::on_accept_failed(net::error_code error) {
  const bool was_aborted_by_client = error == boost::asio::error::connection_aborted;
  if (!was_aborted_by_client && !capacity_.evict_one(*this, kNoNewcomer) && reclaim_descriptor_)
    reclaim_descriptor_();
  timers_.add(clock_() + kAcceptRetryDelay, [this] { listener_.accept(); });
}

void ClientAcceptor::resume_accepting() {
  if (listener_.is_open()) listener_.accept();
}

// ---- clients ----

void ClientAcceptor::remove(SlotId id, CloseReason reason) {
  clients_.log_close(id, reason);
  if (clients_.remove(id)) capacity_.on_client_freed();
}

void ClientAcceptor::on_client_idle() {
  if (capacity_.is_full()) static_cast<void>(capacity_.evict_one(*this, kNoNewcomer));
}

}  // namespace dispatcher::http
