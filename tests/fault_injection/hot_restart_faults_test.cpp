// Hot restarts of a real daemon under load, in which one of the two processes is held up at each step. Each
// stream must reach its client whole and once. Results depend on what arrives, not on durations.
#include <signal.h>

#include <algorithm>
#include <chrono>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/fixtures/child_process.hpp"
#include "tests/fixtures/deep_run.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"
#include "tests/hot_restart/hot_restart_fixture.hpp"

namespace dispatcher::testing {
namespace {

// Which process of a hot restart is held up, and at which step.
enum class HoldUp {
  kNone,
  kPredecessorAsSuccessorStarts,
  kSuccessorAsItServes,          // SIGTERM reaches the predecessor meanwhile
  kPredecessorAtSignal,          // as SIGTERM is sent
  kPredecessorAsItHandsOver,     // right after SIGTERM was handled
  kSuccessorAsItTakesOver,       // likewise
  kSuccessorAsLastStreamsBegin,  // the predecessor has no other work left
};
constexpr std::array kHoldUps{HoldUp::kNone,
                              HoldUp::kPredecessorAsSuccessorStarts,
                              HoldUp::kSuccessorAsItServes,
                              HoldUp::kPredecessorAtSignal,
                              HoldUp::kPredecessorAsItHandsOver,
                              HoldUp::kSuccessorAsItTakesOver,
                              HoldUp::kSuccessorAsLastStreamsBegin};
constexpr std::chrono::milliseconds kHoldUpTime{150};  // the longest time that the platform's terms allow
constexpr int kEvents = 40;                            // of each stream
constexpr std::size_t kMaxOpenRequests = 24;

std::string event(const std::string& id, int number) {
  return "data: " + id + "." + std::to_string(number) + "\n\n";
}

// A writer whose streams advance by one event at each step of the test.
class SteppedWriter {
 public:
  explicit SteppedWriter(TestEventLoop& loop)
      : endpoint(loop, [this](FakeEndpoint&, SlotId client, const ReceivedRequest& request) {
          responses_.push_back({client, request.id});
        }) {}
  void step() {
    for (Response& response : responses_) {
      if (response.next_event > 0 || !holds_first_events) write_next(response);
    }
    std::erase_if(responses_, [](const Response& response) { return response.next_event > kEvents; });
  }
  // Returns the number of requests whose first event is held back.
  [[nodiscard]] std::size_t waiting() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(responses_, [](const Response& response) { return response.next_event == 0; }));
  }
  [[nodiscard]] bool is_streaming() const { return waiting() < responses_.size(); }

  bool holds_first_events = false;
  FakeEndpoint endpoint;

 private:
  struct Response {
    SlotId client;
    std::string id;
    int next_event = 0;
  };
  void write_next(Response& response) {
    http::Server& server = endpoint.server;
    if (response.next_event == 0) server.begin_stream(response.client);
    if (response.next_event < kEvents) {
      server.write_events(response.client, event(response.id, response.next_event));
    } else {
      server.write_events(response.client, "data: [DONE]\n\n");
      server.end_response(response.client);
    }
    ++response.next_event;
  }
  std::list<Response> responses_;
};

// A daemon under load that is replaced again and again.
class RestartFixture {
 public:
  explicit RestartFixture(unsigned seed) : random_(seed) {
    current_ = start_process();
    REQUIRE(becomes_healthy(loop_, port_));
  }

  void restart(HoldUp hold_up) {
    step_until([&] { return writer_.is_streaming(); });
    std::unique_ptr<ChildProcess> predecessor = std::move(current_);
    if (hold_up == HoldUp::kPredecessorAsSuccessorStarts) predecessor->signal(SIGSTOP);
    current_ = start_process();
    if (hold_up == HoldUp::kPredecessorAsSuccessorStarts) continue_after_hold_up(*predecessor);
    step_until([&] { return current_->log().find("serving on") != std::string::npos; });
    hold_first_events();
    terminate(*predecessor, hold_up);
    writer_.holds_first_events = false;
    step_until([&] { return predecessor->has_ended(); });
    CHECK(predecessor->wait_end() == 0);
  }

  // Lets all streams end, and checks what each client has received.
  void finish() {
    is_loaded_ = false;
    step_until([&] { return open_requests() == 0; });
    for (const Request& request : requests_) {
      INFO(request.id << ", status " << request.client->status << ", "
                      << request.client->close_error.message());
      std::string expected;
      for (int i = 0; i < kEvents; ++i) expected += event(request.id, i);
      CHECK(request.client->status == 200);
      CHECK(request.client->is_complete);
      CHECK(request.client->body == expected + "data: [DONE]\n\n");
      CHECK(writer_.endpoint.count("POST", request.id) == 1);
    }
  }
  [[nodiscard]] std::size_t requests() const { return requests_.size(); }

 private:
  struct Request {
    std::string id;
    std::unique_ptr<FakeClient> client;
  };

