// The core: feeds the router its events, carries out its actions, owns every request taken and its
// deadlines. Fronts and the upstream are met through the small interfaces below; no wire is known here.
#ifndef DISPATCHER_ENGINE_ENGINE_HPP_
#define DISPATCHER_ENGINE_ENGINE_HPP_

#include <compare>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "engine/request_log.hpp"
#include "engine/reservation_tracker.hpp"
#include "engine/timer_queue.hpp"
#include "net/slot_table.hpp"
#include "routing/router.hpp"

namespace dispatcher::engine {

using net::SlotId;
using routing::AttemptStatus;
using Log = std::function<void(std::string_view)>;
using SettingsSnapshot = std::shared_ptr<const routing::Settings>;  // a snapshot: nobody changes it

// What passes on to a replica. The core reads nothing of it.
struct UpstreamRequest {
  std::string id, method, target, headers, body;  // headers: whole lines, each with its end
};

struct AttemptId {
  SlotId request;
  int number = 0;
  auto operator<=>(const AttemptId&) const = default;
};

enum class Failure {
  kDeadlineExceeded,
  kUpstream,
  kInvalidRequest
};  // kInvalidRequest: replicas can't use the request as it is

// A front's side: where the answer to a request goes. `client` is the front's own handle for it.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void begin(SlotId client) = 0;  // the stream has begun: no other final answer follows
  // Whole events. False: the client takes no more for now; Engine::resume() asks for the next.
  virtual bool pass(SlotId client, std::string_view events) = 0;
  virtual void finish(SlotId client) = 0;  // the stream came to its end
  virtual void cut(SlotId client) = 0;     // it broke: the client must be able to tell
  virtual void reject(SlotId client, std::optional<Duration> retry_after) = 0;
  virtual void fail(SlotId client, Failure why) = 0;
  // Is the client still there? Asked right before an attempt is written: its end may not have been told yet.
  virtual bool present(SlotId) { return true; }
};

// The replicas' side. Never calls the engine back from inside a call, but for Engine::wanted().
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  // `connect_by`: a new connection that is not made by then has failed; zero: as long as usual.
  virtual void send(AttemptId attempt, const std::string& endpoint,
                    std::shared_ptr<const UpstreamRequest> message, Time deadline, Time connect_by) = 0;
  // Ends an attempt, which is not heard of again. False: it can't have reached the replica whole.
  virtual bool abandon(AttemptId attempt) = 0;
  virtual void pause(AttemptId attempt) = 0;
  virtual void resume(AttemptId attempt) = 0;
  virtual void hold(AttemptId attempt, const std::string& endpoint, const std::string& id) = 0;
  // Lets go of all that is held for a request, and Engine::released() tells of it. Up to `until` something
  // may still leave a state, so that it is asked for again. Ends with the next attempt of the request
  // written.
  virtual void release(const std::string& id, Time until) = 0;
  // Has the attempt, still out, a connection? One that has none yet can leave no state. An attempt of a
  // request that gets its connection ends the calls of a release before it: they must not take its state.
  virtual bool under_way(AttemptId attempt) = 0;
};

struct AttemptResult {
  AttemptStatus status{};
  int note = 0;  // as in routing::AttemptCompleted
  routing::LoadReport report;
  bool unusable = false;  // the replica can't use this request, nor could another
};

// Hears how requests fare.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  // `late`: past the time that its class aims at.
  virtual void first_token(const std::string& request_class, bool late) = 0;
  virtual void given_up(const std::string& request_class, bool rejected) = 0;  // refused or failed instead
};

class Engine {
 public:
  Engine(SettingsSnapshot rules, std::uint64_t seed, UpstreamClient& upstream, TimerQueue& timers,
         Clock clock, Log log);

  // From the fronts.
  SlotId submit(ResponseSink& front, SlotId client, const routing::Request& request,
                std::shared_ptr<const UpstreamRequest> message);
  void client_gone(SlotId request);
  void resume(SlotId request);
  bool in_progress(const std::string& id) const { return by_id_.contains(id) || elsewhere_.contains(id); }
  bool waits(SlotId request);  // it still owes its client something

  // Other rules for the requests from now on; the router must accept them.
  void adopt(SettingsSnapshot rules);

  // From discovery.
  void endpoints(const routing::EndpointList& list);
  void on_subscribe(std::function<void()> action) { subscribe_ = std::move(action); }
  // Has any list had this host? Those that left lately count: they may return.
  bool knows(const std::string& endpoint) const;
  std::size_t endpoints_known() const { return roles_.size(); }

