#include "review/standins-2/platform_store.h"

#include <chrono>
#include <cstdlib>
#include <optional>

namespace review {

namespace {

constexpr int kNotFound = 404;
constexpr int kConditionFailed = 412;
// The page names about 500 items.
constexpr size_t kMaxItems = 500;

std::string EncodeBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<uint8_t>(bytes[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      text.push_back(i + k <= bytes.size() ? kDigits[group >> (18 - 6 * k) & 63]
                                           : '=');
    }
  }
  return text;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

int64_t ToNumber(const std::string& text) {
  return std::strtoll(text.c_str(), nullptr, 10);
}

}  // namespace

void PlatformStore::CutWaitingWatches() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->cut_round;
  this->changed.notify_all();
}

int PlatformStore::cuts() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->cut_count;
}

void PlatformStore::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->PutLocked(key, EncodeBase64(value), 0);
}

void PlatformStore::Delete(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->DeleteLocked(key);
}

void PlatformStore::PutLocked(const std::string& key,
                              Json value,
                              int64_t lease) {
  ++this->revision;
  const auto known = this->items.find(key);
  const Json created = known == this->items.end() ? Json(this->revision)
                                                  : known->second["created_at"];
  const Json item = {{"key", key},
                     {"value", std::move(value)},
                     {"revision", this->revision},
                     {"created_at", created},
                     {"lease", lease}};
  this->items[key] = item;
  this->events.emplace_back(this->revision, item);
  this->changed.notify_all();
}

void PlatformStore::DeleteLocked(const std::string& key) {
  if (this->items.erase(key) == 0) {
    return;
  }
  ++this->revision;
  this->events.emplace_back(
      this->revision,
      Json{{"key", key}, {"revision", this->revision}, {"deleted", true}});
  this->changed.notify_all();
}

void PlatformStore::Handle(Connection& connection) {
  Message request;
  while (connection.Read(request)) {
    const Answer answer = this->Call(request);
    if (answer.cut ||
        !connection.Write(MakeResponse(
            answer.status, "Content-Type: application/json\r\nStore-Era: 1\r\n",
            answer.body.dump()))) {
      return;
    }
  }
}

PlatformStore::Answer PlatformStore::Call(const Message& request) {
  std::map<std::string, std::string> parameters;
  const std::string path = ParseTarget(request.Target(), parameters);
  if (path == "/kv-watch") {
    return this->Watch(parameters["prefix"], ToNumber(parameters["after"]),
                       static_cast<double>(ToNumber(parameters["wait_ms"])));
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (path == "/kv-key") {
    const auto found = this->items.find(parameters["key"]);
    if (found == this->items.end()) {
      return {kNotFound};
    }
    Json item = found->second;
    item["at"] = this->revision;
    return {200, std::move(item)};
  }
  if (path == "/kv-range") {
    return this->Range(parameters["prefix"], parameters["after"]);
  }
  if (path == "/kv-txn") {
    return this->Transact(Json::parse(request.body));
  }
  if (path == "/kv-lease") {
    this->leases.insert(++this->last_lease);
    return {200,
            {{"lease", this->last_lease},
             {"ttl_ms", Json::parse(request.body)["ttl_ms"]}}};
  }
  if (StartsWith(path, "/kv-keep/")) {
    return {this->leases.contains(ToNumber(path.substr(9))) ? 200 : kNotFound};
  }
  if (StartsWith(path, "/kv-lease-end/")) {
    return this->EndLease(ToNumber(path.substr(14)));
  }
  return {kNotFound};
}

PlatformStore::Answer PlatformStore::Range(const std::string& prefix,
                                           const std::string& after) {
  Json listed = Json::array();
  bool more = false;
  for (auto it = this->items.upper_bound(after); it != this->items.end();
       ++it) {
    if (!StartsWith(it->first, prefix)) {
      continue;
    }
    if (listed.size() == kMaxItems) {
      more = true;
      break;
    }
    listed.push_back(it->second);
  }
  return {200,
          {{"items", std::move(listed)},
           {"has_more", more},
           {"at", this->revision}}};
}

PlatformStore::Answer PlatformStore::Watch(const std::string& prefix,
                                           int64_t after,
                                           double wait_ms) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const double began = NowMs();
  const int began_in = this->cut_round;
  while (true) {
    if (this->cut_round != began_in) {
      ++this->cut_count;
      return {.cut = true};
    }
    Json found = Json::array();
    for (const auto& [at, event] : this->events) {
      if (at > after && StartsWith(event["key"].get<std::string>(), prefix)) {
        found.push_back(event);
      }
    }
    const double left = wait_ms - (NowMs() - began);
    if (!found.empty() || left <= 0) {
      return {200, {{"events", std::move(found)}, {"at", this->revision}}};
    }
    this->changed.wait_for(lock,
                           std::chrono::duration<double, std::milli>(left + 1));
  }
}

PlatformStore::Answer PlatformStore::Transact(const Json& transaction) {
  for (const Json& row : transaction["expected"]) {
    const auto found = this->items.find(row["key"].get<std::string>());
    const Json held =
        found == this->items.end() ? Json(0) : found->second["revision"];
    if (held != row["revision"]) {
      return {kConditionFailed, Json::object({{"items", Json::array()}})};
    }
  }
  for (const Json& row : transaction["writes"]) {
    const auto lease = row["lease"].get<int64_t>();
    if (lease != 0 && !this->leases.contains(lease)) {
      return {kNotFound};
    }
  }
  for (const Json& row : transaction["writes"]) {
    this->PutLocked(row["key"].get<std::string>(), row["value"],
                    row["lease"].get<int64_t>());
  }
  for (const Json& key : transaction["delete"]) {
    this->DeleteLocked(key.get<std::string>());
  }
  return {200, Json::object({{"revision", this->revision}})};
}

PlatformStore::Answer PlatformStore::EndLease(int64_t lease) {
  this->leases.erase(lease);
  std::vector<std::string> ended;
  for (const auto& [key, item] : this->items) {
    if (item["lease"] == lease) {
      ended.push_back(key);
    }
  }
  for (const std::string& key : ended) {
    this->DeleteLocked(key);
  }
  return {200};
}

}  // namespace review
