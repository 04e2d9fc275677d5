// Gossip over real UDP sockets, with a relay between the members that delays and loses datagrams.
#include "gossip/udp_transport.hpp"

#include <algorithm>
#include <random>

#include "tests/fixtures/dispatcher_fixture.hpp"
#include "tests/fixtures/fleet_fixture.hpp"

namespace dispatcher::testing {
namespace {
using gossip::PeerConfig;
using gossip::udp;
using gossip::UdpTransport;

udp::endpoint loopback_port(unsigned short port) { return {boost::asio::ip::address_v4::loopback(), port}; }

// A relay between members, with one address for each member. A datagram that is sent to a member's address
// here is lost or delayed, and then forwarded from the sender's address here.
class Relay {
 public:
  Relay(TestEventLoop& event_loop, MemberIndex count)
      : event_loop_(event_loop), broadcast_(event_loop.io, loopback_port(0)) {
    for (MemberIndex member = 0; member < count; ++member)
      addresses_.emplace_back(event_loop.io, loopback_port(0));
  }
  [[nodiscard]] PeerConfig peer_config() const {
    PeerConfig config;
    config.is_allowed = true;
    config.listen = loopback_port(0);
    for (const auto& address : addresses_) config.peers.push_back(address.local_endpoint());
    config.broadcast = broadcast_.local_endpoint();
    return config;
  }
  void add_member(const udp::endpoint& member) { members_.push_back(member); }
  void start() {
    for (MemberIndex member = 0; member < addresses_.size(); ++member) listen(addresses_[member], member);
    listen(broadcast_, std::nullopt);
  }
  double loss = 0;
  std::size_t forwarded = 0;
  std::size_t max_bytes = 0;

