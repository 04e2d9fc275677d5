// One dispatcher as a member of its fleet. Combines SWIM membership, the replicated map and the bounded
// counters, whose messages share datagrams. Does no I/O: the caller passes in the time, the seed and received
// datagrams, and each call returns the datagrams to send, which UdpTransport sends.
#ifndef DISPATCHER_GOSSIP_GOSSIP_NODE_HPP_
#define DISPATCHER_GOSSIP_GOSSIP_NODE_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "gossip/byte_budget.hpp"
#include "gossip/codec.hpp"
#include "gossip/datagram_builder.hpp"
#include "gossip/drafts.hpp"
#include "gossip/node_options.hpp"
#include "gossip/replay_window.hpp"
#include "membership/membership.hpp"
#include "replicated_state/bounded_counter.hpp"
#include "replicated_state/replicated_map.hpp"

namespace dispatcher::gossip {

// A datagram and its receiver.
struct OutgoingDatagram {
  std::optional<MemberIndex> to;  // nullopt means all members
  Datagram datagram;
};

// The gossip protocol of one dispatcher. Owned by the daemon and used only on its event loop. Calls the
// observer only from within tick() and on_received().
class GossipNode {
 public:
  using OutgoingDatagrams = std::vector<OutgoingDatagram>;
  using ChangeObserver = std::function<void(const membership::MemberChange&)>;

  // `incarnation` is the time when this process started, in milliseconds since the Unix epoch. All random
  // numbers are derived from `seed`. `kinds` must outlive the node.
  GossipNode(const NodeOptions& options, const replicated_state::EntryKinds& kinds, std::uint64_t incarnation,
             std::uint64_t seed, Time now);

  // Announces this process to all members.
  [[nodiscard]] OutgoingDatagrams start(Time now);
  // Handles everything that is due, at or after next_deadline().
  [[nodiscard]] OutgoingDatagrams tick(Time now);
  // Handles a datagram that arrived from the address of member `from`.
  [[nodiscard]] OutgoingDatagrams on_received(Time now, MemberIndex from,
                                              std::span<const std::uint8_t> bytes);
  // Announces the end of this process to a few members.
  [[nodiscard]] OutgoingDatagrams leave(Time now);
  // Returns the time at which tick() is due next; a time in the past if it is overdue.
  [[nodiscard]] Time next_deadline() const;

  // Write to the node's entries and quotas. The resulting messages are sent with the next tick, which may be
  // due immediately; check next_deadline() after a write. set() returns the result of ReplicatedMap::set().
  bool set(Time now, std::uint32_t kind, std::uint64_t id, replicated_state::ByteView payload);
  void erase(Time now, std::uint32_t kind, std::uint64_t id) { entries_.erase(now, kind, id); }
  [[nodiscard]] replicated_state::BoundedCounter& quotas() { return quotas_; }

  [[nodiscard]] const replicated_state::ReplicatedMap& entries() const { return entries_; }
  [[nodiscard]] const replicated_state::BoundedCounter& quotas() const { return quotas_; }
  [[nodiscard]] const membership::Membership& members() const { return members_; }
  // Sets the observer of the changes of all members, including this one. The observer must not change the
  // node.
  void set_change_observer(ChangeObserver observer) { observe_change_ = std::move(observer); }

  // Called when a datagram arrived from an address that belongs to no member.
  void on_unknown_address() { count_drop(DropReason::kUnknownAddress); }

  // Totals since the start of the process.
  struct Counts {
    std::uint64_t sent = 0;  // datagrams; one to all members counts once for each receiver
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;  // datagrams from other members, whether accepted or dropped
    std::uint64_t received_bytes = 0;
    std::uint64_t deferred = 0;         // datagrams not sent because the byte budget was used up
    std::uint64_t invalid_entries = 0;  // parts skipped in accepted datagrams
    std::array<std::uint64_t, kDropReasonCount> dropped{};  // by DropReason
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  [[nodiscard]] OutgoingDatagrams send(Time now, Drafts drafts);
  [[nodiscard]] std::optional<Datagram> pack(Time now, const Draft& draft);
  void add_probe_hashes(Time now, DatagramBuilder& builder);
  void add_updates(DatagramBuilder& builder, const Draft& draft);
  void add_entries(Time now, DatagramBuilder& builder, const Draft& draft);
  void broadcast_urgent(Time now, OutgoingDatagrams& out);
  bool charge(Time now, const Datagram& datagram, std::int64_t receivers);
  void accept(Time now, MemberIndex from, const Message& message, Drafts& drafts);
  void compare_views(MemberIndex from, const Message& message, Drafts& drafts);
  void reconcile_entries(Time now, MemberIndex from, const Message& message, Drafts& drafts);
  [[nodiscard]] Drafts answer_stale(MemberIndex from, const Message& message) const;
  void apply_member_changes(Time now);
  void apply_peer_change(Time now, const membership::MemberChange& change);
  void count_drop(DropReason reason) { ++counts_.dropped[static_cast<std::size_t>(reason)]; }
  [[nodiscard]] Sender next_sender();
  [[nodiscard]] std::int64_t peer_count() const {
    return static_cast<std::int64_t>(options_.member_count) - 1;
  }

  NodeOptions options_;
  membership::Membership members_;
  replicated_state::ReplicatedMap entries_;
  replicated_state::BoundedCounter quotas_;
  ByteBudget budget_;
  ReplayWindow replay_window_;
  std::uint32_t serial_ = 0;  // serial number of the latest datagram
  MemberIndex group_ = 0;     // the group of owners whose hash was sent last
  // When a broadcast is due. Set when an entry of a broadcast kind is written.
  std::optional<Time> broadcast_at_;
  ChangeObserver observe_change_;
  Counts counts_;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_GOSSIP_NODE_HPP_
