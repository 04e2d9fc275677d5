// Nodes together: over real sockets with a relay between them, and in virtual time; their datagrams, good and
// bad.
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "fixture.hpp"
#include "fleet_fixture.hpp"
#include "gossip/udp_transport.hpp"
#include "property.hpp"

namespace dispatcher::testing {
namespace {

using gossip::Drop;
using gossip::Links;
using gossip::Options;
using gossip::udp;
using gossip::UdpTransport;
using replicated_state::FailureEvidence;

// Stands between the members: each has an address here, datagrams to it come late or not at all, and from the
// sender's address here.
class Relay {
 public:
  Relay(TestEventLoop& work, Number count) : work_(work), everyone_(work.io, any()) {
    for (Number n = 0; n < count; ++n) addresses_.emplace_back(work.io, any());
  }
  [[nodiscard]] Links links(Number n) const {
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
    work_.timers.add(
        work_.now + late,
        [this, from, to,
         bytes = std::vector(packet_.begin(), packet_.begin() + static_cast<std::ptrdiff_t>(size))] {
          addresses_[from].send_to(boost::asio::buffer(bytes), members_[to]);
        });
  }
  TestEventLoop& work_;
  std::vector<udp::socket> addresses_;
  udp::socket everyone_;
  std::vector<udp::endpoint> members_;
  udp::endpoint from_;
  std::array<std::uint8_t, 2000> packet_{};
  std::mt19937 random_{5};
};

struct Process {
  Process(TestEventLoop& work, const replicated_state::Kinds& kinds, const Links& links, Number number,
          Number count)
      : node(options(number, count), kinds, 1'800'000'000'000 + number, 40 + number, work.now),
        speaker(work.io, links, node, work.timers, work.clock()) {}
  static Options options(Number number, Number count) {
    Options o;
    o.self = number;
    o.count = count;
    return o;
  }
  GossipNode node;
  UdpTransport speaker;
};

std::optional<std::pair<FailureEvidence, replicated_state::Duration>> read_doubt(const GossipNode& node,
                                                                                 Time now,
                                                                                 std::string_view replica) {
  std::optional<std::pair<FailureEvidence, replicated_state::Duration>> found;
  node.rows().each(now, replicated_state::kDoubtKind, [&](const replicated_state::Heard& heard) {
    if (heard.key == replicated_state::key_of(replica))
      found.emplace(*replicated_state::decode_doubt(heard.payload), heard.age);
  });
  return found;
}

TEST_CASE("two processes over UDP: a doubt that one has, the other reads with its age", "[gossip]") {
  TestEventLoop work;
  replicated_state::Kinds kinds;
  kinds.add(replicated_state::doubt_kind());
  Relay relay(work, 2);
  relay.loss = 0.3;
  Process a(work, kinds, relay.links(0), 0, 2), b(work, kinds, relay.links(1), 1, 2);
  for (Process* p : {&a, &b}) relay.know(p->speaker.local());
  relay.start();
  a.speaker.start();
  b.speaker.start();
  const auto both = [&] {
    return a.node.members().standing(1) == MemberState::kAlive &&
           b.node.members().standing(0) == MemberState::kAlive;
  };
  for (int i = 0; i < 100 && !both(); ++i) work.advance(milliseconds(100));
  REQUIRE(both());

  REQUIRE(a.node.set(work.now, replicated_state::kDoubtKind, replicated_state::key_of("s-5be2a07c"),
                     replicated_state::encode({3, 4})));
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

// ---- datagrams ----

using gossip::decode;
using gossip::Message;
using gossip::Packer;
using gossip::Sender;
using membership::MemberUpdate;
using membership::Probe;

constexpr std::uint64_t kLife = 1'800'000'000'000;

Sender sender(Number number = 3, std::uint32_t serial = 1) { return {2, 40, number, {kLife, 0}, serial}; }

std::vector<std::uint8_t> bytes_of(const Packer& packer) {
  const auto datagram = packer.finish();
  REQUIRE(datagram);
  return {datagram->bytes().begin(), datagram->bytes().end()};
}

replicated_state::Row any_row(std::mt19937_64& random) {
  replicated_state::Row row;
  row.place = {static_cast<std::uint32_t>(random() % 20), random() >> (random() % 64),
               static_cast<Number>(random() % 40)};
  row.life = 1 + random() % membership::kMaxLife;
  row.version = 1 + random() % replicated_state::kMaxVersion;
  row.gone = random() % 4 == 0;
  row.age = milliseconds(10) * static_cast<int>(random() % 6000);
  row.payload.assign(random() % 41, static_cast<std::uint8_t>(random()));
  return row;
}

TEST_CASE("whatever is packed fits into 256 bytes, is as long as reckoned, and reads back", "[gossip]") {
  holds(
      [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        Sender s{static_cast<std::uint32_t>(random() % 3),
                 40,
                 static_cast<Number>(random() % 40),
                 {1 + random() % membership::kMaxLife, static_cast<std::uint32_t>(random() % 300)},
                 1 + static_cast<std::uint32_t>(random() >> 33U)};
        Packer packer(s);
        std::vector<MemberUpdate> claims;
        std::vector<replicated_state::Row> rows;
        std::size_t asks = 0, grants = 0, returns = 0, summaries = 0;
        const std::optional<Probe> probe =
            random() % 2 == 0
                ? std::optional(Probe{Probe::Type::kAskToPing, static_cast<std::uint32_t>(random()), 5})
                : std::nullopt;
        if (probe) RC_ASSERT(packer.add(*probe));
        if (random() % 2 == 0) packer.add_members_hash(static_cast<std::uint32_t>(random()));
        if (random() % 2 == 0)
          packer.add_group(static_cast<Number>(random() % 10), static_cast<std::uint32_t>(random()));
        for (std::size_t i = 0; i < random() % 60; ++i) {
          switch (random() % 6) {
            case 0: {
              const MemberUpdate c{
                  static_cast<Number>(random() % 40),
                  {1 + random() % membership::kMaxLife, static_cast<std::uint32_t>(random() % 200)},
                  static_cast<MemberState>(1 + random() % 3),
                  0};
              if (packer.add(c)) claims.push_back(c);
              break;
            }
            case 1: {
              const replicated_state::Row r = any_row(random);
              if (packer.add(r)) rows.push_back(r);
              break;
            }
            case 2:
              asks += packer.add(replicated_state::Ask{
                  {1, random()}, 1 + static_cast<std::uint32_t>(random() >> 33U), 0, 1 + random() % 1000});
              break;
            case 3:
              grants +=
                  packer.add(replicated_state::Grant{{1, random()}, kLife, 9, random() % 1000, seconds(10)});
              break;
            case 4:
              returns += packer.add(replicated_state::Return{{1, random()}, 9});
              break;
            case 5:
              summaries +=
                  packer.add(replicated_state::Summary{static_cast<Number>(random() % 40), random() % 1000,
                                                       static_cast<std::uint32_t>(random())},
                             random() % 2 == 0);
              break;
          }
        }
        RC_ASSERT(packer.size() <= 256U);
        const auto datagram = packer.finish();
        RC_ASSERT(datagram.has_value());
        RC_ASSERT(datagram->size() == packer.size());
        const auto read = decode(datagram->bytes(), s.number, s.tier, 40);
        const auto* m = std::get_if<Message>(&read);
        RC_ASSERT(m != nullptr);
        RC_ASSERT(m->absurd == 0U);
        RC_ASSERT(m->probe == probe);
        RC_ASSERT(m->claims == claims);
        RC_ASSERT(m->asks.size() == asks);
        RC_ASSERT(m->grants.size() == grants);
        RC_ASSERT(m->returns.size() == returns);
        RC_ASSERT(m->summaries.size() == summaries);
        RC_ASSERT(m->rows.size() == rows.size());
        for (std::size_t i = 0; i < rows.size(); ++i) {
          const replicated_state::Row &a = rows[i], &b = m->rows[i];
          RC_ASSERT(a.place == b.place);
          RC_ASSERT(std::tie(a.life, a.version, a.gone, a.age, a.payload) ==
                    std::tie(b.life, b.version, b.gone, b.age, b.payload));
        }
      },
      2000);
}

TEST_CASE("no datagram is longer than 256 bytes, by its type", "[gossip]") {
  CHECK_FALSE(gossip::Datagram::of(257, [](std::span<std::uint8_t>) { FAIL("written"); }));
  CHECK(gossip::Datagram::of(256, [](std::span<std::uint8_t>) {})->size() == 256);
}

// Sends one datagram as it is to a node that knows nobody yet, and tells why it was dropped.
struct Receiver {
  replicated_state::Kinds kinds;
  Options options;
  std::unique_ptr<GossipNode> node;
  Receiver() {
    kinds.add(replicated_state::doubt_kind());
    options.count = 40;
    options.tier = 2;
    node = std::make_unique<GossipNode>(options, kinds, kLife, 1, seconds(10));
  }
  GossipNode::Sent take(Number from, std::vector<std::uint8_t> bytes, Time now = seconds(11)) {
    return node->received(now, from, bytes);
  }
  [[nodiscard]] std::uint64_t dropped(Drop why) const {
    return node->counts().dropped[static_cast<std::size_t>(why)];
  }
};

TEST_CASE(
    "datagrams that are not for us, forged, cut, too long or repeated are dropped, each counted by reason",
    "[gossip]") {
  Receiver r;
  const auto ping = [](Sender s) {
    Packer packer(s);
    packer.add(Probe{Probe::Type::kPing, 1, 0});
    return bytes_of(packer);
  };
  CHECK(r.take(4, ping(sender(3))).empty());
  CHECK(r.dropped(Drop::kSender) == 1);
  Sender s = sender();
  s.tier = 1;
  r.take(3, ping(s));
  CHECK(r.dropped(Drop::kTier) == 1);
  s = sender();
  s.count = 41;
  r.take(3, ping(s));
  CHECK(r.dropped(Drop::kCount) == 1);
  s = sender();
  s.incarnation.life = 0;
  r.take(3, ping(s));
  s.incarnation.life = membership::kMaxLife + 1;
  r.take(3, ping(s));
  s = sender();
  s.serial = 0;
  r.take(3, ping(s));
  CHECK(r.dropped(Drop::kAbsurd) == 3);
  r.take(3, {});
  r.take(3, {0xFF, 0xFF, 0xFF});
  std::vector<std::uint8_t> bytes = ping(sender());
  bytes.resize(bytes.size() - 3);
  r.take(3, bytes);
  CHECK(r.dropped(Drop::kGarbage) == 3);
  r.take(3, std::vector<std::uint8_t>(257));
  CHECK(r.dropped(Drop::kTooLong) == 1);
  bytes = ping(sender());
  REQUIRE(bytes[0] == 0x08);
  bytes[1] = 2;
  r.take(3, bytes);
  CHECK(r.dropped(Drop::kFormat) == 1);
  CHECK(r.node->members().standing(3) == MemberState::kUnknown);

  CHECK(r.take(3, ping(sender())).size() == 1);
  CHECK(r.node->members().standing(3) == MemberState::kAlive);
  CHECK(r.take(3, ping(sender())).empty());
  CHECK(r.dropped(Drop::kReplay) == 1);
  CHECK(r.take(3, ping(sender(3, 70))).size() == 1);
  CHECK(r.take(3, ping(sender(3, 7))).size() == 1);  // late, within the window
  CHECK(r.take(3, ping(sender(3, 6))).empty());      // and without
  CHECK(r.take(0, ping(sender(0))).empty());         // our own, come back from the address of all
  CHECK(r.dropped(Drop::kReplay) == 2);
  r.node->unknown_address();
  CHECK(r.dropped(Drop::kUnknownAddress) == 1);
}

TEST_CASE("fields of later versions are passed over", "[gossip]") {
  Receiver r;
  Packer packer(sender());
  packer.add(Probe{Probe::Type::kPing, 1, 0});
  auto bytes = bytes_of(packer);
  bytes.insert(bytes.end(), {0xF8, 0x07, 0x2A, 0xFA, 0x07, 0x02, 'h', 'i'});  // fields 127: a number, a text
  CHECK(r.take(3, bytes).size() == 1);
}

TEST_CASE("a datagram's absurd entries are passed over, its good ones taken", "[gossip]") {
  Receiver r;
  Packer packer(sender());
  packer.add(MemberUpdate{55, {kLife, 0}, MemberState::kDead, 0});
  packer.add(MemberUpdate{5, {0, 0}, MemberState::kDead, 0});
  packer.add(MemberUpdate{6, {kLife, 0}, MemberState::kSuspect, 77});
  packer.add(MemberUpdate{8, {kLife, 0}, static_cast<MemberState>(4), 0});
  packer.add(MemberUpdate{7, {kLife, 0}, MemberState::kAlive, 0});
  replicated_state::Row row;
  row.place = {replicated_state::kDoubtKind, 1, 3};
  row.life = kLife;
  row.version = 0;
  packer.add(row);
  r.take(3, bytes_of(packer));
  CHECK(r.node->counts().absurd == 5);
  CHECK(r.node->members().standing(7) == MemberState::kAlive);
  CHECK(r.node->members().standing(6) == MemberState::kUnknown);
}

TEST_CASE("random bytes, and real datagrams with some changed, do no harm to a running fleet", "[gossip]") {
  FleetFixture fixture(6, 20);
  fixture.weather = {0.1, 0.1, milliseconds(1), milliseconds(100)};
  std::vector<std::tuple<Number, Number, std::vector<std::uint8_t>>> taped;
  fixture.on_datagram = [&](Number from, Number to, std::span<const std::uint8_t> bytes) {
    if (taped.size() < 2000) taped.emplace_back(from, to, std::vector(bytes.begin(), bytes.end()));
  };
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(20)));
  std::mt19937 random(3);
  for (int i = 0; i < 20000; ++i) {
    auto [from, to, bytes] = taped[random() % taped.size()];
    switch (random() % 5) {
      case 0:
        bytes.resize(random() % 300);
        for (auto& byte : bytes) byte = static_cast<std::uint8_t>(random());
        break;
      case 1:
        bytes.resize(random() % (bytes.size() + 1));
        break;
      case 2:
        from = random() % 6;  // from another's address
        break;
      case 3:
        // As it was: repeated.
        break;
      case 4:
        // The entries, not the head: a forged life of its sender would be believed, as from its address.
        for (int k = 0; k < 3 && bytes.size() > 20; ++k)
          bytes[20 + random() % (bytes.size() - 20)] ^= 1U << (random() % 8);
    }
    fixture.inject(from, to, bytes);
    if (i % 50 == 0) fixture.run(milliseconds(100));
  }
  fixture.weather = {};
  CHECK(fixture.until([&] { return fixture.all_alive(); }, seconds(60)));
  std::uint64_t dropped = 0;
  for (Number n = 0; n < 6; ++n) {
    for (const auto count : fixture.node(n).counts().dropped) dropped += count;
  }
  CHECK(dropped > 8000);
}

// ---- nodes together ----

TEST_CASE("an urgent fact reaches all at once; what was lost of it is repaired, cuts on the way included",
          "[gossip]") {
  FleetFixture fixture(20, 21);
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(20)));
  fixture.node(4).set(fixture.clock(4), replicated_state::kDoubtKind, 99, replicated_state::encode({1, 2}));
  fixture.run(milliseconds(100));
  CHECK(fixture.told(99) == 20);
  // Nobody hears the owner but one; from there it goes on.
  std::set<Number> others;
  for (Number n = 0; n < 20; ++n) {
    if (n != 4 && n != 5) others.insert(n);
  }
  fixture.cut({4}, others);
  fixture.node(4).set(fixture.clock(4), replicated_state::kDoubtKind, 100, replicated_state::encode({1, 2}));
  fixture.run(milliseconds(100));
  CHECK(fixture.told(100) <= 2);
  CHECK(fixture.until([&] { return fixture.told(100) == 20; }, seconds(25)));
}

