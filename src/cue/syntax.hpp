// The grammar of the files under deploy/: a subset of CUE, JSON included, read into a tree of expressions.
// docs/design/matching.md has the subset. Nothing is evaluated here.
#ifndef DISPATCHER_CUE_SYNTAX_HPP_
#define DISPATCHER_CUE_SYNTAX_HPP_

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace dispatcher::cue {

inline constexpr std::size_t kMaxBytes = 8U << 20U;  // of one file
inline constexpr std::size_t kMaxNesting = 48;       // of values in one another, brackets included

// Where something stands. Lines and columns count from 1, columns in bytes. Line 0: the program's own schema.
struct Position {
  std::uint32_t line = 0, column = 0;
  [[nodiscard]] bool in_file() const { return line != 0; }
};

struct File {
  std::string name;  // as errors are to tell it
  std::string text;
};

// Something wrong with a file. `path`: the field's, as `rules[2].limit.rate`; empty where there is none.
struct Problem {
  Position at;
  std::string path, what;
};
std::string to_text(const std::string& file, const Problem& problem);  // file:line:column: path: what

// All that is wrong with a file, a line each.
struct Errors : std::runtime_error {
  Errors(const std::string& file, std::vector<Problem> all);
  std::vector<Problem> problems;
};

enum class Syntax {
  kNull,
  kBool,
  kInt,
  kFloat,
  kString,
  kType,       // text: null, bool, int, float, number, string
  kTop,        // _
  kBottom,     // _|_
  kReference,  // text: #Name or _name
  kBound,      // text: the operator; kids: its operand
  kAnd,
  kOr,
  kDefault,  // one alternative of kOr; kids: the value
  kStruct,
  kList
};

struct Expr {
  struct Field {
    enum class Kind { kPlain, kOptional, kDefinition, kPattern };  // kPattern: [string]: value
    Kind kind{};
    Position at;
    std::string label;
    std::vector<Expr> value;  // one
  };
  Syntax kind{};
  Position at;
  std::string text;
  std::int64_t integer = 0;  // also a boolean
  double real = 0;
  std::vector<Expr> kids;     // operands, a list's elements
  std::vector<Field> fields;  // a struct's
  bool open = false;          // ends in "..."; of a list, kids.back() is then what the rest must be
};

// The file as one struct. Throws Errors with all that is wrong with its syntax; after one fault reading goes
// on at the next line that begins a field. Its work is bounded by a multiple of the text's length.
Expr parse(const File& file);

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_SYNTAX_HPP_
