// Datagrams between dispatchers: built ones stay within the size limit and decode to the same content, and
// invalid ones are dropped.
#include <memory>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "tests/fixtures/fleet_fixture.hpp"
#include "tests/fixtures/property.hpp"

namespace dispatcher::testing {
namespace {
using gossip::decode;

Sender sender(MemberIndex member = 3, std::uint32_t serial = 1) {
  return {2, 40, member, {kIncarnation, 0}, serial};
}

Entry any_entry(std::mt19937_64& random) {
  Entry entry;
  entry.key = {static_cast<std::uint32_t>(random() % 20), random() >> (random() % 64),
               static_cast<MemberIndex>(random() % 40)};
  entry.incarnation = 1 + random() % membership::kMaxIncarnation;
  entry.version = 1 + random() % replicated_state::kMaxVersion;
  entry.is_tombstone = random() % 4 == 0;
  entry.age = milliseconds(10) * static_cast<int>(random() % 6000);
  const auto byte = static_cast<std::uint8_t>(random());
  entry.payload.assign(random() % 41, byte);
  return entry;
}

// A datagram with random content, and the part of the content that fitted.
class RandomDatagram {
 public:
  explicit RandomDatagram(std::uint64_t seed) : random_(seed), header_(draw_header()), builder_(header_) {
    if (random_() % 2 == 0) probe_ = Probe::ping_request(static_cast<std::uint32_t>(random_()), 5);
    if (probe_) RC_ASSERT(builder_.add(*probe_));
    if (random_() % 2 == 0) builder_.add_members_hash(static_cast<std::uint32_t>(random_()));
    if (random_() % 2 == 0) {
      const auto hash = static_cast<std::uint32_t>(random_());
      builder_.add_group(static_cast<MemberIndex>(random_() % 10), hash);
    }
    for (std::size_t i = 0; i < random_() % 60; ++i) add_content();
  }

  void check_size() const {
    RC_ASSERT(builder_.size() <= 256U);
    const auto datagram = builder_.finish();
    RC_ASSERT(datagram.has_value());
    RC_ASSERT(datagram->size() == builder_.size());
  }

  void check_decoded() const {
    const auto result = decode(builder_.finish()->bytes(), header_.member, header_.tier, 40);
    const auto* message = std::get_if<Message>(&result);
    RC_ASSERT(message != nullptr);
    RC_ASSERT(message->invalid_entries == 0U);
    RC_ASSERT(message->probe == probe_);
    RC_ASSERT(message->updates == updates_);
    RC_ASSERT(message->requests.size() == requests_);
    RC_ASSERT(message->grants.size() == grants_);
    RC_ASSERT(message->returns.size() == returns_);
    RC_ASSERT(message->digests.size() == digests_);
    RC_ASSERT(message->entries.size() == entries_.size());
    for (std::size_t i = 0; i < entries_.size(); ++i) check_entry(entries_[i], message->entries[i]);
  }

 private:
  Sender draw_header() {
    return {static_cast<std::uint32_t>(random_() % 3),
            40,
            static_cast<MemberIndex>(random_() % 40),
            {1 + random_() % membership::kMaxIncarnation, static_cast<std::uint32_t>(random_() % 300)},
            1 + static_cast<std::uint32_t>(random_() >> 33U)};
  }

  MemberUpdate draw_update() {
    return {static_cast<MemberIndex>(random_() % 40),
            {1 + random_() % membership::kMaxIncarnation, static_cast<std::uint32_t>(random_() % 200)},
            static_cast<MemberState>(1 + random_() % 3),
            0};
  }

  Digest draw_digest() {
    return {static_cast<MemberIndex>(random_() % 40), random_() % 1000,
            static_cast<std::uint32_t>(random_())};
  }

  QuotaRequest draw_request() {
    return {{1, random_()}, 1 + static_cast<std::uint32_t>(random_() >> 33U), 0, 1 + random_() % 1000};
  }

