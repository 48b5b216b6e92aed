#include "src/process/log.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <utility>

#include <log4cplus/consoleappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <nlohmann/json.hpp>

namespace celerypost {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warn", "error"};
constexpr std::array<log4cplus::LogLevel, 4> kLog4cplusLevels = {
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
constexpr size_t kMinSecretLength = 8;
constexpr std::string_view kRedacted = "[redacted]";

}  // namespace

// A separate hierarchy keeps the line format independent of other users of
// log4cplus in the same program.
struct Log::Output {
  Output() : logger(this->hierarchy.getInstance(LOG4CPLUS_TEXT("celerypost"))) {
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                       /*immediateFlush=*/true));
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    this->logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    this->logger.addAppender(appender);
  }

  log4cplus::Initializer initializer;
  log4cplus::Hierarchy hierarchy;
  log4cplus::Logger logger;
};

std::string_view LogLevelName(LogLevel level) {
  return kLevelNames[static_cast<size_t>(level)];
}

Result<LogLevel> ParseLogLevel(std::string_view name) {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == name) {
      return static_cast<LogLevel>(i);
    }
  }
  return NotRun(ErrorCode::kInvalidArgument,
                "level '" + std::string(name) +
                    "' is not one of debug, info, warn, error");
}

std::string FormatTime(std::chrono::system_clock::time_point time) {
  const auto ms = std::chrono::floor<std::chrono::milliseconds>(time);
  const auto seconds = std::chrono::floor<std::chrono::seconds>(ms);
  const std::time_t unix_seconds =
      std::chrono::system_clock::to_time_t(seconds);
  std::tm parts{};
  gmtime_r(&unix_seconds, &parts);
  std::array<char, 64> buffer;
  const size_t length =
      std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const auto fraction = std::to_string((ms - seconds).count());
  std::string text(buffer.data(), length);
  text += "." + std::string(3 - fraction.size(), '0') + fraction + "Z";
  return text;
}

Result<std::chrono::system_clock::time_point> ParseTime(std::string_view text) {
  const std::string copy(text);
  std::tm parts{};
  const char* const rest = strptime(copy.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  unsigned int ms = 0;
  std::string_view tail = rest == nullptr ? std::string_view() : rest;
  if (tail.size() == 5 && tail[0] == '.') {
    const auto parsed = std::from_chars(tail.data() + 1, tail.data() + 4, ms);
    tail.remove_prefix(parsed.ptr == tail.data() + 4 ? 4 : 0);
  }
  if (tail != "Z") {
    return NotRun(ErrorCode::kInvalidArgument,
                  "time is not of the form 2026-12-04T05:37:47.123Z");
  }
  return std::chrono::system_clock::from_time_t(timegm(&parts)) +
         std::chrono::milliseconds(ms);
}

std::string FormatInstance(InstanceId instance) {
  std::array<char, 17> buffer;
  std::snprintf(buffer.data(), buffer.size(), "%016llx",
                static_cast<unsigned long long>(instance.value));
  return {buffer.data(), 16};
}

Log::Log(LogOptions options)
    : options(std::move(options)),
      clock([] { return std::chrono::system_clock::now(); }),
      output(std::make_unique<Output>()) {
  this->sink = [this](LogLevel level, std::string_view line) {
    this->output->logger.forcedLog(kLog4cplusLevels[static_cast<size_t>(level)],
                                   log4cplus::tstring(line));
  };
}

Log::Log(LogOptions options, LogSink sink, WallClock clock)
    : options(std::move(options)),
      clock(std::move(clock)),
      sink(std::move(sink)) {}

Log::~Log() = default;

void Log::Debug(std::string_view event,
                std::string_view message,
                std::initializer_list<LogField> fields,
                std::string_view request_id) {
  this->Write(LogLevel::kDebug, event, message, fields, request_id);
}

void Log::Info(std::string_view event,
               std::string_view message,
               std::initializer_list<LogField> fields,
               std::string_view request_id) {
  this->Write(LogLevel::kInfo, event, message, fields, request_id);
}

void Log::Warn(std::string_view event,
               std::string_view message,
               std::initializer_list<LogField> fields,
               std::string_view request_id) {
  this->Write(LogLevel::kWarn, event, message, fields, request_id);
}

void Log::Error(std::string_view event,
                std::string_view message,
                std::initializer_list<LogField> fields,
                std::string_view request_id) {
  this->Write(LogLevel::kError, event, message, fields, request_id);
}

void Log::Write(LogLevel level,
                std::string_view event,
                std::string_view message,
                std::initializer_list<LogField> fields,
                std::string_view request_id) {
  if (!this->Enabled(level)) {
    return;
  }
  Json line = {{"time", FormatTime(this->clock())},
               {"level", LogLevelName(level)},
               {"role", this->options.role},
               {"zone", this->options.zone.value()},
               {"instance", FormatInstance(this->options.instance)},
               {"event", event},
               {"message", this->Redact(message)}};
  if (!request_id.empty()) {
    line["request_id"] = this->Redact(request_id);
  }
  if (fields.size() > 0) {
    Json& object = line["fields"];
    for (const LogField& field : fields) {
      Json& value = object[std::string(field.name)];
      if (const auto* text = std::get_if<std::string_view>(&field.value)) {
        value = this->Redact(*text);
      } else {
        std::visit([&value](const auto& plain) { value = plain; }, field.value);
      }
    }
  }
  this->sink(level, line.dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::string Log::Redact(std::string_view text) const {
  std::string redacted(text);
  for (const std::string& secret : this->options.secrets) {
    if (secret.size() < kMinSecretLength) {
      continue;
    }
    for (size_t at = redacted.find(secret); at != std::string::npos;
         at = redacted.find(secret, at + kRedacted.size())) {
      redacted.replace(at, secret.size(), kRedacted);
    }
  }
  return redacted;
}

}  // namespace celerypost
