#ifndef SRC_PROCESS_GATEWAY_DIRECTORY_CODEC_H_
#define SRC_PROCESS_GATEWAY_DIRECTORY_CODEC_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "celerypost/types.h"
#include "src/connection/http.h"

namespace celerypost {

// Encoding of the requests that callers send to look up gateways and that the
// platform sends to check readiness.
class DirectoryCodec {
 public:
  virtual ~DirectoryCodec() = default;

  // Returns the caller's region, or nothing when the request is not a directory
  // lookup.
  virtual std::optional<RegionName> ParseLookup(
      const HttpRequest& request) const = 0;
  // Returns the response body. `addresses` are caller addresses as "ip:port";
  // the caller may cache them for `ttl`.
  virtual std::string MakeLookupResponse(
      const std::vector<std::string>& addresses,
      std::chrono::milliseconds ttl) const = 0;
  virtual bool IsReadyCheck(const HttpRequest& request) const = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_DIRECTORY_CODEC_H_
