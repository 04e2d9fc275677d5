// The chat front's file under deploy/: where to listen, and how the standard's fields map to ours.
#ifndef DISPATCHER_OPENAI_API_CONFIG_HPP_
#define DISPATCHER_OPENAI_API_CONFIG_HPP_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cue/syntax.hpp"
#include "net/connection.hpp"
#include "routing/router.hpp"

namespace dispatcher::openai_api {

struct Model {
  std::string id;
  const routing::RequestClass* cls = nullptr;
  // To the first token, before the prompt's length is added; none: the class's.
  std::optional<routing::Duration> deadline;
};

struct Key {
  std::string key, account;
};

struct Config {
  std::shared_ptr<const routing::Settings> rules;  // the models point into it
  net::tcp::endpoint listen;
  std::vector<Model> models;
  std::vector<Key> keys;  // none: every client is served, on `account`
  std::string account;
  std::size_t max_open = 256;  // requests in progress; more are told to come later
  int default_max_tokens = 300;
};

// Empty where the file names no address: the front is off. Throws cue::Errors.
std::optional<Config> parse_config(const cue::File& file, const routing::Settings& settings);

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_CONFIG_HPP_
