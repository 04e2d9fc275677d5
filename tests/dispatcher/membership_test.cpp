// Membership: claims as a join, the timers of suspicion, all faults of three members up to a bound, and
// fleets in virtual time.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <unordered_set>

#include "fleet_fixture.hpp"
#include "property.hpp"

namespace dispatcher::testing {
namespace {

using membership::Incarnation;
using membership::LocalHealth;
using membership::Membership;
using membership::MemberUpdate;
using membership::Parameters;
using membership::Probe;
using membership::Sending;
using membership::Suspicion;

TEST_CASE("a suspicion waits longest for a lone accuser and shortest for many", "[membership]") {
  Suspicion s(seconds(100), 1, 3, seconds(6), seconds(24));
  CHECK(s.wait() == seconds(24));
  CHECK_FALSE(s.confirm(1));  // the same again confirms nothing
  CHECK(s.confirm(2));
  CHECK(s.wait() == seconds(15));  // log 2 / log 4 of the way
  CHECK(s.confirm(3));
  CHECK(s.wait() > seconds(9));
  CHECK(s.confirm(4));
  CHECK(s.wait() == seconds(6));
  CHECK_FALSE(s.confirm(5));
  CHECK(Suspicion(seconds(100), 1, 0, seconds(6), seconds(24)).wait() == seconds(6));
  s.shift(seconds(10));
  CHECK(s.ends() == seconds(116));
}

TEST_CASE("local health stays between its bounds", "[membership]") {
  LocalHealth h(8);
  h.better();
  CHECK(h.score() == 0);
  h.worse(3);
  CHECK(h.scaled(seconds(1)) == seconds(4));
  h.worse(100);
  CHECK(h.score() == 8);
  for (int i = 0; i < 20; ++i) h.better();
  CHECK(h.score() == 0);
}

Membership member(Number self, Number count, std::uint64_t life = 1000, Time now = seconds(100)) {
  return {Parameters{}, self, count, life, now, membership::Random(self + 1)};
}

TEST_CASE("claims in any order, repeated, give one view", "[membership]") {
  holds(
      [] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        std::vector<MemberUpdate> claims;
        const int length = *rc::gen::inRange(0, 60);
        for (int i = 0; i < length; ++i)
          claims.push_back({static_cast<Number>(1 + random() % 4),
                            {1 + random() % 3, static_cast<std::uint32_t>(random() % 3)},
                            static_cast<MemberState>(1 + random() % 3),
                            static_cast<Number>(1 + random() % 4)});
        Membership one = member(0, 5), other = member(0, 5);
        one.received(seconds(100), 1, {1, 0}, std::nullopt, claims);
        std::shuffle(claims.begin(), claims.end(), random);
        for (const MemberUpdate& c : claims) {
          other.received(seconds(100), 1, {1, 0}, std::nullopt, {c});
          if (random() % 3 == 0)
            other.received(seconds(100), 1, {1, 0}, std::nullopt, {claims[random() % claims.size()]});
        }
        if (claims.empty()) return;
        for (Number n = 1; n < 5; ++n) RC_ASSERT(one.claim(n).rank() == other.claim(n).rank());
      },
      500);
}

TEST_CASE("a member answers what is held of it, and comes after its own later life", "[membership]") {
  Membership m = member(0, 3);
  const auto hear = [&](const MemberUpdate& c) { m.received(seconds(100), 1, {5, 0}, std::nullopt, {c}); };
  hear({0, {1000, 0}, MemberState::kSuspect, 1});
  CHECK(m.incarnation() == Incarnation{1000, 1});
  CHECK(m.unwell() == 1);
  hear({0, {1000, 0}, MemberState::kDead, 1});  // late: answered already
  CHECK(m.incarnation() == Incarnation{1000, 1});
  hear({0, {900, 7}, MemberState::kDead, 1});  // of an earlier life: no matter
  CHECK(m.incarnation() == Incarnation{1000, 1});
  hear({0, {2000, 4}, MemberState::kAlive, 0});  // our clock was set back since
  CHECK(m.incarnation() == Incarnation{2001, 0});
  hear({0, {membership::kMaxLife, 0}, MemberState::kAlive, 0});
  CHECK(m.incarnation() == Incarnation{2001, 0});
  CHECK(m.standing(0) == MemberState::kAlive);
}

TEST_CASE("the suspect is told first, whatever has been sent", "[membership]") {
  Membership m = member(0, 4);
  m.received(seconds(100), 1, {5, 0}, std::nullopt,
             {{2, {5, 0}, MemberState::kSuspect, 1}, {3, {5, 0}, MemberState::kAlive, 3}});
  for (int i = 0; i < 100; ++i) {
    for (const Number n : {1U, 2U, 3U}) m.sent(n);
  }
  CHECK(m.queue(1).empty());
  REQUIRE(m.queue(2).size() == 1);
  CHECK(m.queue(2)[0].standing == MemberState::kSuspect);
}

TEST_CASE("helpers: a ping by another way, and word that the helper itself was reached", "[membership]") {
  Membership helper = member(2, 4);
  helper.tick(helper.next());
  const Time now = helper.next();
  auto out = helper.received(now, 0, {5, 0}, Probe{Probe::Type::kAskToPing, 77, 1}, {});
  REQUIRE(out.size() == 1);
  CHECK(out[0].to == 1);
  CHECK(out[0].probe->type == Probe::Type::kPing);
  const std::uint32_t sequence = out[0].probe->sequence;
  // No answer within four fifths of the prober's time-out: word of that, once.
  std::size_t nacks = 0;
  for (Time t = now; t < now + milliseconds(400); t += milliseconds(10)) {
    for (const Sending& s : helper.tick(t))
      nacks += s.probe && s.probe->type == Probe::Type::kNack && s.probe->sequence == 77;
  }
  CHECK(nacks == 1);
  out = helper.received(now + milliseconds(400), 3, {5, 0}, Probe{Probe::Type::kAck, sequence, 0}, {});
  CHECK(out.empty());  // not from the one that was pinged
  out = helper.received(now + milliseconds(400), 1, {5, 0}, Probe{Probe::Type::kAck, sequence, 0}, {});
  REQUIRE(out.size() == 1);
  CHECK(out[0].to == 0);
  CHECK(out[0].probe == Probe{Probe::Type::kAck, 77, 0});
}

TEST_CASE("an unanswered ping is repeated and helpers are asked; each living member has its turn in a round",
          "[membership]") {
  Membership m = member(0, 8);
  for (Number n = 1; n < 4; ++n) m.received(seconds(100), n, {5, 0}, std::nullopt, {});
  for (int round = 0; round < 20; ++round) {
    std::set<Number> probed;
    for (int probe = 0; probe < 3; ++probe) {
      auto out = m.tick(m.next());
      const auto ping = std::find_if(
          out.begin(), out.end(), [&](const Sending& s) { return m.standing(s.to) == MemberState::kAlive; });
      REQUIRE(ping != out.end());
      const Sending first = *ping;
      probed.insert(first.to);
      if (round == 0 && probe == 0) {
        const Time again = m.next();
        out = m.tick(again);
        REQUIRE(out.size() == 3);  // the same ping, and two helpers
        CHECK(out[0].to == first.to);
        CHECK(out[0].probe == first.probe);
        CHECK(out[1].probe->type == Probe::Type::kAskToPing);
        CHECK(out[1].probe->target == first.to);
        CHECK(m.tick(m.next()).size() == 1);
      }
      m.received(m.next(), first.to, {5, 0}, Probe{Probe::Type::kAck, first.probe->sequence, 0}, {});
    }
    CHECK(probed.size() == 3);
  }
  CHECK(m.counts().failed_probes == 0);
}

// ---- three members, every fault up to a bound ----

struct Mail {
  Number from, to;
  Incarnation incarnation;
  std::optional<Probe> probe;
  std::vector<MemberUpdate> claims;
};

struct Trio {
  std::vector<Membership> members;
  std::vector<bool> stopped{false, false, false};
  std::vector<Mail> mail, late;  // on its way; delayed beyond others
  Time now = seconds(100);
  std::uint64_t life = 10;
  int faults = 0;

