#include "src/version/bounded_json.h"

#include <algorithm>

namespace celerypost {
namespace {

// Returns the position after the string that begins at `start`.
size_t SkipString(std::string_view text, size_t start) {
  size_t position = start + 1;
  while (position < text.size() && text[position] != '"') {
    position += text[position] == '\\' ? 2 : 1;
  }
  return position + 1;
}

// Returns the position after the comment that begins at `start`, or after the
// slash if it begins none. Outside strings, JSON without comments has no slash.
size_t SkipComment(std::string_view text, size_t start) {
  const std::string_view opening = text.substr(start, 2);
  if (opening == "//") {
    return std::min(text.find_first_of("\r\n", start), text.size());
  }
  if (opening == "/*") {
    const size_t end = text.find("*/", start + 2);
    return end == std::string_view::npos ? text.size() : end + 2;
  }
  return start + 1;
}

}  // namespace

bool JsonNestsDeeperThan(std::string_view text, size_t max_depth) {
  size_t depth = 0;
  for (size_t position = 0; position < text.size();) {
    const char c = text[position];
    if (c == '"') {
      position = SkipString(text, position);
      continue;
    }
    if (c == '/') {
      position = SkipComment(text, position);
      continue;
    }
    if (c == '[' || c == '{') {
      if (++depth > max_depth) {
        return true;
      }
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
    ++position;
  }
  return false;
}

}  // namespace celerypost
