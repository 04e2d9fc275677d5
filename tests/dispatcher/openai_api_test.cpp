// The chat front against stand-in clients and replicas: the standard's forms, and the rules on the hard days.
#include <random>
#include <set>

#include "fixture.hpp"

namespace dispatcher::testing {
namespace {

using Json = nlohmann::json;
const std::string kJson = "Content-Type: application/json\r\n";

std::vector<std::string> data_of(const std::string& body) {
  http::EventFramer framer;
  std::vector<std::string> data;
  for (const auto& event : framer.append(body)) data.push_back(http::event_field(event, "data"));
  return data;
}

TEST_CASE("a streamed completion has the standard's chunks and its own end", "[chat]") {
  Fixture fixture(read_well, write_well, kChat);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("ask", true));
  REQUIRE(fixture.until([&] { return client->whole; }));
  CHECK(client->status == 200);
  CHECK(client->headers["Content-Type"] == "text/event-stream");
  const auto data = data_of(client->body);
  REQUIRE(data.size() == 4);  // two words, the finish, the end; usage was not asked for
  const Json first = Json::parse(data[0]);
  CHECK(first["object"] == "chat.completion.chunk");
  CHECK(first["model"] == "ask");
  CHECK(first["choices"][0]["delta"] == Json{{"role", "assistant"}, {"content", "yes"}});
  CHECK(Json::parse(data[1])["id"] == first["id"]);
  CHECK(data.back() == "[DONE]");
  CHECK(fixture.total("POST", false) == 1);
  CHECK(fixture.total("POST", true) == 1);
}

TEST_CASE("a whole completion joins the stream and its usage", "[chat]") {
  Fixture fixture(read_well, write_well, kChat);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("ask", false));
  REQUIRE(fixture.until([&] { return client->whole; }));
  const Json answer = Json::parse(client->body);
  CHECK(answer["object"] == "chat.completion");
  CHECK(answer["choices"][0]["message"] == Json{{"role", "assistant"}, {"content", "yesit"}});
  CHECK(answer["choices"][0]["finish_reason"] == "stop");
  CHECK(answer["usage"]["total_tokens"] == 9);
  const Json sent = Json::parse(fixture.reader(0).seen.empty() ? fixture.reader(1).seen[0].body
                                                               : fixture.reader(0).seen[0].body);
  CHECK(sent["stream"] == true);  // a replica always streams
}

TEST_CASE("usage is passed on where it is asked for", "[chat]") {
  Fixture fixture(read_well, write_well, kChat);
  auto client = fixture.chat_client();
  Json body = Json::parse(chat_body("ask", true));
  body["stream_options"] = {{"include_usage", true}};
  client->post(kJson, body.dump());
  REQUIRE(fixture.until([&] { return client->whole; }));
  const auto data = data_of(client->body);
  REQUIRE(data.size() == 5);
  CHECK(Json::parse(data[3])["usage"]["prompt_tokens"] == 7);
}

TEST_CASE("the models are listed", "[chat]") {
  Fixture fixture(read_well, write_well, kChat);
  auto client = fixture.chat_client();
  client->get("/v1/models");
  REQUIRE(fixture.until([&] { return client->whole; }));
  CHECK(Json::parse(client->body)["data"][1]["id"] == "command");
  client->whole = false, client->body.clear();
  client->get("/v1/models/nobody");
  REQUIRE(fixture.until([&] { return client->whole; }));
  CHECK(client->status == 404);
  CHECK(Json::parse(client->body)["error"]["code"] == "model_not_found");
}

