// Tests the hand-over between this release and the previous one, in both directions. The literals are what
// the previous release wrote to its socket and its file, recorded from its library. They must never be
// changed to match the code, since a process of that release may be the other end.
#include <fstream>
#include <iterator>

#include "hot_restart/drained_endpoint_store.hpp"
#include "hot_restart/hot_restart_peer.hpp"
#include "hot_restart_fixture.hpp"
#include "raw_socket.hpp"
#include "tests/fixtures/daemon_fixture.hpp"

namespace dispatcher::testing {
namespace {

using hot_restart::Json;

constexpr std::string_view kHandover =
    R"({"estate":true,"ids":["a1","b\"2",")"
    "\xef\xbf\xbd"  // an id that was not UTF-8 has its bad bytes replaced
    R"("],"knowledge":{"far":[3.0,0.5,9],"hosts":[{"back":79000000,"host":"r1",)"
    R"("sends":[80000000,81000000]},{"back":0,"host":"w1","sends":[]}],"served":[5,6,0],"since":77000000,)"
    R"("starts":[[0.1,0.3333333333333333,7],[12.5,0.25,40],[0.0,0.5,0]]},"level":{"level":"less",)"
    R"("pinned":true,"shed":3,"signals":{"open":12}},"list":{"hosts":[{"block":2,"born_ms":0.0,)"
    R"("class":"reader","dial":"127.0.0.1:3000","health":"up","host":"r1","share":1.0,"site":"here"},)"
    R"({"block":0,"born_ms":1799999999123.5,"class":"writer","dial":"[::1]:3001","health":"draining",)"
    R"("host":"w1","share":0.5,"site":"there"}],"seq":41,"whole":true},"listening":["chat","platform"]})";
// The hand-over if the endpoint list is too long for one message.
constexpr std::string_view kHandoverWithoutList =
    R"({"estate":true,"knowledge":{"far":[3.0,0.5,9],"hosts":[{"back":79000000,"host":"r1",)"
    R"("sends":[80000000,81000000]},{"back":0,"host":"w1","sends":[]}],"served":[5,6,0],"since":77000000,)"
    R"("starts":[[0.1,0.3333333333333333,7],[12.5,0.25,40],[0.0,0.5,0]]},"level":{"level":"less",)"
    R"("pinned":true,"shed":3,"signals":{"open":12}},"listening":["chat","platform"]})";
constexpr std::string_view kServing = R"({"serving":true})";
constexpr std::string_view kOffline = R"({"ban":"r1","offline":true})";
constexpr std::string_view kOnline = R"({"ban":"r1","offline":false})";
constexpr std::string_view kRequestOpened = R"({"open":true,"request":"a1"})";
constexpr std::string_view kRequestClosed = R"({"open":false,"request":"a1"})";
constexpr std::string_view kSent = R"({"sent":"r1"})";
constexpr std::string_view kVrrpActive = R"({"vrrp":true})";
constexpr std::string_view kVrrpBackup = R"({"vrrp":false})";
constexpr std::string_view kStream =
    R"({"stream":{"chunk_left":17,"host":"w1","id":"a1","keep_alive":true,"unread":[100,97,10,255]}})";
constexpr std::string_view kDrainedEndpointsFile = R"({"offline":["r\"1","w1"]})";

