// The messages between two processes of one dispatcher during a hot restart, and their JSON form. Both
// processes may be of different releases, so keys stay as they are and unknown ones are ignored.
#ifndef DISPATCHER_HOT_RESTART_HANDOVER_MESSAGES_HPP_
#define DISPATCHER_HOT_RESTART_HANDOVER_MESSAGES_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "engine/interfaces.hpp"
#include "routing/router.hpp"

namespace dispatcher::hot_restart {

using Json = nlohmann::json;

// One of the two processes: the one that serves and is to end, or the one that takes over.
enum class PeerRole { kPredecessor, kSuccessor };

// From the predecessor, as its first message: the state that the successor starts from. The descriptors of
// the listening sockets are attached, in the order of `listener_names`.
struct Handover {
  Json endpoint_list;  // see service_discovery::to_json(); null: none
  std::vector<routing::RequestId> open_request_ids;
  routing::LearnedState learned_state;
  Json degradation_level;  // see DegradationController::status(); null: none
  std::vector<std::string> listener_names;
};

// From the successor: it accepts connections from now on.
struct SuccessorServing {};

// Operators drained an endpoint or returned it to service.
struct AdministrativeStateChanged {
  routing::EndpointId endpoint;
  routing::AdministrativeState state{};
};

// A request was accepted or completed.
struct RequestStatusChanged {
  routing::RequestId id;
  engine::RequestProgress progress = engine::RequestProgress::kCompleted;
};

// A request was forwarded to an endpoint.
struct RequestForwarded {
  routing::EndpointId endpoint;
};

// From the predecessor: a stream that the successor is to continue. The descriptors of the client's and the
// endpoint's sockets are attached, in this order.
struct StreamTransfer {
  routing::RequestId request_id;
  routing::EndpointId endpoint;
  std::string unread;            // bytes of the endpoint's response that were received but not parsed
  std::uint64_t chunk_left = 0;  // bytes of the current HTTP chunk that are not received yet
  bool keep_alive = true;        // the endpoint's connection may be reused after the response
};

// A StreamTransfer that can't be parsed.
struct InvalidStreamTransfer {
  std::string problem;  // for the log
};

// What a dispatcher was in its VRRP group: the active router or a backup.
enum class VrrpRole { kActive, kBackup };

// From the predecessor: it has left the VRRP group.
struct VrrpLeft {
  VrrpRole role = VrrpRole::kBackup;
};

// Any message.
using Message = std::variant<Handover, SuccessorServing, AdministrativeStateChanged, RequestStatusChanged,
                             RequestForwarded, StreamTransfer, InvalidStreamTransfer, VrrpLeft>;

// The JSON form of each message.
[[nodiscard]] Json encode(const Handover& message);
[[nodiscard]] Json encode(const SuccessorServing& message);
[[nodiscard]] Json encode(const AdministrativeStateChanged& message);
[[nodiscard]] Json encode(const RequestStatusChanged& message);
[[nodiscard]] Json encode(const RequestForwarded& message);
[[nodiscard]] Json encode(const StreamTransfer& message);
[[nodiscard]] Json encode(const VrrpLeft& message);
[[nodiscard]] Json encode(const routing::LearnedState& learned_state);

// The shorter form of a Handover that is too long for one packet. It lacks what the successor gets elsewhere:
// the endpoint list from service discovery, and open requests as they complete.
[[nodiscard]] Json encode_without_lists(const Handover& message);

// The messages in a JSON object of the other process; none where no key is known. Does not throw: members
// that can't be parsed keep their defaults.
[[nodiscard]] std::vector<Message> decode(const Json& object, PeerRole sender);
// As above.
[[nodiscard]] routing::LearnedState decode_learned_state(const Json& object);

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_HANDOVER_MESSAGES_HPP_
