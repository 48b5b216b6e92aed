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

// A versioned document: the configuration or the slot table of a service.
struct VersionedDocument {
  std::string key;
  uint64_t number = 0;
  std::string bytes;
};

// Reads the number inside the bytes of a document: "number" of the
// configuration, "version" of a slot table. Fails with kInvalidArgument on
// another key, on bytes that are no JSON object, and without that field.
Result<uint64_t> DocumentNumberOf(std::string_view key, std::string_view bytes);

// The newest known version of each document. A number never goes back.
class ConfigState {
 public:
  // Takes `document` when its number is above the known one and its bytes hold
  // that number; returns whether it was taken.
  bool Offer(const VersionedDocument& document);

  // The configuration; number 0 and no zones before the first.
  const ConfigDocument& Current() const { return this->config; }
  // Number of the configuration; 0 before the first.
  uint64_t number() const { return this->config.number; }

  // Returns null for an unknown key.
  const VersionedDocument* Find(std::string_view key) const;
  uint64_t NumberOf(std::string_view key) const;
  const std::map<std::string, VersionedDocument, std::less<>>& documents()
      const {
    return this->by_key;
  }

  // Offers with a number below the known one; they are reported, never taken.
  uint64_t older_offers() const { return this->older; }
  // Offers whose bytes are malformed, hold another number than they came with,
  // or differ from the known bytes of the same number.
  uint64_t bad_offers() const { return this->bad; }

 private:
  std::map<std::string, VersionedDocument, std::less<>> by_key;
  ConfigDocument config;
  uint64_t older = 0;
  uint64_t bad = 0;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_STATE_CONFIG_STATE_H_
