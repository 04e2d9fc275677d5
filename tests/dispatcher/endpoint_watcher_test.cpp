// EndpointWatcher over loopback, against an agent that is silent, rejects, resets and repeats itself.
#include "service_discovery/endpoint_watcher.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <optional>

#include "fixture.hpp"
#include "service_discovery/poll_timing.hpp"

namespace dispatcher::testing {
namespace {

namespace asio = boost::asio;

std::string entry(const std::string& endpoint, const std::string& health) {
  return R"({"host":")" + endpoint + R"(","health":")" + health +
         R"(","dial":"127.0.0.1:3000","site":"here","class":"reader","block":0,"share":1,"born_ms":0})";
}
std::string list(int seq, bool whole, const std::string& health = "up") {
  return R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + (whole ? "true" : "false") + R"(,"hosts":[)" +
         entry("a", health) + "]}\n";
}
std::string indented(int seq, bool whole, int width) {
  return nlohmann::json::parse(list(seq, whole)).dump(width) + "\n";
}

// An agent that does nothing by itself but accept connections and remember what was asked on them.
class Agent {
 public:
  explicit Agent(TestEventLoop& work) : io_(work.io), at_(loopback()) { listen(); }
  ~Agent() { reject(); }
  [[nodiscard]] net::tcp::endpoint address() const { return at_; }

  struct Call {
    explicit Call(asio::io_context& io) : socket(io) {}
    net::tcp::socket socket;
    std::vector<std::string> asked;  // targets
    std::string unread;
    bool gone = false, begun = false;
  };
  std::vector<std::shared_ptr<Call>> calls;
  std::function<void(Call&)> on_asked;  // for what is to be answered at once

  [[nodiscard]] int open() const {
    return static_cast<int>(std::count_if(calls.begin(), calls.end(), [](auto& c) { return !c->gone; }));
  }
  [[nodiscard]] std::size_t asked() const {
    std::size_t n = 0;
    for (const auto& call : calls) n += call->asked.size();
    return n;
  }
  [[nodiscard]] const std::string& last_asked() const { return calls.back()->asked.back(); }

