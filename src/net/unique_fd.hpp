// An owning wrapper of a file descriptor.
#ifndef DISPATCHER_NET_UNIQUE_FD_HPP_
#define DISPATCHER_NET_UNIQUE_FD_HPP_

#include <unistd.h>

#include <utility>

namespace dispatcher::net {

/// Owns a file descriptor and closes it on destruction, as std::unique_ptr does with memory. Holds -1 if it
/// owns none.
class UniqueFd {
 public:
  UniqueFd() = default;
  /// Takes ownership of `fd`.
  explicit UniqueFd(int fd) : fd_(fd) {}
  UniqueFd(UniqueFd&& other) noexcept : fd_(other.release()) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    if (this != &other) reset(other.release());
    return *this;
  }
  ~UniqueFd() { reset(); }
  explicit operator bool() const { return fd_ >= 0; }
  /// Returns the descriptor, which this object still owns, or -1 if there is none.
  [[nodiscard]] int get() const { return fd_; }
  /// Returns the descriptor and gives up its ownership without closing it.
  int release() { return std::exchange(fd_, -1); }
  /// Closes the owned descriptor and takes ownership of `fd`.
  void reset(int fd = -1) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = fd;
  }

 private:
  int fd_ = -1;
};

}  // namespace dispatcher::net

#endif  // DISPATCHER_NET_UNIQUE_FD_HPP_
