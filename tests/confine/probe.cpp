// A program that tries each call that the fleet's process restrictions deny, and two that they allow, and
// prints what each returned: "name result errno". Started under the emulation, it shows that the emulation
// denies calls, so that a test under it can fail.
#include <fcntl.h>
#include <spawn.h>
#include <sys/sendfile.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <thread>

extern char** environ;

namespace {

void print_result(const char* name, long result) {
  std::printf("%s %ld %d\n", name, result < 0 ? -1L : 0L, result < 0 ? errno : 0);
  std::fflush(stdout);
}

// Closes the descriptor, if there is one: only whether the call succeeded matters.
long close_after(long fd) {
  if (fd >= 0) ::close(static_cast<int>(fd));
  return fd;
}

}  // namespace

int main() {
  const pid_t child = ::fork();
  if (child == 0) ::_exit(0);
  if (child > 0) ::waitpid(child, nullptr, 0);
  print_result("fork", child);
  char* const argv[] = {const_cast<char*>("true"), nullptr};
  pid_t spawned = 0;
  const int spawn = ::posix_spawnp(&spawned, "true", nullptr, nullptr, argv, environ);
  if (spawn == 0) ::waitpid(spawned, nullptr, 0);
  errno = spawn;
  print_result("posix_spawn", spawn == 0 ? 0 : -1);
  print_result("execve", ::execve("/bin/true", argv, environ));
  print_result("socket_unix", close_after(::socket(AF_UNIX, SOCK_STREAM, 0)));
  int pair[2];
  print_result("socketpair", ::socketpair(AF_UNIX, SOCK_STREAM, 0, pair));
  print_result("socket_inet", close_after(::socket(AF_INET, SOCK_STREAM, 0)));
  int pipes[2];
  if (::pipe(pipes) != 0) return 1;
  print_result("splice", ::splice(pipes[0], nullptr, pipes[1], nullptr, 1, SPLICE_F_NONBLOCK));
  print_result("sendfile", ::sendfile(pipes[1], pipes[0], nullptr, 1));
  print_result("io_uring_setup", ::syscall(SYS_io_uring_setup, 4, nullptr));
  bool ran = false;
  std::thread([&ran] { ran = true; }).join();
  print_result("thread", ran ? 0 : -1);
  return 0;
}
