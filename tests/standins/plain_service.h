#ifndef TESTS_STANDINS_PLAIN_SERVICE_H_
#define TESTS_STANDINS_PLAIN_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "tests/standins/cold_start_model.h"
#include "tests/standins/stand_in.h"

namespace celerypost::standins {

// A fake plain service whose calls change state. Each call is recorded when it
// starts to run, by its Celerypost-Request-Id, in memory and, when "run_log"
// names a file, as one line there, so that the record outlives the process.
//
// Settings: "cold", "full", "warm_up_ms" (ColdStartModel), "work_ms",
// "run_log".
//
// Commands: "restart": true closes all connections and generates a new start
// id; "turn_cold": true; "lose_answers": N runs the next N calls without
// answering.
class PlainService : public StandIn {
 public:
  PlainService(Loop& loop, Json settings);
  ~PlainService() override;

 protected:
  void Handle(HttpRequest request,
              std::shared_ptr<HttpResponder> responder) override;
  Json Control(const Json& command) override;
  Json Figures() const override;

 private:
  void RecordRun(const std::string& id);

  ColdStartModel cold_start;
  std::string start_id;
  int64_t work_ms = 5;
  int64_t lose_answers = 0;
  int64_t in_flight = 0;
  int64_t requests = 0;
  int64_t double_runs = 0;
  std::map<std::string, int64_t> runs;
  int run_log = -1;
};

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_PLAIN_SERVICE_H_
