// The files of optional features: their texts, and their parsers for given settings.
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

// Contents of the feature files. Without a file, or with an empty one, the feature is off.
struct FeatureFiles {
  cue::File chat = {}, vrrp = {};
  std::optional<cue::File> rules = {}, levels = {};
};

// Everything that a reload reads again.
struct ConfigurationFiles {
  Config config;
  FeatureFiles features;
};

// All of these throw cue::Errors where the file is invalid.

// Nullopt: the chat frontend is off.
[[nodiscard]] std::optional<openai_api::Config> parse_chat(const FeatureFiles& files,
                                                           const routing::Settings& settings);
// Rate limiting rules. Null: there are none.
[[nodiscard]] std::shared_ptr<const rate_limit::RuleSet> parse_rules(const FeatureFiles& files,
                                                                     const routing::Settings& settings);
// Degradation levels. Never null; without a file the set is empty.
[[nodiscard]] std::shared_ptr<const degradation::LevelSet> parse_levels(const FeatureFiles& files,
                                                                        const routing::Settings& settings);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_FEATURE_FILES_HPP_
