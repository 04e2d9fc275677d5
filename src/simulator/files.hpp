// Reads and writes the files of the simulator's commands.
#ifndef DISPATCHER_SIMULATOR_FILES_HPP_
#define DISPATCHER_SIMULATOR_FILES_HPP_

#include <fstream>
#include <stdexcept>
#include <string>

#include "simulation/parameters.hpp"

namespace dispatcher::simulator {

// The operation that failed.
enum class FileOperation { kRead, kWrite };

// Thrown if a file cannot be read or written; what() is the message to the user.
struct FileError : std::runtime_error {
  FileError(FileOperation failed_operation, const std::string& file_path);
  FileOperation operation;
  std::string path;
};

// Returns the contents of a file. Throws FileError if it cannot be read.
[[nodiscard]] cue::File read_file(const std::string& path);

// Creates a file, or truncates an existing one. Throws FileError if it cannot be written.
[[nodiscard]] std::ofstream create_file(const std::string& path);

}  // namespace dispatcher::simulator

#endif  // DISPATCHER_SIMULATOR_FILES_HPP_
