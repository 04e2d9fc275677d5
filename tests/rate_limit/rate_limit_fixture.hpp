// Helpers for tests of rate limits: rules from a text, their problems, and a rate limiter with a clock.
#ifndef DISPATCHER_TESTS_RATE_LIMIT_RATE_LIMIT_FIXTURE_HPP_
#define DISPATCHER_TESTS_RATE_LIMIT_RATE_LIMIT_FIXTURE_HPP_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rate_limit/rate_limiter.hpp"
#include "tests/fixtures/cue_problems.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {

using Strings = std::vector<std::string>;

// The classes and accounts of make_settings().
inline const rate_limit::Vocabulary known_names{{"ask", "command"}, {"acme", "other"}};

// Compiles rules from a text. Throws cue::Errors if they are invalid.
inline std::shared_ptr<const rate_limit::RuleSet> make_rules(
    const std::string& text, const rate_limit::Vocabulary& vocabulary = known_names) {
  return rate_limit::RuleSet::read({"r.cue", text}, vocabulary);
}

// Returns the problems of a rules file as operators see them.
inline Strings rule_problems(const std::string& text) {
  return problems_of("r", [&] { make_rules(text); });
}

constexpr std::uint64_t kSession = 0x7f;

inline routing::Request make_request(const std::string& request_class = "ask",
                                     const std::string& account = "acme") {
  routing::Request request;
  request.id = "1";
  request.request_class = request_class;
  request.tenant = account;
  request.session = kSession;
  return request;
}

// A rate limiter with its own clock.
struct RateLimiterFixture {
  explicit RateLimiterFixture(const std::string& rules, std::uint64_t seed = 9) : rate_limiter(seed) {
    rate_limiter.replace_rules(make_rules(rules), now);
  }
  rate_limit::RateLimiter::Admission admit(routing::Request& request,
                                           std::vector<std::optional<std::string_view>> headers = {}) {
    rate_limit::RequestAttributes attributes;
    attributes.request_class = request.request_class;
    attributes.account = request.tenant;
    attributes.session = request.session;
    attributes.prompt_tokens = request.prompt_tokens;
    attributes.headers = std::move(headers);
    return rate_limiter.admit(request, attributes, settings, now);
  }
  rate_limit::RateLimiter::Admission admit(const std::string& request_class = "ask",
                                           const std::string& account = "acme") {
    auto request = make_request(request_class, account);
    return admit(request);
  }
  routing::Settings settings = make_settings();
  routing::Time now = seconds(1'800'000'000);
  rate_limit::RateLimiter rate_limiter;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_RATE_LIMIT_RATE_LIMIT_FIXTURE_HPP_
