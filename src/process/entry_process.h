#ifndef SRC_PROCESS_ENTRY_PROCESS_H_
#define SRC_PROCESS_ENTRY_PROCESS_H_

#include <memory>

#include <nlohmann/json.hpp>

#include "src/connection/http_server.h"
#include "src/process/commit_task.h"
#include "src/process/drain_policy.h"
#include "src/process/etcd_client.h"
#include "src/process/operator_api.h"
#include "src/process/request_signature.h"
#include "src/process/runtime.h"
#include "src/process/service_directory.h"
#include "src/process/slot_table_writer.h"
#include "src/process/state/entry_list.h"
#include "src/request/task/forwarder.h"

namespace celerypost {

// The process of `celerypost entry`: accepts requests of callers, forwards them
// to agents, and serves the operator API.
class EntryProcess {
 public:
  // Fails when an address is in use or the audit file cannot be opened.
  static Result<std::unique_ptr<EntryProcess>> Make(
      const EntrySettings& settings);

  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  // Returns after SIGTERM or SIGINT, once the requests in flight have ended.
  void Run();

 private:
  EntryProcess(const EntrySettings& settings, std::unique_ptr<Runtime> runtime);

  Result<void> Start();
  void OnCallerRequest(HttpRequest request,
                       const std::shared_ptr<HttpResponder>& responder);
  void SendEntryList(const HttpRequest& request,
                     const std::shared_ptr<HttpResponder>& responder);
  void OnDocument(const VersionedDocument& document);
  void OnMembersChanged();
  void AddStatus(nlohmann::json& status) const;
  void OnTick();
  void Drain();

  const EntrySettings settings;
  std::unique_ptr<Runtime> runtime;
  EtcdClient key_value;
  std::unique_ptr<ServiceDirectory> services;
  std::unique_ptr<RetryBudget> retry_budget;
  std::unique_ptr<ForwardCounters> counters;
  std::unique_ptr<ForwardContext> context;
  std::unique_ptr<Forwarder> forwarder;
  std::unique_ptr<EntryList> entry_list;
  std::unique_ptr<CommitTask> commit_task;
  std::unique_ptr<OperatorApi> operator_api;
  std::unique_ptr<SlotTableWriter> slot_writer;
  RequestVerifier verifier;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> operator_server;
  std::unique_ptr<Timer> tick;
  std::unique_ptr<Timer> drain_timer;
  bool leaving = false;
  DrainPolicy drain_policy;
  TimePoint leave_not_before;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_ENTRY_PROCESS_H_
