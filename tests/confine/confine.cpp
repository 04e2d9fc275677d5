// A stand-in of the fleet's process terms, loaded into a process with LD_PRELOAD. Its constructor installs a
// seccomp filter on this process alone (no privileges: no_new_privs is set first) before `main` runs, so that
// all threads made later inherit it. Refused calls trap; the SIGSYS handler writes one line naming the call
// to the file named by CONFINE_REPORT and has the call return what the fleet's bench returns: ENOSYS, EINVAL
// for splice, and EAFNOSUPPORT for a socket that is not IPv4. The process goes on as it would there; the test
// reads the report.
//
// Refused: fork, vfork, clone without CLONE_THREAD (posix_spawn, system), execve, execveat, io_uring_*,
// splice, sendfile, socketpair, socket of any family but AF_INET. clone3 gets ENOSYS unreported: its flags
// lie behind a pointer that the filter can't read, and the C library falls back to clone, whose flags it can.
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <sched.h>
#include <seccomp.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <ucontext.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

#if !defined(__x86_64__)
#error "the stand-in of the process terms reads x86-64 registers"
#endif

namespace {

struct Refused {
  int number;
  const char* name;
  int error;
};

constexpr Refused kRejected[] = {
    {SYS_fork, "fork", ENOSYS},
    {SYS_vfork, "vfork", ENOSYS},
    {SYS_execve, "execve", ENOSYS},
    {SYS_execveat, "execveat", ENOSYS},
    {SYS_io_uring_setup, "io_uring_setup", ENOSYS},
    {SYS_io_uring_enter, "io_uring_enter", ENOSYS},
    {SYS_io_uring_register, "io_uring_register", ENOSYS},
    {SYS_splice, "splice", EINVAL},
    {SYS_sendfile, "sendfile", ENOSYS},
    {SYS_socketpair, "socketpair", EAFNOSUPPORT},
    {SYS_socket, "socket", EAFNOSUPPORT},  // only of a family other than AF_INET
};

int report_fd = -1;

void say(const char* text) {
  if (report_fd < 0) return;
  const std::size_t length = std::strlen(text);
  while (::write(report_fd, text, length) < 0 && errno == EINTR) {
  }
}

// Runs in the thread that made the call; only what is safe in a signal handler.
void on_sigsys(int, siginfo_t* info, void* context) {
  auto* registers = static_cast<ucontext_t*>(context)->uc_mcontext.gregs;
  int error = ENOSYS;
  const char* name = "unknown";
  for (const Refused& r : kRejected) {
    if (r.number == info->si_syscall) name = r.name, error = r.error;
  }
  char line[96] = "refused ";
  std::strncat(line, name, sizeof line - 16);
  if (info->si_syscall == SYS_socket) {
    // The family, so that a report says which socket was asked for.
    const auto family = static_cast<unsigned>(registers[REG_RDI]);
    char digits[12];
    int n = 0;
    unsigned value = family;
    do digits[n++] = static_cast<char>('0' + value % 10), value /= 10;
    while (value != 0 && n < 11);
    std::strcat(line, " family ");
    std::size_t at = std::strlen(line);
    while (n > 0) line[at++] = digits[--n];
    line[at] = '\0';
  }
  std::strcat(line, "\n");
  say(line);
  registers[REG_RAX] = -error;
}

bool install() {
  scmp_filter_ctx filter = seccomp_init(SCMP_ACT_ALLOW);
  if (filter == nullptr) return false;
  int failed = 0;
  for (const Refused& r : kRejected) {
    if (r.number == SYS_clone) {
      failed |=
          seccomp_rule_add(filter, SCMP_ACT_TRAP, r.number, 1, SCMP_A0(SCMP_CMP_MASKED_EQ, CLONE_THREAD, 0));
    } else if (r.number == SYS_socket) {
      failed |= seccomp_rule_add(filter, SCMP_ACT_TRAP, r.number, 1, SCMP_A0(SCMP_CMP_NE, AF_INET));
    } else {
      failed |= seccomp_rule_add(filter, SCMP_ACT_TRAP, r.number, 0);
    }
  }
  failed |= seccomp_rule_add(filter, SCMP_ACT_ERRNO(ENOSYS), SCMP_SYS(clone), 1,
                             SCMP_A0(SCMP_CMP_MASKED_EQ, CLONE_THREAD, 0));
  failed |= seccomp_rule_add(filter, SCMP_ACT_ERRNO(ENOSYS), SCMP_SYS(clone3), 0);
  failed |= seccomp_load(filter);
  seccomp_release(filter);
  return failed == 0;
}

__attribute__((constructor)) void confine() {
  if (const char* path = std::getenv("CONFINE_REPORT"); path != nullptr && *path != '\0')
    report_fd = ::open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  struct sigaction action {};
  action.sa_sigaction = on_sigsys;
  action.sa_flags = SA_SIGINFO;
  sigemptyset(&action.sa_mask);
  if (sigaction(SIGSYS, &action, nullptr) != 0 || !install()) {
    say("confine: the filter could not be installed\n");
    std::_Exit(125);  // a test must not pass because nothing was filtered
  }
  say("confined\n");
}

}  // namespace

// In front of the C library's own: each says that it was called, then lets the real one meet the filter.
extern "C" {

#define CONFINE_NEXT(name) reinterpret_cast<decltype(&name)>(::dlsym(RTLD_NEXT, #name))

pid_t fork() {
  say("refused fork\n");
  return CONFINE_NEXT(fork)();
}

pid_t vfork() {  // the real one could not return into this frame; no process is made either way
  say("refused vfork\n");
  errno = ENOSYS;
  return -1;
}

int posix_spawn(pid_t* pid, const char* path, const posix_spawn_file_actions_t* actions,
                const posix_spawnattr_t* attributes, char* const argv[], char* const envp[]) {
  say("refused posix_spawn\n");
  return CONFINE_NEXT(posix_spawn)(pid, path, actions, attributes, argv, envp);
}

int posix_spawnp(pid_t* pid, const char* file, const posix_spawn_file_actions_t* actions,
                 const posix_spawnattr_t* attributes, char* const argv[], char* const envp[]) {
  say("refused posix_spawnp\n");
  return CONFINE_NEXT(posix_spawnp)(pid, file, actions, attributes, argv, envp);
}

int system(const char* command) {
  say("refused system\n");
  return CONFINE_NEXT(system)(command);
}

FILE* popen(const char* command, const char* mode) {
  say("refused popen\n");
  return CONFINE_NEXT(popen)(command, mode);
}

}  // extern "C"
