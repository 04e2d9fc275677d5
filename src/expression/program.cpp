#include "expression/program.hpp"

#include <utility>

#include "expression/code_generator.hpp"
#include "expression/type_checker.hpp"

namespace dispatcher::expression {

Program Program::compile(std::string_view text, const Environment& fields, Kind expected) {
  Program program;
  program.tree_ = check(text, fields, expected);
  GeneratedCode generated = generate_code(program.tree_, fields);
  program.code_ = std::move(generated.bytecode);
  program.max_length_ = generated.max_length;
  program.worst_ns_ = generated.worst_ns;
  return program;
}

std::size_t Program::bytes() const {
  std::size_t bytes = sizeof *this;
  bytes += code_.instructions.size() * sizeof(Instruction);
  bytes += code_.constants.size() * sizeof(Value);
  for (const LookupTable& table : code_.tables)
    bytes += (table.keys.size() + table.values.size()) * sizeof(Value);
  for (const Automaton& automaton : code_.automata) bytes += automaton.bytes();
  for (const auto& string : code_.strings) bytes += sizeof(std::string) + string->size();
  return bytes;
}

}  // namespace dispatcher::expression
