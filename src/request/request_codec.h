#ifndef SRC_REQUEST_REQUEST_CODEC_H_
#define SRC_REQUEST_REQUEST_CODEC_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "celerypost/types.h"
#include "src/connection/http.h"

namespace celerypost {

// Metadata of a caller's request.
struct CallerRequestInfo {
  // Id of this attempt, chosen by the caller.
  std::string id;
  // Empty when the caller sent none.
  std::string api_key;
  // Time that the caller waits for the answer.
  std::optional<std::chrono::milliseconds> deadline;
  // For model requests: number of tokens of the prompt, and expected number of
  // tokens of the answer.
  double prompt_tokens = 0;
  double answer_tokens = 0;
  // The model that is to answer; empty for other requests.
  std::string model;
  // IDs of the parts of the prompt that other requests may share, in order: all
  // parts but the last, which belongs to this request or its session.
  std::vector<std::string> shared_parts;
};

// Metadata that the gateway adds to a request that it sends to a target.
struct TargetRequestInfo {
  std::chrono::milliseconds deadline_left{0};
  // Identity of the target process that the request is meant for; any other
  // process refuses it.
  std::string target_id;
  // Weights version that must produce the answer; any version when absent.
  std::optional<int64_t> version;
  WorkspaceName workspace;
  // 0 is admitted first.
  std::optional<int> urgency;
  // Id of the last event that the caller has received, when another target
  // resumes a stream.
  std::optional<std::string> last_event_id;
};

// Metadata of a target's answer.
struct TargetAnswer {
  int status = 0;
  // Id of the attempt that the answer belongs to; empty if absent.
  std::string id;
  // The target has not run the request and will not.
  bool not_run = false;
  // The status means "not run" to callers, but the target does not say so.
  bool unconfirmed_refusal = false;
  // A success without the target's signature, which callers do not accept.
  bool unsigned_success = false;
  // Identity of the target process that answered, if it is not the one that the
  // request was meant for.
  std::string other_target;
  // The target leaves: it takes no new requests for long.
  bool leaving = false;
  // The target, which has refused the request, wants none from this process for
  // this long.
  std::optional<std::chrono::milliseconds> declines_for;
  // Name of a header that could not be read; empty if there is none.
  std::string_view malformed_header;
  // The body has a content encoding, so it is not the body that the target
  // produced.
  bool encoded = false;
};

// Translates the headers of requests and answers between callers, the gateway
// and targets.
class RequestCodec {
 public:
  virtual ~RequestCodec() = default;

  virtual CallerRequestInfo ReadRequest(const HttpRequest& request) const = 0;
  virtual HttpRequest MakeTargetRequest(
      const HttpRequest& request,
      const TargetRequestInfo& call) const = 0;
  virtual TargetAnswer ReadAnswer(int status,
                                  const HttpHeaders& headers) const = 0;
  // Returns the headers of the caller's response to a target's answer.
  virtual HttpHeaders MakeCallerHeaders(const HttpHeaders& headers) const = 0;
  // Returns the headers of a response that the gateway generates itself.
  virtual HttpHeaders MakeOwnHeaders(
      const std::string& id,
      std::optional<std::chrono::milliseconds> retry_after) const = 0;
};

}  // namespace celerypost

#endif  // SRC_REQUEST_REQUEST_CODEC_H_
