// The JSON form in which service discovery, the configuration and a hot restart list the endpoints.
#ifndef DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_SNAPSHOT_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_SNAPSHOT_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "routing/router.hpp"
#include "upstream/endpoint.hpp"

namespace dispatcher::service_discovery {

// The endpoints, or those that changed, at one version of service discovery's list.
struct EndpointSnapshot {
  std::uint64_t version = 0;  // grows with each change; 0: unknown
  upstream::ListScope scope = upstream::ListScope::kChanges;
  routing::EndpointList list;
  std::vector<upstream::EndpointAddress> addresses;  // one for each of list.entries, in the same order
};

// What is wrong with a list of endpoints.
enum class SnapshotProblem {
  kNotAnObject,  // the list as a whole
  kNotComplete,  // the list as a whole: a complete one was requested
  kNotText,      // ... and of one field:
  kNotANumber,
  kNumberOutOfRange,
  kNotABoolean,
  kUnknownState,
  kNotAnAddress,
  kNotAnArray,
  kNotObjects,
};

// A list of endpoints that cannot be used. what() names the field and the problem, for the operators' log.
class SnapshotError : public std::invalid_argument {
 public:
  // `field` is the platform's name of the field; empty: the list as a whole.
  explicit SnapshotError(SnapshotProblem problem, std::string field = "");

  [[nodiscard]] SnapshotProblem problem() const { return problem_; }
  [[nodiscard]] const std::string& field() const { return field_; }

 private:
  SnapshotProblem problem_;
  std::string field_;
};

// Throws SnapshotError. Unknown fields are ignored.
[[nodiscard]] EndpointSnapshot parse_endpoint_snapshot(const nlohmann::json& object);
[[nodiscard]] nlohmann::json to_json(const EndpointSnapshot& snapshot);
// Replaces `snapshot` by an update that is complete, or applies the changes to it. `snapshot` stays complete.
void apply_update(EndpointSnapshot& snapshot, const EndpointSnapshot& update);

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_SNAPSHOT_HPP_
