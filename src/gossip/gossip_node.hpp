// One dispatcher's part in its fleet: who is alive, what each has told, and the rights that add up. No I/O:
// the clock, the randomness and the datagrams are passed in, and datagrams to be sent are handed back. The
// speaker carries them.
#ifndef DISPATCHER_GOSSIP_GOSSIP_NODE_HPP_
#define DISPATCHER_GOSSIP_GOSSIP_NODE_HPP_

#include <array>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "gossip/byte_budget.hpp"
#include "gossip/codec.hpp"
#include "gossip/config.hpp"
#include "gossip/replay_window.hpp"
#include "membership/membership.hpp"
#include "replicated_state/bounded_counter.hpp"
#include "replicated_state/replicated_map.hpp"

namespace dispatcher::gossip {

struct Outgoing {
  std::optional<Number> to;  // none: everybody
  Datagram datagram;
};

class GossipNode {
 public:
  using Sent = std::vector<Outgoing>;
  using OnChange = std::function<void(const membership::Change&)>;

  // `life`: when this process started, ms since the Unix epoch. `kinds` outlives the node, complete.
  GossipNode(const Options& options, const replicated_state::Kinds& kinds, std::uint64_t life,
             std::uint64_t seed, Time now);

  Sent start(Time now);                                                       // says that we are there
  Sent tick(Time now);                                                        // at or after next()
  Sent received(Time now, Number from, std::span<const std::uint8_t> bytes);  // from that member's address
  Sent leave(Time now);                                                       // says that we go
  [[nodiscard]] Time next() const;

  // Each of the three is this node's to write to; messages follow with the next tick, at once where next()
  // says so.
  bool set(Time now, std::uint32_t kind, std::uint64_t key, replicated_state::Bytes payload);
  void erase(Time now, std::uint32_t kind, std::uint64_t key) { rows_.erase(now, kind, key); }
  [[nodiscard]] const replicated_state::ReplicatedMap& rows() const { return rows_; }
  replicated_state::BoundedCounter& rights() { return rights_; }
  [[nodiscard]] const replicated_state::BoundedCounter& rights() const { return rights_; }
  [[nodiscard]] const membership::Membership& members() const { return members_; }
  void on_change(OnChange on_change) { on_change_ = std::move(on_change); }

  void unknown_address() { drop(Drop::kUnknownAddress); }  // a datagram came from nobody whom we know
  struct Counts {
    std::uint64_t sent = 0, sent_bytes = 0;  // of a datagram to all, each receiver counts
    std::uint64_t received = 0, received_bytes = 0;
    std::uint64_t held_back = 0;  // for want of budget
    std::uint64_t absurd = 0;     // entries beyond their bounds
    std::array<std::uint64_t, kDrops> dropped{};
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  // What one datagram is to hold, the most valuable first. Claims and rows of the queues fill it.
  struct Draft {
    Number to = 0;
    std::optional<Probe> probe;
    std::vector<replicated_state::Transfer> transfers;
    std::vector<MemberUpdate> claims;   // that the receiver needs whatever has been sent before
    bool page = false, agreed = false;  // its table of members differs from ours, is ours
    std::vector<Summary> summaries;
    bool reply = false;
    std::vector<Row> rows;  // that it lacks
    [[nodiscard]] bool needed() const { return probe || !transfers.empty(); }
  };
  Sent carry_out(Time now, std::vector<Draft> drafts);
  void pack(Time now, const Draft& draft, Sent& out);
  void pack_core(Packer& packer, const Draft& draft);
  void fill(Time now, Packer& packer, const Draft& draft);
  void tell_all(Time now, Sent& out);
  bool pay(Time now, const Datagram& datagram, std::int64_t receivers);
  Draft& draft_for(std::vector<Draft>& drafts, Number to);
  void add(std::vector<Draft>& drafts, const std::vector<membership::Sending>& sendings);
  void add(std::vector<Draft>& drafts, const std::vector<replicated_state::Transfer>& transfers);
  void compare(Time now, Number from, const Message& message, std::vector<Draft>& drafts);
  std::vector<Draft> outdated(Number from, const Message& message);
  void follow_changes(Time now);
  void drop(Drop why) { ++counts_.dropped[static_cast<std::size_t>(why)]; }
  Sender next_sender();

  Options options_;
  membership::Membership members_;
  replicated_state::ReplicatedMap rows_;
  replicated_state::BoundedCounter rights_;
  ByteBudget budget_;
  ReplayWindow replays_;
  std::uint32_t serial_ = 0;
  Number group_ = 0;
  std::optional<Time> soon_;  // a row was written that is worth a datagram to all
  OnChange on_change_;
  Counts counts_;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_GOSSIP_NODE_HPP_
