// Tests the connection between the two processes of a hot restart where one of them ends, stops reading or
// lacks descriptors: no message that the kernel has accepted may be lost, nor the sockets that came with it.
#include "hot_restart/handover_channel.hpp"

#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdlib>
#include <functional>

#include "raw_socket.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using hot_restart::ChannelEnd;
using hot_restart::HandoverChannel;
using hot_restart::Json;

// Records the events of a channel, and checks that none follows its end.
struct RecordingOwner : HandoverChannel::Owner {
  struct Received {
    int number = 0;
    std::size_t descriptors = 0;
    bool operator==(const Received&) const = default;
  };
  void on_message(const Json& message, hot_restart::Descriptors descriptors) override {
    CHECK_FALSE(end);
    for (const net::UniqueFd& descriptor : descriptors) CHECK(descriptor);
    received.push_back({message.at("number").get<int>(), descriptors.size()});
    if (after_message) after_message();
  }
  void on_unreadable_message() override { FAIL("a message can't be read"); }
  bool reclaim_descriptor() override { return after_shortage && after_shortage(); }
  void on_channel_closed(ChannelEnd channel_end) override {
    CHECK_FALSE(end);
    end = channel_end;
  }
  std::vector<Received> received;
  std::optional<ChannelEnd> end;
  std::function<void()> after_message;
  std::function<bool()> after_shortage;
};

// Takes all descriptors that this process may open, under a low limit that the destructor lifts.
class DescriptorShortage {
 public:
  DescriptorShortage() {
    constexpr rlim_t kLowLimit = 64;
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit_) == 0);
    const rlimit low{std::min(kLowLimit, limit_.rlim_cur), limit_.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &low) == 0);
    for (int taken = ::dup(STDIN_FILENO); taken >= 0; taken = ::dup(STDIN_FILENO)) taken_.emplace_back(taken);
  }
  ~DescriptorShortage() { ::setrlimit(RLIMIT_NOFILE, &limit_); }
  DescriptorShortage(const DescriptorShortage&) = delete;
  DescriptorShortage& operator=(const DescriptorShortage&) = delete;
  // Closes one of the taken descriptors.
  bool release_one() {
    if (taken_.empty()) return false;
    taken_.pop_back();
    return true;
  }

 private:
  rlimit limit_{};
  std::vector<net::UniqueFd> taken_;
};

// A channel of this process whose other end is a raw socket.
struct ChannelFixture {
  ChannelFixture() {
    std::array<int, 2> ends{};
    REQUIRE(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, ends.data()) == 0);
    other.emplace(net::UniqueFd(ends[1]));
    channel = std::make_shared<HandoverChannel>(loop.io, net::UniqueFd(ends[0]), owner);
    channel->start();
  }
  ~ChannelFixture() { channel->close(); }
  ChannelFixture(const ChannelFixture&) = delete;
  ChannelFixture& operator=(const ChannelFixture&) = delete;

  // Sends messages with the numbers 1 to 3 from the other end, each with two descriptors, as streams have.
  void send_three_from_other() const {
    for (const char* text : {R"({"number":1})", R"({"number":2})", R"({"number":3})"})
      other->send(text, {STDIN_FILENO, STDOUT_FILENO});
  }
  void receive_one_from_other() {
    other->send(R"({"number":0})", {STDIN_FILENO, STDOUT_FILENO});
    REQUIRE(loop.until([&] { return !owner.received.empty(); }));
    owner.received.clear();
  }
  void expect_three_before_the_end(ChannelEnd end) {
    REQUIRE(loop.until([&] { return owner.end.has_value(); }));
    CHECK(owner.end == end);
    CHECK(owner.received == std::vector<RecordingOwner::Received>{{1, 2}, {2, 2}, {3, 2}});
  }

  TestEventLoop loop;
  RecordingOwner owner;
  std::optional<RawSocket> other;  // closed by reset()
  std::shared_ptr<HandoverChannel> channel;
};

// Guards against streams that are cut because the old process ended with messages of the new one unread: the
// kernel reports this to the new process as ECONNRESET, before the packets that still wait for it.
TEST_CASE("packets that wait are received after the other process has ended without reading all of its own",
          "[upgrade]") {
  ChannelFixture fixture;
  fixture.channel->send({{"number", 7}});  // never read
  fixture.send_three_from_other();
  fixture.other.reset();
  fixture.expect_three_before_the_end(ChannelEnd::kReset);
}

// Guards against streams that are cut because the new process sent a message after the old one had ended, and
// closed the channel when that failed.
TEST_CASE("packets that wait are received after a message could not be sent because the other process ended",
          "[upgrade]") {
  ChannelFixture fixture;
  fixture.send_three_from_other();
  const bool is_sent_while_receiving = GENERATE(false, true);
  const auto send = [&] { fixture.channel->send({{"number", 7}}); };
  if (is_sent_while_receiving) fixture.owner.after_message = send;
  fixture.other.reset();
  if (!is_sent_while_receiving) send();
  fixture.expect_three_before_the_end(ChannelEnd::kSendFailed);
}

