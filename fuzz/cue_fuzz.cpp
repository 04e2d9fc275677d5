// Any bytes as a file of records: read or told of, within the bounds, never more.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "cue/schema.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace dispatcher::cue;
  static const Schema schema(R"cue(
#File: {
	name:   *"" | string
	size:   *10 | (int & >0 & <=100) | null
	tags:   *[] | [...string]
	limits: {[string]: #Limit}
	one?:   #Limit | string
	rest:   _ | *null
	...
}
#Limit: {rate: int & >0, burst: *1 | int}
)cue",
                             "#File");
  try {
    const Data read = schema.read({"f", std::string(reinterpret_cast<const char*>(data), size)});
    if (read["size"].is_null() ? false : read["size"].integer() > 100) std::abort();
  } catch (const Errors& e) {
    if (e.problems.empty() || e.problems.size() > 101) std::abort();
  }
  return 0;
}
