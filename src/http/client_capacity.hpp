// The connections and the memory that the servers of one process share.
#ifndef DISPATCHER_HTTP_CLIENT_CAPACITY_HPP_
#define DISPATCHER_HTTP_CLIENT_CAPACITY_HPP_

#include <cstddef>
#include <optional>
#include <vector>

#include "engine/timer_queue.hpp"
#include "net/slot_table.hpp"

namespace dispatcher::http {

/// In ascending order of the loss that closing a client's connection would cause.
enum class RetentionValue { kLingering, kSilent, kIdle, kPartialRequest, kRecent };

/// The limits that the servers of a process share.
struct ClientLimits {
  std::size_t max_clients = 0;     ///< open connections
  std::size_t max_answers = 0;     ///< clients that are owed an answer, or the rest of one, at once
  std::size_t max_body_bytes = 0;  ///< request bodies in memory

  /// Returns limits with as many answers as leave connections for clients that are owed none: orderly closes
  /// take a while, and a request must be read before it can be rejected.
  [[nodiscard]] static ClientLimits of(std::size_t max_clients, std::size_t max_body_bytes);
};

/// A client whose connection may be closed when connections run out.
struct EvictionCandidate {
  net::SlotId client;  ///< the handle in its server's table
  RetentionValue value{};
  engine::Time since{};  ///< since when the client is in its state
  /// Whether the connection may also be closed before connections run out, because it carries no request.
  bool is_dispensable = false;
};

/// Divides the connections and the body memory of a process between its servers as they need them. Each
/// server may use what the others leave, but for a small part that is reserved for each of them. Used on the
/// event loop thread only. The servers and their owner share it.
class ClientCapacity {
 public:
  /// A server that shares the capacity. It must remove itself before it is destroyed.
  class Server {
   public:
    virtual ~Server() = default;
    /// Returns the number of connected clients, including lingering ones.
    [[nodiscard]] virtual std::size_t client_count() const = 0;
    /// Returns the number of clients that are owed an answer or the rest of one.
    [[nodiscard]] virtual std::size_t answering_count() const = 0;
    /// Returns the client whose connection is of least value, other than `newcomer`; nullopt if none may be
    /// closed.
    [[nodiscard]] virtual std::optional<EvictionCandidate> eviction_candidate(net::SlotId newcomer) = 0;
    /// Closes the connection of a candidate at once.
    virtual void evict(net::SlotId client) = 0;
    /// Closes the connection of a dispensable candidate in an orderly way.
    virtual void close_gracefully(net::SlotId client) = 0;
    /// Accepts clients again, after they had to wait for a connection.
    virtual void resume_accepting() = 0;
  };

  explicit ClientCapacity(const ClientLimits& limits) : limits_(limits) {}
  ClientCapacity(const ClientCapacity&) = delete;
  ClientCapacity& operator=(const ClientCapacity&) = delete;

  void add(Server& server) { servers_.push_back(&server); }
  void remove(Server& server) { std::erase(servers_, &server); }

  /// Changes the limits. Clients above the new maximum are evicted as far as possible.
  void set_limits(const ClientLimits& limits);
  /// Must be called when `server` has accepted `newcomer`. Evicts another client if connections run out.
  /// Returns false if no further client can be accepted: all of them are owed an answer.
  [[nodiscard]] bool on_client_accepted(const Server& server, net::SlotId newcomer);
  /// Must be called when a client has been removed: clients that wait for a connection are accepted then.
  void on_client_freed();
  /// Returns whether a request of the server's may be answered by its handler. If not, it must be rejected at
  /// once: without connections to spare, the requests behind it would wait without an answer.
  [[nodiscard]] bool may_answer(const Server& server) const;
  /// Evicts the client of least value other than `newcomer`, a client of `server`. Returns false if no client
  /// may be evicted.
  [[nodiscard]] bool evict_one(const Server& server, net::SlotId newcomer) {
    return evict_candidate(Newcomer{&server, newcomer});
  }
  [[nodiscard]] bool is_full() const { return client_count() >= limits_.max_clients; }

  /// Replaces a reservation of memory for a request's body. Returns false if `bytes` is above 0 and all
  /// reservations together exceed the limit. It counts until it is replaced even then.
  [[nodiscard]] bool reserve_body_bytes(std::size_t& reservation, std::size_t bytes);

 private:
  /// A client that was just accepted and must not be chosen.
  struct Newcomer {
    const Server* server = nullptr;
    net::SlotId client;
  };
  /// An eviction candidate and its server.
  struct Choice {
    Server* server = nullptr;
    EvictionCandidate candidate;
  };
  [[nodiscard]] std::size_t client_count() const;
  [[nodiscard]] std::optional<Choice> choose(const std::optional<Newcomer>& newcomer) const;
  [[nodiscard]] bool evict_candidate(const std::optional<Newcomer>& newcomer);

  std::vector<Server*> servers_;
  ClientLimits limits_;
  std::size_t reserved_body_bytes_ = 0;  // sum over all clients of all servers
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_CLIENT_CAPACITY_HPP_
