#ifndef SRC_PROCESS_DELTA_CODEC_H_
#define SRC_PROCESS_DELTA_CODEC_H_

#include <string>

#include "celerypost/verdict.h"
#include "messages_types.h"
#include "src/process/state/cluster_view.h"

namespace celerypost {

// Encodes documents for another process. Compressed, since a configuration of a
// thousand routes takes hundreds of kilobytes and all processes of a region
// fetch it at the same moment.
std::string EncodeDelta(const DocumentDelta& delta);

// Fails with kCorrupt when `bytes` is not the result of EncodeDelta or holds
// more than 64 MiB.
Result<DocumentDelta> DecodeDelta(const std::string& bytes);

// Convert a report of when the key-value service answered, which beats hold,
// too.
wire::ServiceAnswers EncodeAnswers(const ReportedAnswers& answers);
ReportedAnswers DecodeAnswers(const wire::ServiceAnswers& message);

}  // namespace celerypost

#endif  // SRC_PROCESS_DELTA_CODEC_H_
