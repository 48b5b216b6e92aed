#ifndef SRC_PROCESS_LINE_WRITER_H_
#define SRC_PROCESS_LINE_WRITER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/connection/loop.h"

namespace celerypost {

struct LineWriterOptions {
  // Bytes that wait for a slow reader; lines beyond them are dropped.
  size_t max_waiting = 256u << 10;
  // Lines per second; more are dropped. Several times what a gateway writes at
  // its highest load, one line a request.
  uint32_t max_lines_per_second = 500;
  // Lines are written together after this time.
  std::chrono::milliseconds flush_period{100};
};

// Writes log lines to a file descriptor without ever waiting for it. Dropped
// lines are counted and reported in a line of their own.
class LineWriter {
 public:
  LineWriter(Loop& loop, int descriptor, LineWriterOptions options);

  void Write(std::string_view line);
  // Writes what the descriptor takes at once.
  void Flush();
  uint64_t dropped() const { return this->dropped_total; }

 private:
  int descriptor;
  LineWriterOptions options;
  Loop& loop;
  Timer timer;
  std::string waiting;
  bool flush_planned = false;
  uint64_t dropped_total = 0;
  uint64_t dropped_unreported = 0;
  uint32_t lines_in_second = 0;
  TimePoint second_start{};
};

}  // namespace celerypost

#endif  // SRC_PROCESS_LINE_WRITER_H_