// An owner with the state that the previous release had when its messages were recorded. Records all events.
struct RecordedOwner : hot_restart::HotRestartPeer::Owner {
  Json endpoint_list() override {
    if (long_list) return std::string(600UL * 1024, 'x');
    return service_discovery::to_json(
        service_discovery::parse_endpoint_snapshot(Json::parse(kHandover).at("list")));
  }
  std::map<std::string, int> listening_sockets() override { return {{"platform", 0}, {"chat", 1}}; }
  std::vector<routing::RequestId> open_request_ids() override { return {"a1", "b\"2", "\xff"}; }
  routing::LearnedState learned_state() override {
    routing::LearnedState state;
    if (long_learned_state) state.endpoints.push_back({std::string(600UL * 1024, 'x'), {}, {}});
    state.starts[0] = {0.1, 1.0 / 3, 7};
    state.starts[1] = {12.5, 0.25, 40};
    state.remote_starts = {3, 0.5, 9};
    state.served = {5, 6, 0};
    state.since = seconds(77);
    state.endpoints.push_back({"r1", {seconds(80), seconds(81)}, seconds(79)});
    state.endpoints.push_back({"w1", {}, {}});
    return state;
  }
  Json degradation_level() override {
    return {{"level", "less"}, {"pinned", true}, {"shed", 3}, {"signals", {{"open", 12}}}};
  }
  void on_handover(hot_restart::HandoverState state) override { states.push_back(std::move(state)); }
  void on_administrative_state(const routing::EndpointId& endpoint, AdministrativeState state) override {
    const bool is_drained = state == AdministrativeState::kDrained;
    events.push_back("drained " + endpoint.value() + (is_drained ? " yes" : " no"));
  }
  void on_peer_request_progress(const routing::RequestId& id, engine::RequestProgress progress) override {
    const bool is_open = progress == engine::RequestProgress::kInProgress;
    events.push_back("request " + id.value() + (is_open ? " open" : " closed"));
  }
  void on_peer_forwarded(const routing::EndpointId& endpoint) override {
    events.push_back("sent " + endpoint.value());
  }
  void on_stream(const hot_restart::StreamTransfer& stream, net::UniqueFd client,
                 net::UniqueFd upstream) override {
    CHECK(client);
    CHECK(upstream);
    CHECK(stream.request_id == "a1");
    CHECK(stream.endpoint == "w1");
    CHECK(stream.unread == "da\n\xff");
    CHECK(stream.chunk_left == 17);
    CHECK(stream.keep_alive);
    CHECK_FALSE(stream.silent_since);
    events.emplace_back("stream");
  }
  bool reclaim_descriptor() override { return false; }
  std::optional<engine::Duration> clock_offset() override { return own_clock_offset; }
  void on_vrrp_left(const hot_restart::VrrpLeft& left, net::UniqueFd listening_socket) override {
    CHECK_FALSE(listening_socket);
    CHECK_FALSE(left.active_down_at);
    events.emplace_back(left.role == hot_restart::VrrpRole::kActive ? "vrrp active" : "vrrp backup");
  }
  void on_peers_changed() override { events.emplace_back("peers changed"); }
  void on_predecessor_connections() override { events.emplace_back("connections"); }

  std::optional<engine::Duration> own_clock_offset;  // the previous release sent none
  bool long_list = false;
  bool long_learned_state = false;
  std::vector<hot_restart::HandoverState> states;
  std::vector<std::string> events;
};

// A peer of this release whose other end is a raw socket.
struct PeerFixture {
  PeerFixture() {
    peer.emplace(
        work.io, path, work.timers, work.clock(), [](std::string_view) {}, owner);
  }
  ~PeerFixture() { peer->close(); }
  // Starts this release as the predecessor and connects a successor of the previous release.
  RawSocket serve() {
    peer->start();
    peer->on_serving();
    return RawSocket::connect(path);
  }
  // Starts this release as the successor of a process of the previous release.
  RawSocket take_over() {
    const RawSocket listener = RawSocket::listen(path);
    peer->start();
    return listener.accept();
  }
  Packet next(const RawSocket& socket) {
    std::optional<Packet> packet;
    REQUIRE(work.until([&] {
      packet = socket.receive();
      return packet.has_value();
    }));
    return *packet;
  }
  void expect(const RawSocket& socket, std::string_view text, std::size_t descriptors = 0) {
    const Packet packet = next(socket);
    CHECK(packet.text == text);
    CHECK(packet.descriptors == descriptors);
  }
  void wait_for(std::size_t events) {
    REQUIRE(work.until([&] { return owner.events.size() >= events; }));
  }
  TemporaryFolder folder;
  std::string path = folder / "peer.sock";
  TestEventLoop work;
  RecordedOwner owner;
  std::optional<hot_restart::HotRestartPeer> peer;
};

