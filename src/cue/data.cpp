#include "cue/data.hpp"

#include <algorithm>
#include <stdexcept>

namespace dispatcher::cue {

namespace {
template <class T>
const T& need(const T* value, const std::string& path, const char* what) {
  if (value == nullptr) throw std::logic_error("record: " + path + " is not " + what);
  return *value;
}
}  // namespace

const Data& Data::operator[](std::string_view field) const {
  static const Data absent;
  const auto* all = std::get_if<Fields>(&content_);
  if (all == nullptr) return absent;
  const auto it = std::find_if(all->begin(), all->end(), [&](const auto& f) { return f.first == field; });
  return it == all->end() ? absent : it->second;
}

bool Data::is_null() const { return scalar<Null>() != nullptr; }
const std::string& Data::text() const { return need(scalar<std::string>(), path_, "text"); }
std::int64_t Data::integer() const { return need(scalar<std::int64_t>(), path_, "a whole number"); }
bool Data::flag() const { return need(scalar<bool>(), path_, "true or false"); }
const Data::Items& Data::items() const { return need(std::get_if<Items>(&content_), path_, "a list"); }
const Data::Fields& Data::fields() const { return need(std::get_if<Fields>(&content_), path_, "a struct"); }

double Data::real() const {
  const auto* whole = scalar<std::int64_t>();
  return whole != nullptr ? static_cast<double>(*whole) : need(scalar<double>(), path_, "a number");
}

}  // namespace dispatcher::cue
