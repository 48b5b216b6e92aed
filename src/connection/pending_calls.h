#ifndef SRC_CONNECTION_PENDING_CALLS_H_
#define SRC_CONNECTION_PENDING_CALLS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "src/connection/http1_client.h"

namespace celerypost {

// Holds the outstanding calls of one owner and cancels them when destroyed.
class PendingCalls {
 public:
  // Like Http1Client::Fetch, but the call is kept here until it is done.
  void Send(Http1Client& client,
            HttpRequest request,
            std::chrono::milliseconds timeout,
            std::function<void(Result<HttpResponse>)> done);

 private:
  uint64_t next_id = 0;
  std::map<uint64_t, std::unique_ptr<HttpCall>> calls;
};

}  // namespace celerypost

#endif  // SRC_CONNECTION_PENDING_CALLS_H_
