// What can cross at the end of an attempt: its client leaving, its connection coming up or breaking, its
// deadline, a drain, the calls that let go of its state. Each crossing is forced; no test waits for luck.
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <random>
#include <set>

#include "fixture.hpp"

namespace dispatcher::testing {
namespace {

using ReceivedRequest = FakeReplica::ReceivedRequest;

const std::string kBody = R"({"model":"x","stream":true,"messages":[]})";
const std::string kAnswerHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

void silent(FakeReplica&, SlotId, const ReceivedRequest&) {}
void full(FakeReplica& r, SlotId client, const ReceivedRequest&) { r.respond(client, 503, {}, true); }

class BarePeer;

// A world whose requests come from the test itself, so that nothing runs between two steps.
struct Direct : Fixture, private engine::ResponseSink {
  Direct(Behavior reader, Behavior writer) : Fixture(std::move(reader), std::move(writer)) {}
  SlotId submit(const std::string& id, const std::string& cls = "ask", std::size_t size = 40) {
    auto message = std::make_shared<engine::UpstreamRequest>();
    *message = {id, "POST", "/v1/chat/completions", "Content-Type: application/json\r\n",
                std::string(size, 'x')};
    routing::Request r;
    r.id = id;
    r.request_class = cls;
    r.prompt_tokens = 1000;
    r.client_deadline = now + seconds(cls == "ask" ? 6 : 3);
    return engine.submit(*this, {1, 1}, r, std::move(message));
  }
  void adopt(const routing::Settings& changed) {
    engine.adopt(std::make_shared<const routing::Settings>(changed));
  }
  void write_at(const BarePeer& peer);  // both writers are the peer
  int posts() const { return request_count("POST", Role::kReader) + request_count("POST", Role::kWriter); }
  int releases() const {
    return request_count("DELETE", Role::kReader) + request_count("DELETE", Role::kWriter);
  }
  int count(const std::string& word) const {
    return static_cast<int>(std::count(story.begin(), story.end(), word));
  }
  void begin(SlotId) override { story.emplace_back("begin"); }
  bool pass(SlotId, std::string_view events) override {
    body += events;
    return true;
  }
  void finish(SlotId) override { story.emplace_back("finish"); }
  void cut(SlotId) override { story.emplace_back("cut"); }
  void reject(SlotId, std::optional<engine::Duration>) override { story.emplace_back("refuse"); }
  void fail(SlotId, engine::Failure) override { story.emplace_back("fail"); }
  bool present(SlotId) override { return there; }
  bool there = true;
  std::vector<std::string> story;
  std::string body;
};

// A peer on the bare socket: it reads, writes and ends its connections as the test says. Its segments are
// short, so that a long request does not fit into the kernel's buffers.
class BarePeer {
 public:
  explicit BarePeer(TestEventLoop& work) : work_(work), acceptor_(work.io) {
    acceptor_.open(net::tcp::v4());
    const int minimum = 536, room = 4096;
    ::setsockopt(acceptor_.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &minimum, sizeof minimum);
    ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
    acceptor_.bind(loopback());
    acceptor_.listen();
    acceptor_.non_blocking(true);
  }
  [[nodiscard]] net::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  bool accepted() {
    net::tcp::socket socket(work_.io);
    net::error_code error;
    acceptor_.accept(socket, error);
    if (error) return !sockets_.empty();
    socket.non_blocking(true);
    sockets_.push_back(std::move(socket));
    return true;
  }
  std::string read() {
    std::string all;
    std::array<char, 4096> part{};
    for (auto& socket : sockets_) {
      net::error_code error;
      for (std::size_t n = 0;
           socket.is_open() && (n = socket.read_some(boost::asio::buffer(part), error)) > 0;)
        all.append(part.data(), n);
    }
    return all;
  }
  void write(std::string_view bytes) {
    sockets_.back().write_some(boost::asio::buffer(bytes.data(), bytes.size()));
  }
  void close() { sockets_.back().close(); }
  void reset() {
    if (!sockets_.back().is_open()) return;
    sockets_.back().set_option(boost::asio::socket_base::linger(true, 0));
    sockets_.back().close();
  }

