// Fake clients and replicas on ephemeral loopback ports, around the real engine, connection pool and
// frontends. Time is simulated: it moves only when advance() is called, so that no result depends on the
// speed of the machine.
#ifndef DISPATCHER_TESTS_DISPATCHER_FIXTURE_HPP_
#define DISPATCHER_TESTS_DISPATCHER_FIXTURE_HPP_

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "engine/engine.hpp"
#include "http/message.hpp"
#include "http/message_reader.hpp"
#include "net/listener.hpp"
#include "openai_api/frontend.hpp"
#include "platform_api/frontend.hpp"
#include "upstream/replica_client.hpp"

namespace dispatcher::testing {

using net::SlotId;
using std::chrono::milliseconds;
using std::chrono::seconds;

using routing::Role;

// Settings with an idempotent class "ask", a non-idempotent class "command", and replicas of both roles.
routing::Settings make_settings();

// A replica of those settings. Its role follows from the first letter of its name: "r" or "w".
routing::EndpointInfo make_endpoint(const std::string& name,
                                    routing::EndpointState state = routing::EndpointState::kReady);

inline net::tcp::endpoint loopback() { return {boost::asio::ip::address_v4::loopback(), 0}; }

// An event loop with a simulated clock.
struct TestEventLoop {
  boost::asio::io_context io{1};
  engine::TimerQueue timers;
  engine::Time now = seconds(1'800'000'000);
  engine::Clock clock() {
    return [this] { return now; };
  }
  // Runs the loop until the condition holds. The number of rounds only bounds a test that has failed.
  template <class Condition>
  bool until(Condition condition) {
    constexpr int kMaxRounds = 20000;
    for (int i = 0; i < kMaxRounds; ++i) {
      timers.run(now);
      io.restart();
      const bool busy = io.poll() > 0;
      if (condition()) return true;
      if (!busy) std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
    return false;
  }
  // Advances the clock in steps as short as the router's ticks need, and runs the loop at each.
  void advance(engine::Duration time) {
    constexpr milliseconds kStep{20};
    const engine::Time end = now + time;
    while (now < end) {
      now = std::min<engine::Time>(end, now + kStep);
      timers.run(now);
      settle();
    }
  }
  // Runs the loop until nothing more arrives over loopback.
  void settle() {
    constexpr int kQuietRounds = 3;
    for (int quiet_rounds = 0; quiet_rounds < kQuietRounds;) {
      io.restart();
      quiet_rounds = io.poll() > 0 ? 0 : quiet_rounds + 1;
      std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
  }
};

// Whether a replica's stream goes on after what is written now.
enum class StreamEnd { kComplete, kOpen };

// How a client of the OpenAI API wants its response.
enum class ResponseMode { kStream, kCompletion };

// A replica that answers by a given behavior and records the requests it receives.
class FakeReplica : private http::Server::Handler {
 public:
  struct ReceivedRequest {
    std::string method, target, id, body;
    boost::beast::http::fields head = {};
    milliseconds time_left{};  // from X-Time-Left-Ms
  };
  using Behavior = std::function<void(FakeReplica&, SlotId, const ReceivedRequest&)>;
  FakeReplica(TestEventLoop& loop, Behavior behavior, const http::ServerOptions& options = {})
      : server(loop.io, loopback(), *this, loop.timers, loop.clock(), options, {}),
        behavior_(std::move(behavior)) {
    server.open();
  }
  void respond(SlotId client, int status, std::string_view body = {}) {
    server.respond(client, status, "application/json", body);
  }
  // Rejects a request and states that no work on it has begun.
  void reject_unprocessed(SlotId client, int status) {
    server.respond(client, status, "application/json", {}, {{"X-Unprocessed", "1"}});
  }
  // Streams an event for each word; kComplete ends the stream as replicas do.
  void stream_words(SlotId client, const std::vector<std::string>& words,
                    StreamEnd end = StreamEnd::kComplete);
  // Requests received with the method and, where given, the id.
  [[nodiscard]] int count(std::string_view method, std::string_view id = {}) const;

  http::Server server;
  std::vector<ReceivedRequest> received;
  std::vector<SlotId> pending_clients;  // whose requests have reached the behavior
  std::vector<SlotId> disconnected_clients;

 private:
  void on_request(SlotId client, http::Server::Request& request, engine::Time) override;
  void on_disconnected(SlotId client) override { disconnected_clients.push_back(client); }
  void on_writable(SlotId) override {}
  std::string error_body(int, std::string_view) override { return {}; }
  Behavior behavior_;
};

using ReceivedRequest = FakeReplica::ReceivedRequest;

// A replica that answers each request with the same bytes, valid HTTP or not, and later with more of them.
class RawBytesReplica : private net::Listener::Owner, private net::Connection::Owner {
 public:
  RawBytesReplica(TestEventLoop& loop, std::string bytes, std::string more = {})
      : bytes_(std::move(bytes)), more_(std::move(more)), listener_(loop.io, loopback(), *this) {
    listener_.open();
    listener_.accept();
  }
  ~RawBytesReplica() override;
  [[nodiscard]] net::tcp::endpoint address() const { return listener_.local(); }
  void send_more();
  int requests = 0;
  int closed_connections = 0;

 private:
  void on_accepted(net::tcp::socket socket) override;
  void on_accept_failed(net::error_code) override {}
  void on_data(SlotId id) override;
  void on_sent(SlotId) override {}
  void on_ended(SlotId, net::error_code) override { ++closed_connections; }
  std::string bytes_, more_;
  net::Listener listener_;
  struct Peer {
    std::shared_ptr<net::Connection> connection;
    http::RequestReader reader{http::kMaxBodyBytes};
  };
  net::SlotTable<Peer> peers_;
};

// A client that sends what the test says, and records the responses.
class FakeClient : private net::Connection::Owner {
 public:
  FakeClient(TestEventLoop& loop, const net::tcp::endpoint& to)
      : connection_(net::Connection::connect(loop.io, to, *this, {}, 1U << 22U, 1U << 20U)) {}
  ~FakeClient() override { connection_->close(); }
  void send(const std::string& text) {
    if (is_connected_) {
      connection_->write(text);
    } else {
      unsent_ += text;
    }
  }
  void post(const std::string& more, const std::string& body,
            const std::string& path = "/v1/chat/completions");
  void get(const std::string& path, const std::string& more = {}) {
    send("GET " + path + " HTTP/1.1\r\nHost: x\r\n" + more + "\r\n");
  }
  void close() { connection_->close(); }
  void pause_reading() {
    connection_->pause_reading();
    is_reading_paused_ = true;
  }
  void resume_reading() {
    is_reading_paused_ = false;
    connection_->read();
  }
  // Sends FIN after what was sent, and continues to read.
  void half_close() { connection_->finish(); }
  // Closes with RST.
  void reset();
  // Forgets the last answer, before the next request on the connection.
  void clear_answer() {
    is_complete = false;
    body.clear();
  }

  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
  bool is_complete = false;  // the answer is
  bool is_closed = false;    // the connection is
  net::error_code close_error;
  [[nodiscard]] bool is_finished() const { return is_complete || is_closed; }

 private:
  void on_connected(SlotId, net::error_code error) override;
  void on_data(SlotId) override;
  void on_sent(SlotId) override {}
  void on_ended(SlotId, net::error_code error) override {
    is_closed = true;
    close_error = error;
  }
  std::shared_ptr<net::Connection> connection_;
  http::ResponseReader reader_{std::nullopt};
  std::string unsent_;
  bool is_connected_ = false;
  bool is_reading_paused_ = false;
};

// A request of the platform's API.
inline constexpr const char* kPlatformBody = R"({"model":"chat","messages":[]})";

// Two readers (r1, r2) and two writers (w1, w2) of given behaviors, and a dispatcher with the platform's
// frontend and, where it has a configuration, the OpenAI-compatible one.
class Fixture : public TestEventLoop {
 public:
  using Behavior = FakeReplica::Behavior;
  // Where the writers begin in `replicas`; the readers are before them.
  static constexpr std::size_t kFirstWriter = 2;
  Fixture(const Behavior& reader_behavior, const Behavior& writer_behavior,
          const std::string& chat_config = {});
  ~Fixture() = default;
  FakeReplica& reader(std::size_t index = 0) { return *replicas[index]; }
  FakeReplica& writer(std::size_t index = 0) { return *replicas[kFirstWriter + index]; }
  // Requests that the replicas of a role have received.
  [[nodiscard]] int request_count(std::string_view method, Role role, std::string_view id = {}) const;
  // The one such request.
  [[nodiscard]] const FakeReplica::ReceivedRequest& only_request(std::string_view method, Role role) const;
  std::unique_ptr<FakeClient> platform_client() { return client(platform.server().local()); }
  std::unique_ptr<FakeClient> chat_client() { return client(chat->server().local()); }
  // A client that posts kPlatformBody to the platform's API.
  std::unique_ptr<FakeClient> post(const std::string& id, const std::string& request_class);
  std::unique_ptr<FakeClient> client(const net::tcp::endpoint& to) {
    return std::make_unique<FakeClient>(*this, to);
  }

  std::vector<std::string> logs;
  routing::Settings settings = make_settings();
  std::vector<std::unique_ptr<FakeReplica>> replicas;
  upstream::ReplicaClient pool;
  engine::Engine engine;
  platform_api::Frontend platform;
  std::unique_ptr<openai_api::Frontend> chat;

 private:
  http::FrontendContext frontend_context() { return {io, engine, timers, clock()}; }
};

// The headers of a request to the platform's API.
std::string platform_headers(const std::string& id, const std::string& request_class,
                             int time_left_ms = 6000);
// The behaviors of replicas without faults.
void healthy_reader(FakeReplica& replica, SlotId client, const FakeReplica::ReceivedRequest& request);
void healthy_writer(FakeReplica& replica, SlotId client, const FakeReplica::ReceivedRequest& request);
// The behavior of a replica that never answers, unless the test does so in its place.
void silent_replica(FakeReplica& replica, SlotId client, const FakeReplica::ReceivedRequest& request);
// The head of a streamed response.
inline const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
// A configuration of the OpenAI-compatible frontend with a model for each class of make_settings().
inline constexpr const char* kChatConfig =
    R"({"listen":"127.0.0.1:0","account":"acme",
  "models":[{"id":"ask","class":"ask"},{"id":"command","class":"command"}]})";
// A request of the OpenAI API with a system message and the user message `text`.
std::string chat_body(const std::string& model, ResponseMode mode,
                      const std::string& text = "Is the boiler on?");

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_DISPATCHER_FIXTURE_HPP_
