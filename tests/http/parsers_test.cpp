// Parsers with valid messages and random garbage, which are split at random from fixed seeds. A message must
// parse equally and garbage must cause the same error, however they are split.
#include <deque>
#include <random>

#include "daemon/config.hpp"
#include "platform_api/request.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using Random = std::mt19937;

std::vector<std::string> split_randomly(const std::string& text, Random& random) {
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t max_length = random() % 3 == 0 ? 200 : 7;
    const std::size_t length = 1 + random() % max_length;
    pieces.push_back(text.substr(at, length));
    at += length;
  }
  return pieces;
}

// Returns what a reader parses from a connection's bytes, as text.
template <bool kRequest>
std::string transcript_of(const std::vector<std::string>& pieces) {
  http::MessageReader<kRequest> reader(http::kMaxBodyBytes);
  net::RingBuffer input(std::size_t{64} * 1024);
  std::string transcript;
  for (const std::string& piece : pieces) {
    REQUIRE(input.append(piece));
    for (auto progress = reader.read(input); progress != http::ReadStatus::kNeedMore;
         progress = reader.read(input)) {
      if (progress == http::ReadStatus::kMalformed) return transcript + "bad: " + reader.error().message();
      auto& message = reader.message();
      if constexpr (kRequest) {
        transcript += std::string(message.method_string()) + " " + std::string(message.target());
      } else {
        transcript += std::to_string(message.result_int());
      }
      for (const auto& field : message) {
        transcript += "|" + std::string(field.name_string()) + "=" + std::string(field.value());
      }
      transcript += "|" + message.body() + "\n";
      reader.reset();
      if (input.empty()) break;
    }
  }
  return transcript + (reader.has_started() || !input.empty() ? "more" : "end");
}

std::string random_bytes(Random& random, std::size_t length) {
  std::string text;
  while (text.size() < length) text += static_cast<char>(random() & 0xff);
  return text;
}

// Returns the valid message with a few bytes changed, removed or added.
std::string corrupt(std::string text, Random& random) {
  for (unsigned i = 0; i <= random() % 4; ++i) {
    const std::size_t at = random() % text.size();
    switch (random() % 3) {
      case 0:
        text[at] = static_cast<char>(random() & 0xff);
        break;
      case 1:
        text.erase(at, 1 + random() % 5);
        break;
      default:
        text.insert(at, random_bytes(random, 1 + random() % 5));
    }
    if (text.empty()) return "x";
  }
  return text;
}

const std::string valid_requests =
    "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: x\r\nX-Facts: "
    "prefix=5c,prompt_len=10\r\nContent-Length: 11\r\n\r\n"
    "hello world"
    "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
    "chunked\r\n\r\n5\r\nabcde\r\n3;e=1\r\nfgh\r\n0\r\n\r\n";
const std::string valid_responses =
    "HTTP/1.1 202 Accepted\r\nX-Backend-Load: {\"x0\":0.5}\r\nContent-Length: 2\r\n\r\n{}"
    "HTTP/1.1 204 No Content\r\n\r\n"
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\ndata: x\r\n2\r\n\n\n\r\n0\r\n\r\n";

TEST_CASE("messages parse equally, complete or split anywhere", "[parsers]") {
  const std::string requests = transcript_of<true>({valid_requests});
  const std::string responses = transcript_of<false>({valid_responses});
  CHECK(requests ==
        "POST /v1/chat/completions?a=b|Host=x|X-Facts=prefix=5c,prompt_len=10|Content-Length=11|hello world\n"
        "GET /healthz|Host=x|\nPOST /c|Host=x|Transfer-Encoding=chunked|abcdefgh\nend");
  CHECK(responses ==
        "202|X-Backend-Load={\"x0\":0.5}|Content-Length=2|{}\n204|\n200|Transfer-Encoding=chunked|data: "
        "x\n\n\nend");
  Random random(1);
  for (int i = 0; i < 500; ++i) {
    REQUIRE(transcript_of<true>(split_randomly(valid_requests, random)) == requests);
    REQUIRE(transcript_of<false>(split_randomly(valid_responses, random)) == responses);
  }
}

