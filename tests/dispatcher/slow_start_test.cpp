// What a replica that has just started gets from all processes together, of which each sees its own traffic
// only: never more than N + 2 sqrt(N) + 2 requests of mean work in any window of the settings, N being what
// they allow it at its capacity of the moment; and enough to take its part of the traffic once it is warm.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>

#include "fixture.hpp"
#include "router_fixture.hpp"

namespace dispatcher::testing {
namespace {

struct Traffic {
  const char* name;
  double capacity;           // requests of mean work a second that a warm replica can do
  bool uneven = false;       // each fifth process gets five times what the others get
  double burst = 1;          // for three seconds of the ramp
  bool exponential = false;  // lengths; else between half and one and a half times the mean
};

struct Scenario {
  std::size_t processes = 1;
  Traffic traffic{};
  double load = 0.5;      // of the warm fleet's capacity
  bool restarts = false;  // each process restarts once during the ramp
  double multiple = 4, share = 0.3, window = 2;
  int lost_writers = 0;     // of the first zone, for good
  int cold = 1;             // of the four readers and the four writers of each zone
  double delay = 4;         // until a process is told, at most
  double burst_from = 1.5;  // after the start
};

struct Measured {
  double allowed = 0, greatest = 0, bound = 0;  // of the window that comes nearest to its bound
  double early = 0, late = 0,
         warm = 0;  // sent to a cold host over a warm peer's: halves of the ramp, after it
};

constexpr double kBefore = 6, kAway = 1, kRamp = 8, kAfter = 5;

simulation::Statistics figures(const Scenario& s) {
  simulation::Statistics f;
  f.zones = 2;
  f.readers = f.writers = 4;
  f.prompt = 1000;
  f.answer = 50;
  f.reader_slots = 1;
  f.writer_slots = 8;
  f.read_token = micros(1 / (s.traffic.capacity * f.prompt));
  f.write_token = micros(f.writer_slots / (s.traffic.capacity * f.answer));
  f.fetch_token = f.fetch_far_token = Duration(2);
  f.network = Duration(500);
  f.report_every = Duration(0);
  f.settings = make_settings();
  f.settings.tenants.push_back({"other", 1000});
  f.settings.tick = std::chrono::milliseconds(20);
  f.settings.answer_slack = std::chrono::milliseconds(60);
  f.settings.warmup_time = micros(kRamp);
  f.settings.overload_multiple = s.multiple;
  f.settings.warmup_initial_share = s.share;
  f.settings.overload_window = micros(s.window);
  return f;
}

class Play {
 public:
  Play(const Scenario& s, std::uint64_t seed)
      : s_(s), figures_(figures(s)), chance_(seed), fixture_(figures_, s.processes, seed) {
    fixture_.listed = [lost = s.lost_writers](const routing::EndpointInfo& e) {
      return e.zone != "z0" || e.endpoint[0] != 'w' || e.endpoint.back() - '0' < 4 - lost;
    };
    for (std::size_t i = 0; i < s.processes; ++i)
      shares_.push_back((shares_.empty() ? 0 : shares_.back()) + (s.traffic.uneven && i % 5 == 0 ? 5 : 1));
  }

  Measured run() {
    const Time begin = fixture_.now(), away = begin + micros(kBefore);
    start_ = away + micros(kAway);
    const Time end = start_ + micros(kRamp + kAfter);
    fixture_.tell_all();
    fixture_.at(away, [this] {
      fixture_.fleet().lose([this](const std::string&, bool, int number) { return number < s_.cold; });
      fixture_.at(fixture_.now() + Duration(1), [this] { fixture_.tell_all(); });
    });
    fixture_.at(start_, [this] { fixture_.fleet().bring_back(); });
    for (std::size_t i = 0; i < s_.processes; ++i) {
      fixture_.at(start_ + Duration(1) + micros(s_.delay * chance_.unit()), [this, i] { fixture_.tell(i); });
      if (s_.restarts)
        fixture_.at(start_ + micros(kRamp * chance_.unit()), [this, i] { fixture_.restart(i); });
    }
    next(end);
    fixture_.run_until(end);
    return measure();
  }

