// The command line of the dispatcher.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>
#include <string>

#include "app/config.hpp"
#include "app/dispatcher.hpp"
#include "app/loop.hpp"

namespace {

using namespace bitternferry;

constexpr const char* kVersion = "bitternferry 0.1.0";

void log_line(core::Time now, std::string_view text) {
  const auto ms = now.count() / 1000;
  std::fprintf(stderr, "%lld.%03lld %.*s\n", static_cast<long long>(ms / 1000),
               static_cast<long long>(ms % 1000), static_cast<int>(text.size()), text.data());
}

int serve() {
  const app::Config config = app::load_config(app::read_environment());
  app::Loop loop;
  app::Dispatcher dispatcher(loop, config, [&loop](std::string_view text) { log_line(loop.now(), text); });
  dispatcher.start();
  loop.run();
  return 0;
}

int check_config(const std::string& path) {
  app::Environment environment = app::read_environment();
  if (!path.empty()) environment["PROXY_CONFIG"] = path;
  const app::Config config = app::load_config(environment);
  std::cout << "ok: " << config.name << ", " << config.settings.classes.size() << " classes, "
            << config.known.list.entries.size() << " replicas known\n";
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
  CLI11_PARSE(cli, argc, argv);
  try {
    if (*version) {
      std::cout << kVersion << "\n";
      return 0;
    }
    return *check ? check_config(path) : serve();
  } catch (const std::exception& e) {
    std::cerr << "bitternferry: " << e.what() << "\n";
    return 1;
  }
}
