#include "src/version/link_pacer.h"

#include <algorithm>
#include <limits>

namespace celerypost {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LinkPacer::LinkPacer(LinkPacerOptions options) : options(options) {
  for (const auto direction : {LinkDirection::kIn, LinkDirection::kOut}) {
    this->VmBucket(direction).rate = options.link_rate;
    this->RegionBucket(direction).rate = options.region_rate;
  }
  for (Bucket& bucket : this->buckets) {
    bucket.tokens = bucket.rate * Seconds(options.burst);
  }
}

LinkPacer::Bucket& LinkPacer::VmBucket(LinkDirection direction) {
  return this->buckets[static_cast<size_t>(direction)];
}

LinkPacer::Bucket& LinkPacer::RegionBucket(LinkDirection direction) {
  return this->buckets[2 + static_cast<size_t>(direction)];
}

double LinkPacer::CurrentShare(TimePoint now) const {
  const bool live =
      this->live_requests > 0 ||
      (this->live_seen && now - this->last_live < this->options.hold);
  return live ? this->options.share_with_live_requests : 1.0;
}

void LinkPacer::Refill(TimePoint now) {
  if (!this->started) {
    this->started = true;
    this->last_refill = now;
    return;
  }
  if (now <= this->last_refill) {
    return;
  }
  // Between two refills the share changes at most once, when the hold time
  // after the last live request ends.
  const double elapsed = Seconds(now - this->last_refill);
  double full_share_seconds = elapsed;
  if (this->live_requests > 0) {
    full_share_seconds = 0;
  } else if (this->live_seen) {
    const TimePoint end = this->last_live + this->options.hold;
    full_share_seconds = std::clamp(Seconds(now - end), 0.0, elapsed);
  }
  const double weighted_seconds =
      full_share_seconds +
      (elapsed - full_share_seconds) * this->options.share_with_live_requests;
  for (Bucket& bucket : this->buckets) {
    bucket.tokens = std::min(bucket.tokens + bucket.rate * weighted_seconds,
                             bucket.rate * Seconds(this->options.burst));
  }
  this->last_refill = now;
}

bool LinkPacer::TryTake(LinkDirection direction,
                        uint64_t bytes,
                        bool crosses_regions,
                        TimePoint now) {
  if (this->WaitTime(direction, crosses_regions, now) > Duration::zero()) {
    return false;
  }
  Bucket& vm = this->VmBucket(direction);
  if (vm.rate > 0) {
    vm.tokens -= static_cast<double>(bytes);
  }
  Bucket& region = this->RegionBucket(direction);
  if (crosses_regions && region.rate > 0) {
    region.tokens -= static_cast<double>(bytes);
  }
  return true;
}

Duration LinkPacer::WaitTime(LinkDirection direction,
                             bool crosses_regions,
                             TimePoint now) {
  this->Refill(now);
  const double share = this->CurrentShare(now);
  double wait = 0;
  const auto extend_wait = [&wait, share](const Bucket& bucket) {
    if (bucket.rate > 0 && bucket.tokens <= 0) {
      // One byte more than the deficit, so that the bucket is positive then.
      wait = std::max(wait, (1 - bucket.tokens) / (bucket.rate * share));
    }
  };
  extend_wait(this->VmBucket(direction));
  if (crosses_regions) {
    extend_wait(this->RegionBucket(direction));
  }
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(wait));
}

void LinkPacer::GiveBack(LinkDirection direction,
                         uint64_t bytes,
                         bool crosses_regions,
                         TimePoint now) {
  this->Refill(now);
  const auto credit = [this, bytes](Bucket& bucket) {
    bucket.tokens = std::min(bucket.tokens + static_cast<double>(bytes),
                             bucket.rate * Seconds(this->options.burst));
  };
  credit(this->VmBucket(direction));
  if (crosses_regions) {
    credit(this->RegionBucket(direction));
  }
}

void LinkPacer::OnLiveRequests(uint32_t in_flight, TimePoint now) {
  this->Refill(now);
  if (in_flight > 0 || this->live_requests > 0) {
    this->last_live = now;
    this->live_seen = true;
  }
  this->live_requests = in_flight;
}

void LinkPacer::SetRegionRate(double rate, TimePoint now) {
  this->Refill(now);
  for (const auto direction : {LinkDirection::kIn, LinkDirection::kOut}) {
    Bucket& bucket = this->RegionBucket(direction);
    bucket.rate = rate;
    bucket.tokens =
        std::min(bucket.tokens, rate * Seconds(this->options.burst));
  }
}

}  // namespace celerypost
