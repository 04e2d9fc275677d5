#include "cue/schema.hpp"

#include <algorithm>

#include "cue/unify.hpp"

namespace dispatcher::cue {

namespace {

// Positions in the schema are none of the file's.
void forget_positions(Expr& e) {
  e.at = {};
  for (Expr& kid : e.kids) forget_positions(kid);
  for (Expr::Field& f : e.fields) {
    f.at = {};
    for (Expr& v : f.value) forget_positions(v);
  }
}

[[noreturn]] void fail(const std::string& name, std::vector<Problem> problems) {
  std::stable_sort(problems.begin(), problems.end(), [](const Problem& a, const Problem& b) {
    return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
  });
  throw Errors(name, std::move(problems));
}

}  // namespace

Schema::Schema(std::string_view cue, const std::string& root) {
  Expr file = parse({"schema", std::string(cue)});
  forget_positions(file);
  Unifier unifier;
  root_ = unifier.evaluate(file, root);
  if (root_ == nullptr || !unifier.problems.empty()) fail("schema", unifier.problems);
}

Data Schema::read(const File& file) const {
  const Expr expr = parse(file);
  Unifier unifier;
  const ValuePtr said = unifier.evaluate(expr);
  const ValuePtr both = said == nullptr ? nullptr : unifier.meet(root_, said);
  const Data data = both == nullptr ? Data() : unifier.decided(both);
  if (!unifier.problems.empty()) fail(file.name, std::move(unifier.problems));
  return data;
}

Problem problem(const Data& at, std::string what) { return {at.where(), at.path(), std::move(what)}; }

}  // namespace dispatcher::cue
