// Nodes together: over real sockets with a relay between them, and in virtual time; their datagrams, good and
// bad.
#include <nlohmann/json.hpp>

#include "fleet_world.hpp"
#include "gossip/speaker.hpp"
#include "world.hpp"

namespace bitternferry::testing {
namespace {

using gossip::Drop;
using gossip::Links;
using gossip::Options;
using gossip::Speaker;
using gossip::udp;
using shared::Doubt;

// Stands between the members: each has an address here, datagrams to it come late or not at all, and from the
// sender's address here.
class Relay {
 public:
  Relay(Clockwork& work, Number count) : work_(work), everyone_(work.io, any()) {
    for (Number n = 0; n < count; ++n) addresses_.emplace_back(work.io, any());
  }
  Links links(Number n) const {
    Links links;
    links.allowed = true;
    links.listen = any();
    for (const auto& address : addresses_) links.peers.push_back(address.local_endpoint());
    links.everyone = everyone_.local_endpoint();
    (void)n;
    return links;
  }
  void know(const udp::endpoint& member) { members_.push_back(member); }
  void start() {
    for (Number n = 0; n < addresses_.size(); ++n) listen(addresses_[n], n);
    listen(everyone_, std::nullopt);
  }
  double loss = 0;
  std::size_t carried = 0, longest = 0;

 private:
  static udp::endpoint any() { return {boost::asio::ip::address_v4::loopback(), 0}; }
  void listen(udp::socket& socket, std::optional<Number> to) {
    socket.async_receive_from(boost::asio::buffer(packet_), from_, [&, to](auto error, std::size_t size) {
      if (error) return;
      const auto sender = std::find(members_.begin(), members_.end(), from_) - members_.begin();
      for (Number n = 0; n < members_.size(); ++n) {
        if (to ? n == *to : n != static_cast<Number>(sender)) pass(static_cast<Number>(sender), n, size);
      }
      listen(socket, to);
    });
  }
  void pass(Number from, Number to, std::size_t size) {
    ++carried;
    longest = std::max(longest, size);
    if (std::generate_canonical<double, 32>(random_) < loss || from >= members_.size()) return;
    const auto late = milliseconds(std::uniform_int_distribution<int>(1, 27)(random_));
    work_.deadlines.add(
        work_.now + late,
        [this, from, to,
         bytes = std::vector(packet_.begin(), packet_.begin() + static_cast<std::ptrdiff_t>(size))] {
          addresses_[from].send_to(boost::asio::buffer(bytes), members_[to]);
        });
  }
  Clockwork& work_;
  std::vector<udp::socket> addresses_;
  udp::socket everyone_;
  std::vector<udp::endpoint> members_;
  udp::endpoint from_;
  std::array<std::uint8_t, 2000> packet_{};
  std::mt19937 random_{5};
};

struct Process {
  Process(Clockwork& work, const shared::Kinds& kinds, const Links& links, Number number, Number count)
      : node(options(number, count), kinds, 1'800'000'000'000 + number, 40 + number, work.now),
        speaker(work.io, links, node, work.deadlines, work.clock()) {}
  static Options options(Number number, Number count) {
    Options o;
    o.self = number;
    o.count = count;
    return o;
  }
  Node node;
  Speaker speaker;
};

std::optional<std::pair<Doubt, shared::Duration>> read_doubt(const Node& node, Time now,
                                                             std::string_view replica) {
  std::optional<std::pair<Doubt, shared::Duration>> found;
  node.rows().each(now, shared::kDoubtKind, [&](const shared::Heard& heard) {
    if (heard.key == shared::key_of(replica)) found.emplace(*shared::decode_doubt(heard.payload), heard.age);
  });
  return found;
}

TEST_CASE("two processes over UDP: a doubt that one has, the other reads with its age", "[gossip]") {
  Clockwork work;
  shared::Kinds kinds;
  kinds.add(shared::doubt_kind());
  Relay relay(work, 2);
  relay.loss = 0.3;
  Process a(work, kinds, relay.links(0), 0, 2), b(work, kinds, relay.links(1), 1, 2);
  for (Process* p : {&a, &b}) relay.know(p->speaker.local());
  relay.start();
  a.speaker.start();
  b.speaker.start();
  const auto both = [&] {
    return a.node.members().standing(1) == Standing::kAlive &&
           b.node.members().standing(0) == Standing::kAlive;
  };
  for (int i = 0; i < 100 && !both(); ++i) work.advance(milliseconds(100));
  REQUIRE(both());

  REQUIRE(a.node.set(work.now, shared::kDoubtKind, shared::key_of("s-5be2a07c"), shared::encode({3, 4})));
  a.speaker.poke();
  const Time written = work.now;
  for (int i = 0; i < 200 && !read_doubt(b.node, work.now, "s-5be2a07c"); ++i)
    work.advance(milliseconds(100));
  const auto read = read_doubt(b.node, work.now, "s-5be2a07c");
  REQUIRE(read);
  CHECK(read->first.failed == 3);
  CHECK(read->first.tried == 4);
  // Younger than it is by its travel, and by the unit of ages, at most.
  CHECK(read->second <= work.now - written);
  CHECK(read->second >= work.now - written - milliseconds(27 + 20 + 10));
  CHECK_FALSE(read_doubt(b.node, work.now + seconds(30), "s-5be2a07c"));
  CHECK(relay.longest <= 256);
  CHECK(relay.carried > 0);

  b.speaker.leave();
  work.advance(milliseconds(200));
  CHECK(b.node.counts().sent > 0);
}

}  // namespace
}  // namespace bitternferry::testing
