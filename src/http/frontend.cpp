// Admission and bookkeeping of requests between a server and the engine.
#include "http/frontend.hpp"

#include <iterator>
#include <optional>
#include <utility>

namespace dispatcher::http {

namespace {

// Returns the field's value, or nullopt if it is absent or occurs more than once, in which case it has no
// single value.
std::optional<std::string_view> single_value(const Server::Request& request, std::string_view name) {
  const auto [first, last] = request.equal_range({name.data(), name.size()});
  if (first == last || std::next(first) != last) return std::nullopt;
  return to_view(first->value());
}

}  // namespace

Frontend::Frontend(const FrontendContext& context, const net::tcp::endpoint& address)
    : clock_(context.clock),
      server_(context.io, address, *this, context.timers, context.clock, context.options,
              context.reclaim_descriptor),
      engine_(context.engine) {}

SlotId Frontend::adopt_stream(net::UniqueFd socket, const engine::AdoptedStream& stream) {
  const SlotId client = server_.adopt_stream(std::move(socket));
  const SlotId request = engine_.adopt_stream(*this, client, stream);
  requests_[client] = request;
  return request;
}

void Frontend::submit(SlotId client, const routing::Request& request,
                      std::shared_ptr<const engine::UpstreamRequest> message) {
  const SlotId id = engine_.submit(*this, client, request, std::move(message));
  if (engine_.is_unanswered(id)) requests_[client] = id;
}

// ---- admission ----

bool Frontend::has_admission_rules() const {
  if (rate_limiter_ == nullptr) return false;
  if (rate_limiter_->rules() != nullptr) return true;
  return degradation_ != nullptr && degradation_->active();
}

void Frontend::add_request_attributes(const Server::Request& http_request, const routing::Request& request,
                                      engine::Time now, rate_limit::RequestAttributes& attributes) const {
  attributes.request_class = request.request_class;
  attributes.account = request.tenant;
  attributes.session = request.session;
  attributes.prompt_tokens = request.prompt_tokens;
  attributes.shared_tokens = request.prefix_tokens;
  attributes.max_tokens = request.max_tokens;
  attributes.time_left_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.client_deadline - now).count();
  attributes.is_retry = request.client_retry;
  if (rate_limiter_->rules() == nullptr) return;
  for (const rate_limit::Header& field : rate_limiter_->rules()->headers())
    attributes.headers.push_back(single_value(http_request, field.name));
}

bool Frontend::admit(SlotId client, const Server::Request& http_request, routing::Request& request,
                     rate_limit::RequestAttributes attributes, const routing::Settings& settings) {
  if (!has_admission_rules()) return true;
  const engine::Time now = clock_();
  add_request_attributes(http_request, request, now, attributes);
  bool is_shed = false;
  const auto shed = [&](const routing::Request& classified) -> std::optional<engine::Duration> {
    if (degradation_ == nullptr) return std::nullopt;
    const auto retry_after = degradation_->shed(classified, attributes);
    is_shed = retry_after.has_value();
    return retry_after;
  };
  const rate_limit::RateLimiter::Admission admission =
      rate_limiter_->admit(request, attributes, settings, now, shed);
  if (!admission.is_rejected()) {
    if (!admission.ticket.empty()) tickets_.insert_or_assign(client, admission.ticket);
    return true;
  }
  if (is_shed) {
    reject_overloaded(client, *admission.retry_after);
  } else {
    reject_rate_limited(client, *admission.retry_after);
  }
  return false;
}

// ---- answers ----

Frontend::Target Frontend::target_of(const Server::Request& request) {
  const std::string_view target = to_view(request.target());
  return {to_view(request.method_string()), target.substr(0, target.find('?'))};
}

void Frontend::respond_health(SlotId client) {
  if (server_.is_draining()) return server_.respond_error(client, 503, "shutting down");
  server_.respond(client, 200, "text/plain", "ok\n");
}

void Frontend::on_writable(SlotId client) {
  if (const auto request = requests_.find(client); request != requests_.end())
    engine_.resume_stream(request->second);
}

void Frontend::cancel_request(SlotId client) {
  const auto request = requests_.find(client);
  const SlotId id = request == requests_.end() ? SlotId{} : request->second;
  forget_request(client);
  engine_.on_client_disconnected(id);
}

void Frontend::forget_request(SlotId client) {
  requests_.erase(client);
  const auto ticket = tickets_.find(client);
  if (ticket == tickets_.end()) return;
  rate_limiter_->release(ticket->second);
  tickets_.erase(ticket);
}

}  // namespace dispatcher::http