 private:
  void listen(udp::socket& socket, std::optional<MemberIndex> to) {
    socket.async_receive_from(boost::asio::buffer(packet_), from_, [&, to](auto error, std::size_t size) {
      if (error) return;
      const auto sender = std::find(members_.begin(), members_.end(), from_) - members_.begin();
      for (MemberIndex member = 0; member < members_.size(); ++member) {
        if (to ? member == *to : member != static_cast<MemberIndex>(sender))
          forward(static_cast<MemberIndex>(sender), member, size);
      }
      listen(socket, to);
    });
  }
  void forward(MemberIndex from, MemberIndex to, std::size_t size) {
    ++forwarded;
    max_bytes = std::max(max_bytes, size);
    if (std::generate_canonical<double, 32>(random_) < loss || from >= members_.size()) return;
    const auto delay = milliseconds(std::uniform_int_distribution<int>(1, 27)(random_));
    event_loop_.timers.add(
        event_loop_.now + delay,
        [this, from, to,
         bytes = std::vector(packet_.begin(), packet_.begin() + static_cast<std::ptrdiff_t>(size))] {
          addresses_[from].send_to(boost::asio::buffer(bytes), members_[to]);
        });
  }
  TestEventLoop& event_loop_;
  std::vector<udp::socket> addresses_;
  udp::socket broadcast_;
  std::vector<udp::endpoint> members_;
  udp::endpoint from_;
  std::array<std::uint8_t, 2000> packet_{};
  std::mt19937 random_{5};
};

struct Process {
  Process(TestEventLoop& event_loop, const replicated_state::EntryKinds& kinds, const PeerConfig& config,
          MemberIndex self, MemberIndex count)
      : node(options(self, count), kinds, kIncarnation + self, 40 + self, event_loop.now),
        transport(event_loop.io, config, node, event_loop.timers, event_loop.clock()) {}
  static NodeOptions options(MemberIndex self, MemberIndex count) {
    NodeOptions options;
    options.self = self;
    options.member_count = count;
    return options;
  }
  GossipNode node;
  UdpTransport transport;
};

std::optional<std::pair<FailureEvidence, replicated_state::Duration>> read_evidence(
    const GossipNode& node, Time now, std::string_view endpoint) {
  std::optional<std::pair<FailureEvidence, replicated_state::Duration>> found;
  node.entries().for_each(
      now, replicated_state::kFailureEvidenceKind, [&](const replicated_state::EntryView& view) {
        if (view.id == replicated_state::entry_id(endpoint))
          found.emplace(*replicated_state::decode_failure_evidence(view.payload), view.age);
      });
  return found;
}

TEST_CASE("a process reads the evidence that another one sends over UDP, with its age", "[gossip]") {
  TestEventLoop event_loop;
  replicated_state::EntryKinds kinds;
  kinds.add(replicated_state::failure_evidence_kind());
  Relay relay(event_loop, 2);
  relay.loss = 0.3;
  Process writer(event_loop, kinds, relay.peer_config(), 0, 2);
  Process reader(event_loop, kinds, relay.peer_config(), 1, 2);
  for (Process* process : {&writer, &reader}) relay.add_member(process->transport.local());
  relay.start();
  writer.transport.start();
  reader.transport.start();
  const auto both = [&] {
    return writer.node.members().state(1) == MemberState::kAlive &&
           reader.node.members().state(0) == MemberState::kAlive;
  };
  for (int i = 0; i < 100 && !both(); ++i) event_loop.advance(milliseconds(100));
  REQUIRE(both());

  REQUIRE(writer.node.set(event_loop.now, replicated_state::kFailureEvidenceKind,
                          replicated_state::entry_id("s-5be2a07c"), replicated_state::encode({3, 4})));
  writer.transport.on_node_changed();
  const Time written_at = event_loop.now;
  for (int i = 0; i < 200 && !read_evidence(reader.node, event_loop.now, "s-5be2a07c"); ++i)
    event_loop.advance(milliseconds(100));
  const auto read = read_evidence(reader.node, event_loop.now, "s-5be2a07c");
  REQUIRE(read);
  CHECK(read->first.failed_attempts == 3);
  CHECK(read->first.attempts == 4);
  // The age that is read may be too low by the time in transit and by one unit of ages.
  CHECK(read->second <= event_loop.now - written_at);
  CHECK(read->second >= event_loop.now - written_at - milliseconds(27 + 20 + 10));
  CHECK_FALSE(read_evidence(reader.node, event_loop.now + seconds(30), "s-5be2a07c"));
  CHECK(relay.max_bytes <= 256);
  CHECK(relay.forwarded > 0);

  reader.transport.leave();
  event_loop.advance(milliseconds(200));
  CHECK(reader.node.counts().sent > 0);
}

TEST_CASE("a UDP transport ignores datagrams from unknown addresses", "[gossip]") {
  TestEventLoop event_loop;
  replicated_state::EntryKinds kinds;
  kinds.add(replicated_state::failure_evidence_kind());
  PeerConfig config;
  config.is_allowed = true;
  config.listen = loopback_port(0);
  config.peers = {loopback_port(4000), loopback_port(4001)};
  Process process(event_loop, kinds, config, 0, 2);
  process.transport.start();
  udp::socket unknown_sender(event_loop.io, loopback_port(0));
  DatagramBuilder builder(Sender{0, 2, 1, {kIncarnation, 0}, 1});
  builder.add(Probe{Probe::Type::kPing, 1, 0});
  unknown_sender.send_to(boost::asio::buffer(bytes_of(builder)), process.transport.local());
  const auto dropped = [&] {
    return process.node.counts().dropped[static_cast<std::size_t>(DropReason::kUnknownAddress)];
  };
  CHECK(event_loop.until([&] { return dropped() == 1; }));
  CHECK(process.node.members().state(1) == MemberState::kUnknown);
  config.peers[1] = unknown_sender.local_endpoint();
  process.transport.set_peer_config(config);
  unknown_sender.send_to(boost::asio::buffer(std::vector<std::uint8_t>(1000, 1)), process.transport.local());
  unknown_sender.send_to(boost::asio::buffer(bytes_of(builder)), process.transport.local());
  CHECK(event_loop.until([&] { return process.node.members().state(1) == MemberState::kAlive; }));
  CHECK(process.node.counts().dropped[static_cast<std::size_t>(DropReason::kTooLong)] == 1);
}

}  // namespace
}  // namespace dispatcher::testing