  static Parameters parameters() {
    Parameters p;
    p.suspicion_min = 2;
    p.suspicion_stretch = 2;
    p.call_every = 2;
    return p;
  }
  Trio() {
    for (Number n = 0; n < 3; ++n)
      members.emplace_back(parameters(), n, 3, ++life, now, membership::Random(n + 1));
  }
  void post(Number from, const std::vector<Sending>& sendings) {
    for (const Sending& s : sendings) {
      const auto claims = members[from].queue(s.to);
      for (const MemberUpdate& c : claims) members[from].sent(c.about);
      mail.push_back({from, s.to, members[from].incarnation(), s.probe, claims});
    }
  }
  void deliver(const Mail& m) {
    if (stopped[m.to]) return late.push_back(m);  // in its socket
    post(m.to, members[m.to].received(now, m.from, m.incarnation, m.probe, m.claims));
  }
  void restart(Number n) {
    members[n] = Membership(parameters(), n, 3, ++life, now, membership::Random(n + 1));
    stopped[n] = false;
  }
  void resume(Number n) {
    stopped[n] = false;
    flush();
  }
  void flush() {
    std::vector<Mail> all;
    all.swap(late);
    for (const Mail& m : all) deliver(m);
  }
  void pass_time() {
    Time next = Time::max();
    for (Number n = 0; n < 3; ++n) {
      if (!stopped[n]) next = std::min(next, members[n].next());
    }
    if (next == Time::max()) next = now + seconds(1);
    now = std::max(now, next);
    for (Number n = 0; n < 3; ++n) {
      if (!stopped[n] && members[n].next() <= now) post(n, members[n].tick(now));
    }
  }
  // Without faults from here on.
  void step() {
    if (mail.empty()) return pass_time();
    const Mail m = mail.front();
    mail.erase(mail.begin());
    deliver(m);
  }
  [[nodiscard]] bool all_alive() const {
    for (const Membership& m : members) {
      for (Number n = 0; n < 3; ++n) {
        if (m.standing(n) != MemberState::kAlive) return false;
      }
    }
    return true;
  }
  // Nobody believes in a life or an answer that its member never had.
  [[nodiscard]] bool sound() const {
    for (const Membership& m : members) {
      if (m.standing(m.self()) != MemberState::kAlive) return false;
      for (Number n = 0; n < 3; ++n) {
        if (m.claim(n).incarnation > members[n].incarnation()) return false;
      }
    }
    return true;
  }
  [[nodiscard]] std::uint64_t hash() const {
    std::vector<std::uint64_t> s;
    for (Number n = 0; n < 3; ++n) {
      s.push_back(members[n].state_hash(now));
      s.push_back(stopped[n]);
    }
    for (const auto* list : {&mail, &late}) {
      s.push_back(list->size());
      for (const Mail& m : *list) {
        s.insert(s.end(), {m.from, m.to, m.incarnation.life, m.incarnation.refuted, m.probe.has_value()});
        if (m.probe)
          s.insert(s.end(), {static_cast<std::uint64_t>(m.probe->type), m.probe->sequence, m.probe->target});
        for (const MemberUpdate& c : m.claims)
          s.insert(s.end(), {c.about, c.incarnation.life, c.incarnation.refuted,
                             static_cast<std::uint64_t>(c.standing), c.by});
      }
    }
    return XXH3_64bits(s.data(), s.size() * sizeof s[0]);
  }
};

std::vector<Trio> faults(const Trio& t) {
  std::vector<Trio> next;
  const auto add = [&](auto change) {
    next.push_back(t);
    ++next.back().faults;
    change(next.back());
  };
  if (!t.mail.empty()) {
    const auto first = [](Trio& n) {
      const Mail m = n.mail.front();
      n.mail.erase(n.mail.begin());
      return m;
    };
    add([&](Trio& n) { first(n); });                    // lost
    add([&](Trio& n) { n.late.push_back(first(n)); });  // late, past the end of the faults
    add([&](Trio& n) {
      n.late.push_back(n.mail.front());
      n.step();
    });  // twice
  } else {
    for (Number m = 0; m < 3; ++m) {
      if (t.stopped[m]) {
        add([&](Trio& n) {
          n.resume(m);
          --n.faults;
        });
      } else {
        add([&](Trio& n) { n.stopped[m] = true; });
      }
      add([&](Trio& n) { n.restart(m); });
    }
    if (!t.late.empty())
      add([&](Trio& n) {
        n.flush();
        --n.faults;
      });
  }
  return next;
}

struct Explored {
  std::size_t states = 0, ends = 0;
  std::size_t unsound = 0, unhealed = 0;
  std::size_t false_deaths = 0;  // ends at which somebody was held dead: the faults reach that far
};

Explored explore(int max_faults, Time max_time, std::size_t max_states) {
  Explored found;
  // A fleet that knows itself, then the faults.
  Trio first;
  while (!(first.all_alive() && first.now > seconds(105) && first.mail.empty())) first.step();
  const Time end = first.now + max_time;
  std::unordered_set<std::uint64_t> seen, ended;
  std::vector<Trio> stack{first};
  while (!stack.empty() && seen.size() < max_states) {
    Trio t = std::move(stack.back());
    stack.pop_back();
    if (!seen.insert(t.hash() ^ static_cast<std::uint64_t>(t.faults) * 0x9E3779B97F4A7C15U ^
                     static_cast<std::uint64_t>((t.now - first.now).count()) * 0xBF58476D1CE4E5B9U)
             .second)
      continue;
    if (!t.sound()) ++found.unsound;
    if (t.now >= end) {
      if (!ended.insert(t.hash()).second) continue;
      bool dead = false;
      for (const Membership& m : t.members) {
        for (Number n = 0; n < 3; ++n) dead = dead || m.standing(n) == MemberState::kDead;
      }
      found.false_deaths += dead;
      for (Number n = 0; n < 3; ++n) t.resume(n);
      const Time healed = t.now + seconds(60);
      while (!t.all_alive() && t.now < healed) t.step();
      if (!t.all_alive()) ++found.unhealed;
      continue;
    }
    if (t.faults < max_faults) {
      for (Trio& n : faults(t)) stack.push_back(std::move(n));
    }
    t.step();
    stack.push_back(std::move(t));
  }
  found.states = seen.size();
  found.ends = ended.size();
  return found;
}

TEST_CASE("three members, every fault of up to two at any point: all hold all alive once the faults end",
          "[membership]") {
  const Explored found = explore(2, seconds(5), 200'000);
  INFO(found.states << " states, " << found.ends << " ends, " << found.false_deaths
                    << " with somebody held dead");
  CHECK(found.states > 5'000);
  CHECK(found.states < 200'000);  // all of them
  CHECK(found.false_deaths > 0);
  CHECK(found.unsound == 0);
  CHECK(found.unhealed == 0);
}

TEST_CASE("three members, up to three and four faults", "[.explore]") {
  for (const auto& [maximum, time] : {std::pair(2, 12), std::pair(3, 5), std::pair(4, 3)}) {
    const Explored found = explore(maximum, seconds(time), 3'000'000);
    std::printf(
        "%d faults in %d s: %zu states, %zu ends, %zu with somebody held dead, unsound %zu, unhealed %zu\n",
        maximum, time, found.states, found.ends, found.false_deaths, found.unsound, found.unhealed);
    CHECK(found.unsound == 0);
    CHECK(found.unhealed == 0);
  }
}

// ---- fleets in virtual time ----

TEST_CASE("a fleet that starts together knows itself, and a quiet one sends little", "[membership]") {
  const Number count = GENERATE(2, 3, 30);
  FleetFixture fixture(count, 1);
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(10)));
  fixture.run(seconds(40));
  std::uint64_t before = 0, after = 0;
  for (Number n = 0; n < count; ++n) before += fixture.node(n).counts().sent_bytes;
  fixture.run(seconds(60));
  for (Number n = 0; n < count; ++n) after += fixture.node(n).counts().sent_bytes;
  CHECK((after - before) / 60 / count < 80);
  CHECK(fixture.all_alive());
}

TEST_CASE("a member that dies is held dead by all, and one that starts again is alive again",
          "[membership]") {
  FleetFixture fixture(12, 2);
  fixture.weather.loss = 0.1;
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(20)));
  fixture.kill(5);
  REQUIRE(fixture.until([&] { return fixture.all_hold(5, MemberState::kDead); }, seconds(25)));
  fixture.start(5);
  CHECK(fixture.until([&] { return fixture.all_alive(); }, seconds(20)));
}

