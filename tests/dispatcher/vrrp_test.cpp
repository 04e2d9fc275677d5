// The VRRP state machine with a passed-in clock, its packets, and one election over loopback UDP.
#include <random>

#include "fixture.hpp"
#include "vrrp/vrrp_instance.hpp"

namespace dispatcher::testing {
namespace {

using vrrp::Address;
using vrrp::Advertisement;
using vrrp::State;
using vrrp::StateMachine;

const Address kLow{127, 0, 0, 1}, kMid{127, 0, 0, 2}, kHigh{127, 0, 0, 3}, kShared{127, 0, 0, 9};

vrrp::Parameters parameters(int priority, bool preempt = true) {
  return {7, static_cast<std::uint8_t>(priority), 100, preempt, kMid, {kShared}};
}
Advertisement from(int priority, int interval = 100) {
  return {7, static_cast<std::uint8_t>(priority), static_cast<std::uint16_t>(interval), {kShared}};
}

TEST_CASE("a backup takes over after three intervals and its skew", "[vrrp]") {
  StateMachine m(parameters(100));
  CHECK(m.startup(seconds(0)).empty());
  CHECK(m.state() == State::kBackup);
  CHECK(m.skew() == std::chrono::microseconds(609375));  // (256 - 100) / 256 s
  CHECK(m.next_timer() == vrrp::Time(std::chrono::microseconds(3609375)));
  CHECK(m.timer(seconds(3)).empty());
  CHECK(m.timer(milliseconds(3610)) == StateMachine::Sent{from(100)});
  CHECK(m.state() == State::kActive);
  CHECK(m.next_timer() == vrrp::Time(milliseconds(4610)));
  CHECK(m.timer(milliseconds(4610)) == StateMachine::Sent{from(100)});
}

TEST_CASE("the better backup is the first to act", "[vrrp]") {
  StateMachine better(parameters(200)), worse(parameters(100));
  better.startup(seconds(0));
  worse.startup(seconds(0));
  CHECK(better.next_timer() < worse.next_timer());
}

TEST_CASE("the owner starts as active and takes no one's word", "[vrrp]") {
  StateMachine m(parameters(255));
  CHECK(m.startup(seconds(0)) == StateMachine::Sent{from(255)});
  CHECK(m.receive(seconds(1), from(255), kHigh).empty());
  CHECK(m.receive(seconds(1), from(0), kHigh).empty());
  CHECK(m.state() == State::kActive);
}

TEST_CASE("an advertisement of at least our priority keeps a backup quiet", "[vrrp]") {
  StateMachine m(parameters(100));
  m.startup(seconds(0));
  m.receive(seconds(3), from(100, 200), kLow);
  CHECK(m.state() == State::kBackup);
  CHECK(m.active_down() ==
        std::chrono::microseconds(7218750));  // by the interval that the active router uses
  CHECK(m.next_timer() == vrrp::Time(std::chrono::microseconds(10218750)));
}

TEST_CASE("preemption: a lower active router is let run out, or borne", "[vrrp]") {
  const bool preempt = GENERATE(true, false);
  StateMachine m(parameters(100, preempt));
  m.startup(seconds(0));
  const auto before = m.next_timer();
  m.receive(seconds(3), from(50), kLow);
  CHECK((m.next_timer() == before) == preempt);
}

TEST_CASE("priority 0: a backup waits for its skew alone", "[vrrp]") {
  StateMachine m(parameters(100));
  m.startup(seconds(0));
  m.receive(seconds(1), from(0), kHigh);
  CHECK(m.next_timer() == vrrp::Time(seconds(1) + m.skew()));
  m.timer(seconds(2));
  CHECK(m.state() == State::kActive);
  CHECK(m.receive(seconds(3), from(0), kHigh) == StateMachine::Sent{from(100)});  // active: says who stays
}

TEST_CASE("an active router yields to the higher priority, then the higher address", "[vrrp]") {
  struct Case {
    int priority;
    Address address;
    bool yields;
  };
  for (const auto& [priority, address, yields] : std::vector<Case>{{101, kLow, true},
                                                                   {100, kHigh, true},
                                                                   {100, kLow, false},
                                                                   {100, kMid, false},
                                                                   {99, kHigh, false}}) {
    StateMachine m(parameters(100));
    m.startup(seconds(0));
    m.timer(seconds(4));
    REQUIRE(m.state() == State::kActive);
    const auto sent = m.receive(seconds(5), from(priority), address);
    CHECK((m.state() == State::kBackup) == yields);
    CHECK(sent.empty() == yields);  // one that stays asserts itself at once
  }
}

TEST_CASE("a leaving active router says so; a backup just stops", "[vrrp]") {
  StateMachine m(parameters(100));
  m.startup(seconds(0));
  CHECK(m.shutdown().empty());
  m.startup(seconds(0));
  m.timer(seconds(4));
  CHECK(m.shutdown() == StateMachine::Sent{from(0)});
  CHECK(m.state() == State::kInitialize);
  CHECK_FALSE(m.next_timer());
  CHECK(m.receive(seconds(5), from(0), kLow).empty());
}

TEST_CASE("another group's advertisements are none of ours", "[vrrp]") {
  StateMachine m(parameters(100));
  m.startup(seconds(0));
  const auto before = m.next_timer();
  Advertisement other = from(200);
  other.vrid = 8;
  m.receive(seconds(1), other, kHigh);
  CHECK(m.next_timer() == before);
}

TEST_CASE("packets have the standard's bytes, and bad ones are refused", "[vrrp]") {
  const auto packet = vrrp::encode(from(100));
  CHECK(packet == std::vector<std::uint8_t>{0x31, 7, 100, 1, 0, 100, 0xeb, 0x89, 127, 0, 0, 9});
  CHECK(std::get<Advertisement>(vrrp::decode(packet)) == from(100));
  const auto problem = [&](std::size_t at, int value) {
    auto bad = packet;
    bad[at] = static_cast<std::uint8_t>(value);
    const auto result = vrrp::decode(bad);
    return std::holds_alternative<std::string>(result) ? std::get<std::string>(result) : "none";
  };
  CHECK(problem(0, 0x21) == "not a VRRPv3 advertisement");
  CHECK(problem(0, 0x32) == "not a VRRPv3 advertisement");
  CHECK(problem(3, 0) == "no addresses");
  CHECK(problem(3, 2) == "length and count differ");
  CHECK(problem(2, 101) == "wrong checksum");
  CHECK(std::get<std::string>(vrrp::decode(std::span(packet).first(7))) == "too short");
  std::mt19937 random(8);
  int rejected = 0;
  for (int i = 0; i < 5000; ++i) {  // one changed byte never passes
    auto bad = packet;
    bad[random() % bad.size()] ^= static_cast<std::uint8_t>(1 + random() % 255);
    rejected += std::holds_alternative<std::string>(vrrp::decode(bad)) ? 1 : 0;
  }
  CHECK(rejected == 5000);
}

TEST_CASE("VRRP's file is checked by field", "[vrrp]") {
  const auto parse = [](const std::string& text) { return vrrp::parse_config({"vrrp.json", text}); };
  CHECK_FALSE(parse(R"({"listen":null})"));
  const std::string rest = R"("peers":["127.0.0.2:9"],"addresses":["127.0.0.9"])";
  CHECK(parse(R"({"listen":"127.0.0.1:9",)" + rest + "}")->parameters.primary == kLow);
  CHECK_THROWS_WITH(parse(R"({"listen":"x",)" + rest + "}"),
                    "vrrp.json:1:11: listen: IPv4 address and port expected");
  CHECK_THROWS_WITH(parse(R"({"listen":"127.0.0.1:9","priority":256,)" + rest + "}"),
                    "vrrp.json:1:36: priority: expected 100 | int & >=1 & <=255, found 256");
  CHECK_THROWS_WITH(
      parse(R"({"listen":"127.0.0.1:9"})"),
      "vrrp.json: peers: list of 1 to 255 expected\nvrrp.json: addresses: list of 1 to 255 expected");
}

TEST_CASE("a pair elects over UDP, and the backup follows when the active one stops", "[vrrp]") {
  TestEventLoop work;
  struct Instance {
    std::vector<State> states;
    std::unique_ptr<vrrp::VrrpInstance> speaker;
  };
  std::array<Instance, 2> pair;
  for (std::size_t i : {0U, 1U}) {
    vrrp::Config config{{boost::asio::ip::address_v4::loopback(), 0}, {}, parameters(i == 0 ? 200 : 100)};
    pair[i].speaker = std::make_unique<vrrp::VrrpInstance>(
        work.io, config, work.timers, work.clock(), [](std::string_view) {},
        [&states = pair[i].states](State s) { states.push_back(s); });
  }
  pair[0].speaker->add_peer(pair[1].speaker->local());
  pair[1].speaker->add_peer(pair[0].speaker->local());
  for (auto& instance : pair) instance.speaker->start();
  work.advance(seconds(6));
  CHECK(pair[0].states == std::vector{State::kBackup, State::kActive});
  CHECK(pair[1].states == std::vector{State::kBackup});
  pair[0].speaker->stop();
  work.settle();
  work.advance(milliseconds(700));  // its skew, not three intervals
  CHECK(pair[1].states == std::vector{State::kBackup, State::kActive});
  pair[1].speaker->stop();
}

}  // namespace
}  // namespace dispatcher::testing
