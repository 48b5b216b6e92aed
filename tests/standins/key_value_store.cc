#include "tests/standins/key_value_store.h"

#include <stdexcept>
#include <utility>

#include "tests/standins/encoding.h"

namespace celerypost::standins {

namespace {

using Json = nlohmann::json;

// etcd rejects larger requests (--max-request-bytes); the platform's bound on a
// value is 1 MB.
constexpr size_t kMaxValueBytes = 1 << 20;

// Field `name`, or its lowerCamelCase form, which the JSON mapping also allows.
const Json* FindField(const Json& object, std::string name) {
  if (const auto it = object.find(name); it != object.end()) {
    return &*it;
  }
  for (size_t i = name.find('_'); i != std::string::npos; i = name.find('_')) {
    name.erase(i, 1);
    name[i] = static_cast<char>(name[i] - 'a' + 'A');
  }
  const auto it = object.find(name);
  return it == object.end() ? nullptr : &*it;
}

int64_t Number(const Json& object, const std::string& name) {
  const Json* field = FindField(object, name);
  if (field == nullptr) {
    return 0;
  }
  return field->is_string() ? std::stoll(field->get<std::string>())
                            : field->get<int64_t>();
}

std::string Bytes(const Json& object, const std::string& name) {
  const Json* field = FindField(object, name);
  return field == nullptr ? "" : DecodeBase64(field->get<std::string>());
}

}  // namespace

KeyValueStore::KeyValueStore(
    std::function<void(const std::string&, const Json&)> on_event)
    : on_event(std::move(on_event)) {}

Json KeyValueStore::Header() const {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(this->revision)},
          {"raft_term", "1"}};
}

Json KeyValueStore::ToJson(const std::string& key, const Entry& entry) {
  Json described = {{"key", EncodeBase64(key)},
                    {"create_revision", std::to_string(entry.create_revision)},
                    {"mod_revision", std::to_string(entry.mod_revision)},
                    {"version", std::to_string(entry.version)}};
  if (!entry.value.empty()) {
    described["value"] = EncodeBase64(entry.value);
  }
  if (entry.lease != 0) {
    described["lease"] = std::to_string(entry.lease);
  }
  return described;
}

bool KeyValueStore::InRange(const Json& request, const std::string& key) {
  const std::string first = Bytes(request, "key");
  if (FindField(request, "range_end") == nullptr) {
    return key == first;
  }
  const std::string end = Bytes(request, "range_end");
  return key >= first && (end == std::string(1, '\0') || key < end);
}

Json KeyValueStore::Range(const Json& request) const {
  Json answer = {{"header", this->Header()}};
  int64_t count = 0;
  for (const auto& [key, entry] : this->entries) {
    if (InRange(request, key)) {
      answer["kvs"].push_back(ToJson(key, entry));
      ++count;
    }
  }
  if (count > 0) {
    answer["count"] = std::to_string(count);
  }
  return answer;
}

void KeyValueStore::Record(const std::string& key, Json event) {
  this->history.push_back({this->revision, key, event});
  this->on_event(key, event);
}

void KeyValueStore::Store(const std::string& key,
                          const std::string& value,
                          int64_t lease) {
  if (value.size() > kMaxValueBytes) {
    throw std::invalid_argument("etcdserver: request is too large");
  }
  if (lease != 0 && !this->leases.contains(lease)) {
    throw std::invalid_argument("etcdserver: requested lease not found");
  }
  Entry& entry = this->entries[key];
  entry.value = value;
  entry.create_revision =
      entry.version == 0 ? this->revision : entry.create_revision;
  entry.mod_revision = this->revision;
  ++entry.version;
  entry.lease = lease;
  this->Record(key, {{"kv", ToJson(key, entry)}});
}

int64_t KeyValueStore::Erase(const Json& range) {
  int64_t erased = 0;
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    if (!InRange(range, it->first)) {
      ++it;
      continue;
    }
    const std::string key = it->first;
    it = this->entries.erase(it);
    ++erased;
    this->Record(key, {{"type", "DELETE"},
                       {"kv",
                        {{"key", EncodeBase64(key)},
                         {"mod_revision", std::to_string(this->revision)}}}});
  }
  return erased;
}

Json KeyValueStore::Put(const Json& request) {
  ++this->revision;
  this->Store(Bytes(request, "key"), Bytes(request, "value"),
              Number(request, "lease"));
  return {{"header", this->Header()}};
}

Json KeyValueStore::DeleteRange(const Json& request) {
  ++this->revision;
  const int64_t erased = this->Erase(request);
  Json answer = {{"header", this->Header()}};
  if (erased > 0) {
    answer["deleted"] = std::to_string(erased);
  }
  return answer;
}

