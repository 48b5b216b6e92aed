#include "src/process/stager/load_orders.h"

#include <utility>

namespace celerypost {

using std::chrono::milliseconds;

LoadOrders::LoadOrders(Loop& loop,
                       Log& log,
                       Metrics& metrics,
                       ModelTarget& target,
                       LoadOrderOptions options)
    : loop(loop),
      log(log),
      target(target),
      options(options),
      orders(metrics.AddCounter("celerypost_orders_total",
                                "Orders to load weights")) {}

bool LoadOrders::MaySend() const {
  return !this->unanswered && this->loop.Now() >= this->next_time;
}

LoadOrders::Answer LoadOrders::Begin(milliseconds delay, Answer done) {
  this->unanswered = true;
  this->orders.Add();
  return [this, delay, done = std::move(done)](const Result<void>& taken) {
    this->unanswered = false;
    this->next_time = this->loop.Now() + delay;
    if (taken) {
      this->last_accepted = this->loop.Now();
    }
    done(taken);
  };
}

void LoadOrders::Load(const LoadOrder& order, Answer done) {
  auto on_answer = [this, version = order.version, sent = this->loop.Now(),
                    done = std::move(done)](const Result<void>& taken) {
    if (taken) {
      this->last_version = version;
    } else {
      this->log.Warn("order_failed", taken.error().message,
                     {{"version", version},
                      {"answer_ms", std::chrono::duration_cast<milliseconds>(
                                        this->loop.Now() - sent)
                                        .count()}});
    }
    done(taken);
  };
  this->target.Load(
      order.model, order.version, order.sequence, order.mode,
      this->Begin(this->options.retry_delay, std::move(on_answer)));
}

void LoadOrders::Unload(const LoadOrder& order, Answer done) {
  this->log.Warn("unload_order",
                 "ordering the target to give up weights that may be bad",
                 {{"version", order.version}, {"sequence", order.sequence}});
  auto on_answer = [this, done = std::move(done)](const Result<void>& taken) {
    if (!taken) {
      this->log.Warn("unload_failed", taken.error().message);
    }
    done(taken);
  };
  this->target.Unload(
      order.model, order.version, order.sequence, order.mode,
      this->Begin(this->options.unload_retry_delay, std::move(on_answer)));
}

}  // namespace celerypost
