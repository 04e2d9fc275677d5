// What two processes of one dispatcher share: drained endpoints, the channel between them, and a complete hot
// restart.
#include <sys/socket.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>

#include "daemon/dispatcher.hpp"
#include "fixture.hpp"
#include "hot_restart/drained_endpoint_store.hpp"
#include "hot_restart/hot_restart_peer.hpp"

namespace dispatcher::testing {
namespace {

namespace fs = std::filesystem;
using hot_restart::Json;

struct Folder {
  Folder() {
    std::string name = (fs::temp_directory_path() / "bitternferry-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder");
    path = name;
  }
  ~Folder() { fs::remove_all(path); }
  std::string operator/(const std::string& file) const { return path + "/" + file; }
  std::string path;
};
const auto quiet = [](std::string_view) {};

TEST_CASE("bans outlive their process; a damaged file is no reason not to start", "[upgrade]") {
  Folder folder;
  const std::string path = folder / "x.bans";
  hot_restart::DrainedEndpointStore first(path, quiet);
  first.load();
  CHECK(first.set_drained("a", true));
  CHECK(first.set_drained("b", true));
  CHECK_FALSE(first.set_drained("b", true));
  CHECK(first.set_drained("a", false));
  hot_restart::DrainedEndpointStore second(path, quiet);
  second.load();
  CHECK(second.endpoints() == std::set<routing::EndpointId>{"b"});
  CHECK(std::distance(fs::directory_iterator(folder.path), {}) == 1);  // nothing half written stays
  std::ifstream whole(path);
  const std::string text{std::istreambuf_iterator<char>(whole), {}};
  std::mt19937 random(3);
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    std::ofstream(path, std::ios::trunc) << text.substr(0, cut);
    int logged = 0;
    hot_restart::DrainedEndpointStore damaged(path, [&](std::string_view) { ++logged; });
    damaged.load();
    CHECK(damaged.endpoints().empty());
    CHECK(logged == 1);
  }
  fs::remove(path);
  fs::create_directory(path);
  hot_restart::DrainedEndpointStore hindered(path, quiet);
  hindered.load();
  CHECK(hindered.set_drained("c", true));  // binds, though it can't be kept
}

struct RecordingOwner : hot_restart::HandoverChannel::Owner {
  void on_message(const Json& message, hot_restart::Descriptors received) override {
    messages.push_back(message);
    for (auto& fd : received) descriptors.push_back(std::move(fd));
  }
  void on_channel_closed() override { ended = true; }
  std::vector<Json> messages;
  hot_restart::Descriptors descriptors;
  bool ended = false;
};

TEST_CASE("a link carries messages and descriptors in order, and survives garbage", "[upgrade]") {
  TestEventLoop work;
  Folder folder;
  RecordingOwner here, there;
  CHECK(hot_restart::HandoverChannel::connect(work.io, folder / "s", here) == nullptr);
  std::ofstream(folder / "s") << "stale";
  CHECK(hot_restart::HandoverChannel::connect(work.io, folder / "s", here) == nullptr);
  std::shared_ptr<hot_restart::HandoverChannel> far;
  int raw = -1;
  hot_restart::HandoverListener listener(work.io, folder / "s", [&](net::UniqueFd fd) {
    raw = fd.get();
    far = std::make_shared<hot_restart::HandoverChannel>(work.io, std::move(fd), there);
    far->start();
  });
  REQUIRE(listener.open());
  const auto near = hot_restart::HandoverChannel::connect(work.io, folder / "s", here);
  REQUIRE(near != nullptr);
  net::tcp::acceptor listening(work.io, loopback());
  near->send({{"n", 0}}, {listening.native_handle()});
  for (int n = 1; n < 2000; ++n) near->send({{"n", n}, {"text", std::string(1000, 'x')}});  // past any buffer
  REQUIRE(work.until([&] { return there.messages.size() == 2000; }));
  for (int n = 0; n < 2000; ++n) CHECK(there.messages[static_cast<std::size_t>(n)]["n"] == n);
  REQUIRE(there.descriptors.size() == 1);
  net::tcp::acceptor copy(work.io, net::tcp::v4(), there.descriptors[0].release());
  CHECK(copy.local_endpoint() == listening.local_endpoint());
  CHECK_FALSE(near->send({{"text", std::string(600 * 1024, 'x')}}));
  std::mt19937 random(11);
  for (int i = 0; i < 200; ++i) {
    std::string garbage(1 + random() % 300, ' ');
    for (char& c : garbage) c = static_cast<char>(random() % 256);
    ::send(raw, garbage.data(), garbage.size(), MSG_NOSIGNAL);
  }
  far->send({{"last", true}});
  REQUIRE(work.until([&] { return !here.messages.empty(); }));
  CHECK(here.messages.back().contains("last"));
  far->close();
  CHECK(work.until([&] { return here.ended; }));
  CHECK_FALSE(there.ended);  // who closes hears nothing more
  near->close();
  listener.close();
}

TEST_CASE("what a router learned passes on whole; what can't be read is left out", "[upgrade]") {
  routing::LearnedState k;
  k.starts[1] = {12.5, 0.25, 40};
  k.far = {3, 0.5, 9};
  k.served = {5, 6, 0};
  k.since = seconds(77);
  k.endpoints.push_back({"r1", {seconds(80), seconds(81)}, seconds(79)});
  const Json object = hot_restart::encode(k);
  const auto back = hot_restart::decode_learned_state(Json::parse(object.dump()));
  CHECK(hot_restart::encode(back) == object);
  std::mt19937 random(5);
  for (int i = 0; i < 300; ++i) {  // any value replaced by any other kind
    Json bad = object.flatten();
    auto it = bad.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random() % bad.size()));
    const std::vector<Json> values = {nullptr, "x", -1e300, true, 1e300};
    it.value() = values[random() % values.size()];
    const auto read = hot_restart::decode_learned_state(bad.unflatten());
    CHECK(read.served[0] >= 0);
    CHECK(read.starts[1].mean >= 0);
  }
}

