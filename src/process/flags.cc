#include "src/process/flags.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <utility>

// All flags except booleans are strings, which the Make... functions of
// settings.h parse. All error messages thus have the same form (flag, value and
// accepted range), and gflags never exits the process on an invalid value.
DEFINE_string(
    zone,
    "",
    "availability zone of this VM; 1 to 63 of a-z A-Z 0-9 . _ -; required");
DEFINE_string(region,
              "",
              "region of this VM; 1 to 63 of a-z A-Z 0-9 . _ -; required");
DEFINE_string(
    peer_address,
    "",
    "IPv4:port for other celerypost processes; port 1 to 65535; required");
DEFINE_string(http_address,
              "",
              "IPv4:port for /metrics, /healthz and, at an entry, callers; "
              "port 1 to 65535; required");
DEFINE_string(operator_address,
              "",
              "IPv4:port for the operators' API; port 1 to 65535; required");
DEFINE_string(key_value_address,
              "",
              "IPv4:port of the key-value service; port 1 to 65535; required");
DEFINE_string(membership_address,
              "",
              "IPv4:port of the membership list; port 1 to 65535; required");
DEFINE_string(seeds,
              "",
              "up to 64 peer addresses (IPv4:port) to ask first, separated by "
              "commas; optional");
DEFINE_string(shared_key,
              "",
              "key for HMAC proofs, 16 to 1024 bytes; never logged; prefer the "
              "variable to the flag; required");
DEFINE_string(entry_max_age,
              "5s",
              "how long callers keep an answer of /v1/entries; duration from "
              "100ms to 60s");
DEFINE_string(service,
              "",
              "service of the target; 1 to 63 of a-z A-Z 0-9 . _ -; required");
DEFINE_string(target_address,
              "",
              "IPv4:port of the target; port 1 to 65535; required");
DEFINE_string(target_kind, "engine", "kind of the target; engine or plain");
DEFINE_string(origin_address,
              "",
              "IPv4:port of the weight origin; port 1 to 65535; required when "
              "target_kind is engine");
DEFINE_string(origin_region,
              "",
              "region of the weight origin; 1 to 63 of a-z A-Z 0-9 . _ -; "
              "default: the agent's own region");
DEFINE_string(weights_memory_mb, "64", "memory for chunks, in MiB; 1 to 65536");
DEFINE_string(link_mbit,
              "1000",
              "rate of this VM's link that weight transfers may use, in "
              "Mbit/s; 0.1 to 400000");
DEFINE_string(region_link_mbit,
              "20",
              "rate of the link between two regions that weight transfers may "
              "use, in Mbit/s; 0.1 to 400000");
DEFINE_string(log_level,
              "info",
              "lowest level that is logged; debug, info, warn or error");
DEFINE_string(audit_file,
              "",
              "file for the local copy of the audit trail; empty for none");
DEFINE_string(
    operator,
    "",
    "IPv4:port of an entry's operators' API; port 1 to 65535; required");
DEFINE_bool(json, false, "print JSON instead of tables; true or false");
DEFINE_string(timeout,
              "15s",
              "longest wait for one answer of the operators' API; duration "
              "from 100ms to 10m");
DEFINE_string(who,
              "",
              "person who makes the change, for the audit trail; 1 to 200 "
              "bytes; default: the variable USER");
DEFINE_string(why,
              "",
              "reason of the change, for the audit trail; 1 to 1000 bytes; "
              "required for changes");
DEFINE_string(id,
              "",
              "id of the change, by which an unknown outcome is settled; 1 to "
              "64 of a-z A-Z 0-9 . _ -; default: a random id");
DEFINE_string(expected_number,
              "",
              "refuse the change unless the configuration has this number; 0 "
              "to 2^63-1; optional");
DEFINE_string(last, "20", "number of audit records; 1 to 1000");
DEFINE_bool(follow,
            false,
            "show the progress until the roll-out is complete; true or false");
DEFINE_string(interval,
              "1s",
              "time between two progress reports; duration from 100ms to 60s");
DEFINE_string(output,
              "",
              "directory for the manifest and its index documents; required "
              "for make-manifest");
DEFINE_string(manifest_name,
              "",
              "name of the manifest; 1 to 100 of a-z A-Z 0-9 . _ -; default: "
              "that of the description");
DEFINE_string(metrics_port,
              "7715",
              "port of /metrics on the VM's address; 0 to 65535, 0 for none");
DEFINE_bool(late_admission,
            false,
            "gateways: requests that cannot be on time may wait at targets, "
            "and refused callers are told when to return, also where all "
            "routes of a service have the same priority; true or false");
DEFINE_bool(rank_holds,
            false,
            "gateways: less urgent requests are held back while more urgent "
            "ones get too little; true or false");
DEFINE_string(chunk_kb, "1024", "size of a chunk, in KiB; 4 to 1024");

