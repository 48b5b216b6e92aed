#include "src/process/line_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace celerypost {

LineWriter::LineWriter(Loop& loop, int descriptor, LineWriterOptions options)
    : descriptor(descriptor),
      options(options),
      loop(loop),
      timer(loop, [this] { this->Flush(); }) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void LineWriter::Write(std::string_view line) {
  const TimePoint now = this->loop.Now();
  if (now - this->second_start >= std::chrono::seconds(1)) {
    this->second_start = now;
    this->lines_in_second = 0;
  }
  if (this->lines_in_second >= this->options.max_lines_per_second ||
      this->waiting.size() + line.size() > this->options.max_waiting) {
    ++this->dropped_total;
    ++this->dropped_unreported;
    return;
  }
  ++this->lines_in_second;
  if (this->dropped_unreported > 0) {
    this->waiting += R"({"level":"warn","event":"log_lines_dropped","count":)" +
                     std::to_string(this->dropped_unreported) + "}\n";
    this->dropped_unreported = 0;
  }
  this->waiting.append(line).push_back('\n');
  if (!this->flush_planned) {
    this->flush_planned = true;
    this->timer.StartOnce(this->options.flush_period);
  }
}

void LineWriter::Flush() {
  this->flush_planned = false;
  while (!this->waiting.empty()) {
    const ssize_t written =
        write(this->descriptor, this->waiting.data(), this->waiting.size());
    if (written > 0) {
      this->waiting.erase(0, static_cast<size_t>(written));
      continue;
    }
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      // Nobody reads the log any more; there is nowhere to report it.
      this->waiting.clear();
      return;
    }
    this->flush_planned = true;
    this->timer.StartOnce(this->options.flush_period);
    return;
  }
}

}  // namespace celerypost
