#ifndef SRC_VERSION_LINK_PACER_H_
#define SRC_VERSION_LINK_PACER_H_

#include <array>
#include <cstdint>

#include "celerypost/types.h"

namespace celerypost {

enum class LinkDirection : uint8_t { kIn = 0, kOut = 1 };

struct LinkPacerOptions {
  // Bytes per second of weight traffic in each direction on this VM's link and
  // on this VM's share of the region's link; 0 means unlimited.
  double link_rate = 0;
  double region_rate = 0;
  // Share of the rates that weights may use while live requests run.
  double share_with_live_requests = 0.5;
  // How long the lowered share applies after the last live request, so that
  // weights do not fill the gaps between requests.
  Duration hold = std::chrono::milliseconds(200);
  // Maximum burst, as time at the full rate.
  Duration burst = std::chrono::milliseconds(50);
};

// Token buckets for weight bytes, one per link and direction. A transfer may
// start while its buckets are positive and is charged in full, so chunks larger
// than the burst are possible.
class LinkPacer {
 public:
  explicit LinkPacer(LinkPacerOptions options);

  // Charges `bytes` and returns true if a transfer may start now.
  bool TryTake(LinkDirection direction,
               uint64_t bytes,
               bool crosses_regions,
               TimePoint now);

  // Time until TryTake can succeed; zero if it can now.
  Duration WaitTime(LinkDirection direction,
                    bool crosses_regions,
                    TimePoint now);

  // Credits the bytes of a transfer that did not take place.
  void GiveBack(LinkDirection direction,
                uint64_t bytes,
                bool crosses_regions,
                TimePoint now);

  // Sets the number of live requests that run or wait at this VM.
  void OnLiveRequests(uint32_t in_flight, TimePoint now);

  // Sets this VM's share of the region's link in bytes per second.
  void SetRegionRate(double rate, TimePoint now);

 private:
  struct Bucket {
    double rate = 0;
    double tokens = 0;
  };

  void Refill(TimePoint now);
  double CurrentShare(TimePoint now) const;
  Bucket& VmBucket(LinkDirection direction);
  Bucket& RegionBucket(LinkDirection direction);

  LinkPacerOptions options;
  // VM in, VM out, region in, region out.
  std::array<Bucket, 4> buckets;
  TimePoint last_refill{};
  bool started = false;
  uint32_t live_requests = 0;
  TimePoint last_live{};
  bool live_seen = false;
};

}  // namespace celerypost

#endif  // SRC_VERSION_LINK_PACER_H_