TEST_CASE("a restart faster than detection is seen as a new life, and its rows of before are gone",
          "[membership]") {
  FleetFixture fixture(6, 3);
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(10)));
  fixture.node(2).set(fixture.clock(2), replicated_state::kDoubtKind, 9, replicated_state::encode({1, 2}));
  fixture.run(seconds(3));
  const auto rows = [&](Number n) {
    int found = 0;
    fixture.node(n).rows().each(fixture.clock(n), replicated_state::kDoubtKind,
                                [&](const replicated_state::Heard&) { ++found; });
    return found;
  };
  REQUIRE(rows(0) == 1);
  int new_lives = 0, deaths = 0;
  fixture.on_change = [&](Number observer, const membership::Change& change) {
    if (observer != 2 && change.member == 2) new_lives += change.new_life;
    deaths += change.after == MemberState::kDead;
  };
  fixture.kill(2);
  fixture.run(milliseconds(50));
  fixture.start(2);
  fixture.run(seconds(10));
  CHECK(new_lives == 5);
  CHECK(deaths == 0);
  for (const Number n : {0U, 1U, 3U, 4U, 5U}) CHECK(rows(n) == 0);
}

TEST_CASE("a host whose clock was set back: its next process is believed all the same", "[membership]") {
  FleetFixture fixture(5, 4);
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(10)));
  fixture.run(seconds(30));  // nobody spreads its first life any more
  int suspicions = 0;
  fixture.on_change = [&](Number, const membership::Change& change) {
    suspicions += change.after == MemberState::kSuspect;
  };
  fixture.kill(1);
  fixture.skew[1] = -std::chrono::hours(2);
  fixture.run(milliseconds(200));
  fixture.start(1);
  const auto believed = [&] {
    const auto life = fixture.node(1).members().incarnation().life;
    for (const Number n : {0U, 2U, 3U, 4U}) {
      if (fixture.node(n).members().claim(1).incarnation.life != life) return false;
    }
    return fixture.all_alive();
  };
  CHECK_FALSE(believed());
  CHECK(fixture.until(believed, seconds(3)));  // its first ping is answered with its later life
  fixture.run(seconds(10));
  CHECK(suspicions == 0);
  CHECK(fixture.node(0).counts().dropped[static_cast<std::size_t>(gossip::Drop::kOldLife)] > 0);
}