TEST_CASE("facts come through loss, repetitions and disorder, and old ones are forgotten everywhere",
          "[gossip]") {
  FleetFixture fixture(15, 22);
  fixture.weather = {0.3, 0.2, milliseconds(1), milliseconds(2000)};
  fixture.start_all();
  fixture.run(seconds(20));
  for (Number n = 0; n < 15; ++n)
    fixture.node(n).set(fixture.clock(n), replicated_state::kDoubtKind, n, replicated_state::encode({1, 2}));
  CHECK(fixture.until(
      [&] {
        for (Number n = 0; n < 15; ++n) {
          if (fixture.told(n) < 15) return false;
        }
        return true;
      },
      seconds(29)));
  fixture.run(seconds(31));
  for (Number n = 0; n < 15; ++n) CHECK(fixture.told(n) == 0);
  for (Number n = 0; n < 15; ++n) CHECK(fixture.node(n).rows().size() == 0);
}

TEST_CASE("what a member sends stays within its budget, whatever it is sent", "[gossip]") {
  Options options;
  options.bytes_per_second = 300;
  options.burst_bytes = 1024;
  FleetFixture fixture(20, 23, options);
  fixture.weather.loss = 0.3;
  fixture.start_all();
  std::uint64_t bytes = 0;
  fixture.on_datagram = [&](Number from, Number, std::span<const std::uint8_t> b) {
    bytes += from == 0 ? b.size() : 0;
  };
  const auto before = fixture.node(0).counts().sent_bytes;
  for (std::uint32_t i = 0; i < 300; ++i) {
    for (Number n = 0; n < 20; ++n)
      fixture.node(n).set(fixture.clock(n), replicated_state::kDoubtKind, i % 40,
                          replicated_state::encode({i % 50, 50}));
    // A flood of pings, each owed an answer.
    for (std::uint32_t k = 0; k < 20; ++k) {
      Packer packer(Sender{0, 20, 19, fixture.node(19).members().incarnation(), 1'000'000 + i * 20 + k});
      packer.add(Probe{Probe::Type::kPing, k, 0});
      fixture.inject(19, 0, bytes_of(packer));
    }
    fixture.run(milliseconds(200));
  }
  CHECK(fixture.node(0).counts().held_back > 0);
  CHECK(fixture.node(0).counts().sent_bytes - before <= 60 * 300 + 1024 + 300);
  CHECK(bytes <= 60 * 300 + 1024 + 300);
}

