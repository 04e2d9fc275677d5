// The error of a malformed JSON message: what is wrong, and with which field.
#ifndef DISPATCHER_JSON_PARSE_ERROR_HPP_
#define DISPATCHER_JSON_PARSE_ERROR_HPP_

#include <stdexcept>
#include <string>

namespace dispatcher::json {

/// What is wrong with a message.
enum class ParseProblem {
  kInvalidDocument,  // the message as a whole is invalid; the detail describes how
  kMissingField,     // a required field is absent or null
  kUnexpectedValue,  // a field has another type, or is out of range; the detail is what was expected
  kWrongType,        // a field that must be an object or an array has another type
  kInvalidValue,     // a field has the right type and an unusable value; the detail describes why
};

/// Returns the text of an error, which names the field unless the whole document is invalid. ParseProblem
/// describes `detail`, which is ignored for a problem that has none.
[[nodiscard]] std::string describe(ParseProblem problem, const std::string& field, const std::string& detail);

/// Thrown for a malformed message, which must be rejected completely. what() returns the text of describe().
class ParseError : public std::runtime_error {
 public:
  /// `field` is the key of the malformed field; empty for kInvalidDocument.
  explicit ParseError(ParseProblem problem, std::string field = {}, const std::string& detail = {});

  [[nodiscard]] ParseProblem problem() const { return problem_; }
  [[nodiscard]] const std::string& field() const { return field_; }

 private:
  ParseProblem problem_;
  std::string field_;
};

}  // namespace dispatcher::json

#endif  // DISPATCHER_JSON_PARSE_ERROR_HPP_