TEST_CASE("garbage is rejected equally, complete or split anywhere", "[parsers]") {
  Random random(2);
  int rejected = 0;
  for (int i = 0; i < 1500; ++i) {
    const std::string noise = random_bytes(random, 1 + random() % 300);
    const std::string request = corrupt(valid_requests, random);
    const std::string response = corrupt(valid_responses, random);
    const auto split = [&](const std::string& text) { return split_randomly(text, random); };
    INFO("noise " << Catch::Detail::stringify(std::vector<int>(noise.begin(), noise.end())));
    REQUIRE(transcript_of<true>(split(noise)) == transcript_of<true>({noise}));
    const std::string transcript = transcript_of<true>({request});
    REQUIRE(transcript_of<true>(split(request)) == transcript);
    REQUIRE(transcript_of<false>(split(response)) == transcript_of<false>({response}));
    rejected += transcript.find("bad: ") != std::string::npos ? 1 : 0;
  }
  CHECK(rejected > 500);  // checks that the garbage is malformed often enough
}

TEST_CASE("a head or body above its limit is rejected", "[parsers]") {
  const std::string head = "POST / HTTP/1.1\r\n";
  CHECK(transcript_of<true>({head + "Content-Length: 262145\r\n\r\n"}) == "bad: body limit exceeded");
  CHECK(transcript_of<true>({head + "X: " + std::string(http::kMaxHeadBytes, 'y') + "\r\n\r\n"}) ==
        "bad: header limit exceeded");
}

TEST_CASE("events are framed completely and without changes for each split and line ending", "[parsers]") {
  const std::string end = GENERATE("\n", "\r\n", "\r");
  std::vector<std::string> events;
  for (const std::string text : {"data: one", "event: x|data: a|data: b", ": note", "data:"}) {
    std::string event = text + "|";
    for (std::size_t at = event.find('|'); at != std::string::npos; at = event.find('|'))
      event.replace(at, 1, end);
    events.push_back(event + end);
  }
  std::string stream;
  for (const auto& event : events) stream += event;
  Random random(3);
  for (int i = 0; i < 300; ++i) {
    http::EventFramer framer;
    std::vector<std::string> out;
    for (const std::string& piece : split_randomly(stream + "data: cut", random)) {
      for (auto& event : framer.append(piece)) out.push_back(std::move(event));
    }
    REQUIRE(out == events);
    REQUIRE(framer.incomplete_event() == "data: cut");
  }
  CHECK(http::event_field(events[1], "data") == "a\nb");
  CHECK(http::event_field(events[1], "event") == "x");
}

TEST_CASE("an event that ends in a lone CR is complete at the stream's end", "[parsers]") {
  http::EventFramer framer;
  CHECK(framer.append("data: x\r\r").empty());
  CHECK(framer.finish() == "data: x\r\r");
  CHECK(framer.incomplete_event().empty());
}

TEST_CASE("the event framer returns garbage unchanged", "[parsers]") {
  Random random(4);
  for (int i = 0; i < 500; ++i) {
    std::string noise = random_bytes(random, random() % 400);
    for (char& byte : noise) byte = random() % 3 == 0 ? "\r\n"[random() % 2] : byte;
    const auto frame = [](const std::vector<std::string>& pieces) {
      http::EventFramer framer;
      std::string all;
      for (const auto& piece : pieces) {
        for (const auto& event : framer.append(piece)) all += event + "#";
      }
      return all + framer.finish() + "#" + framer.incomplete_event();
    };
    const std::string unsplit = frame({noise});
    REQUIRE(frame(split_randomly(noise, random)) == unsplit);
    std::string plain = unsplit;
    std::erase(plain, '#');
    std::erase(noise, '#');
    REQUIRE(plain == noise);
  }
}

const std::string endpoint_list =
    R"({"seq":43,"whole":false,"hosts":[{"host":"s-1","dial":"127.0.0.1:3000","site":"a","class":"reader",)"
    R"("block":3,"health":"draining","share":1.5,"born_ms":1500}]})";

