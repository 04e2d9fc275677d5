// Rules and limits: what a file may say, what is decided, what is counted, and that both fronts obey alike.
#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include "allocations.hpp"
#include "daemon/dispatcher.hpp"
#include "daemon/rules_command.hpp"
#include "fixture.hpp"
#include "rate_limit/explain.hpp"
#include "rate_limit/rate_limiter.hpp"

namespace dispatcher::testing {
namespace {

using namespace rate_limit;
using Told = std::vector<std::string>;

const Vocabulary kNames{{"ask", "command"}, {"acme", "other"}};

std::shared_ptr<const RuleSet> rules(const std::string& text, const Vocabulary& names = kNames) {
  return RuleSet::read({"r.cue", text}, names);
}

Told problems(const std::string& text) {
  try {
    rules(text);
  } catch (const cue::Errors& e) {
    Told all;
    for (const auto& p : e.problems) all.push_back(cue::to_text("r", p));
    return all;
  }
  return {};
}

routing::Request request(const std::string& cls = "ask", const std::string& account = "acme") {
  routing::Request r;
  r.id = "1";
  r.request_class = cls;
  r.tenant = account;
  r.session = 0x7f;
  return r;
}

struct Passer {
  explicit Passer(const std::string& text, std::uint64_t seed = 9) : rate_limiter(seed) {
    rate_limiter.adopt(rules(text), now);
  }
  RateLimiter::Passage pass(routing::Request& r, std::vector<std::optional<std::string_view>> headers = {}) {
    Facts facts;
    facts.request_class = r.request_class;
    facts.account = r.tenant;
    facts.session = r.session;
    facts.prompt_tokens = r.prompt_tokens;
    facts.headers = std::move(headers);
    return rate_limiter.pass(r, facts, settings, now);
  }
  RateLimiter::Passage pass(const std::string& cls = "ask", const std::string& account = "acme") {
    auto r = request(cls, account);
    return pass(r);
  }
  routing::Settings settings = make_settings();
  routing::Time now = seconds(1'800'000'000);
  RateLimiter rate_limiter;
};

TEST_CASE("a bad file of rules tells all that is wrong with it, with its place", "[limits]") {
  CHECK(problems("") == Told{"r: rules: missing: a file without rules says rules: []"});
  CHECK(problems("keys: 100\n") == Told{"r: rules: missing: a file without rules says rules: []"});
  CHECK(problems("rules: []") == Told{});
  CHECK(problems("rules: [{name: \"a\", when: \"request.clas == 'x'\"},\n {name: \"a\", class: \"'zz'\", "
                 "account: \"'nobody'\"},\n"
                 " {name: \"b\", limits: [{key: \"1\"}, {rate: 1, burst: 0}]}]") ==
        Told{"r:3:52: rules[2].limits[1].burst: expected 1 | >=1 & <=1000000, found 0"});
  CHECK(problems("rules: [{name: \"a\", when: \"request.clas == 'x'\"},\n {name: \"a\", class: \"'zz'\", "
                 "account: \"'nobody'\"},\n"
                 " {name: \"b\", limits: [{key: \"1\"}, {rate: 1}]}]") ==
        Told{"r:1:27: rules[0].when: in the expression, at 1: unknown field 'request.clas'; 'request.class' "
             "is known",
             "r:2:9: rules[1].name: the name stands twice",
             "r:2:21: rules[1].class: no class 'zz' in the settings",
             "r:2:38: rules[1].account: no account 'nobody' in the settings",
             "r:3:23: rules[2].limits[0]: a limit needs a rate, in_progress or both",
             "r:3:29: rules[2].limits[0].key: in the expression, at 1: expected string, found int"});
  CHECK(
      problems(
          "rules: []\nheaders: {\"a-b\": {name: \"X\"}, c: {name: \"X Y\"}, d: {name: \"X\", longest: 9000}}")
          .size() == 2);
  CHECK(problems("rules: [{name: \"a\", when: \"header.tier == 'x'\"}]")
            .front()
            .find("unknown field 'header.tier'") != std::string::npos);
}

TEST_CASE("a file of rules that was cut anywhere never passes for a shorter one", "[limits]") {
  const std::string whole =
      "headers: tier: {name: \"X-Tier\"}\nkeys: 1000\nrules: [\n\t{name: \"a\", when: "
      "\"request.retry\"},\n\t{name: \"b\"},\n]\n";
  for (std::size_t n = 0; n < whole.size(); ++n) {
    const std::string cut = whole.substr(0, n);
    if (cut.ends_with("]")) continue;  // only its last line's end is missing
    INFO(cut);
    CHECK_FALSE(problems(cut).empty());
  }
}

TEST_CASE("of two rules that would write one field the first decides, and no other", "[limits]") {
  Passer p(
      "rules: [{name: \"a\", when: \"request.retry == false\", session: \"'one'\"}, {name: \"b\", session: "
      "\"'two'\", class: \"'command'\"}]");
  auto r = request();
  CHECK(p.pass(r).rule->name == "a");
  CHECK(r.request_class == "ask");
}

TEST_CASE("rules that could take too long are turned down, the costliest by name", "[limits]") {
  const Told told = problems(
      "headers: cookie: {name: \"Cookie\", longest: 8192}\n"
      "rules: [{name: \"cheap\", when: \"request.retry\"},\n {name: \"slow\", when: "
      "\"header.cookie.matches('x.*y')\"}]");
  REQUIRE(told.size() == 1);
  CHECK(told[0].starts_with("r:3:2: rules[1]: a request could take "));
  CHECK(told[0].find("more than the budget of 5000; the costliest rule is 'slow' with") != std::string::npos);
  std::string many = "rules: [\n";
  for (int i = 0; i < 2000; ++i)
    many += "{name: \"r" + std::to_string(i) + "\", when: \"request.prompt_tokens > " + std::to_string(i) +
            "\"},\n";
  CHECK(problems(many + "]").front().find("budget") != std::string::npos);
  CHECK(problems("budget_ns: 1_000_000\n" + many + "]") == Told{});
  // Ten thousand that look at one account each are no dearer than a few.
  std::string accounts = "rules: [\n";
  for (int i = 0; i < 10'000; ++i)
    accounts += "{name: \"r" + std::to_string(i) + "\", when: \"request.account == 'a" + std::to_string(i) +
                "' && request.class == 'ask'\"},\n";
  CHECK(problems(accounts + "]") == Told{});
}

TEST_CASE("a field that a request lacks fails no request", "[limits]") {
  Passer p(
      "headers: tier: {name: \"X-Tier\", longest: 8}\nrules: [\n"
      "{name: \"gold\", when: \"header.tier == 'gold'\", session: \"'g'\"},\n"
      "{name: \"none\", when: \"!has(header.tier)\", session: \"'n'\"},\n"
      "{name: \"rest\", session: \"header.tier + request.model\"}]");
  const auto rule = [&](std::optional<std::string_view> tier) {
    auto r = request();
    const auto passage = p.pass(r, {tier});
    CHECK_FALSE(passage.rejected);
    return passage.rule->name;
  };
  CHECK(rule("gold") == "gold");
  CHECK(rule(std::nullopt) == "none");
  CHECK(rule("goldgoldg") == "none");  // longer than declared
  CHECK(rule("g\xffld") == "none");    // not UTF-8
  CHECK(rule("iron") == "rest");
  CHECK(p.rate_limiter.counts().faults == 1);  // no model: its session stays
  auto r = request();
  p.pass(r, {"iron"});
  CHECK(r.session == 0x7f);
  p.pass(r, {"gold"});
  CHECK(r.session != 0x7f);
}

TEST_CASE("what the rules compute is the request's; a class never makes a command repeatable", "[limits]") {
  Passer p(
      "rules: [{name: \"up\", when: \"request.class == 'ask' && request.account == 'other'\", class: "
      "\"'command'\", "
      "account: \"'acme'\"},\n{name: \"down\", when: \"request.class == 'command'\", class: \"'ask'\", "
      "account: \"request.account + 'x'\"}]");
  auto r = request("ask", "other");
  CHECK(p.pass(r).rule->name == "up");
  CHECK(r.request_class == "command");
  CHECK(r.tenant == "acme");
  auto c = request("command", "other");
  CHECK(p.pass(c).rule->name == "down");
  CHECK(c.request_class == "command");
  CHECK(c.tenant == "other");  // 'otherx' is nobody's
  CHECK(p.rate_limiter.counts().kept_class == 1);
}

TEST_CASE("a rate admits its burst, then one in each interval, and tells when to come back", "[limits]") {
  Passer p("rules: [{name: \"a\", limits: [{key: \"request.account\", rate: 4, burst: 3}]}]");
  for (int i = 0; i < 3; ++i) CHECK_FALSE(p.pass().rejected);
  for (int round = 0; round < 20; ++round) {
    const auto rejected = p.pass().rejected;
    REQUIRE(rejected);
    CHECK(*rejected == milliseconds(250));
    if (round == 0) CHECK_FALSE(p.pass("ask", "other").rejected);  // keys apart
    p.now += *rejected - std::chrono::microseconds(1);
    CHECK(p.pass().rejected);
    p.now += std::chrono::microseconds(1);
    CHECK_FALSE(p.pass().rejected);
  }
  p.now += seconds(100);  // no more than the burst is saved up
  for (int i = 0; i < 3; ++i) CHECK_FALSE(p.pass().rejected);
  CHECK(p.pass().rejected);
}

TEST_CASE("refusals are told at once, then every ten seconds, with their number", "[limits]") {
  Told logs;
  RateLimiter rate_limiter(1, [&](std::string_view line) { logs.emplace_back(line); });
  Passer p("rules: []");
  rate_limiter.adopt(rules("rules: [{name: \"a\", limits: [{in_progress: 0}]}]"), p.now);
  for (int i = 0; i < 150; ++i) {
    auto r = request();
    Facts facts;
    facts.request_class = r.request_class;
    CHECK(rate_limiter.pass(r, facts, p.settings, p.now).rejected);
    p.now += milliseconds(100);
  }
  CHECK(logs == Told{"limits: 1 refused since the last such line, now by rule 'a'",
                     "limits: 100 refused since the last such line, now by rule 'a'"});
}

TEST_CASE("requests in progress are counted to their end, and a refusal under one limit charges none",
          "[limits]") {
  Passer p(
      "rules: [{name: \"a\", limits: [{key: \"request.account\", in_progress: 2, retry_ms: 70}, {rate: 1, "
      "burst: 3}]}]");
  auto a = p.pass(), b = p.pass();
  CHECK_FALSE(a.rejected);
  for (int i = 0; i < 5; ++i) CHECK(p.pass().rejected == std::optional<routing::Duration>(milliseconds(70)));
  p.rate_limiter.release(a.ticket);
  p.rate_limiter.release(a.ticket);  // once is enough
  auto c = p.pass();
  CHECK_FALSE(c.rejected);  // the third of the burst: the refusals took nothing of it
  p.rate_limiter.release(b.ticket);
  CHECK(p.pass().rejected > std::optional<routing::Duration>(milliseconds(900)));
  p.now += seconds(3);
  CHECK_FALSE(p.pass().rejected);
  CHECK(p.pass().rejected == std::optional<routing::Duration>(milliseconds(70)));  // b's end counted once
}

TEST_CASE("the parts of the instances add up to the limit", "[limits]") {
  Limit l;
  l.rate = 90;
  l.burst = 72;
  for (const std::int64_t whole : {0, 1, 5, 36, 37, 100}) {
    l.in_progress = whole;
    for (const std::size_t n : {1, 2, 7, 36}) {
      std::int64_t sum = 0;
      double rate = 0;
      for (std::size_t i = 0; i < n; ++i) {
        const Bound b = part_of(l, i, n);
        sum += b.maximum;
        rate += 1e9 / static_cast<double>(b.interval.count());
        CHECK((b.maximum > 0) == (whole > 0));
      }
      CHECK(rate == Approx(90).epsilon(1e-6));
      if (whole >= static_cast<std::int64_t>(n)) CHECK(sum == whole);
      if (whole < static_cast<std::int64_t>(n)) CHECK(sum == (whole == 0 ? 0 : static_cast<std::int64_t>(n)));
    }
  }
  // A fleet of four, each dealt its part of one rush: together no more than the burst and the rate.
  std::vector<std::unique_ptr<Passer>> fleet;
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.push_back(std::make_unique<Passer>("rules: [{name: \"a\", limits: [{rate: 8, burst: 12}]}]"));
    fleet.back()->rate_limiter.share(i, 4);
  }
  int admitted = 0;
  for (int ms = 0; ms < 10'000; ms += 5) {
    for (auto& one : fleet) {
      admitted += one->pass().rejected ? 0 : 1;
      one->now += milliseconds(5);
    }
  }
  CHECK(admitted >= 80);
  CHECK(admitted <= 80 + 12);
}

TEST_CASE("a flood of distinct keys frees no key that is at its limit", "[limits]") {
  Passer p(
      "keys: 1000\nrules: [{name: \"a\", limits: [{key: \"request.account\", rate: 0.01, burst: 2, "
      "in_progress: 2}]}]");
  p.settings.tenants.clear();
  p.rate_limiter.adopt(
      rules("keys: 1000\nrules: [{name: \"a\", limits: [{key: \"request.account\", rate: 0.01, burst: 2}, "
            "{key: \"request.account\", in_progress: 2}]}]",
            {}),
      p.now);
  const std::size_t bytes = p.rate_limiter.table().bytes();
  std::vector<Ticket> held;
  for (int k = 0; k < 50; ++k) {  // fifty keys at both limits
    for (int i = 0; i < 2; ++i) {
      auto passage = p.pass("ask", "held" + std::to_string(k));
      REQUIRE_FALSE(passage.rejected);
      held.push_back(passage.ticket);
    }
  }
  std::size_t flood = 0;
  for (int i = 0; i < 200'000; ++i) {
    auto passage = p.pass("ask", "flood" + std::to_string(i));
    flood += passage.rejected ? 0 : 1;
    p.rate_limiter.release(passage.ticket);
    if (i % 1000 == 0) {
      for (int k = 0; k < 50; ++k) CHECK(p.pass("ask", "held" + std::to_string(k)).rejected);
    }
  }
  CHECK(flood > 1000);
  CHECK(p.rate_limiter.table().bytes() == bytes);
  CHECK(bytes < 50'000);
  for (Ticket& t : held) p.rate_limiter.release(t);
}

TEST_CASE("keys that find no room share one entry, and leave it as they end", "[limits]") {
  CounterTable table(8);
  const Bound bound{1, {}, {}, 1, milliseconds(5)};
  std::mt19937_64 random(4);
  std::vector<Held> held;
  int rejected = 0;
  for (int i = 0; i < 100; ++i) {
    const Charge c{bound, random()};
    Held h;
    table.admit({&c, 1}, milliseconds(i), {&h, 1}).count() > 0 ? void(++rejected) : held.push_back(h);
  }
  CHECK(held.size() == table.bytes() / 32 + 1);  // each entry one, and one for all the others
  CHECK(rejected > 50);
  CHECK(table.shared() > 50);
  for (const Held& h : held) table.release(h);
  CHECK(table.used(seconds(1)) == 0);
  const Charge c{bound, 77};
  Held h;
  CHECK(table.admit({&c, 1}, seconds(1), {&h, 1}).count() == 0);
}

TEST_CASE("a table agrees with a plain list of what is in progress and when", "[limits]") {
  std::mt19937_64 random(8);
  CounterTable table(4096);
  struct Plain {
    std::int64_t arrival = 0;
    std::uint32_t in_progress = 0;
  };
  std::map<std::uint64_t, Plain> plain;
  std::vector<Held> held;
  const Bound bound{3, milliseconds(30), milliseconds(90), 3, milliseconds(10)};
  Nanoseconds now = seconds(1000);
  for (int i = 0; i < 100'000; ++i) {
    now += std::chrono::microseconds(random() % 2000);
    if (random() % 3 == 0 && !held.empty()) {
      std::swap(held[random() % held.size()], held.back());
      --plain[held.back().key].in_progress;
      table.release(held.back());
      held.pop_back();
      continue;
    }
    const Charge c{bound, (1 + random() % 200) * 0x9E3779B97F4A7C15ULL};
    Plain& p = plain[c.key];
    const bool may = p.arrival - bound.tolerance.count() <= now.count() && p.in_progress < 3;
    Held h;
    CHECK((table.admit({&c, 1}, now, {&h, 1}).count() == 0) == may);
    if (!may) continue;
    p.arrival = std::max(p.arrival, now.count()) + bound.interval.count();
    ++p.in_progress;
    held.push_back(h);
  }
  CHECK(table.shared() == 0);
}

TEST_CASE("counters go on through a reload where key and limit stay, and start anew where they change",
          "[limits]") {
  const auto text = [](const std::string& rate, const std::string& keys) {
    return "keys: " + keys +
           "\nrules: [{name: \"b\", when: \"request.account == 'other'\"}, {name: \"a\", limits: [{key: "
           "\"request.account\", rate: " +
           rate + ", in_progress: 1}]}]";
  };
  Passer p(text("0.1", "1000"));
  auto first = p.pass();
  CHECK_FALSE(first.rejected);
  p.rate_limiter.adopt(rules(text("0.1", "50000")), p.now);
  CHECK(p.pass().rejected);
  p.rate_limiter.release(first.ticket);
  CHECK(p.pass().rejected > std::optional<routing::Duration>(seconds(9)));  // the rate's part stays
  p.rate_limiter.adopt(rules(text("0.2", "50000")), p.now);
  auto second = p.pass();
  CHECK_FALSE(second.rejected);
  p.rate_limiter.adopt(nullptr, p.now);  // no rules any more: what was taken still comes to its end
  CHECK_FALSE(p.pass().rejected);
  p.rate_limiter.release(second.ticket);
}

TEST_CASE("deciding allocates nothing", "[limits]") {
  Passer p(
      "headers: tier: {name: \"X-Tier\"}\nrules: [{name: \"a\", when: \"request.account == 'acme' && "
      "header.tier.matches('^g')\", class: "
      "\"request.class\", session: \"header.tier + request.account\", limits: [{key: \"request.account + '/' "
      "+ header.tier\", rate: 100, in_progress: 9}]}]");
  expression::Scratch scratch;
  p.rate_limiter.rules()->reserve(scratch);
  Facts facts;
  facts.request_class = "ask";
  facts.account = "acme";
  facts.headers = {"gold"};
  const std::size_t before = allocations;
  const Decision d = p.rate_limiter.rules()->decide(facts, scratch);
  CHECK(allocations == before);
  CHECK(d.rule == 0);
  CHECK(d.limit_count == 1);
}

TEST_CASE("rules that can never match are told, with the rule that shadows them", "[limits]") {
  const auto set = rules(
      "rules: [{name: \"a\", when: \"request.account in ['acme', 'other']\"},\n"
      "{name: \"b\", when: \"request.account == 'acme' && request.retry\"},\n"
      "{name: \"c\", when: \"request.class == 'nothing'\"},\n"
      "{name: \"d\", when: \"request.class == 'ask' && request.class == 'command'\"},\n"
      "{name: \"e\", when: \"request.retry && request.prompt_tokens > 5\"},\n"
      "{name: \"f\", when: \"request.prompt_tokens > 5 && request.class == 'ask' && request.retry\"},\n"
      "{name: \"g\", when: \"request.class == 'ask'\"}, {name: \"h\", when: \"false\"}, {name: \"i\"}, "
      "{name: \"j\", when: \"request.retry\"}]");
  Told told;
  for (const auto& p : warnings(*set)) told.push_back(p.what);
  CHECK(told == Told{"rule 'b' can never match: 'a' before it takes all of its requests",
                     "rule 'c' can never match", "rule 'd' can never match",
                     "rule 'f' can never match: 'e' before it takes all of its requests",
                     "rule 'h' can never match",
                     "rule 'j' can never match: 'i' before it takes all of its requests"});
}

TEST_CASE("explain says which rule matched, why those before did not, and what was computed", "[limits]") {
  const cue::File file{"r.cue",
                       "headers: tier: {name: \"X-Tier\"}\nrules: [{name: \"gold\", when: \"request.class "
                       "== 'ask' && header.tier == 'gold'\"},\n"
                       "{name: \"big\", when: \"request.prompt_tokens > 1000 * 2\"},\n"
                       "{name: \"all\", class: \"'command'\", session: \"header.tier\", limits: [{key: "
                       "\"request.account\", rate: 2.5, burst: 5, in_progress: 3}]}]"};
  std::ostringstream out, errors;
  CHECK(daemon::rules_explain(file, {"request", "{class: \"ask\", account: \"acme\", prompt_tokens: 12}"},
                              kNames, out, errors) == 0);
  CHECK(
      out.str() ==
      "no    gold: (header.tier == \"gold\") has no value: a field that the request lacks\n"
      "no    big: (request.prompt_tokens > (1000 * 2)) is false\n"
      "yes   all: true\n"
      "      class = \"command\"\n"
      "      session = none: a field that the request lacks: not known, its own stays\n"
      "      limit all/0: key \"acme\", 2.5 a second in bursts of 5, 3 in progress, over the whole fleet\n");
  CHECK(daemon::rules_explain(file, {"request", "{clas: \"ask\"}"}, kNames, out, errors) == 1);
  CHECK(errors.str() == "request:1:2: clas: unknown field; 'class' is known\n");
}

// The examples of the operators' page: each is loaded, and each line of what it should do is tried.
TEST_CASE("the examples of docs/rules.md do what the page says", "[limits][deploy]") {
  std::ifstream page(std::string(DISPATCHER_SOURCE) + "/docs/rules.md");
  std::string line, text, block;
  int examples = 0, requests = 0;
  std::shared_ptr<const RuleSet> set;
  while (std::getline(page, line)) {
    if (line.starts_with("```")) {
      const std::string opened = std::exchange(block, block.empty() ? line.substr(3) : std::string());
      if (!block.empty()) text.clear();
      if (opened != "cue") continue;
      INFO(text);
      set = rules(text);
      CHECK(warnings(*set).empty());
      ++examples;
    } else if (!block.empty()) {
      text += line + "\n";
    } else if (line.starts_with("- `{")) {  // a request, and the rule that it meets
      const std::size_t end = line.find("}`: ");
      const auto sample = read_sample({"request", line.substr(3, end - 2)}, *set);
      expression::Scratch scratch;
      set->reserve(scratch);
      const Decision d = set->decide(sample->facts, scratch);
      INFO(line);
      CHECK(line.substr(end + 4) ==
            (d.rule < 0 ? "none" : set->rules()[static_cast<std::size_t>(d.rule)].name));
      ++requests;
    }
  }
  CHECK(examples == 10);
  CHECK(requests >= 20);
  std::ifstream shipped(std::string(DISPATCHER_SOURCE) + "/deploy/rules.cue");
  std::ostringstream all;
  all << shipped.rdbuf();
  CHECK(problems(all.str()) == Told{});
}

// ---- through both fronts ----

struct AttemptCompleted {
  int status;
  std::string retry;
};

TEST_CASE("the same requests have the same outcome at each front", "[limits][chat][platform]") {
  const std::string text =
      "headers: tier: {name: \"X-Tier\", longest: 8}\nrules: [\n"
      "{name: \"gold\", when: \"header.tier == 'gold'\"},\n"
      "{name: \"commands\", when: \"request.class == 'command'\", limits: [{key: \"request.account\", "
      "in_progress: 1, retry_ms: 300}]},\n"
      "{name: \"asks\", limits: [{key: \"request.account\", rate: 2, burst: 2}]}]";
  std::vector<std::vector<int>> all;
  for (const bool through_chat : {true, false}) {
    Fixture fixture(
        healthy_reader, [](FakeReplica&, SlotId, const FakeReplica::ReceivedRequest&) {},
        kChatConfig);  // writers keep silent
    RateLimiter rate_limiter(5);
    rate_limiter.adopt(rules(text), fixture.now);
    fixture.chat->attach(rate_limiter);
    fixture.platform.attach(rate_limiter);
    std::vector<int> statuses;
    std::vector<std::unique_ptr<FakeClient>> clients;
    int made = 0;
    const auto send = [&](const std::string& cls, const std::string& more) -> FakeClient& {
      clients.push_back(through_chat ? fixture.chat_client() : fixture.platform_client());
      char id[17];
      std::snprintf(id, sizeof id, "%016x", ++made);
      clients.back()->post(
          (through_chat ? "Content-Type: application/json\r\n" : platform_headers(id, cls)) + more,
          chat_body(cls, true));
      fixture.settle();
      fixture.settle();
      return *clients.back();
    };
    const auto status = [&](const std::string& cls, const std::string& more = {}) {
      FakeClient& client = send(cls, more);
      statuses.push_back(client.is_finished() ? client.status : 0);
      if (client.status == 429) CHECK_FALSE(client.headers["Retry-After"].empty());
    };
    status("command");
    status("command");                                      // one in progress
    status("command", "X-Tier: gold\r\n");                  // its own rule
    status("command", "X-Tier: goldgoldgold\r\n");          // longer than declared
    status("command", "X-Tier: gold\r\nX-Tier: gold\r\n");  // twice: absent
    status("command", "X-Tier: " + std::string(8192, 'g') + "\r\n");
    status("ask");
    status("ask");
    status("ask");
    clients[0]->close();  // its place is free once it has gone
    fixture.settle();
    status("command");
    const std::size_t sent = static_cast<std::size_t>(fixture.request_count("POST", Role::kReader));
    CHECK(sent == 5);  // what is refused reaches no replica
    all.push_back(statuses);
  }
  CHECK(all[0] == std::vector<int>{0, 429, 0, 429, 429, 429, 0, 0, 429, 0});
  CHECK(all[0] == all[1]);
}

TEST_CASE("a class from the rules is the request's at each front, with its deadline and its repeats",
          "[limits][chat][platform]") {
  for (const bool through_chat : {true, false}) {
    int begun = 0;
    Fixture fixture(
        healthy_reader,
        [&](FakeReplica& r, SlotId client, const FakeReplica::ReceivedRequest&) {
          ++begun;
          r.server.abort(client);
        },
        kChatConfig);
    RateLimiter rate_limiter(5);
    rate_limiter.adopt(rules("rules: [{name: \"careful\", class: \"'command'\"}]"), fixture.now);
    fixture.chat->attach(rate_limiter);
    fixture.platform.attach(rate_limiter);
    auto client = through_chat ? fixture.chat_client() : fixture.platform_client();
    client->post(through_chat ? "Content-Type: application/json\r\n" : platform_headers("aa", "ask"),
                 chat_body("ask", true));
    for (int k = 0; k < 400 && !client->is_finished(); ++k) fixture.advance(milliseconds(20));
    CHECK(client->status == 502);
    CHECK(begun == 1);  // an ask would have been sent again
    if (through_chat) CHECK(client->headers["X-Should-Retry"] == "false");
  }
}

TEST_CASE("what a request counts for ends with it, whatever its end", "[limits][chat][platform]") {
  for (const bool through_chat : {true, false}) {
    Fixture fixture(
        healthy_reader,
        [](FakeReplica& r, SlotId client, const FakeReplica::ReceivedRequest& seen) {
          if (seen.body.find("well") != std::string::npos) return healthy_writer(r, client, seen);
          if (seen.body.find("cut") != std::string::npos) {
            r.stream_words(client, {"half"}, false);
            return r.server.abort(client);
          }
          if (seen.body.find("error") != std::string::npos) return r.respond(client, 500);
        },
        kChatConfig);
    RateLimiter rate_limiter(5);
    rate_limiter.adopt(rules("rules: [{name: \"a\", limits: [{in_progress: 1}]}]"), fixture.now);
    fixture.chat->attach(rate_limiter);
    fixture.platform.attach(rate_limiter);
    int id = 0;
    for (const char* fate : {"well", "cut", "error", "silent", "gone", "well"}) {
      auto client = through_chat ? fixture.chat_client() : fixture.platform_client();
      client->post(through_chat ? "Content-Type: application/json\r\n"
                                : platform_headers("a" + std::to_string(++id), "command"),
                   chat_body("command", true, fate));
      if (std::string(fate) == "gone") {
        fixture.settle();
        client->close();
        fixture.settle();
        continue;
      }
      for (int k = 0; k < 400 && !client->is_finished(); ++k) fixture.advance(milliseconds(20));
      INFO(fate);
      CHECK(client->is_finished());
      CHECK(client->status != 429);
      fixture.now += seconds(25);
      fixture.advance(milliseconds(100));
    }
    CHECK(rate_limiter.counts().rejected == 0);
    CHECK(rate_limiter.counts().passed == 6);
  }
}

TEST_CASE("a request that is open while the rules change keeps what it came in under", "[limits][platform]") {
  Fixture fixture(healthy_reader, [](FakeReplica&, SlotId, const FakeReplica::ReceivedRequest&) {});
  RateLimiter rate_limiter(5);
  const std::string one = "rules: [{name: \"a\", limits: [{in_progress: 1}]}]";
  rate_limiter.adopt(rules(one), fixture.now);
  fixture.platform.attach(rate_limiter);
  auto open = fixture.platform_client(), second = fixture.platform_client(),
       third = fixture.platform_client();
  open->post(platform_headers("a1", "command", 60000), "{}");
  fixture.settle();
  rate_limiter.adopt(rules("rules: []"), fixture.now);
  rate_limiter.adopt(rules(one), fixture.now);
  second->post(platform_headers("a2", "command"), "{}");
  fixture.settle();
  CHECK(second->status == 429);  // the first one is counted still
  open->close();
  fixture.settle();
  third->post(platform_headers("a3", "command"), "{}");
  fixture.settle();
  CHECK_FALSE(third->is_finished());  // taken
}

TEST_CASE("a reload takes the rules with the rest, or keeps the old ones", "[limits][app]") {
  daemon::Loop loop;
  daemon::Config config;
  config.listen = config.discovery = loopback();
  config.discovery.port(1);
  config.settings = make_settings();
  Told logs;
  daemon::Files next{config, {{}, {}, cue::File{"rules.cue", "rules: [{name: \"a\", class: \"'zz'\"}]"}}};
  daemon::Dispatcher dispatcher(
      loop, config, {{}, {}, cue::File{"rules.cue", "rules: []"}},
      [&](std::string_view line) { logs.emplace_back(line); }, [&] { return next; });
  dispatcher.start();
  dispatcher.reload();
  CHECK(logs.back() ==
        "reload failed, the old configuration stays: rules.cue:1:28: rules[0].class: no class 'zz' in the "
        "settings");
  next.texts.rules->text.clear();
  dispatcher.reload();
  CHECK(logs.back().find("rules.cue: rules: missing") != std::string::npos);
  next.texts.rules->text = "rules: [{name: \"a\", class: \"'ask'\"}]";
  dispatcher.reload();
  CHECK(logs.back().starts_with("reloaded"));
  daemon::Texts bad;
  bad.rules = cue::File{"rules.cue", "rules: ["};
  CHECK_THROWS_AS(daemon::Dispatcher(loop, config, bad, [](std::string_view) {}), cue::Errors);
}

}  // namespace
}  // namespace dispatcher::testing