TEST_CASE("each message to a successor of the previous release is byte for byte as that release wrote it",
          "[upgrade][compatibility]") {
  PeerFixture fixture;
  const RawSocket successor = fixture.serve();
  fixture.expect(successor, kHandover, 2);
  successor.send(kServing);
  REQUIRE(fixture.work.until([&] { return fixture.peer->is_successor_serving(); }));
  fixture.peer->notify_administrative_state("r1", AdministrativeState::kDrained);
  fixture.expect(successor, kOffline);
  fixture.peer->notify_administrative_state("r1", AdministrativeState::kInService);
  fixture.expect(successor, kOnline);
  fixture.peer->on_request_progress("a1", engine::RequestProgress::kInProgress);
  fixture.expect(successor, kRequestOpened);
  fixture.peer->on_request_progress("a1", engine::RequestProgress::kCompleted);
  fixture.expect(successor, kRequestClosed);
  fixture.peer->on_attempt_started("r1");
  fixture.expect(successor, kSent);
  fixture.peer->notify_vrrp_left({hot_restart::VrrpRole::kActive});
  fixture.expect(successor, kVrrpActive);
  fixture.peer->notify_vrrp_left({hot_restart::VrrpRole::kBackup});
  fixture.expect(successor, kVrrpBackup);
  CHECK(fixture.peer->transfer_stream({"a1", "w1", "da\n\xff", 17, true}, 0, 1));
  fixture.expect(successor, kStream, 2);
}

TEST_CASE("each message to a predecessor of the previous release is byte for byte as that release wrote it",
          "[upgrade][compatibility]") {
  PeerFixture fixture;
  const RawSocket predecessor = fixture.take_over();
  fixture.peer->on_serving();
  fixture.expect(predecessor, kServing);
  fixture.peer->notify_administrative_state("r1", AdministrativeState::kDrained);
  fixture.expect(predecessor, kOffline);
  fixture.peer->on_request_progress("a1", engine::RequestProgress::kInProgress);
  fixture.expect(predecessor, kRequestOpened);
  fixture.peer->on_attempt_started("r1");
  fixture.expect(predecessor, kSent);
  // Only a successor is notified that this process left the VRRP group.
  fixture.peer->notify_vrrp_left({hot_restart::VrrpRole::kActive});
  fixture.work.settle();
  CHECK_FALSE(predecessor.receive());
}

TEST_CASE("an endpoint list that is too long is omitted from the hand-over, as in the previous release",
          "[upgrade][compatibility]") {
  PeerFixture fixture;
  fixture.owner.long_list = true;
  const RawSocket successor = fixture.serve();
  fixture.expect(successor, kHandoverWithoutList, 2);
}

// Guards against a request that runs at both processes, because the successor of a process with a long list
// was not notified of the requests that were open.
TEST_CASE("the open requests follow a hand-over without lists in messages of their own",
          "[upgrade][compatibility]") {
  PeerFixture fixture;
  fixture.owner.long_list = true;
  const RawSocket successor = fixture.serve();
  fixture.expect(successor, kHandoverWithoutList, 2);
  fixture.expect(successor, kRequestOpened);
  fixture.expect(successor, R"({"open":true,"request":"b\"2"})");
  fixture.expect(successor, "{\"open\":true,\"request\":\"\xef\xbf\xbd\"}");
}

// Guards against a hand-over that is not sent at all, with the listening sockets in it, because of its
// length.
TEST_CASE("a learned state that is too long is omitted from the hand-over as well", "[upgrade]") {
  PeerFixture fixture;
  fixture.owner.long_list = true;
  fixture.owner.long_learned_state = true;
  const RawSocket successor = fixture.serve();
  const Packet packet = fixture.next(successor);
  const Json handover = Json::parse(packet.text);
  CHECK(packet.descriptors == 2);
  CHECK(handover.at("estate") == true);
  CHECK(handover.at("listening") == Json::parse(kHandover).at("listening"));
  CHECK(handover.at("level") == Json::parse(kHandover).at("level"));
  CHECK_FALSE(handover.contains("knowledge"));
}