 private:
  TestEventLoop& work_;
  net::tcp::acceptor acceptor_;
  std::vector<net::tcp::socket> sockets_;
};

void Direct::write_at(const BarePeer& peer) {
  pool.endpoints({{"w1", peer.address(), true}, {"w2", peer.address(), true}}, false);
}

// ---- the client leaves ----

// Without the right to cancel, the router cancels nothing; the request was written after its client had gone.
TEST_CASE("a client that leaves while its connection comes up has nothing written for it", "[endings]") {
  Direct fixture(healthy_reader, healthy_writer);
  auto rules = make_settings();
  rules.may_cancel = GENERATE(false, true);
  fixture.adopt(rules);
  const SlotId id = fixture.submit("a1");
  fixture.engine.client_gone(id);
  CHECK(fixture.engine.open() == 0);
  fixture.advance(milliseconds(400));
  CHECK(fixture.posts() == 0);
  CHECK(fixture.releases() == 0);  // nothing can have been left
}

TEST_CASE("a client that has gone untold has nothing written on a connection that comes up", "[endings]") {
  Direct fixture(healthy_reader, healthy_writer);
  fixture.submit("a1");
  fixture.there = false;
  fixture.advance(milliseconds(400));
  CHECK(fixture.posts() == 0);
  CHECK(fixture.engine.open() == 0);
  CHECK(fixture.story.empty());
}

TEST_CASE("a client that has gone untold has nothing written on a kept connection", "[endings]") {
  Direct fixture(healthy_reader, healthy_writer);
  for (const std::string id : {"a1", "a2", "a3", "a4"}) {
    fixture.submit(id);
    REQUIRE(fixture.until([&] { return fixture.engine.open() == 0; }));
    fixture.advance(milliseconds(60));
  }
  const int before = fixture.posts();
  fixture.there = false;
  fixture.submit("gone");
  fixture.advance(milliseconds(400));
  CHECK(fixture.posts() == before);
  CHECK(fixture.engine.open() == 0);
  CHECK(fixture.count("refuse") + fixture.count("fail") == 0);
}

TEST_CASE("a client that leaves between read and write gets no writer, and its state is let go of",
          "[endings]") {
  Direct fixture(silent, healthy_writer);
  fixture.submit("a1");
  REQUIRE(fixture.until([&] { return fixture.posts() == 1; }));
  fixture.there = false;
  for (std::size_t i : {0U, 1U})
    for (const SlotId client : fixture.reader(i).pending_clients)
      fixture.reader(i).respond(client, 202, "{}");
  fixture.advance(milliseconds(400));
  CHECK(fixture.request_count("POST", Role::kWriter) == 0);
  CHECK(fixture.releases() >= 1);  // two calls at once, where no connection is kept
  CHECK(fixture.pool.leases_out() == 0);
  CHECK(fixture.engine.open() == 0);
}

// The state was left though its read was given up: the answer crossed the close.
TEST_CASE("a 202 that crosses the close of its read has its state let go of", "[endings]") {
  Direct fixture(silent, healthy_writer);
  const SlotId id = fixture.submit("a1");
  REQUIRE(fixture.until([&] { return fixture.posts() == 1; }));
  for (std::size_t i : {0U, 1U})
    for (const SlotId client : fixture.reader(i).pending_clients)
      fixture.reader(i).respond(client, 202, "{}");
  fixture.engine.client_gone(id);  // the answer is written, and not read
  fixture.advance(milliseconds(400));
  CHECK(fixture.releases() >= 1);  // two calls at once, where no connection is kept
  CHECK(fixture.pool.leases_out() == 0);
  CHECK(fixture.request_count("POST", Role::kWriter) == 0);
  CHECK(fixture.engine.open() == 0);
}

// ---- connections ----

TEST_CASE("a connection that comes up after it was given up carries nothing", "[endings]") {
  Direct fixture(healthy_reader, healthy_writer);
  fixture.submit("a1", "command");
  fixture.now += milliseconds(300);
  fixture.timers.run(fixture.now);  // the connect timeout; the connection is up, which nobody has read yet
  fixture.advance(milliseconds(400));
  CHECK(fixture.request_count("POST", Role::kReader) == 1);
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
  CHECK(fixture.story == std::vector<std::string>{"begin", "finish"});
}

TEST_CASE("a host that came back under another address gets nothing at the old one", "[endings]") {
  Direct fixture(healthy_reader, healthy_writer);
  FakeReplica elsewhere(fixture, healthy_reader);
  fixture.submit("a1");
  fixture.pool.endpoints({{"r1", elsewhere.server.local(), true}, {"r2", elsewhere.server.local(), true}},
                         false);
  fixture.advance(milliseconds(400));
  CHECK(fixture.request_count("POST", Role::kReader) == 0);
  CHECK(elsewhere.count("POST") == 1);
  CHECK(fixture.count("finish") == 1);
}

TEST_CASE("a connection to where a host listened before is not kept for it", "[endings]") {
  Direct fixture(silent, healthy_writer);
  FakeReplica elsewhere(fixture, healthy_reader);
  fixture.submit("a1");
  REQUIRE(fixture.until([&] { return fixture.posts() == 1; }));
  fixture.pool.endpoints({{"r1", elsewhere.server.local(), true}, {"r2", elsewhere.server.local(), true}},
                         false);
  for (std::size_t i : {0U, 1U})
    for (const SlotId client : fixture.reader(i).pending_clients)
      fixture.reader(i).respond(client, 202, "{}");
  REQUIRE(fixture.until([&] { return fixture.count("finish") == 1; }));
  fixture.advance(milliseconds(60));
  CHECK(fixture.pool.open() == 1);  // the writer's
}

TEST_CASE("a drain told while a connection comes up keeps the first byte back past part of the grace",
          "[endings]") {
  const auto grace = GENERATE(milliseconds(100), milliseconds(250), milliseconds(1000));
  const bool late = GENERATE(false, true);
  Direct fixture(healthy_reader, healthy_writer);
  upstream::Options options{milliseconds(250), seconds(15), milliseconds(50)};
  options.drain_grace = grace;
  fixture.pool.adopt(options);
  fixture.submit("a1");
  fixture.pool.endpoints(
      {{"r1", fixture.reader(0).server.local(), false}, {"r2", fixture.reader(1).server.local(), false}},
      false);
  fixture.now += grace * 3 / 5 + milliseconds(late ? 1 : 0);
  fixture.settle();
  fixture.settle();
  CHECK(fixture.request_count("POST", Role::kReader) == (late ? 0 : 1));
}

// ---- breaks ----

TEST_CASE("a connection that breaks before the request's last byte is written has run nothing", "[endings]") {
  Direct fixture(healthy_reader, healthy_writer);
  BarePeer peer(fixture);
  fixture.write_at(peer);
  fixture.submit("a1", "command", 200000);
  REQUIRE(fixture.until([&] { return peer.accepted(); }));
  fixture.settle();
  peer.reset();
  for (int i = 0; i < 200 && fixture.story.empty(); ++i) {
    fixture.advance(milliseconds(20));
    if (peer.accepted()) peer.reset();  // the other writer's as well
  }
  CHECK(fixture.story == std::vector<std::string>{"refuse"});  // it can't have run
}

TEST_CASE("an answer that comes before the request's last byte is written is no answer", "[endings]") {
  Direct fixture(healthy_reader, healthy_writer);
  BarePeer peer(fixture);
  fixture.write_at(peer);
  fixture.submit("a1", "command", 200000);
  REQUIRE(fixture.until([&] { return peer.accepted(); }));
  fixture.settle();
  peer.write(kAnswerHead + http::chunk("data: {\"of\":\"another\"}\n\n") + http::chunk("data: [DONE]\n\n") +
             "0\r\n\r\n");
  fixture.advance(milliseconds(100));
  CHECK(fixture.body.empty());
  CHECK(fixture.count("begin") == 0);
}

TEST_CASE("a connection that breaks after the request's last byte may have run it", "[endings]") {
  Direct fixture(healthy_reader, silent);
  fixture.submit("a1", "command");
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kWriter) == 1; }));
  const bool at_once = GENERATE(true, false);
  if (!at_once) fixture.advance(seconds(2));
  for (std::size_t i : {0U, 1U})
    for (const SlotId client : fixture.writer(i).pending_clients) fixture.writer(i).server.abort(client);
  fixture.advance(seconds(3));
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
  CHECK(fixture.story == std::vector<std::string>{"fail"});
}