TEST_CASE("clocks apart by hours and running at different rates make no difference", "[membership]") {
  FleetFixture fixture(10, 5);
  for (Number n = 0; n < 10; ++n) {
    fixture.skew[n] = seconds(3600) * static_cast<int>(n) - seconds(7200);
    fixture.rate[n] = 1 + 0.01 * (static_cast<int>(n % 3) - 1);
  }
  int deaths = 0;
  fixture.on_change = [&](Number, const membership::Change& change) {
    deaths += change.after == MemberState::kDead;
  };
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(20)));
  fixture.run(seconds(120));
  CHECK(deaths == 0);
}

TEST_CASE("a stopped member is held dead; it wakes, and neither it nor what waited for it does harm",
          "[membership]") {
  FleetFixture fixture(8, 6);
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(10)));
  fixture.stop(3);
  REQUIRE(fixture.until([&] { return fixture.all_hold(3, MemberState::kDead); }, seconds(30)));
  fixture.run(seconds(60));
  int accused = 0;
  fixture.on_change = [&](Number, const membership::Change& change) {
    if (change.member != 3) accused += change.after != MemberState::kAlive;
  };
  fixture.resume(3);
  CHECK(fixture.until([&] { return fixture.all_alive(); }, seconds(20)));
  fixture.run(seconds(30));
  CHECK(accused == 0);  // it did not take its own pause for the others' silence
  CHECK(fixture.node(3).members().counts().pauses >= 1);
  CHECK(fixture.node(0).members().claim(3).incarnation.refuted >= 1);
}

