#include "src/connection/pending_calls.h"

#include <utility>

namespace celerypost {

void PendingCalls::Send(Http1Client& client,
                        HttpRequest request,
                        std::chrono::milliseconds timeout,
                        std::function<void(Result<HttpResponse>)> done) {
  const uint64_t id = this->next_id++;
  this->calls[id] = client.Fetch(
      std::move(request), timeout,
      [this, id, done = std::move(done)](Result<HttpResponse> response) {
        // Keeps this closure alive while it runs.
        const auto call = std::move(this->calls[id]);
        this->calls.erase(id);
        done(std::move(response));
      });
}

}  // namespace celerypost
