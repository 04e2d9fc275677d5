// Any bytes as a datagram between dispatchers: dropped or taken within the bounds, and never answered with a
// longer one than the platform allows.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "gossip/gossip_node.hpp"
#include "replicated_state/failure_evidence.hpp"

namespace {

using namespace dispatcher;
using std::chrono::milliseconds;

struct Fleet {
  replicated_state::Kinds kinds;
  gossip::Options options;
  Fleet() {
    kinds.add(replicated_state::doubt_kind());
    options.count = 40;
  }
};

void check(const gossip::GossipNode::Sent& sent) {
  for (const gossip::Outgoing& one : sent) {
    if (one.datagram.size() > gossip::kMaxBytes || one.datagram.size() == 0) std::abort();
    if (one.to && *one.to >= 40) std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const Fleet fleet;
  const std::span bytes(data, size);
  gossip::GossipNode node(fleet.options, fleet.kinds, 1'800'000'000'000, 7, milliseconds(1000));
  const replicated_state::Whole whole{{1, 7}, replicated_state::Nature::kRate, 4000, std::chrono::seconds(5)};
  node.rights().open(milliseconds(1000), whole, true);
  // The input names its sender, as the speaker would by the address.
  for (const gossip::Number from : {1U, 2U}) check(node.received(milliseconds(1100), from, bytes));
  for (int i = 0; i < 4; ++i) check(node.tick(node.next()));
  if (node.rights().rate(node.next(), whole.id) > 4000 || node.rows().size() > fleet.options.rows)
    std::abort();
  if (node.members().standing(0) != membership::MemberState::kAlive) std::abort();
  return 0;
}
