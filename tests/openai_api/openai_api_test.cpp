// The OpenAI-compatible frontend: the API's formats, and its responses when endpoints fail.
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using Json = nlohmann::json;
constexpr const char* kJsonHeader = "Content-Type: application/json\r\n";

std::vector<std::string> data_of(const std::string& body) {
  http::EventFramer framer;
  std::vector<std::string> data;
  for (const auto& event : framer.append(body)) data.push_back(http::event_field(event, "data"));
  return data;
}

// Returns a client that has posted the body.
std::unique_ptr<FakeClient> post_chat(Fixture& fixture, const std::string& body,
                                      const std::string& more_headers = {}) {
  auto client = fixture.chat_client();
  client->post(kJsonHeader + more_headers, body);
  return client;
}

// Returns a client that has posted the body and received its response.
std::unique_ptr<FakeClient> answered_client(Fixture& fixture, const std::string& body,
                                            const std::string& more_headers = {}) {
  auto client = post_chat(fixture, body, more_headers);
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  return client;
}

TEST_CASE("a streamed completion consists of the API's chunks and its end marker", "[chat]") {
  Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
  const auto client = answered_client(fixture, chat_body("ask", ResponseMode::kStream));
  CHECK(client->status == 200);
  CHECK(client->headers["Content-Type"] == "text/event-stream");
  const auto data = data_of(client->body);
  REQUIRE(data.size() == 4);  // two words, the finish reason and the end marker; usage was not requested
  const Json first = Json::parse(data[0]);
  CHECK(first["object"] == "chat.completion.chunk");
  CHECK(first["model"] == "ask");
  CHECK(first["choices"][0]["delta"] == Json{{"role", "assistant"}, {"content", "yes"}});
  CHECK(Json::parse(data[1])["id"] == first["id"]);
  CHECK(data.back() == "[DONE]");
  CHECK(fixture.request_count("POST", Role::kReader) == 1);
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
}

TEST_CASE("a completion that is not streamed joins the endpoint's chunks and usage", "[chat]") {
  Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
  const auto client = answered_client(fixture, chat_body("ask", ResponseMode::kCompletion));
  const Json answer = Json::parse(client->body);
  CHECK(answer["object"] == "chat.completion");
  CHECK(answer["choices"][0]["message"] == Json{{"role", "assistant"}, {"content", "yesit"}});
  CHECK(answer["choices"][0]["finish_reason"] == "stop");
  CHECK(answer["usage"]["total_tokens"] == 9);
  const Json sent = Json::parse(fixture.only_request("POST", Role::kReader).body);
  CHECK(sent["stream"] == true);  // an endpoint always streams
}

TEST_CASE("a stream includes the usage if include_usage is set", "[chat]") {
  Fixture fixture(healthy_reader, healthy_writer, kChatConfig);
  Json body = Json::parse(chat_body("ask", ResponseMode::kStream));
  body["stream_options"] = {{"include_usage", true}};
  const auto client = answered_client(fixture, body.dump());
  const auto data = data_of(client->body);
  REQUIRE(data.size() == 5);
  CHECK(Json::parse(data[3])["usage"]["prompt_tokens"] == 7);
}

TEST_CASE("the models are listed, and an unknown model is not found", "[chat]") {
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

TEST_CASE("invalid requests get the API's errors and reach no endpoint", "[chat]") {
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
    const auto client = answered_client(fixture, test_case.body);
    INFO(test_case.body.substr(0, 80));
    CHECK(client->status == test_case.status);
    CHECK(Json::parse(client->body)["error"]["type"] == "invalid_request_error");
    CHECK(Json::parse(client->body)["error"]["param"] == test_case.param);
  }
  constexpr std::size_t kAboveMaxBodyBytes = std::size_t{300} * 1024;
  const auto large = answered_client(fixture, std::string(kAboveMaxBodyBytes, 'x'));
  CHECK(large->status == 413);
  auto misdirected = fixture.chat_client();
  misdirected->get("/v2/models");
  REQUIRE(fixture.until([&] { return misdirected->is_complete; }));
  CHECK(misdirected->status == 404);
  auto wrong_method = fixture.chat_client();
  wrong_method->get("/v1/chat/completions");
  REQUIRE(fixture.until([&] { return wrong_method->is_complete; }));
  CHECK(wrong_method->status == 405);
  CHECK(wrong_method->headers["Allow"] == "POST");
  CHECK(fixture.request_count("POST", Role::kReader) + fixture.request_count("POST", Role::kWriter) == 0);
}

