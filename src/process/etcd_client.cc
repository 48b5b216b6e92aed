#include "src/process/etcd_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "src/version/bounded_json.h"

namespace celerypost {
namespace {

using Json = nlohmann::json;

HttpRequest JsonPost(std::string path, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.path = std::move(path);
  request.headers = {{"content-type", "application/json"}};
  request.body = std::move(body);
  return request;
}

tl::unexpected<Failure> BadAnswer(const std::string& what) {
  return tl::unexpected<Failure>(Failure{Verdict::kMayHaveRun,
                                         ErrorCode::kUnavailable,
                                         "key-value service: " + what});
}

// etcd's JSON gateway sends 64-bit numbers as strings and leaves zeros out.
int64_t NumberField(const Json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end()) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<int64_t>();
  }
  return found->is_string()
             ? std::strtoll(found->get_ref<const std::string&>().c_str(),
                            nullptr, 10)
             : 0;
}

Result<std::string> BytesField(const Json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end()) {
    return std::string();
  }
  if (!found->is_string()) {
    return BadAnswer(std::string("field \"") + field + "\" is no string");
  }
  return DecodeBase64(found->get_ref<const std::string&>());
}

Result<KeyValue> ParseItem(const Json& object) {
  if (!object.is_object()) {
    return BadAnswer("an item is no object");
  }
  auto key = BytesField(object, "key");
  auto value = BytesField(object, "value");
  if (!key || !value) {
    return tl::unexpected(key ? value.error() : key.error());
  }
  return KeyValue{std::move(*key), std::move(*value),
                  NumberField(object, "mod_revision")};
}

int64_t HeaderRevision(const Json& answer) {
  const auto header = answer.find("header");
  return header != answer.end() && header->is_object()
             ? NumberField(*header, "revision")
             : 0;
}

Result<KeyValueRange> ParseRange(const std::string& body) {
  const Json answer = ParseBoundedJson(body);
  if (!answer.is_object()) {
    return BadAnswer("range answer is no JSON object");
  }
  KeyValueRange range;
  range.revision = HeaderRevision(answer);
  const auto items = answer.find("kvs");
  if (items == answer.end()) {
    return range;
  }
  for (const Json& object : *items) {
    auto item = ParseItem(object);
    if (!item) {
      return tl::unexpected(item.error());
    }
    range.items.push_back(std::move(*item));
  }
  return range;
}

Result<KeyValueTransactionResult> ParseTransaction(const std::string& body) {
  const Json answer = ParseBoundedJson(body);
  if (!answer.is_object()) {
    return BadAnswer("transaction answer is no JSON object");
  }
  const auto succeeded = answer.find("succeeded");
  return KeyValueTransactionResult{succeeded != answer.end() &&
                                       succeeded->is_boolean() &&
                                       succeeded->get<bool>(),
                                   HeaderRevision(answer)};
}

Json PutRequest(const std::string& key, const std::string& value) {
  return Json{{"request_put",
               {{"key", EncodeBase64(key)}, {"value", EncodeBase64(value)}}}};
}

// One open watch. etcd's JSON gateway streams JSON objects, one per line.
class EtcdWatch : public KeyValueWatch {
 public:
  EtcdWatch(std::function<void(std::vector<KeyValue>)> on_change,
            std::function<void(Failure)> on_end)
      : on_change(std::move(on_change)), on_end(std::move(on_end)) {}

  void Open(HttpClient& http, HttpRequest request) {
    HttpResponseCallbacks callbacks;
    callbacks.on_head = [this](const HttpResponseHead& head) {
      this->status = head.status;
    };
    callbacks.on_body = [this](std::string_view bytes) {
      this->AddBytes(bytes);
    };
    callbacks.on_end = [this] { this->End("the watch ended"); };
    callbacks.on_failure = [this](const Failure& failure) {
      this->End(failure.message);
    };
    this->call = http.Send(std::move(request), std::move(callbacks));
  }

 private:
  void AddBytes(std::string_view bytes) {
    if (this->ended) {
      return;
    }
    if (this->status != 200) {
      this->End("watch answered with status " + std::to_string(this->status));
      return;
    }
    this->buffer.append(bytes);
    size_t first = 0;
    for (size_t end = this->buffer.find('\n');
         end != std::string::npos && !this->ended;
         end = this->buffer.find('\n', first)) {
      this->ParseLine(
          std::string_view(this->buffer).substr(first, end - first));
      first = end + 1;
    }
    this->buffer.erase(0, first);
    if (this->buffer.size() > kMaxLineBytes) {
      this->End("a watch event is larger than 16 MiB");
    }
  }

  void ParseLine(std::string_view line) {
    if (line.empty()) {
      return;
    }
    const Json answer = ParseBoundedJson(line);
    const bool valid = answer.is_object() && answer.contains("result") &&
                       answer["result"].is_object();
    if (!valid || answer["result"].value("canceled", false)) {
      this->End("the watch was cancelled or is malformed");
      return;
    }
    std::vector<KeyValue> items;
    const Json events = answer["result"].value("events", Json::array());
    for (const Json& event : events) {
      // Deletions are not reported; a deleted key is absent from the next range
      // read.
      if (!event.is_object() || event.value("type", "PUT") == "DELETE" ||
          !event.contains("kv")) {
        continue;
      }
      auto item = ParseItem(event["kv"]);
      if (!item) {
        this->End(item.error().message);
        return;
      }
      items.push_back(std::move(*item));
    }
    if (!items.empty()) {
      this->on_change(std::move(items));
    }
  }

