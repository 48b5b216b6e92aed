#ifndef SRC_PROCESS_ETCD_CLIENT_H_
#define SRC_PROCESS_ETCD_CLIENT_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "src/connection/base64.h"
#include "src/connection/http_client.h"
#include "src/process/key_value_client.h"
#include "src/process/log.h"

namespace celerypost {

struct EtcdClientOptions {
  // A read or transaction without an answer fails after this time.
  std::chrono::milliseconds call_timeout{1000};
  // Largest body of an answer other than a watch's.
  size_t max_body_bytes = 8u << 20;
};

// KeyValueClient over the JSON gateway of etcd v3.
class EtcdClient : public KeyValueClient {
 public:
  // `loop` and `log` must outlive the client. An answer that is not as etcd's
  // protocol says fails its call or ends its watch, and is logged.
  EtcdClient(Loop& loop,
             Log& log,
             SocketAddress server,
             EtcdClientOptions options);
  ~EtcdClient() override;

  void Get(const std::string& key,
           std::function<void(Result<std::optional<KeyValue>>)> done) override;
  void GetRange(const KeyRange& range,
                bool keys_only,
                std::function<void(Result<KeyValueRange>)> done) override;
  void Transact(
      KeyValueTransaction transaction,
      std::function<void(Result<KeyValueTransactionResult>)> done) override;
  std::unique_ptr<KeyValueWatch> Watch(
      const KeyRange& range,
      int64_t from_revision,
      std::function<void(std::vector<KeyValue>)> on_change,
      std::function<void(Failure)> on_end) override;
  KeyValueCalls Calls() const override;

 private:
  struct Pending;

  void Post(std::string path,
            std::string body,
            std::function<void(Result<std::string>)> done);

  // Reads the body of an answer with `parse`, whose failures are logged.
  template <typename Value>
  Result<Value> Read(const Result<std::string>& body,
                     Result<Value> (*parse)(const std::string&));

  const EtcdClientOptions options;
  Loop& loop;
  Log& log;
  HttpClient http;
  // Separate, because a watch may receive nothing for hours and needs a longer
  // timeout.
  HttpClient watch_http;
  std::map<uint64_t, std::unique_ptr<Pending>> pending;
  uint64_t next_call = 1;
  KeyValueCalls calls;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_ETCD_CLIENT_H_
