// The files of optional features, as they were read, and what they say under given settings.
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

// Texts of the feature files. An empty text, or no file: the feature is off.
struct FeatureFiles {
  cue::File chat = {}, vrrp = {};
  std::optional<cue::File> rules = {}, levels = {};
};

// All that a reload reads anew.
struct ConfigurationFiles {
  Config config;
  FeatureFiles features;
};

// Each throws cue::Errors where its file is bad.

// No value: the OpenAI-style front is off.
[[nodiscard]] std::optional<openai_api::Config> parse_chat(const FeatureFiles& files,
                                                           const routing::Settings& settings);
// Null: there are no rules.
[[nodiscard]] std::shared_ptr<const rate_limit::RuleSet> parse_rules(const FeatureFiles& files,
                                                                     const routing::Settings& settings);
// Never null; without a file there are no levels in it.
[[nodiscard]] std::shared_ptr<const degradation::LevelSet> parse_levels(const FeatureFiles& files,
                                                                        const routing::Settings& settings);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_FEATURE_FILES_HPP_
