#ifndef SRC_PROCESS_MEMBERSHIP_CLIENT_H_
#define SRC_PROCESS_MEMBERSHIP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "celerypost/verdict.h"
#include "src/connection/http_client.h"
#include "src/process/state/member.h"

namespace celerypost {

// Parses the JSON body of a response to GET /members (section 10.7 of the
// design page). Fails with kInvalidArgument; the message names the field.
Result<std::vector<PlatformMember>> ParseMembers(std::string_view json);

struct MembershipClientOptions {
  std::chrono::milliseconds period{2000};
  std::chrono::milliseconds timeout{1500};
  size_t max_body_bytes = 4u << 20;
};

// Reads the platform's membership list periodically.
class MembershipClient {
 public:
  // Calls `on_list` with each list and `on_failure` after each failed read,
  // both on the loop.
  MembershipClient(Loop& loop,
                   SocketAddress server,
                   MembershipClientOptions options,
                   std::function<void(std::vector<PlatformMember>)> on_list,
                   std::function<void(Failure)> on_failure);
  ~MembershipClient();

  // Reads the list now and then once per period.
  void Start();

 private:
  void Read();

  const MembershipClientOptions options;
  HttpClient http;
  std::function<void(std::vector<PlatformMember>)> on_list;
  std::function<void(Failure)> on_failure;
  Timer timer;
  std::unique_ptr<HttpCall> call;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_MEMBERSHIP_CLIENT_H_
