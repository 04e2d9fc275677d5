// Tests separately what two processes of one dispatcher share: drained endpoints, the channel between them,
// and the router's learned state.
#include <sys/socket.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

#include "hot_restart/drained_endpoint_store.hpp"
#include "hot_restart/hot_restart_peer.hpp"
#include "hot_restart_fixture.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

namespace fs = std::filesystem;
using hot_restart::Json;

void ignore_log(std::string_view) {}

TEST_CASE("drained endpoints persist across processes, and a damaged file is logged and drains no endpoint",
          "[upgrade]") {
  TemporaryFolder folder;
  const std::string path = folder / "x.bans";
  hot_restart::DrainedEndpointStore first(path, ignore_log);
  first.load();
  CHECK(first.set_administrative_state("a", AdministrativeState::kDrained));
  CHECK(first.set_administrative_state("b", AdministrativeState::kDrained));
  CHECK_FALSE(first.set_administrative_state("b", AdministrativeState::kDrained));
  CHECK(first.set_administrative_state("a", AdministrativeState::kInService));
  hot_restart::DrainedEndpointStore second(path, ignore_log);
  second.load();
  CHECK(second.endpoints() == std::set<routing::EndpointId>{"b"});
  CHECK(std::distance(fs::directory_iterator(folder.path), {}) == 1);  // no partly written file remains
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
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
  hot_restart::DrainedEndpointStore hindered(path, ignore_log);
  hindered.load();
  // The change applies, although it can't be stored.
  CHECK(hindered.set_administrative_state("c", AdministrativeState::kDrained));
}

// Records what one end of a channel receives.
struct RecordingOwner : hot_restart::HandoverChannel::Owner {
  void on_message(const Json& message, hot_restart::Descriptors received) override {
    messages.push_back(message);
    for (auto& fd : received) descriptors.push_back(std::move(fd));
  }
  void on_channel_closed(hot_restart::ChannelEnd) override { has_ended = true; }
  void on_unreadable_message() override { ++unreadable; }
  bool reclaim_descriptor() override { return false; }
  std::vector<Json> messages;
  hot_restart::Descriptors descriptors;
  int unreadable = 0;
  bool has_ended = false;
};

TEST_CASE("a hand-over channel keeps messages in order, and tolerates invalid bytes", "[upgrade]") {
  TestEventLoop work;
  TemporaryFolder folder;
  RecordingOwner near_owner;
  RecordingOwner far_owner;
  CHECK(hot_restart::HandoverChannel::connect(work.io, folder / "s", near_owner) == nullptr);
  std::ofstream(folder / "s") << "stale";
  CHECK(hot_restart::HandoverChannel::connect(work.io, folder / "s", near_owner) == nullptr);
  std::shared_ptr<hot_restart::HandoverChannel> far;
  int raw = -1;
  hot_restart::HandoverListener listener(work.io, folder / "s", [&](net::UniqueFd fd) {
    raw = fd.get();
    far = std::make_shared<hot_restart::HandoverChannel>(work.io, std::move(fd), far_owner);
    far->start();
  });
  REQUIRE(listener.open());
  const auto near = hot_restart::HandoverChannel::connect(work.io, folder / "s", near_owner);
  REQUIRE(near != nullptr);
  net::tcp::acceptor listening(work.io, loopback());
  near->send({{"n", 0}}, {listening.native_handle()});
  // These messages are more than the socket's buffers hold.
  for (int i = 1; i < 2000; ++i) near->send({{"n", i}, {"text", std::string(1000, 'x')}});
  REQUIRE(work.until([&] { return far_owner.messages.size() == 2000; }));
  for (int i = 0; i < 2000; ++i) CHECK(far_owner.messages[static_cast<std::size_t>(i)]["n"] == i);
  REQUIRE(far_owner.descriptors.size() == 1);
  net::tcp::acceptor copy(work.io, net::tcp::v4(), far_owner.descriptors[0].release());
  CHECK(copy.local_endpoint() == listening.local_endpoint());
  CHECK_FALSE(near->send({{"text", std::string(600UL * 1024, 'x')}}));
  std::mt19937 random(11);
  constexpr int kInvalidPackets = 200;
  for (int i = 0; i < kInvalidPackets; ++i) {
    std::string garbage(1 + random() % 300, ' ');
    for (char& byte : garbage) byte = static_cast<char>(random() % 256);
    ::send(raw, garbage.data(), garbage.size(), MSG_NOSIGNAL);
  }
  far->send({{"last", true}});
  REQUIRE(work.until([&] { return !near_owner.messages.empty(); }));
  CHECK(near_owner.messages.back().contains("last"));
  CHECK(near_owner.unreadable == kInvalidPackets);  // each is reported
  far->close();
  CHECK(work.until([&] { return near_owner.has_ended; }));
  CHECK_FALSE(far_owner.has_ended);  // the closing side gets no further event
  near->close();
  listener.close();
}

TEST_CASE("a router's learned state is encoded completely, and invalid fields are decoded to valid values",
          "[upgrade]") {
  routing::LearnedState learned;
  learned.starts[1] = {12.5, 0.25, 40};
  learned.remote_starts = {3, 0.5, 9};
  learned.served = {5, 6, 0};
  learned.since = seconds(77);
  learned.endpoints.push_back({"r1", {seconds(80), seconds(81)}, seconds(79)});
  const Json object = hot_restart::encode(learned);
  const auto back = hot_restart::decode_learned_state(Json::parse(object.dump()));
  CHECK(hot_restart::encode(back) == object);
  std::mt19937 random(5);
  for (int i = 0; i < 300; ++i) {  // replaces a random value by one of another kind
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

TEST_CASE("a successor's router continues its predecessor's slow-start budget and starts no second one",
          "[upgrade]") {
  const auto list = [](engine::Time started) {
    routing::EndpointList all{routing::ListKind::kFull, {}};
    for (const std::string endpoint : {"r1", "r2", "w1"}) all.entries.push_back(make_endpoint(endpoint));
    all.entries[1].started = started;
    return all;
  };
  engine::Time now = seconds(1000);
  const bool is_informed = GENERATE(true, false);
  routing::Router router(make_settings(), 1);
  router.handle(now, list(now));
  if (is_informed) {
    routing::LearnedState learned;
    learned.served = {80, 80, 0};
    learned.since = now - seconds(60);
    learned.endpoints.push_back({"r2", {now - milliseconds(10), now - milliseconds(5)}, {}});
    router.handle(now, learned);
    router.handle(now, routing::PeerForwarded{"r2"});
  }
  // Only the endpoint that is warming up is left.
  router.handle(now, routing::AdministrativeDrain{"r1", AdministrativeState::kDrained});
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    routing::Request request;
    request.id = "q" + std::to_string(i);
    request.request_class = "ask";
    request.client_deadline = now + seconds(6);
    for (const auto& action : router.handle(now, request))
      sent += std::holds_alternative<routing::StartAttempt>(action) ? 1 : 0;
  }
  // 80 results in 8 s of one warm reader give 0.6 * 4 * 0.3 * 10/s * 2 s, of which three are used.
  // A router that knows no rate sends one request per window.
  CHECK(sent == (is_informed ? 14 - 3 : 1));
}

}  // namespace
}  // namespace dispatcher::testing
