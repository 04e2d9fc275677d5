// Fuzz target for a gossip node: any bytes that arrive as a datagram from another dispatcher are dropped, or
// accepted within the node's limits, and are never answered with a longer datagram than the platform allows.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "gossip/gossip_node.hpp"
#include "replicated_state/failure_evidence.hpp"

namespace {

using namespace dispatcher;
using std::chrono::milliseconds;

constexpr gossip::MemberIndex kMemberCount = 40;

struct Fleet {
  replicated_state::EntryKinds kinds;
  gossip::NodeOptions options;
  Fleet() {
    kinds.add(replicated_state::failure_evidence_kind());
    options.member_count = kMemberCount;
  }
};

void check(const gossip::GossipNode::OutgoingDatagrams& datagrams) {
  for (const gossip::OutgoingDatagram& outgoing : datagrams) {
    if (outgoing.datagram.size() > gossip::kMaxDatagramBytes || outgoing.datagram.size() == 0) std::abort();
    if (outgoing.to && *outgoing.to >= kMemberCount) std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const Fleet fleet;
  const std::span bytes(data, size);
  gossip::GossipNode node(fleet.options, fleet.kinds, 1'800'000'000'000, 7, milliseconds(1000));
  const replicated_state::Budget budget{
      {1, 7}, replicated_state::BudgetType::kRate, 4000, std::chrono::seconds(5)};
  node.quotas().open(milliseconds(1000), budget, replicated_state::BudgetStart::kObserved);
  // The input names its sender, as the transport would by the address.
  for (const gossip::MemberIndex from : {1U, 2U}) check(node.on_received(milliseconds(1100), from, bytes));
  for (int i = 0; i < 4; ++i) check(node.tick(node.next_deadline()));
  if (node.quotas().rate(node.next_deadline(), budget.id) > 4000 ||
      node.entries().size() > fleet.options.max_entries)
    std::abort();
  if (node.members().state(0) != membership::MemberState::kAlive) std::abort();
  return 0;
}
