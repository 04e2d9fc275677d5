// A fleet of nodes in virtual time with a network that loses, delays, repeats and cuts: everything follows
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

using gossip::GossipNode;
using membership::MemberState;
using membership::Number;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = routing::Time;

struct Weather {
  double loss = 0, repeated = 0;
  milliseconds minimum{1}, maximum{27};
};

class FleetFixture {
 public:
  FleetFixture(Number count, std::uint64_t seed, gossip::Options options = {});

  void start(Number n);  // a new process, a life later than any before it
  void start_all();
  void kill(Number n);  // without a word
  void stop(Number n);  // SIGSTOP: its clock goes on, its socket fills
  void resume(Number n);
  void run(microseconds time);
  // Runs in steps of 100 ms until it holds; false after the bound.
  bool until(const std::function<bool()>& holds, microseconds maximum);

  GossipNode& node(Number n) { return *members_[n].node; }
  [[nodiscard]] bool runs(Number n) const { return members_[n].node != nullptr && !members_[n].stopped; }
  [[nodiscard]] Time clock(Number n) const;  // of that member, now
  [[nodiscard]] Time now() const { return now_; }
  [[nodiscard]] Number count() const { return static_cast<Number>(members_.size()); }
  [[nodiscard]] bool all_hold(Number about, MemberState standing) const;  // all that run, of another
  Number told(std::uint64_t key);        // members that run and read a doubt of that key
  [[nodiscard]] bool all_alive() const;  // all that run hold all that run alive
  void cut(const std::set<Number>& from, const std::set<Number>& to);  // one way
  void heal() { cut_.clear(); }
  void inject(Number from, Number to, std::vector<std::uint8_t> bytes) { arrive(from, to, bytes); }

  Weather weather;
  std::vector<microseconds> skew;  // of each host's clock; taken at start
  std::vector<double> rate;        // of each steady clock
  std::function<void(Number observer, const membership::Change&)> on_change;
  std::function<void(Number from, Number to, std::span<const std::uint8_t>)> on_datagram;
  replicated_state::Kinds kinds;

 private:
  struct Member {
    std::unique_ptr<GossipNode> node;
    bool stopped = false;
    std::deque<std::pair<Number, std::vector<std::uint8_t>>> waiting;
    unsigned process = 0;
  };
  struct InFlightRequest {
    Number from, to;
    std::vector<std::uint8_t> bytes;
  };
  void carry(Number from, const GossipNode::Sent& sent);
  void post(Number from, Number to, std::span<const std::uint8_t> bytes);
  void arrive(Number from, Number to, const std::vector<std::uint8_t>& bytes);
  bool chance(double p) { return std::generate_canonical<double, 32>(random_) < p; }

  gossip::Options options_;
  std::uint64_t seed_;
  std::mt19937_64 random_;
  Time now_ = seconds(1000);
  std::vector<Member> members_;
  std::multimap<Time, InFlightRequest> flights_;
  std::set<std::pair<Number, Number>> cut_;
  std::uint64_t lives_ = 0;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_DISPATCHER_FLEET_FIXTURE_HPP_
