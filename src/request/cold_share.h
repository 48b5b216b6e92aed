#ifndef SRC_REQUEST_COLD_SHARE_H_
#define SRC_REQUEST_COLD_SHARE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "celerypost/types.h"

namespace celerypost {

// A gateway that may send requests to cold targets.
struct GatewayMember {
  // Identifies the gateway; stays the same when its process restarts.
  std::string ip;
  RegionName region;
};

struct ColdShareOptions {
  // Part of a target's limit that the gateways of its own region share; those
  // of other regions share the rest. With 0.8, the gateways of a zone that was
  // taken out were left with half of the requests that they had to place.
  double same_region_part = 0.6;
};

// Divides the rate limit of cold targets among the gateways without
// communication: gateways with the same members in view compute shares whose
// sum is at most the limit, however many they are. With more gateways than the
// limit has requests, each target takes requests from a part of them only.
class ColdShares {
 public:
  ColdShares(ColdShareOptions options, std::string self_ip);

  // Replaces the gateways that may be running, this one included.
  void SetGateways(std::vector<GatewayMember> members);

  // Returns how many requests this gateway may send to `target` of `region`
  // within a second if all gateways together may send `limit`.
  size_t ShareOf(const std::string& target,
                 const RegionName& region,
                 double limit);

 private:
  // The gateways that share one part of a target's limit.
  struct Position {
    size_t count = 1;
    // Number of those that come before this gateway in the target's order.
    size_t rank = 0;
    // Part of the limit.
    double part = 1;
  };

  Position PositionFor(const std::string& target,
                       const RegionName& region) const;

  ColdShareOptions options;
  std::string self_ip;
  std::vector<GatewayMember> members;
  // By target; valid until the members change.
  std::map<std::string, Position> positions;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_COLD_SHARE_H_