TEST_CASE("a router that takes over has its elder's part of a cold host's budget, and no second one",
          "[upgrade]") {
  const auto list = [](engine::Time started) {
    routing::EndpointList all{routing::ListKind::kFull, {}};
    for (const std::string endpoint : {"r1", "r2", "w1"})
      all.entries.push_back({endpoint, "here", endpoint[0] == 'r' ? "reader" : "writer", 0,
                             routing::EndpointState::kReady, 1, endpoint == "r2" ? started : engine::Time{}});
    return all;
  };
  engine::Time now = seconds(1000);
  const bool told = GENERATE(true, false);
  routing::Router young(make_settings(), 1);
  young.handle(now, list(now));
  if (told) {
    routing::LearnedState k;
    k.served = {80, 80, 0};
    k.since = now - seconds(60);
    k.endpoints.push_back({"r2", {now - milliseconds(10), now - milliseconds(5)}, {}});
    young.handle(now, k);
    young.handle(now, routing::PeerForwarded{"r2"});
  }
  young.handle(now, routing::AdministrativeDrain{"r1", true});  // the cold one is all there is
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    routing::Request r;
    r.id = "q" + std::to_string(i);
    r.request_class = "ask";
    r.client_deadline = now + seconds(6);
    for (const auto& action : young.handle(now, r))
      sent += std::holds_alternative<routing::StartAttempt>(action) ? 1 : 0;
  }
  // 80 results in 8 s of one warm reader: 0.6 * 4 * 0.3 * 10 a second * 2 s, of which three are used.
  // One that knows no rate has turns by request, one in a window.
  CHECK(sent == (told ? 14 - 3 : 1));
}

