// The frontend of the platform's own API: chat completions that are described by X- headers and streamed
// unchanged.
#ifndef DISPATCHER_PLATFORM_API_FRONTEND_HPP_
#define DISPATCHER_PLATFORM_API_FRONTEND_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "http/frontend.hpp"

namespace dispatcher::platform_api {

using net::SlotId;

/// Serves POST /v1/chat/completions and GET /healthz. Owned by the daemon and used on its event loop only.
class Frontend : public http::Frontend {
 public:
  /// `settings` contains the request classes that headers may name, and states whether rejections carry a
  /// Retry-After.
  Frontend(const http::FrontendContext& context, const net::tcp::endpoint& address,
           engine::SettingsSnapshot settings);

  /// Replaces the settings for all later requests.
  void apply_settings(engine::SettingsSnapshot settings) { settings_ = std::move(settings); }

 private:
  void on_request(SlotId client, http::Server::Request& request, engine::Time arrival) override;
  std::string error_body(int status, std::string_view message) override;

  void start_stream(SlotId client) override { server_.begin_stream(client); }
  bool write_events(SlotId client, std::string_view events) override {
    return server_.write_events(client, events);
  }
  void finish_stream(SlotId client) override;
  void abort_stream(SlotId client) override;
  void reject(SlotId client, std::optional<engine::Duration> retry_after) override;
  void fail(SlotId client, engine::Failure failure) override;

  void reject_rate_limited(SlotId client, engine::Duration retry_after) override;
  void reject_overloaded(SlotId client, engine::Duration retry_after) override;

  void handle_completion(SlotId client, http::Server::Request& request, engine::Time arrival);
  void respond_retry_later(SlotId client, int status, std::string_view message, engine::Duration retry_after);

  engine::SettingsSnapshot settings_;
};

}  // namespace dispatcher::platform_api

#endif  // DISPATCHER_PLATFORM_API_FRONTEND_HPP_
