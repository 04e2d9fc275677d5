// The same traffic through both frontends has the same outcomes and runs no non-idempotent request twice.
#include <map>
#include <random>
#include <set>

#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

// The results of a series of requests.
struct Replay {
  std::vector<std::string> outcomes;
  std::map<std::string, int> effects;  // how often a writer began each job, by the job's name
};

std::string outcome_of(const FakeClient& client) {
  if (!client.is_finished()) return "none";
  if (client.status != 200) return std::to_string(client.status);
  const bool has_end = client.is_complete && client.body.find("[DONE]") != std::string::npos;
  return has_end ? "served" : "cut";
}

enum class Api { kPlatform, kOpenAi };

// Posts one request through the given frontend and returns its client.
std::unique_ptr<FakeClient> post_job(Fixture& fixture, Api api, int number, const std::string& request_class,
                                     const std::string& job) {
  const std::string body = chat_body(request_class, ResponseMode::kStream, job);
  if (api == Api::kOpenAi) {
    auto client = fixture.chat_client();
    client->post("Content-Type: application/json\r\n", body);
    return client;
  }
  char id[17];
  std::snprintf(id, sizeof id, "%016x", number);
  auto client = fixture.platform_client();
  client->post(platform_headers(id, request_class), body);
  return client;
}

Replay replay(Api api, unsigned seed) {
  Replay result;
  // The request's text states how the endpoints treat it, so that it is the same through both frontends.
  const auto reader = [](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
    if (request.body.find("read-full") != std::string::npos) return endpoint.reject_unprocessed(client, 503);
    healthy_reader(endpoint, client, request);
  };
  const auto writer = [&result](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
    const auto start = request.body.find("job-");
    const std::string job = request.body.substr(start, request.body.find('"', start) - start);
    const int earlier_runs = result.effects[job]++;
    if (job.find("breaks") != std::string::npos) {
      endpoint.stream_words(client, {"half"}, StreamEnd::kOpen);
      return endpoint.server.abort(client);
    }
    if (job.find("reset") != std::string::npos && earlier_runs == 0) return endpoint.server.abort(client);
    if (job.find("error") != std::string::npos && earlier_runs == 0) return endpoint.respond(client, 500);
    healthy_writer(endpoint, client, request);
  };
  Fixture fixture(reader, writer, kChatConfig);
  std::mt19937 random(seed);
  for (int i = 0; i < 40; ++i) {
    const std::vector<std::string> treatments = {"well", "breaks", "reset", "error", "read-full"};
    std::string job = "job-" + std::to_string(i) + "-";
    job += treatments[random() % treatments.size()];
    const std::string request_class = random() % 2 == 0 ? "ask" : "command";
    auto client = post_job(fixture, api, i + 1, request_class, job);
    for (int step = 0; step < 400 && !client->is_finished(); ++step) fixture.advance(milliseconds(20));
    result.outcomes.push_back(request_class);
    result.outcomes.back().append(" ").append(job).append(" ").append(outcome_of(*client));
    fixture.now += seconds(25);  // ejected endpoints return, so that each request has the same fleet
    fixture.advance(milliseconds(100));
  }
  CHECK(fixture.engine.open_request_count() == 0);
  return result;
}

TEST_CASE("both frontends give mixed traffic the same outcomes and run no non-idempotent request twice",
          "[chat][replay]") {
  const Replay chat = replay(Api::kOpenAi, 11);
  const Replay platform = replay(Api::kPlatform, 11);
  CHECK(chat.outcomes == platform.outcomes);
  CHECK(chat.effects == platform.effects);
  std::set<std::string> ends;
  for (const std::string& outcome : chat.outcomes) {
    const std::string job = outcome.substr(outcome.find(' ') + 1, outcome.rfind(' ') - outcome.find(' ') - 1);
    const std::string end = outcome.substr(outcome.rfind(' ') + 1);
    ends.insert(end);
    INFO(outcome);
    CHECK(end != "none");
    const int ran = chat.effects.count(job) != 0 ? chat.effects.at(job) : 0;
    if (outcome.starts_with("command")) CHECK(ran <= 1);
    if (end == "served" || end == "cut") CHECK(ran >= 1);
    if (outcome.starts_with("ask") && job.find("reset") != std::string::npos) CHECK(end == "served");
  }
  CHECK(ends == std::set<std::string>{"served", "cut", "502", "503"});
}

}  // namespace
}  // namespace dispatcher::testing
