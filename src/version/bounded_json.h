#ifndef SRC_VERSION_BOUNDED_JSON_H_
#define SRC_VERSION_BOUNDED_JSON_H_

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace celerypost {

// Deepest nesting of arrays and objects in JSON that another process or a user
// wrote. Printing, copying and comparing a value recurse once per level, so
// deeper text must not become a value.
inline constexpr size_t kMaxJsonDepth = 64;

// Whether arrays and objects in `text` are nested more than `max_depth` deep.
// Uses constant stack space. The result is only meaningful for the part of the
// text up to its first syntax error.
bool JsonNestsDeeperThan(std::string_view text, size_t max_depth);

// Parses JSON without exceptions. The result is discarded (is_discarded()) if
// `text` is not JSON or nests deeper than kMaxJsonDepth.
template <typename Json = nlohmann::json>
Json ParseBoundedJson(std::string_view text, bool ignore_comments = false) {
  if (JsonNestsDeeperThan(text, kMaxJsonDepth)) {
    return Json(Json::value_t::discarded);
  }
  return Json::parse(text, nullptr, /*allow_exceptions=*/false,
                     ignore_comments);
}

}  // namespace celerypost

#endif  // SRC_VERSION_BOUNDED_JSON_H_