 private:
  double rate() const {
    const bool bursts = fixture_.now() > start_ + micros(s_.burst_from) &&
                        fixture_.now() < start_ + micros(s_.burst_from + 3);
    const double endpoints = 8 - s_.lost_writers;
    return s_.load * s_.traffic.capacity * endpoints * (bursts ? s_.traffic.burst : 1);
  }
  double length() {
    return s_.traffic.exponential ? std::min(chance_.exponential(1), 8.0) : 0.5 + chance_.unit();
  }
  void next(Time end) {
    fixture_.at(fixture_.now() + micros(chance_.exponential(1 / rate())), [this, end] {
      if (fixture_.now() >= end) return;
      RouterFixture::Ask ask;
      const double pick = shares_.back() * chance_.unit();
      ask.process =
          static_cast<std::size_t>(std::upper_bound(shares_.begin(), shares_.end(), pick) - shares_.begin());
      ask.request.request_class = chance_.unit() < 0.3 ? "command" : "ask";
      ask.request.tenant = chance_.unit() < 0.3 ? "other" : "acme";
      ask.request.session = 1 + fixture_.asks().size();
      ask.request.prompt_tokens = 1 + static_cast<int>(figures_.prompt * length());
      ask.answer = 1 + static_cast<int>(figures_.answer * length());
      fixture_.ask(ask);
      next(end);
    });
  }

  double allowed(Time time) const {
    const double age = std::min(1.0, seconds_of(time - start_) / kRamp);
    return s_.multiple * s_.traffic.capacity * std::lerp(s_.share, 1.0, age) * s_.window;
  }
  bool cold(const RouterFixture::Sent& sent) const { return sent.endpoint.back() - '0' < s_.cold; }

  Measured measure() const {
    Measured m;
    std::map<std::string, std::vector<const RouterFixture::Sent*>> by_endpoint;
    for (const auto& sent : fixture_.sent()) {
      if (cold(sent) && sent.at >= start_) by_endpoint[sent.endpoint].push_back(&sent);
    }
    for (const auto& [endpoint, sends] : by_endpoint) {
      double sum = 0;
      for (std::size_t first = 0, i = 0; i < sends.size(); ++i) {
        const Time at = sends[i]->at;
        sum += sends[i]->work;
        while (sends[first]->at <= at - micros(s_.window)) sum -= sends[first++]->work;
        if (at > start_ + micros(kRamp)) break;
        const double n = allowed(at), bound = n + 2 * std::sqrt(n) + 2;
        if (m.bound == 0 || sum / bound > m.greatest / m.bound) m = {n, sum, bound};
      }
    }
    m.early = part(start_ + micros(1), start_ + micros(kRamp / 2));
    m.late = part(start_ + micros(kRamp / 2), start_ + micros(kRamp));
    m.warm = part(start_ + micros(kRamp + 1), start_ + micros(kRamp + kAfter));
    return m;
  }
  double part(Time from, Time to) const {
    double to_cold = 0, to_warm = 0;
    for (const auto& sent : fixture_.sent()) {
      if (sent.at >= from && sent.at < to) (cold(sent) ? to_cold : to_warm) += 1;
    }
    return to_cold / (4 * s_.cold) / std::max(1.0, to_warm / (16 - 4 * s_.cold - s_.lost_writers));
  }

