#ifndef TESTS_STANDINS_STAND_IN_H_
#define TESTS_STANDINS_STAND_IN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "src/connection/http_server.h"
#include "src/connection/loop.h"

namespace celerypost::standins {

using Json = nlohmann::json;

// Milliseconds of the monotonic clock, which all processes of a machine share.
int64_t MonotonicMs();

// Stand-in for one part of the platform, with a data port that the product uses
// and a control port (`GET /control` for figures, `POST /control` for faults).
// The control port stays open while the data port is down.
//
// Settings of every stand-in, at start and in `POST /control`:
//   "fault": "none" | "down" (connections are refused) | "hang" (requests are
//            accepted and not answered) | "slow" (after "slow_ms")
class StandIn {
 public:
  // `settings` holds "name", "port" and "control_port" (0 picks a free port)
  // and the settings of the kind.
  StandIn(Loop& loop, Json settings);
  virtual ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  // Opens both ports and applies the settings.
  Result<void> Open();

  // Applies a command as `POST /control` does.
  Json Apply(const Json& command);
  Json Report() const;

  const std::string& name() const { return this->own_name; }
  uint16_t port() const { return this->data_port; }
  uint16_t control_port() const;

 protected:
  // Answers a request on the data port.
  virtual void Handle(HttpRequest request,
                      std::shared_ptr<HttpResponder> responder) = 0;
  // Applies the settings of the kind and returns the body of the answer.
  virtual Json Control(const Json& command) = 0;
  virtual Json Figures() const = 0;
  // Called before the data port closes, to abort open streams.
  virtual void OnDown() {}

  Loop& loop() { return this->event_loop; }
  void CountNewWork() { this->last_new_work_ms = MonotonicMs(); }
  // Runs `task` after `delay` unless this object is destroyed before.
  void After(std::chrono::milliseconds delay, std::function<void()> task);
  // Sends the head and a part of the body, then aborts the connection.
  static void LoseAnswer(HttpResponder& responder);
  // Closes the data port and its connections and opens it again, as a process
  // restart does.
  void ReopenDataPort();

 private:
  Result<void> OpenDataPort();
  void CloseDataPort();
  void SetFault(const std::string& fault);
  void Receive(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void Dispatch(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void OnControl(const HttpRequest& request, HttpResponder& responder);

  Loop& event_loop;
  Json settings;
  std::string own_name;
  uint16_t data_port = 0;
  std::string fault = "none";
  std::chrono::milliseconds slow_delay{0};
  int64_t last_new_work_ms = 0;
  uint64_t next_timer = 0;
  std::map<uint64_t, std::unique_ptr<Timer>> timers;
  std::vector<std::weak_ptr<HttpResponder>> open_responders;
  std::vector<std::shared_ptr<HttpResponder>> hung_responders;
  std::unique_ptr<HttpServer> data_server;
  std::unique_ptr<HttpServer> control_server;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_STAND_IN_H_
