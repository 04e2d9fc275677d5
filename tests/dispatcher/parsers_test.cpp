// The parsers against random cuts of valid messages and random garbage, from fixed seeds: a message must
// parse alike whole or cut anywhere, and garbage must end in the same refusal however it arrives.
#include <deque>
#include <random>

#include "daemon/config.hpp"
#include "fixture.hpp"
#include "platform_api/request.hpp"

namespace dispatcher::testing {
namespace {

using Random = std::mt19937;

std::vector<std::string> cut(const std::string& text, Random& random) {
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t n = 1 + random() % (random() % 3 == 0 ? 200 : 7);
    pieces.push_back(text.substr(at, n));
    at += n;
  }
  return pieces;
}

// What a reader makes of a connection's bytes, written down.
template <bool kRequest>
std::string account(const std::vector<std::string>& pieces) {
  http::MessageReader<kRequest> reader(http::kMaxBodyBytes);
  net::RingBuffer input(64 * 1024);
  std::string story;
  for (const std::string& piece : pieces) {
    REQUIRE(input.append(piece));
    for (auto progress = reader.read(input); progress != http::ReadStatus::kNeedMore;
         progress = reader.read(input)) {
      if (progress == http::ReadStatus::kMalformed) return story + "bad: " + reader.error().message();
      auto& m = reader.message();
      if constexpr (kRequest) {
        story += std::string(m.method_string()) + " " + std::string(m.target());
      } else {
        story += std::to_string(m.result_int());
      }
      for (const auto& f : m) story += "|" + std::string(f.name_string()) + "=" + std::string(f.value());
      story += "|" + m.body() + "\n";
      reader.reset();
      if (input.empty()) break;
    }
  }
  return story + (reader.has_started() || !input.empty() ? "more" : "end");
}

std::string random_bytes(Random& random, std::size_t n) {
  std::string text;
  while (text.size() < n) text += static_cast<char>(random() & 0xff);
  return text;
}

// A valid message with a few bytes changed, dropped or added.
std::string spoil(std::string text, Random& random) {
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

const std::string kRequests =
    "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: x\r\nX-Facts: "
    "prefix=5c,prompt_len=10\r\nContent-Length: 11\r\n\r\n"
    "hello world"
    "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
    "chunked\r\n\r\n5\r\nabcde\r\n3;e=1\r\nfgh\r\n0\r\n\r\n";
const std::string kResponses =
    "HTTP/1.1 202 Accepted\r\nX-Backend-Load: {\"x0\":0.5}\r\nContent-Length: 2\r\n\r\n{}"
    "HTTP/1.1 204 No Content\r\n\r\n"
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\ndata: x\r\n2\r\n\n\n\r\n0\r\n\r\n";

TEST_CASE("messages parse alike, whole or cut anywhere", "[parsers]") {
  const std::string requests = account<true>({kRequests}), responses = account<false>({kResponses});
  CHECK(requests ==
        "POST /v1/chat/completions?a=b|Host=x|X-Facts=prefix=5c,prompt_len=10|Content-Length=11|hello world\n"
        "GET /healthz|Host=x|\nPOST /c|Host=x|Transfer-Encoding=chunked|abcdefgh\nend");
  CHECK(responses ==
        "202|X-Backend-Load={\"x0\":0.5}|Content-Length=2|{}\n204|\n200|Transfer-Encoding=chunked|data: "
        "x\n\n\nend");
  Random random(1);
  for (int i = 0; i < 500; ++i) {
    REQUIRE(account<true>(cut(kRequests, random)) == requests);
    REQUIRE(account<false>(cut(kResponses, random)) == responses);
  }
}

TEST_CASE("garbage is refused alike, whole or cut anywhere", "[parsers]") {
  Random random(2);
  int bad = 0;
  for (int i = 0; i < 1500; ++i) {
    const std::string noise = random_bytes(random, 1 + random() % 300);
    const std::string request = spoil(kRequests, random), response = spoil(kResponses, random);
    const auto cut_anyhow = [&](const std::string& text) { return cut(text, random); };
    INFO("noise " << Catch::Detail::stringify(std::vector<int>(noise.begin(), noise.end())));
    REQUIRE(account<true>(cut_anyhow(noise)) == account<true>({noise}));
    const std::string status = account<true>({request});
    REQUIRE(account<true>(cut_anyhow(request)) == status);
    REQUIRE(account<false>(cut_anyhow(response)) == account<false>({response}));
    bad += status.find("bad: ") != std::string::npos ? 1 : 0;
  }
  CHECK(bad > 500);  // the garbage is such that refusals are really seen
}

TEST_CASE("a head or body past its limit is refused", "[parsers]") {
  const std::string head = "POST / HTTP/1.1\r\n";
  CHECK(account<true>({head + "Content-Length: 262145\r\n\r\n"}) == "bad: body limit exceeded");
  CHECK(account<true>({head + "X: " + std::string(http::kMaxHeadBytes, 'y') + "\r\n\r\n"}) ==
        "bad: header limit exceeded");
}

TEST_CASE("events come out whole and unchanged, however they are cut and whatever ends their lines",
          "[parsers]") {
  const std::string end = GENERATE("\n", "\r\n", "\r");
  std::vector<std::string> events;
  for (const std::string text : {"data: one", "event: x|data: a|data: b", ": note", "data:"}) {
    std::string event = text + "|";
    for (std::size_t at; (at = event.find('|')) != std::string::npos;) event.replace(at, 1, end);
    events.push_back(event + end);
  }
  std::string stream;
  for (const auto& event : events) stream += event;
  Random random(3);
  for (int i = 0; i < 300; ++i) {
    http::EventFramer framer;
    std::vector<std::string> out;
    for (const std::string& piece : cut(stream + "data: cut", random)) {
      for (auto& event : framer.append(piece)) out.push_back(std::move(event));
    }
    REQUIRE(out == events);
    REQUIRE(framer.incomplete_event() == "data: cut");
  }
  CHECK(http::event_field(events[1], "data") == "a\nb");
  CHECK(http::event_field(events[1], "event") == "x");
}

TEST_CASE("an event that ends in a lone CR is given at the stream's end", "[parsers]") {
  http::EventFramer framer;
  CHECK(framer.append("data: x\r\r").empty());
  CHECK(framer.finish() == "data: x\r\r");
  CHECK(framer.incomplete_event().empty());
}

TEST_CASE("no garbage changes in the framer", "[parsers]") {
  Random random(4);
  for (int i = 0; i < 500; ++i) {
    std::string noise = random_bytes(random, random() % 400);
    for (char& c : noise) c = random() % 3 == 0 ? "\r\n"[random() % 2] : c;
    const auto pass = [](const std::vector<std::string>& pieces) {
      http::EventFramer framer;
      std::string all;
      for (const auto& piece : pieces) {
        for (const auto& event : framer.append(piece)) all += event + "#";
      }
      return all + framer.finish() + "#" + framer.incomplete_event();
    };
    const std::string whole = pass({noise});
    REQUIRE(pass(cut(noise, random)) == whole);
    std::string plain = whole;
    std::erase(plain, '#');
    std::erase(noise, '#');
    REQUIRE(plain == noise);
  }
}

const std::string kServers =
    R"({"seq":43,"whole":false,"hosts":[{"host":"s-1","dial":"127.0.0.1:3000","site":"a","class":"reader",)"
    R"("block":3,"health":"draining","share":1.5,"born_ms":1500}]})";

TEST_CASE("the list of servers is read, and spoilt ones are refused by their field", "[parsers]") {
  const auto servers = service_discovery::parse_servers(nlohmann::json::parse(kServers));
  CHECK(servers.seq == 43);
  CHECK(servers.list.kind == routing::ListKind::kDelta);
  CHECK(servers.list.entries[0].state == routing::EndpointState::kDraining);
  CHECK(servers.list.entries[0].started == milliseconds(1500));
  CHECK_FALSE(servers.addresses[0].ready);
  Random random(5);
  int rejected = 0;
  for (int i = 0; i < 2000; ++i) {
    try {
      service_discovery::parse_servers(nlohmann::json::parse(spoil(kServers, random), nullptr, false));
    } catch (const std::invalid_argument&) {
      ++rejected;
    }
  }
  CHECK(rejected > 1000);
}

TEST_CASE("a request's headers are read, and bad ones are named", "[parsers]") {
  const auto settings = make_settings();
  const auto parse = [&](const std::string& headers) {
    http::RequestReader reader(http::kMaxBodyBytes);
    net::RingBuffer input(64 * 1024);
    REQUIRE(input.append("POST / HTTP/1.1\r\n" + headers + "\r\n"));
    REQUIRE(reader.read(input) == http::ReadStatus::kComplete);
    return platform_api::parse_request(reader.message(), settings, seconds(100));
  };
  const auto r = parse(platform_headers("9b1f03aa5c7e2d41", "ask", 4800) + "X-Repeat: 1\r\n");
  CHECK(r.id == "9b1f03aa5c7e2d41");
  CHECK(r.session == 0x7f);
  CHECK(r.shared_prefix == 0x5c);
  CHECK(r.prompt_tokens == 1000);
  CHECK(r.max_tokens == 100);
  CHECK(r.client_deadline == milliseconds(104800));
  CHECK(r.client_retry);
  const auto problem = [&](const std::string& headers) {
    try {
      parse(headers);
    } catch (const std::invalid_argument& e) {
      return std::string(e.what());
    }
    return std::string("none");
  };
  const std::string id = "X-Correlation-Id: ab\r\n", cls = "X-Service-Class: ask\r\n";
  CHECK(problem(cls) == "X-Correlation-Id: letters and digits expected");
  CHECK(problem("X-Correlation-Id: a/../b\r\n" + cls) == "X-Correlation-Id: letters and digits expected");
  CHECK(problem(id) == "X-Service-Class: unknown class");
  CHECK(problem(id + cls + "X-Time-Left-Ms: soon\r\n") == "X-Time-Left-Ms: not a number");
  CHECK(problem(id + cls + "X-Time-Left-Ms: -5\r\n") == "X-Time-Left-Ms: out of range");
  CHECK(problem(id + cls + "X-Facts: prompt_len=99999999999\r\n") == "X-Facts prompt_len: not a number");
  CHECK(problem(id + cls + "X-Session-Key: zz\r\n") == "X-Session-Key: not a number");
}

TEST_CASE("a bad configuration is refused by the name of its field", "[parsers]") {
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
    nlohmann::json bad = good;
    bad[nlohmann::json::json_pointer(path)] = value;
    try {
      daemon::parse_config(bad.dump(), {});
    } catch (const daemon::ConfigError& e) {
      return std::string(e.what());
    }
    return std::string("none");
  };
  const auto told = [](const std::string& what) { return "configuration:1: field " + what; };
  CHECK(problem("/listen", "here") == told("'listen': 'here'; wanted: address and port"));
  CHECK(problem("/seed", "xyz") == told("'seed': no number; wanted: hexadecimal text"));
  CHECK(problem("/limits/sockets", 0) == told("'limits.sockets': 0; wanted: number above 0"));
  CHECK(problem("/settings", 5) == told("'settings': no object; wanted: object"));
  CHECK(problem("/settings/limits/idleCloseMs", 0) ==
        told("'settings.limits.idleCloseMs': 0 ms: no connection can be kept; wanted: above 0"));
  CHECK(problem("/settings/limits/connectTimeoutMs", "x") ==
        told("'settings.limits.connectTimeoutMs': \"x\"; wanted: number of milliseconds"));
  CHECK(problem("/settings/limits/mostTries", 0) ==
        told("'settings.limits.mostTries': 0; wanted: at least 1"));
  CHECK(problem("/known", 5) == told("'known': an object expected"));
  CHECK_THROWS_AS(daemon::parse_config("{", {}), daemon::ConfigError);
}

TEST_CASE("the ring buffer keeps bytes in order through growth and wrapping", "[net]") {
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
      const std::size_t n = std::min<std::size_t>(random() % 3000, model.size());
      ring.consume(n);
      model.erase(0, n);
    }
    REQUIRE(ring.size() == model.size());
    if (i % 50 != 0) continue;
    std::string held;
    for (const auto& piece : ring.data()) held.append(static_cast<const char*>(piece.data()), piece.size());
    REQUIRE(held == model);
  }
}

TEST_CASE("a handle finds nothing once its slot serves another", "[net]") {
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

TEST_CASE("deadlines run in order, once, and not when dropped", "[core]") {
  engine::TimerQueue timers;
  std::vector<int> ran;
  auto dropped = timers.add(seconds(1), [&] { ran.push_back(0); });
  timers.add(seconds(3), [&] { ran.push_back(3); });
  timers.add(seconds(2), [&] {
    ran.push_back(2);
    timers.add(seconds(1), [&] { ran.push_back(9); });  // already past: for the next run
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
