// Compares the bytes of each kind of datagram and payload with those recorded from an earlier build, in which
// the fields of wire.proto and payloads.proto had other names. While a fleet is upgraded, dispatchers of both
// builds run side by side, so each must be able to decode the datagrams of the other.
#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "tests/fixtures/fleet_fixture.hpp"

namespace dispatcher::testing {
namespace {

constexpr MemberIndex kMemberCount = 40;
constexpr Sender kSender{2, kMemberCount, 3, {kIncarnation, 5}, 20'000};
constexpr Digest kRecordedDigest{12, 300, 0xdeadbeef};
constexpr std::string_view kHeader = "08011002182820032880a0f1c2b134300538a09c01";

enum class RecordedPayload { kEvidence, kTombstone };
Entry recorded_entry(MemberIndex owner, std::uint64_t incarnation, RecordedPayload payload) {
  Entry entry;
  entry.key = {1, 0x5be2a07c11, owner};
  entry.incarnation = incarnation;
  entry.version = 300;
  entry.age = milliseconds(2340);
  entry.is_tombstone = payload == RecordedPayload::kTombstone;
  if (payload == RecordedPayload::kTombstone) return entry;
  const auto bytes = replicated_state::encode(FailureEvidence{3, 4});
  entry.payload.assign(bytes.begin(), bytes.end());
  return entry;
}

template <class Bytes>
std::string to_hex(const Bytes& bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint8_t byte : bytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

std::vector<std::uint8_t> from_hex(std::string_view text) {
  std::vector<std::uint8_t> bytes;
  for (std::size_t i = 0; i < text.size(); i += 2)
    bytes.push_back(static_cast<std::uint8_t>(std::stoi(std::string(text.substr(i, 2)), nullptr, 16)));
  return bytes;
}

struct RecordedDatagram {
  std::string_view name;
  std::function<void(DatagramBuilder&)> add;
  std::string_view content;  // the bytes after the header, in hexadecimal
};

// Returns the recorded messages of the membership protocol.
std::vector<RecordedDatagram> recorded_membership() {
  return {
      {"header alone", [](DatagramBuilder&) {}, ""},
      {"ping",
       [](DatagramBuilder& builder) {
         builder.add(Probe{Probe::Type::kPing, 77, 0});
       },
       "4202104d"},
      {"ping request",
       [](DatagramBuilder& builder) {
         builder.add(Probe{Probe::Type::kPingRequest, 77, 9});
       },
       "42060801104d1809"},
      {"ack",
       [](DatagramBuilder& builder) {
         builder.add(Probe{Probe::Type::kAck, 77, 0});
       },
       "42040802104d"},
      {"nack",
       [](DatagramBuilder& builder) {
         builder.add(Probe{Probe::Type::kNack, 77, 0});
       },
       "42040803104d"},
      {"alive member",
       [](DatagramBuilder& builder) {
         builder.add(MemberUpdate{7, {kIncarnation + 1, 2}, MemberState::kAlive, 0});
       },
       "520b08071081a0f1c2b1341802"},
      {"suspect member",
       [](DatagramBuilder& builder) {
         builder.add(MemberUpdate{7, {kIncarnation + 1, 2}, MemberState::kSuspect, 11});
       },
       "520f08071081a0f1c2b13418022001280b"},
      {"dead member",
       [](DatagramBuilder& builder) {
         builder.add(MemberUpdate{7, {kIncarnation + 1, 2}, MemberState::kDead, 11});
       },
       "520d08071081a0f1c2b13418022002"},
  };
}

// Returns the recorded messages of the replicated state.
std::vector<RecordedDatagram> recorded_state() {
  return {
      {"quota request",
       [](DatagramBuilder& builder) {
         builder.add(QuotaRequest{{2, 1000}, 300, 0, 500});
       },
       "5a0b080210e80718ac0228f403"},
      {"renewal request",
       [](DatagramBuilder& builder) {
         builder.add(QuotaRequest{{2, 1000}, 301, 300, 500});
       },
       "5a0e080210e80718ad0220ac0228f403"},
      {"quota grant",
       [](DatagramBuilder& builder) {
         builder.add(QuotaGrant{{2, 1000}, kIncarnation, 300, 450, seconds(10)});
       },
       "6215080210e8071880a0f1c2b13420ac0228c20330904e"},
      {"quota return",
       [](DatagramBuilder& builder) {
         builder.add(QuotaReturn{{2, 1000}, 300});
       },
       "6a08080210e80718ac02"},
      {"own entry",
       [](DatagramBuilder& builder) {
         builder.add(recorded_entry(3, kIncarnation, RecordedPayload::kEvidence));
       },
       "721518012091f88195be0b28ac0230ea013a0408031004"},
      {"entry of another owner",
       [](DatagramBuilder& builder) {
         builder.add(recorded_entry(8, kIncarnation + 9, RecordedPayload::kEvidence));
       },
       "721e08081089a0f1c2b13418012091f88195be0b28ac0230ea013a0408031004"},
      {"tombstone",
       [](DatagramBuilder& builder) {
         builder.add(recorded_entry(3, kIncarnation, RecordedPayload::kTombstone));
       },
       "721118012091f88195be0b28ac0230ea014001"},
      {"members hash", [](DatagramBuilder& builder) { builder.add_members_hash(0x89abcdef); }, "4defcdab89"},
      {"group hash", [](DatagramBuilder& builder) { builder.add_group(3, 0x01234567); },
       "8001048d0167452301"},
      {"digest", [](DatagramBuilder& builder) { builder.add(kRecordedDigest, DigestRole::kOffer); },
       "7a0a080c10ac021defbeadde"},
      {"digest reply", [](DatagramBuilder& builder) { builder.add(kRecordedDigest, DigestRole::kReply); },
       "7a0a080c10ac021defbeadde900101"},
  };
}

std::vector<RecordedDatagram> recorded_datagrams() {
  std::vector<RecordedDatagram> all = recorded_membership();
  const std::vector<RecordedDatagram> state = recorded_state();
  all.insert(all.end(), state.begin(), state.end());
  return all;
}

// Adds all content of a decoded message to a datagram.
void add_all(const Message& message, DatagramBuilder& builder) {
  if (message.probe) builder.add(*message.probe);
  if (message.members_hash) builder.add_members_hash(*message.members_hash);
  if (message.group) builder.add_group(*message.group, message.group_hash);
  for (const MemberUpdate& update : message.updates) builder.add(update);
  for (const QuotaRequest& request : message.requests) builder.add(request);
  for (const QuotaGrant& grant : message.grants) builder.add(grant);
  for (const QuotaReturn& returned : message.returns) builder.add(returned);
  for (const Entry& entry : message.entries) builder.add(entry);
  for (const Digest& digest : message.digests) builder.add(digest, message.digest_role);
}

std::string hex_of(const DatagramBuilder& builder) {
  const auto datagram = builder.finish();
  REQUIRE(datagram);
  return to_hex(datagram->bytes());
}

TEST_CASE("each kind of datagram is encoded as recorded", "[gossip]") {
  for (const RecordedDatagram& recorded : recorded_datagrams()) {
    INFO(recorded.name);
    DatagramBuilder builder(kSender);
    recorded.add(builder);
    CHECK(hex_of(builder) == std::string(kHeader) + std::string(recorded.content));
  }
}

TEST_CASE("each kind of recorded datagram is decoded and encoded to the same bytes again", "[gossip]") {
  for (const RecordedDatagram& recorded : recorded_datagrams()) {
    INFO(recorded.name);
    const std::string hex = std::string(kHeader) + std::string(recorded.content);
    const auto decoded = gossip::decode(from_hex(hex), kSender.member, kSender.tier, kMemberCount);
    const auto* message = std::get_if<Message>(&decoded);
    REQUIRE(message != nullptr);
    CHECK(message->invalid_entries == 0);
    CHECK(message->sender.version == kSender.version);
    CHECK(message->sender.serial == kSender.serial);
    DatagramBuilder builder(message->sender);
    add_all(*message, builder);
    CHECK(hex_of(builder) == hex);
  }
}

TEST_CASE("the payload of failure evidence is encoded and decoded as recorded", "[replicated_state]") {
  constexpr std::string_view kRecorded = "08031004";
  CHECK(to_hex(replicated_state::encode(FailureEvidence{3, 4})) == kRecorded);
  const auto evidence = replicated_state::decode_failure_evidence(from_hex(kRecorded));
  REQUIRE(evidence);
  CHECK(evidence->failed_attempts == 3);
  CHECK(evidence->attempts == 4);
}

}  // namespace
}  // namespace dispatcher::testing
