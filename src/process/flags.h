#ifndef SRC_PROCESS_FLAGS_H_
#define SRC_PROCESS_FLAGS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "celerypost/verdict.h"

namespace celerypost {

// Command lines that accept flags. The values are bits, because a flag may
// belong to several command lines. kNode stands for gateways and stagers, which
// read most of their settings from the platform's file.
enum class FlagRole : uint8_t { kEntry = 1, kAgent = 2, kCtl = 4, kNode = 8 };

// Unparsed value of every flag of a role, by name without dashes. Flags that
// are not set have their default.
using FlagValues = std::map<std::string, std::string, std::less<>>;

struct CommandArguments {
  FlagValues flags;
  // Arguments that are not flags, in order, with all arguments after "--".
  std::vector<std::string> positional;
};

// Returns the value of an environment variable, or nullopt if it is not set.
using Environment =
    std::function<std::optional<std::string>(const std::string& name)>;

// Reads an environment variable of this process. Not thread-safe: call it only
// while the process has a single thread.
std::optional<std::string> ProcessEnvironment(const std::string& name);

// Returns the flags of `role`. `args` override CELERYPOST_* variables, which
// override defaults. Accepts "--name=value", "--name value" and "-name"; a
// boolean flag needs no value. Fails with kInvalidArgument and names the flag
// for unknown flags, flags of other roles and missing values. The values are
// validated by the Make... functions of settings.h.
Result<CommandArguments> ReadFlags(FlagRole role,
                                   const std::vector<std::string>& args,
                                   const Environment& environment);

struct FlagDescription {
  std::string name;
  // Environment variable, for example CELERYPOST_ZONE.
  std::string variable;
  // Meaning with unit and range.
  std::string help;
  std::string default_value;
  bool boolean = false;
};

// Returns the flags of a role in the order of the help text.
std::vector<FlagDescription> DescribeFlags(FlagRole role);

}  // namespace celerypost

#endif  // SRC_PROCESS_FLAGS_H_
