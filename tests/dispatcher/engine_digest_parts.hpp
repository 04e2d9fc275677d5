// The two sides of the core in the digest's world: a process with its replicas, and a front.
#ifndef DISPATCHER_TESTS_DISPATCHER_ENGINE_DIGEST_PARTS_HPP_
#define DISPATCHER_TESTS_DISPATCHER_ENGINE_DIGEST_PARTS_HPP_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "engine_digest_fixture.hpp"

namespace dispatcher::testing {

inline void add(dispatcher::routing::testing::Digest& digest, net::SlotId id) {
  digest.add(id.index, id.generation);
}
inline void add(dispatcher::routing::testing::Digest& digest, engine::AttemptId id) {
  add(digest, id.request);
  digest.add(id.number);
}
template <class T>
void add(dispatcher::routing::testing::Digest& digest, const T& value) {
  digest.add(value);
}

template <class... Arguments>
void EngineWorld::tell(const char* call, const Arguments&... arguments) {
  ++counts_[call];
  digest_.add(std::string_view(call), now_);
  (add(digest_, arguments), ...);
}

class EngineWorld::Process : public engine::UpstreamClient,
                             public engine::Engine::HotRestartObserver,
                             public engine::RequestObserver {
 public:
  Process(EngineWorld& fixture, int number, std::uint64_t seed)
      : engine(
            fixture.settings_[0], seed, *this, timers, [&fixture] { return fixture.now_; },
            [](std::string_view) {}),
        fixture_(fixture),
        number_(number) {
    engine.attach(static_cast<engine::Engine::HotRestartObserver*>(this));
    engine.attach(static_cast<engine::RequestObserver*>(this));
    engine.on_subscribe([this] { fixture_.tell("subscribe", number_); });
  }

  void send(engine::AttemptId attempt, const std::string& endpoint,
            std::shared_ptr<const engine::UpstreamRequest> message, engine::Time deadline,
            engine::Time connect_by) override {
    fixture_.tell("send", number_, attempt, endpoint, message ? message->id : "none", deadline, connect_by);
    out[attempt] = {endpoint};
  }
  bool abandon(engine::AttemptId attempt) override {
    fixture_.tell("abandon", number_, attempt);
    const auto it = out.find(attempt);
    const bool whole = it != out.end() && it->second.whole;
    out.erase(attempt);
    return whole;
  }
  void pause(engine::AttemptId attempt) override { fixture_.tell("pause", number_, attempt); }
  void resume(engine::AttemptId attempt) override { fixture_.tell("resume", number_, attempt); }
  void hold(engine::AttemptId attempt, const std::string& endpoint, const std::string& id) override {
    fixture_.tell("hold", number_, attempt, endpoint, id);
  }
  void release(const std::string& id, engine::Time until) override {
    fixture_.tell("release", number_, id, until);
    releases.push_back(id);
  }
  bool under_way(engine::AttemptId attempt) override {
    fixture_.tell("under_way", number_, attempt);
    const auto it = out.find(attempt);
    return it != out.end() && it->second.connected;
  }

  void tell_request(const std::string& id, bool open) override {
    fixture_.tell("tell_request", number_, id, open);
    fixture_.mail_.push_back([this, id, open] { other().engine.request_elsewhere(id, open); });
  }
  void tell_sent(const std::string& endpoint) override {
    fixture_.tell("tell_sent", number_, endpoint);
    fixture_.mail_.push_back([this, endpoint] { other().engine.sent_elsewhere(endpoint); });
  }
  void first_token(const std::string& request_class, bool late) override {
    fixture_.tell("first_token", number_, request_class, late);
  }
  void given_up(const std::string& request_class, bool rejected) override {
    fixture_.tell("given_up", number_, request_class, rejected);
  }

  Process& other() { return *fixture_.processes_[static_cast<std::size_t>(1 - number_)]; }

  engine::TimerQueue timers;
  engine::Engine engine;
  std::map<engine::AttemptId, Out> out;
  std::vector<std::string> releases;  // asked for, not answered yet

 private:
  EngineWorld& fixture_;
  int number_;
};

class EngineWorld::Frontend : public engine::ResponseSink {
 public:
  Frontend(EngineWorld& fixture, int number) : fixture_(fixture), number_(number) {}

  void begin(net::SlotId client) override {
    fixture_.tell("begin", number_, client);
    leave_at_times(client);
  }
  bool pass(net::SlotId client, std::string_view events) override {
    fixture_.tell("pass", number_, client, events);
    leave_at_times(client);
    return !(fixture_.client(client).paused = fixture_.dice_.one_in(5));
  }
  void finish(net::SlotId client) override { over("finish", client); }
  void cut(net::SlotId client) override { over("cut", client); }
  void reject(net::SlotId client, std::optional<engine::Duration> retry_after) override {
    over("refuse", client, retry_after);
  }
  void fail(net::SlotId client, engine::Failure why) override {
    static const char* const names[] = {"fail late", "fail upstream", "fail unusable"};
    over(names[static_cast<std::size_t>(why)], client);
  }
  bool present(net::SlotId client) override {
    fixture_.tell("present", number_, client);
    return !fixture_.client(client).left;
  }

 private:
  template <class... Arguments>
  void over(const char* call, net::SlotId client, const Arguments&... arguments) {
    fixture_.tell(call, number_, client, arguments...);
    fixture_.client(client).over = true;
  }
  // Its connection breaks just as it is written to.
  void leave_at_times(net::SlotId client) {
    if (fixture_.dice_.one_in(40) && !fixture_.client(client).over) fixture_.leave(fixture_.client(client));
  }

  EngineWorld& fixture_;
  int number_;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_DISPATCHER_ENGINE_DIGEST_PARTS_HPP_
