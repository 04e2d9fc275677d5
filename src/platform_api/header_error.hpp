// The platform's request header fields, and the error of an invalid one.
#ifndef DISPATCHER_PLATFORM_API_HEADER_ERROR_HPP_
#define DISPATCHER_PLATFORM_API_HEADER_ERROR_HPP_

#include <stdexcept>
#include <string>
#include <string_view>

namespace dispatcher::platform_api {

/// Names of the header fields on the wire.
namespace header_names {
inline constexpr std::string_view kRequestId = "X-Correlation-Id";
inline constexpr std::string_view kRequestClass = "X-Service-Class";
inline constexpr std::string_view kTenant = "X-Account";
inline constexpr std::string_view kSession = "X-Session-Key";
inline constexpr std::string_view kTimeLeft = "X-Time-Left-Ms";
inline constexpr std::string_view kRetry = "X-Repeat";
inline constexpr std::string_view kFacts = "X-Facts";
}  // namespace header_names

/// The reason why a header field's value is rejected.
enum class HeaderProblem { kNotAlphanumeric, kUnknownClass, kNotANumber, kOutOfRange, kIdInProgress };

/// Returns the error message for the client, such as "X-Time-Left-Ms: out of range".
[[nodiscard]] std::string describe(HeaderProblem problem, std::string_view header);

/// Thrown for a request with an invalid header field. what() returns the message of describe() for the
/// client.
class HeaderError : public std::runtime_error {
 public:
  /// `header` is the field's name, followed by the part's name for a part of X-Facts ("X-Facts prefix").
  HeaderError(HeaderProblem problem, std::string_view header)
      : std::runtime_error(describe(problem, header)), problem_(problem), header_(header) {}

  [[nodiscard]] HeaderProblem problem() const { return problem_; }
  [[nodiscard]] const std::string& header() const { return header_; }

 private:
  HeaderProblem problem_;
  std::string header_;
};

}  // namespace dispatcher::platform_api

#endif  // DISPATCHER_PLATFORM_API_HEADER_ERROR_HPP_
