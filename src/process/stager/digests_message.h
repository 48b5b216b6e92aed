#ifndef SRC_PROCESS_STAGER_DIGESTS_MESSAGE_H_
#define SRC_PROCESS_STAGER_DIGESTS_MESSAGE_H_

#include <cstdint>
#include <string>

#include "src/connection/http_client.h"
#include "src/process/stager/model_target.h"

namespace celerypost {

// Returns the body in which a stager sends the digests of a version to another.
std::string EncodeDigests(const ChunkDigests& digests);

// Parses the digests in another stager's response. Fails with kNotFound if it
// does not have them, and with kCorrupt if the body is malformed.
Result<ChunkDigests> DecodeDigests(const std::string& model,
                                   int64_t version,
                                   const Result<HttpResponse>& response);

}  // namespace celerypost

#endif  // SRC_PROCESS_STAGER_DIGESTS_MESSAGE_H_
