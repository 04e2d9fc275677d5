#include "daemon/command_line.hpp"

#include <CLI/CLI.hpp>

namespace dispatcher::daemon {
namespace {

constexpr int kMaxBenchRequests = 100'000'000;  // their times are kept in memory, 4 bytes each

CLI::App* add_command(CLI::App& parent, CommandLine& command_line, Command command, const std::string& name,
                      const std::string& description) {
  CLI::App* const added = parent.add_subcommand(name, description);
  added->callback([&command_line, command] { command_line.command = command; });
  return added;
}

void add_config_option(CLI::App& command, CommandLine& command_line) {
  command.add_option("file", command_line.config_path, "the file to read in place of PROXY_CONFIG");
}

void add_file_option(CLI::App& cli, OptionalFile& file, const std::string& name,
                     const std::string& description, const std::string& variable) {
  cli.add_option(name, file.path, description)->envname(variable)->each([&file](const std::string&) {
    file.is_named = true;
  });
}

void add_rules_commands(CLI::App& cli, CommandLine& command_line) {
  CLI::App* const rules = cli.add_subcommand("rules", "check, explain and measure files of rules");
  rules->require_subcommand(1);
  rules->add_option("--config", command_line.names_path,
                    "whose classes and accounts the rules may name (else PROXY_CONFIG's)");
  CLI::App* const check = add_command(*rules, command_line, Command::kRulesCheck, "check",
                                      "say what is wrong, what can never match, and the cost");
  check->add_option("file", command_line.rule_files)->required();
  check->add_flag("--costs", command_line.shows_costs, "the worst cost of each rule");
  CLI::App* const explain = add_command(*rules, command_line, Command::kRulesExplain, "explain",
                                        "which rule a request meets, and why");
  explain->add_option("file", command_line.rule_file)->required();
  explain
      ->add_option("--request", command_line.sample,
                   "a file with the request as a record, or the record itself")
      ->required();
  CLI::App* const bench = add_command(*rules, command_line, Command::kRulesBench, "bench",
                                      "decide random requests and say how long it took");
  bench->add_option("file", command_line.rule_file)->required();
  bench->add_option("--requests", command_line.bench_requests, "how many")
      ->check(CLI::Range(1, kMaxBenchRequests));
}

}  // namespace

void define_command_line(CLI::App& cli, CommandLine& command_line) {
  cli.require_subcommand(0, 1);
  add_command(cli, command_line, Command::kServe, "serve",
              "serve as PROXY_CONFIG says (also without a sub-command)");
  add_command(cli, command_line, Command::kVersion, "version", "print the version");
  add_config_option(*add_command(cli, command_line, Command::kCheckConfig, "check-config",
                                 "read the configuration, say what is wrong with it, and end"),
                    command_line);
  add_config_option(*add_command(cli, command_line, Command::kShowConfig, "show-config",
                                 "print what the configuration is understood to say"),
                    command_line);
  add_file_option(cli, command_line.chat, "--chat", "the chat front's file", "BITTERNFERRY_CHAT");
  add_file_option(cli, command_line.vrrp, "--vrrp", "VRRP's file", "BITTERNFERRY_VRRP");
  add_file_option(cli, command_line.rules, "--rules", "the file of rules; without it there are none",
                  "BITTERNFERRY_RULES");
  add_file_option(cli, command_line.levels, "--levels",
                  "the file of levels of reduced service; without it there are none", "BITTERNFERRY_LEVELS");
  cli.add_flag("--log-requests", command_line.logs_requests,
               "log what happens to each request (docs/on-call.md)")
      ->envname("BITTERNFERRY_LOG_REQUESTS");
  add_rules_commands(cli, command_line);
}

}  // namespace dispatcher::daemon
