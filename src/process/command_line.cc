#include "src/process/command_line.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <sstream>
#include <string_view>
#include <thread>
#include <utility>

#include "src/process/build_info.h"
#include "src/process/ctl.h"
#include "src/process/ctl_table.h"

namespace celerypost {
namespace {

using Arguments = std::vector<std::string>;

std::string UsageText() {
  return "usage: celerypost entry [FLAGS]\n"
         "       celerypost agent [FLAGS]\n"
         "       celerypost gateway [FLAGS]\n"
         "       celerypost stager [FLAGS]\n"
         "       celerypost ctl COMMAND [ARGUMENT] [FLAGS]\n"
         "       celerypost help [entry|agent|gateway|stager|ctl "
         "[COMMAND]|--completion "
         "bash]\n"
         "       celerypost version\n\n"
         "entry  accepts requests on an entry VM and routes them to targets\n"
         "agent  sends work and weights to the target of its VM\n"
         "gateway  accepts requests on an entry VM of the platform and sends "
         "them\n"
         "         to targets itself\n"
         "stager   stages weights for the target of its VM on the platform\n"
         "ctl    commits manifests, takes zones out and shows the status\n";
}

// Breaks `text` into lines of at most 80 columns, indented by 6.
std::string WrapText(const std::string& text) {
  constexpr size_t kWidth = 74;
  std::istringstream words(text);
  std::string result;
  std::string line;
  for (std::string word; words >> word;) {
    if (!line.empty() && line.size() + 1 + word.size() > kWidth) {
      result += "      " + line + "\n";
      line.clear();
    }
    line += (line.empty() ? "" : " ") + word;
  }
  return result + "      " + line + "\n";
}

std::string FlagText(const FlagDescription& flag) {
  const std::string value = flag.boolean ? "" : "=VALUE";
  std::string text = "  --" + flag.name + value + "  (" + flag.variable + ")\n";
  std::string help = flag.help;
  if (!flag.boolean && !flag.default_value.empty()) {
    help += "; default " + flag.default_value;
  }
  return text + WrapText(help);
}

bool ContainsWord(std::string_view words, std::string_view word) {
  std::istringstream stream{std::string(words)};
  for (std::string each; stream >> each;) {
    if (each == word) {
      return true;
    }
  }
  return false;
}

std::string RoleHelp(FlagRole role, std::string_view name) {
  std::string text = "usage: celerypost " + std::string(name) +
                     " [FLAGS]\n\nRuns until SIGTERM or SIGINT. Flags "
                     "override variables.\n\nflags:\n";
  for (const FlagDescription& flag : DescribeFlags(role)) {
    text += FlagText(flag);
  }
  return text;
}

std::string CtlHelp() {
  std::string text =
      "usage: celerypost ctl COMMAND [ARGUMENT] [FLAGS]\n\ncommands:\n";
  for (const CtlCommand& command : CtlCommands()) {
    std::string usage = std::string("  ") + command.name;
    if (*command.arguments != '\0') {
      usage += std::string(" ") + command.arguments;
    }
    usage.resize(std::max<size_t>(usage.size() + 2, 30), ' ');
    text += usage + command.summary + "\n";
  }
  text +=
      "\nexit codes:\n"
      "  0  done\n"
      "  1  refused; nothing was changed\n"
      "  2  wrong command line or input file; nothing was sent\n"
      "  3  entry or key-value service unavailable; nothing was changed\n"
      "  4  outcome unknown; ask with: celerypost ctl change ID\n"
      "\nflags:\n";
  for (const FlagDescription& flag : DescribeFlags(FlagRole::kCtl)) {
    text += FlagText(flag);
  }
  return text;
}

std::string CtlCommandHelp(const CtlCommand& command) {
  std::string text = std::string("usage: celerypost ctl ") + command.name;
  if (*command.arguments != '\0') {
    text += std::string(" ") + command.arguments;
  }
  text += std::string(" [FLAGS]\n\n") + command.summary + "\n\nflags:\n";
  for (const FlagDescription& flag : DescribeFlags(FlagRole::kCtl)) {
    if (ContainsWord(command.flags, flag.name)) {
      text += FlagText(flag);
    }
  }
  return text;
}

bool WantsHelp(const Arguments& args) {
  const auto end = std::find(args.begin(), args.end(), "--");
  return std::any_of(args.begin(), end, [](const std::string& arg) {
    return arg == "--help" || arg == "-h";
  });
}

int Fail(const CommandLineContext& context,
         std::string_view command,
         const std::string& message) {
  std::istringstream lines(message);
  for (std::string line; std::getline(lines, line);) {
    context.err << "celerypost " << command << ": " << Printable(line) << "\n";
  }
  return kUsageExitCode;
}

// Removes the value from an argument such as "shared_key=...": a flag typed
// without dashes would otherwise print the key.
std::string RemoveValue(const std::string& argument) {
  return argument.substr(0, argument.find('='));
}

// Reads and validates the flags of a daemon, then calls `run`.
template <typename Settings>
int RunRole(FlagRole role,
            std::string_view name,
            const Arguments& args,
            const CommandLineContext& context,
            Result<Settings> (*make)(const FlagValues&),
            const std::function<int(const Settings&)>& run) {
  if (WantsHelp(args)) {
    context.out << RoleHelp(role, name);
    return 0;
  }
  const auto read = ReadFlags(role, args, context.environment);
  if (!read) {
    return Fail(context, name, read.error().message);
  }
  if (!read->positional.empty()) {
    return Fail(context, name,
                "unexpected argument '" +
                    RemoveValue(read->positional.front()) +
                    "'; flags start with --");
  }
  const auto settings = make(read->flags);
  if (!settings) {
    return Fail(context, name, settings.error().message);
  }
  return run(*settings);
}

int RunEntryRole(const Arguments& args, const CommandLineContext& context) {
  return RunRole<EntrySettings>(FlagRole::kEntry, "entry", args, context,
                                &MakeEntrySettings, context.run_entry);
}

int RunAgentRole(const Arguments& args, const CommandLineContext& context) {
  return RunRole<AgentSettings>(FlagRole::kAgent, "agent", args, context,
                                &MakeAgentSettings, context.run_agent);
}

int RunGatewayRole(const Arguments& args, const CommandLineContext& context) {
  return RunRole<NodeRoleSettings>(FlagRole::kNode, "gateway", args, context,
                                   &MakeNodeRoleSettings, context.run_gateway);
}

int RunStagerRole(const Arguments& args, const CommandLineContext& context) {
  return RunRole<NodeRoleSettings>(FlagRole::kNode, "stager", args, context,
                                   &MakeNodeRoleSettings, context.run_stager);
}

int RunCtl(const Arguments& args, const CommandLineContext& context) {
  auto read = ReadFlags(FlagRole::kCtl, args, context.environment);
  if (WantsHelp(args)) {
    const CtlCommand* const command =
        args.empty() ? nullptr : FindCtlCommand(args.front());
    context.out << (command == nullptr ? CtlHelp() : CtlCommandHelp(*command));
    return 0;
  }
  if (!read) {
    return Fail(context, "ctl", read.error().message);
  }
  if (read->positional.empty()) {
    return Fail(context, "ctl", "command is missing; see celerypost help ctl");
  }
  const std::string name = read->positional.front();
  const CtlCommand* const command = FindCtlCommand(name);
  if (command == nullptr) {
    return Fail(context, "ctl",
                "unknown command '" + name + "'; see celerypost help ctl");
  }
  if (read->flags["who"].empty()) {
    read->flags["who"] = context.environment("USER").value_or("");
  }
  const auto settings = MakeCtlSettings(read->flags, command->needs_operator);
  if (!settings) {
    return Fail(context, "ctl", settings.error().message);
  }
  Loop loop;
  std::optional<HttpOperatorClient> client;
  if (command->needs_operator) {
    HttpOperatorClientOptions options;
    options.timeout = settings->timeout;
    client.emplace(loop, *settings->operator_address, settings->shared_key,
                   options, [] { return std::chrono::system_clock::now(); });
  }
  Ctl ctl(*settings, client ? &*client : nullptr,
          CtlContext{context.out, context.err, context.terminal,
                     [](std::chrono::milliseconds pause) {
                       std::this_thread::sleep_for(pause);
                     },
                     MakeChangeId});
  return static_cast<int>(
      ctl.Run(name, {read->positional.begin() + 1, read->positional.end()}));
}

int RunHelp(const Arguments& args, const CommandLineContext& context) {
  const std::string topic = args.empty() ? "" : args.front();
  const std::string detail = args.size() > 1 ? args[1] : "";
  if (topic.empty()) {
    context.out << UsageText();
  } else if (topic == "entry") {
    context.out << RoleHelp(FlagRole::kEntry, topic);
  } else if (topic == "agent") {
    context.out << RoleHelp(FlagRole::kAgent, topic);
  } else if (topic == "gateway" || topic == "stager") {
    context.out << RoleHelp(FlagRole::kNode, topic);
  } else if (topic == "ctl" && detail.empty()) {
    context.out << CtlHelp();
  } else if (topic == "ctl" && FindCtlCommand(detail) != nullptr) {
    context.out << CtlCommandHelp(*FindCtlCommand(detail));
  } else if ((topic == "--completion" && detail == "bash") ||
             topic == "--completion=bash") {
    context.out << BashCompletion();
  } else {
    return Fail(context, "help",
                "unknown topic '" + topic +
                    (detail.empty() ? "" : " " + detail) +
                    "'; expected entry, agent, gateway, stager, ctl, ctl "
                    "COMMAND or --completion bash");
  }
  return 0;
}

int RunVersion(const Arguments& args, const CommandLineContext& context) {
  if (!args.empty()) {
    return Fail(context, "version",
                "unexpected argument '" + args.front() + "'");
  }
  const BuildInfo build = ThisBuild();
  context.out << "celerypost " << build.version << " (commit " << build.commit
              << ", sources " << build.sources << ")\n";
  return 0;
}

struct RoleCommand {
  std::string_view name;
  int (*run)(const Arguments&, const CommandLineContext&);
};

constexpr RoleCommand kRoles[] = {{"entry", &RunEntryRole},
                                  {"agent", &RunAgentRole},
                                  {"gateway", &RunGatewayRole},
                                  {"stager", &RunStagerRole},
                                  {"ctl", &RunCtl},
                                  {"help", &RunHelp},
                                  {"version", &RunVersion}};

std::string FlagWords(FlagRole role) {
  std::string words;
  for (const FlagDescription& flag : DescribeFlags(role)) {
    words += (words.empty() ? "--" : " --") + flag.name;
  }
  return words;
}

}  // namespace

int RunCommandLine(const Arguments& args, const CommandLineContext& context) {
  if (args.empty()) {
    context.err << UsageText();
    return kUsageExitCode;
  }
  std::string name = args.front();
  if (name == "--help" || name == "-h") {
    name = "help";
  } else if (name == "--version") {
    name = "version";
  }
  const auto* const role = std::find_if(
      std::begin(kRoles), std::end(kRoles),
      [&name](const RoleCommand& each) { return each.name == name; });
  if (role == std::end(kRoles)) {
    context.err << "celerypost: unknown role '" << Printable(name)
                << "'; expected entry, agent, gateway, stager, ctl, help or "
                   "version\n";
    return kUsageExitCode;
  }
  return role->run({args.begin() + 1, args.end()}, context);
}

std::string BashCompletion() {
  std::string commands;
  for (const CtlCommand& command : CtlCommands()) {
    commands += (commands.empty() ? "" : " ") + std::string(command.name);
  }
  return "# bash completion of celerypost\n"
         "_celerypost() {\n"
         "  local current=${COMP_WORDS[COMP_CWORD]} words=\n"
         "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
         "    words='entry agent gateway stager ctl help version'\n"
         "  else\n"
         "    case ${COMP_WORDS[1]} in\n"
         "      entry) words='" +
         FlagWords(FlagRole::kEntry) +
         "' ;;\n"
         "      agent) words='" +
         FlagWords(FlagRole::kAgent) +
         "' ;;\n"
         "      gateway|stager) words='" +
         FlagWords(FlagRole::kNode) +
         "' ;;\n"
         "      ctl)\n"
         "        if [ \"$COMP_CWORD\" -eq 2 ]; then\n"
         "          words='" +
         commands +
         "'\n"
         "        else\n"
         "          words='" +
         FlagWords(FlagRole::kCtl) +
         "'\n"
         "        fi ;;\n"
         "      help)\n"
         "        if [ \"${COMP_WORDS[2]}\" = ctl ] && "
         "[ \"$COMP_CWORD\" -eq 3 ]; then\n"
         "          words='" +
         commands +
         "'\n"
         "        else\n"
         "          words='entry agent gateway stager ctl --completion'\n"
         "        fi ;;\n"
         "    esac\n"
         "  fi\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
         "  if [ \"${#COMPREPLY[@]}\" -eq 0 ]; then\n"
         "    COMPREPLY=($(compgen -f -- \"$current\"))\n"
         "  fi\n"
         "}\n"
         "complete -F _celerypost celerypost\n";
}

}  // namespace celerypost
