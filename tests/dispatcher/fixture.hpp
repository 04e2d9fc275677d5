// Stand-in clients and replicas on ephemeral loopback ports, round the real core, pool and fronts. Time is
// the test's own: it moves only when advance() says so, so no verdict hangs on how fast a machine is.
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
#include "upstream/connection_pool.hpp"

namespace dispatcher::testing {

using net::SlotId;
using std::chrono::milliseconds;
using std::chrono::seconds;

routing::Settings make_settings();  // a safe class "ask", an unsafe one "command"; readers and writers

inline net::tcp::endpoint loopback() { return {boost::asio::ip::address_v4::loopback(), 0}; }

struct Clockwork {
  boost::asio::io_context io{1};
  engine::TimerQueue timers;
  engine::Time now = seconds(1'800'000'000);
  engine::Clock clock() {
    return [this] { return now; };
  }
  // Runs what the sockets bring until the condition holds. The bound only ends a test that has failed.
  template <class Condition>
  bool until(Condition condition) {
    for (int i = 0; i < 20000; ++i) {
      timers.run(now);
      io.restart();
      const bool busy = io.poll() > 0;
      if (condition()) return true;
      if (!busy) std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
    return false;
  }
  // Lets time pass in the steps in which the router's ticks come.
  void advance(engine::Duration time) {
    for (const engine::Time end = now + time; now < end;) {
      now = std::min<engine::Time>(end, now + milliseconds(20));
      timers.run(now);
      settle();
    }
  }
  void settle() {  // what is on its way over loopback arrives
    for (int quiet = 0; quiet < 3;) {
      io.restart();
      quiet = io.poll() > 0 ? 0 : quiet + 1;
      std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
  }
};

// A replica that does as its script says and remembers what reached it.
class StandInReplica : private http::Server::Handler {
 public:
  struct Seen {
    std::string method, target, id, body;
    boost::beast::http::fields head = {};
    milliseconds left{};  // as it was told
  };
  using Script = std::function<void(StandInReplica&, SlotId, const Seen&)>;
  StandInReplica(Clockwork& work, Script script, const http::ServerOptions& options = {})
      : server(work.io, loopback(), *this, work.timers, work.clock(), options, {}),
        script_(std::move(script)) {
    server.open();
  }
  void say(SlotId client, int status, std::string_view body = {}, bool never_ran = false) {
    if (never_ran) return server.respond(client, status, "application/json", body, {{"X-Unprocessed", "1"}});
    server.respond(client, status, "application/json", body);
  }
  // A stream's events with a word each; `last` ends it as replicas do.
  void stream(SlotId client, const std::vector<std::string>& words, bool last = true);
  [[nodiscard]] [[nodiscard]] int count(std::string_view method, std::string_view id = {}) const;

  http::Server server;
  std::vector<Seen> seen;
  std::vector<SlotId> waiting, gone;

 private:
  void on_request(SlotId client, http::Server::Request& request, engine::Time) override;
  void on_disconnected(SlotId client) override { gone.push_back(client); }
  void on_writable(SlotId) override {}
  std::string error_body(int, std::string_view) override { return {}; }
  Script script_;
};

// A replica that answers each request with bytes as they are, in pieces, whatever they mean.
class RawReplica : private net::Listener::Owner, private net::Connection::Owner {
 public:
  RawReplica(Clockwork& work, std::string bytes, std::string more = {})
      : bytes_(std::move(bytes)), more_(std::move(more)), listener_(work.io, loopback(), *this) {
    listener_.open();
    listener_.accept();
  }
  ~RawReplica() override;
  [[nodiscard]] [[nodiscard]] net::tcp::endpoint address() const { return listener_.local(); }
  void go_on();  // says the rest of its answer
  int requests = 0, ended = 0;

 private:
  void on_accepted(net::tcp::socket socket) override;
  void on_accept_failed(net::error_code) override {}
  void on_data(SlotId id) override;
  void on_sent(SlotId) override {}
  void on_ended(SlotId, net::error_code) override { ++ended; }
  std::string bytes_, more_;
  net::Listener listener_;
  struct Peer {
    std::shared_ptr<net::Connection> connection;
    http::RequestReader reader{http::kMaxBodyBytes};
  };
  net::SlotTable<Peer> peers_;
};

// A client that sends what it is told and keeps what comes back.
class StandInClient : private net::Connection::Owner {
 public:
  StandInClient(Clockwork& work, const net::tcp::endpoint& to)
      : connection_(net::Connection::connect(work.io, to, *this, {}, 1U << 22U, 1U << 20U)) {}
  ~StandInClient() override { connection_->close(); }
  void send(std::string text) { connected_ ? void(connection_->write(text)) : void(pending_ += text); }
  void post(const std::string& more, const std::string& body,
            const std::string& path = "/v1/chat/completions");
  void get(const std::string& path, const std::string& more = {}) {
    send("GET " + path + " HTTP/1.1\r\nHost: x\r\n" + more + "\r\n");
  }
  void close() { connection_->close(); }
  void hold_back() { connection_->pause_reading(), held_back_ = true; }
  void go_on() { held_back_ = false, connection_->read(); }
  void half_close() { connection_->finish(); }  // sends its end after what it has sent, and goes on reading
  void reset();                                 // closes so that the other side sees an error

  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;
  bool whole = false, ended = false;  // the answer came to its end; the connection did
  net::error_code end;                // with which the connection ended
  [[nodiscard]] [[nodiscard]] bool answered() const { return whole || ended; }

 private:
  void on_connected(SlotId, net::error_code error) override;
  void on_data(SlotId) override;
  void on_sent(SlotId) override {}
  void on_ended(SlotId, net::error_code error) override { ended = true, end = error; }
  std::shared_ptr<net::Connection> connection_;
  http::ResponseReader reader_{std::nullopt};
  std::string pending_;
  bool connected_ = false, held_back_ = false;
};

// Two readers and two writers, whatever they are scripted to do, and a dispatcher with both fronts.
class Fixture : public Clockwork {
 public:
  using Script = StandInReplica::Script;
  Fixture(Script reader, Script writer, std::string chat_config = {});
  ~Fixture() = default;
  StandInReplica& reader(std::size_t i = 0) { return *replicas[i]; }
  StandInReplica& writer(std::size_t i = 0) { return *replicas[2 + i]; }
  int total(std::string_view method, bool writers, std::string_view id = {}) const;
  const StandInReplica::Seen& only(std::string_view method, bool writers) const;  // the one such request
  std::unique_ptr<StandInClient> platform_client() { return client(platform.server().local()); }
  std::unique_ptr<StandInClient> chat_client() { return client(chat->server().local()); }
  std::unique_ptr<StandInClient> client(const net::tcp::endpoint& to) {
    return std::make_unique<StandInClient>(*this, to);
  }

  std::vector<std::string> logs;
  routing::Settings settings = make_settings();
  std::vector<std::unique_ptr<StandInReplica>> replicas;
  upstream::ConnectionPool pool;
  engine::Engine engine;
  platform_api::Frontend platform;
  std::unique_ptr<openai_api::Frontend> chat;
};

// The headers of a platform request.
std::string facts(const std::string& id, const std::string& cls, int left_ms = 6000);
// What a well-behaved reader and writer do.
void read_well(StandInReplica& replica, SlotId client, const StandInReplica::Seen& seen);
void write_well(StandInReplica& replica, SlotId client, const StandInReplica::Seen& seen);
inline const std::string kChat = R"({"listen":"127.0.0.1:0","account":"acme",
  "models":[{"id":"ask","class":"ask"},{"id":"command","class":"command"}]})";
std::string chat_body(const std::string& model, bool stream, const std::string& text = "Is the boiler on?");

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_DISPATCHER_FIXTURE_HPP_