  // From the operators: nothing new for this host until it is online again, whatever the lists say.
  void maintain(const std::string& endpoint, bool offline) {
    feed(routing::AdministrativeDrain{endpoint, offline});
  }

  // Between two processes of one dispatcher, of which one takes over from the other.
  class HotRestartObserver {
   public:
    virtual ~HotRestartObserver() = default;
    virtual void tell_request(const std::string& id, bool open) = 0;
    virtual void tell_sent(const std::string& endpoint) = 0;
  };
  void attach(HotRestartObserver* hot_restart_observer) { hot_restart_observer_ = hot_restart_observer; }
  void attach(RequestObserver* observer) { observer_ = observer; }
  void attach(RequestLog log) { request_log_ = std::move(log); }
  routing::LearnedState learned_state() const { return router_.learned_state(); }
  void learn(const routing::LearnedState& learned_state) { feed(learned_state); }
  std::vector<std::string> open_ids() const;
  // Streams that run for a front's clients, and how one goes on at the other process: adopt() there, after
  // give_away() here. Whose attempt number 0 it is then.
  struct Stream {
    SlotId request, client;
    int attempt = 0;
    std::string id, endpoint;
  };
  std::vector<Stream> streams(const ResponseSink& front);
  void give_away(SlotId request);
  SlotId adopt(ResponseSink& front, SlotId client, const std::string& id, const std::string& endpoint);
  void request_elsewhere(const std::string& id, bool open);
  void sent_elsewhere(const std::string& endpoint) { feed(routing::PeerForwarded{endpoint}); }
  void alone() { elsewhere_.clear(); }

  // From the upstream.
  void events(AttemptId attempt, std::string_view whole_events);  // the first call begins the stream
  void ended(AttemptId attempt, const AttemptResult& ending);
  void hold_answer(AttemptId attempt, const std::string& endpoint, bool held);
  // Asked right before an attempt's first byte. One that is not wanted ends as kNeverSent.
  bool wanted(AttemptId attempt);
  void released(const std::string& id);

  std::size_t unanswered() const { return unanswered_; }
  std::size_t open() const { return requests_.size(); }

 private:
  struct Attempt {
    std::string endpoint;
    Time sent{};
    bool out = true, reads = false;
    TimerQueue::Id limit;
  };
  struct InFlightRequest {
    ResponseSink* front = nullptr;
    SlotId client;
    std::string id, request_class;
    Time aim{};              // for its first token
    SettingsSnapshot rules;  // that it came in under
    std::shared_ptr<const UpstreamRequest>
        message;  // until the stream begins: nothing is sent again after that
    Time deadline{};
    std::vector<Attempt> attempts;
    int spent = 0;                 // of max_attempts; see Settings::free_connect_failures
    std::optional<int> streaming;  // the attempt that is the client's
    bool answered = false, paused = false, timed_out = false;
    ReservationTracker held;
    [[nodiscard]] bool any_out() const;
    TimerQueue::Id overdue, silence, letting_go;
  };

  void feed(routing::Event event);
  void perform(const routing::Action& action);
  void do_send(const routing::StartAttempt& send);
  void do_cancel(const routing::CancelAttempt& cancel);
  void close(SlotId id, int number, const AttemptResult& ending);
  void give_up_attempt(SlotId id, int number, AttemptStatus status);
  void give_up_unwritten(SlotId id);
  void stray(SlotId id, bool anew);
  bool any_under_way(SlotId id);
  void answered(InFlightRequest& flight);
  void watch_silence(SlotId id);
  void settle(SlotId id);
  SlotId find(const std::string& id) const;
  Attempt* find_out(AttemptId attempt, InFlightRequest** flight);

  SettingsSnapshot rules_;
  UpstreamClient& upstream_;
  TimerQueue& timers_;
  Clock clock_;
  Log log_;
  routing::Router router_;
  std::function<void()> subscribe_;
  std::deque<routing::Event> queue_;
  bool feeding_ = false;
  net::SlotTable<InFlightRequest> requests_;
  std::unordered_map<std::string, SlotId> by_id_;
  std::unordered_set<std::string> elsewhere_;  // ids in progress at the other process
  HotRestartObserver* hot_restart_observer_ = nullptr;
  RequestObserver* observer_ = nullptr;
  RequestLog request_log_;
  void depart(const std::string& endpoint);
  std::map<std::string, routing::Role> roles_;  // by host
  std::deque<std::string> departed_;            // hosts that left the list, the last one at the back
  std::size_t unanswered_ = 0;
};

}  // namespace dispatcher::engine

#endif  // DISPATCHER_ENGINE_ENGINE_HPP_
