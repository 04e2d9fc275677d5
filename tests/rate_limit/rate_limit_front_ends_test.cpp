// Tests rate limits at both frontends, which must apply them equally, and across a reload of the daemon.
#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>

#include "rate_limit_fixture.hpp"
#include "tests/fixtures/daemon_fixture.hpp"

namespace dispatcher::testing {
namespace {

using namespace rate_limit;

void attach(Fixture& fixture, RateLimiter& rate_limiter) {
  fixture.chat->attach(rate_limiter);
  fixture.platform.attach(rate_limiter);
}

// Returns a client of one frontend that has sent a request. `id`: the request's id at the platform frontend.
std::unique_ptr<FakeClient> post(Fixture& fixture, bool through_chat, const std::string& id,
                                 const std::string& request_class, const std::string& more_headers = {},
                                 const std::string& prompt = {}) {
  auto client = through_chat ? fixture.chat_client() : fixture.platform_client();
  const std::string headers =
      through_chat ? "Content-Type: application/json\r\n" : platform_headers(id, request_class);
  client->post(headers + more_headers, prompt.empty()
                                           ? chat_body(request_class, ResponseMode::kStream)
                                           : chat_body(request_class, ResponseMode::kStream, prompt));
  return client;
}

TEST_CASE("the same requests have the same outcome at each frontend", "[limits][chat][platform]") {
  const std::string text =
      "headers: tier: {name: \"X-Tier\", longest: 8}\nrules: [\n"
      "{name: \"gold\", when: \"header.tier == 'gold'\"},\n"
      "{name: \"commands\", when: \"request.class == 'command'\", limits: [{key: \"request.account\", "
      "in_progress: 1, retry_ms: 300}]},\n"
      "{name: \"asks\", limits: [{key: \"request.account\", rate: 2, burst: 2}]}]";
  std::vector<std::vector<int>> statuses_by_frontend;
  for (const bool through_chat : {true, false}) {
    Fixture fixture(
        healthy_reader, [](FakeEndpoint&, SlotId, const FakeEndpoint::ReceivedRequest&) {},
        kChatConfig);  // writers never respond
    RateLimiter rate_limiter(5);
    rate_limiter.replace_rules(make_rules(text), fixture.now);
    attach(fixture, rate_limiter);
    std::vector<int> statuses;
    std::vector<std::unique_ptr<FakeClient>> clients;
    int count = 0;
    const auto send = [&](const std::string& request_class, const std::string& more_headers) -> FakeClient& {
      char id[17];
      std::snprintf(id, sizeof id, "%016x", ++count);
      clients.push_back(post(fixture, through_chat, id, request_class, more_headers));
      fixture.settle();
      fixture.settle();
      return *clients.back();
    };
    const auto status = [&](const std::string& request_class, const std::string& more_headers = {}) {
      FakeClient& client = send(request_class, more_headers);
      statuses.push_back(client.is_finished() ? client.status : 0);
      if (client.status == 429) CHECK_FALSE(client.headers["Retry-After"].empty());
    };
    status("command");
    status("command");                                      // one is in progress
    status("command", "X-Tier: gold\r\n");                  // matches a rule without limits
    status("command", "X-Tier: goldgoldgold\r\n");          // longer than declared: counts as absent
    status("command", "X-Tier: gold\r\nX-Tier: gold\r\n");  // sent twice: counts as absent
    status("command", "X-Tier: " + std::string(8192, 'g') + "\r\n");
    status("ask");
    status("ask");
    status("ask");
    clients[0]->close();  // its disconnect ends the request in progress
    fixture.settle();
    status("command");
    const std::size_t sent = static_cast<std::size_t>(fixture.request_count("POST", Role::kReader));
    CHECK(sent == 5);  // no rejected request reaches an endpoint
    statuses_by_frontend.push_back(statuses);
  }
  CHECK(statuses_by_frontend[0] == std::vector<int>{0, 429, 0, 429, 429, 429, 0, 0, 429, 0});
  CHECK(statuses_by_frontend[0] == statuses_by_frontend[1]);
}

TEST_CASE("a class set by the rules applies at each frontend, with its deadline and its retries",
          "[limits][chat][platform]") {
  for (const bool through_chat : {true, false}) {
    int attempts = 0;
    Fixture fixture(
        healthy_reader,
        [&](FakeEndpoint& replica, SlotId client, const FakeEndpoint::ReceivedRequest&) {
          ++attempts;
          replica.server.abort(client);
        },
        kChatConfig);
    RateLimiter rate_limiter(5);
    rate_limiter.replace_rules(make_rules("rules: [{name: \"careful\", class: \"'command'\"}]"), fixture.now);
    attach(fixture, rate_limiter);
    const auto client = post(fixture, through_chat, "aa", "ask");
    for (int i = 0; i < 400 && !client->is_finished(); ++i) fixture.advance(milliseconds(20));
    CHECK(client->status == 502);
    CHECK(attempts == 1);  // a request of class ask would have been retried
    if (through_chat) CHECK(client->headers["X-Should-Retry"] == "false");
  }
}

TEST_CASE("a request is no longer counted after it has ended in any way", "[limits][chat][platform]") {
  for (const bool through_chat : {true, false}) {
    Fixture fixture(
        healthy_reader,
        [](FakeEndpoint& replica, SlotId client, const FakeEndpoint::ReceivedRequest& seen) {
          if (seen.body.find("well") != std::string::npos) return healthy_writer(replica, client, seen);
          if (seen.body.find("cut") != std::string::npos) {
            replica.stream_words(client, {"half"}, StreamEnd::kOpen);
            return replica.server.abort(client);
          }
          if (seen.body.find("error") != std::string::npos) return replica.respond(client, 500);
        },
        kChatConfig);
    RateLimiter rate_limiter(5);
    rate_limiter.replace_rules(make_rules("rules: [{name: \"a\", limits: [{in_progress: 1}]}]"), fixture.now);
    attach(fixture, rate_limiter);
    int id = 0;
    for (const char* outcome : {"well", "cut", "error", "silent", "gone", "well"}) {
      const auto client = post(fixture, through_chat, "a" + std::to_string(++id), "command", {}, outcome);
      if (std::string(outcome) == "gone") {
        fixture.settle();
        client->close();
        fixture.settle();
        continue;
      }
      for (int i = 0; i < 400 && !client->is_finished(); ++i) fixture.advance(milliseconds(20));
      INFO(outcome);
      CHECK(client->is_finished());
      CHECK(client->status != 429);
      fixture.now += seconds(25);
      fixture.advance(milliseconds(100));
    }
    CHECK(rate_limiter.counts().rejected == 0);
    CHECK(rate_limiter.counts().admitted == 6);
  }
}

TEST_CASE("a request in progress is still counted under its limits after the rules change",
          "[limits][platform]") {
  Fixture fixture(healthy_reader, [](FakeEndpoint&, SlotId, const FakeEndpoint::ReceivedRequest&) {});
  RateLimiter rate_limiter(5);
  const std::string one = "rules: [{name: \"a\", limits: [{in_progress: 1}]}]";
  rate_limiter.replace_rules(make_rules(one), fixture.now);
  fixture.platform.attach(rate_limiter);
  auto open = fixture.platform_client(), second = fixture.platform_client(),
       third = fixture.platform_client();
  open->post(platform_headers("a1", "command", 60000), "{}");
  fixture.settle();
  rate_limiter.replace_rules(make_rules("rules: []"), fixture.now);
  rate_limiter.replace_rules(make_rules(one), fixture.now);
  second->post(platform_headers("a2", "command"), "{}");
  fixture.settle();
  CHECK(second->status == 429);  // the first one is still counted
  open->close();
  fixture.settle();
  third->post(platform_headers("a3", "command"), "{}");
  fixture.settle();
  CHECK_FALSE(third->is_finished());  // admitted
}

TEST_CASE(
    "a reload replaces the rules with the rest of the configuration, or keeps the old rules if it fails",
    "[limits][app]") {
  daemon::Loop loop;
  const daemon::Config config = make_daemon_config();
  Strings logs;
  daemon::ConfigurationFiles next{
      config, {{}, {}, cue::File{"rules.cue", "rules: [{name: \"a\", class: \"'zz'\"}]"}}};
  daemon::Dispatcher dispatcher(
      loop, config, {{}, {}, cue::File{"rules.cue", "rules: []"}},
      [&](std::string_view line) { logs.emplace_back(line); }, [&] { return next; });
  dispatcher.start();
  dispatcher.reload();
  CHECK(logs.back() ==
        "reload failed, the old configuration stays: rules.cue:1:28: rules[0].class: no class 'zz' in the "
        "settings");
  next.features.rules->text.clear();
  dispatcher.reload();
  CHECK(logs.back().find("rules.cue: rules: missing") != std::string::npos);
  next.features.rules->text = "rules: [{name: \"a\", class: \"'ask'\"}]";
  dispatcher.reload();
  CHECK(logs.back().starts_with("reloaded"));
  daemon::FeatureFiles bad;
  bad.rules = cue::File{"rules.cue", "rules: ["};
  CHECK_THROWS_AS(daemon::Dispatcher(loop, config, bad, [](std::string_view) {}), cue::Errors);
}

}  // namespace
}  // namespace dispatcher::testing
