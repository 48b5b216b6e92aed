#include "src/process/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "src/version/weight_index.h"

namespace celerypost {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr size_t kMaxSeeds = 64;
constexpr size_t kMinKeyBytes = 16;
constexpr size_t kMaxKeyBytes = 1024;
constexpr size_t kMaxQuotedBytes = 80;

// Quotes a value for an error message. Control characters and bytes outside
// ASCII become '?', and long values are truncated.
std::string Quoted(std::string_view value) {
  std::string quoted = "'";
  for (const char c : value.substr(0, kMaxQuotedBytes)) {
    quoted += c >= ' ' && c <= '~' ? c : '?';
  }
  return quoted + (value.size() > kMaxQuotedBytes ? "...'" : "'");
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

// The port must be 1 to 65535. 0.0.0.0 is rejected, because addresses are also
// advertised to other processes, which cannot connect to it.
std::optional<SocketAddress> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string ip(text.substr(0, colon));
  const auto port = ParseNumber<uint16_t>(text.substr(colon + 1));
  in_addr parsed{};
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1 || parsed.s_addr == 0 ||
      ip.find('\0') != std::string::npos || port.value_or(0) == 0) {
    return std::nullopt;
  }
  return SocketAddress{ip, *port};
}

bool IsName(std::string_view text, size_t max_length) {
  return !text.empty() && text.size() <= max_length &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

// Parses flags and collects one error line per invalid flag.
class SettingReader {
 public:
  explicit SettingReader(const FlagValues& flags) : flags(flags) {}

  std::string Text(std::string_view name) const {
    const auto it = this->flags.find(name);
    return it == this->flags.end() ? std::string() : it->second;
  }

  void AddError(std::string_view name, std::string_view expected) {
    const std::string text = this->Text(name);
    this->AppendError(name,
                      text.empty()
                          ? "value is missing"
                          : "value " + Quoted(text) + " is not accepted",
                      expected);
  }

  std::string Name(std::string_view name, size_t max_length) {
    std::string text = this->Text(name);
    if (!IsName(text, max_length)) {
      this->AddError(
          name, "1 to " + std::to_string(max_length) + " of a-z A-Z 0-9 . _ -");
    }
    return text;
  }

  std::string OptionalText(std::string_view name, size_t max_length) {
    std::string text = this->Text(name);
    if (text.size() > max_length || text.find('\0') != std::string::npos) {
      this->AddError(name, "at most " + std::to_string(max_length) + " bytes");
    }
    return text;
  }

  SocketAddress Address(std::string_view name) {
    const auto address = ParseAddress(this->Text(name));
    if (!address) {
      this->AddError(name,
                     "IPv4:port with port 1 to 65535 and an address other than "
                     "0.0.0.0, for example 10.0.0.1:7000");
    }
    return address.value_or(SocketAddress{});
  }

  std::vector<SocketAddress> Addresses(std::string_view name) {
    const std::string text = this->Text(name);
    std::vector<SocketAddress> addresses;
    for (size_t start = 0; !text.empty() && start <= text.size();) {
      const size_t comma = std::min(text.find(',', start), text.size());
      const auto address =
          ParseAddress(std::string_view(text).substr(start, comma - start));
      if (!address || addresses.size() == kMaxSeeds) {
        this->AddError(name, "up to 64 IPv4:port separated by commas");
        return {};
      }
      addresses.push_back(*address);
      start = comma + 1;
    }
    return addresses;
  }

  milliseconds DurationOf(std::string_view name,
                          milliseconds min,
                          milliseconds max,
                          std::string_view range) {
    const auto duration = ParseDuration(this->Text(name));
    if (!duration || *duration < min || *duration > max) {
      this->AddError(name, "duration from " + std::string(range));
      return min;
    }
    return std::chrono::duration_cast<milliseconds>(*duration);
  }

  template <typename T>
  T Number(std::string_view name, T min, T max, std::string_view range) {
    const auto number = ParseNumber<T>(this->Text(name));
    // Negated so that NaN, for which every comparison is false, is rejected.
    if (!number || !(*number >= min && *number <= max)) {
      this->AddError(name, range);
      return min;
    }
    return *number;
  }

  bool Boolean(std::string_view name) {
    const std::string text = this->Text(name);
    if (text != "true" && text != "false") {
      this->AddError(name, "true or false");
    }
    return text == "true";
  }

  SharedKey Key(std::string_view name) {
    std::string text = this->Text(name);
    if (text.size() < kMinKeyBytes || text.size() > kMaxKeyBytes) {
      this->AppendError(name,
                        text.empty()
                            ? "value is missing"
                            : "value of " + std::to_string(text.size()) +
                                  " bytes (not shown) is not accepted",
                        "16 to 1024 bytes");
    }
    return SharedKey(std::move(text));
  }

  LogLevel Level(std::string_view name) {
    const auto level = ParseLogLevel(this->Text(name));
    if (!level) {
      this->AddError(name, "debug, info, warn or error");
    }
    return level.value_or(LogLevel::kInfo);
  }

  template <typename T>
  Result<T> Finish(T settings) {
    if (!this->errors.empty()) {
      return NotRun(ErrorCode::kInvalidArgument, this->errors);
    }
    return settings;
  }

 private:
  void AppendError(std::string_view name,
                   std::string_view problem,
                   std::string_view expected) {
    this->errors += this->errors.empty() ? "" : "\n";
    this->errors.append("--").append(name).append(": ").append(problem);
    this->errors.append("; expected ").append(expected);
  }

  const FlagValues& flags;
  std::string errors;
};

void ReadCommon(SettingReader& reader, CommonSettings& settings) {
  settings.zone = ZoneName(reader.Name("zone", 63));
  settings.region = RegionName(reader.Name("region", 63));
  settings.peer_address = reader.Address("peer_address");
  settings.http_address = reader.Address("http_address");
  settings.membership_address = reader.Address("membership_address");
  settings.seeds = reader.Addresses("seeds");
  settings.shared_key = reader.Key("shared_key");
  settings.log_level = reader.Level("log_level");
  settings.audit_file = reader.OptionalText("audit_file", 4096);
}

uint64_t ReadRate(SettingReader& reader, std::string_view name) {
  constexpr double kBytesPerMbit = 125'000;
  return static_cast<uint64_t>(
      kBytesPerMbit *
      reader.Number<double>(name, 0.1, 400000, "0.1 to 400000 Mbit/s"));
}

}  // namespace