TEST_CASE("rates lent between nodes: the sum holds at each moment through loss, stops, restarts and cuts",
          "[gossip]") {
  const Number count = 8;
  FleetFixture fixture(count, 24);
  fixture.weather = {0.2, 0.2, milliseconds(1), milliseconds(500)};
  for (Number n = 0; n < count; ++n) fixture.rate[n] = 1 + 0.001 * (static_cast<int>(n % 3) - 1);
  const replicated_state::Budget rate{{1, 7}, replicated_state::Nature::kRate, 8000, seconds(5)};
  const replicated_state::Budget units{{2, 7}, replicated_state::Nature::kSpent, 800, {}};
  std::uint64_t spent = 0;
  const auto begin = [&](Number n, bool first) {
    fixture.start(n);
    fixture.node(n).rights().open(fixture.clock(n), rate, first);
    fixture.node(n).rights().open(fixture.clock(n), units, first);
  };
  for (Number n = 0; n < count; ++n) begin(n, true);
  fixture.run(seconds(25));
  std::mt19937 random(9);
  std::uint64_t borrowed = 0, max_rate = 0;
  for (int i = 0; i < 4000; ++i) {
    const Number n = random() % count;
    if (fixture.runs(n)) {
      auto& rights = fixture.node(n).rights();
      rights.want(rate.id, random() % 2 == 0 ? 3000 : 100);
      rights.want(units.id, random() % 200);
      if (random() % 3 == 0 && rights.use(fixture.clock(n), units.id, 1)) ++spent;
    }
    switch (random() % 60) {
      case 0:
        if (fixture.runs(n)) fixture.stop(n);
        break;
      case 1:
      case 2:
        for (Number m = 0; m < count; ++m) {
          if (!fixture.runs(m)) fixture.resume(m);
        }
        break;
      case 3:
        begin(n, false);
        break;
      case 4:
        fixture.cut({n}, {static_cast<Number>((n + 1) % count), static_cast<Number>((n + 2) % count)});
        break;
      case 5:
        fixture.heal();
        break;
      default:
        break;
    }
    fixture.run(milliseconds(50));
    std::uint64_t rates = 0, left = spent;
    for (Number m = 0; m < count; ++m) {
      // A stopped one, too: it looks at its clock when it wakes.
      rates += fixture.node(m).rights().rate(fixture.clock(m), rate.id);
      left += fixture.node(m).rights().available(fixture.clock(m), units.id);
      borrowed += fixture.node(m).rights().counts().borrowed;
    }
    max_rate = std::max(max_rate, rates);
    if (rates > 8000 || left > 800) FAIL("rates " << rates << ", units " << left);
  }
  CHECK(borrowed > 1000);
  CHECK(max_rate > 7000);
}

