// Every allocation of the test program is counted. In a file of its own, so that no compiler pairs what it
// can't.
#include "allocations.hpp"

#include <cstdlib>
#include <new>

namespace dispatcher::testing {
std::size_t allocations = 0;
}

#ifndef __SANITIZE_ADDRESS__  // its allocator checks that new and free are not paired
void* operator new(std::size_t size) {
  ++dispatcher::testing::allocations;
  if (void* block = std::malloc(size)) return block;
  throw std::bad_alloc();
}
void operator delete(void* block) noexcept { std::free(block); }
void operator delete(void* block, std::size_t) noexcept { std::free(block); }
#endif