// Half a line, half a chunk, an event cut short: nothing of it is passed off as whole.
TEST_CASE("an answer cut at any place is not passed off as whole", "[endings]") {
  const std::string event = "data: {\"a\":1}\n\n";
  const auto [bytes, begins] = GENERATE_COPY(
      std::pair<std::string, bool>("HTTP/1.1 20", false), std::pair(kAnswerHead.substr(0, 40), false),
      std::pair(kAnswerHead, false), std::pair(kAnswerHead + "f\r\ndata: {\"a\"", false),
      std::pair(kAnswerHead + http::chunk("data: {\"a\":1}"), false),
      std::pair(kAnswerHead + http::chunk(event), true),
      std::pair(kAnswerHead + http::chunk(event) + http::chunk("data: {\"b\""), true),
      std::pair(kAnswerHead + http::chunk(event) + http::chunk("data: {\"b\"") + "0\r\n\r\n", true),
      std::pair(kAnswerHead + http::chunk(event) + "0\r", true));
  Direct fixture(healthy_reader, healthy_writer);
  BarePeer peer(fixture);
  fixture.write_at(peer);
  fixture.submit("a1", "command");
  REQUIRE(fixture.until([&] { return peer.accepted() && !peer.read().empty(); }));
  peer.write(bytes);
  fixture.settle();
  peer.close();
  fixture.advance(milliseconds(400));
  CHECK(fixture.story ==
        (begins ? std::vector<std::string>{"begin", "cut"} : std::vector<std::string>{"fail"}));
  CHECK(fixture.body == (begins ? event : ""));
  CHECK(fixture.request_count("POST", Role::kWriter) == 0);
}

