// Fuzz target for the reader of configuration files: any bytes are either read or rejected with a bounded
// number of problems.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "cue/schema.hpp"

namespace {

constexpr std::int64_t kMaxSize = 100;             // limit of `size` in the schema below
constexpr std::size_t kMaxReportedProblems = 101;  // the limit on problems, and the problem that reports it

}  // namespace

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
    const Data file = schema.read({"f", std::string(reinterpret_cast<const char*>(data), size)});
    const Data& bounded = file["size"];
    if (!bounded.is_null() && bounded.integer() > kMaxSize) std::abort();
  } catch (const Errors& errors) {
    if (errors.problems.empty() || errors.problems.size() > kMaxReportedProblems) std::abort();
  }
  return 0;
}
