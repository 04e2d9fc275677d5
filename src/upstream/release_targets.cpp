#include "upstream/release_targets.hpp"

#include <algorithm>
#include <tuple>

namespace dispatcher::upstream {

namespace {
constexpr std::size_t kMaxAtOnce = 8;  // calls of one round: the others of the fleet may be asking as well
// Two pin limits' worth: what can be reached at all was found by then.
constexpr int kBriskRounds = 12;
constexpr Duration kLongestPause = std::chrono::seconds(1);
}  // namespace

// Zones and cells that were asked less come first: what keeps one host silent mostly keeps its neighbours so.
const Listener* ReleaseTargets::best(const std::vector<Listener>& listeners) const {
  const auto calls = [](const auto& map, const auto& key) {
    const auto it = map.find(key);
    return it == map.end() ? 0 : it->second;
  };
  const auto rank = [&](const Listener& l) {
    return std::tuple(-calls(zones_, l.zone), -calls(cells_, std::pair(l.zone, l.cell)), !l.silent,
                      l.connected, l.heard);
  };
  const Listener* found = nullptr;
  for (const Listener& l : listeners) {
    if (tried_.contains(l.endpoint)) continue;
    if (found == nullptr || rank(l) > rank(*found)) found = &l;
  }
  return found;
}

std::vector<std::string> ReleaseTargets::round(Time now, const std::vector<Listener>& listeners) {
  std::vector<std::string> chosen;
  if (over(now)) return chosen;
  ++rounds_;
  while (chosen.size() < std::min(width_, listeners.size())) {
    const Listener* next = best(listeners);
    if (next == nullptr) {  // all were asked: from the start
      if (!chosen.empty()) break;
      tried_.clear();
      continue;
    }
    // Nobody sure to hear: two at once from the start.
    if (asked_ == 0 && chosen.empty() && (!next->connected || next->silent)) width_ = 2;
    chosen.push_back(next->endpoint);
    tried_.insert(next->endpoint);
    ++zones_[next->zone];
    ++cells_[{next->zone, next->cell}];
    ++asked_;
  }
  width_ = std::min(2 * width_, kMaxAtOnce);
  return chosen;
}

Duration ReleaseTargets::pause() const {
  Duration pause = interval_;
  for (int i = kBriskRounds; i < rounds_ && pause < kLongestPause; ++i) pause *= 2;
  return std::max(interval_, std::min(pause, kLongestPause));
}

}  // namespace dispatcher::upstream
