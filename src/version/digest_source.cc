#include "src/version/digest_source.h"

#include <algorithm>

namespace celerypost {

DigestSource ChooseDigestSource(const DigestSourceOptions& options,
                                const Digest& set,
                                InstanceId self,
                                const std::vector<DigestPeer>& peers,
                                std::chrono::milliseconds waited,
                                Random& random) {
  std::vector<InstanceId> holders_in_region;
  std::vector<InstanceId> holders_elsewhere;
  const uint64_t own_weight = RendezvousWeight(set, self.value);
  int64_t rank = 0;
  for (const DigestPeer& peer : peers) {
    if (peer.has_digests) {
      (peer.same_region ? holders_in_region : holders_elsewhere)
          .push_back(peer.instance);
    }
    rank += peer.same_region &&
                    RendezvousWeight(set, peer.instance.value) > own_weight
                ? 1
                : 0;
  }
  const std::vector<InstanceId>& holders =
      holders_in_region.empty() ? holders_elsewhere : holders_in_region;
  if (!holders.empty()) {
    return {false, holders[random.Below(holders.size())]};
  }
  const auto delay = std::min(options.delay_per_rank * rank, options.max_delay);
  return {waited < delay, std::nullopt};
}

}  // namespace celerypost
