#ifndef SRC_VERSION_CHECKED_NUMBER_H_
#define SRC_VERSION_CHECKED_NUMBER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace celerypost {

// Conversions of numbers from other processes and from users. Casts of doubles
// that are out of an integer's range are undefined and differ by processor.

// Whole numbers up to this one are exact in JSON, whose numbers are doubles for
// many writers.
inline constexpr int64_t kMaxExactInteger = int64_t{1} << 53;
// Longest accepted duration, about three years. A time point or a sum of tens
// of durations up to it does not overflow.
inline constexpr std::chrono::milliseconds kMaxDuration{100'000'000'000};

// Returns `value` if it is a whole number from `min` to `max`.
std::optional<int64_t> ToInteger(double value, int64_t min, int64_t max);
// Accepts 3 and 3.0, and nothing for 3.5, "3" and what is no number.
std::optional<int64_t> ToInteger(const nlohmann::json& value,
                                 int64_t min,
                                 int64_t max);
// Converts milliseconds, cutting a fraction off. Fails below 0 and above
// kMaxDuration.
std::optional<std::chrono::milliseconds> ToDuration(double value);
// As ToDuration, but returns the nearest limit for what is out of range, and 0
// for what is no number.
std::chrono::milliseconds ToClampedDuration(double value);
// Parses a decimal port from 1 to 65535.
std::optional<uint16_t> ParsePort(std::string_view digits);

}  // namespace celerypost

#endif  // SRC_VERSION_CHECKED_NUMBER_H_
