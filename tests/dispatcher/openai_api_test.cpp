// The OpenAI-compatible frontend: the API's forms, and its answers when replicas fail.
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
  Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("ask", true));
  REQUIRE(fixture.until([&] { return client->is_complete; }));
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
  CHECK(fixture.request_count("POST", Role::kReader) == 1);
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
}

TEST_CASE("a whole completion joins the stream and its usage", "[chat]") {
  Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("ask", false));
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  const Json answer = Json::parse(client->body);
  CHECK(answer["object"] == "chat.completion");
  CHECK(answer["choices"][0]["message"] == Json{{"role", "assistant"}, {"content", "yesit"}});
  CHECK(answer["choices"][0]["finish_reason"] == "stop");
  CHECK(answer["usage"]["total_tokens"] == 9);
  const Json sent = Json::parse(fixture.reader(0).received.empty() ? fixture.reader(1).received[0].body
                                                                   : fixture.reader(0).received[0].body);
  CHECK(sent["stream"] == true);  // a replica always streams
}

TEST_CASE("usage is passed on where it is asked for", "[chat]") {
  Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
  auto client = fixture.chat_client();
  Json body = Json::parse(chat_body("ask", true));
  body["stream_options"] = {{"include_usage", true}};
  client->post(kJson, body.dump());
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  const auto data = data_of(client->body);
  REQUIRE(data.size() == 5);
  CHECK(Json::parse(data[3])["usage"]["prompt_tokens"] == 7);
}

TEST_CASE("the models are listed", "[chat]") {
  Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
  auto client = fixture.chat_client();
  client->get("/v1/models");
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(Json::parse(client->body)["data"][1]["id"] == "command");
  client->clear_answer();
  client->get("/v1/models/nobody");
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(client->status == 404);
  CHECK(Json::parse(client->body)["error"]["code"] == "model_not_found");
}

TEST_CASE("bad requests get the standard's errors and reach no replica", "[chat]") {
  Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
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
  for (const Case& test_case : cases) {
    auto client = fixture.chat_client();
    client->post(kJson, test_case.body);
    REQUIRE(fixture.until([&] { return client->is_complete; }));
    INFO(test_case.body.substr(0, 80));
    CHECK(client->status == test_case.status);
    CHECK(Json::parse(client->body)["error"]["type"] == "invalid_request_error");
    CHECK(Json::parse(client->body)["error"]["param"] == test_case.param);
  }
  auto large = fixture.chat_client();
  large->post(kJson, std::string(300 * 1024, 'x'));
  REQUIRE(fixture.until([&] { return large->is_complete; }));
  CHECK(large->status == 413);
  auto lost = fixture.chat_client();
  lost->get("/v2/models");
  REQUIRE(fixture.until([&] { return lost->is_complete; }));
  CHECK(lost->status == 404);
  auto wrong = fixture.chat_client();
  wrong->get("/v1/chat/completions");
  REQUIRE(fixture.until([&] { return wrong->is_complete; }));
  CHECK(wrong->status == 405);
  CHECK(wrong->headers["Allow"] == "POST");
  CHECK(fixture.request_count("POST", Role::kReader) + fixture.request_count("POST", Role::kWriter) == 0);
}

TEST_CASE("where keys are set, only they are served", "[chat]") {
  Json config = Json::parse(kChatConfig);
  config["keys"] = {{{"key", "k-1"}, {"account", "acme"}}};
  Fixture fixture(healthy_reader, healthy_writer, config.dump());
  for (const auto& [header, status] :
       std::vector<std::pair<std::string, int>>{{"", 401},
                                                {"Authorization: Bearer k-2\r\n", 401},
                                                {"Authorization: Bearer \r\n", 401},
                                                {"Authorization: Bearer k-1\r\n", 200}}) {
    auto client = fixture.chat_client();
    client->post(kJson + header, chat_body("ask", false));
    REQUIRE(fixture.until([&] { return client->is_complete; }));
    CHECK(client->status == status);
  }
}

TEST_CASE("a command whose stream breaks is sent once and gets no forged end", "[chat]") {
  const bool stream = GENERATE(true, false);
  Fixture fixture(
      healthy_reader,
      [](FakeReplica& replica, SlotId client, const ReceivedRequest&) {
        replica.stream_words(client, {"valve"}, false);
        replica.server.write_events(client, "data: {\"choices\":[{\"ind");  // cut mid-event
        replica.server.abort(client);
      },
      kChatConfig);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("command", stream));
  REQUIRE(fixture.until([&] { return client->is_finished(); }));
  fixture.advance(seconds(4));
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
  CHECK(client->body.find("[DONE]") == std::string::npos);
  CHECK(client->body.find("{\"ind") == std::string::npos);
  CHECK(client->body.find("stream_broken") != std::string::npos);
  CHECK(client->body.find("\"finish_reason\":\"stop\"") == std::string::npos);
  if (stream) {
    CHECK_FALSE(client->is_complete);
  } else {
    CHECK(client->status == 502);
    CHECK(client->headers["X-Should-Retry"] == "false");
  }
  CHECK(fixture.engine.open_request_count() == 0);
}

TEST_CASE("a stream that ends without its own last word is not passed off as whole", "[chat]") {
  Fixture fixture(
      healthy_reader,
      [](FakeReplica& replica, SlotId client, const ReceivedRequest&) {
        replica.stream_words(client, {"half"}, false);
        replica.server.end_response(client);  // the last chunk, but no [DONE]
      },
      kChatConfig);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("ask", false));
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(client->status == 502);
}

