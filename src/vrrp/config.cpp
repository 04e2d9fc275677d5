// Parses the configuration of VRRP.
#include <boost/asio/ip/address_v4.hpp>
#include <string_view>
#include <utility>

#include "cue/schema.hpp"
#include "net/address.hpp"
#include "vrrp/vrrp_instance.hpp"

namespace dispatcher::vrrp {

namespace {

constexpr std::string_view kSchema = R"cue(
#Vrrp: {
	listen:      *null | string // address and port; VRRP is off if null
	peers:       *[] | [...string]
	vrid:        *1 | (int & >=1 & <=255)
	priority:    *100 | (int & >=1 & <=255)
	interval_cs: *100 | (int & >=1 & <=4095)
	preempt:     *true | bool
	addresses:   *[] | [...string]
}
)cue";

constexpr std::size_t kMaxListSize = 255;  // an advertisement has the number of its addresses in one byte

// Checks what the schema can't express: the form of addresses, and that lists are not empty if VRRP is on.
// Collects the problems.
class FieldReader {
 public:
  udp::endpoint endpoint(const cue::Data& field) {
    const auto endpoint = net::parse_endpoint(field.text());
    if (endpoint && endpoint->address().is_v4()) return {endpoint->address(), endpoint->port()};
    report(field, "IPv4 address and port expected");
    return {};
  }

  Address address(const cue::Data& field) {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(field.text(), error);
    if (error) report(field, "IPv4 address expected");
    return address.to_bytes();
  }

  const cue::Data::Items& list(const cue::Data& field) {
    const cue::Data::Items& items = field.items();
    if (items.empty() || items.size() > kMaxListSize) report(field, "list of 1 to 255 expected");
    return items;
  }

  [[nodiscard]] std::vector<cue::Problem> take_problems() { return std::move(problems_); }

 private:
  void report(const cue::Data& field, const char* what) { problems_.push_back(cue::problem(field, what)); }

  std::vector<cue::Problem> problems_;
};

}  // namespace

std::optional<Config> parse_config(const cue::File& file) {
  static const cue::Schema schema(kSchema, "#Vrrp");
  const cue::Data data = schema.read(file);
  if (!data.has("listen")) return std::nullopt;
  Config config;
  FieldReader reader;
  config.listen = reader.endpoint(data["listen"]);
  for (const cue::Data& peer : reader.list(data["peers"])) config.peers.push_back(reader.endpoint(peer));
  Parameters& parameters = config.parameters;
  parameters.vrid = static_cast<std::uint8_t>(data["vrid"].integer());
  parameters.priority = static_cast<std::uint8_t>(data["priority"].integer());
  parameters.interval_cs = static_cast<std::uint16_t>(data["interval_cs"].integer());
  parameters.preempt = data["preempt"].flag();
  for (const cue::Data& address : reader.list(data["addresses"]))
    parameters.addresses.push_back(reader.address(address));
  auto problems = reader.take_problems();
  if (!problems.empty()) throw cue::Errors(file.name, std::move(problems));
  parameters.primary = config.listen.address().to_v4().to_bytes();
  return config;
}

}  // namespace dispatcher::vrrp
