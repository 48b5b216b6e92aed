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
      this->pending.size() + line.size() > this->options.max_pending_bytes) {
    ++this->dropped_total;
    ++this->dropped_unreported;
    return;
  }
  ++this->lines_in_second;
  if (this->dropped_unreported > 0) {
    this->pending += R"({"level":"warn","event":"log_lines_dropped","count":)" +
                     std::to_string(this->dropped_unreported) + "}\n";
    this->dropped_unreported = 0;
  }
  this->pending.append(line).push_back('\n');
  if (!this->flush_scheduled) {
    this->flush_scheduled = true;
    this->timer.StartOnce(this->options.flush_period);
  }
}

void LineWriter::Flush() {
  this->flush_scheduled = false;
  while (!this->pending.empty()) {
    const ssize_t written =
        write(this->descriptor, this->pending.data(), this->pending.size());
    if (written > 0) {
      this->pending.erase(0, static_cast<size_t>(written));
      continue;
    }
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      // The log is no longer read, so the error cannot be reported.
      this->pending.clear();
      return;
    }
    this->flush_scheduled = true;
    this->timer.StartOnce(this->options.flush_period);
    return;
  }
}

}  // namespace celerypost