// ---- kept connections ----

// A second answer some milliseconds after the first would be passed off as the answer to the next request.
TEST_CASE("a connection rests after an answer, and what comes meanwhile closes it", "[endings]") {
  Fixture fixture(healthy_reader, healthy_writer);
  const std::string answer =
      kAnswerHead + http::chunk("data: {\"a\":1}\n\n") + http::chunk("data: [DONE]\n\n") + "0\r\n\r\n";
  RawBytesReplica writer(fixture, answer, kAnswerHead + http::chunk("data: {\"late\":1}\n\n") + "0\r\n\r\n");
  fixture.pool.endpoints({{"w1", writer.address(), true}, {"w2", writer.address(), true}}, false);
  auto first = fixture.platform_client(), second = fixture.platform_client();
  first->post(platform_headers("a1", "command"), kBody);
  REQUIRE(fixture.until([&] { return first->is_finished(); }));
  CHECK(fixture.pool.open() == 2);
  fixture.advance(milliseconds(20));
  second->post(platform_headers("a2", "command"), kBody);
  REQUIRE(fixture.until([&] { return second->is_finished(); }));
  CHECK(fixture.pool.open() == 4);  // new ones: the others rest
  writer.send_more();
  fixture.settle();
  CHECK(fixture.pool.open() == 2);  // the readers' alone
  CHECK(second->body.find("late") == std::string::npos);
}

TEST_CASE("of the connections that have rested the one used last is used again", "[endings]") {
  std::vector<SlotId> used;
  Fixture fixture(healthy_reader, healthy_writer);
  FakeReplica one(fixture, [&](FakeReplica& r, SlotId client, const ReceivedRequest& seen) {
    used.push_back(client);
    if (seen.target.ends_with("now")) r.respond(client, 409);
  });
  fixture.pool.endpoints({{"w1", one.server.local(), true}}, false);
  const auto call = [&](int attempt, const std::string& id) {
    const std::size_t before = used.size();
    fixture.pool.hold({SlotId{}, attempt}, "w1", id);
    REQUIRE(fixture.until([&] { return used.size() == before + 1; }));
    fixture.settle();
  };
  call(1, "x");    // A, out
  call(2, "now");  // B, parked at 0 ms
  fixture.advance(milliseconds(40));
  one.respond(used[0], 409);  // A, parked at 40 ms
  fixture.settle();
  fixture.advance(milliseconds(20));  // B alone has rested
  call(3, "now");
  CHECK(used[2] == used[1]);          // ... and parked again at 60 ms
  fixture.advance(milliseconds(35));  // 95 ms: A alone has rested
  call(4, "now");
  CHECK(used[3] == used[0]);
  fixture.advance(milliseconds(20));  // 115 ms: B alone
  call(5, "x");
  CHECK(used[4] == used[1]);
  call(6, "x");  // A rests: a new one
  CHECK(used[5] != used[0]);
  CHECK(used[5] != used[1]);
}

