#ifndef SRC_PROCESS_STATE_CONFIG_STATE_H_
#define SRC_PROCESS_STATE_CONFIG_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "celerypost/verdict.h"
#include "src/process/state/config_document.h"

namespace celerypost {

// The configuration or the slot table of a service.
struct VersionedDocument {
  std::string key;
  uint64_t number = 0;
  std::string bytes;
};

// Returns the number in the bytes of a document: "number" of the configuration,
// "version" of a slot table. Fails with kInvalidArgument for another key, for
// bytes that are not a JSON object, and when the field is missing or not a
// whole number above 0.
Result<uint64_t> DocumentNumberOf(std::string_view key, std::string_view bytes);

// Holds the newest known version of each document. The number of a document
// never decreases.
class ConfigState {
 public:
  // Stores `document` if its number is above the known one and its bytes hold
  // the same number. Returns whether it was stored.
  bool Offer(const VersionedDocument& document);

  // The configuration; with number 0 and no zones before the first.
  const ConfigDocument& Current() const { return this->config; }
  // Number of the configuration; 0 before the first.
  uint64_t number() const { return this->config.number; }

  // Returns null for an unknown key.
  const VersionedDocument* Find(std::string_view key) const;
  // Returns 0 for an unknown key.
  uint64_t NumberOf(std::string_view key) const;
  const std::map<std::string, VersionedDocument, std::less<>>& documents()
      const {
    return this->by_key;
  }

  // Count of offers that were rejected because their number was below the known
  // one.
  uint64_t older_offers() const { return this->older_count; }
  // Count of offers that were rejected because their bytes are malformed, hold
  // another number than the document, or differ from the known bytes of the
  // same number.
  uint64_t bad_offers() const { return this->bad_count; }

 private:
  std::map<std::string, VersionedDocument, std::less<>> by_key;
  ConfigDocument config;
  uint64_t older_count = 0;
  uint64_t bad_count = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_CONFIG_STATE_H_
