// The command line of the dispatcher.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "daemon/config.hpp"
#include "daemon/dispatcher.hpp"
#include "daemon/loop.hpp"
#include "daemon/rules_command.hpp"

namespace {

using namespace dispatcher;

constexpr const char* kVersion = "bitternferry 0.1.0";

void log_line(engine::Time now, std::string_view text) {
  const auto ms = now.count() / 1000;
  std::fprintf(stderr, "%lld.%03lld %.*s\n", static_cast<long long>(ms / 1000),
               static_cast<long long>(ms % 1000), static_cast<int>(text.size()), text.data());
}

// A file that was named must be there; the one at the usual place need not be.
cue::File read_optional(const std::string& path, bool named) {
  return {path, named || std::filesystem::exists(path) ? daemon::read_file(path) : std::string()};
}

// PROXY_CONFIG's, or the one that was named.
daemon::Config load(const std::string& path) {
  daemon::Environment environment = daemon::read_environment();
  if (!path.empty()) environment["PROXY_CONFIG"] = path;
  return daemon::load_config(environment);
}

int serve(const std::function<daemon::FeatureFiles()>& texts, bool log_requests) {
  const daemon::Config config = load({});
  daemon::Loop loop;
  for (const std::string& line : config.warnings) log_line(loop.now(), line);
  daemon::Dispatcher dispatcher(
      loop, config, texts(), [&loop](std::string_view text) { log_line(loop.now(), text); },
      [&texts] {
        return daemon::ConfigurationFiles{daemon::reload_config(daemon::read_environment()), texts()};
      });
  if (log_requests) dispatcher.log_requests();
  dispatcher.start();
  loop.run();
  return 0;
}

int check_config(const std::string& path, const daemon::FeatureFiles& texts) {
  const daemon::Config config = load(path);
  const bool chats =
      !texts.chat.text.empty() && openai_api::parse_config(texts.chat, config.settings).has_value();
  if (texts.rules) rate_limit::RuleSet::read(*texts.rules, rate_limit::vocabulary_of(config.settings));
  if (texts.levels)
    std::ignore = degradation::DegradationController::read(*texts.levels, config.settings);  // throws
  const bool paired = !texts.vrrp.text.empty() && vrrp::parse_config(texts.vrrp).has_value();
  for (const std::string& line : config.warnings) std::cout << line << "\n";
  std::cout << "ok: " << config.name << ", " << config.settings.classes.size() << " classes, "
            << config.known.list.entries.size() << " replicas known, chat front " << (chats ? "on" : "off")
            << ", VRRP " << (paired ? "on" : "off") << ", rules " << (texts.rules ? "read" : "none")
            << ", levels " << (texts.levels ? "read" : "none") << "\n";
  return 0;
}

// The names that the configuration knows, where there is one.
rate_limit::Vocabulary known_names(const std::string& config) {
  const bool any = !config.empty() || daemon::read_environment().contains("PROXY_CONFIG");
  return any ? rate_limit::vocabulary_of(load(config).settings) : rate_limit::Vocabulary{};
}

// A file's name, or a record itself.
cue::File read_sample(const std::string& given) {
  if (given.starts_with('{')) return {"request", given};
  return {given, daemon::read_file(given)};
}

int show_config(const std::string& path, const std::optional<cue::File>& rules) {
  const daemon::Config config = load(path);
  const auto ms = [](engine::Duration d) { return std::to_string(d.count() / 1000) + " ms"; };
  std::cout << "name " << config.name << "\nlisten " << config.listen << "\ndiscovery " << config.discovery
            << "\nconsole ";
  config.console ? std::cout << *config.console : std::cout << "off";
  std::cout << "\nsockets " << config.sockets << "\nmemory_mb " << config.memory_mb << "\nconnect timeout "
            << ms(config.settings.connect_timeout) << "\nidle close " << ms(config.settings.idle_timeout)
            << "\npin limit " << ms(config.settings.reservation_limit) << "\n";
  for (const auto& c : config.settings.classes)
    std::cout << "class " << c.name << ": aim " << ms(c.latency_objective) << ", deadline " << ms(c.deadline)
              << "\n";
  for (const auto& a : config.known.addresses)
    std::cout << "replica " << a.endpoint << " at " << a.address << (a.is_ready ? ": up" : ": not up")
              << "\n";
  if (!rules) return 0;
  const auto set = rate_limit::RuleSet::read(*rules, rate_limit::vocabulary_of(config.settings));
  const auto instances = static_cast<std::size_t>(std::max(1, config.settings.router_count));
  for (const rate_limit::Rule& rule : set->rules()) {
    std::cout << "rule " << rule.name << ": " << rule.when << "\n";
    for (const rate_limit::Limit& l : rule.limits) {
      const auto part =
          rate_limit::instance_limit(l, static_cast<std::size_t>(config.settings.router_number), instances);
      std::cout << "  limit " << l.name << ", this instance's part:";
      if (part.emission_interval.count() > 0)
        std::cout << " one each " << static_cast<double>(part.emission_interval.count()) / 1e6 << " ms";
      if (part.max_in_progress != rate_limit::InstanceLimit::kUnlimited)
        std::cout << " " << part.max_in_progress << " in progress";
      std::cout << "\n";
    }
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App cli("The bitternferry dispatcher: takes requests and sends them on to model replicas.");
  cli.require_subcommand(0, 1);
  cli.add_subcommand("serve", "serve as PROXY_CONFIG says (also without a sub-command)");
  auto* version = cli.add_subcommand("version", "print the version");
  auto* check =
      cli.add_subcommand("check-config", "read the configuration, say what is wrong with it, and end");
  std::string path;
  check->add_option("file", path, "the file to read in place of PROXY_CONFIG");
  auto* show = cli.add_subcommand("show-config", "print what the configuration is understood to say");
  show->add_option("file", path, "the file to read in place of PROXY_CONFIG");
  std::string chat = "deploy/chat.json";
  const auto* chat_option =
      cli.add_option("--chat", chat, "the chat front's file")->envname("BITTERNFERRY_CHAT");
  std::string vrrp = "deploy/vrrp.json";
  const auto* vrrp_option = cli.add_option("--vrrp", vrrp, "VRRP's file")->envname("BITTERNFERRY_VRRP");
  std::string rules = "deploy/rules.cue";
  const auto* rules_option = cli.add_option("--rules", rules, "the file of rules; without it there are none")
                                 ->envname("BITTERNFERRY_RULES");
  std::string levels = "deploy/levels.cue";
  const auto* levels_option =
      cli.add_option("--levels", levels, "the file of levels of reduced service; without it there are none")
          ->envname("BITTERNFERRY_LEVELS");
  bool log_requests = false;
  cli.add_flag("--log-requests", log_requests, "log what happens to each request (docs/on-call.md)")
      ->envname("BITTERNFERRY_LOG_REQUESTS");
  auto* rules_group = cli.add_subcommand("rules", "check, explain and measure files of rules");
  rules_group->require_subcommand(1);
  std::string config_path;
  rules_group->add_option("--config", config_path,
                          "whose classes and accounts the rules may name (else PROXY_CONFIG's)");
  auto* rules_check =
      rules_group->add_subcommand("check", "say what is wrong, what can never match, and the cost");
  std::vector<std::string> rule_files;
  bool costs = false;
  rules_check->add_option("file", rule_files)->required();
  rules_check->add_flag("--costs", costs, "the worst cost of each rule");
  auto* rules_explain = rules_group->add_subcommand("explain", "which rule a request meets, and why");
  std::string rule_file, sample;
  rules_explain->add_option("file", rule_file)->required();
  rules_explain->add_option("--request", sample, "a file with the request as a record, or the record itself")
      ->required();
  auto* rules_bench = rules_group->add_subcommand("bench", "decide random requests and say how long it took");
  std::size_t requests = 1'000'000;
  rules_bench->add_option("file", rule_file)->required();
  rules_bench->add_option("--requests", requests, "how many")->check(CLI::Range(1, 100'000'000));
  CLI11_PARSE(cli, argc, argv);
  try {
    if (*version) {
      std::cout << kVersion << "\n";
      return 0;
    }
    const auto rule_text = [&](bool named) -> std::optional<cue::File> {
      if (!named) return std::nullopt;
      return cue::File{rules, daemon::read_file(rules)};
    };
    const bool rules_named = rules_option->count() > 0;
    if (*rules_check) {
      std::vector<cue::File> files;
      for (const std::string& file : rule_files) files.push_back({file, daemon::read_file(file)});
      return daemon::rules_check(files, known_names(config_path), costs, std::cout, std::cerr);
    }
    if (*rules_explain) {
      return daemon::rules_explain({rule_file, daemon::read_file(rule_file)}, read_sample(sample),
                                   known_names(config_path), std::cout, std::cerr);
    }
    if (*rules_bench) {
      return daemon::rules_bench({rule_file, daemon::read_file(rule_file)}, requests,
                                 known_names(config_path), std::cout, std::cerr);
    }
    if (*show) return show_config(path, rule_text(rules_named));
    // A check reads the file at the usual place as well, which is not served by until it is named.
    const bool read_rules = rules_named || (*check && std::filesystem::exists(rules));
    const bool read_levels = levels_option->count() > 0 || (*check && std::filesystem::exists(levels));
    const auto level_text = [&]() -> std::optional<cue::File> {
      if (!read_levels) return std::nullopt;
      return cue::File{levels, daemon::read_file(levels)};
    };
    const auto texts = [&] {
      return daemon::FeatureFiles{read_optional(chat, chat_option->count() > 0),
                                  read_optional(vrrp, vrrp_option->count() > 0), rule_text(read_rules),
                                  level_text()};
    };
    return *check ? check_config(path, texts()) : serve(texts, log_requests);
  } catch (const daemon::ConfigError& e) {
    for (const std::string& line : e.lines()) std::cerr << "bitternferry: " << line << "\n";
  } catch (const std::exception& e) {
    std::cerr << "bitternferry: " << e.what() << "\n";
  }
  return 1;
}
