#include "src/request/request_id.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace celerypost {
namespace {

bool IsUniqueCharacter(char character) {
  return (character >= '0' && character <= '9') ||
         (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') || character == '.' ||
         character == '_' || character == '-';
}

// Parses a decimal number without a sign or leading zeros, up to `max`.
bool ParseNumber(std::string_view text, uint64_t max, uint64_t* value) {
  if (text.empty() || (text.size() > 1 && text[0] == '0')) {
    return false;
  }
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, *value);
  return error == std::errc() && rest == end && *value <= max;
}

tl::unexpected<Failure> Invalid(std::string_view part,
                                std::string_view expected) {
  return NotRun(ErrorCode::kInvalidArgument,
                std::string("request id: ") + std::string(part) + " is not " +
                    std::string(expected));
}

}  // namespace

Result<RequestId> RequestId::Parse(std::string_view text) {
  RequestId id;
  const size_t first = text.find('-');
  if (text.empty() || text[0] != 'v' || first == std::string_view::npos ||
      !ParseNumber(text.substr(1, first - 1), UINT64_MAX, &id.table_version)) {
    return Invalid("table version", "'v' and a decimal number");
  }
  text.remove_prefix(first + 1);
  const size_t second = text.find('-');
  uint64_t issued_at = 0;
  if (second == std::string_view::npos ||
      !ParseNumber(text.substr(0, second), INT64_MAX, &issued_at)) {
    return Invalid("issue time", "a decimal number of milliseconds");
  }
  id.issued_at = std::chrono::milliseconds(issued_at);
  text.remove_prefix(second + 1);
  if (text.empty() || text.size() > kMaxUniqueBytes ||
      !std::all_of(text.begin(), text.end(), IsUniqueCharacter)) {
    return Invalid("unique part", "1 to 64 characters of [A-Za-z0-9._-]");
  }
  id.unique = text;
  return id;
}

RequestId RequestId::Make(uint64_t table_version,
                          std::chrono::milliseconds issued_at,
                          Random& random) {
  char unique[33];
  std::snprintf(unique, sizeof(unique), "%016llx%016llx",
                static_cast<unsigned long long>(random.Next()),
                static_cast<unsigned long long>(random.Next()));
  return RequestId{table_version, issued_at, unique};
}

std::string RequestId::Prefix(uint64_t table_version,
                              std::chrono::milliseconds issued_at) {
  return "v" + std::to_string(table_version) + "-" +
         std::to_string(issued_at.count());
}

std::string RequestId::ToString() const {
  return Prefix(this->table_version, this->issued_at) + "-" + this->unique;
}

size_t RequestId::Slot() const {
  return XXH3_64bits(this->unique.data(), this->unique.size()) % kSlotCount;
}

}  // namespace celerypost
