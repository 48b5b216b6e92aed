#ifndef REVIEW_STANDINS_2_REPLICA_H_
#define REVIEW_STANDINS_2_REPLICA_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "review/standins-2/http_message.h"

namespace review {

// One request that began to run at a replica.
struct Run {
  std::string id;
  double at_ms = 0;
};

// A sound replica of a service without an engine. It runs each request that
// names it, or no replica, for a few milliseconds and answers with its seal.
class Replica {
 public:
  Replica(std::string id, std::string ip, uint16_t port);

  // Returns false if the address is in use.
  bool Start();
  // Ends as a process does: it accepts no connection and answers nothing more.
  void Exit();
  // Returns the number of runs that its exit cut off.
  size_t lost_runs() const { return this->lost; }
  // The entry that it keeps in the platform's store.
  std::string Entry() const;
  std::string key() const { return "servers/" + this->id; }
  std::vector<Run> runs();

  const std::string id;

 private:
  void Handle(Connection& connection);

  const std::string ip;
  const uint16_t port;
  int listener = -1;
  std::atomic<bool> exited{false};
  std::atomic<size_t> lost{0};
  std::mutex mutex;
  std::vector<Run> began;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_REPLICA_H_