  std::unique_ptr<ChildProcess> start_process() {
    auto process = std::make_unique<ChildProcess>(DISPATCHER_DAEMON);
    DaemonConfigText config{port_, 1, {}};
    config.endpoints.push_back({"r1", "reader", reader_.server.local()});
    config.endpoints.push_back({"w1", "writer", writer_.endpoint.server.local()});
    process->write_config(config.text());
    process->add_environment("TMPDIR=" + shared_folder_.path);
    process->start();
    return process;
  }
  // Leaves the predecessor with requests whose streams have not begun, which it must keep until they do.
  void hold_first_events() {
    constexpr std::size_t kWaiting = 3;
    writer_.holds_first_events = true;
    step_until([&] { return writer_.waiting() >= kWaiting; });
  }
  void terminate(ChildProcess& predecessor, HoldUp hold_up) {
    if (hold_up == HoldUp::kSuccessorAsItServes) current_->signal(SIGSTOP);
    if (hold_up == HoldUp::kPredecessorAtSignal) predecessor.signal(SIGSTOP);
    predecessor.signal(SIGTERM);
    if (hold_up == HoldUp::kSuccessorAsItServes) continue_after_hold_up(*current_);
    if (hold_up == HoldUp::kPredecessorAtSignal) continue_after_hold_up(predecessor);
    step_until([&] { return predecessor.log().find("draining") != std::string::npos; });
    if (hold_up == HoldUp::kPredecessorAsItHandsOver) hold_up_now(predecessor);
    if (hold_up == HoldUp::kSuccessorAsItTakesOver) hold_up_now(*current_);
    if (hold_up == HoldUp::kSuccessorAsLastStreamsBegin) hold_up_at_last_streams();
  }
  // The predecessor has handed over all streams but those that have not begun. Meanwhile streams of the
  // successor end, of which it notifies the predecessor once it continues. By then the predecessor has handed
  // its last streams over.
  void hold_up_at_last_streams() {
    step_for(kHoldUpTime);
    current_->signal(SIGSTOP);
    step_for(kHoldUpTime / 3);
    writer_.holds_first_events = false;
    step_for(kHoldUpTime * 2 / 3);
    current_->signal(SIGCONT);
  }
  void hold_up_now(ChildProcess& process) {
    process.signal(SIGSTOP);
    continue_after_hold_up(process);
  }
  // The clients and endpoints go on meanwhile.
  void continue_after_hold_up(ChildProcess& process) {
    step_for(kHoldUpTime);
    process.signal(SIGCONT);
  }
  void step_for(std::chrono::milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) step();
  }

  void step() {
    constexpr std::chrono::milliseconds kStep{4};
    if (is_loaded_ && open_requests() < kMaxOpenRequests && random_() % 2 == 0) post();
    writer_.step();
    loop_.settle();
    for (const Request& request : requests_) {
      if (request.client->is_finished()) request.client->close();
    }
    std::this_thread::sleep_for(kStep);
  }
  // Steps until the condition holds. The number of steps is only reached by a test that has failed.
  template <class Condition>
  void step_until(Condition condition) {
    constexpr int kMaxSteps = 5000;
    for (int i = 0; i < kMaxSteps; ++i) {
      if (condition()) return;
      step();
    }
    FAIL("the condition never held");
  }
  void post() {
    const std::string id = "f" + std::to_string(kFirstId + requests_.size());
    const net::tcp::endpoint address(boost::asio::ip::address_v4::loopback(),
                                     static_cast<unsigned short>(port_));
    requests_.push_back({id, std::make_unique<FakeClient>(loop_, address)});
    requests_.back().client->post(platform_headers(id, random_() % 3 == 0 ? "command" : "ask", kTimeLeftMs),
                                  kPlatformBody);
  }
  [[nodiscard]] std::size_t open_requests() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        requests_, [](const Request& request) { return !request.client->is_finished(); }));
  }

  static constexpr std::size_t kFirstId = 10000;
  static constexpr int kTimeLeftMs = 3000;
  std::mt19937 random_;
  TestEventLoop loop_;
  TemporaryFolder shared_folder_;
  int port_ = free_port();
  FakeEndpoint reader_{loop_, healthy_reader};
  SteppedWriter writer_{loop_};
  std::unique_ptr<ChildProcess> current_;
  std::vector<Request> requests_;
  bool is_loaded_ = true;
};

// Guards against streams that are lost between two processes when the old one ends, or when either is slow.
TEST_CASE("streams survive hot restarts in which one of the processes is held up at any step",
          "[faults][upgrade]") {
  const unsigned seeds = is_deep_run() ? 50 : 2;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    INFO("seed " << seed);
    std::vector<HoldUp> hold_ups(kHoldUps.begin(), kHoldUps.end());
    std::shuffle(hold_ups.begin(), hold_ups.end(), std::mt19937(seed));
    RestartFixture fixture(seed);
    for (const HoldUp hold_up : hold_ups) fixture.restart(hold_up);
    fixture.finish();
    CHECK(fixture.requests() > hold_ups.size());
  }
}

}  // namespace
}  // namespace dispatcher::testing
