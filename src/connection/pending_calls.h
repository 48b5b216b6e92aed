#ifndef SRC_CONNECTION_PENDING_CALLS_H_
#define SRC_CONNECTION_PENDING_CALLS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "src/connection/http1_client.h"

namespace celerypost {

// Calls that are under way for one owner; all of them end with this object.
class PendingCalls {
 public:
  // As Http1Client::Fetch, but the call is kept here until it is done.
  void Send(Http1Client& client,
            HttpRequest request,
            std::chrono::milliseconds timeout,
            std::function<void(Result<HttpResponse>)> done);

 private:
  uint64_t next = 0;
  std::map<uint64_t, std::unique_ptr<HttpCall>> calls;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_PENDING_CALLS_H_
