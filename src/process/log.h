#ifndef SRC_PROCESS_LOG_H_
#define SRC_PROCESS_LOG_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "celerypost/types.h"
#include "celerypost/verdict.h"

namespace celerypost {

enum class LogLevel : uint8_t { kDebug = 0, kInfo = 1, kWarn = 2, kError = 3 };

// Returns "debug", "info", "warn" or "error".
std::string_view LogLevelName(LogLevel level);

// Parses the names above; fails with kInvalidArgument.
Result<LogLevel> ParseLogLevel(std::string_view name);

// Returns UTC time as 2026-12-04T05:37:47.123Z.
std::string FormatTime(std::chrono::system_clock::time_point time);

// Parses the format of FormatTime, with or without the milliseconds. Fails with
// kInvalidArgument.
Result<std::chrono::system_clock::time_point> ParseTime(std::string_view text);

// A typed field of a log line. Holds views, so it is valid only during the
// call. There is no constructor for SharedKey, so that a key cannot be logged.
struct LogField {
  using Value = std::variant<bool, int64_t, uint64_t, double, std::string_view>;

  LogField(std::string_view name, bool value) : name(name), value(value) {}
  LogField(std::string_view name, std::signed_integral auto value)
      : name(name), value(static_cast<int64_t>(value)) {}
  LogField(std::string_view name, std::unsigned_integral auto value)
      : name(name), value(static_cast<uint64_t>(value)) {}
  LogField(std::string_view name, double value) : name(name), value(value) {}
  LogField(std::string_view name, std::string_view value)
      : name(name), value(value) {}
  LogField(std::string_view name, const std::string& value)
      : name(name), value(std::string_view(value)) {}
  LogField(std::string_view name, const char* value)
      : name(name), value(std::string_view(value)) {}
  LogField(std::string_view name, InstanceId) = delete;

  std::string_view name;
  Value value;
};

// Renders an instance as 16 hex digits, as in logs and slot tables.
std::string FormatInstance(InstanceId instance);

struct LogOptions {
  LogLevel level = LogLevel::kInfo;
  // "entry", "agent" or "ctl".
  std::string role;
  ZoneName zone;
  InstanceId instance;
  // Texts that are replaced by "[redacted]" wherever they appear in a line,
  // for example when a peer sends the shared key in the wrong field. Texts
  // shorter than 8 characters are ignored.
  std::vector<std::string> secrets;
};

// Receives complete lines, without the newline.
using LogSink = std::function<void(LogLevel, std::string_view line)>;

// Writes log lines as JSON objects, one a line, with the members time, level,
// role, zone, instance, event, message, request_id (when given) and fields. All
// strings are escaped; bytes that are not UTF-8 become U+FFFD.
class Log {
 public:
  // Reads the wall clock for the member "time".
  using WallClock = std::function<std::chrono::system_clock::time_point()>;

  // Writes to standard error through log4cplus.
  explicit Log(LogOptions options);
  // Writes to `sink` and reads the time from `clock`.
  Log(LogOptions options, LogSink sink, WallClock clock);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  // `event` is a constant, machine-readable name in snake_case; `message` is a
  // human-readable sentence. `request_id` is left out when empty.
  void Debug(std::string_view event,
             std::string_view message,
             std::initializer_list<LogField> fields = {},
             std::string_view request_id = {});
  void Info(std::string_view event,
            std::string_view message,
            std::initializer_list<LogField> fields = {},
            std::string_view request_id = {});
  void Warn(std::string_view event,
            std::string_view message,
            std::initializer_list<LogField> fields = {},
            std::string_view request_id = {});
  void Error(std::string_view event,
             std::string_view message,
             std::initializer_list<LogField> fields = {},
             std::string_view request_id = {});

  bool Enabled(LogLevel level) const { return level >= this->options.level; }

 private:
  struct Output;

  void Write(LogLevel level,
             std::string_view event,
             std::string_view message,
             std::initializer_list<LogField> fields,
             std::string_view request_id);
  std::string Redact(std::string_view text) const;

  LogOptions options;
  WallClock clock;
  LogSink sink;
  std::unique_ptr<Output> output;
};

}  // namespace celerypost

#endif  // SRC_PROCESS_LOG_H_