// ---- deadlines ----

TEST_CASE("an answer in the tick of the deadline ends the request once", "[endings]") {
  const int status = GENERATE(200, 503, 500);
  const bool timer_first = GENERATE(false, true);
  Direct fixture(healthy_reader, silent);
  fixture.submit("a1", "command");
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kWriter) == 1; }));
  fixture.advance(seconds(3) - milliseconds(20));
  REQUIRE(fixture.story.empty());
  for (std::size_t i : {0U, 1U}) {
    for (const SlotId client : fixture.writer(i).pending_clients) {
      status == 200 ? fixture.writer(i).stream_words(client, {"a"})
                    : fixture.writer(i).respond(client, status, {}, status == 503);
    }
  }
  fixture.now += milliseconds(20);
  if (timer_first) fixture.timers.run(fixture.now);
  fixture.advance(milliseconds(400));
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
  CHECK(fixture.engine.open() == 0);
  CHECK(fixture.count("refuse") + fixture.count("fail") + fixture.count("finish") == 1);
  if (timer_first) CHECK(fixture.count("begin") == 0);
}

// ---- what is held ----

// See also engine_test.cpp, where the call is out as the next read is written.
TEST_CASE("what a broken read may have left is let go of after reads that were turned away", "[endings]") {
  int reads = 0;
  Direct fixture([&](FakeReplica& r, SlotId client,
                     const ReceivedRequest&) { ++reads == 1 ? r.server.abort(client) : full(r, client, {}); },
                 healthy_writer);
  fixture.submit("a1");
  for (int i = 0; i < 400 && fixture.engine.open() > 0; ++i) fixture.advance(milliseconds(20));
  REQUIRE(reads > 1);
  fixture.advance(milliseconds(400));
  CHECK(fixture.releases() >= 1);
}

TEST_CASE("a release that is out ends as an attempt of its request is written", "[endings]") {
  Direct fixture(healthy_reader, silent);
  // Nobody accepts the calls: they stay out.
  BarePeer peer(fixture);
  fixture.pool.endpoints({{"r1", peer.address(), true},
                          {"r2", peer.address(), true},
                          {"w1", peer.address(), true},
                          {"w2", peer.address(), true}},
                         false);
  fixture.pool.release("a1", {});
  fixture.settle();
  CHECK(fixture.pool.leases_out() == 1);
  fixture.submit("a1");
  fixture.settle();
  CHECK(fixture.pool.leases_out() == 0);
  CHECK(fixture.pool.open() == 1);
}

// A read whose connection broke may run on at its replica, and leave a state as late as it was told to run.
TEST_CASE("what a broken read may leave is asked for until its time is over", "[endings]") {
  Direct fixture([](FakeReplica& r, SlotId client, const ReceivedRequest&) { r.server.abort(client); },
                 healthy_writer);
  upstream::Options options{milliseconds(250), seconds(15), milliseconds(50)};
  fixture.pool.adopt(options);
  const engine::Time begun = fixture.now;
  fixture.submit("a1");
  std::vector<engine::Time> calls;
  for (int known = 0; fixture.now < begun + seconds(8);) {
    fixture.advance(milliseconds(20));
    for (; known < fixture.releases(); ++known) calls.push_back(fixture.now - begun);
  }
  CHECK(fixture.engine.open() == 0);
  REQUIRE(calls.size() > 10);
  for (std::size_t i = 1; i < calls.size(); ++i)
    CHECK(calls[i] - calls[i - 1] <= fixture.settings.reservation_limit);
  CHECK(calls.back() >= seconds(6));
  CHECK(calls.back() < seconds(6) + milliseconds(600));
  CHECK(fixture.pool.leases_out() == 0);
}

TEST_CASE("with a first token, nothing is asked for any more", "[endings]") {
  int reads = 0;
  Direct fixture(
      [&](FakeReplica& r, SlotId client, const ReceivedRequest& seen) {
        ++reads == 1 ? r.server.abort(client) : healthy_reader(r, client, seen);
      },
      healthy_writer);
  fixture.submit("a1");
  fixture.advance(seconds(8));
  CHECK(fixture.count("finish") == 1);
  CHECK(fixture.releases() == 0);
  CHECK(fixture.pool.leases_out() == 0);
}