  static void write(Call& call, const std::string& text) {
    boost::system::error_code ignored;
    asio::write(call.socket, asio::buffer(text), ignored);
  }
  // The next part of a watch.
  static void say(Call& call, const std::string& text) {
    if (!std::exchange(call.begun, true))
      write(call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (!text.empty()) write(call, http::chunk(text));
  }
  static void answer(Call& call, int status, const std::string& body) {
    write(call, http::response(status, "application/json", body, http::Persistence::kKeepAlive));
  }
  static void reset(Call& call) {
    boost::system::error_code ignored;
    call.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    call.socket.close(ignored);
    call.gone = true;
  }
  void reject() {  // as a machine does where nobody listens
    acceptor_.reset();
  }
  void listen() {
    acceptor_.emplace(io_, at_);
    at_ = acceptor_->local_endpoint();
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
    call->socket.async_read_some(
        asio::buffer(*bytes), [this, call, bytes](boost::system::error_code error, std::size_t n) {
          if (error) return void(call->gone = true);
          call->unread.append(bytes->data(), n);
          for (std::size_t end; (end = call->unread.find("\r\n\r\n")) != std::string::npos;) {
            const std::string head = call->unread.substr(0, end);
            call->unread.erase(0, end + 4);
            call->asked.push_back(head.substr(4, head.find(' ', 4) - 4));
            call->begun = false;
            if (on_asked) on_asked(*call);
          }
          if (!call->gone) read(call);
        });
  }
  asio::io_context& io_;
  net::tcp::endpoint at_;
  std::optional<net::tcp::acceptor> acceptor_;
};

struct Follower {
  explicit Follower(TestEventLoop& work, Agent& agent, int fleet = 300,
                    service_discovery::ListDelivery lists = service_discovery::ListDelivery::kPush)
      : watcher(
            work.io, agent.address(), work.timers, work.clock(),
            [this](std::string_view line) { logs.emplace_back(line); },
            [this](const service_discovery::EndpointSnapshot& snapshot) { told.push_back(snapshot); },
            {fleet, 3, lists}) {}
  std::vector<std::string> logs;
  std::vector<service_discovery::EndpointSnapshot> told;
  service_discovery::EndpointWatcher watcher;
  [[nodiscard]] long logged(std::string_view start) const {
    return std::count_if(logs.begin(), logs.end(), [&](auto& line) { return line.starts_with(start); });
  }
};

// A watch that has its first list, after which the agent says nothing by itself.
struct Established {
  explicit Established(int fleet = 300,
                       service_discovery::ListDelivery lists = service_discovery::ListDelivery::kPush)
      : agent(work), follower(work, agent, fleet, lists) {
    follower.watcher.start(40);
    REQUIRE(work.until([&] { return agent.asked() == 1; }));
    Agent::say(*agent.calls[0], list(41, true));
    REQUIRE(work.until([&] { return follower.told.size() == 1; }));
  }
  bool asks(std::size_t n) {
    return work.until([&] { return agent.asked() >= n; });
  }
  bool tells(std::size_t n) {
    return work.until([&] { return follower.told.size() >= n; });
  }
  TestEventLoop work;
  Agent agent;
  Follower follower;
};

TEST_CASE("pushed: a call is out whenever discovery comes back, and brings the change in that moment",
          "[discovery][watch]") {
  for (const int silent : {300, 2500, 4600, 5900, 8200}) {
    Established established;
    for (int t = 0; t < silent; t += 100) {
      established.work.advance(milliseconds(100));
      established.work.settle();
      REQUIRE(established.agent.open() >= 1);
      REQUIRE(established.agent.open() <= 2);
    }
    const engine::Time back = established.work.now;
    for (const auto& call : established.agent.calls) {
      if (!call->gone) Agent::say(*call, list(42, false, "draining"));
    }
    REQUIRE(established.tells(2));
    CHECK(established.work.now == back);  // not a moment later
    CHECK(established.follower.told.back().list.entries[0].state == routing::EndpointState::kDraining);
    established.work.settle();
    CHECK(established.agent.open() == 1);
    CHECK(established.follower.logged("discovery lost") == (silent > 2400 ? 1 : 0));
    CHECK(established.follower.logged("discovery back") == (silent > 2400 ? 1 : 0));
  }
}

TEST_CASE("pushed: a change on the older of two calls is taken, and the newer call stays until it answers",
          "[discovery][watch]") {
  Established established;
  established.work.advance(milliseconds(2500));
  REQUIRE(established.asks(2));
  CHECK(established.agent.calls[1]->asked[0] == "/v1/servers?follow=1&since=41");
  Agent::say(*established.agent.calls[0], list(42, false, "draining"));
  REQUIRE(established.tells(2));
  CHECK(established.follower.watcher.version() == 42);
  CHECK(established.agent.open() == 2);
  Agent::say(*established.agent.calls[1], list(42, false, "draining"));  // what came after 41
  REQUIRE(established.work.until([&] { return established.agent.open() == 1; }));
  CHECK(established.agent.calls[0]->gone);
}

TEST_CASE("pushed: after a reset, a cut in the middle of a line or an end, the next call goes out at once",
          "[discovery][watch]") {
  for (const int how : {0, 1, 2}) {
    Established established;
    established.work.advance(milliseconds(1500));
    if (how == 1) Agent::say(*established.agent.calls[0], list(42, false).substr(0, 30));
    established.work.settle();
    if (how == 2) {
      Agent::write(*established.agent.calls[0], std::string(http::kLastChunk));
    } else {
      Agent::reset(*established.agent.calls[0]);
    }
    established.work.settle();
    established.work.advance(milliseconds(20));
    REQUIRE(established.asks(2));
    CHECK(established.agent.last_asked() == "/v1/servers?follow=1&since=41");
    Agent::say(*established.agent.calls[1], list(42, false, "draining"));
    REQUIRE(established.tells(2));
    CHECK(established.follower.logged("discovery lost") == 1);
    CHECK(established.follower.logged("discovery back") == 1);
  }
}

TEST_CASE("pushed: connections that are refused or reset at once don't spin, and the return is heard",
          "[discovery][watch]") {
  Established established;
  established.work.advance(milliseconds(1500));
  established.agent.on_asked = [](Agent::Call& call) { Agent::reset(call); };
  Agent::reset(*established.agent.calls[0]);
  established.work.advance(seconds(5));
  const auto resets = established.agent.calls.size();
  CHECK(resets >= 15);  // at 250 ms at most
  CHECK(resets <= 50);
  established.agent.reject();
  established.work.advance(seconds(5));
  CHECK(established.follower.logged("discovery lost") == 1);
  established.agent.on_asked = [](Agent::Call& call) { Agent::say(call, list(42, false, "draining")); };
  established.agent.listen();
  established.work.advance(milliseconds(300));
  REQUIRE(established.tells(2));
  CHECK(established.follower.logged("discovery back") == 1);
}

TEST_CASE("pushed: refusals in a row keep their pause, and discovery is heard just after each of them",
          "[discovery][watch]") {
  Established established;
  established.work.advance(milliseconds(100));
  int rejected = 0;
  established.agent.on_asked = [&](Agent::Call& call) {
    ++rejected;
    Agent::answer(call, 503, "{}");
    call.socket.shutdown(net::tcp::socket::shutdown_send);
  };
  Agent::reset(*established.agent.calls[0]);
  for (int pause = 1; pause <= 4; ++pause) {
    for (int waited = 0; rejected < pause && waited < 4000; waited += 20)
      established.work.advance(milliseconds(20));
    REQUIRE(rejected == pause);
    established.work.settle();
    established.work.advance(milliseconds(900));  // the shortest pause that a fleet of 300 draws is 1 s
    REQUIRE(rejected == pause);
  }
  established.agent.on_asked = [](Agent::Call& call) { Agent::say(call, list(42, false, "draining")); };
  established.work.advance(service_discovery::kMaxRejectionPause);
  REQUIRE(established.tells(2));
}

TEST_CASE("asked for: there is one call at a time, with a pause after silence, a reset and a refusal",
          "[discovery][watch]") {
  for (const int how : {0, 1, 2}) {
    Established established(300, service_discovery::ListDelivery::kPoll);
    if (how == 0) {
      established.work.advance(service_discovery::kWatchTimeout + milliseconds(40));
      CHECK(established.work.until([&] { return established.agent.open() == 0; }));
      established.work.advance(milliseconds(400));
      CHECK(established.agent.calls.size() == 1);
      established.work.advance(milliseconds(600));
    } else {
      established.agent.on_asked = [](Agent::Call& call) { Agent::answer(call, 503, "{}"); };
      Agent::reset(*established.agent.calls[0]);
      established.work.settle();
      established.work.advance(milliseconds(900));
      CHECK(established.agent.calls.size() == 1);
      established.work.advance(milliseconds(1200));
    }
    REQUIRE(established.asks(2));
    established.agent.on_asked = {};
    if (how == 2) {  // refused at that second call
      established.work.settle();
      established.work.advance(milliseconds(900));
      CHECK(established.agent.calls.size() == 2);
      established.work.advance(milliseconds(2200));
      REQUIRE(established.asks(3));
    }
    if (how == 1) continue;
    Agent::say(*established.agent.calls.back(), list(42, false, "draining"));
    REQUIRE(established.tells(2));
    CHECK(established.agent.open() == 1);
  }
}

TEST_CASE("an overbooked discovery's 503 after 2 s is read, not cut off", "[discovery][watch]") {
  for (const auto lists : {service_discovery::ListDelivery::kPush, service_discovery::ListDelivery::kPoll}) {
    TestEventLoop work;
    Agent agent(work);
    Follower follower(work, agent, 300, lists);
    follower.watcher.start(40);
    REQUIRE(work.until([&] { return agent.asked() == 1; }));
    work.advance(milliseconds(2020));
    Agent::answer(*agent.calls[0], 503, "{}");
    REQUIRE(work.until([&] { return !follower.logs.empty(); }));
    CHECK(follower.logs[0] == "discovery lost: status 503");
    work.advance(milliseconds(900));
    CHECK(agent.calls.size() == 1);
  }
}

TEST_CASE("lists come indented, cut anywhere, and several in one piece", "[discovery][watch]") {
  Established established;
  std::size_t seq = 42;
  for (const int width : {0, 1, 2, 4, 8}) {
    const std::string text = indented(static_cast<int>(seq), false, width);
    for (std::size_t at = 0; at < text.size(); at += 17)
      Agent::say(*established.agent.calls[0], text.substr(at, 17));
    REQUIRE(established.tells(seq - 40));
    ++seq;
  }
  Agent::say(*established.agent.calls[0],
             "\r\n" + list(47, false) + "\r\n \n" + indented(48, false, 2) + list(49, false));
  REQUIRE(established.tells(9));
  CHECK(established.follower.watcher.version() == 49);
  CHECK(established.agent.calls.size() == 1);
  CHECK(established.follower.logs.empty());
}

TEST_CASE("an indented whole list is taken as well, after a move", "[discovery][watch]") {
  Established established;
  Agent next(established.work);
  established.follower.watcher.set_address(next.address());
  REQUIRE(established.work.until([&] { return next.asked() == 1; }));
  CHECK(next.last_asked() == "/v1/servers");
  Agent::answer(*next.calls[0], 200, indented(7, true, 2));
  REQUIRE(established.tells(2));
  CHECK(established.follower.watcher.version() == 7);
  REQUIRE(established.work.until([&] { return next.asked() == 2; }));
  CHECK(next.last_asked() == "/v1/servers?follow=1&since=7");
}

TEST_CASE("what can't be read, is no list or does not end has the whole list asked for, without spinning",
          "[discovery][watch]") {
  const std::vector<std::string> bad{"not JSON\n", "[]\n", "{\"seq\":1}\n", "{]}\n",
                                     list(42, false, "unheard of")};
  for (const std::string& text : bad) {
    Established established;
    established.work.advance(milliseconds(1500));
    Agent::say(*established.agent.calls[0], text);
    established.work.settle();
    established.work.advance(milliseconds(20));
    REQUIRE(established.asks(2));
    CHECK(established.agent.last_asked() == "/v1/servers");
    established.agent.on_asked = [&](Agent::Call& call) { Agent::answer(call, 200, text); };
    Agent::answer(*established.agent.calls[1], 200, text);
    established.work.settle();
    const auto before = established.agent.calls.size();
    established.work.advance(seconds(5));
    CHECK(established.agent.calls.size() <= before + 30);
    CHECK(established.agent.calls.size() >= before + 15);
    CHECK(established.agent.last_asked() == "/v1/servers");  // still owed
    CHECK(established.follower.logged("discovery lost") == 1);
    established.agent.on_asked = [&](Agent::Call& call) {
      if (call.asked.back() == "/v1/servers") Agent::answer(call, 200, list(43, true));
    };
    established.work.advance(milliseconds(300));
    REQUIRE(established.tells(2));
    REQUIRE(established.work.until(
        [&] { return established.agent.last_asked() == "/v1/servers?follow=1&since=43"; }));
    CHECK(established.follower.logged("discovery back") == 1);
  }
}

TEST_CASE("a line that trickles keeps the watch alive, but not for longer than an object may take",
          "[discovery][watch]") {
  Established established;
  const std::string text = list(42, false);
  std::size_t at = 0;
  for (; at < 22; ++at) {  // 2.2 s
    Agent::say(*established.agent.calls[0], text.substr(at, 1));
    established.work.advance(milliseconds(100));
  }
  CHECK(established.agent.calls.size() == 1);
  for (; at < 27; ++at) {
    Agent::say(*established.agent.calls[0], text.substr(at, 1));
    established.work.advance(milliseconds(100));
  }
  REQUIRE(established.asks(2));
  CHECK(established.agent.last_asked() == "/v1/servers");
  CHECK(established.agent.calls[0]->gone);
}

TEST_CASE("empty lines alone keep a watch alive", "[discovery][watch]") {
  Established established;
  for (int i = 0; i < 10; ++i) {
    established.work.advance(seconds(2));
    Agent::say(*established.agent.calls[0], i % 2 == 0 ? "\n" : "\r\n");
    established.work.settle();
  }
  CHECK(established.agent.calls.size() == 1);
  CHECK(established.follower.logs.empty());
  CHECK(established.follower.watcher.last_response_at() == established.work.now);
}

TEST_CASE("a watch that opens and then says nothing is joined like any silent one", "[discovery][watch]") {
  TestEventLoop work;
  Agent agent(work);
  Follower follower(work, agent);
  follower.watcher.start(40);
  REQUIRE(work.until([&] { return agent.asked() == 1; }));
  Agent::say(*agent.calls[0], "");
  work.settle();
  work.advance(milliseconds(2300));
  CHECK(agent.calls.size() == 1);
  work.advance(milliseconds(120));
  REQUIRE(work.until([&] { return agent.asked() == 2; }));
  CHECK(agent.open() == 2);
  Agent::say(*agent.calls[1], list(42, true));
  REQUIRE(work.until([&] { return follower.told.size() == 1; }));
  REQUIRE(work.until([&] { return agent.calls[0]->gone; }));
}

TEST_CASE("an older change is passed over; a whole list is always taken", "[discovery][watch]") {
  Established established;
  Agent::Call& call = *established.agent.calls[0];
  Agent::say(call, list(45, false, "draining") + list(44, false, "up") + list(46, false, "draining"));
  REQUIRE(established.tells(3));
  CHECK(established.follower.told[1].version == 45);
  CHECK(established.follower.told[2].version == 46);
  Agent::say(call, list(5, true));
  REQUIRE(established.tells(4));
  CHECK(established.follower.watcher.version() == 5);
  Agent::say(call, list(6, false, "draining"));
  REQUIRE(established.tells(5));
}

TEST_CASE(
    "a move closes both old calls and asks the new address at once, also where its first call is silent",
    "[discovery][watch]") {
  for (const auto lists : {service_discovery::ListDelivery::kPush, service_discovery::ListDelivery::kPoll}) {
    Established established(300, lists);
    established.work.advance(milliseconds(3000));  // pushed: two calls are out; asked for: in the pause
    Agent next(established.work);
    const engine::Time moved = established.work.now;
    established.follower.watcher.set_address(next.address());
    REQUIRE(established.work.until([&] { return next.asked() == 1 && established.agent.open() == 0; }));
    CHECK(established.work.now == moved);
    CHECK(next.last_asked() == "/v1/servers");
    next.on_asked = [](Agent::Call& call) {
      if (call.asked.back() == "/v1/servers") Agent::answer(call, 200, list(7, true, "draining"));
    };
    while (established.follower.told.size() == 1 && established.work.now < moved + seconds(6))
      established.work.advance(milliseconds(20));
    REQUIRE(established.tells(2));
    CHECK(established.work.now - moved < seconds(4));
    CHECK(established.follower.watcher.version() == 7);
    const auto before = established.agent.calls.size();
    established.work.advance(seconds(1));
    CHECK(established.agent.calls.size() == before);
  }
}

TEST_CASE("a restart before the start makes no call of its own", "[discovery][watch]") {
  TestEventLoop work;
  Agent agent(work);
  Follower follower(work, agent, 300, service_discovery::ListDelivery::kPoll);
  follower.watcher.restart();  // as when the list that the configuration knows has the module subscribe
  follower.watcher.start(40);
  REQUIRE(work.until([&] { return agent.asked() == 1; }));
  work.settle();
  CHECK(agent.calls.size() == 1);
  CHECK(agent.last_asked() == "/v1/servers?follow=1&since=40");
}

TEST_CASE("a move before the start has the start ask the new address for its whole list",
          "[discovery][watch]") {
  TestEventLoop work;
  Agent old(work), agent(work);
  Follower follower(work, old);
  follower.watcher.set_address(agent.address());
  follower.watcher.start(40);
  REQUIRE(work.until([&] { return agent.asked() == 1; }));
  work.settle();
  CHECK(agent.calls.size() == 1);
  CHECK(agent.last_asked() == "/v1/servers");
  CHECK(old.calls.empty());
}

TEST_CASE("a list that leads to a restart ends its call, and what came with it is not read",
          "[discovery][watch]") {
  TestEventLoop work;
  Agent agent(work);
  std::vector<std::uint64_t> told;
  std::optional<service_discovery::EndpointWatcher> watcher;
  watcher.emplace(
      work.io, agent.address(), work.timers, work.clock(), [](std::string_view) {},
      [&](const service_discovery::EndpointSnapshot& snapshot) {
        told.push_back(snapshot.version);
        if (told.size() == 1) watcher->restart();
      });
  watcher->start(40);
  REQUIRE(work.until([&] { return agent.asked() == 1; }));
  Agent::say(*agent.calls[0], list(41, true) + list(42, false));
  REQUIRE(work.until([&] { return agent.asked() == 2; }));
  CHECK(told == std::vector<std::uint64_t>{41});
  CHECK(agent.last_asked() == "/v1/servers?follow=1&since=41");
  watcher.reset();  // with a call out and a deadline set
  work.advance(seconds(5));
  CHECK(agent.open() == 0);
}

}  // namespace
}  // namespace dispatcher::testing
