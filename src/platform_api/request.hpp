// The platform's request headers, parsed into a routing request.
#ifndef DISPATCHER_PLATFORM_API_REQUEST_HPP_
#define DISPATCHER_PLATFORM_API_REQUEST_HPP_

#include "engine/timer_queue.hpp"
#include "http/message_reader.hpp"
#include "platform_api/header_error.hpp"
#include "routing/router.hpp"

namespace dispatcher::platform_api {

/// The routing request that the headers describe; its deadline counts from `arrival`. Throws HeaderError at
/// the first invalid field.
[[nodiscard]] routing::Request parse_request(const http::RequestReader::Message& request,
                                             const routing::Settings& settings, engine::Time arrival);

}  // namespace dispatcher::platform_api

#endif  // DISPATCHER_PLATFORM_API_REQUEST_HPP_
