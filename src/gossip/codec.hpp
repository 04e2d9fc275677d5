// Datagrams and what they mean. wire.proto has the format; nothing of protobuf is seen outside the codec.
#ifndef DISPATCHER_GOSSIP_CODEC_HPP_
#define DISPATCHER_GOSSIP_CODEC_HPP_

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "gossip/datagram.hpp"
#include "membership/member.hpp"
#include "replicated_state/bounded_counter.hpp"
#include "replicated_state/replicated_map.hpp"

namespace dispatcher::gossip {

using membership::Incarnation;
using membership::MemberUpdate;
using membership::Number;
using membership::Probe;
using replicated_state::Row;
using replicated_state::Summary;

inline constexpr std::uint32_t kVersion = 1;

// Who speaks: the same on all datagrams of a process, but for the serial number.
struct Sender {
  std::uint32_t tier = 0;
  Number count = 0, number = 0;
  Incarnation incarnation;
  std::uint32_t serial = 0;
};

struct Message {
  Sender sender;
  std::optional<Probe> probe;
  std::optional<std::uint32_t> members_hash;
  std::vector<MemberUpdate> claims;
  std::vector<replicated_state::Ask> asks;
  std::vector<replicated_state::Grant> grants;
  std::vector<replicated_state::Return> returns;
  std::vector<Row> rows;
  std::vector<Summary> summaries;
  bool reply = false;
  std::optional<Number> group;
  std::uint32_t group_hash = 0;
  unsigned absurd = 0;  // entries that were passed over
};

enum class Drop : std::uint8_t {
  kTooLong,
  kGarbage,
  kFormat,
  kTier,
  kCount,
  kSender,
  kUnknownAddress,
  kAbsurd,
  kOldLife,
  kReplay
};
inline constexpr std::size_t kDrops = 10;
const char* name(Drop drop);

// Reads what came from the address of `from`. An entry beyond its bounds is passed over; the datagram is
// dropped where what all datagrams have is wrong. `tier`, `count`: what the settings say.
std::variant<Message, Drop> decode(std::span<const std::uint8_t> bytes, Number from, std::uint32_t tier,
                                   Number count);

// Fills one datagram. Each add() says whether the entry found room, within kMostBytes and the limit given.
class Packer {
 public:
  explicit Packer(const Sender& sender);
  ~Packer();
  Packer(Packer&&) noexcept;
  Packer& operator=(Packer&&) = delete;
  bool add(const Probe& probe);
  bool add_members_hash(std::uint32_t hash);
  bool add_group(Number group, std::uint32_t hash);
  bool add(const MemberUpdate& claim);
  bool add(const replicated_state::Ask& ask);
  bool add(const replicated_state::Grant& grant);
  bool add(const replicated_state::Return& back);
  bool add(const Row& row);
  bool add(const Summary& summary, bool reply);
  void limit(std::size_t maximum);  // for what comes, at least what is there already
  [[nodiscard]] std::size_t size() const;
  [[nodiscard]] std::size_t room() const { return size() < max_ ? max_ - size() : 0; }
  // None only where the sender alone is too much, which its bounds rule out.
  [[nodiscard]] std::optional<Datagram> finish() const;

 private:
  [[nodiscard]] bool fits(std::size_t more) const { return size() + more <= max_; }
  struct Content;
  std::unique_ptr<Content> content_;
  std::size_t max_ = kMaxBytes;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_CODEC_HPP_