TEST_CASE("with configured API keys, only requests that present one are served", "[chat]") {
  Json config = Json::parse(kChatConfig);
  config["keys"] = {{{"key", "k-1"}, {"account", "acme"}}};
  Fixture fixture(healthy_reader, healthy_writer, config.dump());
  for (const auto& [header, status] :
       std::vector<std::pair<std::string, int>>{{"", 401},
                                                {"Authorization: Bearer k-2\r\n", 401},
                                                {"Authorization: Bearer \r\n", 401},
                                                {"Authorization: Bearer k-1\r\n", 200}}) {
    const auto client = answered_client(fixture, chat_body("ask", ResponseMode::kCompletion), header);
    CHECK(client->status == status);
  }
}

TEST_CASE("a non-idempotent request whose stream is aborted is sent once and gets no regular end", "[chat]") {
  const ResponseMode mode = GENERATE(ResponseMode::kStream, ResponseMode::kCompletion);
  Fixture fixture(
      healthy_reader,
      [](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
        endpoint.stream_words(client, {"valve"}, StreamEnd::kOpen);
        endpoint.server.write_events(client, "data: {\"choices\":[{\"ind");  // cut mid-event
        endpoint.server.abort(client);
      },
      kChatConfig);
  auto client = post_chat(fixture, chat_body("command", mode));
  REQUIRE(fixture.until([&] { return client->is_finished(); }));
  fixture.advance(seconds(4));
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
  CHECK(client->body.find("[DONE]") == std::string::npos);
  CHECK(client->body.find("{\"ind") == std::string::npos);
  CHECK(client->body.find("stream_broken") != std::string::npos);
  CHECK(client->body.find("\"finish_reason\":\"stop\"") == std::string::npos);
  if (mode == ResponseMode::kStream) {
    CHECK_FALSE(client->is_complete);
  } else {
    CHECK(client->status == 502);
    CHECK(client->headers["X-Should-Retry"] == "false");
  }
  CHECK(fixture.engine.open_request_count() == 0);
}

TEST_CASE("a stream without its end marker does not result in a complete completion", "[chat]") {
  Fixture fixture(
      healthy_reader,
      [](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
        endpoint.stream_words(client, {"half"}, StreamEnd::kOpen);
        endpoint.server.end_response(client);  // sends the last chunk, but no [DONE]
      },
      kChatConfig);
  const auto client = answered_client(fixture, chat_body("ask", ResponseMode::kCompletion));
  CHECK(client->status == 502);
}

