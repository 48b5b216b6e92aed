#ifndef INCLUDE_CELERYPOST_TYPES_H_
#define INCLUDE_CELERYPOST_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace celerypost {

// Monotonic time, used by every decision component. The caller passes the
// current time in; no decision component reads a clock.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// A string with a type of its own for each kind of object that it names, so
// that a zone cannot be passed where a service is expected.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : text(std::move(value)) {}

  const std::string& value() const { return this->text; }
  bool empty() const { return this->text.empty(); }
  // clang-tidy takes the literal 0 in the generated comparison for a null
  // pointer.
  auto operator<=>(const Name&) const =
      default;  // NOLINT(modernize-use-nullptr)

 private:
  std::string text;
};

using ZoneName = Name<struct ZoneTag>;
using RegionName = Name<struct RegionTag>;
using ServiceName = Name<struct ServiceTag>;
using WorkspaceName = Name<struct WorkspaceTag>;

// Identifies one run of a process: drawn at random when the process starts and
// never reused, so a restarted process is a new instance. Zero means none.
struct InstanceId {
  uint64_t value = 0;

  auto operator<=>(const InstanceId&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

// Requests of a smaller value are served first.
enum class Priority : uint8_t { kInteractive = 0, kNormal = 1, kBatch = 2 };

enum class Role : uint8_t { kEntry = 0, kAgent = 1 };

}  // namespace celerypost

template <typename Tag>
struct std::hash<celerypost::Name<Tag>> {
  size_t operator()(const celerypost::Name<Tag>& name) const noexcept {
    return std::hash<std::string>()(name.value());
  }
};

template <>
struct std::hash<celerypost::InstanceId> {
  size_t operator()(const celerypost::InstanceId& id) const noexcept {
    return std::hash<uint64_t>()(id.value);
  }
};

#endif  // INCLUDE_CELERYPOST_TYPES_H_