Result<microseconds> ParseDuration(std::string_view text) {
  struct Unit {
    std::string_view name;
    microseconds length;
  };
  static constexpr Unit kUnits[] = {{"us", microseconds(1)},
                                    {"ms", std::chrono::milliseconds(1)},
                                    {"s", std::chrono::seconds(1)},
                                    {"m", std::chrono::minutes(1)},
                                    {"h", std::chrono::hours(1)}};
  const size_t digits =
      std::min(text.find_first_not_of("0123456789"), text.size());
  const auto count = ParseNumber<int64_t>(text.substr(0, digits));
  const auto* const unit =
      std::find_if(std::begin(kUnits), std::end(kUnits),
                   [name = text.substr(digits)](const Unit& unit) {
                     return unit.name == name;
                   });
  if (!count || unit == std::end(kUnits) ||
      *count > microseconds::max() / unit->length) {
    return NotRun(
        ErrorCode::kInvalidArgument,
        Quoted(text) + " is not a whole number with unit us, ms, s, m or h");
  }
  return *count * unit->length;
}

Result<EntrySettings> MakeEntrySettings(const FlagValues& flags) {
  SettingReader reader(flags);
  EntrySettings settings;
  ReadCommon(reader, settings);
  settings.operator_address = reader.Address("operator_address");
  settings.key_value_address = reader.Address("key_value_address");
  settings.entry_max_age = reader.DurationOf(
      "entry_max_age", milliseconds(100), milliseconds(60000), "100ms to 60s");
  return reader.Finish(std::move(settings));
}

Result<AgentSettings> MakeAgentSettings(const FlagValues& flags) {
  SettingReader reader(flags);
  AgentSettings settings;
  ReadCommon(reader, settings);
  settings.service = ServiceName(reader.Name("service", 63));
  settings.target_address = reader.Address("target_address");
  const std::string kind = reader.Text("target_kind");
  if (kind != "engine" && kind != "plain") {
    reader.AddError("target_kind", "engine or plain");
  }
  settings.target_kind =
      kind == "plain" ? TargetKind::kPlain : TargetKind::kEngine;
  if (kind != "plain" || !reader.Text("origin_address").empty()) {
    settings.origin_address = reader.Address("origin_address");
  }
  settings.origin_region = reader.Text("origin_region").empty()
                               ? settings.region
                               : RegionName(reader.Name("origin_region", 63));
  settings.weights_memory_bytes =
      reader.Number<uint64_t>("weights_memory_mb", 1, 65536, "1 to 65536 MiB")
      << 20;
  settings.link_bytes_per_second = ReadRate(reader, "link_mbit");
  settings.region_link_bytes_per_second = ReadRate(reader, "region_link_mbit");
  return reader.Finish(std::move(settings));
}

Result<NodeRoleSettings> MakeNodeRoleSettings(const FlagValues& flags) {
  SettingReader reader(flags);
  NodeRoleSettings settings;
  settings.metrics_port = reader.Number<uint16_t>("metrics_port", 0, 65535,
                                                  "a port from 0 to 65535");
  settings.late_admission = reader.Boolean("late_admission");
  settings.rank_holds = reader.Boolean("rank_holds");
  settings.log_level = reader.Level("log_level");
  return reader.Finish(settings);
}

Result<CtlSettings> MakeCtlSettings(const FlagValues& flags,
                                    bool needs_operator) {
  SettingReader reader(flags);
  CtlSettings settings;
  if (needs_operator || !reader.Text("operator").empty()) {
    settings.operator_address = reader.Address("operator");
  }
  if (needs_operator || !reader.Text("shared_key").empty()) {
    settings.shared_key = reader.Key("shared_key");
  }
  settings.json = reader.Boolean("json");
  settings.timeout = reader.DurationOf(
      "timeout", milliseconds(100), std::chrono::minutes(10), "100ms to 10m");
  settings.who = reader.OptionalText("who", 200);
  settings.why = reader.OptionalText("why", 1000);
  if (!reader.Text("id").empty()) {
    settings.change_id = reader.Name("id", 64);
  }
  if (!reader.Text("expected_number").empty()) {
    settings.expected_number = reader.Number<uint64_t>(
        "expected_number", 0, std::numeric_limits<int64_t>::max(),
        "0 to 2^63-1");
  }
  settings.audit_record_count =
      reader.Number<uint32_t>("last", 1, 1000, "1 to 1000 records");
  settings.follow = reader.Boolean("follow");
  settings.interval = reader.DurationOf("interval", milliseconds(100),
                                        milliseconds(60000), "100ms to 60s");
  settings.output_directory = reader.OptionalText("output", 4096);
  if (!reader.Text("manifest_name").empty()) {
    settings.manifest_name = reader.Name("manifest_name", 100);
  }
  settings.chunk_bytes =
      reader.Number<uint64_t>("chunk_kb", 4, kMaxChunkBytes >> 10,
                              "4 to 1024 KiB")
      << 10;
  return reader.Finish(std::move(settings));
}

}  // namespace celerypost