// An endpoint that never stops must not exhaust the memory of a dispatcher that collects the completion.
TEST_CASE("an endless response is aborted at a maximum length", "[chat]") {
  Fixture fixture(
      healthy_reader,
      [](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
        endpoint.stream_words(client, {std::string(250'000, 'x')}, StreamEnd::kOpen);
      },
      kChatConfig);
  auto client = post_chat(fixture, chat_body("command", ResponseMode::kCompletion));
  const std::string event =
      "data: {\"choices\":[{\"delta\":{\"content\":\"" + std::string(250'000, 'x') + "\"}}]}\n\n";
  for (int i = 0; i < 40 && !client->is_finished(); ++i) {
    fixture.settle();
    for (const std::size_t index : {0U, 1U}) {
      FakeEndpoint& writer = fixture.writer(index);
      for (const SlotId pending : writer.pending_clients) writer.server.write_events(pending, event);
    }
  }
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(client->status == 502);
  CHECK(client->body.find("answer_too_long") != std::string::npos);
  CHECK(fixture.engine.open_request_count() == 0);
}

enum class EndpointFailure { kReset, kError, kAtCapacity, kStateLost, kSilence };

FakeEndpoint::Behavior failing_by(EndpointFailure failure) {
  return [failure](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest&) {
    switch (failure) {
      case EndpointFailure::kReset:
        return endpoint.server.abort(client);
      case EndpointFailure::kError:
        return endpoint.respond(client, 500);
      case EndpointFailure::kAtCapacity:
        return endpoint.reject_unprocessed(client, 503);
      case EndpointFailure::kStateLost:
        return endpoint.reject_unprocessed(client, 410);
      case EndpointFailure::kSilence:
        return;
    }
  };
}

TEST_CASE("an idempotent request always gets a final answer when endpoints fail", "[chat]") {
  const auto failing_endpoint =
      failing_by(GENERATE(EndpointFailure::kReset, EndpointFailure::kError, EndpointFailure::kAtCapacity,
                          EndpointFailure::kStateLost, EndpointFailure::kSilence));
  const Role failing_role = GENERATE(Role::kReader, Role::kWriter);
  const bool readers_fail = failing_role == Role::kReader;
  Fixture fixture(readers_fail ? failing_endpoint : FakeEndpoint::Behavior(healthy_reader),
                  readers_fail ? FakeEndpoint::Behavior(healthy_writer) : failing_endpoint, kChatConfig);
  auto client = post_chat(fixture, chat_body("ask", ResponseMode::kStream));
  fixture.until([&] { return fixture.request_count("POST", Role::kReader) > 0; });
  for (int i = 0; i < 130 && !client->is_finished(); ++i) fixture.advance(milliseconds(50));
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  INFO(client->status << " " << client->body);
  CHECK((client->status == 502 || client->status == 503 || client->status == 504));
  if (client->status == 503) CHECK(client->headers.count("Retry-After") == 1);
  fixture.advance(seconds(1));
  CHECK(fixture.engine.open_request_count() == 0);
}

TEST_CASE("an idempotent request is retried after a reset, a non-idempotent one is not", "[chat]") {
  const std::string model = GENERATE("ask", "command");
  int call_count = 0;
  Fixture fixture(
      healthy_reader,
      [&call_count](FakeEndpoint& endpoint, SlotId client, const ReceivedRequest& request) {
        if (++call_count == 1) return endpoint.server.abort(client);  // after the request has arrived
        healthy_writer(endpoint, client, request);
      },
      kChatConfig);
  const auto client = answered_client(fixture, chat_body(model, ResponseMode::kCompletion));
  fixture.advance(seconds(1));
  CHECK(client->status == (model == "ask" ? 200 : 502));
  CHECK(call_count == (model == "ask" ? 2 : 1));
}

TEST_CASE("a disconnect before the first token cancels the attempt and releases the reservation", "[chat]") {
  const Role role_at_work = GENERATE(Role::kReader, Role::kWriter);
  const bool while_reading = role_at_work == Role::kReader;
  Fixture fixture(while_reading ? silent_endpoint : healthy_reader, silent_endpoint, kChatConfig);
  auto client = post_chat(fixture, chat_body("command", ResponseMode::kStream));
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", role_at_work) == 1; }));
  client->close();
  const auto stopped = [&] {
    std::size_t disconnected = 0;
    for (const auto& endpoint : fixture.fake_endpoints) disconnected += endpoint->disconnected_clients.size();
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

TEST_CASE("a silent endpoint delays the client no longer than its deadline", "[chat]") {
  Fixture fixture(healthy_reader, silent_endpoint, kChatConfig);
  auto client = post_chat(fixture, chat_body("command", ResponseMode::kCompletion));
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kWriter) == 1; }));
  fixture.advance(milliseconds(3100));
  REQUIRE(fixture.until([&] { return client->is_complete; }));
  CHECK(client->status == 504);
  CHECK(client->headers["X-Should-Retry"] == "false");
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
}

TEST_CASE("requests above max_open are rejected with Retry-After", "[chat]") {
  Json config = Json::parse(kChatConfig);
  config["max_open"] = 1;
  Fixture fixture(silent_endpoint, silent_endpoint, config.dump());
  const auto first = post_chat(fixture, chat_body("ask", ResponseMode::kStream));
  REQUIRE(fixture.until([&] { return fixture.request_count("POST", Role::kReader) == 1; }));
  const auto second = answered_client(fixture, chat_body("ask", ResponseMode::kStream));
  CHECK(second->status == 429);
  CHECK(second->headers["Retry-After"] == "1");
}

TEST_CASE("the turns of a conversation have the same session and prefix keys", "[chat]") {
  const auto settings = make_settings();
  const auto config = *openai_api::parse_config({"chat.json", kChatConfig}, settings);
  Json body = Json::parse(chat_body("ask", ResponseMode::kCompletion));
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

TEST_CASE("the error of an invalid chat.json names its field", "[chat]") {
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
