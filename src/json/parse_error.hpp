// The error of a malformed JSON message: what is wrong, and with which field.
#ifndef DISPATCHER_JSON_PARSE_ERROR_HPP_
#define DISPATCHER_JSON_PARSE_ERROR_HPP_

#include <stdexcept>
#include <string>

namespace dispatcher::json {

/// What is wrong with a message.
enum class ParseProblem {
  kInvalidDocument,  // the message, not one field of it; the detail describes how
  kMissingField,     // a required field is absent or null
  kUnexpectedValue,  // a field has another type, or is out of range; the detail is what was expected
  kWrongType,        // a field that must be an object or an array has another type
  kInvalidValue,     // a field has the right type and an unusable value; the detail describes why
};

/// The text of an error, which names the field. `detail`: see ParseProblem; ignored where that has none.
[[nodiscard]] std::string describe(ParseProblem problem, const std::string& field, const std::string& detail);

/// A malformed message, which must be rejected completely. what() is the text of describe().
class ParseError : public std::runtime_error {
 public:
  /// `field`: its key; empty for kInvalidDocument.
  explicit ParseError(ParseProblem problem, std::string field = {}, const std::string& detail = {});

  [[nodiscard]] ParseProblem problem() const { return problem_; }
  [[nodiscard]] const std::string& field() const { return field_; }

 private:
  ParseProblem problem_;
  std::string field_;
};

}  // namespace dispatcher::json

#endif  // DISPATCHER_JSON_PARSE_ERROR_HPP_
