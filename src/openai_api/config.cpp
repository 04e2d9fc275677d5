#include "openai_api/config.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "cue/schema.hpp"

namespace dispatcher::openai_api {

namespace {

constexpr std::string_view kSchema = R"cue(
#Chat: {
	listen: *null | string // address and port; null: the front is off
	models: *[] | [...#Model]
	account: *null | (string & !="") // where there are no keys
	keys: *[] | [...#Key]
	max_open: *256 | (int & >=1 & <=100_000) | null
	default_max_tokens: *300 | (int & >=1 & <=1_000_000) | null
}
#Model: {
	id:    string & !=""
	class: string & !=""
	deadline_ms: *null | (int & >=1 & <=3_600_000) // null: the class's
}
#Key: {
	key:     string & !=""
	account: string & !=""
}
)cue";

// What the schema alone can't tell: what the platform's settings name.
class Reader {
 public:
  explicit Reader(const routing::Settings& settings) : settings_(settings) {}

  Model model(const cue::Data& data) {
    Model model;
    model.id = data["id"].text();
    const std::string& name = data["class"].text();
    const auto cls = std::find_if(settings_.classes.begin(), settings_.classes.end(),
                                  [&](const auto& c) { return c.name == name; });
    if (cls == settings_.classes.end()) {
      bad(data["class"], "no class '" + name + "' in the settings");
      return model;
    }
    model.cls = &*cls;
    if (data.has("deadline_ms")) model.deadline = std::chrono::milliseconds(data["deadline_ms"].integer());
    return model;
  }

  std::string account(const cue::Data& data) {
    if (data.is_null()) return {};
    const auto& tenants = settings_.tenants;
    const auto known = [&](const auto& t) { return t.name == data.text(); };
    if (!tenants.empty() && std::none_of(tenants.begin(), tenants.end(), known))
      bad(data, "no account '" + data.text() + "' in the settings");
    return data.text();
  }

  void bad(const cue::Data& at, std::string what) { problems.push_back(cue::problem(at, std::move(what))); }
  std::vector<cue::Problem> problems;

 private:
  const routing::Settings& settings_;
};

}  // namespace

std::optional<Config> parse_config(const cue::File& file, const routing::Settings& settings) {
  static const cue::Schema schema(kSchema, "#Chat");
  const cue::Data data = schema.read(file);
  if (!data.has("listen")) return std::nullopt;
  Config config;
  config.rules = std::make_shared<const routing::Settings>(settings);
  Reader reader(*config.rules);
  if (const auto endpoint = net::parse_endpoint(data["listen"].text())) {
    config.listen = *endpoint;
  } else {
    reader.bad(data["listen"], "address and port expected");
  }
  for (const cue::Data& m : data["models"].items()) config.models.push_back(reader.model(m));
  if (config.models.empty()) reader.bad(data["models"], "at least one expected");
  config.account = reader.account(data["account"]);
  for (const cue::Data& k : data["keys"].items())
    config.keys.push_back({k["key"].text(), reader.account(k["account"])});
  if (config.keys.empty() && config.account.empty())
    reader.bad(data["account"], "expected where no keys are set");
  if (data.has("max_open")) config.max_open = static_cast<std::size_t>(data["max_open"].integer());
  if (data.has("default_max_tokens"))
    config.default_max_tokens = static_cast<int>(data["default_max_tokens"].integer());
  if (!reader.problems.empty()) throw cue::Errors(file.name, std::move(reader.problems));
  return config;
}

}  // namespace dispatcher::openai_api
