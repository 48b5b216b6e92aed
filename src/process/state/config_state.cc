#include "src/process/state/config_state.h"

#include <utility>

#include "celerypost/assert.h"
#include "src/version/bounded_json.h"

namespace celerypost {

Result<uint64_t> DocumentNumberOf(std::string_view key,
                                  std::string_view bytes) {
  const bool is_config = key == kConfigKey;
  if (!is_config && !key.starts_with(kSlotsPrefix)) {
    return NotRun(ErrorCode::kInvalidArgument,
                  "key \"" + std::string(key) + "\" names no document");
  }
  const char* const field = is_config ? "number" : "version";
  const auto json = ParseBoundedJson(bytes);
  if (!json.is_object()) {
    return NotRun(ErrorCode::kInvalidArgument,
                  std::string(key) + " is not a JSON object");
  }
  const auto number = json.find(field);
  if (number == json.end() || !number->is_number_unsigned() ||
      number->get<uint64_t>() == 0) {
    return NotRun(ErrorCode::kInvalidArgument,
                  std::string(key) + ": field \"" + field +
                      "\" must be a whole number above 0");
  }
  return number->get<uint64_t>();
}

bool ConfigState::Offer(const VersionedDocument& document) {
  const auto known = this->by_key.find(document.key);
  if (known != this->by_key.end()) {
    if (document.number < known->second.number) {
      ++this->older_count;
      return false;
    }
    if (document.number == known->second.number) {
      this->bad_count += document.bytes != known->second.bytes ? 1 : 0;
      return false;
    }
  }
  const auto number = DocumentNumberOf(document.key, document.bytes);
  if (!number || *number != document.number) {
    ++this->bad_count;
    return false;
  }
  if (document.key == kConfigKey) {
    auto parsed = ConfigDocument::Parse(document.bytes);
    if (!parsed) {
      ++this->bad_count;
      return false;
    }
    CELERYPOST_ASSERT(parsed->number > this->config.number,
                      "P9: a configuration never reverts");
    this->config = std::move(*parsed);
  }
  CELERYPOST_ASSERT(document.number > this->NumberOf(document.key),
                    "P9: a document's number never goes back");
  this->by_key[document.key] = document;
  return true;
}

const VersionedDocument* ConfigState::Find(std::string_view key) const {
  const auto found = this->by_key.find(key);
  return found == this->by_key.end() ? nullptr : &found->second;
}

uint64_t ConfigState::NumberOf(std::string_view key) const {
  const VersionedDocument* const document = this->Find(key);
  return document == nullptr ? 0 : document->number;
}

}  // namespace celerypost