  void End(const std::string& message) {
    if (!std::exchange(this->ended, true)) {
      this->on_end(Failure{Verdict::kNotRun, ErrorCode::kUnavailable,
                           "key-value service: " + message});
    }
  }

  static constexpr size_t kMaxLineBytes = 16u << 20;

  std::function<void(std::vector<KeyValue>)> on_change;
  std::function<void(Failure)> on_end;
  std::string buffer;
  int status = 0;
  bool ended = false;
  std::unique_ptr<HttpCall> call;
};

}  // namespace

// A call in progress and the timer that limits its duration: HttpClient limits
// only the time without data on a connection.
struct EtcdClient::Pending {
  std::unique_ptr<HttpCall> call;
  std::unique_ptr<Timer> timer;
};

EtcdClient::EtcdClient(Loop& loop,
                       SocketAddress server,
                       EtcdClientOptions options)
    : options(options),
      loop(loop),
      http(loop, server, HttpClientOptions{}),
      watch_http(loop, server, HttpClientOptions{std::chrono::hours(24), 1}) {}

EtcdClient::~EtcdClient() = default;

void EtcdClient::Get(
    const std::string& key,
    std::function<void(Result<std::optional<KeyValue>>)> done) {
  ++this->calls.reads;
  this->Post("/v3/kv/range", Json{{"key", EncodeBase64(key)}}.dump(),
             [done = std::move(done)](const Result<std::string>& body) {
               auto range = body.and_then(ParseRange);
               if (!range) {
                 done(tl::unexpected(range.error()));
               } else if (range->items.empty()) {
                 done(std::optional<KeyValue>());
               } else {
                 done(std::optional<KeyValue>(std::move(range->items[0])));
               }
             });
}

void EtcdClient::GetRange(const KeyRange& range,
                          bool keys_only,
                          std::function<void(Result<KeyValueRange>)> done) {
  ++this->calls.reads;
  this->Post("/v3/kv/range",
             Json{{"key", EncodeBase64(range.first)},
                  {"range_end", EncodeBase64(range.end)},
                  {"keys_only", keys_only}}
                 .dump(),
             [done = std::move(done)](const Result<std::string>& body) {
               done(body.and_then(ParseRange));
             });
}

void EtcdClient::Transact(
    KeyValueTransaction transaction,
    std::function<void(Result<KeyValueTransactionResult>)> done) {
  ++this->calls.writes;
  Json compare = Json::array();
  if (!transaction.unconditional) {
    const std::string key = EncodeBase64(transaction.key);
    // A key that does not exist has creation revision 0.
    compare.push_back(
        transaction.expected_revision == 0
            ? Json{{"key", key},
                   {"target", "CREATE"},
                   {"result", "EQUAL"},
                   {"create_revision", "0"}}
            : Json{{"key", key},
                   {"target", "MOD"},
                   {"result", "EQUAL"},
                   {"mod_revision",
                    std::to_string(transaction.expected_revision)}});
  }
  Json puts = Json::array({PutRequest(transaction.key, transaction.value)});
  for (const auto& [key, value] : transaction.extra_puts) {
    puts.push_back(PutRequest(key, value));
  }
  this->Post("/v3/kv/txn",
             Json{{"compare", std::move(compare)}, {"success", std::move(puts)}}
                 .dump(),
             [done = std::move(done)](const Result<std::string>& body) {
               done(body.and_then(ParseTransaction));
             });
}

std::unique_ptr<KeyValueWatch> EtcdClient::Watch(
    const KeyRange& range,
    int64_t from_revision,
    std::function<void(std::vector<KeyValue>)> on_change,
    std::function<void(Failure)> on_end) {
  ++this->calls.watches;
  auto watch =
      std::make_unique<EtcdWatch>(std::move(on_change), std::move(on_end));
  watch->Open(
      this->watch_http,
      JsonPost("/v3/watch",
               Json{{"create_request",
                     {{"key", EncodeBase64(range.first)},
                      {"range_end", EncodeBase64(range.end)},
                      {"start_revision", std::to_string(from_revision)}}}}
                   .dump()));
  return watch;
}

KeyValueCalls EtcdClient::Calls() const {
  return this->calls;
}

void EtcdClient::Post(std::string path,
                      std::string body,
                      std::function<void(Result<std::string>)> done) {
  const uint64_t id = this->next_call++;
  auto& entry = this->pending[id];
  entry = std::make_unique<Pending>();
  const auto finish = [this, id,
                       done = std::move(done)](Result<std::string> result) {
    // Keeps the call alive until its callback has returned.
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
      return;
    }
    const std::shared_ptr<Pending> finished(std::move(found->second));
    this->pending.erase(found);
    this->loop.Post([finished] {});
    done(std::move(result));
  };
  entry->timer = std::make_unique<Timer>(
      this->loop, [finish] { finish(BadAnswer("no answer in time")); });
  entry->timer->StartOnce(this->options.call_timeout);
  entry->call = this->http.Fetch(
      JsonPost(std::move(path), std::move(body)), this->options.max_body_bytes,
      [finish](Result<HttpResponse> response) {
        if (!response) {
          Failure failure = std::move(response.error());
          failure.message = "key-value service: " + failure.message;
          finish(tl::unexpected(std::move(failure)));
        } else if (response->status != 200) {
          finish(BadAnswer("status " + std::to_string(response->status)));
        } else {
          finish(std::move(response->body));
        }
      });
}

}  // namespace celerypost