  void add_content() {
    switch (random_() % 6) {
      case 0:
        if (const MemberUpdate update = draw_update(); builder_.add(update)) updates_.push_back(update);
        break;
      case 1:
        if (const Entry entry = any_entry(random_); builder_.add(entry)) entries_.push_back(entry);
        break;
      case 2:
        requests_ += builder_.add(draw_request());
        break;
      case 3:
        grants_ += builder_.add(QuotaGrant{{1, random_()}, kIncarnation, 9, random_() % 1000, seconds(10)});
        break;
      case 4:
        returns_ += builder_.add(QuotaReturn{{1, random_()}, 9});
        break;
      case 5: {
        const DigestRole role = random_() % 2 == 0 ? DigestRole::kReply : DigestRole::kOffer;
        digests_ += builder_.add(draw_digest(), role);
        break;
      }
    }
  }

  static void check_entry(const Entry& sent, const Entry& decoded) {
    RC_ASSERT(sent.key == decoded.key);
    RC_ASSERT(sent.incarnation == decoded.incarnation);
    RC_ASSERT(sent.version == decoded.version);
    RC_ASSERT(sent.is_tombstone == decoded.is_tombstone);
    RC_ASSERT(sent.age == decoded.age);
    RC_ASSERT(sent.payload == decoded.payload);
  }

