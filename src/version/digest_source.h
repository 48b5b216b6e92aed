#ifndef SRC_VERSION_DIGEST_SOURCE_H_
#define SRC_VERSION_DIGEST_SOURCE_H_

#include <chrono>
#include <optional>
#include <vector>

#include "celerypost/random.h"
#include "celerypost/types.h"
#include "src/version/digest.h"

namespace celerypost {

// A live agent as a possible source of digests.
struct DigestPeer {
  InstanceId instance;
  bool same_region = true;
  // Whether it can send the wanted digests.
  bool has_digests = false;
};

struct DigestSourceOptions {
  // How long an agent waits before it asks the origin, for each agent of its
  // region that ranks before it: the time of a request to a healthy origin and
  // of a heartbeat.
  std::chrono::milliseconds delay_per_rank{80};
  // Maximum wait; agents that rank earlier have failed by then.
  std::chrono::milliseconds max_delay{1500};
};

// Where an agent asks for the digests of a set.
struct DigestSource {
  // True if the agent must wait and ask nobody yet.
  bool wait = false;
  // The peer to ask; empty for the origin.
  std::optional<InstanceId> peer;
};

// Chooses a peer that has the digests of `set`, else the origin once this agent
// has waited its delay. `waited` is the time since the digests were first
// wanted. An origin accepts fewer connections than there are agents: when 88
// agents asked at once, it reset most of the connections for seconds.
DigestSource ChooseDigestSource(const DigestSourceOptions& options,
                                const Digest& set,
                                InstanceId self,
                                const std::vector<DigestPeer>& peers,
                                std::chrono::milliseconds waited,
                                Random& random);

}  // namespace celerypost

#endif  // SRC_VERSION_DIGEST_SOURCE_H_
