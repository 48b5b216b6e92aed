#ifndef INCLUDE_CELERYPOST_VERDICT_H_
#define INCLUDE_CELERYPOST_VERDICT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace celerypost {

// Whether the request that a failure belongs to may have run at its target.
// kNotRun guarantees that the request has not run and will not run as a result
// of the attempt that failed.
enum class Verdict : uint8_t { kNotRun = 0, kMayHaveRun = 1, kRan = 2 };

enum class ErrorCode : uint8_t {
  kInvalidArgument = 0,
  kNotFound = 1,
  kUnavailable = 2,
  kOverloaded = 3,
  kDeadlineExceeded = 4,
  kConflict = 5,
  kUnauthenticated = 6,
  kCancelled = 7,
  kCorrupt = 8,
  kInternal = 9,
};

// Why an operation failed. `message` names the field, value and accepted range
// where the cause is bad input.
struct Failure {
  Verdict verdict = Verdict::kNotRun;
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
};

template <typename T>
using Result = tl::expected<T, Failure>;

// Returns "not-run", "may-have-run" or "ran", as used in HTTP headers and logs.
std::string_view VerdictName(Verdict verdict);

// Returns the code in snake_case, as used in HTTP bodies and logs.
std::string_view ErrorCodeName(ErrorCode code);

// Returns an error that holds a Failure with verdict kNotRun.
tl::unexpected<Failure> NotRun(ErrorCode code, std::string message);

}  // namespace celerypost

#endif  // INCLUDE_CELERYPOST_VERDICT_H_
