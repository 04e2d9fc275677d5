// The OpenAI-compatible frontend: complete or streamed chat completions, served by the same engine as the
// platform's API.
#ifndef DISPATCHER_OPENAI_API_FRONTEND_HPP_
#define DISPATCHER_OPENAI_API_FRONTEND_HPP_

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "http/frontend.hpp"
#include "openai_api/config.hpp"
#include "openai_api/request.hpp"
#include "openai_api/request_id_generator.hpp"
#include "openai_api/response_translator.hpp"

namespace dispatcher::openai_api {

using net::SlotId;

/// Serves POST /v1/chat/completions, GET /v1/models, GET /v1/models/ID and GET /healthz. Owned by the daemon
/// and used on its event loop only.
class Frontend : public http::Frontend {
 public:
  /// `seed` initializes the request ids. It must differ between the dispatchers of a platform.
  Frontend(const http::FrontendContext& context, const Config& config, std::uint64_t seed);

  /// Replaces models, keys, accounts and limits for all later requests. The address does not change, and
  /// requests in progress keep the configuration that they started with.
  void apply_config(const Config& config) { config_ = config; }

 private:
  // The response to a request that was submitted to the engine.
  struct PendingResponse {
    ResponseTranslator translator;
    routing::Idempotency idempotency;  // whether the client may retry a request that may have run
  };

  void on_request(SlotId client, http::Server::Request& request, engine::Time arrival) override;
  std::string error_body(int status, std::string_view message) override;

  void start_stream(SlotId client) override;
  bool write_events(SlotId client, std::string_view events) override;
  void finish_stream(SlotId client) override;
  void abort_stream(SlotId client) override;
  void reject(SlotId client, std::optional<engine::Duration> retry_after) override;
  void fail(SlotId client, engine::Failure failure) override;

  void reject_rate_limited(SlotId client, engine::Duration retry_after) override;
  void reject_overloaded(SlotId client, engine::Duration retry_after) override;
  void forget_request(SlotId client) override;

  // Returns the account that the request is charged to, or nullopt if its API key is missing or unknown.
  [[nodiscard]] std::optional<std::string> authenticate(const http::Server::Request& request) const;
  void handle_models(SlotId client);
  void handle_model(SlotId client, std::string_view id);
  void handle_completion(SlotId client, http::Server::Request& request, engine::Time arrival,
                         const std::string& account);
  [[nodiscard]] ResponseFormat response_format(const ChatRequest& chat,
                                               const routing::Request& request) const;
  [[nodiscard]] const routing::RequestClass& admitted_class(const routing::Request& request,
                                                            const Model& model) const;

  void respond_error(SlotId client, const ApiError& error,
                     std::initializer_list<http::Header> extra_headers = {});
  void respond_retry_later(SlotId client, const ApiError& error, engine::Duration retry_after);
  void respond_possibly_executed(SlotId client, const ApiError& error, routing::Idempotency idempotency);

  Config config_;
  RequestIdGenerator request_ids_;
  std::map<SlotId, PendingResponse> pending_responses_;  // keyed by client
};

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_FRONTEND_HPP_
