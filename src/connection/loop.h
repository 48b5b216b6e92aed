#ifndef SRC_CONNECTION_LOOP_H_
#define SRC_CONNECTION_LOOP_H_

#include <uv.h>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

class Loop;

// A timer on a Loop. Destroying it cancels it. `on_fire` may destroy the timer.
class Timer {
 public:
  Timer(Loop& loop, std::function<void()> on_fire);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Fires once, `delay` after this call. Replaces an earlier schedule.
  void StartOnce(std::chrono::milliseconds delay);
  // Fires every `period`, first after one period.
  void StartRepeating(std::chrono::milliseconds period);
  void Stop();

 private:
  void Start(std::chrono::milliseconds delay, std::chrono::milliseconds period);

  struct State;
  State* state;
};

// One libuv loop and the thread that runs it. All tasks of a process run on one
// loop, so they need no locks.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Runs until Stop, and then the tasks of BeforeWait that are left.
  void Run();
  void Stop();

  // Handles pending events and returns; waits at most `limit` for the first.
  void RunFor(std::chrono::milliseconds limit);

  // Monotonic time, which also counts while the VM is suspended. Timers don't:
  // after a suspension they fire late.
  TimePoint Now() const;

  // Returns a time before which nothing arrived that is being handled now. What
  // is read from a socket may have waited there while the process was paused.
  TimePoint ArrivedAfter() const;

  // Runs `task` in the next iteration of the loop.
  void Post(std::function<void()> task);

  // Runs `task` before the loop next waits for events. Connections use it to
  // send the output of one iteration in one write.
  void BeforeWait(std::function<void()> task);

  // Calls `on_signal` on the loop when the process receives SIGTERM or SIGINT.
  void OnTerminate(std::function<void()> on_signal);

  uv_loop_t* uv() { return this->handle.get(); }

 private:
  struct Signals;

  void RunDeferred();
  // Called before the loop waits for events.
  void NoteWait();

  std::unique_ptr<uv_loop_t> handle;
  uv_prepare_t prepare;
  // Limits RunFor. Kept open, since closing a handle makes the next iteration
  // return at once.
  uv_timer_t run_limit_timer;
  // When the loop began its last wait, and the one before. The time before a
  // pause counts until the sockets have been emptied.
  TimePoint last_wait{};
  TimePoint previous_wait{};
  TimePoint before_pause{};
  TimePoint paused_until{};
  std::vector<std::function<void()>> deferred;
  std::unique_ptr<Signals> signals;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_LOOP_H_