  std::mt19937_64 random_;
  Sender header_;
  DatagramBuilder builder_;
  std::optional<Probe> probe_;
  std::vector<MemberUpdate> updates_;
  std::vector<Entry> entries_;
  std::size_t requests_ = 0;
  std::size_t grants_ = 0;
  std::size_t returns_ = 0;
  std::size_t digests_ = 0;
};

TEST_CASE("a built datagram fits into 256 bytes, has the computed size and decodes to the same content",
          "[gossip]") {
  holds(
      [] {
        const RandomDatagram random_datagram(*rc::gen::arbitrary<std::uint64_t>());
        random_datagram.check_size();
        random_datagram.check_decoded();
      },
      2000);
}

TEST_CASE("the datagram type does not allow more than 256 bytes", "[gossip]") {
  CHECK_FALSE(gossip::Datagram::create(257, [](std::span<std::uint8_t>) { FAIL("written"); }));
  CHECK(gossip::Datagram::create(256, [](std::span<std::uint8_t>) {})->size() == 256);
}

// A node that knows no other member yet and receives single datagrams.
struct Receiver {
  replicated_state::EntryKinds kinds;
  NodeOptions options;
  std::unique_ptr<GossipNode> node;
  Receiver() {
    kinds.add(replicated_state::failure_evidence_kind());
    options.member_count = 40;
    options.tier = 2;
    node = std::make_unique<GossipNode>(options, kinds, kIncarnation, 1, seconds(10));
  }
  GossipNode::OutgoingDatagrams receive(MemberIndex from, const std::vector<std::uint8_t>& bytes,
                                        Time now = seconds(11)) {
    return node->on_received(now, from, bytes);
  }
  [[nodiscard]] std::uint64_t dropped(DropReason reason) const {
    return node->counts().dropped[static_cast<std::size_t>(reason)];
  }
};

TEST_CASE("foreign, forged, truncated, too long and replayed datagrams are dropped and counted by reason",
          "[gossip]") {
  Receiver receiver;
  const auto ping = [](Sender header) {
    DatagramBuilder builder(header);
    builder.add(Probe{Probe::Type::kPing, 1, 0});
    return bytes_of(builder);
  };
  CHECK(receiver.receive(4, ping(sender(3))).empty());
  CHECK(receiver.dropped(DropReason::kWrongSender) == 1);
  Sender header = sender();
  header.tier = 1;
  receiver.receive(3, ping(header));
  CHECK(receiver.dropped(DropReason::kWrongTier) == 1);
  header = sender();
  header.member_count = 41;
  receiver.receive(3, ping(header));
  CHECK(receiver.dropped(DropReason::kWrongCount) == 1);
  header = sender();
  header.version.incarnation = 0;
  receiver.receive(3, ping(header));
  header.version.incarnation = membership::kMaxIncarnation + 1;
  receiver.receive(3, ping(header));
  header = sender();
  header.serial = 0;
  receiver.receive(3, ping(header));
  CHECK(receiver.dropped(DropReason::kInvalid) == 3);
  receiver.receive(3, {});
  receiver.receive(3, {0xFF, 0xFF, 0xFF});
  std::vector<std::uint8_t> bytes = ping(sender());
  REQUIRE(bytes.size() > 3);
  bytes.erase(bytes.end() - 3, bytes.end());
  receiver.receive(3, bytes);
  CHECK(receiver.dropped(DropReason::kMalformed) == 3);
  receiver.receive(3, std::vector<std::uint8_t>(257));
  CHECK(receiver.dropped(DropReason::kTooLong) == 1);
  bytes = ping(sender());
  REQUIRE(bytes[0] == 0x08);
  bytes[1] = 2;
  receiver.receive(3, bytes);
  CHECK(receiver.dropped(DropReason::kUnsupportedVersion) == 1);
  CHECK(receiver.node->members().state(3) == MemberState::kUnknown);

  CHECK(receiver.receive(3, ping(sender())).size() == 1);
  CHECK(receiver.node->members().state(3) == MemberState::kAlive);
  CHECK(receiver.receive(3, ping(sender())).empty());
  CHECK(receiver.dropped(DropReason::kReplay) == 1);
  CHECK(receiver.receive(3, ping(sender(3, 70))).size() == 1);
  CHECK(receiver.receive(3, ping(sender(3, 7))).size() == 1);  // late, but within the replay window
  CHECK(receiver.receive(3, ping(sender(3, 6))).empty());      // below the replay window
  CHECK(receiver.receive(0, ping(sender(0))).empty());         // its own broadcast, which also reaches itself
  CHECK(receiver.dropped(DropReason::kReplay) == 2);
  receiver.node->on_unknown_address();
  CHECK(receiver.dropped(DropReason::kUnknownAddress) == 1);
}

TEST_CASE("a datagram's unknown fields of later versions are ignored", "[gossip]") {
  Receiver receiver;
  DatagramBuilder builder(sender());
  builder.add(Probe{Probe::Type::kPing, 1, 0});
  auto bytes = bytes_of(builder);
  bytes.insert(bytes.end(),
               {0xF8, 0x07, 0x2A, 0xFA, 0x07, 0x02, 'h', 'i'});  // field 127 twice: a number and a string
  CHECK(receiver.receive(3, bytes).size() == 1);
}

TEST_CASE("a datagram's invalid entries are skipped and its valid ones are accepted", "[gossip]") {
  Receiver receiver;
  DatagramBuilder builder(sender());
  builder.add(MemberUpdate{55, {kIncarnation, 0}, MemberState::kDead, 0});
  builder.add(MemberUpdate{5, {0, 0}, MemberState::kDead, 0});
  builder.add(MemberUpdate{6, {kIncarnation, 0}, MemberState::kSuspect, 77});
  builder.add(MemberUpdate{8, {kIncarnation, 0}, static_cast<MemberState>(4), 0});
  builder.add(MemberUpdate{7, {kIncarnation, 0}, MemberState::kAlive, 0});
  Entry entry;
  entry.key = {replicated_state::kFailureEvidenceKind, 1, 3};
  entry.incarnation = kIncarnation;
  entry.version = 0;
  builder.add(entry);
  receiver.receive(3, bytes_of(builder));
  CHECK(receiver.node->counts().invalid_entries == 5);
  CHECK(receiver.node->members().state(7) == MemberState::kAlive);
  CHECK(receiver.node->members().state(6) == MemberState::kUnknown);
}

}  // namespace
}  // namespace dispatcher::testing