bool KeyValueStore::Satisfies(const Json& compare) const {
  const auto it = this->entries.find(Bytes(compare, "key"));
  const Entry entry = it == this->entries.end() ? Entry{} : it->second;
  const std::string target = compare.value("target", "VERSION");
  int order = 0;
  if (target == "VALUE") {
    order = entry.value.compare(Bytes(compare, "value"));
  } else {
    const bool by_version = target == "VERSION";
    const bool by_creation = target == "CREATE";
    const int64_t actual = by_version    ? entry.version
                           : by_creation ? entry.create_revision
                                         : entry.mod_revision;
    const int64_t wanted = Number(compare, by_version    ? "version"
                                           : by_creation ? "create_revision"
                                                         : "mod_revision");
    order = actual < wanted ? -1 : actual > wanted ? 1 : 0;
  }
  const std::string result = compare.value("result", "EQUAL");
  return result == "GREATER"     ? order > 0
         : result == "LESS"      ? order < 0
         : result == "NOT_EQUAL" ? order != 0
                                 : order == 0;
}

Json KeyValueStore::RunOperation(const Json& operation) {
  if (const Json* put = FindField(operation, "request_put")) {
    this->Store(Bytes(*put, "key"), Bytes(*put, "value"),
                Number(*put, "lease"));
    return {{"response_put", {{"header", this->Header()}}}};
  }
  if (const Json* range = FindField(operation, "request_range")) {
    return {{"response_range", this->Range(*range)}};
  }
  if (const Json* erase = FindField(operation, "request_delete_range")) {
    return {{"response_delete_range",
             {{"header", this->Header()},
              {"deleted", std::to_string(this->Erase(*erase))}}}};
  }
  throw std::invalid_argument("unknown operation in txn");
}

Json KeyValueStore::Transact(const Json& request) {
  bool satisfied = true;
  for (const Json& compare : request.value("compare", Json::array())) {
    satisfied = satisfied && this->Satisfies(compare);
  }
  const Json operations =
      request.value(satisfied ? "success" : "failure", Json::array());
  for (const Json& operation : operations) {
    if (FindField(operation, "request_range") == nullptr) {
      ++this->revision;
      break;
    }
  }
  Json responses = Json::array();
  for (const Json& operation : operations) {
    responses.push_back(this->RunOperation(operation));
  }
  Json answer = {{"header", this->Header()}};
  if (satisfied) {
    answer["succeeded"] = true;
  }
  if (!responses.empty()) {
    answer["responses"] = responses;
  }
  return answer;
}

Json KeyValueStore::GrantLease(const Json& request, int64_t now_ms) {
  int64_t id = Number(request, "ID");
  id = id == 0 ? this->next_lease++ : id;
  const int64_t ttl = Number(request, "TTL");
  this->leases[id] = {ttl, now_ms + ttl * 1000};
  return {{"header", this->Header()},
          {"ID", std::to_string(id)},
          {"TTL", std::to_string(ttl)}};
}

Json KeyValueStore::KeepLeaseAlive(const Json& request, int64_t now_ms) {
  this->ExpireLeases(now_ms);
  const int64_t id = Number(request, "ID");
  Json result = {{"header", this->Header()}, {"ID", std::to_string(id)}};
  if (const auto it = this->leases.find(id); it != this->leases.end()) {
    it->second.expires_ms = now_ms + it->second.ttl_s * 1000;
    result["TTL"] = std::to_string(it->second.ttl_s);
  }
  return {{"result", result}};
}

Json KeyValueStore::RevokeLease(const Json& request) {
  this->RemoveLease(Number(request, "ID"));
  return {{"header", this->Header()}};
}

void KeyValueStore::RemoveLease(int64_t id) {
  this->leases.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : this->entries) {
    if (entry.lease == id) {
      keys.push_back(key);
    }
  }
  this->revision += keys.empty() ? 0 : 1;
  for (const std::string& key : keys) {
    this->Erase({{"key", EncodeBase64(key)}});
  }
}

void KeyValueStore::ExpireLeases(int64_t now_ms) {
  std::vector<int64_t> expired;
  for (const auto& [id, lease] : this->leases) {
    if (lease.expires_ms <= now_ms) {
      expired.push_back(id);
    }
  }
  for (const int64_t id : expired) {
    this->RemoveLease(id);
  }
}

Json KeyValueStore::History(const Json& request, int64_t revision) const {
  Json events = Json::array();
  for (const PastEvent& past : this->history) {
    if (past.revision >= revision && InRange(request, past.key)) {
      events.push_back(past.event);
    }
  }
  return events;
}

}  // namespace celerypost::standins