TEST_CASE("the previous release's hand-over decodes to the state that it encodes",
          "[upgrade][compatibility]") {
  PeerFixture fixture;
  const RawSocket predecessor = fixture.take_over();
  predecessor.send(kHandover, {0, 1});
  REQUIRE(fixture.work.until([&] { return !fixture.owner.states.empty(); }));
  const hot_restart::HandoverState& state = fixture.owner.states.front();
  CHECK(state.endpoint_list == Json::parse(kHandover).at("list"));
  CHECK(state.degradation_level == Json::parse(kHandover).at("level"));
  CHECK(state.open_request_ids == std::vector<routing::RequestId>{"a1", "b\"2", "\xef\xbf\xbd"});
  REQUIRE(state.listening_sockets.size() == 2);
  CHECK(state.listening_sockets.at("chat"));
  CHECK(state.listening_sockets.at("platform"));
  const routing::LearnedState expected = fixture.owner.learned_state();
  const routing::LearnedState& learned = state.learned_state;
  for (std::size_t role = 0; role < expected.starts.size(); ++role) {
    CHECK(learned.starts[role].mean == expected.starts[role].mean);
    CHECK(learned.starts[role].dev == expected.starts[role].dev);
    CHECK(learned.starts[role].n == expected.starts[role].n);
  }
  CHECK(learned.remote_starts.mean == expected.remote_starts.mean);
  CHECK(learned.remote_starts.dev == expected.remote_starts.dev);
  CHECK(learned.remote_starts.n == expected.remote_starts.n);
  CHECK(learned.served == expected.served);
  CHECK(learned.since == expected.since);
  REQUIRE(learned.endpoints.size() == expected.endpoints.size());
  for (std::size_t i = 0; i < expected.endpoints.size(); ++i) {
    CHECK(learned.endpoints[i].endpoint == expected.endpoints[i].endpoint);
    CHECK(learned.endpoints[i].sends == expected.endpoints[i].sends);
    CHECK(learned.endpoints[i].returned_at == expected.endpoints[i].returned_at);
  }
}

// Guards against times that a process takes for its own although they are in a clock that was read before the
// system clock was adjusted.
TEST_CASE("the times of a learned state are converted to the successor's clock", "[upgrade]") {
  PeerFixture fixture;
  constexpr seconds kPredecessorOffset{100};
  constexpr seconds kOwnOffset{70};
  fixture.owner.own_clock_offset = kOwnOffset;
  Json handover = Json::parse(kHandover);
  handover["knowledge"]["clock_offset_us"] = engine::Duration(kPredecessorOffset).count();
  const RawSocket predecessor = fixture.take_over();
  predecessor.send(handover.dump(), {0, 1});
  REQUIRE(fixture.work.until([&] { return !fixture.owner.states.empty(); }));
  const routing::LearnedState& learned = fixture.owner.states.front().learned_state;
  const routing::LearnedState sent = fixture.owner.learned_state();
  const engine::Duration shift = kOwnOffset - kPredecessorOffset;
  CHECK(learned.since == sent.since + shift);
  CHECK(learned.endpoints[0].sends[1] == sent.endpoints[0].sends[1] + shift);
  CHECK(learned.endpoints[0].returned_at == sent.endpoints[0].returned_at + shift);
  CHECK(learned.endpoints[1].returned_at == engine::Time{});  // none
}

TEST_CASE("a process sends its clock's offset with its learned state", "[upgrade]") {
  PeerFixture fixture;
  fixture.owner.own_clock_offset = seconds(70);
  const RawSocket successor = fixture.serve();
  CHECK(Json::parse(fixture.next(successor).text).at("knowledge").at("clock_offset_us") == 70'000'000);
}

TEST_CASE("a predecessor that shuts down sends the connections that it keeps whenever they change",
          "[upgrade]") {
  PeerFixture fixture;
  const RawSocket successor = fixture.serve();
  fixture.expect(successor, kHandover, 2);
  fixture.peer->notify_connections({3, 4});  // the successor does not serve yet
  successor.send(kServing);
  REQUIRE(fixture.work.until([&] { return fixture.peer->is_successor_serving(); }));
  fixture.peer->notify_connections({2, 4});
  fixture.peer->notify_connections({2, 4});
  fixture.peer->notify_connections({2, 1});
  fixture.expect(successor, R"({"connections":{"clients":2,"endpoints":4}})");
  fixture.expect(successor, R"({"connections":{"clients":2,"endpoints":1}})");
}

TEST_CASE("the connections that a predecessor keeps reach the owner, and end with the predecessor",
          "[upgrade]") {
  PeerFixture fixture;
  std::optional<RawSocket> predecessor = fixture.take_over();
  CHECK_FALSE(fixture.peer->predecessor_connections());
  predecessor->send(R"({"connections":{"clients":2,"endpoints":4}})");
  predecessor->send(R"({"connections":{"clients":-1,"endpoints":"x"}})");
  fixture.wait_for(3);
  CHECK(fixture.owner.events == std::vector<std::string>{"peers changed", "connections", "connections"});
  CHECK(fixture.peer->predecessor_connections() == hot_restart::ConnectionsInUse{0, 0});
  predecessor.reset();
  fixture.wait_for(4);
  CHECK_FALSE(fixture.peer->predecessor_connections());
}

