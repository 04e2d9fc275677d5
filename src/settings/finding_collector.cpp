#include "settings/finding_collector.hpp"

#include <sstream>
#include <utility>

namespace dispatcher::settings {

using routing::Duration;

namespace {
constexpr int kSignificantDigits = 10;  // shows durations of up to 2.7 hours to the microsecond
constexpr double kMicrosecondsPerMillisecond = 1000;
}  // namespace

std::string format_number(double value) {
  std::ostringstream out;
  out.precision(kSignificantDigits);
  out << value;
  return out.str();
}

std::string format_ms(Duration time) {
  return format_number(static_cast<double>(time.count()) / kMicrosecondsPerMillisecond) + " ms";
}

void FindingCollector::add_error(std::string field, std::string problem, std::string expected) {
  findings_.push_back({Severity::kError, std::move(field), std::move(problem), std::move(expected)});
}

void FindingCollector::add_warning(std::string field, std::string problem, std::string expected) {
  findings_.push_back({Severity::kWarning, std::move(field), std::move(problem), std::move(expected)});
}

void FindingCollector::require_not_negative(std::string field, Duration time) {
  if (time.count() < 0) {
    add_error(std::move(field), format_ms(time), "at least 0");
  } else {
    require_no_longer_than(std::move(field), time, kMaxTime);
  }
}

void FindingCollector::require_positive(std::string field, Duration time) {
  if (time.count() <= 0) {
    add_error(std::move(field), format_ms(time), "above 0");
  } else {
    require_no_longer_than(std::move(field), time, kMaxTime);
  }
}

void FindingCollector::require_no_longer_than(std::string field, Duration time, Duration maximum) {
  if (time > maximum) add_error(std::move(field), format_ms(time), "at most " + format_ms(maximum));
}

void FindingCollector::require_not_negative(std::string field, double value) {
  if (!(value >= 0)) add_error(std::move(field), format_number(value), "at least 0");
}

void FindingCollector::warn_if_negative(std::string field, double value) {
  if (!(value >= 0)) add_warning(std::move(field), format_number(value), "at least 0");
}

void FindingCollector::warn_if_not_fraction(std::string field, double value) {
  if (!(value >= 0 && value <= 1)) add_warning(std::move(field), format_number(value), "0 to 1");
}

std::vector<Finding> FindingCollector::release() { return std::exchange(findings_, {}); }

}  // namespace dispatcher::settings