namespace celerypost {
namespace {

constexpr uint8_t kEntry = static_cast<uint8_t>(FlagRole::kEntry);
constexpr uint8_t kAgent = static_cast<uint8_t>(FlagRole::kAgent);
constexpr uint8_t kCtl = static_cast<uint8_t>(FlagRole::kCtl);
constexpr uint8_t kNode = static_cast<uint8_t>(FlagRole::kNode);

struct FlagEntry {
  const char* name;
  // Bits of FlagRole.
  uint8_t roles;
};

constexpr FlagEntry kFlags[] = {
    {"zone", kEntry | kAgent},
    {"region", kEntry | kAgent},
    {"peer_address", kEntry | kAgent},
    {"http_address", kEntry | kAgent},
    {"operator_address", kEntry},
    {"key_value_address", kEntry},
    {"membership_address", kEntry | kAgent},
    {"seeds", kEntry | kAgent},
    {"entry_max_age", kEntry},
    {"service", kAgent},
    {"target_address", kAgent},
    {"target_kind", kAgent},
    {"origin_address", kAgent},
    {"origin_region", kAgent},
    {"weights_memory_mb", kAgent},
    {"link_mbit", kAgent},
    {"region_link_mbit", kAgent},
    {"operator", kCtl},
    {"shared_key", kEntry | kAgent | kCtl},
    {"log_level", kEntry | kAgent | kNode},
    {"metrics_port", kNode},
    {"late_admission", kNode},
    {"rank_holds", kNode},
    {"audit_file", kEntry | kAgent},
    {"json", kCtl},
    {"timeout", kCtl},
    {"who", kCtl},
    {"why", kCtl},
    {"id", kCtl},
    {"expected_number", kCtl},
    {"last", kCtl},
    {"follow", kCtl},
    {"interval", kCtl},
    {"output", kCtl},
    {"manifest_name", kCtl},
    {"chunk_kb", kCtl},
};

const FlagEntry* FindFlag(std::string_view name) {
  const auto* const found =
      std::find_if(std::begin(kFlags), std::end(kFlags),
                   [name](const FlagEntry& flag) { return name == flag.name; });
  return found == std::end(kFlags) ? nullptr : found;
}

std::string VariableName(std::string_view flag) {
  std::string variable = "CELERYPOST_";
  for (const char c : flag) {
    variable += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return variable;
}

std::string_view RoleName(FlagRole role) {
  switch (role) {
    case FlagRole::kEntry:
      return "entry";
    case FlagRole::kAgent:
      return "agent";
    case FlagRole::kCtl:
      return "ctl";
    case FlagRole::kNode:
      return "gateway or stager";
  }
  return "unknown";
}

tl::unexpected<Failure> Invalid(std::string message) {
  return NotRun(ErrorCode::kInvalidArgument, std::move(message));
}

FlagDescription Describe(const FlagEntry& flag) {
  gflags::CommandLineFlagInfo info;
  gflags::GetCommandLineFlagInfo(flag.name, &info);
  return {flag.name, VariableName(flag.name), info.description,
          info.default_value, info.type == "bool"};
}

}  // namespace

std::optional<std::string> ProcessEnvironment(const std::string& name) {
  // Called only at startup, before other threads exist.
  const char* const value =
      std::getenv(name.c_str());  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

Result<CommandArguments> ReadFlags(FlagRole role,
                                   const std::vector<std::string>& args,
                                   const Environment& environment) {
  CommandArguments result;
  for (const FlagDescription& flag : DescribeFlags(role)) {
    result.flags[flag.name] =
        environment(flag.variable).value_or(flag.default_value);
  }
  for (size_t i = 0; i < args.size(); ++i) {
    const std::string& arg = args[i];
    if (arg == "--") {
      result.positional.insert(result.positional.end(),
                               args.begin() + static_cast<ptrdiff_t>(i) + 1,
                               args.end());
      break;
    }
    if (arg.size() < 2 || arg[0] != '-') {
      result.positional.push_back(arg);
      continue;
    }
    const size_t start = arg[1] == '-' ? 2 : 1;
    const size_t equals = arg.find('=');
    const std::string name = arg.substr(
        start, equals == std::string::npos ? equals : equals - start);
    const FlagEntry* const flag = FindFlag(name);
    if (flag == nullptr) {
      return Invalid("--" + name + ": unknown flag of " +
                     std::string(RoleName(role)));
    }
    if ((flag->roles & static_cast<uint8_t>(role)) == 0) {
      return Invalid("--" + name + ": not a flag of " +
                     std::string(RoleName(role)));
    }
    if (equals != std::string::npos) {
      result.flags[name] = arg.substr(equals + 1);
    } else if (Describe(*flag).boolean) {
      result.flags[name] = "true";
    } else if (i + 1 < args.size()) {
      result.flags[name] = args[++i];
    } else {
      return Invalid("--" + name + ": value is missing; expected " +
                     Describe(*flag).help);
    }
  }
  return result;
}

std::vector<FlagDescription> DescribeFlags(FlagRole role) {
  std::vector<FlagDescription> flags;
  for (const FlagEntry& flag : kFlags) {
    if ((flag.roles & static_cast<uint8_t>(role)) != 0) {
      flags.push_back(Describe(flag));
    }
  }
  return flags;
}

}  // namespace celerypost
