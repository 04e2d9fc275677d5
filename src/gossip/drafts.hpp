// What a node is about to send: content gathered by receiver, before it is packed into datagrams.
#ifndef DISPATCHER_GOSSIP_DRAFTS_HPP_
#define DISPATCHER_GOSSIP_DRAFTS_HPP_

#include <optional>
#include <vector>

#include "gossip/message.hpp"

namespace dispatcher::gossip {

// How the receiver's view of the fleet compares with ours, by the hash that it sent.
enum class ViewComparison : std::uint8_t { kUnknown, kEqual, kDifferent };

// What one datagram is to hold, the most valuable first. Updates and entries of the send queues fill it up.
struct Draft {
  MemberIndex to = 0;
  std::optional<Probe> probe;
  std::vector<replicated_state::QuotaMessage> quota_messages;
  std::vector<MemberUpdate> updates;  // that the receiver needs whatever was sent before
  ViewComparison view = ViewComparison::kUnknown;
  std::vector<Digest> digests;
  DigestRole digest_role = DigestRole::kOffer;
  std::vector<Entry> entries;  // that the receiver lacks
  // Must go out even where the byte budget is in debt.
  [[nodiscard]] bool is_urgent() const { return probe || !quota_messages.empty() || !updates.empty(); }
};

// The drafts of one event, in the order in which they go out. A local of GossipNode's event handlers.
class Drafts {
 public:
  // The first draft to this receiver, a new one if there is none. Valid until the next call of any add.
  [[nodiscard]] Draft& to(MemberIndex receiver);
  // Each message becomes a draft of its own: a datagram has one probe.
  void add(const std::vector<membership::OutgoingMessage>& messages);
  // The messages of one receiver share drafts, as many as always fit one datagram in each.
  void add(const std::vector<replicated_state::QuotaMessage>& messages);
  // Another draft to this receiver. Valid until the next call of any add.
  Draft& add_new(MemberIndex receiver);
  [[nodiscard]] std::vector<Draft>& all() { return drafts_; }

 private:
  std::vector<Draft> drafts_;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_DRAFTS_HPP_