// Two dispatchers on one loop, as two processes would be.
struct Pair {
  // `between`: what happens at the first one before there is a second.
  explicit Pair(const std::string& chat = {}, const std::string& vrrp = {}, const std::string& levels = {},
                const std::function<void(Pair&)>& between = {}) {
    config.name = "n1";
    config.listen = config.discovery = loopback();
    config.discovery.port(1);  // silent
    config.console = loopback();
    config.scratch = folder.path;
    config.settings = make_settings();
    routing::EndpointInfo r1{"r1", "here", "reader", 0, routing::EndpointState::kReady, 1, {}};
    config.known.list.entries = {r1};
    config.known.addresses = {{"r1", loopback(), true}};
    config.known.is_complete = true;
    daemon::FeatureFiles texts{{"chat.json", chat}, {"vrrp.json", vrrp}};
    if (!levels.empty()) texts.levels = cue::File{"levels.cue", levels};
    first.emplace(loop, config, texts, log("1 "));
    first->start();
    config.listen = first->address();
    config.known = {};  // the second is told by the first
    if (between) between(*this);
    second.emplace(loop, config, texts, log("2 "));
    second->start();
    run_until("2 serving on");
  }
  engine::Log log(const std::string& who) {
    return [this, who](std::string_view line) { logs.push_back(who + std::string(line)); };
  }
  bool logged(const std::string& start) const {
    return std::any_of(logs.begin(), logs.end(), [&](const auto& line) { return line.starts_with(start); });
  }
  void run_until(const std::string& start) {
    while (!logged(start)) {
      if (loop.io().stopped())
        loop.io().restart();  // the first one ended its loop, which is the second's too
      loop.io().run_one();
    }
  }
  int call(const net::tcp::endpoint& to, const std::string& method, const std::string& path) {
    struct Caller : net::Connection::Owner {
      void on_connected(SlotId, net::error_code) override {
        connection->write(bytes);
        connection->read();
      }
      void on_data(SlotId) override {
        done = reader.read(connection->input()) == http::ReadStatus::kComplete;
      }
      void on_sent(SlotId) override {}
      void on_ended(SlotId, net::error_code) override { done = true; }
      std::shared_ptr<net::Connection> connection;
      http::ResponseReader reader{std::nullopt};
      std::string bytes;
      bool done = false;
    } caller;
    caller.bytes = method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    caller.connection = net::Connection::connect(loop.io(), to, caller, {}, 1U << 16U, 1U << 16U);
    while (!caller.done) loop.io().run_one();
    caller.connection->close();
    return static_cast<int>(caller.reader.message().result_int());
  }
  Folder folder;
  daemon::Loop loop;
  daemon::Config config;
  std::vector<std::string> logs;
  std::optional<daemon::Dispatcher> first, second;
};

TEST_CASE("a second process takes over the socket, the list and the bans; the first one ends", "[upgrade]") {
  Pair pair;
  CHECK(pair.logged("1 upgrade: another process takes over"));
  CHECK(pair.logged("2 upgrade: taking over"));
  CHECK(pair.second->address() == pair.first->address());
  CHECK(pair.call(pair.second->console(), "GET", "/control/ready") == 200);  // it has the list: r1
  CHECK(pair.call(pair.first->console(), "POST", "/control/replicas/r1/offline") == 200);
  pair.run_until("2 operators: host r1 offline");
  CHECK(pair.call(pair.second->console(), "POST", "/control/replicas/r1/online") == 200);
  pair.run_until("1 operators: host r1 online");
  CHECK(pair.call(pair.second->console(), "POST", "/control/replicas/r2/offline") == 404);
  pair.first->drain();  // at once: nobody is owed anything, and the socket is the second one's too
  pair.loop.run();
  CHECK(pair.logs.back() == "1 drained");
  pair.first.reset();
  pair.loop.io().restart();
  CHECK(pair.call(pair.second->address(), "GET", "/healthz") == 200);
  CHECK(pair.logged("2 upgrade: the process before this one has ended"));
}

TEST_CASE("a level that operators pinned is in force at the process that takes over, until they let go",
          "[upgrade][levels]") {
  const std::string levels =
      "levels: [{name: \"less\", enter: \"open > 1000\", leave: \"open < 5\", shed: [{classes: [\"ask\"]}]}]";
  Pair pair({}, {}, levels, [](Pair& p) {
    CHECK(p.call(p.first->console(), "POST", "/control/level/less") == 200);
    CHECK(p.call(p.first->console(), "POST", "/control/level/zz") == 404);
  });
  CHECK(pair.logged("1 level normal -> less: pinned"));
  CHECK(pair.logged("2 level less: pinned at the process before"));
  CHECK(pair.call(pair.second->console(), "POST", "/control/level/auto") == 200);
  CHECK(pair.logged("2 level less: no longer pinned by operators"));
}

TEST_CASE("of a pair's router the next process goes on as the active one, without a word",
          "[upgrade][vrrp]") {
  TestEventLoop peer;
  boost::asio::ip::udp::socket ear(peer.io, {boost::asio::ip::address_v4::loopback(), 0});
  Pair pair(
      kChatConfig,
      R"({"listen":"127.0.0.1:0","addresses":["127.0.0.1"],"interval_cs":1,"priority":200,"peers":["127.0.0.1:)" +
          std::to_string(ear.local_endpoint().port()) + "\"]}");
  pair.run_until("1 vrrp: active");
  CHECK_FALSE(pair.logged("2 vrrp"));  // one of the two speaks
  pair.first->drain();
  pair.run_until("2 vrrp: active");
  CHECK_FALSE(pair.logged("2 vrrp: backup"));
  CHECK(pair.logged("2 chat front on"));
  ear.non_blocking(true);
  std::array<std::uint8_t, 1500> packet{};
  boost::system::error_code error;
  for (std::size_t n = 0; (n = ear.receive(boost::asio::buffer(packet), 0, error)) > 0 && !error;) {
    const auto said = vrrp::decode({packet.data(), n});
    REQUIRE(std::holds_alternative<vrrp::Advertisement>(said));
    CHECK(std::get<vrrp::Advertisement>(said).priority == 200);  // never 0: the partner stays backup
  }
}

