/// Identifiers of endpoints and requests: text that names one thing. Each kind of thing has its own type, so
/// that the compiler tells them apart.
#ifndef DISPATCHER_ROUTING_IDENTIFIERS_HPP_
#define DISPATCHER_ROUTING_IDENTIFIERS_HPP_

#include <compare>
#include <concepts>
#include <cstddef>
#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <utility>

namespace dispatcher::routing {

/// Text that names one thing of the kind `Tag`. Text converts implicitly to an identifier, for the places
/// where it is parsed. An identifier converts to text only by value(), and never to another kind of
/// identifier. Compares, orders and hashes like its text. A value type: copies share nothing.
template <class Tag>
class Identifier {
 public:
  /// Creates an empty identifier, which names nothing.
  Identifier() = default;
  Identifier(std::string text) : text_(std::move(text)) {}
  Identifier(std::string_view text) : text_(text) {}
  Identifier(const char* text) : text_(text) {}

  [[nodiscard]] const std::string& value() const { return text_; }
  [[nodiscard]] bool empty() const { return text_.empty(); }

  friend bool operator==(const Identifier&, const Identifier&) = default;
  friend std::strong_ordering operator<=>(const Identifier&, const Identifier&) = default;

  /// Compares with text without copying it.
  template <std::convertible_to<std::string_view> Text>
  friend bool operator==(const Identifier& left, const Text& right) {
    return std::string_view(left.text_) == std::string_view(right);
  }
  template <std::convertible_to<std::string_view> Text>
  friend std::strong_ordering operator<=>(const Identifier& left, const Text& right) {
    return std::string_view(left.text_) <=> std::string_view(right);
  }

  /// Writes the text, so that a failed test can print it.
  friend std::ostream& operator<<(std::ostream& out, const Identifier& id) { return out << id.text_; }

 private:
  std::string text_;
};

/// Names an endpoint, as service discovery does.
using EndpointId = Identifier<struct EndpointTag>;

/// Names a cell: endpoints of one zone that share a fast network. The number identifies it within the zone.
struct CellId {
  std::string zone;
  int cell = 0;
  auto operator<=>(const CellId&) const = default;
};

/// Names a request. The id comes from the client's message, or the frontend generates it.
using RequestId = Identifier<struct RequestTag>;

}  // namespace dispatcher::routing

/// Hashes the text. Not noexcept, because computing the hash is not cheap: the standard library's tables then
/// store the hash of each entry, as they do for text.
template <class Tag>
struct std::hash<dispatcher::routing::Identifier<Tag>> {
  [[nodiscard]] std::size_t operator()(const dispatcher::routing::Identifier<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // DISPATCHER_ROUTING_IDENTIFIERS_HPP_
