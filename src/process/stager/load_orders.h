#ifndef SRC_PROCESS_STAGER_LOAD_ORDERS_H_
#define SRC_PROCESS_STAGER_LOAD_ORDERS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "src/connection/loop.h"
#include "src/process/log.h"
#include "src/process/metrics.h"
#include "src/process/stager/model_target.h"

namespace celerypost {

struct LoadOrderOptions {
  // Least time from the target's response to an order to the next order.
  std::chrono::milliseconds retry_delay{200};
  // The same after an order to give up weights.
  std::chrono::milliseconds unload_retry_delay{1000};
};

// An order to load a version of a model, or to give it up.
struct LoadOrder {
  std::string model;
  int64_t version = 0;
  int64_t sequence = 0;
  LoadMode mode = LoadMode::kAfterRunning;
};

// Sends orders to the target, one at a time, and logs their answers.
class LoadOrders {
 public:
  using Answer = std::function<void(const Result<void>&)>;

  LoadOrders(Loop& loop,
             Log& log,
             Metrics& metrics,
             ModelTarget& target,
             LoadOrderOptions options);

  // Calls `done` with the target's answer.
  void Load(const LoadOrder& order, Answer done);
  void Unload(const LoadOrder& order, Answer done);

  bool in_flight() const { return this->unanswered; }
  // Whether the next order may be sent.
  bool MaySend() const;
  // When the answer to the last accepted order arrived. Reports that were asked
  // for before may tell the state before the order.
  TimePoint accepted_at() const { return this->last_accepted; }
  // Version of the last accepted order to load, 0 before the first.
  int64_t accepted_version() const { return this->last_version; }

 private:
  // Returns a function that takes the target's answer.
  Answer Begin(std::chrono::milliseconds delay, Answer done);

  Loop& loop;
  Log& log;
  ModelTarget& target;
  LoadOrderOptions options;
  Counter& orders;
  bool unanswered = false;
  TimePoint next_time{};
  TimePoint last_accepted{};
  int64_t last_version = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STAGER_LOAD_ORDERS_H_
