#include "src/process/etcd_client.h"

#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "src/version/bounded_json.h"
#include "src/version/checked_number.h"

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

tl::unexpected<Failure> BadField(const char* field, const char* accepted) {
  return BadAnswer(std::string("field \"") + field + "\" is not " + accepted);
}

// Reads a count or revision, which is 0 if it is absent: etcd's JSON gateway
// leaves zeros out and sends 64-bit numbers as strings.
Result<int64_t> NumberField(const Json& object, const char* field) {
  constexpr int64_t kMax = std::numeric_limits<int64_t>::max();
  const auto found = object.find(field);
  if (found == object.end()) {
    return 0;
  }
  std::optional<int64_t> number;
  if (const auto* text = found->get_ptr<const std::string*>()) {
    int64_t value = 0;
    const char* const end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec == std::errc() && parsed.ptr == end && value >= 0) {
      number = value;
    }
  } else {
    number = ToInteger(*found, 0, kMax);
  }
  if (!number) {
    return BadField(field, "a number from 0 to 2^63 - 1");
  }
  return *number;
}

// Reads a boolean, which is false if it is absent.
Result<bool> BooleanField(const Json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end()) {
    return false;
  }
  if (!found->is_boolean()) {
    return BadField(field, "true or false");
  }
  return found->get<bool>();
}

Result<std::string> BytesField(const Json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end()) {
    return std::string();
  }
  if (!found->is_string()) {
    return BadField(field, "a string");
  }
  return DecodeBase64(found->get_ref<const std::string&>());
}

// Reads an array of objects with `parse`, which returns nothing for one to be
// left out. An absent array is empty.
Result<std::vector<KeyValue>> ArrayField(
    const Json& object,
    const char* field,
    Result<std::optional<KeyValue>> (*parse)(const Json&)) {
  std::vector<KeyValue> items;
  const auto found = object.find(field);
  if (found == object.end()) {
    return items;
  }
  if (!found->is_array()) {
    return BadField(field, "an array");
  }
  for (const Json& element : *found) {
    if (!element.is_object()) {
      return BadField(field, "an array of objects");
    }
    auto item = parse(element);
    if (!item) {
      return tl::unexpected<Failure>(item.error());
    }
    if (*item) {
      items.push_back(std::move(**item));
    }
  }
  return items;
}

Result<std::optional<KeyValue>> ParseItem(const Json& object) {
  auto key = BytesField(object, "key");
  auto value = BytesField(object, "value");
  const auto revision = NumberField(object, "mod_revision");
  if (!key || !value) {
    return tl::unexpected<Failure>(key ? value.error() : key.error());
  }
  if (!revision) {
    return tl::unexpected<Failure>(revision.error());
  }
  return KeyValue{std::move(*key), std::move(*value), *revision};
}

// Returns nothing for a deletion: a deleted key is absent from the next range
// read.
Result<std::optional<KeyValue>> ParseEvent(const Json& event) {
  const auto type = event.find("type");
  if (type != event.end() && *type != "PUT" && *type != "DELETE") {
    return BadField("type", "\"PUT\" or \"DELETE\"");
  }
  const auto item = event.find("kv");
  if (item == event.end() || !item->is_object()) {
    return BadField("kv", "an object");
  }
  if (type != event.end() && *type == "DELETE") {
    return std::nullopt;
  }
  return ParseItem(*item);
}

Result<int64_t> HeaderRevision(const Json& answer) {
  const auto header = answer.find("header");
  if (header == answer.end()) {
    return 0;
  }
  if (!header->is_object()) {
    return BadField("header", "an object");
  }
  return NumberField(*header, "revision");
}

Result<KeyValueRange> ParseRange(const std::string& body) {
  const Json answer = ParseBoundedJson(body);
  if (!answer.is_object()) {
    return BadAnswer("range answer is no JSON object");
  }
  const auto revision = HeaderRevision(answer);
  auto items = ArrayField(answer, "kvs", ParseItem);
  if (!revision || !items) {
    return tl::unexpected<Failure>(revision ? items.error() : revision.error());
  }
  KeyValueRange range;
  range.revision = *revision;
  range.items = std::move(*items);
  return range;
}

