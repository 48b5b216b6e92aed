#ifndef SRC_VERSION_JSON_FIELDS_H_
#define SRC_VERSION_JSON_FIELDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "celerypost/verdict.h"
#include "src/version/digest.h"

namespace celerypost {

// Parses a JSON document without exceptions. `what` names the document in the
// error.
Result<nlohmann::json> ParseJson(std::string_view text, std::string_view what);

// Reads the fields of one JSON object. The first error of a document is kept in
// `error` and names the field's path, its value and the accepted range; after
// an error every function returns a default value.
class JsonFields {
 public:
  // `path` is the object's own path, empty for the document.
  JsonFields(const nlohmann::json& object,
             std::string path,
             std::optional<Failure>& error);

  bool Has(std::string_view name) const;
  uint64_t Integer(std::string_view name, uint64_t min, uint64_t max);
  bool Boolean(std::string_view name);
  // 1 to 128 characters out of letters, digits, '.', '_' and '-'.
  std::string Identifier(std::string_view name);
  // Returns the position in `choices`.
  size_t Choice(std::string_view name,
                const std::vector<std::string_view>& choices);
  Digest Sha256(std::string_view name);
  // Never null; a reference to an empty object or array after an error.
  const nlohmann::json& Object(std::string_view name);
  const nlohmann::json& Array(std::string_view name, size_t min, size_t max);
  // The path of a field, for nested readers.
  std::string Path(std::string_view name) const;

  void Fail(std::string_view name,
            std::string_view value,
            std::string_view accepted);

 private:
  const nlohmann::json& Field(std::string_view name, std::string_view accepted);

  const nlohmann::json& object;
  std::string path;
  std::optional<Failure>& error;
};

// A value as it appears in error messages: JSON text, shortened.
std::string ShortJson(const nlohmann::json& value);

}  // namespace celerypost

#endif  // SRC_VERSION_JSON_FIELDS_H_
