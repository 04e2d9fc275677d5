// Runs two engines, as the two processes of one dispatcher's hot restart, between frontends and endpoints
// that only record their calls. Every call goes into a digest, with its arguments and the time. A seeded
// script drives both engines; time is simulated.
#ifndef DISPATCHER_TESTS_ENGINE_ENGINE_DIGEST_FIXTURE_HPP_
#define DISPATCHER_TESTS_ENGINE_ENGINE_DIGEST_FIXTURE_HPP_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "engine/engine.hpp"
#include "tests/fixtures/digest.hpp"
#include "tests/fixtures/settings_draw.hpp"

namespace dispatcher::testing {

// Numbers of the engines' calls and of the script's steps, by name.
using Counts = std::map<std::string, int>;

// One run of random settings, requests and faults.
class EngineScript {
 public:
  EngineScript(std::uint64_t seed, routing::testing::Digest& digest, Counts& counts);
  ~EngineScript();
  void run(int steps);
  // Disconnects all clients and ends all attempts. Returns whether the engines have nothing left.
  bool finish();

 private:
  struct ActiveAttempt {
    engine::EndpointId endpoint;
    bool is_connected = false;
    bool is_delivered = false;  // the complete request has reached the endpoint
    bool has_started = false;   // the response has started
  };
  class Process;
  class Frontend;
  struct Client {
    Process* at = nullptr;  // the process that has the client's request
    net::SlotId request;
    std::string id;
    bool is_over = false, has_disconnected = false, is_paused = false;
  };

  template <class... Arguments>
  void record(const char* call, const Arguments&... arguments);
  void count(const char* event) { ++counts_[event]; }
  [[nodiscard]] const routing::Settings& settings() const { return *settings_[current_]; }
  Client& client(net::SlotId id) { return clients_.at(id.index); }
  Client* pick_client(bool (*matches)(const Client&));
  Process& pick_process();
  [[nodiscard]] bool is_reader(const engine::EndpointId& endpoint) const;

  void step(int kind);
  void submit();
  routing::Request draw_request(const std::string& id);
  void progress();
  void connect(Process& process, engine::AttemptId attempt, ActiveAttempt& active);
  void fail_attempt();
  engine::AttemptResult draw_result(routing::AttemptStatus status);
  void end(Process& process, engine::AttemptId attempt, const engine::AttemptResult& result);
  void disconnect();
  void disconnect(Client& client);
  void change_endpoints();
  void rename_replacement(routing::EndpointInfo& endpoint);
  void send_list(routing::ListKind kind, std::vector<routing::EndpointInfo> entries);
  void change_administrative_drain();
  void change_settings();
  void report_reservation();
  void confirm_release();
  void resume();
  void hand_over_streams();
  void exchange_peer_state();
  void report_stale_events();
  void advance(engine::Duration time);
  void delay_timers();
  void deliver_peer_messages();
  void record_counts();

  routing::testing::Digest& digest_;
  Counts& counts_;
  routing::testing::Dice dice_;
  engine::Time now_ = std::chrono::seconds(1'800'000'000);
  std::vector<engine::SettingsSnapshot> settings_;
  std::size_t current_ = 0;
  std::map<engine::EndpointId, routing::EndpointInfo> endpoints_;
  std::vector<std::unique_ptr<Frontend>> frontends_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::uint32_t, Client> clients_;
  std::deque<std::function<void()>> peer_messages_;  // in transit from one process to the other
  std::uint32_t submitted_ = 0;
  int replaced_endpoints_ = 0;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_ENGINE_ENGINE_DIGEST_FIXTURE_HPP_