// Asked for while a later read's state waits for its writer, a release would take it.
TEST_CASE("the state that the router knows of is not taken by calls for a broken read", "[endings]") {
  int reads = 0, writes = 0;
  Direct fixture(
      [&](FakeReplica& r, SlotId client, const ReceivedRequest& seen) {
        ++reads == 1 ? r.server.abort(client) : healthy_reader(r, client, seen);
      },
      [&](FakeReplica& r, SlotId client, const ReceivedRequest& seen) {
        ++writes == 1 ? full(r, client, seen) : healthy_writer(r, client, seen);
      });
  fixture.submit("a1");
  for (int i = 0; i < 100 && fixture.count("begin") == 0; ++i) fixture.advance(milliseconds(5));
  CHECK(reads == 2);
  CHECK(fixture.count("begin") == 1);
  CHECK(fixture.releases() == 0);
}

// The call to hold a place waits for its connection: written after the release, it would hold one for ever.
TEST_CASE("a hold that still waits for its connection ends with the release", "[endings]") {
  Direct fixture(healthy_reader, healthy_writer);
  fixture.pool.hold({SlotId{}, 0}, "w1", "a1");
  fixture.pool.release("a1", {});
  fixture.advance(milliseconds(200));
  CHECK(fixture.request_count("POST", Role::kWriter, "a1") == 0);
  CHECK(fixture.releases() >= 1);
}

struct Cut : TestEventLoop {
  Cut() {
    pool.endpoints({{"h1", peer.address(), true, false, "z"}, {"h2", peer.address(), true, false, "z"}},
                   true);
  }
  BarePeer peer{*this};  // takes connections and says nothing
  upstream::ConnectionPool pool{io,
                                timers,
                                clock(),
                                [](std::string_view) {},
                                {milliseconds(250), seconds(15), milliseconds(50), 24, 160, 40}};
};

TEST_CASE("releases in a cut go on, ever more slowly, on few connections", "[endings]") {
  Cut fixture;
  for (int i = 0; i < 60; ++i) fixture.pool.release("a" + std::to_string(i), {});
  std::size_t maximum = 0;
  for (int i = 0; i < 60; ++i) {
    fixture.advance(milliseconds(100));
    maximum = std::max(maximum, fixture.pool.open());
  }
  CHECK(maximum <= 10);
  CHECK(fixture.pool.leases_out() == 60);
  fixture.advance(seconds(26));
  CHECK(fixture.pool.leases_out() == 0);
  CHECK(fixture.pool.open() == 0);
}

TEST_CASE("a process told to end waits for releases in a cut for no longer than they may help", "[endings]") {
  Cut fixture;
  fixture.pool.release("a1", {});
  fixture.pool.release("a2", fixture.now + seconds(5));
  fixture.advance(seconds(2));
  CHECK(fixture.pool.leases_pressing() == 2);
  fixture.advance(seconds(2));
  CHECK(fixture.pool.leases_pressing() == 1);
  fixture.advance(seconds(2));
  CHECK(fixture.pool.leases_pressing() == 0);
  CHECK(fixture.pool.leases_out() == 2);
}

// ---- all of it together ----

