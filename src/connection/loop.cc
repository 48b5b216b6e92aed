#include "src/connection/loop.h"

#include <csignal>
#include <ctime>
#include <utility>

#include "celerypost/assert.h"

namespace celerypost {

namespace {

// An iteration that takes longer than this, waits included, may contain a pause
// of the process: its tasks wake it more often.
constexpr std::chrono::milliseconds kLongIteration{400};
// Time after a pause in which sockets may still hold what arrived during it.
// One iteration reads a limited number of datagrams.
constexpr std::chrono::milliseconds kDrainTime{1000};

}  // namespace

// libuv frees a handle only after its close callback, so the handle outlives
// the Timer that owns it.
struct Timer::State {
  uv_timer_t handle;
  std::function<void()> on_fire;
};

namespace {

struct PostedTask {
  uv_timer_t handle;
  std::function<void()> task;
};

uint64_t ToUvTimeout(std::chrono::milliseconds delay) {
  return delay.count() > 0 ? static_cast<uint64_t>(delay.count()) : 0;
}

}  // namespace

Timer::Timer(Loop& loop, std::function<void()> on_fire)
    : state(new State{{}, std::move(on_fire)}) {
  uv_timer_init(loop.uv(), &this->state->handle);
  this->state->handle.data = this->state;
}

Timer::~Timer() {
  auto* handle = reinterpret_cast<uv_handle_t*>(&this->state->handle);
  uv_close(handle, [](uv_handle_t* closed) {
    delete static_cast<State*>(closed->data);
  });
}

void Timer::StartOnce(std::chrono::milliseconds delay) {
  this->Start(delay, std::chrono::milliseconds(0));
}

void Timer::StartRepeating(std::chrono::milliseconds period) {
  this->Start(period, period);
}

void Timer::Start(std::chrono::milliseconds delay,
                  std::chrono::milliseconds period) {
  // libuv counts the delay from the time that it read when the iteration began.
  uv_update_time(this->state->handle.loop);
  uv_timer_start(
      &this->state->handle,
      [](uv_timer_t* timer) { static_cast<State*>(timer->data)->on_fire(); },
      ToUvTimeout(delay), ToUvTimeout(period));
}

void Timer::Stop() {
  uv_timer_stop(&this->state->handle);
}

struct Loop::Signals {
  uv_signal_t terminate;
  uv_signal_t interrupt;
  std::function<void()> on_signal;
};

Loop::Loop() : handle(std::make_unique<uv_loop_t>()) {
  // A write to a connection that the other side has closed must fail with an
  // error, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  const int status = uv_loop_init(this->handle.get());
  CELERYPOST_ASSERT(status == 0, "a process has one working event loop");
  uv_prepare_init(this->handle.get(), &this->prepare);
  this->prepare.data = this;
  uv_prepare_start(&this->prepare, [](uv_prepare_t* prepare) {
    auto* loop = static_cast<Loop*>(prepare->data);
    loop->RunDeferred();
    loop->NoteWait();
  });
  uv_unref(reinterpret_cast<uv_handle_t*>(&this->prepare));
  uv_timer_init(this->handle.get(), &this->run_limit_timer);
  this->last_wait = this->previous_wait = this->before_pause = this->Now();
}

Loop::~Loop() {
  uv_close(reinterpret_cast<uv_handle_t*>(&this->prepare), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&this->run_limit_timer), nullptr);
  if (this->signals) {
    uv_close(reinterpret_cast<uv_handle_t*>(&this->signals->terminate),
             nullptr);
    uv_close(reinterpret_cast<uv_handle_t*>(&this->signals->interrupt),
             nullptr);
  }
  // Runs the close callbacks.
  for (int i = 0; i < 16 && uv_run(this->handle.get(), UV_RUN_NOWAIT) != 0;
       ++i) {
  }
  if (uv_loop_close(this->handle.get()) != 0) {
    // h2o never closes some of its handles. They refer to the loop, so both
    // stay until the process ends.
    static std::vector<std::unique_ptr<uv_loop_t>>& retired =
        *new std::vector<std::unique_ptr<uv_loop_t>>();
    retired.push_back(std::move(this->handle));
  }
}

void Loop::Run() {
  uv_run(this->handle.get(), UV_RUN_DEFAULT);
  this->RunDeferred();
}

void Loop::Stop() {
  uv_stop(this->handle.get());
}

void Loop::RunFor(std::chrono::milliseconds limit) {
  uv_update_time(this->handle.get());
  uv_timer_start(
      &this->run_limit_timer, [](uv_timer_t*) {}, ToUvTimeout(limit), 0);
  uv_run(this->handle.get(), UV_RUN_ONCE);
  uv_timer_stop(&this->run_limit_timer);
}

TimePoint Loop::Now() const {
  timespec time{};
  CELERYPOST_ASSERT(clock_gettime(CLOCK_BOOTTIME, &time) == 0,
                    "the kernel has a clock that counts suspensions");
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

void Loop::Post(std::function<void()> task) {
  auto* posted = new PostedTask{{}, std::move(task)};
  uv_timer_init(this->handle.get(), &posted->handle);
  posted->handle.data = posted;
  uv_timer_start(
      &posted->handle,
      [](uv_timer_t* timer) {
        static_cast<PostedTask*>(timer->data)->task();
        uv_close(reinterpret_cast<uv_handle_t*>(timer),
                 [](uv_handle_t* closed) {
                   delete static_cast<PostedTask*>(closed->data);
                 });
      },
      0, 0);
}

void Loop::BeforeWait(std::function<void()> task) {
  this->deferred.push_back(std::move(task));
}

TimePoint Loop::ArrivedAfter() const {
  return this->Now() < this->paused_until ? this->before_pause
                                          : this->previous_wait;
}

void Loop::NoteWait() {
  const TimePoint now = this->Now();
  if (now - this->last_wait > kLongIteration) {
    this->before_pause = this->previous_wait;
    this->paused_until = now + kDrainTime;
  }
  this->previous_wait = this->last_wait;
  this->last_wait = now;
}

void Loop::RunDeferred() {
  while (!this->deferred.empty()) {
    const auto tasks = std::exchange(this->deferred, {});
    for (const auto& task : tasks) {
      task();
    }
  }
}

void Loop::OnTerminate(std::function<void()> on_signal) {
  CELERYPOST_ASSERT(!this->signals, "signals have one handler per loop");
  this->signals = std::make_unique<Signals>();
  this->signals->on_signal = std::move(on_signal);
  const auto start = [this](uv_signal_t* signal, int number) {
    uv_signal_init(this->handle.get(), signal);
    signal->data = this->signals.get();
    uv_signal_start(
        signal,
        [](uv_signal_t* raised, int) {
          static_cast<Signals*>(raised->data)->on_signal();
        },
        number);
    // A signal handler alone does not keep the loop running.
    uv_unref(reinterpret_cast<uv_handle_t*>(signal));
  };
  start(&this->signals->terminate, SIGTERM);
  start(&this->signals->interrupt, SIGINT);
}

}  // namespace celerypost
