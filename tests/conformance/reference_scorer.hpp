// The design's scores, worked out apart from the module: from the events that a router was given and the
// actions that it returned, and from nothing else.
#ifndef DISPATCHER_TESTS_CONFORMANCE_REFERENCE_SCORER_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_REFERENCE_SCORER_HPP_

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "routing/router.hpp"

namespace dispatcher::routing::conformance {

// Where the module departs from the design on purpose: the figures of deviations.json.
struct Bounds {
  double spread_floor{}, spread_max{};  // of the mean load, between which min-max stretches
  double min_mean_tokens{}, fixed_tokens{};
  double min_states{};
  Duration half_life{};  // of a report
  double tie_band{};
};

// A server's parts of the score, each from 0 to 1, and their weighted sum.
struct Score {
  double prefix{}, load{}, memory{}, sum{};
};

// The keys that were sent to one reader, least recently used first out.
class Table {
 public:
  using Key = std::pair<std::uint64_t, std::uint64_t>;  // shared beginning, session: chained in this order
  [[nodiscard]] int tokens(const Key& key) const;
  void learn(const Key& key, int tokens, int own_tokens, std::size_t max_blocks);

 private:
  struct Entry {
    Key key;
    int tokens;
    std::size_t blocks;
  };
  std::list<Entry> entries_;  // last used first
};

class ReferenceScorer {
 public:
  // Without bounds it is the design's page alone, with them also what the module does on purpose.
  ReferenceScorer(const Settings& settings, std::optional<Bounds> bounds)
      : settings_(settings), bounds_(bounds) {}

  void hear(Time now, const Event& event);
  void pass_time(Time now) { now_ = now; }
  void see(const Action& action);

  // Of each ready reader and mixed server, for this request.
  [[nodiscard]] std::map<std::string, Score> scores(const Request& request) const;
  // Prompt tokens of the read that is out that should be found kept.
  [[nodiscard]] int kept(const std::string& request) const;
  // Reported or own ones, of each ready writer.
  [[nodiscard]] std::map<std::string, double> streams() const;
  // The writers that the design lets a state at this reader go to; empty where it does not say ("well above"
  // has no figure there).
  [[nodiscard]] std::set<std::string> writers_for(const std::string& reader) const;

 private:
  struct Server {
    EndpointInfo entry;
    Role role{};
    Table table;
    LoadReport report;
    Time reported{};
    bool used = false;  // by us, at any time
    double since = 0;   // prompt tokens sent since the report
  };
  struct Open {
    Request request;
    std::string at, state_at;  // where an attempt is out, and where a read state waits
    double tokens = 0;         // of that attempt, still to be read
    bool writes = false;
  };

  [[nodiscard]] bool ready(const Server& s) const {
    return s.entry.state == EndpointState::kReady && !offline_.contains(s.entry.endpoint.value());
  }
  [[nodiscard]] const EndpointKind* kind(const std::string& name) const;
  [[nodiscard]] int covered(const Server& s, const Request& r) const;
  [[nodiscard]] double load(const Server& s) const;
  [[nodiscard]] double memory(const Server& s) const;
  [[nodiscard]] double aged(double value, double mean, const Server& s) const;
  [[nodiscard]] double out(const std::string& endpoint) const;   // prompt tokens
  [[nodiscard]] int waiting(const std::string& endpoint) const;  // states
  [[nodiscard]] int own_streams(const std::string& endpoint) const;
  template <typename Of>
  std::optional<double> mean_heard(Role role, Of of) const;

  void on(const EndpointList& list);
  void on(const Request& r) { open_[r.id.value()].request = r; }
  void on(const AttemptCompleted& o);
  void on(const FirstToken& f);
  void on(const AdministrativeDrain& m);
  template <typename Other>
  void on(const Other&) {}

  Settings settings_;
  std::optional<Bounds> bounds_;
  Time now_{};
  std::map<std::string, Server> servers_;
  std::set<std::string> offline_;
  std::map<std::string, Open> open_;
};

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_REFERENCE_SCORER_HPP_
