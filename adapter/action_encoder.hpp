// Encodes actions of the decision module as replies to the simulator.
#ifndef DISPATCHER_ADAPTER_ACTION_ENCODER_HPP_
#define DISPATCHER_ADAPTER_ACTION_ENCODER_HPP_

#include <string>

#include "routing/router.hpp"

namespace dispatcher::simulator_adapter {

// Encodes an action of the named dispatcher as one line of JSON, without the line break.
[[nodiscard]] std::string encode_action(const std::string& dispatcher, const routing::Action& action);

// Encodes the reply for a dispatcher that can't start because its settings are invalid.
[[nodiscard]] std::string encode_start_failure(const std::string& dispatcher, const std::string& reason);

// Encodes the reply that ends the replies to one batch.
[[nodiscard]] std::string encode_end_of_batch();

}  // namespace dispatcher::simulator_adapter

#endif  // DISPATCHER_ADAPTER_ACTION_ENCODER_HPP_
