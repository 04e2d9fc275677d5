// The OpenAI-compatible frontend's configuration file: where it listens, its models, API keys and limits.
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

/// A model that clients may name.
struct Model {
  /// The name by which clients request it.
  std::string id;
  /// The class of the model's requests; points into Config::settings.
  const routing::RequestClass* request_class = nullptr;
  /// From a request's arrival to its first token, before the allowance for the prompt's length. Nullopt: the
  /// class's deadline.
  std::optional<routing::Duration> deadline;
};

/// A bearer token that clients may present, and the account that its requests are charged to.
struct ApiKey {
  std::string key;
  std::string account;
};

/// The parsed file. Copies share the settings.
struct Config {
  /// The platform's settings that the file was checked against.
  std::shared_ptr<const routing::Settings> settings;
  net::tcp::endpoint listen;
  /// At least one.
  std::vector<Model> models;
  /// Empty: every client is served, and charged to `account`.
  std::vector<ApiKey> keys;
  std::string account;
  /// Requests in progress at once; more are rejected with a Retry-After.
  std::size_t max_concurrent_requests = 256;
  /// Tokens of the answer to a request that names no maximum.
  int default_max_tokens = 300;
};

/// Parses and checks the file against the platform's settings. Returns nullopt where it names no address: the
/// frontend is off. Throws cue::Errors, with every problem found.
[[nodiscard]] std::optional<Config> parse_config(const cue::File& file, const routing::Settings& settings);

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_CONFIG_HPP_
