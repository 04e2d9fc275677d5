// What is said to replicas, and what their answers mean. No I/O.
#ifndef BITTERNFERRY_REPLICA_EXCHANGE_HPP_
#define BITTERNFERRY_REPLICA_EXCHANGE_HPP_

#include <string>
#include <string_view>

#include "core/engine.hpp"
#include "http/event_framer.hpp"
#include "http/message.hpp"

namespace bitternferry::replica {

std::string request_text(const core::Message& message, core::Duration left);
std::string lease_text(std::string_view method, const std::string& id);

// Takes what an event tells besides its text: a load report, the count of tokens found kept.
void note_event(const std::string& event, core::Ending& ending);
// What a whole answer means, on top of what its events told. `rest`: what stands after its last whole event.
core::Ending judge(const http::ResponseReader::Message& message, std::string_view rest, core::Ending ending);
// One that replicas give as the protocol has it.
bool is_usual(int status);

}  // namespace bitternferry::replica

#endif  // BITTERNFERRY_REPLICA_EXCHANGE_HPP_
