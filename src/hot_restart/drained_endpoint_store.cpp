#include "hot_restart/drained_endpoint_store.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string_view>
#include <system_error>

#include "net/unique_fd.hpp"

namespace dispatcher::hot_restart {

using Json = nlohmann::json;

namespace {

constexpr std::uintmax_t kMaxFileBytes = 1024UL * 1024;  // far more than the endpoint ids of any fleet need
constexpr mode_t kFileMode = 0600;  // only this dispatcher's processes read and write the file
constexpr const char* kEndpointsKey = "offline";

bool write_all(int fd, std::string_view text) {
  while (!text.empty()) {
    const auto written = ::write(fd, text.data(), text.size());
    if (written <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

// Returns an empty string if the file can't be read.
std::string read_file(const std::string& path) {
  std::error_code error;
  const bool is_readable = std::filesystem::is_regular_file(path, error) &&
                           std::filesystem::file_size(path, error) <= kMaxFileBytes && !error;
  if (!is_readable) return {};
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

void DrainedEndpointStore::load() {
  std::error_code error;
  if (path_.empty() || !std::filesystem::exists(path_, error)) return;
  const Json object = Json::parse(read_file(path_), nullptr, false);
  const auto endpoints = object.is_object() ? object.find(kEndpointsKey) : object.end();
  if (endpoints == object.end() || !endpoints->is_array()) {
    log_("drained endpoints: '" + path_ + "' can't be read: it drains no endpoint");
    return;
  }
  for (const Json& endpoint : *endpoints) {
    if (endpoint.is_string()) endpoints_.insert(endpoint.get<std::string>());
  }
}

bool DrainedEndpointStore::set_administrative_state(const routing::EndpointId& endpoint,
                                                    routing::AdministrativeState state) {
  const bool is_drained = state == routing::AdministrativeState::kDrained;
  const bool has_changed = is_drained ? endpoints_.insert(endpoint).second : endpoints_.erase(endpoint) > 0;
  if (has_changed) save();
  return has_changed;
}

void DrainedEndpointStore::save() const {
  if (path_.empty()) return;
  Json endpoints = Json::array();
  for (const routing::EndpointId& endpoint : endpoints_) endpoints.push_back(endpoint.value());
  const Json object{{kEndpointsKey, endpoints}};
  if (replace_file(object.dump(-1, ' ', false, Json::error_handler_t::replace))) return;
  log_("drained endpoints: '" + path_ + "' can't be written: a restart will lose them");
}

// Writes a new file and renames it over the old one, so that readers find either the complete old or the
// complete new content even if this process is killed.
bool DrainedEndpointStore::replace_file(const std::string& text) const {
  const std::string new_path = path_ + "." + std::to_string(::getpid());
  const net::UniqueFd file(::open(new_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  const bool is_written = file && write_all(file.get(), text) && ::fsync(file.get()) == 0;
  if (is_written && std::rename(new_path.c_str(), path_.c_str()) == 0) return true;
  ::unlink(new_path.c_str());
  return false;
}

}  // namespace dispatcher::hot_restart
