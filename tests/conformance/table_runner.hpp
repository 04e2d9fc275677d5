// Plays steps of a table's row on one router, as a dispatcher would, and keeps its books.
#ifndef DISPATCHER_TESTS_CONFORMANCE_TABLE_RUNNER_HPP_
#define DISPATCHER_TESTS_CONFORMANCE_TABLE_RUNNER_HPP_

#include <deque>
#include <initializer_list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "reference_scorer.hpp"

namespace dispatcher::routing::conformance {

using Json = nlohmann::json;

// Throws std::runtime_error where `object` has a field that is none of these: a misspelt one must not be
// passed over.
void only(const Json& object, std::initializer_list<const char*> fields);

Settings settings_of(const Json& json);

class TableRunner {
 public:
  TableRunner(const Settings& settings, std::uint64_t seed, const Bounds& bounds);

  // One step of a script; docs/conformance.md lists them. Throws std::runtime_error where it is malformed or
  // can't be brought about.
  void step(const Json& step);

  [[nodiscard]] Request request(const Json& fields) const;
  // The host that the request's next attempt went to; empty: to none. Where one is named, no other server of
  // its stage is ready meanwhile; it throws where it was not taken all the same.
  std::string ask(const Request& request, const std::string& only_at = "");
  std::string read(const std::string& id, const std::string& only_at = "");
  void first(const std::string& id, Duration took = std::chrono::milliseconds(20));
  void serve(const std::string& id, const LoadReport& report = {});

  [[nodiscard]] Role role(const std::string& endpoint) const;
  [[nodiscard]] std::vector<std::string> endpoints() const;
  [[nodiscard]] const ReferenceScorer& design() const { return design_; }
  [[nodiscard]] const ReferenceScorer& module() const { return module_; }
  [[nodiscard]] TableSizes table_sizes() const { return router_.table_sizes(); }

 private:
  struct Attempts {
    Request request;
    std::string at;  // where one is out
    int count = 0;
    bool ended = false;  // refused or failed
  };

  void pass(const Event& event);
  template <typename Act>
  std::string only_at(const std::string& endpoint, Act act);
  std::string end(const std::string& id, AttemptStatus status, const LoadReport& report = {}, int note = 0,
                  bool finished = false);
  std::string end_read(const std::string& id, const LoadReport& report = {}, bool finished = false);
  void gone(const std::string& id, const LoadReport& report = {});
  void wait(Duration time);
  void list(const Json& step);
  void report(const std::string& endpoint, const Json& figures);
  Request keyless();
  void teach(const Json& step);
  void stream(const std::string& endpoint, const std::string& until);           // sent, begun or served
  void states(const std::string& reader, int count, const std::string& until);  // read, fetched or gone

  Router router_;
  ReferenceScorer design_, module_;
  Time now_ = std::chrono::seconds(1000);
  std::map<std::string, EndpointInfo> listed_;
  std::map<std::string, Role> roles_;
  std::map<std::string, Attempts> attempts_;
  std::multimap<Time, std::uint64_t> timers_;
  int made_up_ = 0;  // requests of the script that have no name
};

}  // namespace dispatcher::routing::conformance

#endif  // DISPATCHER_TESTS_CONFORMANCE_TABLE_RUNNER_HPP_
