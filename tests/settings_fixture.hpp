// A dispatcher and its replicas as the wire's rules describe them, round a router whose settings, events and
// times are drawn: it answers what the router does with consistent outcomes and throws Broken as soon as a
// rule is broken. Two routers get the same events, and have to act alike.
#ifndef DISPATCHER_TESTS_SETTINGS_FIXTURE_HPP_
#define DISPATCHER_TESTS_SETTINGS_FIXTURE_HPP_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "routing/router.hpp"

namespace dispatcher::routing::testing {

struct Broken : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One thing that happens. The numbers choose among what there is at that moment; where there is nothing to
// choose from, nothing happens.
struct Step {
  int kind{}, which{}, how{}, much{};  // 0 to 999 each
};

class Fixture {
 public:
  // The first settings are those of the start; the others come as new settings, in turn.
  Fixture(std::vector<Settings> settings, std::vector<EndpointInfo> endpoints, std::uint64_t seed);
  void start();                 // the first list. Throws Broken
  void play(const Step& step);  // throws Broken
  // Lets all that is open come to its end: nothing is left, and nothing more happens. `in_haste`: clients
  // leave and attempts break first, so that no deadline is waited for. Throws Broken.
  void finish(bool in_haste = false);
  [[nodiscard]] const std::vector<std::string>& transcript() const { return transcript_; }
  // Sees each event and what the router did at it, in order, in the place of the transcript and of the second
  // router: both take far longer than the router itself.
  using Watcher = std::function<void(Time, const Event&, const std::vector<Action>&)>;
  void watch(Watcher watcher) { watcher_ = std::move(watcher); }
  [[nodiscard]] const Router& router() const { return router_; }

 private:
  struct Attempt {
    EndpointId endpoint;
    bool reading = false;                                // at a reader: has no effect, however it ends
    bool needs_state = false;                            // at a writer that does not read
    Time sent{}, deadline{}, connect_by{}, cancelled{};  // cancelled: when its end is known; zero: not
    bool out = true, begun = false, may_have_run = false, free = false;
  };
  struct Open {
    Request r;
    std::shared_ptr<const Settings> rules;  // those that it came in under
    RequestClass cls;
    std::vector<Attempt> attempts;
    std::optional<EndpointId> held_at;  // the reader with its state
    Time idle_since{};
    bool answered = false, begun = false, gone = false;
    [[nodiscard]] bool over() const { return answered || begun || gone; }
  };
  struct Known {
    EndpointInfo entry;
    Role role{};
    std::optional<Time> told_off;  // draining or gone since
    bool offline = false;
  };

  void pass(const Event& event);
  void check(bool holds, const std::string& rule) const;
  void note(const std::string& line);

  void carry_out(const StartAttempt& send);
  void carry_out(const CancelAttempt& cancel);
  void carry_out(const Reject& reject);
  void carry_out(const Fail& fail);
  void carry_out(const MigrateStream& move);
  void carry_out(const ReserveSlot& hold);
  void carry_out(const ReleaseReservation& release);
  void carry_out(const SetTimer& timer);
  void carry_out(const Subscribe&);
  void carry_out(const LogMessage&) {}
  Open& owed(const RequestId& id, const char* what);
  void check_answer(Open& q, const char* what);
  void check_effect(const Open& q, const Known& to, const StartAttempt& send) const;
  [[nodiscard]] bool proven_harmless(const Open& q) const;

  void ask(const Step& step);
  void progress(const Step& step);
  void fail_attempt(const Step& step);
  void leave(const Step& step);
  void list(const Step& step);
  void change_settings(const Step& step);
  void end_attempt(Open& q, int number, AttemptStatus status, int cached_tokens, AttemptEvidence evidence,
                   const Step& step = {});
  void begin_stream(Open& q, int number);
  void lose_states(const EndpointId& endpoint);
  void send_list(ListKind kind, std::vector<EndpointInfo> entries);

  [[nodiscard]] Time round_up(Time time) const;
  [[nodiscard]] Time ends(const Open& q, const Attempt& a) const;  // when it times out, or its cancel shows
  void let_pass(Duration time);
  bool end_due();  // ends one attempt that is due
  std::optional<std::pair<Open*, int>> pick_out(int which, bool begun_too);
  static bool state_there(const Open& q) { return q.held_at.has_value(); }
  static int out(const Open& q);

  std::vector<std::shared_ptr<const Settings>> settings_;
  std::size_t current_ = 0;
  Router router_, hot_restart_observer_;
  Time now_ = std::chrono::seconds(1000);
  Duration tick_;
  std::vector<EndpointInfo> first_;
  std::map<EndpointId, Known> endpoints_;
  std::map<RequestId, Open> requests_;
  std::multimap<Time, std::uint64_t> timers_;
  std::vector<std::string> transcript_;
  int asked_ = 0, restarts_ = 0;
  Watcher watcher_;
};

}  // namespace dispatcher::routing::testing

#endif  // DISPATCHER_TESTS_SETTINGS_FIXTURE_HPP_