// Guards against streams that are cut because the new process gives up an old one that no longer reads.
TEST_CASE("packets that wait are received before a channel whose other process has stopped reading is closed",
          "[upgrade]") {
  constexpr int kMoreThanIsQueued = 20000;
  ChannelFixture fixture;
  fixture.send_three_from_other();
  for (int i = 0; i < kMoreThanIsQueued; ++i) fixture.channel->send({{"number", i}});
  fixture.expect_three_before_the_end(ChannelEnd::kQueueFull);
}

// Guards against streams whose sockets the kernel closes because the new process has no descriptors for them.
TEST_CASE("a packet is received with its descriptors once there is room for them", "[upgrade]") {
  const bool can_reclaim = GENERATE(true, false);
  ChannelFixture fixture;
  // The sanitizers' runtime needs descriptors where a function meets a type for the first time.
  fixture.receive_one_from_other();
  std::size_t received_during_shortage = 0;
  {
    DescriptorShortage shortage;
    if (can_reclaim) fixture.owner.after_shortage = [&] { return shortage.release_one(); };
    fixture.send_three_from_other();
    fixture.loop.settle();
    received_during_shortage = fixture.owner.received.size();
    fixture.owner.after_shortage = nullptr;
  }
  CHECK(received_during_shortage == (can_reclaim ? 3 : 0));
  fixture.other.reset();
  fixture.expect_three_before_the_end(ChannelEnd::kClosed);
}

// Guards against streams that are given up although the other process can't receive them now.
TEST_CASE("a message that must be sent immediately is refused while the other process is behind",
          "[upgrade]") {
  constexpr int kMoreThanThePacketsThatFit = 5000;
  ChannelFixture fixture;
  for (int i = 0; i < kMoreThanThePacketsThatFit; ++i) fixture.channel->send({{"number", i}});
  CHECK_FALSE(fixture.channel->send_immediately({{"number", -1}}, {STDIN_FILENO, STDOUT_FILENO}));
  CHECK_FALSE(fixture.channel->is_everything_received());
  for (int i = 0; i < kMoreThanThePacketsThatFit; ++i) {
    std::optional<Packet> packet;
    REQUIRE(fixture.loop.until([&] {
      packet = fixture.other->receive();
      return packet.has_value();
    }));
    CHECK(packet->text == R"({"number":)" + std::to_string(i) + "}");
  }
  CHECK(fixture.channel->is_everything_received());
  CHECK(fixture.channel->send_immediately({{"number", -1}}, {STDIN_FILENO, STDOUT_FILENO}));
  const std::optional<Packet> packet = fixture.other->receive();
  REQUIRE(packet);
  CHECK(packet->descriptors == 2);
}

TEST_CASE("a message that must be sent immediately is refused once the other process has ended",
          "[upgrade]") {
  ChannelFixture fixture;
  fixture.other.reset();
  for (int twice = 0; twice < 2; ++twice)
    CHECK_FALSE(fixture.channel->send_immediately({{"number", 1}}, {STDIN_FILENO, STDOUT_FILENO}));
  REQUIRE(fixture.loop.until([&] { return fixture.owner.end.has_value(); }));
  CHECK(fixture.owner.end == ChannelEnd::kSendFailed);
}

// Runs a function in a process of its own, without the rights of root, and returns what it returns.
int in_unprivileged_process(const std::function<int()>& function) {
  constexpr uid_t kNobody = 65534;
  const pid_t child = ::fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    if (::getuid() == 0 && ::setresuid(kNobody, kNobody, kNobody) != 0) ::_exit(EXIT_FAILURE);
    ::_exit(function());
  }
  int status = 0;
  REQUIRE(::waitpid(child, &status, 0) == child);
  return WIFEXITED(status) ? WEXITSTATUS(status) : EXIT_FAILURE;
}

// Guards against a channel that is closed, with all streams in it, because the new process is held up and the
// kernel limits the descriptors that wait for it.
TEST_CASE("a packet can be sent later where too many descriptors wait for the other process", "[upgrade]") {
  constexpr rlim_t kFewDescriptors = 16;
  constexpr int kPackets = 100;
  std::array<int, 2> ends{};
  REQUIRE(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, ends.data()) == 0);
  const net::UniqueFd near(ends[0]);
  const net::UniqueFd far(ends[1]);
  const int status = in_unprivileged_process([&] {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = kFewDescriptors;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    const std::array<int, 2> sent{STDIN_FILENO, STDOUT_FILENO};
    auto last = hot_restart::SendStatus::kSent;
    for (int i = 0; i < kPackets && last == hot_restart::SendStatus::kSent; ++i)
      last = hot_restart::send_packet(near.get(), "{}", sent);
    return static_cast<int>(last);
  });
  CHECK(status == static_cast<int>(hot_restart::SendStatus::kNoResources));
}

}  // namespace
}  // namespace dispatcher::testing
