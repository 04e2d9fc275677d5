// CUE's values as far as the subset goes, and their unification: the most general value that is an instance
// of both. A value may still be open (a type, a bound, a choice); decided() takes the defaults.
#ifndef DISPATCHER_CUE_UNIFY_HPP_
#define DISPATCHER_CUE_UNIFY_HPP_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cue/data.hpp"
#include "cue/syntax.hpp"

namespace re2 {
class RE2;
}

namespace dispatcher::cue {

struct Value;
using ValuePtr = std::shared_ptr<const Value>;  // never changed once made

enum Kinds : unsigned {
  kNullKind = 1,
  kBoolKind = 2,
  kIntKind = 4,
  kFloatKind = 8,
  kStringKind = 16,
  kStructKind = 32,
  kListKind = 64,
  kNumberKinds = kIntKind | kFloatKind,
  kAllKinds = 127
};

struct Bound {
  std::string op;
  Scalar operand;
  std::shared_ptr<const re2::RE2> regex;  // of =~ and !~
};

struct Value {
  struct Member {
    std::string label;
    bool optional = false;
    Position at;
    ValuePtr value;
  };
  struct Choice {
    ValuePtr value;
    bool preferred = false;  // marked *
  };
  Position at;
  unsigned kinds = kAllKinds;  // what it can still become
  std::optional<Scalar> scalar;
  std::vector<Bound> bounds;
  std::vector<Member> members;
  std::vector<ValuePtr> patterns;  // what every field must be, whatever its name
  bool closed = false;             // no fields but the members and what patterns allow
  std::vector<ValuePtr> items;
  ValuePtr rest;  // of a list: what may follow; none: nothing
  std::vector<Choice> choices;
};

// One file's evaluation. Problems collect in `problems`; work past the bound ends it with one more.
class Unifier {
 public:
  // The struct that the file is, without its definitions; `definition`: one of them instead.
  ValuePtr evaluate(const Expr& file, const std::string& definition = {});
  ValuePtr meet(const ValuePtr& expected, const ValuePtr& found);  // none: reported
  Data decided(const ValuePtr& value);                             // what is still open is reported
  std::vector<Problem> problems;

 private:
  class Step;
  ValuePtr unify(const ValuePtr& expected, const ValuePtr& found);
  ValuePtr value(const Expr& expression, bool closed);
  ValuePtr structure(const Expr& expression, bool closed);
  ValuePtr reference(const Expr& expression);
  ValuePtr bound(const Expr& expression);
  ValuePtr choice(const ValuePtr& expected, const ValuePtr& found);
  ValuePtr structs(const ValuePtr& left, const ValuePtr& right);
  ValuePtr lists(const ValuePtr& left, const ValuePtr& right);
  ValuePtr scalars(const ValuePtr& left, const ValuePtr& right);
  ValuePtr quietly(const ValuePtr& left, const ValuePtr& right);
  ValuePtr conflict(const ValuePtr& expected, const ValuePtr& found);
  Data decided(const ValuePtr& value, Position within);
  void report(Position at, std::string what);
  [[nodiscard]] std::string path() const;

  std::map<std::string, const Expr*> definitions_;
  std::map<std::string, ValuePtr> evaluated_;
  std::set<std::string> evaluating_;
  std::vector<std::string> path_;
  std::size_t work_ = 0, decided_ = 0, quiet_ = 0;
};

std::string describe(const Value& value);  // as errors tell what was expected or found

}  // namespace dispatcher::cue

#endif  // DISPATCHER_CUE_UNIFY_HPP_
