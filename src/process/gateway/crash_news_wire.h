#ifndef SRC_PROCESS_GATEWAY_CRASH_NEWS_WIRE_H_
#define SRC_PROCESS_GATEWAY_CRASH_NEWS_WIRE_H_

#include "messages_types.h"
#include "src/request/crash_guard.h"

namespace celerypost {

// Conversion between CrashNews and its Thrift message.
wire::CrashNews EncodeCrashNews(const CrashNews& news);
CrashNews DecodeCrashNews(const wire::CrashNews& message);
// Adds the news of parts and of whole requests to a beat, each if there is any.
void SetCrashNews(const CrashNews& parts,
                  const CrashNews& requests,
                  wire::Beat& beat);

}  // namespace celerypost

#endif  // SRC_PROCESS_GATEWAY_CRASH_NEWS_WIRE_H_
