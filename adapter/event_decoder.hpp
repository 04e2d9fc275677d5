// Decodes the simulator's messages to events of the decision module.
#ifndef DISPATCHER_ADAPTER_EVENT_DECODER_HPP_
#define DISPATCHER_ADAPTER_EVENT_DECODER_HPP_

#include <optional>
#include <string>

#include "json/members.hpp"
#include "routing/router.hpp"

namespace dispatcher::simulator_adapter {

using json::Json;

// Decodes the endpoint list of a message. Its entries are those of `page`, which must be an array. A list of
// kind kFailed has no entries, and `page` is not read. Throws json::ParseError.
[[nodiscard]] routing::EndpointList decode_endpoint_list(const Json& message, const Json& page);

// Decodes any other message to an event, by the message's name. Returns empty if the name is unknown; the
// message must then be ignored. Throws json::ParseError.
[[nodiscard]] std::optional<routing::Event> decode_event(const std::string& name, const Json& message);

}  // namespace dispatcher::simulator_adapter

#endif  // DISPATCHER_ADAPTER_EVENT_DECODER_HPP_
