// A fleet of nodes in virtual time with a network that loses, delays, repeats and blocks: everything follows
// from the seed. Each member has a clock of its own, off by an offset and a rate.
#ifndef DISPATCHER_TESTS_DISPATCHER_FLEET_FIXTURE_HPP_
#define DISPATCHER_TESTS_DISPATCHER_FLEET_FIXTURE_HPP_

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "gossip/gossip_node.hpp"
#include "replicated_state/failure_evidence.hpp"

namespace dispatcher::testing {

using gossip::DatagramBuilder;
using gossip::DigestRole;
using gossip::DropReason;
using gossip::GossipNode;
using gossip::Message;
using gossip::NodeOptions;
using gossip::Sender;
using membership::MemberIndex;
using membership::Membership;
using membership::MemberState;
using membership::MemberUpdate;
using membership::MemberVersion;
using membership::OutgoingMessage;
using membership::Parameters;
using membership::Probe;
using replicated_state::Budget;
using replicated_state::BudgetStart;
using replicated_state::BudgetType;
using replicated_state::Digest;
using replicated_state::Entry;
using replicated_state::FailureEvidence;
using replicated_state::QuotaGrant;
using replicated_state::QuotaRequest;
using replicated_state::QuotaReturn;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = routing::Time;

inline constexpr std::uint64_t kIncarnation = 1'800'000'000'000;  // of a member whose start doesn't matter

// The finished datagram's bytes.
[[nodiscard]] std::vector<std::uint8_t> bytes_of(const DatagramBuilder& builder);
[[nodiscard]] std::vector<std::uint8_t> bytes_of(const gossip::Datagram& datagram);

// What the network does to each datagram. Probabilities from 0 to 1.
struct NetworkConditions {
  double loss = 0;
  double repetition = 0;
  milliseconds min_delay{1};
  milliseconds max_delay{27};
};

class FleetFixture {
 public:
  FleetFixture(MemberIndex count, std::uint64_t seed, gossip::NodeOptions options = {});

  void start(MemberIndex member);  // a new process, in a later incarnation than any before it
  void start_all();
  void kill(MemberIndex member);  // without any announcement
  void stop(MemberIndex member);  // as by SIGSTOP: its clock goes on, its socket fills
  void resume(MemberIndex member);
  void resume_all();  // those that are stopped or killed
  void run(microseconds time);
  // Runs in steps of 100 ms until the condition holds; false after max_time.
  bool until(const std::function<bool()>& holds, microseconds max_time);

  bool until_all_alive(microseconds max_time) {
    return until([this] { return all_alive(); }, max_time);
  }
  // Starts all members; false if they do not all consider each other alive within max_time.
  bool start_and_join(microseconds max_time);
  // Sets on_change. The result counts, from now on, how often a member's view of another becomes the state.
  const int& count_changes_to(MemberState state);

  GossipNode& node(MemberIndex member) { return *processes_[member].node; }
  [[nodiscard]] bool is_running(MemberIndex member) const {
    return processes_[member].node != nullptr && !processes_[member].is_stopped;
  }
  [[nodiscard]] Time clock(MemberIndex member) const;  // of that member, now
  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] MemberIndex count() const { return static_cast<MemberIndex>(processes_.size()); }
  // Whether all running members but the subject consider it to be in that state.
  [[nodiscard]] bool all_consider(MemberIndex subject, MemberState state) const;
  // Whether all running members consider all running members alive.
  [[nodiscard]] bool all_alive() const;
  // How many running members have failure evidence with that id.
  MemberIndex members_with_evidence(std::uint64_t id);
  // A member writes failure evidence.
  void write_evidence(MemberIndex member, std::uint64_t id,
                      const replicated_state::FailureEvidence& evidence = {1, 2});
  // Drops all datagrams one way.
  void block(const std::set<MemberIndex>& from, const std::set<MemberIndex>& to);
  void unblock_all() { blocked_.clear(); }
  // By a number that the caller draws: 0 stops the member, 1 and 2 resume all, 4 blocks its way to the
  // receivers, 5 unblocks all, others do nothing.
  void disturb(MemberIndex member, std::uint64_t draw, const std::set<MemberIndex>& receivers);
  void inject(MemberIndex from, MemberIndex to, const std::vector<std::uint8_t>& bytes) {
    deliver(from, to, bytes);
  }

  NetworkConditions network;
  std::vector<microseconds> skew;  // of each machine's clock; applied at start
  std::vector<double> rate;        // of each steady clock
  std::function<void(MemberIndex observer, const membership::MemberChange&)> on_change;
  std::function<void(MemberIndex from, MemberIndex to, std::span<const std::uint8_t>)> on_datagram;
  replicated_state::EntryKinds kinds;

 private:
  struct Process {
    std::unique_ptr<GossipNode> node;
    bool is_stopped = false;
    std::deque<std::pair<MemberIndex, std::vector<std::uint8_t>>> waiting;
    unsigned restarts = 0;
  };
  struct InFlightDatagram {
    MemberIndex from;
    MemberIndex to;
    std::vector<std::uint8_t> bytes;
  };
  void transmit(MemberIndex from, const GossipNode::OutgoingDatagrams& datagrams);
  void send(MemberIndex from, MemberIndex to, std::span<const std::uint8_t> bytes);
  void deliver(MemberIndex from, MemberIndex to, const std::vector<std::uint8_t>& bytes);
  bool chance(double probability) { return std::generate_canonical<double, 32>(random_) < probability; }

  gossip::NodeOptions options_;
  std::uint64_t seed_;
  std::mt19937_64 random_;
  Time now_ = seconds(1000);
  std::vector<Process> processes_;
  std::multimap<Time, InFlightDatagram> in_flight_;
  std::set<std::pair<MemberIndex, MemberIndex>> blocked_;
  int counted_changes_ = 0;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_DISPATCHER_FLEET_FIXTURE_HPP_