TEST_CASE("a fleet cut in two holds the other side dead, and finds itself again", "[membership]") {
  FleetFixture fixture(10, 7);
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(10)));
  const std::set<Number> left{0, 1, 2, 3}, right{4, 5, 6, 7, 8, 9};
  fixture.cut(left, right);
  fixture.cut(right, left);
  const auto apart = [&] {
    for (const Number l : left) {
      for (const Number r : right) {
        if (fixture.node(l).members().standing(r) != MemberState::kDead) return false;
        if (fixture.node(r).members().standing(l) != MemberState::kDead) return false;
      }
    }
    return true;
  };
  CHECK(fixture.until(apart, seconds(60)));
  fixture.run(seconds(60));
  for (const Number a : left) {
    for (const Number b : left)
      CHECK((a == b || fixture.node(a).members().standing(b) == MemberState::kAlive));
  }
  fixture.heal();
  CHECK(fixture.until([&] { return fixture.all_alive(); }, seconds(40)));
}

TEST_CASE("a member that hears all and is heard by few paths stays alive by its helpers", "[membership]") {
  FleetFixture fixture(8, 8);
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(10)));
  int deaths = 0;
  fixture.on_change = [&](Number, const membership::Change& change) {
    deaths += change.after == MemberState::kDead;
  };
  fixture.cut({0}, {1, 2, 3});  // one way
  fixture.run(seconds(120));
  CHECK(deaths == 0);
  fixture.heal();
  fixture.run(seconds(5));
  CHECK(fixture.all_alive());
}

