#include "daemon/config_commands.hpp"

#include <algorithm>
#include <chrono>
#include <ostream>
#include <string>
#include <tuple>

#include "degradation/degradation_controller.hpp"
#include "openai_api/config.hpp"
#include "rate_limit/rules.hpp"
#include "vrrp/vrrp_instance.hpp"

namespace dispatcher::daemon {
namespace {

constexpr double kNanosecondsPerMillisecond = 1e6;

std::string milliseconds_text(engine::Duration duration) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return std::to_string(milliseconds.count()) + " ms";
}

// Prints this instance's part of a limit.
void show_limit(const rate_limit::Limit& limit, const routing::Settings& settings, std::ostream& out) {
  const auto instances = static_cast<std::size_t>(std::max(1, settings.router_count));
  const auto instance = static_cast<std::size_t>(settings.router_number);
  const rate_limit::InstanceLimit part = rate_limit::instance_limit(limit, instance, instances);
  out << "  limit " << limit.name << ", this instance's part:";
  if (part.emission_interval.count() > 0)
    out << " one each " << static_cast<double>(part.emission_interval.count()) / kNanosecondsPerMillisecond
        << " ms";
  if (part.max_in_progress != rate_limit::InstanceLimit::kUnlimited)
    out << " " << part.max_in_progress << " in progress";
  out << "\n";
}

void show_rules(const cue::File& file, const routing::Settings& settings, std::ostream& out) {
  const auto set = rate_limit::RuleSet::read(file, rate_limit::vocabulary_of(settings));
  for (const rate_limit::Rule& rule : set->rules()) {
    out << "rule " << rule.name << ": " << rule.when << "\n";
    for (const rate_limit::Limit& limit : rule.limits) show_limit(limit, settings, out);
  }
}

}  // namespace

void check_config(const Config& config, const FeatureFiles& files, std::ostream& out) {
  const bool has_chat =
      !files.chat.text.empty() && openai_api::parse_config(files.chat, config.settings).has_value();
  // The files are parsed only for the errors that parsing throws.
  if (files.rules)
    std::ignore = rate_limit::RuleSet::read(*files.rules, rate_limit::vocabulary_of(config.settings));
  if (files.levels) std::ignore = degradation::DegradationController::read(*files.levels, config.settings);
  const bool is_paired = !files.vrrp.text.empty() && vrrp::parse_config(files.vrrp).has_value();
  for (const std::string& line : config.warnings) out << line << "\n";
  out << "ok: " << config.name << ", " << config.settings.classes.size() << " classes, "
      << config.initial_endpoints.list.entries.size() << " replicas known, chat front "
      << (has_chat ? "on" : "off") << ", VRRP " << (is_paired ? "on" : "off") << ", rules "
      << (files.rules ? "read" : "none") << ", levels " << (files.levels ? "read" : "none") << "\n";
}

void show_config(const Config& config, const std::optional<cue::File>& rules, std::ostream& out) {
  const routing::Settings& settings = config.settings;
  out << "name " << config.name << "\n";
  out << "listen " << config.listen << "\n";
  out << "discovery " << config.discovery << "\n";
  if (config.admin_address) {
    out << "console " << *config.admin_address << "\n";
  } else {
    out << "console off\n";
  }
  out << "sockets " << config.max_descriptors << "\n";
  out << "memory_mb " << config.max_memory_mb << "\n";
  out << "connect timeout " << milliseconds_text(settings.connect_timeout) << "\n";
  out << "idle close " << milliseconds_text(settings.idle_timeout) << "\n";
  out << "pin limit " << milliseconds_text(settings.reservation_limit) << "\n";
  for (const routing::RequestClass& request_class : settings.classes) {
    out << "class " << request_class.name << ": aim " << milliseconds_text(request_class.latency_objective)
        << ", deadline " << milliseconds_text(request_class.deadline) << "\n";
  }
  for (const upstream::EndpointAddress& endpoint : config.initial_endpoints.addresses) {
    out << "replica " << endpoint.endpoint << " at " << endpoint.address
        << (endpoint.is_ready ? ": up" : ": not up") << "\n";
  }
  if (rules) show_rules(*rules, settings, out);
}

}  // namespace dispatcher::daemon
