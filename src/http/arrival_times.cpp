#include "http/arrival_times.hpp"

#include <chrono>

namespace dispatcher::http {

namespace {

// Bytes that arrive within this time of a segment's first byte belong to that segment, so that a client that
// sends single bytes costs little memory.
constexpr engine::Duration kMaxSegmentTime = std::chrono::milliseconds(10);

}  // namespace

void ArrivalTimes::update(std::size_t waiting_bytes, Time now) {
  if (waiting_bytes > waiting_bytes_) append(waiting_bytes - waiting_bytes_, now);
  if (waiting_bytes < waiting_bytes_) consume(waiting_bytes_ - waiting_bytes);
  waiting_bytes_ = waiting_bytes;
}

std::optional<Time> ArrivalTimes::first() const {
  if (segments_.empty()) return std::nullopt;
  return segments_.front().arrival;
}

void ArrivalTimes::append(std::size_t bytes, Time now) {
  if (segments_.empty() || now - segments_.back().arrival > kMaxSegmentTime) segments_.push_back({0, now});
  segments_.back().bytes += bytes;
}

void ArrivalTimes::consume(std::size_t bytes) {
  auto segment = segments_.begin();
  while (segment != segments_.end() && bytes >= segment->bytes) {
    bytes -= segment->bytes;
    ++segment;
  }
  if (segment != segments_.end()) segment->bytes -= bytes;
  segments_.erase(segments_.begin(), segment);
}

}  // namespace dispatcher::http
