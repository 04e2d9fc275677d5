// What the API frontends share: a server on one side, the engine on the other, admission in between.
#ifndef DISPATCHER_HTTP_FRONTEND_HPP_
#define DISPATCHER_HTTP_FRONTEND_HPP_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "degradation/degradation_controller.hpp"
#include "engine/engine.hpp"
#include "http/server.hpp"
#include "rate_limit/rate_limiter.hpp"

namespace dispatcher::http {

/// What every frontend is built on. The references must outlive the frontend.
struct FrontendContext {
  boost::asio::io_context& io;
  engine::Engine& engine;
  engine::TimerQueue& timers;
  engine::Clock clock;
  ServerOptions options = {};
  /// May be empty; see Server.
  DescriptorReclaimer reclaim_descriptor = {};
};

/// Translates between one API's protocol and the engine, and knows which client waits for which request of
/// the engine. Owned by the daemon and used on its event loop only. A client's SlotId is the server's handle;
/// it is also the handle under which the engine answers.
class Frontend : private Server::Handler, private engine::ResponseSink {
 public:
  /// Listens at `address` once server().open() is called.
  Frontend(const FrontendContext& context, const net::tcp::endpoint& address);
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  /// The server that the clients are connected to. Owned by the frontend.
  [[nodiscard]] Server& server() { return server_; }
  /// Identifies this frontend's requests to the engine.
  [[nodiscard]] const engine::ResponseSink& response_sink() const { return *this; }

  /// Continues a stream that began in another process: `socket` is its client's, `id` the request's id,
  /// `endpoint` the replica it comes from. Returns the engine's handle of the request.
  SlotId adopt_stream(net::UniqueFd socket, const engine::RequestId& id, const engine::EndpointId& endpoint);
  /// To be called after the client's stream was handed to another process.
  void forget_detached_stream(SlotId client) { forget_request(client); }

  /// Every request is checked by these before the engine gets it. Both are optional and must outlive the
  /// frontend.
  void attach(rate_limit::RateLimiter& rate_limiter) { rate_limiter_ = &rate_limiter; }
  /// As above.
  void attach(degradation::DegradationController& degradation) { degradation_ = &degradation; }

 protected:
  /// Hands a request to the engine, which may answer it before this returns.
  void submit(SlotId client, const routing::Request& request,
              std::shared_ptr<const engine::UpstreamRequest> message);
  /// Applies rate limits and load shedding to a request; the rules may change its class, account and session.
  /// `facts` holds what only the API knows. Returns false where the request was rejected, which
  /// reject_rate_limited() or reject_overloaded() has answered.
  [[nodiscard]] bool admit(SlotId client, const Server::Request& http_request, routing::Request& request,
                           rate_limit::RequestAttributes facts, const routing::Settings& settings);
  /// Answers a request that exceeds a rate limit.
  virtual void reject_rate_limited(SlotId client, engine::Duration retry_after) = 0;
  /// Answers a request that is shed at the current degradation level.
  virtual void reject_overloaded(SlotId client, engine::Duration retry_after) = 0;

  /// What a request is routed by. Views into the request.
  struct Target {
    std::string_view method;
    std::string_view path;  // without the query
  };
  /// Valid as long as the request.
  [[nodiscard]] static Target target_of(const Server::Request& request);
  /// Answers a health check: 200, or 503 while the server drains.
  void respond_health(SlotId client);

  /// Cancels the request of a client that disconnected, or that is answered without the engine.
  void cancel_request(SlotId client);
  /// Drops what is kept for a client's request: it is answered, or its client has disconnected.
  virtual void forget_request(SlotId client);

  engine::Clock clock_;
  Server server_;
  engine::Engine& engine_;

 private:
  bool is_client_connected(SlotId client) override { return server_.is_connected(client); }
  void on_disconnected(SlotId client) override { cancel_request(client); }
  void on_writable(SlotId client) override;

  [[nodiscard]] bool has_admission_rules() const;
  void add_request_facts(const Server::Request& http_request, const routing::Request& request,
                         engine::Time now, rate_limit::RequestAttributes& facts) const;

  std::map<SlotId, SlotId> requests_;  // by client: its request in the engine
  rate_limit::RateLimiter* rate_limiter_ = nullptr;
  degradation::DegradationController* degradation_ = nullptr;
  std::map<SlotId, rate_limit::Ticket> tickets_;  // by client: what its request counts for
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_FRONTEND_HPP_
