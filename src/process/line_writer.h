#ifndef SRC_PROCESS_LINE_WRITER_H_
#define SRC_PROCESS_LINE_WRITER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/connection/loop.h"

namespace celerypost {

struct LineWriterOptions {
  // Bytes that are buffered for a slow reader; lines that do not fit are
  // dropped.
  size_t max_pending_bytes = 256u << 10;
  // Lines beyond this rate are dropped. It is several times the rate of a
  // gateway at its highest load, which writes one line per request.
  uint32_t max_lines_per_second = 500;
  // Time for which lines are collected before they are written together.
  std::chrono::milliseconds flush_period{100};
};

// Writes log lines to a file descriptor without blocking. Dropped lines are
// counted and reported in a separate line.
class LineWriter {
 public:
  LineWriter(Loop& loop, int descriptor, LineWriterOptions options);

  // Buffers `line`, or drops it if a limit is exceeded.
  void Write(std::string_view line);
  // Writes as much as the descriptor accepts without blocking.
  void Flush();
  // Number of lines dropped since construction.
  uint64_t dropped() const { return this->dropped_total; }

 private:
  int descriptor;
  LineWriterOptions options;
  Loop& loop;
  Timer timer;
  std::string pending;
  bool flush_scheduled = false;
  uint64_t dropped_total = 0;
  uint64_t dropped_unreported = 0;
  uint32_t lines_in_second = 0;
  TimePoint second_start{};
};

}  // namespace celerypost

#endif  // SRC_PROCESS_LINE_WRITER_H_