// Replicas that do whatever they may, and what they then hold and have run.
struct Chaos {
  explicit Chaos(unsigned seed) : random(seed) {}
  int roll() { return std::uniform_int_distribution<int>(0, 99)(random); }
  engine::Duration wait(int max_ms) { return milliseconds(roll() * max_ms / 100); }
  engine::Time now() const { return fixture.now; }
  void hold(const std::string& id) {
    if (!begun.contains(id)) held[id] = now();
  }
  void read(FakeReplica& r, SlotId client, const ReceivedRequest& seen) {
    const int dice = roll();
    if (dice < 40) {
      r.respond(client, 202, "{}");
      hold(seen.id);
    } else if (dice < 65) {
      r.server.abort(client);
      if (dice < 55)
        left_later.emplace_back(now() + std::min<engine::Duration>(wait(1500), seen.time_left), seen.id);
    } else if (dice < 75) {
      r.respond(client, 503, {}, true);
    } else {
      out[{&r, client}] = seen.id;
      if (dice < 90) answered_later.push_back({now() + wait(400), &r, client});
    }
  }
  void write(FakeReplica& r, SlotId client, const ReceivedRequest& seen) {
    const int dice = roll();
    if (!held.contains(seen.id)) return r.respond(client, 410, {}, true);
    if (dice < 20) return r.respond(client, 503, {}, true);
    ++ran[seen.id];
    if (dice < 50) {
      begun.insert(seen.id);
      held.erase(seen.id);
      r.stream_words(client, {"a"});
    } else if (dice < 70) {
      if (dice < 60) held.erase(seen.id);  // fetched
      r.server.abort(client);
    } else if (dice < 85) {
      r.respond(client, 500);
    } else {
      out[{&r, client}] = seen.id;
    }
  }
  void step() {
    fixture.advance(milliseconds(20));
    for (auto& replica : fixture.replicas) {
      std::size_t& known = read_up_to[replica.get()];
      for (; known < replica->received.size(); ++known) {
        const ReceivedRequest& seen = replica->received[known];
        if (seen.method == "DELETE") held.erase(seen.target.substr(seen.target.rfind('/') + 1));
      }
      for (const SlotId gone : replica->disconnected_clients) out.erase({replica.get(), gone});
    }
    std::erase_if(left_later, [&](const auto& entry) {
      if (entry.first <= now()) hold(entry.second);
      return entry.first <= now();
    });
    std::erase_if(answered_later, [&](const Later& later) {
      if (later.at > now()) return false;
      if (const auto it = out.find({later.replica, later.client}); it != out.end()) {
        later.replica->respond(later.client, 202, "{}");
        hold(it->second);
        out.erase(it);
      }
      return true;
    });
    for (auto& [id, since] : held) {
      const bool waits = std::any_of(out.begin(), out.end(), [&](const auto& o) { return o.second == id; });
      if (waits) since = now();
      if (now() - since > fixture.settings.reservation_limit + milliseconds(300)) pinned.insert(id);
    }
  }
  struct Later {
    engine::Time at;
    FakeReplica* replica;
    SlotId client;
  };
  std::mt19937 random;
  std::map<std::string, engine::Time> held;  // since when, with no attempt out
  std::map<std::pair<FakeReplica*, SlotId>, std::string> out;
  std::map<std::string, int> ran;
  std::set<std::string> begun, pinned;
  std::vector<std::pair<engine::Time, std::string>> left_later;
  std::vector<Later> answered_later;
  std::map<FakeReplica*, std::size_t> read_up_to;
  Direct fixture{[this](FakeReplica& r, SlotId c, const ReceivedRequest& s) { read(r, c, s); },
                 [this](FakeReplica& r, SlotId c, const ReceivedRequest& s) { write(r, c, s); }};
};

TEST_CASE("whatever crosses, no command runs twice and nothing stays held", "[endings]") {
  const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U);
  CAPTURE(seed);
  Chaos chaos(seed);
  Direct& fixture = chaos.fixture;
  auto rules = make_settings();
  rules.may_cancel = seed % 2 == 0;
  fixture.adopt(rules);
  fixture.pool.adopt({milliseconds(250), seconds(15), milliseconds(50)});
  std::vector<SlotId> requests;
  for (int i = 0; i < 250; ++i) {
    if (chaos.roll() < 40) {
      const std::string id = std::to_string(i);
      requests.push_back(fixture.submit(id, i % 2 == 0 ? "command" : "ask"));
    }
    if (!requests.empty() && chaos.roll() < 15)
      fixture.engine.client_gone(requests[static_cast<std::size_t>(chaos.roll()) % requests.size()]);
    chaos.step();
  }
  for (int i = 0; i < 500; ++i) chaos.step();
  CHECK(chaos.pinned == std::set<std::string>{});
  CHECK(chaos.held.empty());
  CHECK(fixture.engine.open() == 0);
  CHECK(fixture.engine.unanswered() == 0);
  CHECK(fixture.pool.leases_out() == 0);
  CHECK(chaos.begun.size() > 3);  // some are served all the same
  for (const auto& [id, runs] : chaos.ran) {
    if (std::stoi(id) % 2 == 0) CHECK(runs == 1);
  }
}

}  // namespace
}  // namespace dispatcher::testing
