#include "simulator/files.hpp"

#include <sstream>

namespace dispatcher::simulator {

namespace {

std::string describe(FileOperation operation, const std::string& path) {
  const char* const verb = operation == FileOperation::kRead ? "read" : "write";
  return std::string("cannot ") + verb + " '" + path + "'";
}

}  // namespace

FileError::FileError(FileOperation failed_operation, const std::string& file_path)
    : std::runtime_error(describe(failed_operation, file_path)),
      operation(failed_operation),
      path(file_path) {}

cue::File read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw FileError(FileOperation::kRead, path);
  return {path, text.str()};
}

std::ofstream create_file(const std::string& path) {
  std::ofstream file(path);
  if (!file) throw FileError(FileOperation::kWrite, path);
  return file;
}

}  // namespace dispatcher::simulator
