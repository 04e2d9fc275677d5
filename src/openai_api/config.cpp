// Parsing of the OpenAI-compatible frontend's configuration file.
#include "openai_api/config.hpp"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "cue/schema.hpp"
#include "routing/request_classes.hpp"

namespace dispatcher::openai_api {

namespace {

constexpr std::string_view kSchema = R"cue(
#Chat: {
	listen: *null | string // address and port; if null, the frontend is off
	models: *[] | [...#Model]
	account: *null | (string & !="") // charged if there are no keys
	keys: *[] | [...#Key]
	max_open: *256 | (int & >=1 & <=100_000) | null
	default_max_tokens: *300 | (int & >=1 & <=1_000_000) | null
}
#Model: {
	id:    string & !=""
	class: string & !=""
	deadline_ms: *null | (int & >=1 & <=3_600_000) // if null, the class's deadline applies
}
#Key: {
	key:     string & !=""
	account: string & !=""
}
)cue";

// Reads the values that must be names from the platform's settings, which the schema can't check, and
// collects the problems of all of them.
class ConfigReader {
 public:
  explicit ConfigReader(const routing::Settings& settings) : settings_(settings) {}

  Model read_model(const cue::Data& data) {
    Model model;
    model.id = data["id"].text();
    const std::string& class_name = data["class"].text();
    model.request_class = routing::find_class(settings_, class_name);
    if (model.request_class == nullptr) {
      add_problem(data["class"], "no class '" + class_name + "' in the settings");
      return model;
    }
    if (data.has("deadline_ms")) model.deadline = std::chrono::milliseconds(data["deadline_ms"].integer());
    return model;
  }

  std::string read_account(const cue::Data& data) {
    if (data.is_null()) return {};
    const auto& tenants = settings_.tenants;
    const auto is_named = [&](const auto& tenant) { return tenant.name == data.text(); };
    // Settings without tenants allow any account.
    if (!tenants.empty() && std::none_of(tenants.begin(), tenants.end(), is_named))
      add_problem(data, "no account '" + data.text() + "' in the settings");
    return data.text();
  }

  void add_problem(const cue::Data& at, std::string what) {
    problems_.push_back(cue::problem(at, std::move(what)));
  }
  [[nodiscard]] std::vector<cue::Problem> take_problems() { return std::move(problems_); }

 private:
  const routing::Settings& settings_;
  std::vector<cue::Problem> problems_;
};

}  // namespace

std::optional<Config> parse_config(const cue::File& file, const routing::Settings& settings) {
  static const cue::Schema schema(kSchema, "#Chat");
  const cue::Data data = schema.read(file);
  if (!data.has("listen")) return std::nullopt;
  Config config;
  config.settings = std::make_shared<const routing::Settings>(settings);
  ConfigReader reader(*config.settings);
  if (const auto address = net::parse_endpoint(data["listen"].text())) {
    config.listen = *address;
  } else {
    reader.add_problem(data["listen"], "address and port expected");
  }
  for (const cue::Data& model : data["models"].items()) config.models.push_back(reader.read_model(model));
  if (config.models.empty()) reader.add_problem(data["models"], "at least one expected");
  config.account = reader.read_account(data["account"]);
  for (const cue::Data& key : data["keys"].items())
    config.keys.push_back({key["key"].text(), reader.read_account(key["account"])});
  if (config.keys.empty() && config.account.empty())
    reader.add_problem(data["account"], "expected where no keys are set");
  if (data.has("max_open"))
    config.max_concurrent_requests = static_cast<std::size_t>(data["max_open"].integer());
  if (data.has("default_max_tokens"))
    config.default_max_tokens = static_cast<int>(data["default_max_tokens"].integer());
  std::vector<cue::Problem> problems = reader.take_problems();
  if (!problems.empty()) throw cue::Errors(file.name, std::move(problems));
  return config;
}

}  // namespace dispatcher::openai_api
