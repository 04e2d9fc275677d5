// Datagrams between dispatchers: what is built reads back within the size limit, and bad ones are dropped.
#include <memory>
#include <random>
#include <tuple>

#include "fleet_fixture.hpp"
#include "property.hpp"

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
  entry.payload.assign(random() % 41, static_cast<std::uint8_t>(random()));
  return entry;
}

TEST_CASE("whatever is built fits into 256 bytes, has the size that was computed, and decodes to the same",
          "[gossip]") {
  holds(
      [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        Sender head{static_cast<std::uint32_t>(random() % 3),
                    40,
                    static_cast<MemberIndex>(random() % 40),
                    {1 + random() % membership::kMaxIncarnation, static_cast<std::uint32_t>(random() % 300)},
                    1 + static_cast<std::uint32_t>(random() >> 33U)};
        DatagramBuilder builder(head);
        std::vector<MemberUpdate> updates;
        std::vector<Entry> entries;
        std::size_t requests = 0;
        std::size_t grants = 0;
        std::size_t returns = 0;
        std::size_t digests = 0;
        const std::optional<Probe> probe =
            random() % 2 == 0
                ? std::optional(Probe{Probe::Type::kPingRequest, static_cast<std::uint32_t>(random()), 5})
                : std::nullopt;
        if (probe) RC_ASSERT(builder.add(*probe));
        if (random() % 2 == 0) builder.add_members_hash(static_cast<std::uint32_t>(random()));
        if (random() % 2 == 0)
          builder.add_group(static_cast<MemberIndex>(random() % 10), static_cast<std::uint32_t>(random()));
        for (std::size_t i = 0; i < random() % 60; ++i) {
          switch (random() % 6) {
            case 0: {
              const MemberUpdate update{
                  static_cast<MemberIndex>(random() % 40),
                  {1 + random() % membership::kMaxIncarnation, static_cast<std::uint32_t>(random() % 200)},
                  static_cast<MemberState>(1 + random() % 3),
                  0};
              if (builder.add(update)) updates.push_back(update);
              break;
            }
            case 1: {
              const Entry entry = any_entry(random);
              if (builder.add(entry)) entries.push_back(entry);
              break;
            }
            case 2:
              requests += builder.add(QuotaRequest{
                  {1, random()}, 1 + static_cast<std::uint32_t>(random() >> 33U), 0, 1 + random() % 1000});
              break;
            case 3:
              grants += builder.add(QuotaGrant{{1, random()}, kIncarnation, 9, random() % 1000, seconds(10)});
              break;
            case 4:
              returns += builder.add(QuotaReturn{{1, random()}, 9});
              break;
            case 5:
              digests += builder.add(Digest{static_cast<MemberIndex>(random() % 40), random() % 1000,
                                            static_cast<std::uint32_t>(random())},
                                     random() % 2 == 0 ? DigestRole::kReply : DigestRole::kOffer);
              break;
          }
        }
        RC_ASSERT(builder.size() <= 256U);
        const auto datagram = builder.finish();
        RC_ASSERT(datagram.has_value());
        RC_ASSERT(datagram->size() == builder.size());
        const auto result = decode(datagram->bytes(), head.member, head.tier, 40);
        const auto* message = std::get_if<Message>(&result);
        RC_ASSERT(message != nullptr);
        RC_ASSERT(message->invalid_entries == 0U);
        RC_ASSERT(message->probe == probe);
        RC_ASSERT(message->updates == updates);
        RC_ASSERT(message->requests.size() == requests);
        RC_ASSERT(message->grants.size() == grants);
        RC_ASSERT(message->returns.size() == returns);
        RC_ASSERT(message->digests.size() == digests);
        RC_ASSERT(message->entries.size() == entries.size());
        for (std::size_t i = 0; i < entries.size(); ++i) {
          const Entry &sent = entries[i], &decoded = message->entries[i];
          RC_ASSERT(sent.key == decoded.key);
          RC_ASSERT(std::tie(sent.incarnation, sent.version, sent.is_tombstone, sent.age, sent.payload) ==
                    std::tie(decoded.incarnation, decoded.version, decoded.is_tombstone, decoded.age,
                             decoded.payload));
        }
      },
      2000);
}

TEST_CASE("no datagram is longer than 256 bytes, by its type", "[gossip]") {
  CHECK_FALSE(gossip::Datagram::create(257, [](std::span<std::uint8_t>) { FAIL("written"); }));
  CHECK(gossip::Datagram::create(256, [](std::span<std::uint8_t>) {})->size() == 256);
}

// A node that knows nobody yet and is given single datagrams.
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

TEST_CASE("datagrams of others, forged, truncated, too long or replayed are dropped, each counted by reason",
          "[gossip]") {
  Receiver receiver;
  const auto ping = [](Sender head) {
    DatagramBuilder builder(head);
    builder.add(Probe{Probe::Type::kPing, 1, 0});
    return bytes_of(builder);
  };
  CHECK(receiver.receive(4, ping(sender(3))).empty());
  CHECK(receiver.dropped(DropReason::kWrongSender) == 1);
  Sender head = sender();
  head.tier = 1;
  receiver.receive(3, ping(head));
  CHECK(receiver.dropped(DropReason::kWrongTier) == 1);
  head = sender();
  head.member_count = 41;
  receiver.receive(3, ping(head));
  CHECK(receiver.dropped(DropReason::kWrongCount) == 1);
  head = sender();
  head.version.incarnation = 0;
  receiver.receive(3, ping(head));
  head.version.incarnation = membership::kMaxIncarnation + 1;
  receiver.receive(3, ping(head));
  head = sender();
  head.serial = 0;
  receiver.receive(3, ping(head));
  CHECK(receiver.dropped(DropReason::kInvalid) == 3);
  receiver.receive(3, {});
  receiver.receive(3, {0xFF, 0xFF, 0xFF});
  std::vector<std::uint8_t> bytes = ping(sender());
  bytes.resize(bytes.size() - 3);
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
  CHECK(receiver.receive(3, ping(sender(3, 7))).size() == 1);  // late, within the window
  CHECK(receiver.receive(3, ping(sender(3, 6))).empty());      // and without
  CHECK(receiver.receive(0, ping(sender(0))).empty());         // an own broadcast comes back
  CHECK(receiver.dropped(DropReason::kReplay) == 2);
  receiver.node->on_unknown_address();
  CHECK(receiver.dropped(DropReason::kUnknownAddress) == 1);
}

TEST_CASE("fields of later versions are ignored", "[gossip]") {
  Receiver receiver;
  DatagramBuilder builder(sender());
  builder.add(Probe{Probe::Type::kPing, 1, 0});
  auto bytes = bytes_of(builder);
  bytes.insert(bytes.end(), {0xF8, 0x07, 0x2A, 0xFA, 0x07, 0x02, 'h', 'i'});  // fields 127: a number, a text
  CHECK(receiver.receive(3, bytes).size() == 1);
}

TEST_CASE("a datagram's invalid entries are skipped, and its valid ones accepted", "[gossip]") {
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