TEST_CASE("a need is met by members that have no need, and goes back when they do", "[gossip]") {
  FleetFixture fixture(5, 25);
  fixture.start_all();
  const replicated_state::Budget rate{{1, 7}, replicated_state::Nature::kRate, 5000, seconds(5)};
  for (Number n = 0; n < 5; ++n) fixture.node(n).rights().open(fixture.clock(n), rate, true);
  fixture.run(seconds(20));
  const auto rate_of = [&](Number n) { return fixture.node(n).rights().rate(fixture.clock(n), rate.id); };
  CHECK(rate_of(0) == 1000);
  fixture.node(0).rights().want(rate.id, 1700);
  CHECK(fixture.until([&] { return rate_of(0) == 1700; }, seconds(10)));
  fixture.run(seconds(40));
  CHECK(rate_of(0) == 1700);
  for (Number n = 1; n < 5; ++n) fixture.node(n).rights().want(rate.id, 1000);
  CHECK(
      fixture.until([&] { return rate_of(1) + rate_of(2) + rate_of(3) + rate_of(4) == 4000; }, seconds(15)));
  CHECK(rate_of(0) == 1000);
}

// ---- settings ----

std::string parse_error(const std::string& file) {
  try {
    Links links;
    gossip::parse_config({"fleet.cue", file}, make_settings(), links);
  } catch (const cue::Errors& e) {
    return e.what();
  }
  return "";
}

