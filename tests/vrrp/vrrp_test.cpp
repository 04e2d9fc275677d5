// Tests the VRRP state machine with a passed-in clock, the packets, and one election over loopback UDP.
#include <random>

#include "tests/fixtures/dispatcher_fixture.hpp"
#include "vrrp/vrrp_instance.hpp"

namespace dispatcher::testing {
namespace {

using vrrp::Address;
using vrrp::Advertisement;
using vrrp::State;
using vrrp::StateMachine;

constexpr Address kLow{127, 0, 0, 1};
constexpr Address kMid{127, 0, 0, 2};
constexpr Address kHigh{127, 0, 0, 3};
constexpr Address kShared{127, 0, 0, 9};

vrrp::Parameters parameters(int priority) {
  return {7, static_cast<std::uint8_t>(priority), 100, true, kMid, {kShared}};
}
Advertisement from(int priority, int interval = 100) {
  return {7, static_cast<std::uint8_t>(priority), static_cast<std::uint16_t>(interval), {kShared}};
}

TEST_CASE("a backup takes over after three intervals and its skew time", "[vrrp]") {
  StateMachine machine(parameters(100));
  CHECK(machine.startup(seconds(0)).empty());
  CHECK(machine.state() == State::kBackup);
  CHECK(machine.skew_time() == std::chrono::microseconds(609375));  // (256 - 100) / 256 s
  CHECK(machine.next_timer() == vrrp::Time(std::chrono::microseconds(3609375)));
  CHECK(machine.timer(seconds(3)).empty());
  CHECK(machine.timer(milliseconds(3610)) == StateMachine::Advertisements{from(100)});
  CHECK(machine.state() == State::kActive);
  CHECK(machine.next_timer() == vrrp::Time(milliseconds(4610)));
  CHECK(machine.timer(milliseconds(4610)) == StateMachine::Advertisements{from(100)});
}

TEST_CASE("the backup of higher priority is the first to take over", "[vrrp]") {
  StateMachine higher(parameters(200)), lower(parameters(100));
  higher.startup(seconds(0));
  lower.startup(seconds(0));
  CHECK(higher.next_timer() < lower.next_timer());
}

TEST_CASE("the address owner starts as active and never yields", "[vrrp]") {
  StateMachine machine(parameters(255));
  CHECK(machine.startup(seconds(0)) == StateMachine::Advertisements{from(255)});
  CHECK(machine.receive(seconds(1), from(255), kHigh).empty());
  CHECK(machine.receive(seconds(1), from(0), kHigh).empty());
  CHECK(machine.state() == State::kActive);
}

TEST_CASE("a backup remains backup after an advertisement of at least its own priority", "[vrrp]") {
  StateMachine machine(parameters(100));
  machine.startup(seconds(0));
  machine.receive(seconds(3), from(100, 200), kLow);
  CHECK(machine.state() == State::kBackup);
  CHECK(machine.active_down_interval() ==
        std::chrono::microseconds(7218750));  // computed from the interval of the active router
  CHECK(machine.next_timer() == vrrp::Time(std::chrono::microseconds(10218750)));
}

TEST_CASE("an active router of lower priority is preempted only in preempt mode", "[vrrp]") {
  const bool preempt = GENERATE(true, false);
  vrrp::Parameters changed = parameters(100);
  changed.preempt = preempt;
  StateMachine machine(changed);
  machine.startup(seconds(0));
  const auto before = machine.next_timer();
  machine.receive(seconds(3), from(50), kLow);
  CHECK((machine.next_timer() == before) == preempt);
}

TEST_CASE("after an advertisement of priority 0 a backup waits only for its skew time", "[vrrp]") {
  StateMachine machine(parameters(100));
  machine.startup(seconds(0));
  machine.receive(seconds(1), from(0), kHigh);
  CHECK(machine.next_timer() == vrrp::Time(seconds(1) + machine.skew_time()));
  machine.timer(seconds(2));
  CHECK(machine.state() == State::kActive);
  CHECK(machine.receive(seconds(3), from(0), kHigh) ==
        StateMachine::Advertisements{from(100)});  // an active router advertises at once
}

TEST_CASE("an active router yields to a higher priority, or to a higher address of equal priority",
          "[vrrp]") {
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
    StateMachine machine(parameters(100));
    machine.startup(seconds(0));
    machine.timer(seconds(4));
    REQUIRE(machine.state() == State::kActive);
    const auto sent = machine.receive(seconds(5), from(priority), address);
    CHECK((machine.state() == State::kBackup) == yields);
    CHECK(sent.empty() == yields);  // a router that remains active advertises at once
  }
}

TEST_CASE("an active router advertises its shutdown, and a backup stops silently", "[vrrp]") {
  StateMachine machine(parameters(100));
  machine.startup(seconds(0));
  CHECK(machine.shutdown().empty());
  machine.startup(seconds(0));
  machine.timer(seconds(4));
  CHECK(machine.shutdown() == StateMachine::Advertisements{from(0)});
  CHECK(machine.state() == State::kInitialize);
  CHECK_FALSE(machine.next_timer());
  CHECK(machine.receive(seconds(5), from(0), kLow).empty());
}

TEST_CASE("advertisements of another virtual router are ignored", "[vrrp]") {
  StateMachine machine(parameters(100));
  machine.startup(seconds(0));
  const auto before = machine.next_timer();
  Advertisement other = from(200);
  other.vrid = 8;
  machine.receive(seconds(1), other, kHigh);
  CHECK(machine.next_timer() == before);
}

TEST_CASE("packets are encoded as RFC 9568 specifies, and invalid ones are rejected", "[vrrp]") {
  const auto packet = vrrp::encode(from(100));
  CHECK(packet == std::vector<std::uint8_t>{0x31, 7, 100, 1, 0, 100, 0xeb, 0x89, 127, 0, 0, 9});
  CHECK(std::get<Advertisement>(vrrp::decode(packet)) == from(100));
  const auto problem = [&](std::size_t at, int value) {
    auto bad = packet;
    bad[at] = static_cast<std::uint8_t>(value);
    const auto result = vrrp::decode(bad);
    const auto* error = std::get_if<vrrp::DecodeError>(&result);
    return std::string(error == nullptr ? "none" : vrrp::to_text(*error));
  };
  CHECK(problem(0, 0x21) == "not a VRRPv3 advertisement");
  CHECK(problem(0, 0x32) == "not a VRRPv3 advertisement");
  CHECK(problem(3, 0) == "no addresses");
  CHECK(problem(3, 2) == "length and count differ");
  CHECK(problem(2, 101) == "wrong checksum");
  CHECK(std::get<vrrp::DecodeError>(vrrp::decode(std::span(packet).first(7))) ==
        vrrp::DecodeError::kTooShort);
  CHECK(vrrp::to_text(vrrp::DecodeError::kTooShort) == "too short");
  std::mt19937 random(8);
  int rejected = 0;
  for (int i = 0; i < 5000; ++i) {  // a packet with one changed byte is never valid
    auto bad = packet;
    bad[random() % bad.size()] ^= static_cast<std::uint8_t>(1 + random() % 255);
    rejected += std::holds_alternative<vrrp::DecodeError>(vrrp::decode(bad)) ? 1 : 0;
  }
  CHECK(rejected == 5000);
}

TEST_CASE("each field of the VRRP configuration file is checked", "[vrrp]") {
  const auto parse = [](const std::string& text) { return vrrp::parse_config({"vrrp.json", text}); };
  CHECK_FALSE(parse(R"({"listen":null})"));
  const std::string other_fields = R"("peers":["127.0.0.2:9"],"addresses":["127.0.0.9"])";
  CHECK(parse(R"({"listen":"127.0.0.1:9",)" + other_fields + "}")->parameters.primary == kLow);
  CHECK_THROWS_WITH(parse(R"({"listen":"x",)" + other_fields + "}"),
                    "vrrp.json:1:11: listen: IPv4 address and port expected");
  CHECK_THROWS_WITH(parse(R"({"listen":"127.0.0.1:9","priority":256,)" + other_fields + "}"),
                    "vrrp.json:1:36: priority: expected 100 | int & >=1 & <=255, found 256");
  CHECK_THROWS_WITH(
      parse(R"({"listen":"127.0.0.1:9"})"),
      "vrrp.json: peers: list of 1 to 255 expected\nvrrp.json: addresses: list of 1 to 255 expected");
}

TEST_CASE("a pair elects an active router over UDP, and the backup takes over when it stops", "[vrrp]") {
  TestEventLoop loop;
  struct Instance {
    std::vector<State> states;
    std::unique_ptr<vrrp::VrrpInstance> vrrp;
  };
  std::array<Instance, 2> pair;
  for (Instance& instance : pair) {
    const bool is_first = &instance == pair.data();
    vrrp::Config config{{boost::asio::ip::address_v4::loopback(), 0}, {}, parameters(is_first ? 200 : 100)};
    instance.vrrp = std::make_unique<vrrp::VrrpInstance>(
        loop.io, config, loop.timers, loop.clock(), [](std::string_view) {},
        [&states = instance.states](State state) { states.push_back(state); });
  }
  pair[0].vrrp->add_peer(pair[1].vrrp->local());
  pair[1].vrrp->add_peer(pair[0].vrrp->local());
  for (auto& instance : pair) instance.vrrp->start();
  loop.advance(seconds(6));
  CHECK(pair[0].states == std::vector{State::kBackup, State::kActive});
  CHECK(pair[1].states == std::vector{State::kBackup});
  pair[0].vrrp->stop();
  loop.settle();
  loop.advance(milliseconds(700));  // the backup waits for its skew time, not for three intervals
  CHECK(pair[1].states == std::vector{State::kBackup, State::kActive});
  pair[1].vrrp->stop();
}

}  // namespace
}  // namespace dispatcher::testing
