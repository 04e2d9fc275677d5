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

// A relay between members: each has an address here; datagrams to it arrive late or not at all, and from the
// sender's address here.
class Relay {
 public:
  Relay(TestEventLoop& clockwork, MemberIndex count)
      : clockwork_(clockwork), broadcast_(clockwork.io, loopback_port(0)) {
    for (MemberIndex member = 0; member < count; ++member)
      addresses_.emplace_back(clockwork.io, loopback_port(0));
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
    clockwork_.timers.add(
        clockwork_.now + delay,
        [this, from, to,
         bytes = std::vector(packet_.begin(), packet_.begin() + static_cast<std::ptrdiff_t>(size))] {
          addresses_[from].send_to(boost::asio::buffer(bytes), members_[to]);
        });
  }
  TestEventLoop& clockwork_;
  std::vector<udp::socket> addresses_;
  udp::socket broadcast_;
  std::vector<udp::endpoint> members_;
  udp::endpoint from_;
  std::array<std::uint8_t, 2000> packet_{};
  std::mt19937 random_{5};
};

struct Process {
  Process(TestEventLoop& clockwork, const replicated_state::EntryKinds& kinds, const PeerConfig& config,
          MemberIndex self, MemberIndex count)
      : node(options(self, count), kinds, kIncarnation + self, 40 + self, clockwork.now),
        transport(clockwork.io, config, node, clockwork.timers, clockwork.clock()) {}
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

TEST_CASE("over UDP one process reads the evidence that another writes, with its age", "[gossip]") {
  TestEventLoop clockwork;
  replicated_state::EntryKinds kinds;
  kinds.add(replicated_state::failure_evidence_kind());
  Relay relay(clockwork, 2);
  relay.loss = 0.3;
  Process writer(clockwork, kinds, relay.peer_config(), 0, 2);
  Process reader(clockwork, kinds, relay.peer_config(), 1, 2);
  for (Process* process : {&writer, &reader}) relay.add_member(process->transport.local());
  relay.start();
  writer.transport.start();
  reader.transport.start();
  const auto both = [&] {
    return writer.node.members().state(1) == MemberState::kAlive &&
           reader.node.members().state(0) == MemberState::kAlive;
  };
  for (int i = 0; i < 100 && !both(); ++i) clockwork.advance(milliseconds(100));
  REQUIRE(both());

  REQUIRE(writer.node.set(clockwork.now, replicated_state::kFailureEvidenceKind,
                          replicated_state::entry_id("s-5be2a07c"), replicated_state::encode({3, 4})));
  writer.transport.on_node_changed();
  const Time written_at = clockwork.now;
  for (int i = 0; i < 200 && !read_evidence(reader.node, clockwork.now, "s-5be2a07c"); ++i)
    clockwork.advance(milliseconds(100));
  const auto read = read_evidence(reader.node, clockwork.now, "s-5be2a07c");
  REQUIRE(read);
  CHECK(read->first.failed_attempts == 3);
  CHECK(read->first.attempts == 4);
  // Younger than it is by its travel, and by the unit of ages, at most.
  CHECK(read->second <= clockwork.now - written_at);
  CHECK(read->second >= clockwork.now - written_at - milliseconds(27 + 20 + 10));
  CHECK_FALSE(read_evidence(reader.node, clockwork.now + seconds(30), "s-5be2a07c"));
  CHECK(relay.max_bytes <= 256);
  CHECK(relay.forwarded > 0);

  reader.transport.leave();
  clockwork.advance(milliseconds(200));
  CHECK(reader.node.counts().sent > 0);
}

TEST_CASE("a transport ignores datagrams from unknown addresses", "[gossip]") {
  TestEventLoop clockwork;
  replicated_state::EntryKinds kinds;
  kinds.add(replicated_state::failure_evidence_kind());
  PeerConfig config;
  config.is_allowed = true;
  config.listen = loopback_port(0);
  config.peers = {loopback_port(4000), loopback_port(4001)};
  Process process(clockwork, kinds, config, 0, 2);
  process.transport.start();
  udp::socket stranger(clockwork.io, loopback_port(0));
  DatagramBuilder builder(Sender{0, 2, 1, {kIncarnation, 0}, 1});
  builder.add(Probe{Probe::Type::kPing, 1, 0});
  stranger.send_to(boost::asio::buffer(bytes_of(builder)), process.transport.local());
  const auto dropped = [&] {
    return process.node.counts().dropped[static_cast<std::size_t>(DropReason::kUnknownAddress)];
  };
  CHECK(clockwork.until([&] { return dropped() == 1; }));
  CHECK(process.node.members().state(1) == MemberState::kUnknown);
  config.peers[1] = stranger.local_endpoint();
  process.transport.set_peer_config(config);
  stranger.send_to(boost::asio::buffer(std::vector<std::uint8_t>(1000, 1)), process.transport.local());
  stranger.send_to(boost::asio::buffer(bytes_of(builder)), process.transport.local());
  CHECK(clockwork.until([&] { return process.node.members().state(1) == MemberState::kAlive; }));
  CHECK(process.node.counts().dropped[static_cast<std::size_t>(DropReason::kTooLong)] == 1);
}

}  // namespace
}  // namespace dispatcher::testing
