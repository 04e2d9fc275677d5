// Rights that add up: the sum over all holders never passes the whole, whatever happens to messages, clocks
// and processes. One explorer tries everything up to a depth, one property draws long histories at random.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <unordered_set>

#include "fleet_fixture.hpp"
#include "property.hpp"

namespace dispatcher::testing {
namespace {

using replicated_state::BoundedCounter;
using replicated_state::Budget;
using replicated_state::Nature;
using replicated_state::Terms;
using replicated_state::Transfer;

const Budget kRate{{1, 7}, Nature::kRate, 6, seconds(10)};
const Budget kUnits{{2, 7}, Nature::kSpent, 6, {}};

struct Message {
  Number from = 0;
  std::uint64_t life = 0;  // of its sender
  Transfer transfer;
};

std::vector<Transfer> deliver(BoundedCounter& rights, Time now, const Message& m) {
  std::vector<replicated_state::Ask> asks;
  std::vector<replicated_state::Grant> grants;
  std::vector<replicated_state::Return> returns;
  if (const auto* ask = std::get_if<replicated_state::Ask>(&m.transfer.what)) asks.push_back(*ask);
  if (const auto* grant = std::get_if<replicated_state::Grant>(&m.transfer.what)) grants.push_back(*grant);
  if (const auto* back = std::get_if<replicated_state::Return>(&m.transfer.what)) returns.push_back(*back);
  return rights.received(now, m.from, m.life, asks, grants, returns);
}

// Members with clocks of different rates and a bag of messages that arrive in any order, late, never or
// twice, also those of processes that have ended. Nothing filters them: the datagrams' own checks come on
// top.
struct System {
  std::vector<BoundedCounter> members;
  std::vector<std::uint64_t> lives;
  std::vector<double> rates;
  std::vector<Message> bag;
  Budget whole;
  Terms terms;
  Time real = seconds(100);
  std::uint64_t spent = 0;
  int restarts = 0, repeats = 0;

