#include "src/connection/receipt_watch.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace celerypost {

namespace {

// Servers read a body of at most this size together with the head.
constexpr size_t kReadWithHeadBytes = 16u << 10;
// A server that begins its response later has read what its system had
// buffered.
constexpr std::chrono::milliseconds kReadingTime{100};

// Returns nothing if the socket does not tell.
std::optional<tcp_info> InfoOf(int descriptor) {
  tcp_info info{};
  socklen_t length = sizeof(info);
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
    return std::nullopt;
  }
  return info;
}

// Returns 0 if the socket does not tell.
size_t UnacknowledgedBytes(int descriptor) {
  int bytes = 0;
  if (ioctl(descriptor, SIOCOUTQ, &bytes) != 0) {
    return 0;
  }
  return static_cast<size_t>(std::max(bytes, 0));
}

}  // namespace

bool WasReset(int descriptor) {
  const auto info = InfoOf(descriptor);
  return info && info->tcpi_state == TCP_CLOSE;
}

bool MayPrecedeReceipt(int descriptor, size_t body_bytes) {
  if (body_bytes == 0) {
    return false;
  }
  if (UnacknowledgedBytes(descriptor) > 0) {
    return true;
  }
  const auto info =
      body_bytes > kReadWithHeadBytes ? InfoOf(descriptor) : std::nullopt;
  if (!info) {
    return false;
  }
  // The system's own times: this process may have been paused in between.
  const std::chrono::milliseconds sent_ago(info->tcpi_last_data_sent);
  const std::chrono::milliseconds received_ago(info->tcpi_last_data_recv);
  return sent_ago - received_ago < kReadingTime;
}

ReceiptWatch::ReceiptWatch(Loop& loop,
                           int descriptor,
                           ReceiptWatchOptions options,
                           TimePoint deadline,
                           std::function<void(bool received)> done)
    : loop(loop),
      descriptor(descriptor),
      options(options),
      deadline(deadline),
      done(std::move(done)),
      timer(loop, [this] { this->Check(); }) {
  this->timer.StartRepeating(this->options.poll_interval);
}

void ReceiptWatch::Check() {
  if (WasReset(this->descriptor)) {
    this->End(false);
    return;
  }
  const TimePoint now = this->loop.Now();
  if (!this->settles_at) {
    if (UnacknowledgedBytes(this->descriptor) > 0) {
      if (now >= this->deadline) {
        this->End(false);
      }
      return;
    }
    this->settles_at =
        now + std::min<TimePoint::duration>(this->options.settle_time,
                                            (this->deadline - now) / 2);
  }
  if (now >= *this->settles_at) {
    this->End(true);
  }
}

void ReceiptWatch::End(bool received) {
  this->timer.Stop();
  const auto ended = std::move(this->done);
  ended(received);
}

}  // namespace celerypost
