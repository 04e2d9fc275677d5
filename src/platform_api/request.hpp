// The platform's request headers, parsed into a routing request.
#ifndef DISPATCHER_PLATFORM_API_REQUEST_HPP_
#define DISPATCHER_PLATFORM_API_REQUEST_HPP_

#include "engine/timer_queue.hpp"
#include "http/message_reader.hpp"
#include "routing/router.hpp"

namespace dispatcher::platform_api {

/// The routing request that the headers describe; its deadline counts from `arrival`. Throws
/// std::invalid_argument, whose text names the header and is fit for the client.
[[nodiscard]] routing::Request parse_request(const http::RequestReader::Message& request,
                                             const routing::Settings& settings, engine::Time arrival);

}  // namespace dispatcher::platform_api

#endif  // DISPATCHER_PLATFORM_API_REQUEST_HPP_
