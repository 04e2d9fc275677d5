// Fixture for the tests of hot restart: a folder for the socket and the files of one dispatcher's processes.
#ifndef DISPATCHER_TESTS_HOT_RESTART_HOT_RESTART_FIXTURE_HPP_
#define DISPATCHER_TESTS_HOT_RESTART_HOT_RESTART_FIXTURE_HPP_

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace dispatcher::testing {

// A new folder for temporary files, which the destructor removes with its contents.
struct TemporaryFolder {
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "bitternferry-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder");
    path = name;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  [[nodiscard]] std::string operator/(const std::string& file) const { return path + "/" + file; }
  std::string path;
};

}  // namespace dispatcher::testing

#endif  // DISPATCHER_TESTS_HOT_RESTART_HOT_RESTART_FIXTURE_HPP_