TEST_CASE("a member whose word reaches nobody is held dead, though it hears; others are not by it",
          "[membership]") {
  FleetFixture fixture(6, 9);
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(10)));
  fixture.cut({0}, {1, 2, 3, 4, 5});
  CHECK(fixture.until([&] { return fixture.all_hold(0, MemberState::kDead); }, seconds(30)));
  for (Number a = 1; a < 6; ++a) {
    for (Number b = 1; b < 6; ++b)
      CHECK((a == b || fixture.node(a).members().standing(b) == MemberState::kAlive));
  }
  fixture.heal();
  CHECK(fixture.until([&] { return fixture.all_alive(); }, seconds(40)));
}

TEST_CASE("loss, repetitions and datagrams seconds late: all who live are found alive in the end",
          "[membership]") {
  FleetFixture fixture(15, 10);
  fixture.weather = {0.3, 0.2, milliseconds(1), milliseconds(3000)};
  fixture.start_all();
  fixture.run(seconds(120));
  fixture.weather = {};
  CHECK(fixture.until([&] { return fixture.all_alive(); }, seconds(60)));
}

TEST_CASE("a member that leaves is known to be gone without a suspicion", "[membership]") {
  FleetFixture fixture(8, 11);
  fixture.start_all();
  REQUIRE(fixture.until([&] { return fixture.all_alive(); }, seconds(10)));
  int suspicions = 0;
  fixture.on_change = [&](Number, const membership::Change& change) {
    suspicions += change.after == MemberState::kSuspect;
  };
  for (const gossip::Outgoing& one : fixture.node(4).leave(fixture.clock(4)))
    fixture.inject(4, one.to.value(), {one.datagram.bytes().begin(), one.datagram.bytes().end()});
  fixture.kill(4);
  CHECK(fixture.until([&] { return fixture.all_hold(4, MemberState::kDead); }, seconds(10)));
  CHECK(suspicions == 0);
}

}  // namespace
}  // namespace dispatcher::testing