TEST_CASE("stale and damaged files in the shared folder do not stop a start", "[upgrade]") {
  Folder folder;
  std::ofstream(folder / "bitternferry-n1.bans") << "{\"offline\":[\"r";
  const bool taken = GENERATE(false, true);
  if (taken) fs::create_directory(folder / "bitternferry-n1.sock");
  if (!taken) std::ofstream(folder / "bitternferry-n1.sock") << "not a socket";
  daemon::Loop loop;
  daemon::Config config;
  config.name = "n1";
  config.listen = config.discovery = loopback();
  config.discovery.port(1);
  config.scratch = folder.path;
  config.settings = make_settings();
  std::vector<std::string> logs;
  daemon::Dispatcher dispatcher(loop, config, {}, [&](std::string_view line) { logs.emplace_back(line); });
  dispatcher.start();
  CHECK(std::any_of(logs.begin(), logs.end(), [](const auto& l) { return l.starts_with("serving on"); }));
}

TEST_CASE("a stream that began before the drain is its connection's last answer", "[upgrade][platform]") {
  Fixture fixture(healthy_reader, [](FakeReplica& r, SlotId client, const FakeReplica::ReceivedRequest&) {
    r.stream_words(client, {"half"}, StreamEnd::kOpen);
  });
  auto client = fixture.platform_client();
  client->post(platform_headers("a1", "ask"), R"({"model":"chat","messages":[]})");
  REQUIRE(fixture.until([&] { return !client->body.empty(); }));
  fixture.platform.server().drain();
  auto& writer = fixture.writer(0).pending_clients.empty() ? fixture.writer(1) : fixture.writer(0);
  writer.server.write_events(writer.pending_clients.back(), "data: [DONE]\n\n");
  writer.server.end_response(writer.pending_clients.back());
  REQUIRE(fixture.until([&] { return client->is_closed; }));
  CHECK(client->is_complete);
}

// At whatever byte one reader stops, the next goes on.
TEST_CASE("an answer in chunks is read on by another reader, wherever it was cut", "[upgrade]") {
  std::mt19937 random(23);
  std::string body, bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::size_t head = bytes.size();
  for (int i = 0; i < 12; ++i) {
    const std::string piece(1 + random() % 40, static_cast<char>('a' + i));
    body += piece;
    bytes += http::chunk(piece);
  }
  bytes += http::kLastChunk;
  for (std::size_t cut = head + 10; cut < bytes.size(); ++cut) {
    net::RingBuffer first(1U << 16U), second(1U << 16U);
    http::ResponseReader one(std::nullopt), two(std::nullopt);
    std::string got;
    for (std::size_t at = 0; at < cut;) {  // in pieces of any size
      const std::size_t n = std::min<std::size_t>(cut - at, 1 + random() % 30);
      first.append(std::string_view(bytes).substr(at, n));
      at += n;
      one.read(first);
      if (random() % 2 == 0) got += one.take_body();
    }
    got += one.take_body();
    if (one.read(first) == http::ReadStatus::kComplete) break;
    two.resume_chunked(one.chunk_bytes_left(), http::Persistence::kKeepAlive);
    second.append(first.text());
    second.append(std::string_view(bytes).substr(cut));
    INFO(cut);
    CHECK(two.read(second) == http::ReadStatus::kComplete);
    CHECK(got + two.take_body() == body);
    CHECK(two.keep_alive());
  }
}

// Are both ends of the stream ready to be handed over?
bool hush(Fixture& fixture, const engine::RunningStream& stream) {
  const bool still = fixture.platform.server().suspend_reading(stream.client);
  return fixture.pool.suspend_stream({stream.request, stream.attempt}) && still;
}

