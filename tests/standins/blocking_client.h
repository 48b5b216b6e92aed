#ifndef TESTS_STANDINS_BLOCKING_CLIENT_H_
#define TESTS_STANDINS_BLOCKING_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "src/connection/http_client.h"

namespace celerypost::standins {

// Sends a request to a loopback port and runs the loop until the answer is
// complete. Fails with kDeadlineExceeded after `limit`.
Result<HttpResponse> Call(
    Loop& loop,
    uint16_t port,
    HttpRequest request,
    std::chrono::milliseconds limit = std::chrono::seconds(5));

// Sends a POST request with `body`; otherwise as Call.
Result<HttpResponse> Post(Loop& loop,
                          uint16_t port,
                          const std::string& path,
                          const std::string& body);

}  // namespace celerypost::standins

#endif  // TESTS_STANDINS_BLOCKING_CLIENT_H_
