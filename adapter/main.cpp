// The wire host: reads batches on standard input, writes replies on standard output.
#include <iostream>
#include <string>

#include "wire.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  dispatcher::wire::Session session;
  std::string line;
  long number = 0;
  while (std::getline(std::cin, line)) {
    ++number;
    try {
      if (const auto reply = session.feed(line)) std::cout << *reply << std::flush;
    } catch (const std::exception& e) {
      std::cerr << "line " << number << ": " << e.what() << "\n";
      return 1;
    }
  }
  return 0;
}