TEST_CASE("bad requests get the standard's errors and reach no replica", "[chat]") {
  Fixture fixture(read_well, write_well, kChat);
  struct Case {
    std::string body;
    int status;
    Json param;
  };
  const std::string deep = R"({"model":"ask","messages":)" + std::string(100000, '[') + "}";
  const std::vector<Case> cases = {
      {"{", 400, nullptr},
      {"[]", 400, nullptr},
      {deep, 400, nullptr},
      {R"({"messages":[{"role":"user","content":"x"}]})", 400, "model"},
      {R"({"model":"gpt","messages":[{"role":"user","content":"x"}]})", 404, "model"},
      {R"({"model":"ask"})", 400, "messages"},
      {R"({"model":"ask","messages":[]})", 400, "messages"},
      {R"({"model":"ask","messages":[{"role":"king","content":"x"}]})", 400, "messages"},
      {R"({"model":"ask","messages":[{"role":"user","content":5}]})", 400, "messages"},
      {R"({"model":"ask","n":2,"messages":[{"role":"user","content":"x"}]})", 400, "n"},
      {R"({"model":"ask","stream":"yes","messages":[{"role":"user","content":"x"}]})", 400, "stream"},
      {R"({"model":"ask","max_tokens":0,"messages":[{"role":"user","content":"x"}]})", 400, "max_tokens"}};
  for (const Case& c : cases) {
    auto client = fixture.chat_client();
    client->post(kJson, c.body);
    REQUIRE(fixture.until([&] { return client->whole; }));
    INFO(c.body.substr(0, 80));
    CHECK(client->status == c.status);
    CHECK(Json::parse(client->body)["error"]["type"] == "invalid_request_error");
    CHECK(Json::parse(client->body)["error"]["param"] == c.param);
  }
  auto large = fixture.chat_client();
  large->post(kJson, std::string(300 * 1024, 'x'));
  REQUIRE(fixture.until([&] { return large->whole; }));
  CHECK(large->status == 413);
  auto lost = fixture.chat_client();
  lost->get("/v2/models");
  REQUIRE(fixture.until([&] { return lost->whole; }));
  CHECK(lost->status == 404);
  auto wrong = fixture.chat_client();
  wrong->get("/v1/chat/completions");
  REQUIRE(fixture.until([&] { return wrong->whole; }));
  CHECK(wrong->status == 405);
  CHECK(wrong->headers["Allow"] == "POST");
  CHECK(fixture.total("POST", false) + fixture.total("POST", true) == 0);
}

TEST_CASE("where keys are set, only they are served", "[chat]") {
  Json config = Json::parse(kChat);
  config["keys"] = {{{"key", "k-1"}, {"account", "acme"}}};
  Fixture fixture(read_well, write_well, config.dump());
  for (const auto& [header, status] :
       std::vector<std::pair<std::string, int>>{{"", 401},
                                                {"Authorization: Bearer k-2\r\n", 401},
                                                {"Authorization: Bearer \r\n", 401},
                                                {"Authorization: Bearer k-1\r\n", 200}}) {
    auto client = fixture.chat_client();
    client->post(kJson + header, chat_body("ask", false));
    REQUIRE(fixture.until([&] { return client->whole; }));
    CHECK(client->status == status);
  }
}

TEST_CASE("a command whose stream breaks is sent once and gets no forged end", "[chat]") {
  const bool stream = GENERATE(true, false);
  Fixture fixture(
      read_well,
      [](StandInReplica& r, SlotId client, const StandInReplica::Seen&) {
        r.stream(client, {"valve"}, false);
        r.server.write_events(client, "data: {\"choices\":[{\"ind");  // cut mid-event
        r.server.abort(client);
      },
      kChat);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("command", stream));
  REQUIRE(fixture.until([&] { return client->answered(); }));
  fixture.advance(seconds(4));
  CHECK(fixture.total("POST", true) == 1);
  CHECK(client->body.find("[DONE]") == std::string::npos);
  CHECK(client->body.find("{\"ind") == std::string::npos);
  CHECK(client->body.find("stream_broken") != std::string::npos);
  CHECK(client->body.find("\"finish_reason\":\"stop\"") == std::string::npos);
  if (stream) {
    CHECK_FALSE(client->whole);
  } else {
    CHECK(client->status == 502);
    CHECK(client->headers["X-Should-Retry"] == "false");
  }
  CHECK(fixture.engine.open() == 0);
}

TEST_CASE("a stream that ends without its own last word is not passed off as whole", "[chat]") {
  Fixture fixture(
      read_well,
      [](StandInReplica& r, SlotId client, const StandInReplica::Seen&) {
        r.stream(client, {"half"}, false);
        r.server.end_response(client);  // the last chunk, but no [DONE]
      },
      kChat);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("ask", false));
  REQUIRE(fixture.until([&] { return client->whole; }));
  CHECK(client->status == 502);
}

