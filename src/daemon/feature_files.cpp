#include "daemon/feature_files.hpp"

#include "degradation/degradation_controller.hpp"

namespace dispatcher::daemon {

std::optional<openai_api::Config> parse_chat(const FeatureFiles& files, const routing::Settings& settings) {
  if (files.chat.text.empty()) return std::nullopt;
  return openai_api::parse_config(files.chat, settings);
}

std::shared_ptr<const rate_limit::RuleSet> parse_rules(const FeatureFiles& files,
                                                       const routing::Settings& settings) {
  if (!files.rules) return nullptr;
  return rate_limit::RuleSet::read(*files.rules, rate_limit::vocabulary_of(settings));
}

std::shared_ptr<const degradation::LevelSet> parse_levels(const FeatureFiles& files,
                                                          const routing::Settings& settings) {
  if (!files.levels) return std::make_shared<const degradation::LevelSet>();
  return degradation::DegradationController::read(*files.levels, settings);
}

}  // namespace dispatcher::daemon
