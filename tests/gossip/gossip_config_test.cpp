// The configuration of gossip: the dispatcher's fleet file, and the platform's list of peers.
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

#include "gossip/config.hpp"
#include "tests/fixtures/dispatcher_fixture.hpp"

namespace dispatcher::testing {
namespace {

using gossip::PeerConfig;
using gossip::udp;
using membership::MemberIndex;

PeerConfig peers_for(MemberIndex count) {
  PeerConfig config;
  config.is_allowed = true;
  config.listen = udp::endpoint(boost::asio::ip::address_v4::loopback(), 4000);
  for (MemberIndex member = 0; member < count; ++member)
    config.peers.emplace_back(boost::asio::ip::address_v4::loopback(), 4000 + member);
  return config;
}

std::string parse_error(const std::string& file) {
  try {
    static_cast<void>(gossip::parse_config({"fleet.cue", file}, make_settings(), PeerConfig{}));
  } catch (const cue::Errors& errors) {
    return errors.what();
  }
  return "";
}

TEST_CASE("the shipped fleet file disables gossip, and errors in a fleet file name the field", "[gossip]") {
  const cue::File shipped{"deploy/fleet.cue", [] {
                            std::ifstream file(DISPATCHER_SOURCE "/deploy/fleet.cue");
                            return std::string(std::istreambuf_iterator<char>(file), {});
                          }()};
  auto settings = make_settings();
  settings.router_count = 4;
  settings.router_number = 2;
  CHECK_FALSE(gossip::parse_config(shipped, settings, peers_for(4)));
  cue::File enabled = shipped;
  enabled.text.replace(enabled.text.find("share: false"), 12, "share: true");
  const auto config = gossip::parse_config(enabled, settings, peers_for(4));
  REQUIRE(config);
  CHECK(config->options.self == 2);
  CHECK(config->options.member_count == 4);
  CHECK(config->options.bytes_per_second == 768);
  CHECK(config->options.lending.lease == seconds(10));
  CHECK(config->options.membership.probe_interval == seconds(1));
  CHECK(config->options.membership.indirect_probes == 3);

  PeerConfig forbidden = peers_for(4);
  forbidden.is_allowed = false;
  CHECK_FALSE(gossip::parse_config(enabled, settings, forbidden));
  CHECK_THROWS_WITH(gossip::parse_config(enabled, settings, peers_for(3)),
                    Catch::Contains("'peers'") && Catch::Contains("4 addresses"));
  PeerConfig duplicate = peers_for(4);
  duplicate.peers[1] = duplicate.peers[0];
  CHECK_THROWS_WITH(gossip::parse_config(enabled, settings, duplicate), Catch::Contains("twice"));
  PeerConfig without_listener = peers_for(4);
  without_listener.listen.reset();
  CHECK_THROWS_WITH(gossip::parse_config(enabled, settings, without_listener),
                    Catch::Contains("peer_listen"));

  CHECK_THAT(parse_error("share: true\nbytes: per_second: 10"),
             Catch::Contains("fleet.cue:2:") && Catch::Contains("bytes.per_second"));
  CHECK_THAT(parse_error("members: {period_ms: 500, probe_timeout_ms: 200}"),
             Catch::Contains("fleet.cue:1:") && Catch::Contains("probe_timeout_ms"));
  CHECK_THAT(parse_error("rights: lease_ms: 16_000"), Catch::Contains("rights.lease_ms"));
  CHECK_THAT(parse_error("shares: true"), Catch::Contains("shares"));
}

TEST_CASE("peers of the platform's configuration are read only if gossip is allowed", "[gossip]") {
  auto json = nlohmann::json::parse(
      R"({"settings": {"tier": 1, "limits": {"peers": true}}, "peer_listen": "127.0.0.1:7001",
    "peers": ["127.0.0.1:7001", "127.0.0.1:7002"], "peers_all": "127.0.0.1:7000"})");
  const PeerConfig config = gossip::parse_peer_config(json);
  CHECK(config.is_allowed);
  CHECK(config.tier == 1);
  CHECK(config.peers.size() == 2);
  CHECK(config.peers[1].port() == 7002);
  CHECK(config.broadcast->port() == 7000);
  CHECK(config.listen->port() == 7001);
  json["peers"][1] = "nowhere";
  CHECK_THROWS_WITH(gossip::parse_peer_config(json), Catch::Contains("peers[1]"));
  json["settings"]["limits"]["peers"] = false;
  CHECK_FALSE(gossip::parse_peer_config(json).is_allowed);
  CHECK_FALSE(gossip::parse_peer_config(nlohmann::json::object()).is_allowed);
}

TEST_CASE("each error in the configuration of peers has its own text", "[gossip]") {
  using gossip::PeerConfigErrorCode;
  using gossip::to_text;
  CHECK(to_text({PeerConfigErrorCode::kInvalidPermission, "limits.peers", 0, 0}) ==
        "settings: field 'limits.peers': true or false expected");
  CHECK(to_text({PeerConfigErrorCode::kInvalidTier, "tier", 0, 0}) ==
        "settings: field 'tier': number expected");
  CHECK(to_text({PeerConfigErrorCode::kInvalidAddress, "peers[1]", 0, 0}) ==
        "field 'peers[1]': address and port expected");
  CHECK(to_text({PeerConfigErrorCode::kPeersNotAList, "peers", 0, 0}) ==
        "field 'peers': list of addresses expected");
  CHECK(to_text({PeerConfigErrorCode::kListenMissing, "peer_listen", 0, 0}) ==
        "field 'peer_listen': missing, though gossip is allowed");
  CHECK(to_text({PeerConfigErrorCode::kPeerCountMismatch, "peers", 4, 3}) ==
        "field 'peers': 4 addresses expected, one per dispatcher, not 3");
  CHECK(to_text({PeerConfigErrorCode::kDuplicatePeer, "peers", 0, 0}) ==
        "field 'peers': an address is listed twice");
}

TEST_CASE("an error in the configuration of peers is reported with its code and field", "[gossip]") {
  using gossip::PeerConfigErrorCode;
  const auto problem_of = [](const std::string& configuration) {
    try {
      static_cast<void>(gossip::parse_peer_config(nlohmann::json::parse(configuration)));
    } catch (const gossip::PeerConfigError& error) {
      return std::pair(error.problem.code, error.problem.field);
    }
    throw std::logic_error("the configuration is valid");
  };
  CHECK(problem_of(R"({"settings": {"limits": {"peers": 1}}})") ==
        std::pair(PeerConfigErrorCode::kInvalidPermission, std::string("limits.peers")));
  CHECK(problem_of(R"({"settings": {"tier": 1001, "limits": {"peers": true}}})") ==
        std::pair(PeerConfigErrorCode::kInvalidTier, std::string("tier")));
  CHECK(problem_of(R"({"settings": {"limits": {"peers": true}}, "peer_listen": 7})") ==
        std::pair(PeerConfigErrorCode::kInvalidAddress, std::string("peer_listen")));
  CHECK(problem_of(R"({"settings": {"limits": {"peers": true}}, "peers_all": "x"})") ==
        std::pair(PeerConfigErrorCode::kInvalidAddress, std::string("peers_all")));
  CHECK(problem_of(R"({"settings": {"limits": {"peers": true}}, "peers": "127.0.0.1:1"})") ==
        std::pair(PeerConfigErrorCode::kPeersNotAList, std::string("peers")));
}

}  // namespace
}  // namespace dispatcher::testing