// A replica that never stops must not fill the memory of a dispatcher that collects the whole.
TEST_CASE("an answer without end is given up", "[chat]") {
  Fixture fixture(
      read_well,
      [](StandInReplica& r, SlotId client, const StandInReplica::Seen&) {
        r.stream(client, {std::string(250'000, 'x')}, false);
      },
      kChat);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("command", false));
  auto& writers = fixture.replicas;
  for (int i = 0; i < 40 && !client->answered(); ++i) {
    fixture.settle();
    for (std::size_t w : {2U, 3U}) {
      for (const SlotId to : writers[w]->waiting)
        writers[w]->server.write_events(
            to, "data: {\"choices\":[{\"delta\":{\"content\":\"" + std::string(250'000, 'x') + "\"}}]}\n\n");
    }
  }
  REQUIRE(fixture.until([&] { return client->whole; }));
  CHECK(client->status == 502);
  CHECK(client->body.find("answer_too_long") != std::string::npos);
  CHECK(fixture.engine.open() == 0);
}

TEST_CASE("an ask always gets its final answer, whatever the replicas do", "[chat]") {
  const int trouble = GENERATE(0, 1, 2, 3, 4);
  const auto act = [trouble](StandInReplica& r, SlotId client, const StandInReplica::Seen&) {
    if (trouble == 0) r.server.abort(client);        // reset with no answer
    if (trouble == 1) r.say(client, 500);            // errors
    if (trouble == 2) r.say(client, 503, {}, true);  // full
    if (trouble == 3) r.say(client, 410, {}, true);  // no state, ever
  };                                                 // 4: silence
  const bool at_reader = GENERATE(true, false);
  Fixture fixture(at_reader ? Fixture::Script(act) : Fixture::Script(read_well),
                  at_reader ? Fixture::Script(write_well) : Fixture::Script(act), kChat);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("ask", true));
  fixture.until([&] { return fixture.total("POST", false) > 0; });
  for (int i = 0; i < 130 && !client->answered(); ++i) fixture.advance(milliseconds(50));
  REQUIRE(fixture.until([&] { return client->whole; }));
  INFO(client->status << " " << client->body);
  CHECK((client->status == 502 || client->status == 503 || client->status == 504));
  if (client->status == 503) CHECK(client->headers.count("Retry-After") == 1);
  fixture.advance(seconds(1));
  CHECK(fixture.engine.open() == 0);
}

TEST_CASE("an ask is tried elsewhere where a command is not", "[chat]") {
  const std::string model = GENERATE("ask", "command");
  int calls = 0;
  Fixture fixture(
      read_well,
      [&calls](StandInReplica& r, SlotId client, const StandInReplica::Seen& seen) {
        ++calls == 1 ? r.server.abort(client)
                     : write_well(r, client, seen);  // resets after taking the request
      },
      kChat);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body(model, false));
  REQUIRE(fixture.until([&] { return client->whole; }));
  fixture.advance(seconds(1));
  CHECK(client->status == (model == "ask" ? 200 : 502));
  CHECK(calls == (model == "ask" ? 2 : 1));
}

TEST_CASE("a cancel before the first token stops the work and lets go of what is held", "[chat]") {
  const bool while_reading = GENERATE(true, false);
  const auto silent = [](StandInReplica&, SlotId, const StandInReplica::Seen&) {};
  Fixture fixture(while_reading ? Fixture::Script(silent) : Fixture::Script(read_well), silent, kChat);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("command", true));
  REQUIRE(fixture.until([&] { return fixture.total("POST", !while_reading) == 1; }));
  client->close();
  const auto stopped = [&] {
    std::size_t gone = 0;
    for (const auto& r : fixture.replicas) gone += r->gone.size();
    return gone == 1;
  };
  CHECK(fixture.until(stopped));
  fixture.advance(milliseconds(200));
  CHECK(fixture.until([&] { return fixture.total("DELETE", false) + fixture.total("DELETE", true) >= 1; }));
  CHECK(fixture.engine.open() == 0);
  CHECK(fixture.total("POST", true) == (while_reading ? 0 : 1));
}

TEST_CASE("a silent replica costs the client no more than its deadline", "[chat]") {
  const auto silent = [](StandInReplica&, SlotId, const StandInReplica::Seen&) {};
  Fixture fixture(read_well, silent, kChat);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("command", false));
  REQUIRE(fixture.until([&] { return fixture.total("POST", true) == 1; }));
  fixture.advance(milliseconds(3100));
  REQUIRE(fixture.until([&] { return client->whole; }));
  CHECK(client->status == 504);
  CHECK(client->headers["X-Should-Retry"] == "false");
  CHECK(fixture.total("POST", true) == 1);
}

TEST_CASE("more than max_open requests are told to come later", "[chat]") {
  Json config = Json::parse(kChat);
  config["max_open"] = 1;
  const auto silent = [](StandInReplica&, SlotId, const StandInReplica::Seen&) {};
  Fixture fixture(silent, silent, config.dump());
  auto first = fixture.chat_client(), second = fixture.chat_client();
  first->post(kJson, chat_body("ask", true));
  REQUIRE(fixture.until([&] { return fixture.total("POST", false) == 1; }));
  second->post(kJson, chat_body("ask", true));
  REQUIRE(fixture.until([&] { return second->whole; }));
  CHECK(second->status == 429);
  CHECK(second->headers["Retry-After"] == "1");
}

