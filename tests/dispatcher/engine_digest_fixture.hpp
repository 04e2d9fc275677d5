// The core in two processes of one dispatcher, between fronts and replicas that only write down what they are
// told: every call goes into a digest, with its arguments and the time. A seeded script drives both; time is
// the world's own. See tests/settings_world.hpp for the decision module alone.
#ifndef DISPATCHER_TESTS_DISPATCHER_ENGINE_DIGEST_FIXTURE_HPP_
#define DISPATCHER_TESTS_DISPATCHER_ENGINE_DIGEST_FIXTURE_HPP_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../digest.hpp"
#include "../settings_draw.hpp"
#include "engine/engine.hpp"

namespace dispatcher::testing {

using Counts = std::map<std::string, int>;  // calls of the core, and what was done to it, by name

class EngineWorld {
 public:
  EngineWorld(std::uint64_t seed, dispatcher::routing::testing::Digest& digest, Counts& counts);
  ~EngineWorld();
  void play(int steps);
  bool finish();  // all clients leave and all attempts end: true if nothing is left

 private:
  struct Out {
    std::string endpoint;
    bool connected = false, whole = false, begun = false;  // whole: the request reached the replica
  };
  class Process;
  class Frontend;
  struct Client {
    Process* at = nullptr;
    net::SlotId request;
    std::string id;
    bool over = false, left = false, paused = false;
  };

  template <class... Arguments>
  void tell(const char* call, const Arguments&... arguments);
  void count(const char* done) { ++counts_[done]; }
  [[nodiscard]] const routing::Settings& rules() const { return *settings_[current_]; }
  Client& client(net::SlotId id) { return clients_.at(id.index); }
  Client* pick_client(bool (*fits)(const Client&));
  Process& pick_process();
  [[nodiscard]] bool reads(const std::string& endpoint) const;

  void step(int kind);
  void submit();
  routing::Request draw_request(const std::string& id);
  void progress();
  void connect(Process& process, engine::AttemptId attempt, Out& out);
  void fail_attempt();
  engine::AttemptResult draw_ending(routing::AttemptStatus status);
  void end(Process& process, engine::AttemptId attempt, const engine::AttemptResult& ending);
  void leave();
  void leave(Client& client);
  void change_endpoints();
  void send_list(routing::ListKind kind, std::vector<routing::EndpointInfo> entries);
  void maintain();
  void change_settings();
  void answer_hold();
  void answer_release();
  void go_on();
  void hand_over();
  void exchange();
  void disturb();
  void let_pass(engine::Duration time);
  void oversleep();
  void deliver_mail();
  void look();

  dispatcher::routing::testing::Digest& digest_;
  Counts& counts_;
  dispatcher::routing::testing::Dice dice_;
  engine::Time now_ = std::chrono::seconds(1'800'000'000);
  std::vector<engine::SettingsSnapshot> settings_;
  std::size_t current_ = 0;
  std::map<std::string, routing::EndpointInfo> endpoints_;
  std::vector<std::unique_ptr<Frontend>> fronts_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::uint32_t, Client> clients_;
  std::deque<std::function<void()>> mail_;  // on its way from one process to the other
  std::uint32_t asked_ = 0;
  int machines_ = 0;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_DISPATCHER_ENGINE_DIGEST_FIXTURE_HPP_
