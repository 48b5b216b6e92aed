#include "src/process/state/beat_schedule.h"

#include <algorithm>

namespace celerypost {

void GatewayBeats::Begin(bool has_new_document, TimePoint now) {
  const auto due = [now](TimePoint& last, std::chrono::milliseconds period) {
    if (now - last < period) {
      return false;
    }
    last = now;
    return true;
  };
  this->to_stagers = due(this->last_to_stagers, this->options.stager_period) ||
                     has_new_document;
  this->to_unheard = due(this->last_to_unheard, this->options.unheard_period);
  this->with_addresses =
      due(this->last_addresses, this->options.address_period);
}

bool GatewayBeats::ShouldSendTo(const BeatPeer& peer) const {
  if (!peer.heard) {
    return this->to_unheard;
  }
  return peer.near && (peer.role == NodeRole::kGateway || this->to_stagers);
}

std::chrono::milliseconds GatewayBeatPeriod(const GatewayBeatOptions& options,
                                            std::chrono::milliseconds period,
                                            size_t near_gateways) {
  return period *
         std::max<size_t>(1, near_gateways / options.full_rate_gateways);
}

void StagerBeats::Begin(bool to_all, bool staging, TimePoint now) {
  this->to_all = to_all;
  this->announced_far = staging && this->announced_far;
  const auto interval =
      this->has_far_news ? this->options.far_news : this->options.far_staging;
  this->to_far_fetchers = (this->has_far_news || this->announced_far) &&
                          now - this->last_far_beat >= interval;
  if (this->to_far_fetchers) {
    this->last_far_beat = now;
    this->has_far_news = false;
    this->announced_far = staging;
  }
}

bool StagerBeats::ShouldSendTo(const BeatPeer& peer) const {
  if (!peer.heard || peer.role == NodeRole::kGateway) {
    return this->to_all && peer.near;
  }
  return peer.near;
}

std::chrono::milliseconds StagerBeats::MinGap(size_t near_stagers) const {
  return this->options.min_gap *
         std::max<size_t>(1, near_stagers / this->options.full_rate_stagers);
}

}  // namespace celerypost
