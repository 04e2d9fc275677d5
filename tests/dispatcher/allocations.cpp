// Every allocation of the test program is counted. The operators stand in a file of their own, where the
// compiler sees no caller: inlined into one, it would warn that malloc() does not match delete.
#include "allocations.hpp"

#include <cstdlib>
#include <new>

namespace dispatcher::testing {
std::size_t allocations = 0;
}

void* operator new(std::size_t size) {
  ++dispatcher::testing::allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
