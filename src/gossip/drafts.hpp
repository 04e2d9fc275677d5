// The content that a node is about to send, grouped by receiver, before it is packed into datagrams.
#ifndef DISPATCHER_GOSSIP_DRAFTS_HPP_
#define DISPATCHER_GOSSIP_DRAFTS_HPP_

#include <optional>
#include <vector>

#include "gossip/message.hpp"

namespace dispatcher::gossip {

// How the receiver's view of the fleet compares with this member's, according to the hash that it sent.
enum class ViewComparison : std::uint8_t { kUnknown, kEqual, kDifferent };

// The content of one datagram, in order of decreasing importance. Updates and entries of the send queues fill
// the remaining space.
struct Draft {
  MemberIndex to = 0;
  std::optional<Probe> probe;
  std::vector<replicated_state::QuotaMessage> quota_messages;
  std::vector<MemberUpdate> updates;  // needed by the receiver, even if they were sent before
  ViewComparison view = ViewComparison::kUnknown;
  std::vector<Digest> digests;
  DigestRole digest_role = DigestRole::kOffer;
  std::vector<Entry> entries;  // missing at the receiver
  // Returns whether the datagram must be sent even if the byte budget is overdrawn.
  [[nodiscard]] bool is_urgent() const { return probe || !quota_messages.empty() || !updates.empty(); }
};

// The drafts of one event, in the order in which they are sent. Used as a local variable of GossipNode's
// event handlers.
class Drafts {
 public:
  // Returns the first draft to this receiver; adds one if there is none. The reference is valid until the
  // next call of to(), add() or add_new().
  [[nodiscard]] Draft& to(MemberIndex receiver);
  // Adds a separate draft for each message, because a datagram holds one probe.
  void add(const std::vector<membership::OutgoingMessage>& messages);
  // Adds the messages to the drafts to their receivers. Each draft takes as many as always fit into one
  // datagram.
  void add(const std::vector<replicated_state::QuotaMessage>& messages);
  // Adds another draft to this receiver. The reference is valid until the next call of to(), add() or
  // add_new().
  Draft& add_new(MemberIndex receiver);
  [[nodiscard]] std::vector<Draft>& all() { return drafts_; }

 private:
  std::vector<Draft> drafts_;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_DRAFTS_HPP_
