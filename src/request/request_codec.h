#ifndef SRC_REQUEST_REQUEST_CODEC_H_
#define SRC_REQUEST_REQUEST_CODEC_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "celerypost/types.h"
#include "src/connection/http.h"

namespace celerypost {

// What a caller says about its request.
struct CallerCall {
  // Identity of this attempt of the caller.
  std::string id;
  // Empty when the caller sent none.
  std::string api_key;
  // How long the caller waits.
  std::optional<std::chrono::milliseconds> deadline;
  // Model requests: tokens of the prompt, and expected tokens of the answer.
  double prompt_tokens = 0;
  double answer_tokens = 0;
};

// What the gateway adds when it sends a request to a target.
struct TargetCall {
  std::chrono::milliseconds deadline_left{0};
  // The target's start that is meant; any other refuses.
  std::string target_id;
  // Weights version that must produce the answer; any when absent.
  std::optional<int64_t> version;
  WorkspaceName workspace;
  // 0 is admitted first.
  std::optional<int> urgency;
  // Last event that the caller has, when a stream goes on at another target.
  std::optional<std::string> last_event;
};

// What a target says about its answer.
struct TargetAnswer {
  int status = 0;
  // Identity of the attempt that the answer belongs to; empty if absent.
  std::string id;
  // The target has not run the request and will not.
  bool not_run = false;
  // The target that answers, if it is not the one that was meant.
  std::string other_target;
  // The body is encoded, so it is not the target's own.
  bool encoded = false;
};

// Translates requests and answers between callers, this program and targets.
class RequestCodec {
 public:
  virtual ~RequestCodec() = default;

  virtual CallerCall ReadRequest(const HttpRequest& request) const = 0;
  virtual HttpRequest MakeTargetRequest(const HttpRequest& request,
                                        const TargetCall& call) const = 0;
  virtual TargetAnswer ReadAnswer(int status,
                                  const HttpHeaders& headers) const = 0;
  // Headers of the target's answer that the caller gets.
  virtual HttpHeaders MakeCallerHeaders(const HttpHeaders& headers) const = 0;
  // Headers of an answer of the gateway's own.
  virtual HttpHeaders MakeOwnHeaders(
      const std::string& id,
      std::optional<std::chrono::milliseconds> retry_after) const = 0;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_REQUEST_CODEC_H_
