#include "vrrp/speaker.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/connection.hpp"

namespace bitternferry::vrrp {

using Json = nlohmann::json;

namespace {

udp::endpoint endpoint(const Json& value, const char* field) {
  const auto parsed = value.is_string() ? net::parse_endpoint(value.get<std::string>()) : std::nullopt;
  if (!parsed || !parsed->address().is_v4())
    throw ConfigError(std::string("field '") + field + "': IPv4 address and port expected");
  return {parsed->address(), parsed->port()};
}

std::int64_t number(const Json& object, const char* field, std::int64_t absent, std::int64_t most) {
  const auto it = object.find(field);
  if (it == object.end()) return absent;
  if (!it->is_number_integer() || it->get<std::int64_t>() < 1 || it->get<std::int64_t>() > most)
    throw ConfigError(std::string("field '") + field + "': whole number from 1 to " + std::to_string(most) +
                      " expected");
  return it->get<std::int64_t>();
}

Address address(const Json& value) {
  boost::system::error_code error;
  const auto parsed =
      boost::asio::ip::make_address_v4(value.is_string() ? value.get<std::string>() : "", error);
  if (error) throw ConfigError("field 'addresses': IPv4 addresses expected");
  return parsed.to_bytes();
}

const Json& list(const Json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end() || !it->is_array() || it->empty() || it->size() > 255)
    throw ConfigError(std::string("field '") + field + "': array of 1 to 255 expected");
  return *it;
}

const char* name(State state) {
  return state == State::kActive ? "active" : state == State::kBackup ? "backup" : "initialize";
}

}  // namespace

std::optional<Config> parse_config(const std::string& text) {
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object()) throw ConfigError("not a JSON object");
  const auto listen = object.find("listen");
  if (listen == object.end() || listen->is_null()) return std::nullopt;
  Config config;
  config.listen = endpoint(*listen, "listen");
  for (const Json& peer : list(object, "peers")) config.peers.push_back(endpoint(peer, "peers"));
  Parameters& p = config.parameters;
  p.vrid = static_cast<std::uint8_t>(number(object, "vrid", 1, 255));
  p.priority = static_cast<std::uint8_t>(number(object, "priority", 100, 255));
  p.interval_cs = static_cast<std::uint16_t>(number(object, "interval_cs", 100, 4095));
  if (const auto it = object.find("preempt"); it != object.end()) {
    if (!it->is_boolean()) throw ConfigError("field 'preempt': true or false expected");
    p.preempt = it->get<bool>();
  }
  for (const Json& one : list(object, "addresses")) p.addresses.push_back(address(one));
  p.primary = config.listen.address().to_v4().to_bytes();
  return config;
}

Speaker::Speaker(boost::asio::io_context& io, const Config& config, core::Deadlines& deadlines,
                 core::Clock clock, core::Log log, OnState on_state)
    : config_(config),
      deadlines_(deadlines),
      clock_(std::move(clock)),
      log_(std::move(log)),
      on_state_(std::move(on_state)),
      machine_(config.parameters),
      socket_(io, config.listen) {}

void Speaker::start(bool succeeds) {
  receive();
  carry_out(machine_.startup(clock_(), succeeds));
}

void Speaker::leave() {
  machine_.shutdown();
  deadlines_.drop(timer_);
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void Speaker::stop() {
  carry_out(machine_.shutdown());
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void Speaker::receive() {
  socket_.async_receive_from(boost::asio::buffer(packet_), from_,
                             [this](boost::system::error_code error, std::size_t size) {
                               if (!socket_.is_open()) return;
                               // A peer that is down answers what was sent to it with an error here.
                               if (!error) take(size);
                               receive();
                             });
}

void Speaker::take(std::size_t size) {
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

void Speaker::carry_out(const StateMachine::Sent& sent) {
  for (const Advertisement& advertisement : sent) {
    const auto packet = encode(advertisement);
    boost::system::error_code ignored;  // a lost advertisement is the protocol's to bear
    for (const udp::endpoint& peer : config_.peers)
      socket_.send_to(boost::asio::buffer(packet), peer, 0, ignored);
  }
  deadlines_.drop(timer_);
  if (const auto next = machine_.next_timer()) {
    timer_ = deadlines_.add(*next, [this] {
      timer_ = {};
      carry_out(machine_.timer(clock_()));
    });
  }
  if (machine_.state() == std::exchange(told_, machine_.state())) return;
  log_(std::string("vrrp: ") + name(told_));
  on_state_(told_);
}

}  // namespace bitternferry::vrrp
