// Files that the commands of the simulator read and write.
#ifndef DISPATCHER_SIMULATOR_FILES_HPP_
#define DISPATCHER_SIMULATOR_FILES_HPP_

#include <fstream>
#include <stdexcept>
#include <string>

#include "simulation/parameters.hpp"

namespace dispatcher::simulator {

// The operation that failed.
enum class FileOperation { kRead, kWrite };

// A file that cannot be read or written; what() is the message to the user.
struct FileError : std::runtime_error {
  FileError(FileOperation failed_operation, const std::string& file_path);
  FileOperation operation;
  std::string path;
};

// The contents of a file. Throws FileError.
[[nodiscard]] cue::File read_file(const std::string& path);

// A new or truncated file. Throws FileError.
[[nodiscard]] std::ofstream create_file(const std::string& path);

}  // namespace dispatcher::simulator

#endif  // DISPATCHER_SIMULATOR_FILES_HPP_
