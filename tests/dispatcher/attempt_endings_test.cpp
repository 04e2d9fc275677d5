// What can cross at the end of an attempt: its client leaving, its connection coming up or breaking, its
// deadline, a drain, the calls that let go of its state. Each crossing is forced; no test waits for luck.
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <random>
#include <set>

#include "world.hpp"

namespace dispatcher::testing {
namespace {

using Seen = StandInReplica::Seen;

const std::string kBody = R"({"model":"x","stream":true,"messages":[]})";
const std::string kAnswerHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

void silent(StandInReplica&, SlotId, const Seen&) {}
void full(StandInReplica& r, SlotId client, const Seen&) { r.say(client, 503, {}, true); }

class BarePeer;

// A world whose requests come from the test itself, so that nothing runs between two steps.
struct Direct : World, private engine::Answerer {
  Direct(Script reader, Script writer) : World(std::move(reader), std::move(writer)) {}
  SlotId submit(const std::string& id, const std::string& cls = "ask", std::size_t size = 40) {
    auto message = std::make_shared<engine::Message>();
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
  int posts() const { return total("POST", false) + total("POST", true); }
  int releases() const { return total("DELETE", false) + total("DELETE", true); }
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
  void refuse(SlotId, std::optional<engine::Duration>) override { story.emplace_back("refuse"); }
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
  explicit BarePeer(Clockwork& work) : work_(work), acceptor_(work.io) {
    acceptor_.open(net::tcp::v4());
    const int least = 536, room = 4096;
    ::setsockopt(acceptor_.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &least, sizeof least);
    ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
    acceptor_.bind(loopback());
    acceptor_.listen();
    acceptor_.non_blocking(true);
  }
  net::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
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
  Clockwork& work_;
  net::tcp::acceptor acceptor_;
  std::vector<net::tcp::socket> sockets_;
};

void Direct::write_at(const BarePeer& peer) {
  pool.hosts({{"w1", peer.address(), true}, {"w2", peer.address(), true}}, false);
}

// ---- the client leaves ----

// Without the right to cancel, the router cancels nothing; the request was written after its client had gone.
TEST_CASE("a client that leaves while its connection comes up has nothing written for it", "[endings]") {
  Direct world(read_well, write_well);
  auto rules = make_settings();
  rules.may_cancel = GENERATE(false, true);
  world.adopt(rules);
  const SlotId id = world.submit("a1");
  world.engine.client_gone(id);
  CHECK(world.engine.open() == 0);
  world.advance(milliseconds(400));
  CHECK(world.posts() == 0);
  CHECK(world.releases() == 0);  // nothing can have been left
}

TEST_CASE("a client that has gone untold has nothing written on a connection that comes up", "[endings]") {
  Direct world(read_well, write_well);
  world.submit("a1");
  world.there = false;
  world.advance(milliseconds(400));
  CHECK(world.posts() == 0);
  CHECK(world.engine.open() == 0);
  CHECK(world.story.empty());
}

TEST_CASE("a client that has gone untold has nothing written on a kept connection", "[endings]") {
  Direct world(read_well, write_well);
  for (const std::string id : {"a1", "a2", "a3", "a4"}) {
    world.submit(id);
    REQUIRE(world.until([&] { return world.engine.open() == 0; }));
    world.advance(milliseconds(60));
  }
  const int before = world.posts();
  world.there = false;
  world.submit("gone");
  world.advance(milliseconds(400));
  CHECK(world.posts() == before);
  CHECK(world.engine.open() == 0);
  CHECK(world.count("refuse") + world.count("fail") == 0);
}

TEST_CASE("a client that leaves between read and write gets no writer, and its state is let go of",
          "[endings]") {
  Direct world(silent, write_well);
  world.submit("a1");
  REQUIRE(world.until([&] { return world.posts() == 1; }));
  world.there = false;
  for (std::size_t i : {0U, 1U})
    for (const SlotId client : world.reader(i).waiting) world.reader(i).say(client, 202, "{}");
  world.advance(milliseconds(400));
  CHECK(world.total("POST", true) == 0);
  CHECK(world.releases() >= 1);  // two calls at once, where no connection is kept
  CHECK(world.pool.leases_out() == 0);
  CHECK(world.engine.open() == 0);
}

// The state was left though its read was given up: the answer crossed the close.
TEST_CASE("a 202 that crosses the close of its read has its state let go of", "[endings]") {
  Direct world(silent, write_well);
  const SlotId id = world.submit("a1");
  REQUIRE(world.until([&] { return world.posts() == 1; }));
  for (std::size_t i : {0U, 1U})
    for (const SlotId client : world.reader(i).waiting) world.reader(i).say(client, 202, "{}");
  world.engine.client_gone(id);  // the answer is written, and not read
  world.advance(milliseconds(400));
  CHECK(world.releases() >= 1);  // two calls at once, where no connection is kept
  CHECK(world.pool.leases_out() == 0);
  CHECK(world.total("POST", true) == 0);
  CHECK(world.engine.open() == 0);
}

// ---- connections ----

TEST_CASE("a connection that comes up after it was given up carries nothing", "[endings]") {
  Direct world(read_well, write_well);
  world.submit("a1", "command");
  world.now += milliseconds(300);
  world.deadlines.run(world.now);  // the connect timeout; the connection is up, which nobody has read yet
  world.advance(milliseconds(400));
  CHECK(world.total("POST", false) == 1);
  CHECK(world.total("POST", true) == 1);
  CHECK(world.story == std::vector<std::string>{"begin", "finish"});
}

TEST_CASE("a host that came back under another address gets nothing at the old one", "[endings]") {
  Direct world(read_well, write_well);
  StandInReplica elsewhere(world, read_well);
  world.submit("a1");
  world.pool.hosts({{"r1", elsewhere.server.local(), true}, {"r2", elsewhere.server.local(), true}}, false);
  world.advance(milliseconds(400));
  CHECK(world.total("POST", false) == 0);
  CHECK(elsewhere.count("POST") == 1);
  CHECK(world.count("finish") == 1);
}

TEST_CASE("a connection to where a host listened before is not kept for it", "[endings]") {
  Direct world(silent, write_well);
  StandInReplica elsewhere(world, read_well);
  world.submit("a1");
  REQUIRE(world.until([&] { return world.posts() == 1; }));
  world.pool.hosts({{"r1", elsewhere.server.local(), true}, {"r2", elsewhere.server.local(), true}}, false);
  for (std::size_t i : {0U, 1U})
    for (const SlotId client : world.reader(i).waiting) world.reader(i).say(client, 202, "{}");
  REQUIRE(world.until([&] { return world.count("finish") == 1; }));
  world.advance(milliseconds(60));
  CHECK(world.pool.open() == 1);  // the writer's
}

TEST_CASE("a drain told while a connection comes up keeps the first byte back past part of the grace",
          "[endings]") {
  const auto grace = GENERATE(milliseconds(100), milliseconds(250), milliseconds(1000));
  const bool late = GENERATE(false, true);
  Direct world(read_well, write_well);
  upstream::Options options{milliseconds(250), seconds(15), milliseconds(50)};
  options.drain_grace = grace;
  world.pool.adopt(options);
  world.submit("a1");
  world.pool.hosts(
      {{"r1", world.reader(0).server.local(), false}, {"r2", world.reader(1).server.local(), false}}, false);
  world.now += grace * 3 / 5 + milliseconds(late ? 1 : 0);
  world.settle();
  world.settle();
  CHECK(world.total("POST", false) == (late ? 0 : 1));
}

// ---- breaks ----

TEST_CASE("a connection that breaks before the request's last byte is written has run nothing", "[endings]") {
  Direct world(read_well, write_well);
  BarePeer peer(world);
  world.write_at(peer);
  world.submit("a1", "command", 200000);
  REQUIRE(world.until([&] { return peer.accepted(); }));
  world.settle();
  peer.reset();
  for (int i = 0; i < 200 && world.story.empty(); ++i) {
    world.advance(milliseconds(20));
    if (peer.accepted()) peer.reset();  // the other writer's as well
  }
  CHECK(world.story == std::vector<std::string>{"refuse"});  // it can't have run
}

TEST_CASE("an answer that comes before the request's last byte is written is no answer", "[endings]") {
  Direct world(read_well, write_well);
  BarePeer peer(world);
  world.write_at(peer);
  world.submit("a1", "command", 200000);
  REQUIRE(world.until([&] { return peer.accepted(); }));
  world.settle();
  peer.write(kAnswerHead + http::chunk("data: {\"of\":\"another\"}\n\n") + http::chunk("data: [DONE]\n\n") +
             "0\r\n\r\n");
  world.advance(milliseconds(100));
  CHECK(world.body.empty());
  CHECK(world.count("begin") == 0);
}

TEST_CASE("a connection that breaks after the request's last byte may have run it", "[endings]") {
  Direct world(read_well, silent);
  world.submit("a1", "command");
  REQUIRE(world.until([&] { return world.total("POST", true) == 1; }));
  const bool at_once = GENERATE(true, false);
  if (!at_once) world.advance(seconds(2));
  for (std::size_t i : {0U, 1U})
    for (const SlotId client : world.writer(i).waiting) world.writer(i).server.cut(client);
  world.advance(seconds(3));
  CHECK(world.total("POST", true) == 1);
  CHECK(world.story == std::vector<std::string>{"fail"});
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
  Direct world(read_well, write_well);
  BarePeer peer(world);
  world.write_at(peer);
  world.submit("a1", "command");
  REQUIRE(world.until([&] { return peer.accepted() && !peer.read().empty(); }));
  peer.write(bytes);
  world.settle();
  peer.close();
  world.advance(milliseconds(400));
  CHECK(world.story ==
        (begins ? std::vector<std::string>{"begin", "cut"} : std::vector<std::string>{"fail"}));
  CHECK(world.body == (begins ? event : ""));
  CHECK(world.total("POST", true) == 0);
}

// ---- kept connections ----

// A second answer some milliseconds after the first would be passed off as the answer to the next request.
TEST_CASE("a connection rests after an answer, and what comes meanwhile closes it", "[endings]") {
  World world(read_well, write_well);
  const std::string answer =
      kAnswerHead + http::chunk("data: {\"a\":1}\n\n") + http::chunk("data: [DONE]\n\n") + "0\r\n\r\n";
  RawReplica writer(world, answer, kAnswerHead + http::chunk("data: {\"late\":1}\n\n") + "0\r\n\r\n");
  world.pool.hosts({{"w1", writer.address(), true}, {"w2", writer.address(), true}}, false);
  auto first = world.platform_client(), second = world.platform_client();
  first->post(facts("a1", "command"), kBody);
  REQUIRE(world.until([&] { return first->answered(); }));
  CHECK(world.pool.open() == 2);
  world.advance(milliseconds(20));
  second->post(facts("a2", "command"), kBody);
  REQUIRE(world.until([&] { return second->answered(); }));
  CHECK(world.pool.open() == 4);  // new ones: the others rest
  writer.go_on();
  world.settle();
  CHECK(world.pool.open() == 2);  // the readers' alone
  CHECK(second->body.find("late") == std::string::npos);
}

TEST_CASE("of the connections that have rested the one used last is used again", "[endings]") {
  std::vector<SlotId> used;
  World world(read_well, write_well);
  StandInReplica one(world, [&](StandInReplica& r, SlotId client, const Seen& seen) {
    used.push_back(client);
    if (seen.target.ends_with("now")) r.say(client, 409);
  });
  world.pool.hosts({{"w1", one.server.local(), true}}, false);
  const auto call = [&](int attempt, const std::string& id) {
    const std::size_t before = used.size();
    world.pool.hold({SlotId{}, attempt}, "w1", id);
    REQUIRE(world.until([&] { return used.size() == before + 1; }));
    world.settle();
  };
  call(1, "x");    // A, out
  call(2, "now");  // B, parked at 0 ms
  world.advance(milliseconds(40));
  one.say(used[0], 409);  // A, parked at 40 ms
  world.settle();
  world.advance(milliseconds(20));  // B alone has rested
  call(3, "now");
  CHECK(used[2] == used[1]);        // ... and parked again at 60 ms
  world.advance(milliseconds(35));  // 95 ms: A alone has rested
  call(4, "now");
  CHECK(used[3] == used[0]);
  world.advance(milliseconds(20));  // 115 ms: B alone
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
  Direct world(read_well, silent);
  world.submit("a1", "command");
  REQUIRE(world.until([&] { return world.total("POST", true) == 1; }));
  world.advance(seconds(3) - milliseconds(20));
  REQUIRE(world.story.empty());
  for (std::size_t i : {0U, 1U}) {
    for (const SlotId client : world.writer(i).waiting) {
      status == 200 ? world.writer(i).stream(client, {"a"})
                    : world.writer(i).say(client, status, {}, status == 503);
    }
  }
  world.now += milliseconds(20);
  if (timer_first) world.deadlines.run(world.now);
  world.advance(milliseconds(400));
  CHECK(world.total("POST", true) == 1);
  CHECK(world.engine.open() == 0);
  CHECK(world.count("refuse") + world.count("fail") + world.count("finish") == 1);
  if (timer_first) CHECK(world.count("begin") == 0);
}

// ---- what is held ----

// See also engine_test.cpp, where the call is out as the next read is written.
TEST_CASE("what a broken read may have left is let go of after reads that were turned away", "[endings]") {
  int reads = 0;
  Direct world([&](StandInReplica& r, SlotId client,
                   const Seen&) { ++reads == 1 ? r.server.cut(client) : full(r, client, {}); },
               write_well);
  world.submit("a1");
  for (int i = 0; i < 400 && world.engine.open() > 0; ++i) world.advance(milliseconds(20));
  REQUIRE(reads > 1);
  world.advance(milliseconds(400));
  CHECK(world.releases() >= 1);
}

TEST_CASE("a release that is out ends as an attempt of its request is written", "[endings]") {
  Direct world(read_well, silent);
  // Nobody accepts the calls: they stay out.
  BarePeer peer(world);
  world.pool.hosts({{"r1", peer.address(), true},
                    {"r2", peer.address(), true},
                    {"w1", peer.address(), true},
                    {"w2", peer.address(), true}},
                   false);
  world.pool.release("a1", {});
  world.settle();
  CHECK(world.pool.leases_out() == 1);
  world.submit("a1");
  world.settle();
  CHECK(world.pool.leases_out() == 0);
  CHECK(world.pool.open() == 1);
}

// A read whose connection broke may run on at its replica, and leave a state as late as it was told to run.
TEST_CASE("what a broken read may leave is asked for until its time is over", "[endings]") {
  Direct world([](StandInReplica& r, SlotId client, const Seen&) { r.server.cut(client); }, write_well);
  upstream::Options options{milliseconds(250), seconds(15), milliseconds(50)};
  world.pool.adopt(options);
  const engine::Time begun = world.now;
  world.submit("a1");
  std::vector<engine::Time> calls;
  for (int known = 0; world.now < begun + seconds(8);) {
    world.advance(milliseconds(20));
    for (; known < world.releases(); ++known) calls.push_back(world.now - begun);
  }
  CHECK(world.engine.open() == 0);
  REQUIRE(calls.size() > 10);
  for (std::size_t i = 1; i < calls.size(); ++i) CHECK(calls[i] - calls[i - 1] <= world.settings.pin_limit);
  CHECK(calls.back() >= seconds(6));
  CHECK(calls.back() < seconds(6) + milliseconds(600));
  CHECK(world.pool.leases_out() == 0);
}

TEST_CASE("with a first token, nothing is asked for any more", "[endings]") {
  int reads = 0;
  Direct world([&](StandInReplica& r, SlotId client,
                   const Seen& seen) { ++reads == 1 ? r.server.cut(client) : read_well(r, client, seen); },
               write_well);
  world.submit("a1");
  world.advance(seconds(8));
  CHECK(world.count("finish") == 1);
  CHECK(world.releases() == 0);
  CHECK(world.pool.leases_out() == 0);
}

// Asked for while a later read's state waits for its writer, a release would take it.
TEST_CASE("the state that the router knows of is not taken by calls for a broken read", "[endings]") {
  int reads = 0, writes = 0;
  Direct world([&](StandInReplica& r, SlotId client,
                   const Seen& seen) { ++reads == 1 ? r.server.cut(client) : read_well(r, client, seen); },
               [&](StandInReplica& r, SlotId client, const Seen& seen) {
                 ++writes == 1 ? full(r, client, seen) : write_well(r, client, seen);
               });
  world.submit("a1");
  for (int i = 0; i < 100 && world.count("begin") == 0; ++i) world.advance(milliseconds(5));
  CHECK(reads == 2);
  CHECK(world.count("begin") == 1);
  CHECK(world.releases() == 0);
}

// The call to hold a place waits for its connection: written after the release, it would hold one for ever.
TEST_CASE("a hold that still waits for its connection ends with the release", "[endings]") {
  Direct world(read_well, write_well);
  world.pool.hold({SlotId{}, 0}, "w1", "a1");
  world.pool.release("a1", {});
  world.advance(milliseconds(200));
  CHECK(world.total("POST", true, "a1") == 0);
  CHECK(world.releases() >= 1);
}

struct Cut : Clockwork {
  Cut() {
    pool.hosts({{"h1", peer.address(), true, false, "z"}, {"h2", peer.address(), true, false, "z"}}, true);
  }
  BarePeer peer{*this};  // takes connections and says nothing
  upstream::Pool pool{io,
                      deadlines,
                      clock(),
                      [](std::string_view) {},
                      {milliseconds(250), seconds(15), milliseconds(50), 24, 160, 40}};
};

TEST_CASE("releases in a cut go on, ever more slowly, on few connections", "[endings]") {
  Cut world;
  for (int i = 0; i < 60; ++i) world.pool.release("a" + std::to_string(i), {});
  std::size_t most = 0;
  for (int i = 0; i < 60; ++i) {
    world.advance(milliseconds(100));
    most = std::max(most, world.pool.open());
  }
  CHECK(most <= 10);
  CHECK(world.pool.leases_out() == 60);
  world.advance(seconds(26));
  CHECK(world.pool.leases_out() == 0);
  CHECK(world.pool.open() == 0);
}

TEST_CASE("a process told to end waits for releases in a cut for no longer than they may help", "[endings]") {
  Cut world;
  world.pool.release("a1", {});
  world.pool.release("a2", world.now + seconds(5));
  world.advance(seconds(2));
  CHECK(world.pool.leases_pressing() == 2);
  world.advance(seconds(2));
  CHECK(world.pool.leases_pressing() == 1);
  world.advance(seconds(2));
  CHECK(world.pool.leases_pressing() == 0);
  CHECK(world.pool.leases_out() == 2);
}

// ---- all of it together ----

// Replicas that do whatever they may, and what they then hold and have run.
struct Chaos {
  explicit Chaos(unsigned seed) : random(seed) {}
  int roll() { return std::uniform_int_distribution<int>(0, 99)(random); }
  engine::Duration wait(int most_ms) { return milliseconds(roll() * most_ms / 100); }
  engine::Time now() const { return world.now; }
  void hold(const std::string& id) {
    if (!begun.contains(id)) held[id] = now();
  }
  void read(StandInReplica& r, SlotId client, const Seen& seen) {
    const int dice = roll();
    if (dice < 40) {
      r.say(client, 202, "{}");
      hold(seen.id);
    } else if (dice < 65) {
      r.server.cut(client);
      if (dice < 55)
        left_later.emplace_back(now() + std::min<engine::Duration>(wait(1500), seen.left), seen.id);
    } else if (dice < 75) {
      r.say(client, 503, {}, true);
    } else {
      out[{&r, client}] = seen.id;
      if (dice < 90) answered_later.push_back({now() + wait(400), &r, client});
    }
  }
  void write(StandInReplica& r, SlotId client, const Seen& seen) {
    const int dice = roll();
    if (!held.contains(seen.id)) return r.say(client, 410, {}, true);
    if (dice < 20) return r.say(client, 503, {}, true);
    ++ran[seen.id];
    if (dice < 50) {
      begun.insert(seen.id);
      held.erase(seen.id);
      r.stream(client, {"a"});
    } else if (dice < 70) {
      if (dice < 60) held.erase(seen.id);  // fetched
      r.server.cut(client);
    } else if (dice < 85) {
      r.say(client, 500);
    } else {
      out[{&r, client}] = seen.id;
    }
  }
  void step() {
    world.advance(milliseconds(20));
    for (auto& replica : world.replicas) {
      std::size_t& known = read_up_to[replica.get()];
      for (; known < replica->seen.size(); ++known) {
        const Seen& seen = replica->seen[known];
        if (seen.method == "DELETE") held.erase(seen.target.substr(seen.target.rfind('/') + 1));
      }
      for (const SlotId gone : replica->gone) out.erase({replica.get(), gone});
    }
    std::erase_if(left_later, [&](const auto& entry) {
      if (entry.first <= now()) hold(entry.second);
      return entry.first <= now();
    });
    std::erase_if(answered_later, [&](const Later& later) {
      if (later.at > now()) return false;
      if (const auto it = out.find({later.replica, later.client}); it != out.end()) {
        later.replica->say(later.client, 202, "{}");
        hold(it->second);
        out.erase(it);
      }
      return true;
    });
    for (auto& [id, since] : held) {
      const bool waits = std::any_of(out.begin(), out.end(), [&](const auto& o) { return o.second == id; });
      if (waits) since = now();
      if (now() - since > world.settings.pin_limit + milliseconds(300)) pinned.insert(id);
    }
  }
  struct Later {
    engine::Time at;
    StandInReplica* replica;
    SlotId client;
  };
  std::mt19937 random;
  std::map<std::string, engine::Time> held;  // since when, with no attempt out
  std::map<std::pair<StandInReplica*, SlotId>, std::string> out;
  std::map<std::string, int> ran;
  std::set<std::string> begun, pinned;
  std::vector<std::pair<engine::Time, std::string>> left_later;
  std::vector<Later> answered_later;
  std::map<StandInReplica*, std::size_t> read_up_to;
  Direct world{[this](StandInReplica& r, SlotId c, const Seen& s) { read(r, c, s); },
               [this](StandInReplica& r, SlotId c, const Seen& s) { write(r, c, s); }};
};

TEST_CASE("whatever crosses, no command runs twice and nothing stays held", "[endings]") {
  const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U);
  CAPTURE(seed);
  Chaos chaos(seed);
  Direct& world = chaos.world;
  auto rules = make_settings();
  rules.may_cancel = seed % 2 == 0;
  world.adopt(rules);
  world.pool.adopt({milliseconds(250), seconds(15), milliseconds(50)});
  std::vector<SlotId> requests;
  for (int i = 0; i < 250; ++i) {
    if (chaos.roll() < 40) {
      const std::string id = std::to_string(i);
      requests.push_back(world.submit(id, i % 2 == 0 ? "command" : "ask"));
    }
    if (!requests.empty() && chaos.roll() < 15)
      world.engine.client_gone(requests[static_cast<std::size_t>(chaos.roll()) % requests.size()]);
    chaos.step();
  }
  for (int i = 0; i < 500; ++i) chaos.step();
  CHECK(chaos.pinned == std::set<std::string>{});
  CHECK(chaos.held.empty());
  CHECK(world.engine.open() == 0);
  CHECK(world.engine.unanswered() == 0);
  CHECK(world.pool.leases_out() == 0);
  CHECK(chaos.begun.size() > 3);  // some are served all the same
  for (const auto& [id, runs] : chaos.ran) {
    if (std::stoi(id) % 2 == 0) CHECK(runs == 1);
  }
}

}  // namespace
}  // namespace dispatcher::testing
