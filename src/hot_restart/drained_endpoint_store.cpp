#include "hot_restart/drained_endpoint_store.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "net/unique_fd.hpp"

namespace dispatcher::hot_restart {

using Json = nlohmann::json;

namespace {

constexpr std::uintmax_t kMaxBytes = 1024 * 1024;

bool write_all(int fd, std::string_view text) {
  while (!text.empty()) {
    const auto n = ::write(fd, text.data(), text.size());
    if (n <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

}  // namespace

void DrainedEndpointStore::load() {
  std::error_code error;
  if (path_.empty() || !std::filesystem::exists(path_, error)) return;
  const bool readable = std::filesystem::is_regular_file(path_, error) &&
                        std::filesystem::file_size(path_, error) <= kMaxBytes && !error;
  std::ifstream file(readable ? path_ : std::string(), std::ios::binary);
  const std::string source{std::istreambuf_iterator<char>(file), {}};
  const Json object = Json::parse(source, nullptr, false);
  const auto offline = object.is_object() ? object.find("offline") : object.end();
  if (offline == object.end() || !offline->is_array()) {
    return log_("bans: '" + path_ + "' can't be read: nobody is left out by it");
  }
  for (const Json& endpoint : *offline) {
    if (endpoint.is_string()) endpoints_.insert(endpoint.get<std::string>());
  }
}

bool DrainedEndpointStore::set(const std::string& endpoint, bool offline) {
  const bool news = offline ? endpoints_.insert(endpoint).second : endpoints_.erase(endpoint) > 0;
  if (news) save();
  return news;
}

// Written beside it and renamed: a reader finds the old file or the new one, whole, whenever this process
// dies.
void DrainedEndpointStore::save() const {
  if (path_.empty()) return;
  const std::string fresh = path_ + "." + std::to_string(::getpid());
  const net::UniqueFd file(::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  const std::string text = Json{{"offline", endpoints_}}.dump(-1, ' ', false, Json::error_handler_t::replace);
  const bool written = file && write_all(file.get(), text) && ::fsync(file.get()) == 0;
  if (written && std::rename(fresh.c_str(), path_.c_str()) == 0) return;
  log_("bans: '" + path_ + "' can't be written: an upgrade or a restart will not know of them");
  ::unlink(fresh.c_str());
}

}  // namespace dispatcher::hot_restart
