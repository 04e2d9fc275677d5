// Tests the rate limiter: what it changes in a request, what it admits and counts, and what a reload keeps.
#include <catch2/catch.hpp>
#include <memory>

#include "rate_limit_fixture.hpp"

namespace dispatcher::testing {
namespace {

using namespace rate_limit;

TEST_CASE("a request is not rejected because a field is absent", "[limits]") {
  RateLimiterFixture fixture(
      "headers: tier: {name: \"X-Tier\", longest: 8}\nrules: [\n"
      "{name: \"gold\", when: \"header.tier == 'gold'\", session: \"'g'\"},\n"
      "{name: \"none\", when: \"!has(header.tier)\", session: \"'n'\"},\n"
      "{name: \"rest\", session: \"header.tier + request.model\"}]");
  const auto rule = [&](std::optional<std::string_view> tier) {
    auto request = make_request();
    const auto admission = fixture.admit(request, {tier});
    CHECK_FALSE(admission.is_rejected());
    return admission.rule->name;
  };
  CHECK(rule("gold") == "gold");
  CHECK(rule(std::nullopt) == "none");
  CHECK(rule("goldgoldg") == "none");  // longer than declared: counts as absent
  CHECK(rule("g\xffld") == "none");    // not UTF-8: counts as absent
  CHECK(rule("iron") == "rest");
  CHECK(fixture.rate_limiter.counts().evaluation_faults == 1);  // without a model, its session stays
  auto request = make_request();
  CHECK_FALSE(fixture.admit(request, {"iron"}).is_rejected());
  CHECK(request.session == kSession);
  CHECK_FALSE(fixture.admit(request, {"gold"}).is_rejected());
  CHECK(request.session != kSession);
}

TEST_CASE("values computed by rules are applied, but no class makes a non-idempotent request retryable",
          "[limits]") {
  RateLimiterFixture fixture(
      "rules: [{name: \"up\", when: \"request.class == 'ask' && request.account == 'other'\", class: "
      "\"'command'\", "
      "account: \"'acme'\"},\n{name: \"down\", when: \"request.class == 'command'\", class: \"'ask'\", "
      "account: \"request.account + 'x'\"}]");
  auto request = make_request("ask", "other");
  CHECK(fixture.admit(request).rule->name == "up");
  CHECK(request.request_class == "command");
  CHECK(request.tenant == "acme");
  auto command = make_request("command", "other");
  CHECK(fixture.admit(command).rule->name == "down");
  CHECK(command.request_class == "command");
  CHECK(command.tenant == "other");  // no account is called 'otherx'
  CHECK(fixture.rate_limiter.counts().rejected_class_changes == 1);
}

TEST_CASE("a rate limit admits its burst, then one request per interval, with a sufficient Retry-After",
          "[limits]") {
  RateLimiterFixture fixture(
      "rules: [{name: \"a\", limits: [{key: \"request.account\", rate: 4, burst: 3}]}]");
  for (int i = 0; i < 3; ++i) CHECK_FALSE(fixture.admit().is_rejected());
  for (int round = 0; round < 20; ++round) {
    const auto retry_after = fixture.admit().retry_after;
    REQUIRE(retry_after);
    CHECK(*retry_after == milliseconds(250));
    if (round == 0)
      CHECK_FALSE(fixture.admit("ask", "other").is_rejected());  // another key has its own counter
    fixture.now += *retry_after - std::chrono::microseconds(1);
    CHECK(fixture.admit().is_rejected());
    fixture.now += std::chrono::microseconds(1);
    CHECK_FALSE(fixture.admit().is_rejected());
  }
  fixture.now += seconds(100);  // an idle key accumulates no more than the burst
  for (int i = 0; i < 3; ++i) CHECK_FALSE(fixture.admit().is_rejected());
  CHECK(fixture.admit().is_rejected());
}

TEST_CASE("the first rejection is logged at once, later ones every ten seconds with their number",
          "[limits]") {
  Strings logs;
  RateLimiter rate_limiter(1, [&](std::string_view text) { logs.emplace_back(text); });
  RateLimiterFixture fixture("rules: []");
  rate_limiter.replace_rules(make_rules("rules: [{name: \"a\", limits: [{in_progress: 0}]}]"), fixture.now);
  for (int i = 0; i < 150; ++i) {
    auto request = make_request();
    RequestAttributes attributes;
    attributes.request_class = request.request_class;
    CHECK(rate_limiter.admit(request, attributes, fixture.settings, fixture.now).is_rejected());
    fixture.now += milliseconds(100);
  }
  CHECK(logs == Strings{"limits: 1 rejected since the last such line, last by rule 'a'",
                        "limits: 100 rejected since the last such line, last by rule 'a'"});
}

TEST_CASE("requests in progress are counted until they end, and a rejection by one limit charges no limit",
          "[limits]") {
  RateLimiterFixture fixture(
      "rules: [{name: \"a\", limits: [{key: \"request.account\", in_progress: 2, retry_ms: 70}, {rate: 1, "
      "burst: 3}]}]");
  auto first = fixture.admit();
  auto second = fixture.admit();
  CHECK_FALSE(first.is_rejected());
  for (int i = 0; i < 5; ++i)
    CHECK(fixture.admit().retry_after == std::optional<routing::Duration>(milliseconds(70)));
  fixture.rate_limiter.release(first.ticket);
  fixture.rate_limiter.release(first.ticket);  // a second release has no effect
  const auto third = fixture.admit();
  CHECK_FALSE(third.is_rejected());  // the third of the burst, as rejections do not use it up
  fixture.rate_limiter.release(second.ticket);
  CHECK(fixture.admit().retry_after > std::optional<routing::Duration>(milliseconds(900)));
  fixture.now += seconds(3);
  CHECK_FALSE(fixture.admit().is_rejected());
  CHECK(fixture.admit().retry_after ==
        std::optional<routing::Duration>(milliseconds(70)));  // the end of the second request is counted once
}

TEST_CASE("the parts that the instances enforce add up to the limit", "[limits]") {
  Limit limit;
  limit.rate = 90;
  limit.burst = 72;
  for (const std::int64_t total : {0, 1, 5, 36, 37, 100}) {
    limit.max_in_progress = total;
    for (const std::size_t instances : {1, 2, 7, 36}) {
      const auto count = static_cast<std::int64_t>(instances);
      std::int64_t sum = 0;
      double rate = 0;
      for (std::size_t i = 0; i < instances; ++i) {
        const InstanceLimit part = instance_limit(limit, i, instances);
        sum += part.max_in_progress;
        rate += 1e9 / static_cast<double>(part.emission_interval.count());
        CHECK((part.max_in_progress > 0) == (total > 0));
      }
      CHECK(rate == Approx(90).epsilon(1e-6));
      if (total >= count) CHECK(sum == total);
      if (total < count) CHECK(sum == (total == 0 ? 0 : count));
    }
  }
  // Four instances get equal parts of a surge of requests. Together they admit no more than the burst and the
  // rate allow.
  std::vector<std::unique_ptr<RateLimiterFixture>> fleet;
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.push_back(
        std::make_unique<RateLimiterFixture>("rules: [{name: \"a\", limits: [{rate: 8, burst: 12}]}]"));
    fleet.back()->rate_limiter.set_instance(i, 4);
  }
  int admitted = 0;
  for (int ms = 0; ms < 10'000; ms += 5) {
    for (auto& instance : fleet) {
      admitted += instance->admit().is_rejected() ? 0 : 1;
      instance->now += milliseconds(5);
    }
  }
  CHECK(admitted >= 80);
  CHECK(admitted <= 80 + 12);
}

TEST_CASE("a flood of distinct keys evicts no key that is at its limit", "[limits]") {
  RateLimiterFixture fixture(
      "keys: 1000\nrules: [{name: \"a\", limits: [{key: \"request.account\", rate: 0.01, burst: 2, "
      "in_progress: 2}]}]");
  fixture.settings.tenants.clear();
  fixture.rate_limiter.replace_rules(
      make_rules(
          "keys: 1000\nrules: [{name: \"a\", limits: [{key: \"request.account\", rate: 0.01, burst: 2}, "
          "{key: \"request.account\", in_progress: 2}]}]",
          {}),
      fixture.now);
  const std::size_t bytes = fixture.rate_limiter.table().bytes();
  std::vector<Ticket> tickets;
  for (int key = 0; key < 50; ++key) {  // bring fifty keys to both limits
    for (int i = 0; i < 2; ++i) {
      auto admission = fixture.admit("ask", "held" + std::to_string(key));
      REQUIRE_FALSE(admission.is_rejected());
      tickets.push_back(admission.ticket);
    }
  }
  std::size_t flood = 0;
  for (int i = 0; i < 200'000; ++i) {
    auto admission = fixture.admit("ask", "flood" + std::to_string(i));
    flood += admission.is_rejected() ? 0 : 1;
    fixture.rate_limiter.release(admission.ticket);
    if (i % 1000 == 0) {
      for (int key = 0; key < 50; ++key)
        CHECK(fixture.admit("ask", "held" + std::to_string(key)).is_rejected());
    }
  }
  CHECK(flood > 1000);
  CHECK(fixture.rate_limiter.table().bytes() == bytes);
  CHECK(bytes < 50'000);
  for (Ticket& ticket : tickets) fixture.rate_limiter.release(ticket);
}

TEST_CASE("a reload keeps counters whose key and limit are unchanged, and resets the others", "[limits]") {
  const auto text = [](const std::string& rate, const std::string& keys) {
    return "keys: " + keys +
           "\nrules: [{name: \"b\", when: \"request.account == 'other'\"}, {name: \"a\", limits: [{key: "
           "\"request.account\", rate: " +
           rate + ", in_progress: 1}]}]";
  };
  RateLimiterFixture fixture(text("0.1", "1000"));
  auto first = fixture.admit();
  CHECK_FALSE(first.is_rejected());
  fixture.rate_limiter.replace_rules(make_rules(text("0.1", "50000")), fixture.now);
  CHECK(fixture.admit().is_rejected());
  fixture.rate_limiter.release(first.ticket);
  CHECK(fixture.admit().retry_after >
        std::optional<routing::Duration>(seconds(9)));  // the rate's counter is kept
  fixture.rate_limiter.replace_rules(make_rules(text("0.2", "50000")), fixture.now);
  auto second = fixture.admit();
  CHECK_FALSE(second.is_rejected());
  fixture.rate_limiter.replace_rules(nullptr,
                                     fixture.now);  // without rules, admitted requests are still released
  CHECK_FALSE(fixture.admit().is_rejected());
  fixture.rate_limiter.release(second.ticket);
}

}  // namespace
}  // namespace dispatcher::testing
