#ifndef TESTS_PROCESS_PROGRAM_PROGRAM_H_
#define TESTS_PROCESS_PROGRAM_PROGRAM_H_

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

#include "platform/node_file.h"
#include "tests/process/program/loopback.h"

namespace celerypost {

// The program under test in one role.
class Program {
 public:
  Program(const std::string& role,
          const std::string& ip,
          const std::string& settings_path,
          uint16_t metrics_port)
      : ip(ip) {
    const std::string metrics =
        "--metrics_port=" + std::to_string(metrics_port);
    const std::string log_path = settings_path + ".log";
    const pid_t parent = getpid();
    this->pid = fork();
    if (this->pid == 0) {
      // Ends with the test, also when that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);
      }
      const int log =
          open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      setenv(platform::kNodeFileVariable, settings_path.c_str(), 1);
      execl(CELERYPOST_PROGRAM, CELERYPOST_PROGRAM, role.c_str(),
            metrics.c_str(), nullptr);
      _exit(127);
    }
  }
  ~Program() {
    if (this->pid > 0 && !this->reaped) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
    }
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  bool Lives() {
    if (!this->reaped) {
      this->reaped = waitpid(this->pid, nullptr, WNOHANG) == this->pid;
    }
    return !this->reaped;
  }

  // Notes what the process holds now; called while it is under load.
  void Sample() {
    std::error_code error;
    size_t descriptors = 0;
    for (std::filesystem::directory_iterator it(this->ProcPath("fd"), error),
         end;
         !error && it != end; it.increment(error)) {
      ++descriptors;
    }
    this->peak_descriptors = std::max(this->peak_descriptors, descriptors);
    this->peak_memory =
        std::max({this->peak_memory, this->StatusBytes("VmHWM:"),
                  this->StatusBytes("VmRSS:") + this->QueuedBytes()});
  }

  // Most bytes of memory, with those of the sockets of its listeners.
  size_t peak_memory = 0;
  size_t peak_descriptors = 0;

 private:
  std::string ProcPath(const char* name) const {
    return "/proc/" + std::to_string(this->pid) + "/" + name;
  }

  size_t StatusBytes(const std::string& field) const {
    std::ifstream status(this->ProcPath("status"));
    for (std::string word; status >> word;) {
      size_t kilobytes = 0;
      if (word == field && status >> kilobytes) {
        return kilobytes * 1024;
      }
    }
    return 0;
  }

  // Bytes that wait in the kernel on connections to the process's address.
  size_t QueuedBytes() const {
    std::ifstream table("/proc/net/tcp");
    char prefix[9];
    std::snprintf(prefix, sizeof(prefix), "%08X",
                  AddressOf(this->ip, 0).sin_addr.s_addr);
    size_t sum = 0;
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
      std::istringstream fields(line);
      std::string number;
      std::string local;
      std::string remote;
      std::string state;
      std::string queues;
      fields >> number >> local >> remote >> state >> queues;
      // For a listening socket (0A) these are counts of connections.
      if (local.starts_with(prefix) && state != "0A" && queues.size() == 17) {
        sum += std::stoul(queues.substr(0, 8), nullptr, 16) +
               std::stoul(queues.substr(9), nullptr, 16);
      }
    }
    return sum;
  }

  const std::string ip;
  pid_t pid = -1;
  bool reaped = false;
};

}  // namespace celerypost

#endif  // TESTS_PROCESS_PROGRAM_PROGRAM_H_