TEST_CASE("the previous release's hand-over without a list decodes to a state without list and ids",
          "[upgrade][compatibility]") {
  PeerFixture fixture;
  const RawSocket predecessor = fixture.take_over();
  predecessor.send(kHandoverWithoutList, {0, 1});
  REQUIRE(fixture.work.until([&] { return !fixture.owner.states.empty(); }));
  const hot_restart::HandoverState& state = fixture.owner.states.front();
  CHECK(state.endpoint_list.is_null());
  CHECK(state.open_request_ids.empty());
  CHECK(state.listening_sockets.size() == 2);
  CHECK(state.learned_state.served == std::array<int, 3>{5, 6, 0});
}

TEST_CASE("each message of a predecessor of the previous release reaches the owner",
          "[upgrade][compatibility]") {
  PeerFixture fixture;
  const RawSocket predecessor = fixture.take_over();
  predecessor.send(kHandover, {0, 1});
  for (const std::string_view message :
       {kOffline, kOnline, kRequestOpened, kRequestClosed, kSent, kVrrpActive, kVrrpBackup})
    predecessor.send(message);
  predecessor.send(kStream, {0, 1});
  fixture.wait_for(9);
  CHECK(fixture.owner.events == std::vector<std::string>{"peers changed", "drained r1 yes", "drained r1 no",
                                                         "request a1 open", "request a1 closed", "sent r1",
                                                         "vrrp active", "vrrp backup", "stream"});
}

TEST_CASE("each message of a successor of the previous release reaches the owner",
          "[upgrade][compatibility]") {
  PeerFixture fixture;
  const RawSocket successor = fixture.serve();
  fixture.expect(successor, kHandover, 2);
  CHECK_FALSE(fixture.peer->is_successor_serving());
  for (const std::string_view message : {kServing, kOffline, kOnline, kRequestOpened, kRequestClosed, kSent})
    successor.send(message);
  fixture.wait_for(7);
  CHECK(fixture.peer->is_successor_serving());
  CHECK(fixture.owner.events == std::vector<std::string>{"peers changed", "peers changed", "drained r1 yes",
                                                         "drained r1 no", "request a1 open",
                                                         "request a1 closed", "sent r1"});
}

TEST_CASE("the file of drained endpoints is read and written as in the previous release",
          "[upgrade][compatibility]") {
  const TemporaryFolder folder;
  const std::string path = folder / "x.bans";
  std::ofstream(path) << kDrainedEndpointsFile;
  hot_restart::DrainedEndpointStore store(path, [](std::string_view) {});
  store.load();
  CHECK(store.endpoints() == std::set<routing::EndpointId>{"r\"1", "w1"});
  // Each change rewrites the file.
  CHECK(store.set_administrative_state("a", AdministrativeState::kDrained));
  CHECK(store.set_administrative_state("a", AdministrativeState::kInService));
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  CHECK(text == kDrainedEndpointsFile);
}

TEST_CASE("the socket and the file of drained endpoints have the previous release's names",
          "[upgrade][compatibility]") {
  const TemporaryFolder folder;
  std::ofstream(folder / "bitternferry-n_1_x.bans") << kDrainedEndpointsFile;
  daemon::Loop loop;
  daemon::Config config = make_daemon_config("n-1.x");
  config.shared_directory = folder.path;
  std::vector<std::string> logs;
  daemon::Dispatcher dispatcher(loop, config, {}, [&](std::string_view text) { logs.emplace_back(text); });
  dispatcher.start();
  CHECK(std::any_of(logs.begin(), logs.end(),
                    [](const auto& entry) { return entry.find("w1 still offline") != std::string::npos; }));
  const RawSocket successor = RawSocket::connect(folder / "bitternferry-n_1_x.sock");
  std::optional<Packet> packet;
  for (packet = successor.receive(); !packet; packet = successor.receive()) loop.io().run_one();
  CHECK(packet->text.starts_with(R"({"estate":true,"ids":[],"knowledge":{)"));
  CHECK(packet->descriptors == 1);
}

}  // namespace
}  // namespace dispatcher::testing
