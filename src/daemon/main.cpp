// Entry point of llm-dispatcher: the daemon and its sub-commands.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "daemon/command_line.hpp"
#include "daemon/config.hpp"
#include "daemon/config_commands.hpp"
#include "daemon/dispatcher.hpp"
#include "daemon/loop.hpp"
#include "daemon/rules_command.hpp"

namespace {

using namespace dispatcher;
using daemon::Command;
using daemon::CommandLine;
using daemon::OptionalFile;

constexpr int kExitFailure = 1;
constexpr const char* kVersion = "bitternferry 0.1.0";

// Writes one line to standard error: the Unix time in seconds with milliseconds, then the text.
void log_line(engine::Time now, std::string_view text) {
  const auto since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(now);
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(since_epoch);
  const auto milliseconds = since_epoch - seconds;
  std::fprintf(stderr, "%lld.%03lld %.*s\n", static_cast<long long>(seconds.count()),
               static_cast<long long>(milliseconds.count()), static_cast<int>(text.size()), text.data());
}

// Loads the configuration at `path` or, if that is empty, the one that PROXY_CONFIG names.
daemon::Config load(const std::string& path) {
  daemon::Environment environment = daemon::read_environment();
  if (!path.empty()) environment["PROXY_CONFIG"] = path;
  return daemon::load_config(environment);
}

cue::File read_cue_file(const std::string& path) { return {path, daemon::read_file(path)}; }

// Reads a file. If it was not named and does not exist at its default path, its text is empty.
cue::File read_if_present(const OptionalFile& file) {
  if (file.is_named || std::filesystem::exists(file.path)) return read_cue_file(file.path);
  return {file.path, ""};
}

// Returns nullopt if the file was not named: a file at its default path is ignored.
std::optional<cue::File> read_if_named(const OptionalFile& file) {
  if (!file.is_named) return std::nullopt;
  return read_cue_file(file.path);
}

// Reads a file for a check, which covers a file at its default path too, although serving ignores that file
// unless it is named. Returns nullopt if there is no file.
std::optional<cue::File> read_for_check(const OptionalFile& file) {
  if (!file.is_named && !std::filesystem::exists(file.path)) return std::nullopt;
  return read_cue_file(file.path);
}

// Reads the files that the dispatcher serves with.
daemon::FeatureFiles read_feature_files(const CommandLine& command_line) {
  return {read_if_present(command_line.chat), read_if_present(command_line.vrrp),
          read_if_named(command_line.rules), read_if_named(command_line.levels)};
}

void serve(const CommandLine& command_line) {
  const daemon::Config config = load({});
  daemon::Loop loop;
  for (const std::string& line : config.warnings) log_line(loop.now(), line);
  daemon::Dispatcher dispatcher(
      loop, config, read_feature_files(command_line),
      [&loop](std::string_view text) { log_line(loop.now(), text); },
      [&command_line] {
        return daemon::ConfigurationFiles{daemon::reload_config(daemon::read_environment()),
                                          read_feature_files(command_line)};
      });
  if (command_line.logs_requests) dispatcher.log_requests();
  dispatcher.start();
  loop.run();
}

void check_config(const CommandLine& command_line) {
  const daemon::FeatureFiles files{read_if_present(command_line.chat), read_if_present(command_line.vrrp),
                                   read_for_check(command_line.rules), read_for_check(command_line.levels)};
  daemon::check_config(load(command_line.config_path), files, std::cout);
}

void show_config(const CommandLine& command_line) {
  const std::optional<cue::File> rules = read_if_named(command_line.rules);
  daemon::show_config(load(command_line.config_path), rules, std::cout);
}

// Returns the names that the configuration defines, or none if there is no configuration.
rate_limit::Vocabulary known_names(const std::string& config_path) {
  const bool has_config = !config_path.empty() || daemon::read_environment().contains("PROXY_CONFIG");
  return has_config ? rate_limit::vocabulary_of(load(config_path).settings) : rate_limit::Vocabulary{};
}

// Returns a request record that is given as such, or as the path of a file that contains it.
cue::File read_sample(const std::string& record_or_path) {
  if (record_or_path.starts_with('{')) return {"request", record_or_path};
  return read_cue_file(record_or_path);
}

int check_rules(const CommandLine& command_line) {
  std::vector<cue::File> files;
  files.reserve(command_line.rule_files.size());
  for (const std::string& path : command_line.rule_files) files.push_back(read_cue_file(path));
  const daemon::RuleCosts costs =
      command_line.shows_costs ? daemon::RuleCosts::kShown : daemon::RuleCosts::kHidden;
  return daemon::rules_check(files, known_names(command_line.names_path), costs, std::cout, std::cerr);
}

int explain_rules(const CommandLine& command_line) {
  const cue::File rules = read_cue_file(command_line.rule_file);
  const cue::File sample = read_sample(command_line.sample);
  return daemon::rules_explain(rules, sample, known_names(command_line.names_path), std::cout, std::cerr);
}

int bench_rules(const CommandLine& command_line) {
  const cue::File rules = read_cue_file(command_line.rule_file);
  return daemon::rules_bench(rules, command_line.bench_requests, known_names(command_line.names_path),
                             std::cout, std::cerr);
}

// Returns the exit status. Throws ConfigError or cue::Errors where a file is invalid.
int execute(const CommandLine& command_line) {
  switch (command_line.command) {
    case Command::kVersion:
      std::cout << kVersion << "\n";
      return 0;
    case Command::kCheckConfig:
      check_config(command_line);
      return 0;
    case Command::kShowConfig:
      show_config(command_line);
      return 0;
    case Command::kRulesCheck:
      return check_rules(command_line);
    case Command::kRulesExplain:
      return explain_rules(command_line);
    case Command::kRulesBench:
      return bench_rules(command_line);
    case Command::kServe:
      break;
  }
  serve(command_line);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CommandLine command_line;
  CLI::App cli("The bitternferry dispatcher: accepts requests and forwards them to model endpoints.");
  daemon::define_command_line(cli, command_line);
  try {
    cli.parse(argc, argv);
    return execute(command_line);
  } catch (const CLI::ParseError& error) {
    return cli.exit(error);
  } catch (const daemon::ConfigError& error) {
    for (const std::string& line : error.lines()) std::cerr << "bitternferry: " << line << "\n";
  } catch (const std::exception& error) {
    std::cerr << "bitternferry: " << error.what() << "\n";
  }
  return kExitFailure;
}
