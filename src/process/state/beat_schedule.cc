#include "src/process/state/beat_schedule.h"

#include <algorithm>

namespace celerypost {

bool ShouldSendGatewayBeat(const GatewayBeatOptions& options,
                           uint64_t number,
                           bool has_new_document,
                           const BeatPeer& peer) {
  if (!peer.heard) {
    return number % options.unheard_period == 0;
  }
  if (peer.role == NodeRole::kGateway) {
    return peer.near || number % options.far_gateway_period == 0;
  }
  return (has_new_document && peer.near) ||
         number % (peer.near ? options.near_stager_period
                             : options.far_stager_period) ==
             0;
}

std::chrono::milliseconds GatewayBeatPeriod(const GatewayBeatOptions& options,
                                            std::chrono::milliseconds period,
                                            size_t near_gateways) {
  return period *
         std::max<size_t>(1, near_gateways / options.full_rate_gateways);
}

void StagerBeats::Begin(bool to_all, bool staging, TimePoint now) {
  this->to_all = to_all;
  const auto interval_without_news =
      staging ? this->options.far_staging : this->options.far_idle;
  this->to_far_stagers =
      now - this->last_far_beat >=
      (this->has_far_news ? this->options.far_news : interval_without_news);
  if (this->to_far_stagers) {
    this->last_far_beat = now;
    this->has_far_news = false;
  }
}

bool StagerBeats::ShouldSendTo(const BeatPeer& peer) const {
  if (!peer.heard || peer.role == NodeRole::kGateway) {
    return this->to_all;
  }
  return peer.near || this->to_far_stagers;
}

std::chrono::milliseconds StagerBeats::MinGap(size_t near_stagers) const {
  return this->options.min_gap *
         std::max<size_t>(1, near_stagers / this->options.full_rate_stagers);
}

}  // namespace celerypost
