// What is said to replicas, and what their answers mean. No I/O.
#ifndef DISPATCHER_UPSTREAM_EXCHANGE_HPP_
#define DISPATCHER_UPSTREAM_EXCHANGE_HPP_

#include <string>
#include <string_view>

#include "engine/engine.hpp"
#include "http/event_framer.hpp"
#include "http/message.hpp"
#include "http/message_reader.hpp"

namespace dispatcher::upstream {

std::string request_text(const engine::UpstreamRequest& message, engine::Duration left);
std::string lease_text(std::string_view method, const std::string& id);

// Takes what an event tells besides its text: a load report, the count of tokens found kept.
void note_event(const std::string& event, engine::AttemptResult& ending);
// What a whole answer means, on top of what its events told. `rest`: what stands after its last whole event.
engine::AttemptResult judge(const http::ResponseReader::Message& message, std::string_view rest,
                            engine::AttemptResult ending);
// One that replicas give as the protocol has it.
bool is_usual(int status);

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_EXCHANGE_HPP_
