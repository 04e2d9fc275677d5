#include "fleet_fixture.hpp"

#include <algorithm>

namespace dispatcher::testing {

std::vector<std::uint8_t> bytes_of(const DatagramBuilder& builder) {
  const auto datagram = builder.finish();
  REQUIRE(datagram);
  return bytes_of(*datagram);
}

std::vector<std::uint8_t> bytes_of(const gossip::Datagram& datagram) {
  return {datagram.bytes().begin(), datagram.bytes().end()};
}

FleetFixture::FleetFixture(MemberIndex count, std::uint64_t seed, gossip::NodeOptions options)
    : skew(count), rate(count, 1.0), options_(options), seed_(seed), random_(seed), processes_(count) {
  options_.member_count = count;
  kinds.add(replicated_state::failure_evidence_kind());
}

Time FleetFixture::clock(MemberIndex member) const {
  const auto ticks = static_cast<double>(now_.count()) * rate[member];
  return Time(static_cast<Time::rep>(ticks)) + seconds(77 * (member + 1));  // origins differ, too
}

void FleetFixture::start(MemberIndex member) {
  gossip::NodeOptions options = options_;
  options.self = member;
  Process& process = processes_[member];
  const auto wall = seconds(1'800'000'000) + now_ + skew[member];
  const auto incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(wall).count());
  process.node = std::make_unique<GossipNode>(options, kinds, incarnation,
                                              seed_ * 1000 + std::uint64_t{member} * 10 + ++process.restarts,
                                              clock(member));
  process.node->set_change_observer([this, member](const membership::MemberChange& change) {
    if (on_change) on_change(member, change);
  });
  process.is_stopped = false;
  process.waiting.clear();
  transmit(member, process.node->start(clock(member)));
}

void FleetFixture::start_all() {
  for (MemberIndex member = 0; member < count(); ++member) start(member);
}
void FleetFixture::kill(MemberIndex member) {
  processes_[member].node.reset();
  processes_[member].waiting.clear();
}
void FleetFixture::stop(MemberIndex member) { processes_[member].is_stopped = true; }

void FleetFixture::resume(MemberIndex member) {
  Process& process = processes_[member];
  process.is_stopped = false;
  for (; !process.waiting.empty(); process.waiting.pop_front())
    deliver(process.waiting.front().first, member, process.waiting.front().second);
}

void FleetFixture::resume_all() {
  for (MemberIndex member = 0; member < count(); ++member) {
    if (!is_running(member)) resume(member);
  }
}

bool FleetFixture::start_and_join(microseconds max_time) {
  start_all();
  return until_all_alive(max_time);
}

const int& FleetFixture::count_changes_to(MemberState state) {
  counted_changes_ = 0;
  on_change = [this, state](MemberIndex, const membership::MemberChange& change) {
    counted_changes_ += change.after == state;
  };
  return counted_changes_;
}

void FleetFixture::block(const std::set<MemberIndex>& from, const std::set<MemberIndex>& to) {
  for (const MemberIndex sender : from) {
    for (const MemberIndex receiver : to) blocked_.emplace(sender, receiver);
  }
}

void FleetFixture::disturb(MemberIndex member, std::uint64_t draw, const std::set<MemberIndex>& receivers) {
  switch (draw) {
    case 0:
      if (is_running(member)) stop(member);
      break;
    case 1:
    case 2:
      resume_all();
      break;
    case 4:
      block({member}, receivers);
      break;
    case 5:
      unblock_all();
      break;
    default:
      break;
  }
}

void FleetFixture::transmit(MemberIndex from, const GossipNode::OutgoingDatagrams& datagrams) {
  for (const gossip::OutgoingDatagram& outgoing : datagrams) {
    if (outgoing.to) {
      send(from, *outgoing.to, outgoing.datagram.bytes());
    } else {
      for (MemberIndex to = 0; to < count(); ++to) send(from, to, outgoing.datagram.bytes());
    }
  }
}

void FleetFixture::send(MemberIndex from, MemberIndex to, std::span<const std::uint8_t> bytes) {
  if (bytes.size() > 256) FAIL("a datagram of " << bytes.size() << " bytes");
  if (on_datagram) on_datagram(from, to, bytes);
  if (blocked_.contains({from, to})) return;
  for (int copies = 1 + (chance(network.repetition) ? 1 : 0); copies > 0; --copies) {
    if (chance(network.loss)) continue;
    std::uniform_int_distribution<Time::rep> delay(microseconds(network.min_delay).count(),
                                                   microseconds(network.max_delay).count());
    in_flight_.emplace(now_ + microseconds(delay(random_)),
                       InFlightDatagram{from, to, {bytes.begin(), bytes.end()}});
  }
}

void FleetFixture::deliver(MemberIndex from, MemberIndex to, const std::vector<std::uint8_t>& bytes) {
  Process& process = processes_[to];
  if (process.node == nullptr) return;
  if (!process.is_stopped) return transmit(to, process.node->on_received(clock(to), from, bytes));
  if (process.waiting.size() < 200) process.waiting.emplace_back(from, bytes);
}

void FleetFixture::run(microseconds time) {
  for (const Time end = now_ + time; now_ < end;) {
    // Steps of at most 5 ms: all that is due within one is due at its end.
    now_ = std::min<Time>(end, now_ + milliseconds(5));
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const InFlightDatagram datagram = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      deliver(datagram.from, datagram.to, datagram.bytes);
    }
    for (MemberIndex member = 0; member < count(); ++member) {
      if (!is_running(member) || processes_[member].node->next_deadline() > clock(member)) continue;
      transmit(member, processes_[member].node->tick(clock(member)));
      if (processes_[member].node->next_deadline() <= clock(member))
        FAIL("a node that was ticked asks for it again at once");
    }
  }
}

bool FleetFixture::until(const std::function<bool()>& holds, microseconds max_time) {
  for (const Time end = now_ + max_time; now_ < end;) {
    if (holds()) return true;
    run(milliseconds(100));
  }
  return holds();
}

bool FleetFixture::all_consider(MemberIndex subject, MemberState state) const {
  for (MemberIndex member = 0; member < count(); ++member) {
    if (member == subject || !is_running(member)) continue;
    if (processes_[member].node->members().state(subject) != state) return false;
  }
  return true;
}

MemberIndex FleetFixture::members_with_evidence(std::uint64_t id) {
  MemberIndex found = 0;
  for (MemberIndex member = 0; member < count(); ++member) {
    if (!is_running(member)) continue;
    node(member).entries().for_each(clock(member), replicated_state::kFailureEvidenceKind,
                                    [&](const replicated_state::EntryView& view) { found += view.id == id; });
  }
  return found;
}

void FleetFixture::write_evidence(MemberIndex member, std::uint64_t id,
                                  const replicated_state::FailureEvidence& evidence) {
  node(member).set(clock(member), replicated_state::kFailureEvidenceKind, id,
                   replicated_state::encode(evidence));
}

bool FleetFixture::all_alive() const {
  for (MemberIndex member = 0; member < count(); ++member) {
    if (is_running(member) && !all_consider(member, MemberState::kAlive)) return false;
  }
  return true;
}

}  // namespace dispatcher::testing
