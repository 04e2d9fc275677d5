#include "fleet_fixture.hpp"

#include <algorithm>

namespace dispatcher::testing {

FleetFixture::FleetFixture(Number count, std::uint64_t seed, gossip::Options options)
    : skew(count), rate(count, 1.0), options_(options), seed_(seed), random_(seed), members_(count) {
  options_.count = count;
  kinds.add(replicated_state::doubt_kind());
}

Time FleetFixture::clock(Number n) const {
  const auto ticks = static_cast<double>(now_.count()) * rate[n];
  return Time(static_cast<Time::rep>(ticks)) + seconds(77 * (n + 1));  // origins differ, too
}

void FleetFixture::start(Number n) {
  gossip::Options options = options_;
  options.self = n;
  Member& m = members_[n];
  const auto wall = seconds(1'800'000'000) + now_ + skew[n];
  const auto life = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(wall).count());
  m.node = std::make_unique<GossipNode>(options, kinds, life, seed_ * 1000 + n * 10 + ++m.process, clock(n));
  m.node->on_change([this, n](const membership::Change& change) {
    if (on_change) on_change(n, change);
  });
  m.stopped = false;
  m.waiting.clear();
  carry(n, m.node->start(clock(n)));
}

void FleetFixture::start_all() {
  for (Number n = 0; n < count(); ++n) start(n);
}
void FleetFixture::kill(Number n) {
  members_[n].node.reset();
  members_[n].waiting.clear();
}
void FleetFixture::stop(Number n) { members_[n].stopped = true; }

void FleetFixture::resume(Number n) {
  Member& m = members_[n];
  m.stopped = false;
  for (; !m.waiting.empty(); m.waiting.pop_front())
    arrive(m.waiting.front().first, n, m.waiting.front().second);
}

void FleetFixture::cut(const std::set<Number>& from, const std::set<Number>& to) {
  for (const Number f : from) {
    for (const Number t : to) cut_.emplace(f, t);
  }
}

void FleetFixture::carry(Number from, const GossipNode::Sent& sent) {
  for (const gossip::Outgoing& one : sent) {
    if (one.to) {
      post(from, *one.to, one.datagram.bytes());
    } else {
      for (Number to = 0; to < count(); ++to) post(from, to, one.datagram.bytes());
    }
  }
}

void FleetFixture::post(Number from, Number to, std::span<const std::uint8_t> bytes) {
  if (bytes.size() > 256) FAIL("a datagram of " << bytes.size() << " bytes");
  if (on_datagram) on_datagram(from, to, bytes);
  if (cut_.contains({from, to})) return;
  for (int copies = 1 + (chance(weather.repeated) ? 1 : 0); copies > 0; --copies) {
    if (chance(weather.loss)) continue;
    std::uniform_int_distribution<Time::rep> delay(microseconds(weather.minimum).count(),
                                                   microseconds(weather.maximum).count());
    flights_.emplace(now_ + microseconds(delay(random_)),
                     InFlightRequest{from, to, {bytes.begin(), bytes.end()}});
  }
}

void FleetFixture::arrive(Number from, Number to, const std::vector<std::uint8_t>& bytes) {
  Member& m = members_[to];
  if (m.node == nullptr) return;
  if (!m.stopped) return carry(to, m.node->received(clock(to), from, bytes));
  if (m.waiting.size() < 200) m.waiting.emplace_back(from, bytes);
}

void FleetFixture::run(microseconds time) {
  for (const Time end = now_ + time; now_ < end;) {
    // Steps of at most 5 ms: all that is due within one is due at its end.
    now_ = std::min<Time>(end, now_ + milliseconds(5));
    while (!flights_.empty() && flights_.begin()->first <= now_) {
      const InFlightRequest flight = std::move(flights_.begin()->second);
      flights_.erase(flights_.begin());
      arrive(flight.from, flight.to, flight.bytes);
    }
    for (Number n = 0; n < count(); ++n) {
      if (!runs(n) || members_[n].node->next() > clock(n)) continue;
      carry(n, members_[n].node->tick(clock(n)));
      if (members_[n].node->next() <= clock(n)) FAIL("a node that was ticked asks for it again at once");
    }
  }
}

bool FleetFixture::until(const std::function<bool()>& holds, microseconds maximum) {
  for (const Time end = now_ + maximum; now_ < end;) {
    if (holds()) return true;
    run(milliseconds(100));
  }
  return holds();
}

bool FleetFixture::all_hold(Number about, MemberState standing) const {
  for (Number n = 0; n < count(); ++n) {
    if (n != about && runs(n) && members_[n].node->members().standing(about) != standing) return false;
  }
  return true;
}

Number FleetFixture::told(std::uint64_t key) {
  Number found = 0;
  for (Number n = 0; n < count(); ++n) {
    if (!runs(n)) continue;
    node(n).rows().each(clock(n), replicated_state::kDoubtKind,
                        [&](const replicated_state::Heard& heard) { found += heard.key == key; });
  }
  return found;
}

bool FleetFixture::all_alive() const {
  for (Number n = 0; n < count(); ++n) {
    if (runs(n) && !all_hold(n, MemberState::kAlive)) return false;
  }
  return true;
}

}  // namespace dispatcher::testing
