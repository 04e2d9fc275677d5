// Whom to ask to let go of what is held for a request. Any replica that runs takes the call, so the calls go
// on, in rounds that double and spread over zones and cells, until one is answered: a zone that has just
// fallen silent holds most of those that were heard last. No I/O; the clock is passed in.
#ifndef DISPATCHER_UPSTREAM_RELEASE_TARGETS_HPP_
#define DISPATCHER_UPSTREAM_RELEASE_TARGETS_HPP_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dispatcher::upstream {

using Time = std::chrono::microseconds;
using Duration = std::chrono::microseconds;

// A replica as it may be asked.
struct Listener {
  std::string endpoint, zone;
  int cell = 0;
  bool connected = false;  // an idle connection to it is kept
  bool silent = false;     // it owes an answer for longer than usual
  Time heard{};            // when anything came from it last; zero: never
};

class ReleaseTargets {
 public:
  // Asks for as long as `patience` after `begun`, at first every `interval`; a host that was asked in vain is
  // asked again only after all others were.
  ReleaseTargets(Time begun, Duration patience, Duration interval)
      : begun_(begun), patience_(patience), interval_(interval) {}
  // Those to ask in this round: one where the first of them is sure to hear, then ever more at once. Empty:
  // there are none, or the time is over.
  std::vector<std::string> round(Time now, const std::vector<Listener>& listeners);
  // From the last round to the next. Where many rounds reached nobody, as in a cut, ever longer.
  [[nodiscard]] Duration pause() const;
  [[nodiscard]] bool over(Time now) const { return now >= begun_ + patience_; }
  [[nodiscard]] Time begun() const { return begun_; }
  [[nodiscard]] int asked() const { return asked_; }  // calls so far

 private:
  [[nodiscard]] const Listener* best(const std::vector<Listener>& listeners) const;
  Time begun_;
  Duration patience_, interval_;
  std::size_t width_ = 1;
  int asked_ = 0, rounds_ = 0;
  std::set<std::string> tried_;
  std::map<std::string, int> zones_;                  // calls in vain by zone ...
  std::map<std::pair<std::string, int>, int> cells_;  // ... and by cell
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_RELEASE_TARGETS_HPP_