TEST_CASE("an endpoint list is parsed, and the error of a malformed one names its field", "[parsers]") {
  const auto snapshot = service_discovery::parse_endpoint_snapshot(nlohmann::json::parse(endpoint_list));
  CHECK(snapshot.version == 43);
  CHECK(snapshot.list.kind == routing::ListKind::kDelta);
  CHECK(snapshot.list.entries[0].state == routing::EndpointState::kDraining);
  CHECK(snapshot.list.entries[0].started == milliseconds(1500));
  CHECK_FALSE(snapshot.addresses[0].is_ready);
  Random random(5);
  int rejected = 0;
  for (int i = 0; i < 2000; ++i) {
    try {
      const auto parsed = service_discovery::parse_endpoint_snapshot(
          nlohmann::json::parse(corrupt(endpoint_list, random), nullptr, false));
      CHECK(parsed.addresses.size() == parsed.list.entries.size());
    } catch (const std::invalid_argument&) {
      ++rejected;
    }
  }
  CHECK(rejected > 1000);
}

TEST_CASE("a request's headers are parsed, and the error of a malformed one names it", "[parsers]") {
  const auto settings = make_settings();
  const auto parse = [&](const std::string& headers) {
    http::RequestReader reader(http::kMaxBodyBytes);
    net::RingBuffer input(std::size_t{64} * 1024);
    REQUIRE(input.append("POST / HTTP/1.1\r\n" + headers + "\r\n"));
    REQUIRE(reader.read(input) == http::ReadStatus::kComplete);
    return platform_api::parse_request(reader.message(), settings, seconds(100));
  };
  const auto request = parse(platform_headers("9b1f03aa5c7e2d41", "ask", 4800) + "X-Repeat: 1\r\n");
  CHECK(request.id == "9b1f03aa5c7e2d41");
  CHECK(request.session == 0x7f);
  CHECK(request.shared_prefix == 0x5c);
  CHECK(request.prompt_tokens == 1000);
  CHECK(request.max_tokens == 100);
  CHECK(request.client_deadline == milliseconds(104800));
  CHECK(request.client_retry);
  const auto problem = [&](const std::string& headers) {
    try {
      parse(headers);
    } catch (const platform_api::HeaderError& error) {
      CHECK(error.what() == platform_api::describe(error.problem(), error.header()));
      return std::string(error.what());
    }
    return std::string("none");
  };
  const std::string id = "X-Correlation-Id: ab\r\n";
  const std::string service_class = "X-Service-Class: ask\r\n";
  CHECK(problem(service_class) == "X-Correlation-Id: letters and digits expected");
  CHECK(problem("X-Correlation-Id: a/../b\r\n" + service_class) ==
        "X-Correlation-Id: letters and digits expected");
  CHECK(problem(id) == "X-Service-Class: unknown class");
  CHECK(problem(id + service_class + "X-Time-Left-Ms: soon\r\n") == "X-Time-Left-Ms: not a number");
  CHECK(problem(id + service_class + "X-Time-Left-Ms: -5\r\n") == "X-Time-Left-Ms: out of range");
  CHECK(problem(id + service_class + "X-Facts: prompt_len=99999999999\r\n") ==
        "X-Facts prompt_len: not a number");
  CHECK(problem(id + service_class + "X-Session-Key: zz\r\n") == "X-Session-Key: not a number");
}

