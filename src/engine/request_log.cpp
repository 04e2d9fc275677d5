#include "engine/request_log.hpp"

#include <array>
#include <cstdio>

namespace dispatcher::engine {

namespace {

constexpr std::array<std::string_view, 9> kAttemptStatusNames = {
    "served", "error", "full", "timeout", "connect-failed", "reset", "cancelled", "never-sent", "read"};

std::string ms(routing::Duration d) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", static_cast<double>(d.count()) / 1000);
  return text.data();
}

std::string at(const std::string& endpoint, int attempt) {
  return " attempt=" + std::to_string(attempt) + " host=" + endpoint;
}

}  // namespace

void RequestLog::taken(const routing::Request& r, routing::Time now) const {
  if (!sink_) return;
  line(r.id, "taken class=" + r.request_class + " account=" + r.tenant +
                 " left=" + ms(r.client_deadline - now) + " prompt=" + std::to_string(r.prompt_tokens) +
                 " opening=" + std::to_string(r.shared_prefix) + ":" + std::to_string(r.prefix_tokens) +
                 " session=" + std::to_string(r.session) + " repeat=" + (r.client_retry ? "1" : "0"));
}

void RequestLog::sent(const std::string& id, const std::string& endpoint, int attempt) const {
  if (sink_) line(id, "sent" + at(endpoint, attempt));
}

void RequestLog::first(const std::string& id, const std::string& endpoint, int attempt,
                       routing::Duration after) const {
  if (sink_) line(id, "first" + at(endpoint, attempt) + " ms=" + ms(after));
}

void RequestLog::ended(const routing::AttemptCompleted& o) const {
  if (!sink_) return;
  std::string rest = "ended" + at(o.endpoint, o.attempt) +
                     " verdict=" + std::string(kAttemptStatusNames.at(static_cast<std::size_t>(o.status))) +
                     " ms=" + ms(o.elapsed) + " note=" + std::to_string(o.note);
  if (o.report.memory_share) rest += " memory=" + std::to_string(*o.report.memory_share);
  if (o.report.prompt_kilotokens) rest += " waiting=" + std::to_string(*o.report.prompt_kilotokens);
  line(o.request, rest);
}

void RequestLog::answered(const std::string& id, std::string_view how) const {
  if (sink_) line(id, "answered " + std::string(how));
}

}  // namespace dispatcher::engine
