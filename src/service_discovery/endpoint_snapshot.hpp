// The JSON format of endpoint lists in service discovery, in the configuration and in a hot restart.
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

// The endpoints at one version of service discovery's list: all of them, or only those that changed.
struct EndpointSnapshot {
  std::uint64_t version = 0;  // grows with each change; 0 if it is unknown
  upstream::ListScope scope = upstream::ListScope::kChanges;
  routing::EndpointList list;
  std::vector<upstream::EndpointAddress> addresses;  // one for each of list.entries, in the same order
};

// The reason why a list of endpoints can't be used.
enum class SnapshotProblem {
  // Problems of the list as a whole.
  kNotAnObject,
  kNotComplete,  // only changes were listed where a complete list was requested
  // Problems of one field.
  kNotText,
  kNotANumber,
  kNumberOutOfRange,
  kNotABoolean,
  kUnknownState,
  kNotAnAddress,
  kNotAnArray,
  kNotObjects,
};

// Thrown for a list of endpoints that can't be used. what() names the field and the problem, for the
// operators' log.
class SnapshotError : public std::invalid_argument {
 public:
  // `field` is the platform's name of the field. It is empty if the problem concerns the list as a whole.
  explicit SnapshotError(SnapshotProblem problem, std::string field = "");

  [[nodiscard]] SnapshotProblem problem() const { return problem_; }
  [[nodiscard]] const std::string& field() const { return field_; }

 private:
  SnapshotProblem problem_;
  std::string field_;
};

// Parses a list of endpoints. Ignores unknown fields. Throws SnapshotError if the list can't be used.
[[nodiscard]] EndpointSnapshot parse_endpoint_snapshot(const nlohmann::json& object);
// Returns the JSON form of `snapshot`, which parse_endpoint_snapshot() reads.
[[nodiscard]] nlohmann::json to_json(const EndpointSnapshot& snapshot);
// Replaces `snapshot` by a complete update, or applies an update of changes to it. A complete `snapshot`
// stays complete.
void apply_update(EndpointSnapshot& snapshot, const EndpointSnapshot& update);

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_SNAPSHOT_HPP_
