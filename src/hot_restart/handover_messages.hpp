// The messages between two processes of one dispatcher during a hot restart, and their JSON form. The two
// processes may be of different releases, so keys must not change and unknown keys are ignored.
#ifndef DISPATCHER_HOT_RESTART_HANDOVER_MESSAGES_HPP_
#define DISPATCHER_HOT_RESTART_HANDOVER_MESSAGES_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "engine/interfaces.hpp"
#include "routing/router.hpp"

namespace dispatcher::hot_restart {

using Json = nlohmann::json;

// The role of a process in a hot restart: the predecessor serves until the successor takes over.
enum class PeerRole { kPredecessor, kSuccessor };

// The first message from the predecessor, with the state that the successor starts from. The descriptors of
// the listening sockets are attached, in the order of `listener_names`.
struct Handover {
  Json endpoint_list;  // see service_discovery::to_json(); null if there is none
  std::vector<routing::RequestId> open_request_ids;
  routing::LearnedState learned_state;
  Json degradation_level;  // see DegradationController::status(); null if there is none
  std::vector<std::string> listener_names;
  // The predecessor's clock, in which the times of the learned state are, minus the system's monotonic clock.
  // Unknown if the predecessor is of a release that does not send it.
  std::optional<std::chrono::microseconds> clock_offset = std::nullopt;
};

// Sent by the successor when it starts to accept connections.
struct SuccessorServing {};

// Sent by a successor that ends and has a serving successor of its own, to which later processes connect.
struct SuccessorReplaced {};

// Sent when operators drain an endpoint or return it to service.
struct AdministrativeStateChanged {
  routing::EndpointId endpoint;
  routing::AdministrativeState state{};
};

// Sent when a request is accepted or completed.
struct RequestStatusChanged {
  routing::RequestId id;
  engine::RequestProgress progress = engine::RequestProgress::kCompleted;
};

// Sent when a request is forwarded to an endpoint.
struct RequestForwarded {
  routing::EndpointId endpoint;
};

// Sent by the predecessor to transfer a stream that the successor continues. The descriptors of the client's
// and the endpoint's sockets are attached, in this order.
struct StreamTransfer {
  routing::RequestId request_id;
  routing::EndpointId endpoint;
  std::string unread;            // bytes of the endpoint's response that are received but not parsed
  std::uint64_t chunk_left = 0;  // bytes of the current HTTP chunk that are not received yet
  bool keep_alive = true;        // whether the endpoint's connection may be reused after the response
  // Since when the next event is awaited, by the system's monotonic clock. Unknown if the predecessor is of a
  // release that does not send it.
  std::optional<std::chrono::microseconds> silent_since = std::nullopt;
};

// Result of decoding a StreamTransfer that can't be parsed.
struct InvalidStreamTransfer {
  std::string problem;  // for the log
};

// Sent by a predecessor that shuts down, whenever the numbers change: the most connections that it will have
// from now on. The successor may use the others.
struct ConnectionsInUse {
  std::size_t clients = 0;
  std::size_t endpoints = 0;
  bool operator==(const ConnectionsInUse&) const = default;
};

// The role of a dispatcher in its VRRP group: the active router or a backup.
enum class VrrpRole { kActive, kBackup };

// Sent by the predecessor when it has left the VRRP group, with the role that it had. If it was the active
// router, the descriptor of the socket that listens at the shared address is attached.
struct VrrpLeft {
  VrrpRole role = VrrpRole::kBackup;
  // When a backup takes over unless it receives an advertisement, by the system's monotonic clock. Unknown if
  // the predecessor is of a release that does not send it.
  std::optional<std::chrono::microseconds> active_down_at = std::nullopt;
};

// Any message.
using Message = std::variant<Handover, SuccessorServing, SuccessorReplaced, AdministrativeStateChanged,
                             RequestStatusChanged, RequestForwarded, StreamTransfer, InvalidStreamTransfer,
                             VrrpLeft, ConnectionsInUse>;

// Returns the JSON form of a message or of the learned state in it.
[[nodiscard]] Json encode(const Handover& message);
[[nodiscard]] Json encode(const SuccessorServing& message);
[[nodiscard]] Json encode(const SuccessorReplaced& message);
[[nodiscard]] Json encode(const AdministrativeStateChanged& message);
[[nodiscard]] Json encode(const RequestStatusChanged& message);
[[nodiscard]] Json encode(const RequestForwarded& message);
[[nodiscard]] Json encode(const StreamTransfer& message);
[[nodiscard]] Json encode(const VrrpLeft& message);
[[nodiscard]] Json encode(const ConnectionsInUse& message);
[[nodiscard]] Json encode(const routing::LearnedState& learned_state);

// Returns the shorter form of a Handover that is too long for one packet. It omits what the successor gets in
// other ways: the endpoint list from service discovery, and the open requests in messages of their own.
[[nodiscard]] Json encode_without_lists(const Handover& message);
// Returns the form of a Handover whose learned state, too, is too long. The successor learns it anew.
[[nodiscard]] Json encode_without_learned_state(const Handover& message);

// Returns the messages in a JSON object from the other process, or none if no key is known. Doesn't throw:
// members that can't be parsed keep their defaults.
[[nodiscard]] std::vector<Message> decode(const Json& object, PeerRole sender);
// Returns the learned state that a JSON object encodes. Doesn't throw, as above.
[[nodiscard]] routing::LearnedState decode_learned_state(const Json& object);

}  // namespace dispatcher::hot_restart

#endif  // DISPATCHER_HOT_RESTART_HANDOVER_MESSAGES_HPP_