  System(Number count, const Budget& w, const Terms& t, std::vector<double> r)
      : lives(count, 1), rates(std::move(r)), whole(w), terms(t) {
    for (Number n = 0; n < count; ++n) {
      members.emplace_back(terms, n, count, 1, clock(n), replicated_state::Random(n + 1));
      members[n].open(clock(n), whole, true);
    }
    real += seconds(20);  // past the time after a start in which nothing is lent
  }
  [[nodiscard]] Number count() const { return static_cast<Number>(members.size()); }
  [[nodiscard]] Time clock(Number n) const {
    return Time(static_cast<Time::rep>(static_cast<double>(real.count()) * rates[n])) + seconds(1000 * n);
  }
  void post(Number from, const std::vector<Transfer>& transfers) {
    for (const Transfer& transfer : transfers) bag.push_back({from, lives[from], transfer});
  }
  void tick(Number n, const std::vector<Number>& living) { post(n, members[n].tick(clock(n), living)); }
  void arrive(std::size_t which, bool stays) {
    const Message m = bag[which];
    if (!stays) bag.erase(bag.begin() + static_cast<std::ptrdiff_t>(which));
    post(m.transfer.to, deliver(members[m.transfer.to], clock(m.transfer.to), m));
  }
  void restart(Number n) {
    ++restarts;
    const std::uint64_t wanted = members[n].holdings().begin()->second.wanted;  // its need stays
    members[n] = BoundedCounter(terms, n, count(), ++lives[n], clock(n), replicated_state::Random(n + 1));
    members[n].open(clock(n), whole, false);  // it did not see a whole of units begin
    if (wanted) members[n].want(whole.id, wanted);
  }
  [[nodiscard]] std::uint64_t held() const {
    std::uint64_t sum = spent;
    for (Number n = 0; n < count(); ++n)
      sum += whole.nature == Nature::kRate ? members[n].rate(clock(n), whole.id)
                                           : members[n].available(clock(n), whole.id);
    return sum;
  }
  [[nodiscard]] std::uint64_t hash() const {
    std::vector<std::uint64_t> s = {spent, static_cast<std::uint64_t>(restarts),
                                    static_cast<std::uint64_t>(repeats)};
    for (Number n = 0; n < count(); ++n) s.push_back(members[n].state_hash(clock(n)));
    std::vector<std::uint64_t> bagged;
    for (const Message& m : bag) {
      std::vector<std::uint64_t> fields = {m.from, m.life, m.transfer.to, m.transfer.what.index()};
      if (const auto* a = std::get_if<replicated_state::Ask>(&m.transfer.what))
        fields.insert(fields.end(), {a->sequence, a->renews, a->amount});
      if (const auto* g = std::get_if<replicated_state::Grant>(&m.transfer.what))
        fields.insert(fields.end(), {g->life, g->sequence, g->amount});
      if (const auto* r = std::get_if<replicated_state::Return>(&m.transfer.what))
        fields.push_back(r->sequence);
      bagged.push_back(XXH3_64bits(fields.data(), fields.size() * sizeof fields[0]));
    }
    std::sort(bagged.begin(), bagged.end());
    s.insert(s.end(), bagged.begin(), bagged.end());
    return XXH3_64bits(s.data(), s.size() * sizeof s[0]);
  }
};

// All that may happen next. Loss is an arrival that never comes, a stop a member whose turn never comes.
std::vector<System> successors(const System& s) {
  constexpr std::size_t kMaxInFlight = 3;
  constexpr int kMaxRestarts = 2, kMaxRepeats = 1;
  std::vector<System> next;
  const auto add = [&](auto change) {
    next.push_back(s);
    change(next.back());
    auto& bag = next.back().bag;
    if (bag.size() > kMaxInFlight) bag.erase(bag.begin());
  };
  add([](System& n) { n.real += seconds(5); });
  for (const Number lender : {1U, 2U}) add([&](System& n) { n.tick(0, {lender}); });
  add([&](System& n) {
    n.members[0].want(n.whole.id, n.members[0].holdings().begin()->second.wanted > 0 ? 0 : 6);
  });
  if (s.whole.nature == Nature::kSpent) {
    for (Number m = 0; m < s.count(); ++m) {
      if (s.members[m].available(s.clock(m), s.whole.id) > 0)
        add([&](System& n) { n.spent += n.members[m].use(n.clock(m), n.whole.id, 1) ? 1 : 0; });
    }
  }
  for (std::size_t i = 0; i < s.bag.size(); ++i) {
    add([&](System& n) { n.arrive(i, false); });
    if (s.repeats < kMaxRepeats)
      add([&](System& n) {
        ++n.repeats;
        n.arrive(i, true);
      });
  }
  if (s.restarts < kMaxRestarts) {
    for (const Number m : {0U, 1U}) add([&](System& n) { n.restart(m); });
  }
  return next;
}

struct Explored {
  std::size_t states = 0;
  std::uint64_t maximum = 0;
  bool lent = false;  // something moved at all
};

Explored explore(const System& first, int depth, std::size_t max_states) {
  Explored found;
  std::unordered_set<std::uint64_t> seen{first.hash()};
  std::vector<System> frontier{first};
  for (int level = 0; level < depth && !frontier.empty(); ++level) {
    std::vector<System> next;
    for (const System& s : frontier) {
      for (System& n : successors(s)) {
        if (!seen.insert(n.hash()).second) continue;
        found.maximum = std::max(found.maximum, n.held());
        const auto& h = n.members[0].holdings().begin()->second;
        found.lent = found.lent || !h.borrowed.empty() || h.units > 2;
        if (seen.size() < max_states) next.push_back(std::move(n));
      }
    }
    frontier = std::move(next);
  }
  found.states = seen.size();
  return found;
}

Terms explored_terms() {
  Terms terms;
  terms.lease = replicated_state::kMaxLease;
  terms.drift = 0.05;
  terms.ask_again = milliseconds(0);
  terms.ask_pause = milliseconds(0);
  return terms;
}

TEST_CASE("three members, all that can happen up to a depth: rates never add up to more than the whole",
          "[rights]") {
  // The borrower's clock as slow and a lender's as fast as the bound allows.
  System first(3, kRate, explored_terms(), {0.95, 1.05, 1.0});
  first.members[0].want(kRate.id, 6);
  const Explored found = explore(first, 8, 200'000);
  INFO(found.states << " states");
  CHECK(found.lent);
  CHECK(found.maximum == 6);
  CHECK(found.states > 20'000);
}

TEST_CASE("three members, all that can happen up to a depth: units never add up to more than the whole",
          "[rights]") {
  System first(3, kUnits, explored_terms(), {0.95, 1.05, 1.0});
  first.members[0].want(kUnits.id, 6);
  const Explored found = explore(first, 7, 200'000);
  INFO(found.states << " states");
  CHECK(found.lent);
  CHECK(found.maximum == 6);
  CHECK(found.states > 20'000);
}

TEST_CASE("the same to a greater depth", "[.explore]") {
  for (const Budget& whole : {kRate, kUnits}) {
    System first(3, whole, explored_terms(), {0.95, 1.05, 1.0});
    first.members[0].want(whole.id, 6);
    for (int depth = 6; depth <= 14; ++depth) {
      const Explored found = explore(first, depth, 600'000);
      std::printf("%s depth %d: %zu states, most %lu\n", whole.nature == Nature::kRate ? "rate" : "units",
                  depth, found.states, static_cast<unsigned long>(found.maximum));
      CHECK(found.maximum == 6);
      if (found.states >= 600'000) break;
    }
  }
}

TEST_CASE("long random histories keep the sum, and what is used within the rate", "[rights]") {
  for (const Nature nature : {Nature::kRate, Nature::kSpent}) {
    holds(
        [nature] {
          const auto count = *rc::gen::inRange<Number>(2, 8);
          Budget whole{{1, *rc::gen::arbitrary<std::uint16_t>()},
                       nature,
                       *rc::gen::inRange<std::uint64_t>(0, 400),
                       seconds(5)};
          Terms terms;
          terms.drift = 0.01;
          std::vector<double> rates;
          for (Number n = 0; n < count; ++n) rates.push_back(*rc::gen::element(0.99, 1.0, 1.01));
          System s(count, whole, terms, rates);
          const Time began = s.real - seconds(20);
          std::vector<Number> all;
          for (Number n = 0; n < count; ++n) all.push_back(n);
          std::uint64_t used = 0;
          // Drawn from one number: what shrinks is the length.
          std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
          const int steps = *rc::gen::inRange(0, 1500);
          const auto draw = [&](std::size_t below) { return random() % below; };
          for (int i = 0; i < steps; ++i) {
            const auto n = static_cast<Number>(draw(count));
            switch (draw(12)) {
              case 0:
              case 1:
                s.real += milliseconds(draw(draw(8) == 0 ? 9000 : 300));
                break;
              case 2:
                s.members[n].want(whole.id, draw(3) == 0 ? draw(whole.amount + 1) : whole.amount * draw(2));
                break;
              case 3:
                if (draw(6) == 0) s.restart(n);
                break;
              case 4:
              case 5: {
                const std::uint64_t some = draw(s.members[n].available(s.clock(n), whole.id) + 1);
                if (s.members[n].use(s.clock(n), whole.id, some)) used += some;
                if (nature == Nature::kSpent) s.spent = used;
                break;
              }
              case 6:
              case 7: {
                std::vector<Number> others;
                for (const Number other : all) {
                  if (other != n) others.push_back(other);
                }
                if (draw(10) == 0) others.clear();
                s.tick(n, others);
                // A caller that sleeps until then must not spin.
                if (const auto next = s.members[n].next()) RC_ASSERT(*next > s.clock(n));
                break;
              }
              default:
                if (!s.bag.empty()) {
                  const std::size_t which = draw(s.bag.size());
                  if (draw(10) == 0) {
                    s.bag.erase(s.bag.begin() + static_cast<std::ptrdiff_t>(which));
                  } else {
                    s.arrive(which, draw(6) == 0);
                  }
                }
            }
            RC_ASSERT(s.held() <= whole.amount);
            if (nature == Nature::kRate) {
              const double passed = static_cast<double>((s.real - began).count()) / 1e6;
              RC_ASSERT(static_cast<double>(used) <= static_cast<double>(whole.amount) * passed * 1.01);
            }
          }
        },
        1500);
  }
}

TEST_CASE("the split: all shares add up, and small wholes do not all lie with the first", "[rights]") {
  holds([] {
    const auto count = *rc::gen::inRange<Number>(1, 400);
    const Budget whole{{*rc::gen::inRange<std::uint32_t>(1, 9), *rc::gen::arbitrary<std::uint64_t>()},
                       Nature::kRate,
                       *rc::gen::inRange<std::uint64_t>(0, 100000),
                       {}};
    std::uint64_t sum = 0, minimum = whole.amount, maximum = 0;
    for (Number n = 0; n < count; ++n) {
      const std::uint64_t share = replicated_state::share_of(whole, n, count);
      sum += share;
      minimum = std::min(minimum, share);
      maximum = std::max(maximum, share);
    }
    RC_ASSERT(sum == whole.amount);
    RC_ASSERT(maximum - minimum <= 1U);
  });
  std::set<Number> first;
  for (std::uint64_t key = 0; key < 50; ++key) {
    for (Number n = 0; n < 10; ++n) {
      if (replicated_state::share_of({{1, key}, Nature::kSpent, 1, {}}, n, 10) == 1) first.insert(n);
    }
  }
  CHECK(first.size() > 5);
}

// Two members, one that needs and one that does not; messages arrive at once.
struct Pair {
  System s{2, {{1, 7}, Nature::kRate, 1000, seconds(10)}, Terms{}, {1.0, 1.0}};
  void settle() {
    while (!s.bag.empty()) s.arrive(0, false);
  }
  void pass(Time time) {
    for (const Time end = s.real + time; s.real < end;) {
      s.real += milliseconds(100);
      for (const Number n : {0U, 1U}) s.tick(n, {1 - n});
      settle();
    }
  }
  [[nodiscard]] std::uint64_t rate(Number n) const { return s.members[n].rate(s.clock(n), s.whole.id); }
  void want(Number n, std::uint64_t amount) { s.members[n].want(s.whole.id, amount); }
};

TEST_CASE("a member in need borrows, keeps what it needs, and gives it back", "[rights]") {
  Pair p;
  CHECK(p.rate(0) == 500);
  p.want(0, 600);
  p.pass(milliseconds(200));
  CHECK(p.rate(0) == 600);
  CHECK(p.rate(1) == 400);
  p.pass(seconds(60));  // renewed before it ends, without a gap
  CHECK(p.rate(0) == 600);
  CHECK(p.s.members[0].counts().lapsed == 0);
  p.want(0, 500);
  p.pass(milliseconds(200));
  CHECK(p.rate(0) == 500);
  CHECK(p.rate(1) == 500);
  CHECK(p.s.members[1].counts().returned == 1);
}

TEST_CASE("a part of each share is never lent, and a lender keeps what it wants itself", "[rights]") {
  Pair p;
  p.want(0, 1000);
  p.pass(seconds(5));
  CHECK(p.rate(1) >= 250);
  CHECK(p.rate(0) + p.rate(1) == 1000);
  Pair q;
  q.want(0, 1000);
  q.want(1, 450);
  q.pass(seconds(5));
  CHECK(q.rate(1) >= 450);
}

TEST_CASE("a dead borrower's loan comes back, and not before the borrower has surely ended", "[rights]") {
  Pair p;
  p.want(0, 700);
  p.pass(milliseconds(100));
  const std::uint64_t lent = 500 - p.rate(1);
  REQUIRE(lent > 0);
  const Time granted = p.s.real;
  const auto tick_lender = [&](Time at) {
    p.s.real = at;
    p.s.tick(1, {});
  };
  tick_lender(granted + seconds(10));
  CHECK(p.rate(1) == 500 - lent);
  CHECK(p.rate(0) == 500);  // stopped all the while: by its own clock the lease has ended
  tick_lender(granted + replicated_state::outlasts(seconds(10), 0.001));
  CHECK(p.rate(1) == 500);
}

TEST_CASE("a stopped borrower has lost its loan when it wakes, and what it may have earned is bounded",
          "[rights]") {
  Pair p;
  p.want(0, 700);
  p.pass(seconds(5));
  BoundedCounter& sleeper = p.s.members[0];
  p.s.real += seconds(300);
  // Ten seconds' worth of its own rate, not of the borrowed one.
  CHECK(sleeper.rate(p.s.clock(0), p.s.whole.id) == 500);
  CHECK(sleeper.available(p.s.clock(0), p.s.whole.id) <= 5000);
}

TEST_CASE("a loan earns nothing after its end, however late that is noticed", "[rights]") {
  Pair p;
  p.s.whole.depth = std::chrono::minutes(10);
  for (const Number n : {0U, 1U}) {
    p.s.members[n] = BoundedCounter(Terms{}, n, 2, 1, p.s.clock(n), replicated_state::Random(n + 1));
    p.s.members[n].open(p.s.clock(n), p.s.whole, true);
  }
  p.s.real += seconds(20);
  for (const Number n : {0U, 1U}) p.s.tick(n, {});
  p.want(0, 700);
  p.pass(milliseconds(100));
  const std::uint64_t borrowed = p.rate(0) - 500,
                      before = p.s.members[0].available(p.s.clock(0), p.s.whole.id);
  REQUIRE(borrowed > 0);
  p.s.real += seconds(300);
  CHECK(p.s.members[0].available(p.s.clock(0), p.s.whole.id) == before + 300 * 500 + 10 * borrowed);
}

TEST_CASE("a lender that starts again uses only what is never lent until its earlier loans are over",
          "[rights]") {
  Pair p;
  p.want(0, 700);
  p.pass(milliseconds(200));
  p.s.restart(1);
  CHECK(p.rate(1) == 250);
  CHECK(p.s.held() <= 1000);
  p.s.real += replicated_state::outlasts(replicated_state::kMaxLease, 0.001) + milliseconds(1);
  CHECK(p.rate(1) == 500);
}

TEST_CASE("a renewal whose answer is lost is not given back while the loan is in use", "[rights]") {
  Pair p;
  p.want(0, 600);
  p.pass(milliseconds(100));
  REQUIRE(p.rate(0) == 600);
  p.s.real += milliseconds(5100);
  p.s.tick(0, {1});
  REQUIRE(p.s.bag.size() == 1);
  p.s.arrive(0, false);  // the lender goes on with the loan, and its answer is lost
  p.s.bag.clear();
  p.s.real += milliseconds(4880);  // given up, and the loan runs for some ms yet
  p.s.tick(0, {1});
  p.settle();
  CHECK(p.rate(0) == 600);
  CHECK(p.s.held() == 1000);
}

TEST_CASE("two processes of one number, as in an upgrade: the earlier one's loan stays counted", "[rights]") {
  Pair p;
  p.want(0, 600);
  p.pass(milliseconds(100));
  BoundedCounter& lender = p.s.members[1];
  REQUIRE(p.rate(1) == 400);
  const auto& lent = lender.holdings().begin()->second.lent.at(0);
  const replicated_state::BudgetId id = p.s.whole.id;
  // The new process counts its asks from one, too.
  const auto out = lender.received(p.s.clock(1), 0, 2, {{id, lent.sequence, 0, 100}}, {}, {});
  REQUIRE(out.size() == 1);
  CHECK(std::get<replicated_state::Grant>(out[0].what).amount == 0);
  lender.received(p.s.clock(1), 0, 2, {}, {}, {{id, lent.sequence}});
  CHECK(p.rate(1) == 400);
  lender.received(p.s.clock(1), 0, 1, {}, {}, {{id, lent.sequence}});
  CHECK(p.rate(1) == 500);
}

TEST_CASE("without lending a share is whole at once", "[rights]") {
  Terms terms;
  terms.lends = false;
  BoundedCounter alone(terms, 0, 4, 1, seconds(5), replicated_state::Random(1));
  const Budget whole{{1, 7}, Nature::kRate, 1000, seconds(10)};
  REQUIRE(alone.open(seconds(5), whole, false));
  CHECK(alone.rate(seconds(5), whole.id) == 250);
  alone.want(whole.id, 1000);
  CHECK(alone.tick(seconds(6), {1, 2, 3}).empty());
  const auto out = alone.received(seconds(6), 1, 1, {{whole.id, 1, 0, 100}}, {}, {});
  REQUIRE(out.size() == 1);
  CHECK(std::get<replicated_state::Grant>(out[0].what).amount == 0);
}

TEST_CASE("a refill starts empty, and a member that starts again brings no burst", "[rights]") {
  Pair p;
  CHECK(p.s.members[0].available(p.s.clock(0), p.s.whole.id) ==
        2500);  // 10 s of the part that is never lent: since its start
  p.pass(seconds(20));
  CHECK(p.s.members[0].available(p.s.clock(0), p.s.whole.id) == 5000);
  CHECK(p.s.members[0].use(p.s.clock(0), p.s.whole.id, 5000));
  CHECK_FALSE(p.s.members[0].use(p.s.clock(0), p.s.whole.id, 1));
  p.s.restart(0);
  CHECK(p.s.members[0].available(p.s.clock(0), p.s.whole.id) == 0);
}

TEST_CASE("grants that nobody asked for, too large or of another life are ignored", "[rights]") {
  System s(2, kUnits, Terms{}, {1.0, 1.0});
  BoundedCounter& asker = s.members[0];
  asker.want(kUnits.id, 5);
  s.tick(0, {1});
  REQUIRE(s.bag.size() == 1);
  const auto ask = std::get<replicated_state::Ask>(s.bag[0].transfer.what);
  const auto grant = [&](std::uint64_t life, std::uint32_t sequence, std::uint64_t amount) {
    asker.received(s.clock(0), 1, 1, {}, {{kUnits.id, life, sequence, amount, {}}}, {});
    return asker.available(s.clock(0), kUnits.id);
  };
  CHECK(grant(2, ask.sequence, 1) == 3);
  CHECK(grant(1, ask.sequence + 1, 1) == 3);
  CHECK(grant(1, ask.sequence, ask.amount + 1) == 3);
  CHECK(asker.counts().ignored == 3);
  CHECK(grant(1, ask.sequence, 2) == 5);
  CHECK(grant(1, ask.sequence, 2) == 5);  // once
}

TEST_CASE("units: repeated asks move nothing twice, and a lost grant is sent again", "[rights]") {
  System s(2, kUnits, Terms{}, {1.0, 1.0});
  s.members[0].want(kUnits.id, 5);
  s.tick(0, {1});
  s.arrive(0, true);
  s.arrive(0, true);
  s.arrive(0, false);
  CHECK(s.members[1].available(s.clock(1), kUnits.id) == 1);  // half of the three went, once
  s.bag.erase(s.bag.begin(), s.bag.begin() + 2);
  s.arrive(0, false);
  CHECK(s.members[0].available(s.clock(0), kUnits.id) == 5);
  s.restart(0);
  CHECK(s.members[0].available(s.clock(0), kUnits.id) == 0);
}

TEST_CASE("an ask that nobody answers is repeated ever more rarely, and dropped when its lender is lost",
          "[rights]") {
  System s(2, kUnits, Terms{}, {1.0, 1.0});
  s.members[0].want(kUnits.id, 5);
  for (int i = 0; i < 200; ++i) {
    s.tick(0, {1});
    s.real += milliseconds(100);
  }
  CHECK(s.bag.size() >= 6);
  CHECK(s.bag.size() <= 11);
  const auto first = std::get<replicated_state::Ask>(s.bag[0].transfer.what);
  CHECK(std::get<replicated_state::Ask>(s.bag.back().transfer.what).sequence == first.sequence);
  s.members[0].lost(1);
  s.tick(0, {1});
  CHECK(std::get<replicated_state::Ask>(s.bag.back().transfer.what).sequence > first.sequence);
}

TEST_CASE("wholes are bounded, and one of units that has ended does not come again", "[rights]") {
  Terms terms;
  terms.max_wholes = 3;
  BoundedCounter rights(terms, 0, 2, 1, seconds(0), replicated_state::Random(1));
  for (std::uint64_t key = 0; key < 3; ++key)
    CHECK(rights.open(seconds(1), {{2, key}, Nature::kSpent, 10, {}}, true));
  CHECK_FALSE(rights.open(seconds(1), {{2, 9}, Nature::kSpent, 10, {}}, true));
  CHECK_FALSE(rights.open(seconds(1), {{2, 9}, Nature::kSpent, replicated_state::kMaxAmount + 1, {}}, true));
  rights.close(seconds(2), {2, 1});
  CHECK(rights.available(seconds(2), {2, 1}) == 0);
  CHECK_FALSE(rights.use(seconds(2), {2, 1}, 1));
  CHECK_FALSE(rights.open(seconds(3), {{2, 1}, Nature::kSpent, 10, {}}, true));
  rights.tick(seconds(3), {});
  CHECK(rights.size() == 3);
  rights.tick(seconds(2) + std::chrono::minutes(10), {});
  CHECK(rights.size() == 2);
}

}  // namespace
}  // namespace dispatcher::testing
