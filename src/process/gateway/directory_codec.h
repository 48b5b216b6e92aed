#ifndef SRC_PROCESS_GATEWAY_DIRECTORY_CODEC_H_
#define SRC_PROCESS_GATEWAY_DIRECTORY_CODEC_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "celerypost/types.h"
#include "src/connection/http.h"

namespace celerypost {

// How callers ask for gateways, and how the platform asks for readiness.
class DirectoryCodec {
 public:
  virtual ~DirectoryCodec() = default;

  // The region of the caller; nothing when the request is not a question to the
  // directory.
  virtual std::optional<RegionName> ReadQuestion(
      const HttpRequest& request) const = 0;
  virtual std::string MakeAnswer(const std::vector<std::string>& addresses,
                                 std::chrono::milliseconds ttl) const = 0;
  virtual bool IsReadyCheck(const HttpRequest& request) const = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_DIRECTORY_CODEC_H_
