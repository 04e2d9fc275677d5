// What levels are entered and left by: how an instance fares, over the last seconds. No I/O; the clock is
// passed in. What is not known, or no longer, is absent.
#ifndef DISPATCHER_DEGRADATION_SIGNALS_HPP_
#define DISPATCHER_DEGRADATION_SIGNALS_HPP_

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "expression/value.hpp"
#include "routing/router.hpp"

namespace dispatcher::degradation {

using routing::Duration;
using routing::Time;

// How many of how many, over the last ten seconds.
class Share {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(10);
  void count(bool yes, Time now);
  [[nodiscard]] double rate(Time now) const;  // of all, a second
  [[nodiscard]] std::optional<double> value(std::size_t minimum,
                                            Time now) const;  // none: fewer than `least` were counted

 private:
  static constexpr std::int64_t kSlots = 10;
  struct Slot {
    std::int64_t second = -1;
    std::size_t yes = 0, all = 0;
  };
  [[nodiscard]] std::pair<std::size_t, std::size_t> sum(Time now) const;
  std::array<Slot, kSlots> slots_{};
};

// The most of the last quarter to half of an hour.
class Peak {
 public:
  void see(std::size_t n, Time now);
  [[nodiscard]] std::size_t maximum() const { return std::max(now_, before_); }

 private:
  static constexpr Duration kHalf = std::chrono::minutes(15);
  std::size_t now_ = 0, before_ = 0;
  Time since_{};
  bool begun_ = false;
};

class Signals {
 public:
  // The fields, in the order of values(): ready.readers, ready.writers (the share of the hosts that were
  // ready lately that still are), ready.least_zone_readers and ready.least_zone_writers (in the worst zone),
  // refused (the share of requests), open (requests in progress), and for each class late.CLASS (the share of
  // first tokens past the class's aim).
  static expression::Environment fields(const routing::Settings& settings);

  explicit Signals(const routing::Settings& settings) { adopt(settings); }
  void adopt(const routing::Settings& settings);

  void endpoints(const routing::EndpointList& list, Time now);
  void first_token(const std::string& request_class, bool late, Time now);
  void given_up(const std::string& request_class, bool rejected, Time now);  // without a first token
  void asked(const std::string& account, Time now);

  // `heard`: when discovery last spoke, if it has.
  std::vector<expression::Value> values(std::size_t open, std::optional<Time> heard, Time now);
  // What an account asks for, as a part of its quota over the whole fleet; absent where it has none.
  [[nodiscard]] expression::Value use(const std::string& account, Time now) const;

 private:
  struct Endpoint {
    std::string zone;
    routing::Role role{};
    bool ready = false;
  };
  static constexpr std::size_t kMinSamples = 20;
  expression::Value ready(routing::Role role, const std::string* zone, Time now);

  std::map<std::string, routing::Role> kinds_;
  std::map<std::string, double> quotas_;  // of this instance, a second
  std::vector<std::string> classes_;
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::pair<std::string, routing::Role>, Peak> peaks_;  // by zone; "": all
  std::map<std::string, Share> late_;
  std::map<std::string, Share> asked_;
  Share rejected_;
};

}  // namespace dispatcher::degradation

#endif  // DISPATCHER_DEGRADATION_SIGNALS_HPP_
