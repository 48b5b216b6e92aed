#include "src/version/checked_number.h"

#include <charconv>
#include <cmath>
#include <limits>

namespace celerypost {

std::optional<int64_t> ToInteger(double value, int64_t min, int64_t max) {
  // Exact as a double, unlike the largest int64_t.
  constexpr double kEnd = 0x1p63;
  const bool is_whole =
      value >= -kEnd && value < kEnd && std::trunc(value) == value;
  if (!is_whole) {
    return std::nullopt;
  }
  const auto integer = static_cast<int64_t>(value);
  return integer >= min && integer <= max ? std::optional(integer)
                                          : std::nullopt;
}

std::optional<int64_t> ToInteger(const nlohmann::json& value,
                                 int64_t min,
                                 int64_t max) {
  if (const auto* real = value.get_ptr<const double*>()) {
    return ToInteger(*real, min, max);
  }
  // A number without a sign is both unsigned and signed for get_ptr.
  if (const auto* natural = value.get_ptr<const uint64_t*>()) {
    if (*natural > static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) {
      return std::nullopt;
    }
  }
  const auto* integer = value.get_ptr<const int64_t*>();
  return integer != nullptr && *integer >= min && *integer <= max
             ? std::optional(*integer)
             : std::nullopt;
}

std::optional<std::chrono::milliseconds> ToDuration(double value) {
  if (!(value >= 0 && value <= static_cast<double>(kMaxDuration.count()))) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(static_cast<int64_t>(value));
}

std::chrono::milliseconds ToClampedDuration(double value) {
  return ToDuration(value).value_or(value > 0 ? kMaxDuration
                                              : std::chrono::milliseconds(0));
}

std::optional<uint16_t> ParsePort(std::string_view digits) {
  uint16_t port = 0;
  const char* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port != 0
             ? std::optional(port)
             : std::nullopt;
}

}  // namespace celerypost