// The world hands a stream to itself, as it would to another process: sockets, and what is left of a chunk.
TEST_CASE("a running stream changes hands, and neither its client nor its replica notices", "[upgrade]") {
  Fixture fixture(healthy_reader, [](FakeReplica& r, SlotId client, const FakeReplica::ReceivedRequest&) {
    r.stream_words(client, {"one"}, StreamEnd::kOpen);
  });
  auto client = fixture.platform_client();
  client->post(platform_headers("a1", "command"), "{}");
  REQUIRE(fixture.until([&] { return client->body.find("one") != std::string::npos; }));
  fixture.settle();
  const auto streams = fixture.engine.running_streams(fixture.platform.response_sink());
  REQUIRE(streams.size() == 1);
  const engine::AttemptId attempt{streams[0].request, streams[0].attempt};
  REQUIRE(fixture.until([&] { return hush(fixture, streams[0]); }));
  auto& writer = fixture.writer(0).pending_clients.empty() ? fixture.writer(1) : fixture.writer(0);
  // One that could not be handed over yet is woken, also while its reads are being taken back.
  for (int twice = 0; twice < 2; ++twice) {
    fixture.platform.server().resume_reading(streams[0].client);
    fixture.pool.resume_stream(attempt);
    hush(fixture, streams[0]);
  }
  fixture.platform.server().resume_reading(streams[0].client);
  fixture.pool.resume_stream(attempt);
  fixture.settle();
  REQUIRE(fixture.engine.open_request_count() == 1);
  REQUIRE(fixture.until([&] { return hush(fixture, streams[0]); }));
  writer.server.write_events(writer.pending_clients.back(), "data: two\n\n");  // while nobody reads
  upstream::DetachedStream replica = fixture.pool.detach_stream(attempt);
  net::UniqueFd socket = fixture.platform.server().detach(streams[0].client);
  fixture.platform.forget_detached_stream(streams[0].client);
  fixture.engine.release_stream(streams[0].request);
  CHECK(fixture.engine.open_request_count() == 0);
  CHECK(fixture.platform.server().client_count() == 0);
  CHECK(fixture.pool.open_connections() == 1);  // the reader's, idle
  const SlotId request = fixture.platform.adopt_stream(std::move(socket), "a1", replica.endpoint);
  fixture.pool.adopt_stream({request, 0}, std::move(replica));
  REQUIRE(fixture.until([&] { return client->body.find("two") != std::string::npos; }));
  CHECK(fixture.engine.is_in_progress("a1"));
  writer.server.write_events(writer.pending_clients.back(), "data: [DONE]\n\n");
  writer.server.end_response(writer.pending_clients.back());
  REQUIRE(fixture.until([&] { return client->is_finished(); }));
  CHECK(client->is_complete);
  CHECK(writer.disconnected_clients.empty());
  CHECK(fixture.engine.open_request_count() == 0);
  // The client's connection lives on, and the replica's is kept for the next request.
  client->is_complete = false;
  client->get("/healthz");
  CHECK(fixture.until([&] { return client->is_complete; }));
  CHECK(fixture.pool.open_connections() == 2);
}

TEST_CASE("a stream that changed hands and breaks ends without the last chunk", "[upgrade]") {
  Fixture fixture(healthy_reader, [](FakeReplica& r, SlotId client, const FakeReplica::ReceivedRequest&) {
    r.stream_words(client, {"one"}, StreamEnd::kOpen);
  });
  auto client = fixture.platform_client();
  client->post(platform_headers("a1", "ask"), "{}");
  REQUIRE(fixture.until([&] { return client->body.find("one") != std::string::npos; }));
  fixture.settle();
  const auto stream = fixture.engine.running_streams(fixture.platform.response_sink()).at(0);
  const engine::AttemptId attempt{stream.request, stream.attempt};
  REQUIRE(fixture.until([&] { return hush(fixture, stream); }));
  upstream::DetachedStream replica = fixture.pool.detach_stream(attempt);
  net::UniqueFd socket = fixture.platform.server().detach(stream.client);
  fixture.platform.forget_detached_stream(stream.client);
  fixture.engine.release_stream(stream.request);
  const SlotId request = fixture.platform.adopt_stream(std::move(socket), "a1", replica.endpoint);
  fixture.pool.adopt_stream({request, 0}, std::move(replica));
  auto& writer = fixture.writer(0).pending_clients.empty() ? fixture.writer(1) : fixture.writer(0);
  writer.server.abort(writer.pending_clients.back());
  REQUIRE(fixture.until([&] { return client->is_finished(); }));
  CHECK(client->is_closed);
  CHECK_FALSE(client->is_complete);
  CHECK(fixture.request_count("POST", Role::kWriter) == 1);
}

}  // namespace
}  // namespace dispatcher::testing