Links links_for(Number count) {
  Links links;
  links.allowed = true;
  links.listen = udp::endpoint(boost::asio::ip::address_v4::loopback(), 4000);
  for (Number n = 0; n < count; ++n)
    links.peers.emplace_back(boost::asio::ip::address_v4::loopback(), 4000 + n);
  return links;
}

TEST_CASE("the file of settings: off as it ships, its bounds, and errors that name the field", "[gossip]") {
  const cue::File shipped{"deploy/fleet.cue", [] {
                            std::ifstream in(DISPATCHER_SOURCE "/deploy/fleet.cue");
                            return std::string(std::istreambuf_iterator<char>(in), {});
                          }()};
  auto settings = make_settings();
  settings.router_count = 4;
  settings.router_number = 2;
  CHECK_FALSE(gossip::parse_config(shipped, settings, links_for(4)));
  cue::File on = shipped;
  on.text.replace(on.text.find("share: false"), 12, "share: true");
  const auto config = gossip::parse_config(on, settings, links_for(4));
  REQUIRE(config);
  CHECK(config->options.self == 2);
  CHECK(config->options.count == 4);
  CHECK(config->options.bytes_per_second == 768);
  CHECK(config->options.rights.lease == seconds(10));
  CHECK(config->options.swim.period == seconds(1));
  CHECK(config->options.swim.helpers == 3);

  Links forbidden = links_for(4);
  forbidden.allowed = false;
  CHECK_FALSE(gossip::parse_config(on, settings, forbidden));
  CHECK_THROWS_WITH(gossip::parse_config(on, settings, links_for(3)),
                    Catch::Contains("'peers'") && Catch::Contains("4 addresses"));
  Links twice = links_for(4);
  twice.peers[1] = twice.peers[0];
  CHECK_THROWS_WITH(gossip::parse_config(on, settings, twice), Catch::Contains("twice"));
  Links deaf = links_for(4);
  deaf.listen.reset();
  CHECK_THROWS_WITH(gossip::parse_config(on, settings, deaf), Catch::Contains("peer_listen"));

  CHECK_THAT(parse_error("share: true\nbytes: per_second: 10"),
             Catch::Contains("fleet.cue:2:") && Catch::Contains("bytes.per_second"));
  CHECK_THAT(parse_error("members: {period_ms: 500, probe_timeout_ms: 200}"),
             Catch::Contains("fleet.cue:1:") && Catch::Contains("probe_timeout_ms"));
  CHECK_THAT(parse_error("rights: lease_ms: 16_000"), Catch::Contains("rights.lease_ms"));
  CHECK_THAT(parse_error("shares: true"), Catch::Contains("shares"));
}

