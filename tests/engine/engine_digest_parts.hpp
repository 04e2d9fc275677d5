// The engine's surroundings in the digest test: a process with its endpoints, and a frontend. The names that
// they record are part of the hash and must not change when a function is renamed.
#ifndef DISPATCHER_TESTS_ENGINE_ENGINE_DIGEST_PARTS_HPP_
#define DISPATCHER_TESTS_ENGINE_ENGINE_DIGEST_PARTS_HPP_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "engine_digest_fixture.hpp"

namespace dispatcher::testing {

inline void add(routing::testing::Digest& digest, net::SlotId id) { digest.add(id.index, id.generation); }
inline void add(routing::testing::Digest& digest, engine::AttemptId id) {
  add(digest, id.request);
  digest.add(id.number);
}
template <class T>
void add(routing::testing::Digest& digest, const T& value) {
  digest.add(value);
}

template <class... Arguments>
void EngineScript::record(const char* call, const Arguments&... arguments) {
  ++counts_[call];
  digest_.add(std::string_view(call), now_);
  (add(digest_, arguments), ...);
}

// One of the two processes: its engine, and the upstream client and observers that record the engine's calls.
class EngineScript::Process : public engine::UpstreamClient,
                              public engine::HotRestartObserver,
                              public engine::RequestObserver {
 public:
  Process(EngineScript& fixture, int number, std::uint64_t seed)
      : engine(
            fixture.settings_[0], seed, *this, timers, [&fixture] { return fixture.now_; },
            [](std::string_view) {}),
        fixture_(fixture),
        number_(number) {
    engine.set_hot_restart_observer(static_cast<engine::HotRestartObserver*>(this));
    engine.set_request_observer(static_cast<engine::RequestObserver*>(this));
    engine.set_subscribe_callback([this] { fixture_.record("subscribe", number_); });
  }

  void start_attempt(engine::AttemptId attempt, const engine::EndpointId& endpoint,
                     std::shared_ptr<const engine::UpstreamRequest> message, engine::Time deadline,
                     engine::Time connect_by) override {
    fixture_.record("send", number_, attempt, endpoint, message ? message->id : "none", deadline, connect_by);
    attempts[attempt] = {endpoint};
  }
  bool cancel_attempt(engine::AttemptId attempt) override {
    fixture_.record("abandon", number_, attempt);
    const auto it = attempts.find(attempt);
    const bool is_delivered = it != attempts.end() && it->second.is_delivered;
    attempts.erase(attempt);
    return is_delivered;
  }
  void pause_reading(engine::AttemptId attempt) override { fixture_.record("pause", number_, attempt); }
  void resume_reading(engine::AttemptId attempt) override { fixture_.record("resume", number_, attempt); }
  void reserve_slot(engine::AttemptId attempt, const engine::EndpointId& endpoint,
                    const engine::RequestId& id) override {
    fixture_.record("hold", number_, attempt, endpoint, id);
  }
  bool is_endpoint_silent(engine::AttemptId attempt) override {
    const auto it = attempts.find(attempt);
    return it != attempts.end() && it->second.is_connected && !it->second.has_started;
  }
  void release_reservation(const engine::RequestId& id, const engine::LateReads& late_reads) override {
    fixture_.record("release", number_, id, late_reads.until, late_reads.silent_until);
    releases.push_back(id);
  }
  void cancel_release(const engine::RequestId& id) override {
    fixture_.record("cancel_release", number_, id);
  }
  bool has_unread_response(engine::AttemptId) override { return false; }
  bool has_connection(engine::AttemptId attempt) override {
    fixture_.record("under_way", number_, attempt);
    const auto it = attempts.find(attempt);
    return it != attempts.end() && it->second.is_connected;
  }

  void on_request_progress(const engine::RequestId& id, engine::RequestProgress progress) override {
    const bool open = progress == engine::RequestProgress::kInProgress;
    fixture_.record("tell_request", number_, id, open);
    fixture_.peer_messages_.push_back(
        [this, id, progress] { other().engine.on_peer_request_progress(id, progress); });
  }
  void on_attempt_started(const engine::EndpointId& endpoint) override {
    fixture_.record("tell_sent", number_, endpoint);
    fixture_.peer_messages_.push_back([this, endpoint] { other().engine.on_peer_attempt_started(endpoint); });
  }
  void on_first_token(const std::string& request_class, engine::FirstTokenTiming timing) override {
    const bool is_late = timing == engine::FirstTokenTiming::kLate;
    fixture_.record("first_token", number_, request_class, is_late);
  }
  void on_request_not_served(const std::string& request_class, engine::NotServedReason reason) override {
    const bool rejected = reason == engine::NotServedReason::kRejected;
    fixture_.record("given_up", number_, request_class, rejected);
  }

  Process& other() { return *fixture_.processes_[static_cast<std::size_t>(1 - number_)]; }

  engine::TimerQueue timers;
  engine::Engine engine;
  std::map<engine::AttemptId, ActiveAttempt> attempts;
  std::vector<engine::RequestId> releases;  // requested, not confirmed yet

 private:
  EngineScript& fixture_;
  int number_;
};

// Records the calls for its clients, which sometimes disconnect while they are being written to.
class EngineScript::Frontend : public engine::ResponseSink {
 public:
  Frontend(EngineScript& fixture, int number) : fixture_(fixture), number_(number) {}

  void start_stream(net::SlotId client) override {
    fixture_.record("begin", number_, client);
    maybe_disconnect(client);
  }
  bool write_events(net::SlotId client, std::string_view events) override {
    fixture_.record("pass", number_, client, events);
    maybe_disconnect(client);
    const bool is_paused = fixture_.dice_.one_in(5);
    fixture_.client(client).is_paused = is_paused;
    return !is_paused;
  }
  void finish_stream(net::SlotId client) override { answer("finish", client); }
  void abort_stream(net::SlotId client) override { answer("cut", client); }
  void reject(net::SlotId client, std::optional<engine::Duration> retry_after) override {
    answer("refuse", client, retry_after);
  }
  void fail(net::SlotId client, engine::Failure failure) override {
    static const char* const names[] = {"fail late", "fail upstream", "fail unusable"};
    answer(names[static_cast<std::size_t>(failure)], client);
  }
  bool is_client_connected(net::SlotId client) override {
    fixture_.record("present", number_, client);
    return !fixture_.client(client).has_disconnected;
  }

 private:
  template <class... Arguments>
  void answer(const char* call, net::SlotId client, const Arguments&... arguments) {
    fixture_.record(call, number_, client, arguments...);
    fixture_.client(client).is_over = true;
  }
  // Breaks the client's connection at random, as if while it is being written to.
  void maybe_disconnect(net::SlotId client) {
    if (fixture_.dice_.one_in(40) && !fixture_.client(client).is_over)
      fixture_.disconnect(fixture_.client(client));
  }

  EngineScript& fixture_;
  int number_;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_ENGINE_ENGINE_DIGEST_PARTS_HPP_
