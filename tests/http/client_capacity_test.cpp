// Tests how the servers of a process share its connections, without sockets.
#include "http/client_capacity.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace dispatcher::testing {
namespace {

using http::ClientCapacity;
using http::ClientLimits;
using http::EvictionCandidate;
using http::RetentionValue;

constexpr std::size_t kMaxClients = 64;
constexpr ClientLimits kLimits{kMaxClients, 56, 1000};

// A server that is only numbers: clients that are being answered, and others that may be evicted.
class CountingServer : public ClientCapacity::Server {
 public:
  explicit CountingServer(ClientCapacity& capacity) : capacity_(capacity) { capacity_.add(*this); }
  ~CountingServer() override { capacity_.remove(*this); }
  CountingServer(const CountingServer&) = delete;
  CountingServer& operator=(const CountingServer&) = delete;

  [[nodiscard]] std::size_t client_count() const override { return answering + idle.size(); }
  [[nodiscard]] std::size_t answering_count() const override { return answering; }
  [[nodiscard]] std::optional<EvictionCandidate> eviction_candidate(net::SlotId newcomer) override {
    std::optional<EvictionCandidate> chosen;
    for (const EvictionCandidate& candidate : idle) {
      if (candidate.client == newcomer) continue;
      const bool is_first = !chosen;
      if (is_first || std::pair(candidate.value, candidate.since) < std::pair(chosen->value, chosen->since))
        chosen = candidate;
    }
    return chosen;
  }
  void evict(net::SlotId client) override { erase(client); }
  void close_gracefully(net::SlotId client) override {
    erase(client);
    ++graceful_closes;
  }
  void resume_accepting() override { ++resumes; }

  // Starts answers until one may not be answered. Returns their number.
  std::size_t answer_all() {
    while (capacity_.may_answer(*this)) ++answering;
    return answering;
  }
  // Adds a client that may be evicted.
  net::SlotId add(RetentionValue value, int since_s) {
    const net::SlotId id{++last_index_, 1};
    idle.push_back({id, value, std::chrono::seconds(since_s), value <= RetentionValue::kIdle});
    return id;
  }

  std::size_t answering = 0;
  std::vector<EvictionCandidate> idle;
  int graceful_closes = 0;
  int resumes = 0;

 private:
  void erase(net::SlotId client) {
    std::erase_if(idle, [&](const EvictionCandidate& candidate) { return candidate.client == client; });
  }
  ClientCapacity& capacity_;
  std::uint32_t last_index_ = 0;
};

TEST_CASE("a server may give all answers but those reserved for the other one", "[http][capacity]") {
  ClientCapacity capacity(kLimits);
  CountingServer first(capacity);
  CHECK(first.answer_all() == kLimits.max_answers);  // it is alone
  first.answering = 0;
  CountingServer second(capacity);
  const std::size_t share = kLimits.max_answers / 8;
  CHECK(first.answer_all() == kLimits.max_answers - share);
  CHECK(second.answer_all() == share);
  first.answering = 10;
  CHECK(second.answer_all() == kLimits.max_answers - 10);
}

// Guards against a limit that underflows where it is lowered below what is in use.
TEST_CASE("no further request is answered while more than the limit are", "[http][capacity]") {
  ClientCapacity capacity(kLimits);
  CountingServer first(capacity);
  CountingServer second(capacity);
  first.answering = 30;
  second.answering = 20;
  capacity.set_limits(ClientLimits::of(kMaxClients / 2, 1000));
  CHECK_FALSE(capacity.may_answer(first));
  CHECK_FALSE(capacity.may_answer(second));
}

TEST_CASE("at the limit the client of least value is evicted, whichever server it is connected to",
          "[http][capacity]") {
  ClientCapacity capacity(kLimits);
  CountingServer first(capacity);
  CountingServer second(capacity);
  first.answering = kMaxClients - 4;
  first.add(RetentionValue::kRecent, 1);
  second.add(RetentionValue::kIdle, 5);
  second.add(RetentionValue::kIdle, 3);
  const net::SlotId newcomer = first.add(RetentionValue::kSilent, 9);
  CHECK(capacity.on_client_accepted(first, newcomer));
  CHECK(second.idle.size() == 1);
  CHECK(second.idle[0].since == std::chrono::seconds(5));  // the one that was idle for longer is gone
  first.answering += 1;
  CHECK(capacity.on_client_accepted(first, newcomer));
  CHECK(second.idle.empty());
  first.answering += 1;
  CHECK(capacity.on_client_accepted(first, newcomer));
  CHECK(first.idle.size() == 1);
  first.answering += 1;
  CHECK_FALSE(capacity.on_client_accepted(first, newcomer));  // nobody but the newcomer is left
}

TEST_CASE("near the limit a dispensable client is closed in an orderly way", "[http][capacity]") {
  ClientCapacity capacity(kLimits);
  CountingServer first(capacity);
  CountingServer second(capacity);
  second.add(RetentionValue::kIdle, 1);
  first.answering = kMaxClients / 2;
  CHECK(capacity.on_client_accepted(first, {}));
  CHECK(second.graceful_closes == 0);
  first.answering = kMaxClients - 8;
  CHECK(capacity.on_client_accepted(first, {}));
  CHECK(second.graceful_closes == 1);
}

TEST_CASE("every server accepts again once a client of any of them is gone", "[http][capacity]") {
  ClientCapacity capacity(kLimits);
  CountingServer first(capacity);
  CountingServer second(capacity);
  first.answering = kMaxClients;
  capacity.on_client_freed();
  CHECK(second.resumes == 0);  // there is still no connection to spare
  --first.answering;
  capacity.on_client_freed();
  CHECK(first.resumes == 1);
  CHECK(second.resumes == 1);
}

TEST_CASE("lower limits evict clients of all servers", "[http][capacity]") {
  ClientCapacity capacity(kLimits);
  CountingServer first(capacity);
  CountingServer second(capacity);
  for (int i = 0; i < 10; ++i) {
    first.add(RetentionValue::kIdle, i);
    second.add(RetentionValue::kIdle, i);
  }
  capacity.set_limits(ClientLimits::of(8, 1000));
  CHECK(first.idle.size() + second.idle.size() == 8);
}

TEST_CASE("the memory of request bodies is shared by all servers", "[http][capacity]") {
  ClientCapacity capacity(kLimits);
  std::size_t first = 0;
  std::size_t second = 0;
  CHECK(capacity.reserve_body_bytes(first, 900));
  CHECK_FALSE(capacity.reserve_body_bytes(second, 101));  // counts nevertheless
  CHECK(capacity.reserve_body_bytes(second, 0));
  CHECK(capacity.reserve_body_bytes(second, 100));
  CHECK(capacity.reserve_body_bytes(first, 0));
  CHECK(capacity.reserve_body_bytes(second, 1000));
}

}  // namespace
}  // namespace dispatcher::testing
