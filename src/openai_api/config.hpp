// The OpenAI-compatible frontend's configuration file: its address, models, API keys and limits.
#ifndef DISPATCHER_OPENAI_API_CONFIG_HPP_
#define DISPATCHER_OPENAI_API_CONFIG_HPP_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cue/syntax.hpp"
#include "net/address.hpp"
#include "routing/router.hpp"

namespace dispatcher::openai_api {

/// A model that clients may request.
struct Model {
  /// The name by which clients request the model.
  std::string id;
  /// The class of the model's requests; points into Config::settings.
  const routing::RequestClass* request_class = nullptr;
  /// Maximum time from a request's arrival to its first token, before the allowance for the prompt's length
  /// is added. If it is nullopt, the class's deadline applies.
  std::optional<routing::Duration> deadline;
};

/// A bearer token that clients may present, and the account that its requests are charged to.
struct ApiKey {
  std::string key;
  std::string account;
};

/// The parsed configuration file. Copies share the settings.
struct Config {
  /// The platform's settings that the file was checked against.
  std::shared_ptr<const routing::Settings> settings;
  net::tcp::endpoint listen;
  /// Contains at least one model.
  std::vector<Model> models;
  /// If it is empty, every client is served and charged to `account`.
  std::vector<ApiKey> keys;
  std::string account;
  /// Maximum number of requests in progress. Further ones are rejected with a Retry-After.
  std::size_t max_concurrent_requests = 256;
  /// Maximum number of tokens of the answer to a request that states no maximum.
  int default_max_tokens = 300;
};

/// Parses the file and checks it against the platform's settings. Returns nullopt if the file contains no
/// address, in which case the frontend is off. Throws cue::Errors with all problems found.
[[nodiscard]] std::optional<Config> parse_config(const cue::File& file, const routing::Settings& settings);

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_CONFIG_HPP_
