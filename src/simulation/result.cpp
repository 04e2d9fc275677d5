#include "simulation/result.hpp"

#include <array>
#include <map>
#include <utility>

namespace dispatcher::simulation {

const char* name(RequestOutcome::End end) {
  constexpr std::array<const char*, RequestOutcome::kEndCount> kNames = {"served", "cut",    "refused",
                                                                         "shed",   "failed", "open"};
  return kNames[static_cast<std::size_t>(end)];
}

double Result::in_time_fraction(const std::string& request_class) const {
  std::size_t total = 0;
  std::size_t in_time = 0;
  for (const RequestOutcome& outcome : outcomes) {
    if (outcome.request_class != request_class) continue;
    ++total;
    if (outcome.end == RequestOutcome::End::kServed && outcome.is_in_time) ++in_time;
  }
  return total == 0 ? 1 : static_cast<double>(in_time) / static_cast<double>(total);
}

std::string Result::csv() const {
  // The columns after the class count all requests, those served in time, those served late, and those with
  // each of the other ends in the order of the enumeration.
  constexpr std::size_t kAll = 0;
  constexpr std::size_t kInTime = 1;
  constexpr std::size_t kLate = 2;
  constexpr std::size_t kColumns = 8;
  const auto column_of = [](const RequestOutcome& outcome) {
    if (outcome.end != RequestOutcome::End::kServed) return kLate + static_cast<std::size_t>(outcome.end);
    return outcome.is_in_time ? kInTime : kLate;
  };
  std::map<std::pair<std::int64_t, std::string>, std::array<std::size_t, kColumns>> rows;
  for (const RequestOutcome& outcome : outcomes) {
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(outcome.submitted_at - kSimulationStart).count();
    auto& row = rows[{second, outcome.request_class}];
    ++row[kAll];
    ++row[column_of(outcome)];
  }
  std::string text = "second,class,asked,in_time,late,cut,refused,shed,failed,open\n";
  for (const auto& [key, row] : rows) {
    text += std::to_string(key.first) + "," + key.second;
    for (const std::size_t count : row) text += "," + std::to_string(count);
    text += "\n";
  }
  return text;
}

}  // namespace dispatcher::simulation