Result<KeyValueTransactionResult> ParseTransaction(const std::string& body) {
  const Json answer = ParseBoundedJson(body);
  if (!answer.is_object()) {
    return BadAnswer("transaction answer is no JSON object");
  }
  const auto succeeded = BooleanField(answer, "succeeded");
  const auto revision = HeaderRevision(answer);
  if (!succeeded || !revision) {
    return tl::unexpected<Failure>(succeeded ? revision.error()
                                             : succeeded.error());
  }
  return KeyValueTransactionResult{*succeeded, *revision};
}

// Returns the changes that one line of a watch reports.
Result<std::vector<KeyValue>> ParseWatchLine(std::string_view line) {
  const Json answer = ParseBoundedJson(line);
  const auto result = answer.find("result");
  if (!answer.is_object() || result == answer.end() || !result->is_object()) {
    return BadAnswer("a line of the watch has no result");
  }
  const auto canceled = BooleanField(*result, "canceled");
  if (!canceled) {
    return tl::unexpected<Failure>(canceled.error());
  }
  if (*canceled) {
    return BadAnswer("the watch was cancelled");
  }
  return ArrayField(*result, "events", ParseEvent);
}

void LogBadAnswer(Log& log, const Failure& failure) {
  log.Warn("bad_store_answer", failure.message);
}

Json PutRequest(const std::string& key, const std::string& value) {
  return Json{{"request_put",
               {{"key", EncodeBase64(key)}, {"value", EncodeBase64(value)}}}};
}

// One open watch. etcd's JSON gateway streams JSON objects, one per line.
class EtcdWatch : public KeyValueWatch {
 public:
  EtcdWatch(Log& log,
            std::function<void(std::vector<KeyValue>)> on_change,
            std::function<void(Failure)> on_end)
      : log(log), on_change(std::move(on_change)), on_end(std::move(on_end)) {}

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
    auto items = ParseWatchLine(line);
    if (!items) {
      LogBadAnswer(this->log, items.error());
      this->EndWith(std::move(items.error().message));
      return;
    }
    if (!items->empty()) {
      this->on_change(std::move(*items));
    }
  }

  void End(const std::string& message) {
    this->EndWith("key-value service: " + message);
  }

  void EndWith(std::string message) {
    if (!std::exchange(this->ended, true)) {
      this->on_end(Failure{Verdict::kNotRun, ErrorCode::kUnavailable,
                           std::move(message)});
    }
  }

  static constexpr size_t kMaxLineBytes = 16u << 20;

  Log& log;
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
                       Log& log,
                       SocketAddress server,
                       EtcdClientOptions options)
    : options(options),
      loop(loop),
      log(log),
      http(loop, server, HttpClientOptions{}),
      watch_http(loop, server, HttpClientOptions{std::chrono::hours(24), 1}) {}

EtcdClient::~EtcdClient() = default;

template <typename Value>
Result<Value> EtcdClient::Read(const Result<std::string>& body,
                               Result<Value> (*parse)(const std::string&)) {
  if (!body) {
    return tl::unexpected<Failure>(body.error());
  }
  auto value = parse(*body);
  if (!value) {
    LogBadAnswer(this->log, value.error());
  }
  return value;
}

void EtcdClient::Get(
    const std::string& key,
    std::function<void(Result<std::optional<KeyValue>>)> done) {
  ++this->calls.reads;
  this->Post("/v3/kv/range", Json{{"key", EncodeBase64(key)}}.dump(),
             [this, done = std::move(done)](const Result<std::string>& body) {
               auto range = this->Read(body, ParseRange);
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
             [this, done = std::move(done)](const Result<std::string>& body) {
               done(this->Read(body, ParseRange));
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
             [this, done = std::move(done)](const Result<std::string>& body) {
               done(this->Read(body, ParseTransaction));
             });
}

std::unique_ptr<KeyValueWatch> EtcdClient::Watch(
    const KeyRange& range,
    int64_t from_revision,
    std::function<void(std::vector<KeyValue>)> on_change,
    std::function<void(Failure)> on_end) {
  ++this->calls.watches;
  auto watch = std::make_unique<EtcdWatch>(this->log, std::move(on_change),
                                           std::move(on_end));
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
