// The content that a node is about to send, grouped by receiver, before it is packed into datagrams.
#ifndef DISPATCHER_GOSSIP_DRAFTS_HPP_
#define DISPATCHER_GOSSIP_DRAFTS_HPP_

#include <optional>
#include <vector>

#include "gossip/message.hpp"

namespace dispatcher::gossip {

// How the receiver's view of the fleet compares with ours, by the hash that it sent.
enum class ViewComparison : std::uint8_t { kUnknown, kEqual, kDifferent };

// The content of one datagram, the most valuable first. Updates and entries of the send queues fill the
// remaining space.
struct Draft {
  MemberIndex to = 0;
  std::optional<Probe> probe;
  std::vector<replicated_state::QuotaMessage> quota_messages;
  std::vector<MemberUpdate> updates;  // that the receiver needs, even if they were sent before
  ViewComparison view = ViewComparison::kUnknown;
  std::vector<Digest> digests;
  DigestRole digest_role = DigestRole::kOffer;
  std::vector<Entry> entries;  // that the receiver lacks
  // Whether it must be sent even where the byte budget is overdrawn.
  [[nodiscard]] bool is_urgent() const { return probe || !quota_messages.empty() || !updates.empty(); }
};

// The drafts of one event, in the order in which they are sent. A local variable of GossipNode's event
// handlers.
class Drafts {
 public:
  // The first draft to this receiver, a new one if there is none. Valid until the next call of any add.
  [[nodiscard]] Draft& to(MemberIndex receiver);
  // Each message becomes a draft of its own: a datagram has one probe.
  void add(const std::vector<membership::OutgoingMessage>& messages);
  // The messages to one receiver share drafts, each with as many as always fit one datagram.
  void add(const std::vector<replicated_state::QuotaMessage>& messages);
  // Another draft to this receiver. Valid until the next call of any add.
  Draft& add_new(MemberIndex receiver);
  [[nodiscard]] std::vector<Draft>& all() { return drafts_; }

 private:
  std::vector<Draft> drafts_;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_DRAFTS_HPP_
