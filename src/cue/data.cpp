#include "cue/data.hpp"

#include <algorithm>
#include <stdexcept>

namespace dispatcher::cue {

void Data::throw_wrong_kind(const char* expected) const {
  throw std::logic_error("configuration value " + path_ + " is not " + expected);
}

const Data& Data::operator[](std::string_view field) const {
  static const Data absent;
  const auto* fields = std::get_if<Fields>(&content_);
  if (fields == nullptr) return absent;
  const auto it = std::find_if(fields->begin(), fields->end(),
                               [&](const auto& candidate) { return candidate.first == field; });
  return it == fields->end() ? absent : it->second;
}

bool Data::is_null() const { return scalar_if<Null>() != nullptr; }
const std::string& Data::text() const { return scalar<std::string>("a string"); }
std::int64_t Data::integer() const { return scalar<std::int64_t>("an integer"); }
bool Data::flag() const { return scalar<bool>("a bool"); }
const Data::Items& Data::items() const { return require(std::get_if<Items>(&content_), "a list"); }
const Data::Fields& Data::fields() const { return require(std::get_if<Fields>(&content_), "a struct"); }

double Data::real() const {
  const auto* integer = scalar_if<std::int64_t>();
  return integer != nullptr ? static_cast<double>(*integer) : scalar<double>("a number");
}

}  // namespace dispatcher::cue