TEST_CASE("a conversation keeps its keys from turn to turn", "[chat]") {
  const auto settings = make_settings();
  const auto config = *openai_api::parse_config({"chat.json", kChat}, settings);
  Json body = Json::parse(chat_body("ask", false));
  const auto first = openai_api::parse_request(body.dump(), config, "acme");
  body["messages"].push_back({{"role", "assistant"}, {"content", "Yes."}});
  body["messages"].push_back({{"role", "user"}, {"content", {{{"type", "text"}, {"text", "Since when?"}}}}});
  const auto second = openai_api::parse_request(body.dump(), config, "acme");
  CHECK(first.routing.session == second.routing.session);
  CHECK(first.routing.shared_prefix == second.routing.shared_prefix);
  CHECK(first.routing.prefix_tokens == 6);  // 21 characters
  CHECK(first.routing.prompt_tokens == 10);
  CHECK(second.routing.prompt_tokens == 14);
  body["messages"][1]["content"] = "Another question";
  CHECK(openai_api::parse_request(body.dump(), config, "acme").routing.session != first.routing.session);
  CHECK(openai_api::parse_request(body.dump(), config, "other").routing.session != second.routing.session);
}

TEST_CASE("a bad file of the front is refused by the name of its field", "[chat]") {
  const auto settings = make_settings();
  const auto problem = [&](const char* path, const Json& value) {
    Json config = Json::parse(kChat);
    config[Json::json_pointer(path)] = value;
    try {
      static_cast<void>(openai_api::parse_config({"chat.json", config.dump()}, settings));
    } catch (const cue::Errors& e) {
      const cue::Problem& first = e.problems.front();
      return first.path + ": " + first.what;
    }
    return std::string("none");
  };
  CHECK(problem("/listen", "nowhere") == "listen: address and port expected");
  CHECK(problem("/models/0/class", "zz") == "models[0].class: no class 'zz' in the settings");
  CHECK(problem("/account", "nobody") == "account: no account 'nobody' in the settings");
  CHECK(problem("/max_open", 0) == "max_open: expected 256 | int & >=1 & <=100000 | null, found 0");
  CHECK(problem("/models/0/deadline", 5) == "models[0].deadline: unknown field");
  CHECK_FALSE(openai_api::parse_config({"chat.json", R"({"listen":null})"}, settings).has_value());
}

// The same mixed traffic through both fronts: the same outcomes, and each effect once.
struct Replay {
  std::vector<std::string> outcomes;
  std::map<std::string, int> effects;  // by the words of the request: how often a writer began it
};

Replay replay(bool through_chat, unsigned seed) {
  Replay result;
  // What happens to a request is written in its text, so that it is the same through either front.
  const auto reader = [](StandInReplica& r, SlotId client, const StandInReplica::Seen& seen) {
    seen.body.find("read-full") != std::string::npos ? r.say(client, 503, {}, true)
                                                     : read_well(r, client, seen);
  };
  const auto writer = [&result](StandInReplica& r, SlotId client, const StandInReplica::Seen& seen) {
    const auto at = seen.body.find("job-");
    const std::string job = seen.body.substr(at, seen.body.find('"', at) - at);
    const int before = result.effects[job]++;
    if (job.find("breaks") != std::string::npos) {
      r.stream(client, {"half"}, false);
      return r.server.abort(client);
    }
    if (job.find("reset") != std::string::npos && before == 0) return r.server.abort(client);
    if (job.find("error") != std::string::npos && before == 0) return r.say(client, 500);
    write_well(r, client, seen);
  };
  Fixture fixture(reader, writer, kChat);
  std::mt19937 random(seed);
  for (int i = 0; i < 40; ++i) {
    const std::vector<std::string> fates = {"well", "breaks", "reset", "error", "read-full"};
    const std::string job = "job-" + std::to_string(i) + "-" + fates[random() % fates.size()];
    const std::string cls = random() % 2 == 0 ? "ask" : "command";
    auto client = through_chat ? fixture.chat_client() : fixture.platform_client();
    char id[17];
    std::snprintf(id, sizeof id, "%016x", i + 1);
    client->post(through_chat ? kJson : facts(id, cls), chat_body(cls, true, job));
    for (int k = 0; k < 400 && !client->answered(); ++k) fixture.advance(milliseconds(20));
    const std::string end =
        !client->answered() ? "none"
        : client->status == 200
            ? (client->whole && client->body.find("[DONE]") != std::string::npos ? "served" : "cut")
            : std::to_string(client->status);
    result.outcomes.push_back(cls + " " + job + " " + end);
    fixture.now += seconds(25);  // hosts that were shut out come back: each request meets the same fleet
    fixture.advance(milliseconds(100));
  }
  CHECK(fixture.engine.open() == 0);
  return result;
}

TEST_CASE("mixed traffic ends alike through both fronts and runs no command twice", "[chat][replay]") {
  const Replay chat = replay(true, 11), platform = replay(false, 11);
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
