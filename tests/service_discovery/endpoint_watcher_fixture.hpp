// Fixtures for the tests of EndpointWatcher: an agent of service discovery that is controlled by the test,
// and a watcher whose logs and reports are recorded.
#ifndef DISPATCHER_TESTS_SERVICE_DISCOVERY_ENDPOINT_WATCHER_FIXTURE_HPP_
#define DISPATCHER_TESTS_SERVICE_DISCOVERY_ENDPOINT_WATCHER_FIXTURE_HPP_

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "service_discovery/endpoint_watcher.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {

// Returns one entry of the agent's endpoint list.
inline std::string list_entry(const std::string& endpoint, const std::string& health) {
  return R"({"host":")" + endpoint + R"(","health":")" + health +
         R"(","dial":"127.0.0.1:3000","site":"here","class":"reader","block":0,"share":1,"born_ms":0})";
}

// Returns a list with the single endpoint "a" on one line.
inline std::string list(int version, routing::ListKind kind, const std::string& health = "up") {
  const bool is_full = kind == routing::ListKind::kFull;
  return R"({"seq":)" + std::to_string(version) + R"(,"whole":)" + (is_full ? "true" : "false") +
         R"(,"hosts":[)" + list_entry("a", health) + "]}\n";
}

// Returns the same list, indented by `width` spaces.
inline std::string indented(int version, routing::ListKind kind, int width) {
  return nlohmann::json::parse(list(version, kind)).dump(width) + "\n";
}

// An agent that accepts connections and records the requests on them. The test sends all responses.
class Agent {
 public:
  explicit Agent(TestEventLoop& work) : io_(work.io), address_(loopback()) { listen(); }
  ~Agent() { stop_listening(); }
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;
  [[nodiscard]] net::tcp::endpoint address() const { return address_; }

  // One connection of a watcher.
  struct Call {
    explicit Call(boost::asio::io_context& io) : socket(io) {}
    net::tcp::socket socket;
    std::vector<std::string> targets;  // the targets of its requests
    std::string unread;
    bool is_closed = false;
    bool has_response_head = false;
  };
  std::vector<std::shared_ptr<Call>> calls;
  std::function<void(Call&)> on_request;  // called for each request, to answer it at once

  [[nodiscard]] int open_calls() const {
    return static_cast<int>(
        std::count_if(calls.begin(), calls.end(), [](const auto& call) { return !call->is_closed; }));
  }
  [[nodiscard]] std::size_t request_count() const {
    std::size_t count = 0;
    for (const auto& call : calls) count += call->targets.size();
    return count;
  }
  [[nodiscard]] const std::string& last_target() const { return calls.back()->targets.back(); }

  static void write(Call& call, const std::string& text) {
    boost::system::error_code ignored;
    boost::asio::write(call.socket, boost::asio::buffer(text), ignored);
  }
  // Sends the next part of a watch, and the head of its response before the first part.
  static void write_chunk(Call& call, const std::string& text) {
    if (!std::exchange(call.has_response_head, true))
      write(call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (!text.empty()) write(call, http::chunk(text));
  }
  static void answer(Call& call, int status, const std::string& body) {
    write(call, http::response(status, "application/json", body, http::Persistence::kKeepAlive));
  }
  static void reset(Call& call) {
    boost::system::error_code ignored;
    call.socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    call.socket.close(ignored);
    call.is_closed = true;
  }
  // Connections are refused from now on, as by a machine without a listening process.
  void stop_listening() { acceptor_.reset(); }
  void listen() {
    acceptor_.emplace(io_, address_);
    address_ = acceptor_->local_endpoint();
    accept();
  }

 private:
  void accept() {
    auto call = std::make_shared<Call>(io_);
    acceptor_->async_accept(call->socket, [this, call](boost::system::error_code error) {
      if (error) return;
      calls.push_back(call);
      read(call);
      accept();
    });
  }
  void read(const std::shared_ptr<Call>& call) {
    auto bytes = std::make_shared<std::array<char, 4096>>();
    call->socket.async_read_some(boost::asio::buffer(*bytes),
                                 [this, call, bytes](boost::system::error_code error, std::size_t size) {
                                   if (error) {
                                     call->is_closed = true;
                                     return;
                                   }
                                   call->unread.append(bytes->data(), size);
                                   parse_requests(*call);
                                   if (!call->is_closed) read(call);
                                 });
  }
  void parse_requests(Call& call) {
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    constexpr std::size_t kTargetAt = std::string_view("GET ").size();
    for (std::size_t end = call.unread.find(kHeadEnd); end != std::string::npos;
         end = call.unread.find(kHeadEnd)) {
      const std::string head = call.unread.substr(0, end);
      call.unread.erase(0, end + kHeadEnd.size());
      call.targets.push_back(head.substr(kTargetAt, head.find(' ', kTargetAt) - kTargetAt));
      call.has_response_head = false;
      if (on_request) on_request(call);
    }
  }

  boost::asio::io_context& io_;
  net::tcp::endpoint address_;
  std::optional<net::tcp::acceptor> acceptor_;
};

// A watcher that records its logs and its reported lists.
struct RecordingWatcher {
  explicit RecordingWatcher(TestEventLoop& work, Agent& agent, int dispatcher_count = 300,
                            service_discovery::ListDelivery delivery = service_discovery::ListDelivery::kPush)
      : watcher(
            work.io, agent.address(), work.timers, work.clock(),
            [this](std::string_view text) { logs.emplace_back(text); },
            [this](const service_discovery::EndpointSnapshot& snapshot) { snapshots.push_back(snapshot); },
            {dispatcher_count, 3, delivery}) {}
  std::vector<std::string> logs;
  std::vector<service_discovery::EndpointSnapshot> snapshots;
  service_discovery::EndpointWatcher watcher;
  [[nodiscard]] long logged(std::string_view start) const {
    return std::count_if(logs.begin(), logs.end(), [&](const auto& log) { return log.starts_with(start); });
  }
};

// A watch that has received its first list. The agent sends nothing more until the test does.
struct EstablishedWatch {
  explicit EstablishedWatch(int dispatcher_count = 300,
                            service_discovery::ListDelivery delivery = service_discovery::ListDelivery::kPush)
      : agent(work), recorder(work, agent, dispatcher_count, delivery) {
    recorder.watcher.start(40);
    REQUIRE(work.until([&] { return agent.request_count() == 1; }));
    Agent::write_chunk(*agent.calls[0], list(41, routing::ListKind::kFull));
    REQUIRE(work.until([&] { return recorder.snapshots.size() == 1; }));
  }
  bool has_requests(std::size_t count) {
    return work.until([&] { return agent.request_count() >= count; });
  }
  bool has_snapshots(std::size_t count) {
    return work.until([&] { return recorder.snapshots.size() >= count; });
  }
  TestEventLoop work;
  Agent agent;
  RecordingWatcher recorder;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_SERVICE_DISCOVERY_ENDPOINT_WATCHER_FIXTURE_HPP_
