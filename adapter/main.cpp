// The simulator's adapter as a program: reads batches on standard input and writes replies to standard
// output. Exits with status 1 at the first malformed line, after writing the number of the line and the error
// to standard error.
#include <exception>
#include <iostream>
#include <string>

#include "adapter/simulator_session.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  dispatcher::simulator_adapter::SimulatorSession session;
  std::string input;
  long line_number = 0;
  while (std::getline(std::cin, input)) {
    ++line_number;
    try {
      if (const auto replies = session.handle_line(input)) std::cout << *replies << std::flush;
    } catch (const std::exception& error) {
      std::cerr << "line " << line_number << ": " << error.what() << "\n";
      return 1;
    }
  }
  return 0;
}