  Scenario s_;
  simulation::Statistics figures_;
  Chance chance_;
  RouterFixture fixture_;
  std::vector<double> shares_;
  Time start_{};
};

Measured check(const Scenario& s, std::uint64_t seed) {
  const Measured m = Play(s, seed).run();
  INFO(s.processes << " processes, " << s.traffic.name << ", load " << s.load << ", seed " << seed
                   << (s.restarts ? ", restarts" : "") << ": " << m.greatest << " in a window of at most "
                   << m.bound << " (N " << m.allowed << "), part of a warm peer's " << m.early << ", "
                   << m.late << ", then " << m.warm);
  if (std::getenv("COLD_FIGURES") != nullptr) {
    std::printf("| %zu | %s%s | %.1f | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f |\n", s.processes,
                s.traffic.name, s.restarts ? ", restarts" : "", s.load, m.allowed, m.greatest, m.bound,
                m.early, m.late, m.warm);
  }
  CHECK(m.greatest <= m.bound);
  CHECK(m.warm >= 0.5);
  return m;
}

const Traffic kThin{"thin", 10}, kDense{"dense", 50}, kUneven{"uneven", 25, true},
    kBursty{"bursty", 25, false, 2.5}, kBoth{"uneven bursts", 25, true, 2.5},
    kSpread{"lengths spread", 10, false, 1, true},
    kSpreadBursts{"bursts, lengths spread", 10, false, 2.5, true};

constexpr auto kSizes = {1U, 3U, 20U, 30U, 100U, 300U};

Scenario small_multiple(std::size_t processes, const Traffic& traffic, double load) {
  Scenario s{processes, traffic, load};
  s.multiple = 2.5, s.share = 0.29, s.window = 1.5;
  return s;
}

TEST_CASE("no window of a cold replica is overfull at half load, whatever the number of processes",
          "[cold]") {
  for (const std::size_t processes : kSizes)
    for (const Traffic& traffic : {kThin, kUneven, kBursty, kSpread}) check({processes, traffic, 0.5}, 11);
}

TEST_CASE("no window of a cold replica is overfull at high load", "[cold]") {
  for (const std::size_t processes : kSizes)
    for (const Traffic& traffic : {kThin, kBoth, kSpreadBursts}) check({processes, traffic, 0.8}, 12);
}

TEST_CASE("processes with much to send keep a cold replica's windows too", "[cold]") {
  for (const std::size_t processes : {1U, 3U, 20U, 30U}) check({processes, kDense, 0.8}, 13);
}

TEST_CASE("processes that restart during the ramp don't overfill a cold replica", "[cold]") {
  for (const std::size_t processes : kSizes) {
    for (const Traffic& traffic : {kThin, kBoth}) {
      Scenario s = small_multiple(processes, traffic, 0.8);
      s.restarts = true;
      check(s, 14);
    }
  }
}

TEST_CASE("a small multiple over a short window holds in a burst right after the start", "[cold]") {
  for (const std::size_t processes : {3U, 100U, 300U}) {
    for (const std::uint64_t seed : {101U, 102U, 103U}) {
      Scenario s = small_multiple(processes, kSpreadBursts, 0.8);
      s.delay = 0.1, s.burst_from = 0.2;
      check(s, seed);
    }
  }
}

TEST_CASE("what many cold replicas serve raises nobody's budget at one of them", "[cold]") {
  for (const std::size_t processes : {1U, 3U, 20U}) {
    Scenario s = small_multiple(processes, {"uneven bursts", 50, true, 2.5}, 0.8);
    s.cold = 3, s.delay = 0.1, s.burst_from = 0.2;
    const Measured m = Play(s, 102).run();
    INFO(processes << " processes: " << m.greatest << " in a window of at most " << m.bound);
    CHECK(m.greatest <= m.bound);
  }
}

TEST_CASE("a cell with few writers does not pour all that it reads into a cold one", "[cold]") {
  for (const std::size_t processes : {3U, 30U, 300U}) {
    Scenario s = small_multiple(processes, kBursty, 0.5);
    s.lost_writers = 3, s.delay = 0.1, s.burst_from = 0.2;
    check(s, 15);
  }
}

TEST_CASE("what a cold replica gets rises with what it can do", "[cold]") {
  for (const std::size_t processes : {1U, 3U, 20U, 300U}) {
    Scenario s = small_multiple(processes, {"steady", 50}, 0.5);
    s.delay = 0.1;
    const Measured m = check(s, 16);
    INFO(processes << " processes: part of a warm peer's " << m.early << ", then " << m.late);
    CHECK(m.early > 0);
    CHECK(m.late > 1.25 * m.early);
  }
}

}  // namespace
}  // namespace dispatcher::testing
