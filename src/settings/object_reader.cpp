#include "settings/object_reader.hpp"

#include <algorithm>
#include <cmath>

namespace dispatcher::settings {
namespace {

using routing::Duration;

constexpr std::size_t kMaxExcerptBytes = 40;  // maximum length of a quoted value, as each message is one line

// Formats a value for quotation in a message. Truncates it if it is longer than kMaxExcerptBytes.
std::string excerpt(const Json& value) {
  const std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() > kMaxExcerptBytes ? text.substr(0, kMaxExcerptBytes) + "..." : text;
}

// Returns the key of an array's element: "key[1]".
std::string element_key(const std::string& key, std::size_t index) {
  return key + "[" + std::to_string(index) + "]";
}

}  // namespace

Duration ObjectReader::required_duration(const std::string& key) const {
  return read_duration(key, Presence::kRequired);
}

Duration ObjectReader::optional_duration(const std::string& key) const {
  return read_duration(key, Presence::kOptional);
}

Duration ObjectReader::read_duration(const std::string& key, Presence presence) const {
  return read<Duration>(key, presence, {}, json::kDurationTypeName, json::is_duration,
                        json::convert_duration);
}

double ObjectReader::number_at(const std::string& key, std::size_t index) const {
  const Json* array = this->array(key, Presence::kOptional);
  if (array == nullptr || index >= array->size()) return 0;
  const Json& value = (*array)[index];
  if (value.is_number()) return value.get<double>();
  add_error(element_key(key, index), excerpt(value), "number");
  return 0;
}

Duration ObjectReader::duration_at(const std::string& key, std::size_t index, double unit_us) const {
  constexpr double kMaxMicroseconds = json::kMaxMilliseconds * json::kMicrosecondsPerMillisecond;
  const double microseconds = number_at(key, index) * unit_us;
  if (std::abs(microseconds) < kMaxMicroseconds) return Duration(std::llround(microseconds));
  add_error(element_key(key, index), "out of range", "time");
  return {};
}

ObjectReader ObjectReader::object(const std::string& key, Presence presence) const {
  const Json* value = member(key);
  if (value != nullptr && value->is_object()) return {value, path_of(key), findings_};
  add_type_error(key, value, presence, "object");
  return {nullptr, path_of(key), findings_};
}

const Json* ObjectReader::array(const std::string& key, Presence presence) const {
  const Json* value = member(key);
  if (value != nullptr && value->is_array()) return value;
  add_type_error(key, value, presence, "array");
  return nullptr;
}

std::vector<ObjectReader> ObjectReader::objects(const std::string& key, Presence presence) const {
  std::vector<ObjectReader> elements;
  const Json* array = this->array(key, presence);
  for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
    const Json& value = (*array)[i];
    const std::string name = element_key(key, i);
    if (!value.is_object()) add_error(name, excerpt(value), "object");
    elements.emplace_back(value.is_object() ? &value : nullptr, path_of(name), findings_);
  }
  return elements;
}

std::vector<std::string> ObjectReader::strings(const std::string& key, Presence presence) const {
  std::vector<std::string> elements;
  const Json* array = this->array(key, presence);
  for (std::size_t i = 0; array != nullptr && i < array->size(); ++i) {
    const Json& value = (*array)[i];
    if (!value.is_string()) add_error(element_key(key, i), excerpt(value), "text");
    elements.push_back(value.is_string() ? value.get<std::string>() : std::string());
  }
  return elements;
}

void ObjectReader::add_error(const std::string& key, std::string problem, std::string expected) const {
  add({Severity::kError, path_of(key), std::move(problem), std::move(expected)});
}

void ObjectReader::add_type_error(const std::string& key, const Json* value, Presence presence,
                                  const char* expected) const {
  if (value != nullptr) {
    add_error(key, excerpt(*value), expected);
  } else if (presence == Presence::kRequired) {
    add_error(key, "missing", expected);
  }
}

void ObjectReader::add(Finding finding) const {
  const bool is_reported = std::any_of(findings_.begin(), findings_.end(), [&](const Finding& earlier) {
    return earlier.field == finding.field;
  });
  if (object_ != nullptr && !is_reported) findings_.push_back(std::move(finding));
}

const Json* ObjectReader::member(const std::string& key) const {
  return object_ == nullptr ? nullptr : json::find_member(*object_, key);
}

std::string ObjectReader::path_of(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

}  // namespace dispatcher::settings
