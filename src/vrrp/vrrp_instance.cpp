#include "vrrp/vrrp_instance.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <string_view>
#include <utility>

#include "cue/schema.hpp"
#include "net/connection.hpp"

namespace dispatcher::vrrp {

namespace {

constexpr std::string_view kSchema = R"cue(
#Vrrp: {
	listen:      *null | string // address and port; null: VRRP is off
	peers:       *[] | [...string]
	vrid:        *1 | (int & >=1 & <=255)
	priority:    *100 | (int & >=1 & <=255)
	interval_cs: *100 | (int & >=1 & <=4095)
	preempt:     *true | bool
	addresses:   *[] | [...string]
}
)cue";

// What the schema can't tell: addresses, and lists that only a pair needs.
class Reader {
 public:
  udp::endpoint endpoint(const cue::Data& data) {
    const auto parsed = net::parse_endpoint(data.text());
    if (parsed && parsed->address().is_v4()) return {parsed->address(), parsed->port()};
    bad(data, "IPv4 address and port expected");
    return {};
  }

  Address address(const cue::Data& data) {
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address_v4(data.text(), error);
    if (error) bad(data, "IPv4 address expected");
    return parsed.to_bytes();
  }

  const cue::Data::Items& list(const cue::Data& data) {
    if (data.items().empty() || data.items().size() > 255) bad(data, "list of 1 to 255 expected");
    return data.items();
  }

  std::vector<cue::Problem> problems;

 private:
  void bad(const cue::Data& at, const char* what) { problems.push_back(cue::problem(at, what)); }
};

const char* name(State state) {
  return state == State::kActive ? "active" : state == State::kBackup ? "backup" : "initialize";
}

}  // namespace

std::optional<Config> parse_config(const cue::File& file) {
  static const cue::Schema schema(kSchema, "#Vrrp");
  const cue::Data data = schema.read(file);
  if (!data.has("listen")) return std::nullopt;
  Config config;
  Reader reader;
  config.listen = reader.endpoint(data["listen"]);
  for (const cue::Data& peer : reader.list(data["peers"])) config.peers.push_back(reader.endpoint(peer));
  Parameters& p = config.parameters;
  p.vrid = static_cast<std::uint8_t>(data["vrid"].integer());
  p.priority = static_cast<std::uint8_t>(data["priority"].integer());
  p.interval_cs = static_cast<std::uint16_t>(data["interval_cs"].integer());
  p.preempt = data["preempt"].flag();
  for (const cue::Data& one : reader.list(data["addresses"])) p.addresses.push_back(reader.address(one));
  if (!reader.problems.empty()) throw cue::Errors(file.name, std::move(reader.problems));
  p.primary = config.listen.address().to_v4().to_bytes();
  return config;
}

VrrpInstance::VrrpInstance(boost::asio::io_context& io, const Config& config, engine::TimerQueue& timers,
                           engine::Clock clock, engine::Log log, OnState on_state)
    : config_(config),
      timers_(timers),
      clock_(std::move(clock)),
      log_(std::move(log)),
      on_state_(std::move(on_state)),
      machine_(config.parameters),
      socket_(io, config.listen) {}

void VrrpInstance::start(bool succeeds) {
  receive();
  carry_out(machine_.startup(clock_(), succeeds));
}

void VrrpInstance::leave() {
  machine_.shutdown();
  timers_.drop(timer_);
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void VrrpInstance::stop() {
  carry_out(machine_.shutdown());
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void VrrpInstance::receive() {
  socket_.async_receive_from(boost::asio::buffer(packet_), from_,
                             [this](boost::system::error_code error, std::size_t size) {
                               if (!socket_.is_open()) return;
                               // A peer that is down answers what was sent to it with an error here.
                               if (!error) take(size);
                               receive();
                             });
}

void VrrpInstance::take(std::size_t size) {
  const auto known = [&](const udp::endpoint& peer) { return peer == from_; };
  if (std::none_of(config_.peers.begin(), config_.peers.end(), known)) return;
  const auto result = decode({packet_.data(), size});
  if (const auto* problem = std::get_if<std::string>(&result)) return log_("vrrp: bad packet: " + *problem);
  const auto& advertisement = std::get<Advertisement>(result);
  if (advertisement.vrid == config_.parameters.vrid &&
      advertisement.addresses != config_.parameters.addresses)
    log_("vrrp: a peer advertises other addresses");
  carry_out(machine_.receive(clock_(), advertisement, from_.address().to_v4().to_bytes()));
}

void VrrpInstance::carry_out(const StateMachine::Sent& sent) {
  for (const Advertisement& advertisement : sent) {
    const auto packet = encode(advertisement);
    boost::system::error_code ignored;  // a lost advertisement is the protocol's to bear
    for (const udp::endpoint& peer : config_.peers)
      socket_.send_to(boost::asio::buffer(packet), peer, 0, ignored);
  }
  timers_.drop(timer_);
  if (const auto next = machine_.next_timer()) {
    timer_ = timers_.add(*next, [this] {
      timer_ = {};
      carry_out(machine_.timer(clock_()));
    });
  }
  if (machine_.state() == std::exchange(told_, machine_.state())) return;
  log_(std::string("vrrp: ") + name(told_));
  on_state_(told_);
}

}  // namespace dispatcher::vrrp
