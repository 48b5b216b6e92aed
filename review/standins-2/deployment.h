#ifndef REVIEW_STANDINS_2_DEPLOYMENT_H_
#define REVIEW_STANDINS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "review/standins-2/platform_store.h"
#include "review/standins-2/replica.h"

namespace review {

// A small deployment on loopback addresses: the store, replicas and gateways.
// The gateways are processes of the project, started with the command of the
// deploy file. Threads of the stand-ins use this object until the process ends,
// so it is never destroyed.
class Deployment {
 public:
  // `folder` is a temporary folder that exists.
  explicit Deployment(std::string folder);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts everything and waits until the gateways are ready. Returns false if
  // that fails.
  bool Start(size_t replica_count, size_t gateway_count);
  // Kills the gateways and waits for their ends.
  void StopGateways();
  // Whether no gateway has ended.
  bool GatewaysRun();
  std::string GatewayIp(size_t number) const;
  uint16_t front_port() const { return this->first_port + 1; }

  PlatformStore store;
  std::vector<std::unique_ptr<Replica>> replicas;

 private:
  bool StartGateway(size_t number);
  bool WaitUntilReady(size_t number) const;

  const std::string folder;
  // The first three numbers of the loopback network, "127.1.2.".
  std::string network;
  uint16_t first_port = 0;
  std::vector<pid_t> gateways;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_DEPLOYMENT_H_
