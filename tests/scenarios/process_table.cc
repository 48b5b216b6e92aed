#include "tests/scenarios/process_table.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace celerypost::scenarios {

ProcessTable::ProcessTable(std::string directory)
    : directory(std::move(directory)) {}

ProcessTable::~ProcessTable() {
  for (auto& [name, child] : this->children) {
    if (!child.status) {
      kill(child.pid, SIGKILL);
    }
  }
  for (auto& [name, child] : this->children) {
    this->Reap(child, true);
  }
}

bool ProcessTable::Start(const std::string& name,
                         const std::vector<std::string>& arguments,
                         const std::vector<std::string>& environment) {
  if (this->IsRunning(name)) {
    return false;
  }
  std::vector<char*> argv;
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  std::vector<char*> envp;
  for (const std::string& variable : environment) {
    envp.push_back(const_cast<char*>(variable.c_str()));
  }
  for (char** inherited = environ; *inherited != nullptr; ++inherited) {
    envp.push_back(*inherited);
  }
  envp.push_back(nullptr);
  const std::string log = this->LogPath(name);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    // Kill the child when the runner ends, even if the runner is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (getppid() == parent && output >= 0) {
      dup2(output, 1);
      dup2(output, 2);
      execve(argv[0], argv.data(), envp.data());
    }
    _exit(127);
  }
  if (pid < 0) {
    return false;
  }
  this->children[name] = {pid, std::nullopt};
  return true;
}

bool ProcessTable::Signal(const std::string& name, int signal) {
  return this->IsRunning(name) && kill(this->children[name].pid, signal) == 0;
}

bool ProcessTable::IsRunning(const std::string& name) {
  return this->children.contains(name) && !this->ExitStatus(name);
}

std::optional<int> ProcessTable::ExitStatus(const std::string& name) {
  const auto it = this->children.find(name);
  if (it == this->children.end()) {
    return std::nullopt;
  }
  this->Reap(it->second, false);
  return it->second.status;
}

pid_t ProcessTable::Pid(const std::string& name) const {
  const auto it = this->children.find(name);
  return it == this->children.end() ? 0 : it->second.pid;
}

std::string ProcessTable::LogPath(const std::string& name) const {
  return this->directory + "/" + name + ".log";
}

void ProcessTable::Reap(Child& child, bool wait) {
  int status = 0;
  if (!child.status &&
      waitpid(child.pid, &status, wait ? 0 : WNOHANG) == child.pid) {
    child.status =
        WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  }
}

}  // namespace celerypost::scenarios
