// The configuration files of optional features and the functions that parse them.
#ifndef DISPATCHER_DAEMON_FEATURE_FILES_HPP_
#define DISPATCHER_DAEMON_FEATURE_FILES_HPP_

#include <memory>
#include <optional>

#include "cue/syntax.hpp"
#include "daemon/config.hpp"
#include "degradation/levels.hpp"
#include "openai_api/config.hpp"
#include "rate_limit/rules.hpp"
#include "routing/router.hpp"

namespace dispatcher::daemon {

// The contents of the feature files. A feature is off if its file is missing or empty.
struct FeatureFiles {
  cue::File chat = {}, vrrp = {};
  std::optional<cue::File> rules = {}, levels = {};
};

// All files that a reload reads again.
struct ConfigurationFiles {
  Config config;
  FeatureFiles features;
};

// All of these functions throw cue::Errors if the file is invalid.

// Returns nullopt if the chat frontend is off.
[[nodiscard]] std::optional<openai_api::Config> parse_chat(const FeatureFiles& files,
                                                           const routing::Settings& settings);
// Returns the rate limiting rules, or null if there is no file of them.
[[nodiscard]] std::shared_ptr<const rate_limit::RuleSet> parse_rules(const FeatureFiles& files,
                                                                     const routing::Settings& settings);
// Returns the degradation levels. Never null; without a file the set is empty.
[[nodiscard]] std::shared_ptr<const degradation::LevelSet> parse_levels(const FeatureFiles& files,
                                                                        const routing::Settings& settings);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_FEATURE_FILES_HPP_
