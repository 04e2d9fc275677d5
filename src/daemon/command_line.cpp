#include "daemon/command_line.hpp"

#include <CLI/CLI.hpp>

namespace dispatcher::daemon {
namespace {

constexpr int kMaxBenchRequests = 100'000'000;  // the time of each is kept in memory, in 4 bytes

CLI::App* add_command(CLI::App& parent, CommandLine& command_line, Command command, const std::string& name,
                      const std::string& description) {
  CLI::App* const added = parent.add_subcommand(name, description);
  added->callback([&command_line, command] { command_line.command = command; });
  return added;
}

void add_config_option(CLI::App& command, CommandLine& command_line) {
  command.add_option("file", command_line.config_path,
                     "the configuration file, in place of the one that PROXY_CONFIG names");
}

void add_file_option(CLI::App& cli, OptionalFile& file, const std::string& name,
                     const std::string& description, const std::string& variable) {
  cli.add_option(name, file.path, description)->envname(variable)->each([&file](const std::string&) {
    file.is_named = true;
  });
}

void add_rules_commands(CLI::App& cli, CommandLine& command_line) {
  CLI::App* const rules = cli.add_subcommand("rules", "check, explain and benchmark rule files");
  rules->require_subcommand(1);
  rules->add_option(
      "--config", command_line.names_path,
      "the configuration that defines the classes and accounts for rules (default: PROXY_CONFIG)");
  CLI::App* const check = add_command(*rules, command_line, Command::kRulesCheck, "check",
                                      "report errors, rules that can never match, and the worst cost");
  check->add_option("file", command_line.rule_files)->required();
  check->add_flag("--costs", command_line.shows_costs, "print the worst cost of each rule");
  CLI::App* const explain = add_command(*rules, command_line, Command::kRulesExplain, "explain",
                                        "print which rule a request matches, and why");
  explain->add_option("file", command_line.rule_file)->required();
  explain->add_option("--request", command_line.sample, "the request record, or a file that contains it")
      ->required();
  CLI::App* const bench = add_command(*rules, command_line, Command::kRulesBench, "bench",
                                      "measure the decision time over random requests");
  bench->add_option("file", command_line.rule_file)->required();
  bench->add_option("--requests", command_line.bench_requests, "number of random requests")
      ->check(CLI::Range(1, kMaxBenchRequests));
}

}  // namespace

void define_command_line(CLI::App& cli, CommandLine& command_line) {
  cli.require_subcommand(0, 1);
  add_command(cli, command_line, Command::kServe, "serve",
              "serve with the configuration that PROXY_CONFIG names (default sub-command)");
  add_command(cli, command_line, Command::kVersion, "version", "print the version");
  add_config_option(*add_command(cli, command_line, Command::kCheckConfig, "check-config",
                                 "check the configuration and report its errors, without serving"),
                    command_line);
  add_config_option(*add_command(cli, command_line, Command::kShowConfig, "show-config",
                                 "print the configuration as parsed"),
                    command_line);
  add_file_option(cli, command_line.chat, "--chat", "configuration file of the chat frontend",
                  "BITTERNFERRY_CHAT");
  add_file_option(cli, command_line.vrrp, "--vrrp", "configuration file of VRRP", "BITTERNFERRY_VRRP");
  add_file_option(cli, command_line.rules, "--rules",
                  "file of rate limiting rules; without it there are none", "BITTERNFERRY_RULES");
  add_file_option(cli, command_line.levels, "--levels",
                  "file of degradation levels; without it there are none", "BITTERNFERRY_LEVELS");
  cli.add_flag("--log-requests", command_line.logs_requests,
               "log the events of each request (docs/on-call.md)")
      ->envname("BITTERNFERRY_LOG_REQUESTS");
  add_rules_commands(cli, command_line);
}

}  // namespace dispatcher::daemon
