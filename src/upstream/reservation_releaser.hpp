// The calls that let go of what is held for requests: to further and further replicas until one answers, ever
// more slowly where none can be reached, and anew for as long as something may still leave a state.
#ifndef DISPATCHER_UPSTREAM_RESERVATION_RELEASER_HPP_
#define DISPATCHER_UPSTREAM_RESERVATION_RELEASER_HPP_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "engine/engine.hpp"
#include "upstream/release_targets.hpp"

namespace dispatcher::upstream {

using engine::Duration;
using engine::Time;
using net::SlotId;

class ReservationReleaser {
 public:
  // What the calls go over. Never calls back from inside a call.
  class ReleaseConnections {
   public:
    virtual ~ReleaseConnections() = default;
    // Empty: no connection may be opened now.
    virtual SlotId call_release(const std::string& endpoint, const std::string& id) = 0;
    virtual void drop(SlotId line) = 0;
    virtual std::vector<upstream::Listener> listeners() = 0;
  };
  struct Bounds {
    Duration patience{};        // with one round of calls, until the next
    Duration again{};           // from an answer to the next call, where something may still leave a state
    std::size_t max_calls = 0;  // calls out at once, for all requests together
  };
  ReservationReleaser(ReleaseConnections& lines, engine::TimerQueue& timers, engine::Clock clock,
                      engine::Log log, const Bounds& bounds)
      : lines_(lines), timers_(timers), clock_(std::move(clock)), log_(std::move(log)), bounds_(bounds) {}
  ReservationReleaser(const ReservationReleaser&) = delete;
  ReservationReleaser& operator=(const ReservationReleaser&) = delete;
  void bound(const Bounds& bounds) { bounds_ = bounds; }

  // `until`: by then, something of the request may still leave a state. One that is being asked for already
  // goes on.
  void release(const std::string& id, Time until);
  // An attempt of the request is being written: calls before it must not take what it leaves.
  void stop(const std::string& id);
  void answered(const std::string& id, SlotId line);
  void failed(const std::string& id, SlotId line);

  [[nodiscard]] std::size_t out() const { return leases_.size(); }
  [[nodiscard]] std::size_t calls() const { return calls_; }
  // Those that a process told to end waits for: not those that long reached nobody.
  [[nodiscard]] std::size_t pressing() const;

 private:
  struct Lease {
    upstream::ReleaseTargets plan;
    std::deque<SlotId> lines;  // the oldest call at the front
    Time until{};
    bool rests = false;  // answered, to be asked for again
    engine::TimerQueue::Id next;
  };
  void begin(const std::string& id, Lease& lease);
  void ask(const std::string& id);
  void hang_up(Lease& lease, std::size_t left);

  ReleaseConnections& lines_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Log log_;
  Bounds bounds_;
  std::map<std::string, Lease> leases_;
  std::size_t calls_ = 0;
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_RESERVATION_RELEASER_HPP_
