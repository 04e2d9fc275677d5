// Typed access to the settings' JSON that collects findings instead of throwing at the first error, so that
// operators see all errors at once. Internal to the package.
#ifndef DISPATCHER_SETTINGS_OBJECT_READER_HPP_
#define DISPATCHER_SETTINGS_OBJECT_READER_HPP_

#include <span>
#include <string>
#include <utility>
#include <vector>

#include "json/typed_value.hpp"
#include "routing/settings.hpp"
#include "settings/finding.hpp"

namespace dispatcher::settings {

using json::Json;

// The name of an enumerator in the JSON form.
template <class Enum>
struct EnumName {
  const char* name;
  Enum value;
};

// The names of an enumeration's values. The first one is the default. Must not be empty.
template <class Enum>
using EnumNames = std::span<const EnumName<Enum>>;

// Whether a member that is missing or null is an error.
enum class Presence { kRequired, kOptional };

// Reads one object of the settings. If a value is wrong, or is required and missing, adds a finding and
// returns a default. If the object itself is missing, that is the only finding, and all its members have
// their defaults. Refers to the JSON and to the findings, which must outlive it. Lives on the stack of one
// call to parse_settings().
class ObjectReader {
 public:
  // `path` is the path of the object itself; empty at the top level.
  ObjectReader(const Json* object, std::string path, std::vector<Finding>& findings)
      : object_(object), path_(std::move(path)), findings_(findings) {}

  // Returns the value of a member. If it is missing or null, adds an error and returns T's default.
  template <class T>
  [[nodiscard]] T required(const std::string& key) const {
    return read<T>(key, Presence::kRequired, {}, json::type_name<T>(), json::is_convertible<T>,
                   json::convert<T>);
  }
  // Returns the value of a member, or `fallback` if it is missing or null.
  template <class T>
  [[nodiscard]] T optional(const std::string& key, T fallback = {}) const {
    return read<T>(key, Presence::kOptional, std::move(fallback), json::type_name<T>(),
                   json::is_convertible<T>, json::convert<T>);
  }

  // Return the duration that a member holds in milliseconds, or zero if it is missing.
  [[nodiscard]] routing::Duration required_duration(const std::string& key) const;
  [[nodiscard]] routing::Duration optional_duration(const std::string& key) const;

  // Return an element of an array of numbers, or zero if the array is shorter. `unit_us` is the unit of the
  // numbers, in microseconds.
  [[nodiscard]] double number_at(const std::string& key, std::size_t index) const;
  [[nodiscard]] routing::Duration duration_at(const std::string& key, std::size_t index,
                                              double unit_us) const;

  // Return the enumerator whose name a member holds. An unknown name is an error, as the settings can't be
  // applied without it.
  template <class Enum>
  [[nodiscard]] Enum required_enum(const std::string& key, EnumNames<Enum> names) const {
    return parse_enum(key, required<std::string>(key), names, Severity::kError);
  }
  template <class Enum>
  [[nodiscard]] Enum optional_enum(const std::string& key, EnumNames<Enum> names) const {
    return parse_enum(key, optional<std::string>(key, names.front().name), names, Severity::kError);
  }
  // Same, but an unknown name is a warning, as the setting is informative only and a newer version may define
  // the name.
  template <class Enum>
  [[nodiscard]] Enum informative_enum(const std::string& key, EnumNames<Enum> names) const {
    return parse_enum(key, optional<std::string>(key, names.front().name), names, Severity::kWarning);
  }
  // Returns the enumerator of a name that was read from `key`. If the name is unknown, adds a finding and
  // returns the default.
  template <class Enum>
  [[nodiscard]] Enum parse_enum(const std::string& key, const std::string& given, EnumNames<Enum> names,
                                Severity severity) const {
    std::string known;
    for (const EnumName<Enum>& candidate : names) {
      if (given == candidate.name) return candidate.value;
      known += (known.empty() ? "'" : ", '") + std::string(candidate.name) + "'";
    }
    add({severity, path_of(key), "unknown word '" + given + "'", known});
    return names.front().value;
  }

  // Returns a reader of a member that is an object.
  [[nodiscard]] ObjectReader object(const std::string& key, Presence presence) const;
  // Return readers of the elements of an array of objects, and the elements of an array of strings. The
  // result has as many elements as the array, even if some of them are of a wrong type.
  [[nodiscard]] std::vector<ObjectReader> objects(const std::string& key, Presence presence) const;
  [[nodiscard]] std::vector<std::string> strings(const std::string& key, Presence presence) const;

  // Adds an error about a member.
  void add_error(const std::string& key, std::string problem, std::string expected) const;

 private:
  // Adds a finding unless its field has one already, as later findings are consequences of the first.
  void add(Finding finding) const;
  // Adds an error about a member if its value is of a wrong type, or if it is required and `value` is null.
  void add_type_error(const std::string& key, const Json* value, Presence presence,
                      const char* expected) const;
  [[nodiscard]] const Json* member(const std::string& key) const;
  [[nodiscard]] const Json* array(const std::string& key, Presence presence) const;
  [[nodiscard]] std::string path_of(const std::string& key) const;
  [[nodiscard]] routing::Duration read_duration(const std::string& key, Presence presence) const;

  template <class T, class IsConvertible, class Convert>
  T read(const std::string& key, Presence presence, T fallback, const char* expected,
         IsConvertible is_convertible, Convert convert) const {
    const Json* value = member(key);
    if (value != nullptr && is_convertible(*value)) return convert(*value);
    add_type_error(key, value, presence, expected);
    return fallback;
  }

  const Json* object_;
  std::string path_;
  std::vector<Finding>& findings_;
};

}  // namespace dispatcher::settings

#endif  // DISPATCHER_SETTINGS_OBJECT_READER_HPP_