// A replica that never stops must not fill the memory of a dispatcher that collects the whole.
TEST_CASE("an answer without end is given up", "[chat]") {
  Fixture fixture(
      healthy_reader,
      [](FakeReplica& replica, SlotId client, const ReceivedRequest&) {
        replica.stream_words(client, {std::string(250'000, 'x')}, false);
      },
      kChatConfig);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("command", false));
  auto& writers = fixture.replicas;
  for (int i = 0; i < 40 && !client->is_finished(); ++i) {
    fixture.settle();
    for (std::size_t w : {2U, 3U}) {
      for (const SlotId to : writers[w]->pending_clients)
        writers[w]->server.write_events(
            to, "data: {\"choices\":[{\"delta\":{\"content\":\"" + std::string(250'000, 'x') + "\"}}]}\n\n");
    }
  }
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(client->status == 502);
  CHECK(client->body.find("answer_too_long") != std::string::npos);
  CHECK(fixture.engine.open_request_count() == 0);
}

TEST_CASE("an ask always gets its final answer, whatever the replicas do", "[chat]") {
  const int fault = GENERATE(0, 1, 2, 3, 4);
  const auto act = [fault](FakeReplica& replica, SlotId client, const ReceivedRequest&) {
    if (fault == 0) replica.server.abort(client);            // reset with no answer
    if (fault == 1) replica.respond(client, 500);            // errors
    if (fault == 2) replica.respond(client, 503, {}, true);  // full
    if (fault == 3) replica.respond(client, 410, {}, true);  // no state, ever
  };                                                         // 4: silence
  const bool at_reader = GENERATE(true, false);
  Fixture fixture(at_reader ? Fixture::Behavior(act) : Fixture::Behavior(healthy_reader),
                  at_reader ? Fixture::Behavior(healthy_writer) : Fixture::Behavior(act), kChatConfig);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("ask", true));
  fixture.until([&] { return fixture.request_count("POST", Role::kReader) > 0; });
  for (int i = 0; i < 130 && !client->is_finished(); ++i) fixture.advance(milliseconds(50));
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  INFO(client->status << " " << client->body);
  CHECK((client->status == 502 || client->status == 503 || client->status == 504));
  if (client->status == 503) CHECK(client->headers.count("Retry-After") == 1);
  fixture.advance(seconds(1));
  CHECK(fixture.engine.open_request_count() == 0);
}

TEST_CASE("an ask is tried elsewhere where a command is not", "[chat]") {
  const std::string model = GENERATE("ask", "command");
  int calls = 0;
  Fixture fixture(
      healthy_reader,
      [&calls](FakeReplica& replica, SlotId client, const ReceivedRequest& request) {
        if (++calls == 1) return replica.server.abort(client);  // after the request has arrived
        healthy_writer(replica, client, request);
      },
      kChatConfig);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body(model, false));
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  fixture.advance(seconds(1));
  CHECK(client->status == (model == "ask" ? 200 : 502));
  CHECK(calls == (model == "ask" ? 2 : 1));
}

TEST_CASE("a cancel before the first token stops the work and lets go of what is held", "[chat]") {
  const bool while_reading = GENERATE(true, false);
  const auto silent = [](FakeReplica&, SlotId, const ReceivedRequest&) {};
  Fixture fixture(while_reading ? Fixture::Behavior(silent) : Fixture::Behavior(healthy_reader), silent,
                  kChatConfig);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("command", true));
  REQUIRE(fixture.until(
      [&] { return fixture.request_count("POST", while_reading ? Role::kReader : Role::kWriter) == 1; }));
  client->close();
  const auto stopped = [&] {
    std::size_t disconnected = 0;
    for (const auto& replica : fixture.replicas) disconnected += replica->disconnected_clients.size();
    return disconnected == 1;
  };
  CHECK(fixture.until(stopped));
  fixture.advance(milliseconds(200));
  CHECK(fixture.until([&] {
    return fixture.request_count("DELETE", Role::kReader) + fixture.request_count("DELETE", Role::kWriter) >=
           1;
  }));
  CHECK(fixture.engine.open_request_count() == 0);
  CHECK(fixture.request_count("POST", Role::kWriter) == (while_reading ? 0 : 1));
}

TEST_CASE("a silent replica costs the client no more than its deadline", "[chat]") {
  const auto silent = [](FakeReplica&, SlotId, const ReceivedRequest&) {};
  Fixture fixture(healthy_reader, silent, kChatConfig);
  auto client = fixture.chat_client();
  client->post(kJson, chat_body("command", false));
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kWriter) == 1; }));
  fixture.advance(milliseconds(3100));
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(client->status == 504);
  CHECK(client->headers["X-Should-Retry"] == "false");
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
}

TEST_CASE("more than max_open requests are told to come later", "[chat]") {
  Json config = Json::parse(kChatConfig);
  config["max_open"] = 1;
  const auto silent = [](FakeReplica&, SlotId, const ReceivedRequest&) {};
  Fixture fixture(silent, silent, config.dump());
  auto first = fixture.chat_client(), second = fixture.chat_client();
  first->post(kJson, chat_body("ask", true));
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kReader) == 1; }));
  second->post(kJson, chat_body("ask", true));
  REQUIRE(fixture.until([&] { return second->is_complete; }));
  CHECK(second->status == 429);
  CHECK(second->headers["Retry-After"] == "1");
}

TEST_CASE("a conversation keeps its keys from turn to turn", "[chat]") {
  const auto settings = make_settings();
  const auto config = *openai_api::parse_config({"chat.json", kChatConfig}, settings);
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
    Json config = Json::parse(kChatConfig);
    config[Json::json_pointer(path)] = value;
    try {
      static_cast<void>(openai_api::parse_config({"chat.json", config.dump()}, settings));
    } catch (const cue::Errors& errors) {
      const cue::Problem& first = errors.problems.front();
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

}  // namespace
}  // namespace dispatcher::testing
