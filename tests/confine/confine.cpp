// Emulates the fleet's process restrictions in a process that loads this library with LD_PRELOAD. The
// constructor installs a seccomp filter on this process alone before `main` runs, so that all threads created
// later inherit it. This needs no privileges, since no_new_privs is set first. Denied calls trap. The SIGSYS
// handler writes one line that names the call to the file named by CONFINE_REPORT, and makes the call return
// what the fleet's bench returns: ENOSYS, EINVAL for splice, and EAFNOSUPPORT for a socket that is not IPv4.
// The process then continues as it would on the fleet, and the test reads the report.
//
// Denied calls: fork, vfork, clone without CLONE_THREAD (posix_spawn, system), execve, execveat, io_uring_*,
// splice, sendfile, socketpair, and socket of any family but AF_INET. clone3 returns ENOSYS and is not
// reported: its flags are behind a pointer that the filter can't read, and the C library falls back to clone,
// whose flags the filter can read.
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

namespace {

// A system call that the filter traps, and the error that it returns instead of taking effect.
struct DeniedCall {
  const char* name;
  int number;
  int error;
};

constexpr DeniedCall kDeniedCalls[] = {
#if defined(__x86_64__)  // elsewhere the C library calls clone
    {"fork", SYS_fork, ENOSYS},
    {"vfork", SYS_vfork, ENOSYS},
#endif
    {"execve", SYS_execve, ENOSYS},
    {"execveat", SYS_execveat, ENOSYS},
    {"io_uring_setup", SYS_io_uring_setup, ENOSYS},
    {"io_uring_enter", SYS_io_uring_enter, ENOSYS},
    {"io_uring_register", SYS_io_uring_register, ENOSYS},
    {"splice", SYS_splice, EINVAL},
    {"sendfile", SYS_sendfile, ENOSYS},
    {"socketpair", SYS_socketpair, EAFNOSUPPORT},
    {"socket", SYS_socket, EAFNOSUPPORT},  // only of a family other than AF_INET
};
constexpr DeniedCall kUnknownCall = {"unknown", -1, ENOSYS};

int report_fd = -1;

// A line of the report. It is composed without allocation, because a signal handler writes it. Text that
// exceeds the buffer is left out.
class ReportLine {
 public:
  ReportLine& append(const char* text) {
    while (*text != '\0' && length_ < sizeof buffer_) {
      buffer_[length_] = *text;
      ++length_;
      ++text;
    }
    return *this;
  }
  ReportLine& append(unsigned number) {
    char digits[11] = {};  // the digits of a 32-bit number and the terminating zero
    std::size_t first = sizeof digits - 1;
    do {
      --first;
      digits[first] = static_cast<char>('0' + number % 10);
      number /= 10;
    } while (number != 0);
    return append(digits + first);
  }
  void write() const {
    if (report_fd < 0) return;
    while (::write(report_fd, buffer_, length_) < 0 && errno == EINTR) {
    }
  }

 private:
  char buffer_[96] = {};
  std::size_t length_ = 0;
};

void report(const char* text) { ReportLine().append(text).append("\n").write(); }

void report_denied(const char* call) { ReportLine().append("refused ").append(call).append("\n").write(); }

const DeniedCall& find_denied_call(int number) {
  for (const DeniedCall& call : kDeniedCalls) {
    if (call.number == number) return call;
  }
  return kUnknownCall;
}

// The registers of a trapped call: that of its first argument, and that of its result.
#if defined(__x86_64__)
auto& first_argument(mcontext_t& machine) { return machine.gregs[REG_RDI]; }
auto& result(mcontext_t& machine) { return machine.gregs[REG_RAX]; }
#elif defined(__aarch64__)
auto& first_argument(mcontext_t& machine) { return machine.regs[0]; }
auto& result(mcontext_t& machine) { return machine.regs[0]; }
#else
#error "the registers of a system call are not known for this processor"
#endif

// Runs in the thread that made the call. Uses only what is safe in a signal handler.
void on_sigsys(int, siginfo_t* info, void* context) {
  mcontext_t& machine = static_cast<ucontext_t*>(context)->uc_mcontext;
  const DeniedCall& call = find_denied_call(info->si_syscall);
  ReportLine line;
  line.append("refused ").append(call.name);
  // Names the family, so that the report says which kind of socket was requested.
  if (call.number == SYS_socket)
    line.append(" family ").append(static_cast<unsigned>(first_argument(machine)));
  line.append("\n").write();
  result(machine) = -call.error;
}

bool add_rules(scmp_filter_ctx filter) {
  int failed = 0;
  for (const DeniedCall& call : kDeniedCalls) {
    if (call.number == SYS_socket) {
      failed |= seccomp_rule_add(filter, SCMP_ACT_TRAP, call.number, 1, SCMP_A0(SCMP_CMP_NE, AF_INET));
    } else {
      failed |= seccomp_rule_add(filter, SCMP_ACT_TRAP, call.number, 0);
    }
  }
  failed |= seccomp_rule_add(filter, SCMP_ACT_ERRNO(ENOSYS), SCMP_SYS(clone), 1,
                             SCMP_A0(SCMP_CMP_MASKED_EQ, CLONE_THREAD, 0));
  failed |= seccomp_rule_add(filter, SCMP_ACT_ERRNO(ENOSYS), SCMP_SYS(clone3), 0);
  return failed == 0;
}

bool install_filter() {
  scmp_filter_ctx filter = seccomp_init(SCMP_ACT_ALLOW);
  if (filter == nullptr) return false;
  const bool is_loaded = add_rules(filter) && seccomp_load(filter) == 0;
  seccomp_release(filter);
  return is_loaded;
}

// Returns the C library's function of this name and type.
template <class Function>
Function* next_function(Function*, const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

__attribute__((constructor)) void confine() {
  if (const char* path = std::getenv("CONFINE_REPORT"); path != nullptr && *path != '\0')
    report_fd = ::open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  struct sigaction action {};
  action.sa_sigaction = on_sigsys;
  action.sa_flags = SA_SIGINFO;
  sigemptyset(&action.sa_mask);
  if (sigaction(SIGSYS, &action, nullptr) != 0 || !install_filter()) {
    report("confine: the filter could not be installed");
    std::_Exit(125);  // otherwise a test could pass because nothing was filtered
  }
  report("confined");
}

}  // namespace

// Wrappers of functions of the C library. Each reports the call, then calls the real function, which the
// filter denies.
extern "C" {

pid_t fork() {
  report_denied("fork");
  return next_function(&fork, "fork")();
}

pid_t vfork() {  // the real one could not return into this frame, and the filter would deny it anyway
  report_denied("vfork");
  errno = ENOSYS;
  return -1;
}

int posix_spawn(pid_t* pid, const char* path, const posix_spawn_file_actions_t* actions,
                const posix_spawnattr_t* attributes, char* const argv[], char* const envp[]) {
  report_denied("posix_spawn");
  return next_function(&posix_spawn, "posix_spawn")(pid, path, actions, attributes, argv, envp);
}

int posix_spawnp(pid_t* pid, const char* file, const posix_spawn_file_actions_t* actions,
                 const posix_spawnattr_t* attributes, char* const argv[], char* const envp[]) {
  report_denied("posix_spawnp");
  return next_function(&posix_spawnp, "posix_spawnp")(pid, file, actions, attributes, argv, envp);
}

int system(const char* command) {
  report_denied("system");
  return next_function(&system, "system")(command);
}

FILE* popen(const char* command, const char* mode) {
  report_denied("popen");
  return next_function(&popen, "popen")(command, mode);
}

}  // extern "C"
