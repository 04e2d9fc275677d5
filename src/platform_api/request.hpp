// Parsing of the platform's request headers into a routing request.
#ifndef DISPATCHER_PLATFORM_API_REQUEST_HPP_
#define DISPATCHER_PLATFORM_API_REQUEST_HPP_

#include "engine/timer_queue.hpp"
#include "http/message_reader.hpp"
#include "platform_api/header_error.hpp"
#include "routing/router.hpp"

namespace dispatcher::platform_api {

/// Returns the routing request that the headers describe. Its deadline is counted from `arrival`. Throws
/// HeaderError at the first invalid field.
[[nodiscard]] routing::Request parse_request(const http::RequestReader::Message& request,
                                             const routing::Settings& settings, engine::Time arrival);

}  // namespace dispatcher::platform_api

#endif  // DISPATCHER_PLATFORM_API_REQUEST_HPP_
