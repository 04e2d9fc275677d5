// The base class of the API frontends, which connects an HTTP server to the engine and applies admission
// rules.
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

/// The dependencies and server options of a frontend. The references must outlive the frontend.
struct FrontendContext {
  boost::asio::io_context& io;
  engine::Engine& engine;
  engine::TimerQueue& timers;
  engine::Clock clock;
  ServerOptions options = {};
  /// May be empty; see Server's constructor.
  DescriptorReclaimer reclaim_descriptor = {};
};

/// Translates between one API's protocol and the engine, and maps each waiting client to its request in the
/// engine. Owned by the daemon and used on its event loop only. A client's SlotId is the server's handle; the
/// engine uses the same handle when it answers.
class Frontend : private Server::Handler, private engine::ResponseSink {
 public:
  /// The server listens at `address` once server().open() is called.
  Frontend(const FrontendContext& context, const net::tcp::endpoint& address);
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  /// Returns the server that the clients are connected to. Owned by the frontend.
  [[nodiscard]] Server& server() { return server_; }
  /// Returns the sink by which the engine identifies this frontend's requests.
  [[nodiscard]] const engine::ResponseSink& response_sink() const { return *this; }

  /// Continues a stream that began in another process. `socket` is the client's socket. Returns the engine's
  /// handle of the request.
  SlotId adopt_stream(net::UniqueFd socket, const engine::AdoptedStream& stream);
  /// Must be called after the client's stream was handed over to another process.
  void forget_detached_stream(SlotId client) { forget_request(client); }

  /// Sets the rate limiter that checks every request before it is submitted to the engine. Optional; must
  /// outlive the frontend.
  void attach(rate_limit::RateLimiter& rate_limiter) { rate_limiter_ = &rate_limiter; }
  /// Sets the controller that sheds requests at the current degradation level. Optional; must outlive the
  /// frontend. It takes effect only together with a rate limiter.
  void attach(degradation::DegradationController& degradation) { degradation_ = &degradation; }

 protected:
  /// Submits a request to the engine, which may answer it before this returns.
  void submit(SlotId client, const routing::Request& request,
              std::shared_ptr<const engine::UpstreamRequest> message);
  /// Applies rate limits and load shedding to a request; the rules may change its class, account and session.
  /// `attributes` holds the attributes that only the API knows. Returns false if the request was rejected, in
  /// which case reject_rate_limited() or reject_overloaded() has answered it.
  [[nodiscard]] bool admit(SlotId client, const Server::Request& http_request, routing::Request& request,
                           rate_limit::RequestAttributes attributes, const routing::Settings& settings);
  /// Answers a request that exceeds a rate limit.
  virtual void reject_rate_limited(SlotId client, engine::Duration retry_after) = 0;
  /// Answers a request that is shed at the current degradation level.
  virtual void reject_overloaded(SlotId client, engine::Duration retry_after) = 0;

  /// The parts of a request that select its handler, as views into the request.
  struct Target {
    std::string_view method;
    std::string_view path;  // without the query string
  };
  /// The result is valid as long as the request.
  [[nodiscard]] static Target target_of(const Server::Request& request);
  /// Answers a health check with 200, or with 503 while the server drains.
  void respond_health(SlotId client);

  /// Cancels the request of a client that disconnected or that is answered without the engine.
  void cancel_request(SlotId client);
  /// Drops the state of a client's request, because it is answered or its client has disconnected.
  virtual void forget_request(SlotId client);

  engine::Clock clock_;
  Server server_;
  engine::Engine& engine_;

 private:
  bool is_client_connected(SlotId client) override { return server_.is_connected(client); }
  void on_disconnected(SlotId client) override { cancel_request(client); }
  void on_writable(SlotId client) override;

  [[nodiscard]] bool has_admission_rules() const;
  void add_request_attributes(const Server::Request& http_request, const routing::Request& request,
                              engine::Time now, rate_limit::RequestAttributes& attributes) const;

  std::map<SlotId, SlotId> requests_;  // the engine's handle of each client's request
  rate_limit::RateLimiter* rate_limiter_ = nullptr;
  degradation::DegradationController* degradation_ = nullptr;
  std::map<SlotId, rate_limit::Ticket> tickets_;  // the rate limiter's ticket of each client's request
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_FRONTEND_HPP_