TEST_CASE("the platform's configuration: links are read only where talk is allowed", "[gossip]") {
  auto json = nlohmann::json::parse(
      R"({"settings": {"tier": 1, "limits": {"peers": true}}, "peer_listen": "127.0.0.1:7001",
    "peers": ["127.0.0.1:7001", "127.0.0.1:7002"], "peers_all": "127.0.0.1:7000"})");
  const Links links = gossip::parse_links(json);
  CHECK(links.allowed);
  CHECK(links.tier == 1);
  CHECK(links.peers.size() == 2);
  CHECK(links.peers[1].port() == 7002);
  CHECK(links.everyone->port() == 7000);
  CHECK(links.listen->port() == 7001);
  json["peers"][1] = "nowhere";
  CHECK_THROWS_WITH(gossip::parse_links(json), Catch::Contains("peers[1]"));
  json["settings"]["limits"]["peers"] = false;
  CHECK_FALSE(gossip::parse_links(json).allowed);
  CHECK_FALSE(gossip::parse_links(nlohmann::json::object()).allowed);
}

TEST_CASE("a speaker takes nothing from addresses that it does not know", "[gossip]") {
  TestEventLoop work;
  replicated_state::Kinds kinds;
  kinds.add(replicated_state::doubt_kind());
  Links links = links_for(2);
  links.listen->port(0);
  Process p(work, kinds, links, 0, 2);
  p.speaker.start();
  udp::socket stranger(work.io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  Packer packer(Sender{0, 2, 1, {kLife, 0}, 1});
  packer.add(Probe{Probe::Type::kPing, 1, 0});
  stranger.send_to(boost::asio::buffer(bytes_of(packer)), p.speaker.local());
  const auto dropped = [&] {
    return p.node.counts().dropped[static_cast<std::size_t>(Drop::kUnknownAddress)];
  };
  CHECK(work.until([&] { return dropped() == 1; }));
  CHECK(p.node.members().standing(1) == MemberState::kUnknown);
  links.peers[1] = stranger.local_endpoint();
  p.speaker.set_links(links);
  stranger.send_to(boost::asio::buffer(std::vector<std::uint8_t>(1000, 1)), p.speaker.local());
  stranger.send_to(boost::asio::buffer(bytes_of(packer)), p.speaker.local());
  CHECK(work.until([&] { return p.node.members().standing(1) == MemberState::kAlive; }));
  CHECK(p.node.counts().dropped[static_cast<std::size_t>(Drop::kTooLong)] == 1);
}

}  // namespace
}  // namespace dispatcher::testing
