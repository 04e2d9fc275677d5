// The command line of llm-dispatcher: its sub-commands and options, parsed into one structure.
#ifndef DISPATCHER_DAEMON_COMMAND_LINE_HPP_
#define DISPATCHER_DAEMON_COMMAND_LINE_HPP_

#include <CLI/App.hpp>
#include <cstddef>
#include <string>
#include <vector>

namespace dispatcher::daemon {

// The sub-command. kServe is the default if none is given.
enum class Command { kServe, kVersion, kCheckConfig, kShowConfig, kRulesCheck, kRulesExplain, kRulesBench };

// A file with a default path. `is_named` is true if the command line or the environment names the file; it
// must then exist.
struct OptionalFile {
  std::string path;
  bool is_named = false;
};

// The parsed command line.
struct CommandLine {
  Command command = Command::kServe;
  OptionalFile chat{"deploy/chat.json"};
  OptionalFile vrrp{"deploy/vrrp.json"};
  OptionalFile rules{"deploy/rules.cue"};
  OptionalFile levels{"deploy/levels.cue"};
  bool logs_requests = false;
  std::string config_path;              // of check-config and show-config; empty: PROXY_CONFIG names it
  std::string names_path;               // of rules: defines the names for rules; empty: PROXY_CONFIG, if set
  std::vector<std::string> rule_files;  // of rules check
  bool shows_costs = false;             // of rules check
  std::string rule_file;                // of rules explain and rules bench
  std::string sample;  // of rules explain: a request record, or the path of a file that has one
  std::size_t bench_requests = 1'000'000;
};

// Defines the options on `cli`. Parsing writes to `command_line`, which must outlive it.
void define_command_line(CLI::App& cli, CommandLine& command_line);

}  // namespace dispatcher::daemon

#endif  // DISPATCHER_DAEMON_COMMAND_LINE_HPP_
