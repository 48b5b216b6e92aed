#ifndef TESTS_SCENARIOS_PROCESS_TABLE_H_
#define TESTS_SCENARIOS_PROCESS_TABLE_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celerypost::scenarios {

// Child processes by name. Their output is appended to <directory>/<name>.log.
// The destructor kills those that are still running.
class ProcessTable {
 public:
  explicit ProcessTable(std::string directory);
  ~ProcessTable();
  ProcessTable(const ProcessTable&) = delete;
  ProcessTable& operator=(const ProcessTable&) = delete;

  // Starts `arguments[0]` with the environment variables `environment`
  // ("NAME=value") added to this process's own. Returns false if it cannot be
  // started or a process of that name is running.
  bool Start(const std::string& name,
             const std::vector<std::string>& arguments,
             const std::vector<std::string>& environment);
  bool Signal(const std::string& name, int signal);
  bool IsRunning(const std::string& name);
  // Exit status, or the negated signal number if a signal ended the process;
  // nullopt while it runs or if there is no process of that name.
  std::optional<int> ExitStatus(const std::string& name);
  pid_t Pid(const std::string& name) const;
  std::string LogPath(const std::string& name) const;

 private:
  struct Child {
    pid_t pid = 0;
    std::optional<int> status;
  };

  void Reap(Child& child, bool wait);

  const std::string directory;
  std::map<std::string, Child> children;
};

}  // namespace celerypost::scenarios

#endif  // TESTS_SCENARIOS_PROCESS_TABLE_H_
