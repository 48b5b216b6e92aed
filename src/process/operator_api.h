#ifndef SRC_PROCESS_OPERATOR_API_H_
#define SRC_PROCESS_OPERATOR_API_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "celerypost/verdict.h"
#include "src/connection/http_server.h"
#include "src/process/commit_task.h"
#include "src/process/gossip_task.h"

namespace celerypost {

struct OperatorApiOptions {
  // Checks the Authorization header of a request; fails with
  // kUnauthenticated.
  std::function<Result<void>(const HttpRequest&)> authenticate;
  // Adds the members of other modules, such as roll-outs, to the status; may be
  // empty.
  std::function<void(nlohmann::json& status)> add_status;
  // Called for each change with its outcome, for the local audit trail; may be
  // empty.
  std::function<void(const ChangeRequest&, const CommitResult&)> on_change;
};

// HTTP API for operators: changes, status and audit trail (section 10.5 of the
// design page).
class OperatorApi {
 public:
  OperatorApi(OperatorApiOptions options,
              CommitTask& commits,
              GossipTask& gossip);

  // Handles one request. Has the signature of HttpHandler.
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);

 private:
  void PostChange(const HttpRequest& request,
                  const std::shared_ptr<HttpResponder>& responder);
  void GetChange(std::string_view id,
                 const std::shared_ptr<HttpResponder>& responder);
  void GetStatus(const std::shared_ptr<HttpResponder>& responder);
  void GetAudit(const HttpRequest& request,
                const std::shared_ptr<HttpResponder>& responder);

  const OperatorApiOptions options;
  CommitTask& commits;
  GossipTask& gossip;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_OPERATOR_API_H_