TEST_CASE("the error of a malformed configuration names its field", "[parsers]") {
  const nlohmann::json good =
      nlohmann::json::parse(R"({"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2",
    "seed":"8c1f","limits":{"sockets":512,"memory_mb":192},"settings":{"myNumber":0,"balancers":2,"myZone":"here",
    "categories":[{"name":"ask","repeat":"safe","objectiveMs":1200,"deadlineMs":6000,"worth":1}],
    "hostTypes":["reader","writer"],"familyInfo":{"dutyByKind":["read","write"],"pinLimitMs":300},"registryMode":"push",
    "limits":{"mostTries":4,"connectTimeoutMs":250,"idleCloseMs":15000},"granularityMs":4,
    "guarantees":{"answerSlackMs":16,"drainGraceMs":250,"coldShare":0.3,"coldMs":14000,"tipMultiple":4,"tipAfterMs":2000}}})");
  const auto config = daemon::parse_config(good.dump(), {{"PROXY_NAME", "n7"}});
  CHECK(config.name == "n7");
  CHECK(config.seed == 0x8c1f);
  CHECK(config.settings.connect_timeout == milliseconds(250));
  CHECK(config.settings.idle_timeout == seconds(15));
  const auto problem = [&](const char* path, const nlohmann::json& value) {
    nlohmann::json malformed = good;
    malformed[nlohmann::json::json_pointer(path)] = value;
    try {
      daemon::parse_config(malformed.dump(), {});
    } catch (const daemon::ConfigError& error) {
      return std::string(error.what());
    }
    return std::string("none");
  };
  const auto field_error = [](const std::string& what) { return "configuration:1: field " + what; };
  CHECK(problem("/listen", "here") == field_error("'listen': 'here'; wanted: address and port"));
  CHECK(problem("/seed", "xyz") == field_error("'seed': no number; wanted: hexadecimal text"));
  CHECK(problem("/limits/sockets", 0) == field_error("'limits.sockets': 0; wanted: number above 0"));
  CHECK(problem("/settings", 5) == field_error("'settings': no object; wanted: object"));
  CHECK(problem("/settings/limits/idleCloseMs", 0) ==
        field_error("'settings.limits.idleCloseMs': 0 ms: no connection can be kept; wanted: above 0"));
  CHECK(problem("/settings/limits/connectTimeoutMs", "x") ==
        field_error("'settings.limits.connectTimeoutMs': \"x\"; wanted: number of milliseconds"));
  CHECK(problem("/settings/limits/mostTries", 0) ==
        field_error("'settings.limits.mostTries': 0; wanted: at least 1"));
  CHECK(problem("/known", 5) == field_error("'known': an object expected"));
  CHECK_THROWS_AS(daemon::parse_config("{", {}), daemon::ConfigError);
}

TEST_CASE("a ring buffer keeps bytes in order through growth and wrapping", "[net]") {
  Random random(6);
  net::RingBuffer ring(1 << 16);
  std::string model;
  for (int i = 0; i < 20000; ++i) {
    if (random() % 2 == 0) {
      const std::string piece = random_bytes(random, random() % 3000);
      const bool fits = model.size() + piece.size() <= (1 << 16);
      REQUIRE(ring.append(piece) == fits);
      if (fits) model += piece;
    } else {
      const std::size_t length = std::min<std::size_t>(random() % 3000, model.size());
      ring.consume(length);
      model.erase(0, length);
    }
    REQUIRE(ring.size() == model.size());
    if (i % 50 != 0) continue;
    std::string content;
    for (const auto& piece : ring.data())
      content.append(static_cast<const char*>(piece.data()), piece.size());
    REQUIRE(content == model);
  }
}

TEST_CASE("a slot id finds nothing once its slot is reused", "[net]") {
  net::SlotTable<std::string> table;
  const auto first = table.emplace("one");
  table.erase(first);
  const auto second = table.emplace("two");
  CHECK(second.index == first.index);
  CHECK(table.find(first) == nullptr);
  CHECK(*table.find(second) == "two");
  table.erase(first);
  CHECK(table.size() == 1);
  CHECK(table.find({}) == nullptr);
}

TEST_CASE("timers run in order, once, and not when dropped", "[core]") {
  engine::TimerQueue timers;
  std::vector<int> ran;
  auto dropped = timers.add(seconds(1), [&] { ran.push_back(0); });
  timers.add(seconds(3), [&] { ran.push_back(3); });
  timers.add(seconds(2), [&] {
    ran.push_back(2);
    timers.add(seconds(1), [&] { ran.push_back(9); });  // its time has passed, so it runs in the next run()
  });
  timers.drop(dropped);
  CHECK(timers.next() == engine::Time(seconds(2)));
  timers.run(seconds(3));
  CHECK(ran == std::vector<int>{2, 3});
  timers.run(seconds(3));
  CHECK(ran == std::vector<int>{2, 3, 9});
  CHECK(timers.size() == 0);
}

}  // namespace
}  // namespace dispatcher::testing
