#ifndef REVIEW_STANDINS_2_CALLERS_H_
#define REVIEW_STANDINS_2_CALLERS_H_

#include <atomic>
#include <map>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "review/standins-2/deployment.h"

namespace review {

// One request of a caller.
struct Sent {
  std::string id;
  size_t gateway = 0;
  double at_ms = 0;
  // 0 without an answer.
  int status = 0;
};

// Callers that send requests that must not be repeated to the gateways, each
// one to the same gateway, on a new connection each time.
class Callers {
 public:
  explicit Callers(const Deployment& deployment) : deployment(deployment) {}
  // Starts `count` callers of the gateways with these numbers.
  void Start(size_t count, const std::vector<size_t>& gateways);
  // Stops the callers and writes what they sent to `record`. Returns the share
  // of their requests that was answered with success.
  double Stop(std::ostream& record);
  // The requests by ID, after Stop.
  const std::map<std::string, Sent>& sent() const { return this->requests; }

 private:
  std::vector<Sent> Run(size_t caller, size_t gateway) const;
  int SendOnce(size_t gateway, const std::string& id) const;

  const Deployment& deployment;
  std::atomic<bool> stop{false};
  std::vector<std::thread> threads;
  std::vector<std::vector<Sent>> by_caller;
  std::map<std::string, Sent> requests;
};

// A replica whose entry was removed.
struct Left {
  Replica& replica;
  double at_ms = 0;
};

// Writes to `record` which requests ran at replicas that had left although
// their callers sent them later than `drain_ms` after that. Returns their
// number.
size_t CountLate(const std::vector<Left>& left,
                 const std::map<std::string, Sent>& sent,
                 double drain_ms,
                 std::ostream& record);

}  // namespace review

#endif  // REVIEW_STANDINS_2_CALLERS_H_
