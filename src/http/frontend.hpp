// What the two fronts share: a server on one side, the core on the other, and which client waits for which
// request.
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

class Frontend : private Server::Handler, private engine::ResponseSink {
 public:
  Frontend(boost::asio::io_context& io, const net::tcp::endpoint& at, engine::Engine& engine,
           engine::TimerQueue& timers, engine::Clock clock, const ServerOptions& options,
           std::function<bool()> shed)
      : clock_(clock),
        server_(io, at, *this, timers, std::move(clock), options, std::move(shed)),
        engine_(engine) {}
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;
  Server& server() { return server_; }
  [[nodiscard]] const engine::ResponseSink& response_sink() const { return *this; }
  // A stream that began at another process goes on here.
  SlotId take_over(net::UniqueFd socket, const std::string& id, const std::string& endpoint) {
    const SlotId client = server_.adopt(std::move(socket));
    return requests_[client] = engine_.adopt_stream(*this, client, id, endpoint);
  }
  void forget_given(SlotId client) { forget(client); }
  // Every request passes this gate before it is taken.
  void attach(rate_limit::RateLimiter& rate_limiter) { rate_limiter_ = &rate_limiter; }
  void attach(degradation::DegradationController& levels) { levels_ = &levels; }

 protected:
  // Hands a request to the core, which may answer it before this returns.
  void submit(SlotId client, const routing::Request& request,
              std::shared_ptr<const engine::UpstreamRequest> message) {
    const SlotId id = engine_.submit(*this, client, request, std::move(message));
    if (engine_.is_unanswered(id)) requests_[client] = id;
  }
  // Has the rules judge a request, which gets what they compute. False: it is refused, and limited()
  // answered.
  bool admit(SlotId client, const Server::Request& http, routing::Request& request,
             rate_limit::RequestAttributes facts, const routing::Settings& settings) {
    const bool rules = rate_limiter_ != nullptr && rate_limiter_->rules() != nullptr;
    if (rate_limiter_ == nullptr || (!rules && (levels_ == nullptr || !levels_->active()))) return true;
    const engine::Time now = clock_();
    facts.request_class = request.request_class;
    facts.account = request.tenant;
    facts.session = request.session;
    facts.prompt_tokens = request.prompt_tokens;
    facts.shared_tokens = request.prefix_tokens;
    facts.max_tokens = request.max_tokens;
    facts.time_left_ms = (request.client_deadline - now).count() / 1000;
    facts.is_retry = request.client_retry;
    static const std::vector<rate_limit::Header> none;
    for (const rate_limit::Header& wanted : rules ? rate_limiter_->rules()->headers() : none) {
      // One that comes twice has no one value: it counts as absent.
      const auto [first, last] = http.equal_range({wanted.name.data(), wanted.name.size()});
      const bool once = first != last && std::next(first) == last;
      facts.headers.push_back(
          once ? std::optional(std::string_view(first->value().data(), first->value().size()))
               : std::nullopt);
    }
    bool shed = false;
    const rate_limit::RateLimiter::ShedCheck shed_check =
        [&](const routing::Request& judged) -> std::optional<engine::Duration> {
      if (levels_ == nullptr) return std::nullopt;
      const auto retry_after = levels_->shed(judged, facts);
      shed = retry_after.has_value();
      return retry_after;
    };
    rate_limit::RateLimiter::Admission admission =
        rate_limiter_->admit(request, facts, settings, now, shed_check);
    if (admission.is_rejected()) {
      shed ? busy(client, *admission.retry_after) : limited(client, *admission.retry_after);
      return false;
    }
    if (!admission.ticket.empty()) tickets_.insert_or_assign(client, admission.ticket);
    return true;
  }
  virtual void limited(SlotId client, engine::Duration retry_after) = 0;
  virtual void busy(SlotId client, engine::Duration retry_after) = 0;  // shed

  struct Route {
    std::string_view method, path;  // path: without the query
  };
  static Route route(const Server::Request& request) {
    const auto method = request.method_string(), target = request.target();
    const std::string_view all{target.data(), target.size()};
    return {{method.data(), method.size()}, all.substr(0, all.find('?'))};
  }
  void answer_health(SlotId client) {
    if (server_.draining()) return server_.error(client, 503, "shutting down");
    server_.answer(client, 200, "text/plain", "ok\n");
  }
  // Drops the request of a client that has gone, or that was answered without the core.
  void leave(SlotId client) {
    const auto it = requests_.find(client);
    const SlotId id = it == requests_.end() ? SlotId{} : it->second;
    forget(client);
    engine_.on_client_disconnected(id);
  }
  // The client's request has its answer, or nobody waits for it any more.
  virtual void forget(SlotId client) {
    requests_.erase(client);
    if (const auto it = tickets_.find(client); it != tickets_.end()) {
      rate_limiter_->release(it->second);
      tickets_.erase(it);
    }
  }

  engine::Clock clock_;
  Server server_;
  engine::Engine& engine_;

 private:
  bool is_client_connected(SlotId client) override { return server_.present(client); }
  void on_gone(SlotId client) override { leave(client); }
  void on_room(SlotId client) override {
    if (const auto it = requests_.find(client); it != requests_.end()) engine_.resume_stream(it->second);
  }

  std::map<SlotId, SlotId> requests_;  // by client: its request in the core
  rate_limit::RateLimiter* rate_limiter_ = nullptr;
  degradation::DegradationController* levels_ = nullptr;
  std::map<SlotId, rate_limit::Ticket> tickets_;  // by client: what its request counts for
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_FRONTEND_HPP_
