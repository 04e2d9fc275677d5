// Decodes the simulator's messages to events of the decision module.
#ifndef DISPATCHER_ADAPTER_EVENT_DECODER_HPP_
#define DISPATCHER_ADAPTER_EVENT_DECODER_HPP_

#include <optional>
#include <string>

#include "json/members.hpp"
#include "routing/router.hpp"

namespace dispatcher::simulator_adapter {

using json::Json;

// The endpoint list of a message; its entries are those of `page`, which must be an array. A list of kind
// kFailed has none. Throws json::ParseError.
[[nodiscard]] routing::EndpointList decode_endpoint_list(const Json& message, const Json& page);

// The event of any other message, by the message's name. Empty: the name is unknown, and the message must be
// ignored. Throws json::ParseError.
[[nodiscard]] std::optional<routing::Event> decode_event(const std::string& name, const Json& message);

}  // namespace dispatcher::simulator_adapter

#endif  // DISPATCHER_ADAPTER_EVENT_DECODER_HPP_
